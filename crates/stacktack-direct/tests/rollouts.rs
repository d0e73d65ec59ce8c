//! How a router carries out orders to roll out versions, on virtual time, without sockets and with
//! a simulated store.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, SERVICE_LABEL, VERSION_LABEL,
};
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::rollout::exposure::ExposureBound;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::state::RolloutState;
use stacktack_core::direct::rollout::status::{
    StatusWrite, StatusWriteResult, StoredState, StoredStatus,
};
use stacktack_direct::followers::write_rollout_statuses;
use stacktack_direct::ports::{
    LocalBoxFuture, RefusedOrder, RolloutOrderUpdate, RolloutStore, SourceError,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use common::{after, router};

const SERVICE: &str = "engine";
/// Revision of the order in the store.
const ORDER_REVISION: u64 = 20;

/// A store that holds the roll-out status of one service.
#[derive(Default)]
struct Store {
    status: RefCell<Option<StoredStatus>>,
    down: Cell<bool>,
    /// States of all writes, also of failed ones.
    writes: RefCell<Vec<StoredState>>,
}

impl RolloutStore for Store {
    fn write_status(
        &self,
        write: &StatusWrite,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<StatusWriteResult, SourceError>> {
        let write = write.clone();
        Box::pin(async move {
            self.writes.borrow_mut().push(write.state);
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            let mut status = self.status.borrow_mut();
            let stored = status.as_ref().map_or(0, |status| status.revision);
            if write.status_revision != stored || write.order_revision != ORDER_REVISION {
                return Ok(StatusWriteResult::Conflict {
                    order_revision: ORDER_REVISION,
                    status: status.clone(),
                });
            }
            let revision = stored.max(ORDER_REVISION) + 1;
            *status = Some(StoredStatus {
                state: write.state,
                version: write.version,
                revision,
            });
            Ok(StatusWriteResult::Stored(revision))
        })
    }
}

fn entry(id: &str, version: &str) -> BackEndEntry {
    let labels = [(SERVICE_LABEL, SERVICE), (VERSION_LABEL, version)];
    let labels = labels.map(|(key, value)| (key.to_owned(), value.to_owned()));
    BackEndEntry {
        id: id.to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from_iter(labels),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    }
}

/// Creates a router with back ends `old` (version v1) and `new` (v2), which carries out roll-outs
/// if there is an exposure bound.
fn router_with_two_versions(bound: Option<ExposureBound>) -> Rc<Router> {
    let router = router();
    let mut settings = router.settings.clone();
    settings.bounds.exposure = bound;
    router.reload(&settings);
    router.enable_rollouts().expect("the chart is complete");
    for (id, version) in [("old", "v1"), ("new", "v2")] {
        let mut change = DirectoryChange::default();
        let mut back_ends = router.back_ends.borrow_mut();
        back_ends.upsert(entry(id, version), router.now(), &mut change);
    }
    router
}

const EXPOSURE_BOUND: Option<ExposureBound> = Some(ExposureBound {
    share: 0.1,
    slack: 50.0,
});

fn apply_order(router: &Router, version: &str) {
    let order = RolloutOrder::new(SERVICE.into(), version.into(), 12.0, ORDER_REVISION);
    router.apply_rollout_orders(&RolloutOrderUpdate {
        orders: vec![order.expect("an order")],
        refused: Vec::new(),
    });
}

/// Ids of the back ends to which the first attempt of a request may go.
fn candidates(router: &Router) -> Vec<String> {
    let mut ids = router
        .candidates(&[], &[], Retryability::NotRetryable, None, None)
        .ids;
    ids.sort();
    ids
}

/// Starts the tasks that write the status to the store and evaluate the roll-outs.
fn start_tasks(router: &Rc<Router>, store: &Rc<Store>) {
    tokio::task::spawn_local(write_rollout_statuses(router.clone(), store.clone()));
    let router = router.clone();
    tokio::task::spawn_local(async move {
        loop {
            router.evaluate_rollouts();
            after(100).await;
        }
    });
}

fn rollout_state(router: &Router) -> Option<RolloutState> {
    let rollouts = router.rollouts.borrow();
    rollouts
        .as_ref()
        .and_then(|rollouts| rollouts.state(SERVICE))
}

/// Records 100 responses of each version; `failed` of those of the new version failed.
fn record_responses(router: &Router, failed: u32) {
    let target = stacktack_core::direct::rollout::latency::LatencyTarget {
        objective: Duration::from_millis(120),
        needs_prefill: false,
    };
    let mut rollouts = router.rollouts.borrow_mut();
    let rollouts = rollouts.as_mut().expect("roll-outs are enabled");
    for number in 0..100 {
        let latency = Some(Duration::from_millis(15));
        rollouts.on_response(SERVICE, "v1", "route", latency, target);
        let latency = latency.filter(|_| number >= failed);
        rollouts.on_response(SERVICE, "v2", "route", latency, target);
    }
}

async fn run_on_virtual_time(test: impl std::future::Future<Output = ()>) {
    tokio::time::pause();
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn without_an_order_all_versions_get_requests_and_nothing_is_stored() {
    run_on_virtual_time(async {
        let (router, store) = (
            router_with_two_versions(EXPOSURE_BOUND),
            Rc::new(Store::default()),
        );
        start_tasks(&router, &store);
        after(30_000).await;
        assert_eq!(candidates(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}

#[tokio::test]
async fn without_an_exposure_bound_an_order_changes_nothing() {
    run_on_virtual_time(async {
        let (router, store) = (router_with_two_versions(None), Rc::new(Store::default()));
        start_tasks(&router, &store);
        apply_order(&router, "v2");
        after(30_000).await;
        assert_eq!(candidates(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}

#[tokio::test]
async fn a_new_version_gets_no_requests_until_the_store_holds_the_rollout_as_running() {
    run_on_virtual_time(async {
        let (router, store) = (
            router_with_two_versions(EXPOSURE_BOUND),
            Rc::new(Store::default()),
        );
        store.down.set(true);
        start_tasks(&router, &store);
        apply_order(&router, "v2");
        after(2_000).await;
        assert_eq!(candidates(&router), ["old"]);
        assert_eq!(rollout_state(&router), Some(RolloutState::Unannounced));
        store.down.set(false);
        after(1_000).await;
        assert_eq!(rollout_state(&router), Some(RolloutState::Canary));
    })
    .await;
}

#[tokio::test]
async fn a_version_with_a_regression_gets_no_more_requests_even_while_the_store_is_down() {
    run_on_virtual_time(async {
        let (router, store) = (
            router_with_two_versions(EXPOSURE_BOUND),
            Rc::new(Store::default()),
        );
        start_tasks(&router, &store);
        apply_order(&router, "v2");
        after(200).await;
        store.down.set(true);
        record_responses(&router, 40);
        after(100).await;
        assert_eq!(rollout_state(&router), Some(RolloutState::Stopped));
        assert_eq!(candidates(&router), ["old"]);
        let instance =
            stacktack_core::direct::back_ends::directory::InstanceId::of(&entry("new", "v2"));
        let obstacle = router.send_obstacle("new", instance);
        assert_eq!(obstacle, Some(AttemptFailure::BackEndLeft));
        after(60_000).await;
        store.down.set(false);
        after(2_000).await;
        assert_eq!(rollout_state(&router), Some(RolloutState::RolledBack));
        assert_eq!(candidates(&router), ["old"]);
    })
    .await;
}

#[tokio::test]
async fn a_rollout_of_a_good_version_completes_and_later_all_versions_get_requests() {
    run_on_virtual_time(async {
        let (router, store) = (
            router_with_two_versions(EXPOSURE_BOUND),
            Rc::new(Store::default()),
        );
        start_tasks(&router, &store);
        apply_order(&router, "v2");
        after(200).await;
        record_responses(&router, 0);
        after(11_500).await;
        assert_eq!(rollout_state(&router), Some(RolloutState::Completed));
        assert_eq!(candidates(&router), ["new"]);
        let expected = [StoredState::Running, StoredState::Completed];
        assert_eq!(*store.writes.borrow(), expected);
        after(20_000).await;
        assert_eq!(candidates(&router), ["new", "old"]);
    })
    .await;
}

#[tokio::test]
async fn an_order_for_a_version_that_all_or_no_back_ends_run_changes_no_traffic() {
    run_on_virtual_time(async {
        let router = router_with_two_versions(EXPOSURE_BOUND);
        apply_order(&router, "v9");
        assert_eq!(candidates(&router), ["new", "old"]);
        let router = router_with_two_versions(EXPOSURE_BOUND);
        let mut change = DirectoryChange::default();
        let mut updated = entry("old", "v2");
        updated.revision = 2;
        let mut back_ends = router.back_ends.borrow_mut();
        back_ends.upsert(updated, router.now(), &mut change);
        drop(back_ends);
        apply_order(&router, "v2");
        assert_eq!(candidates(&router), ["new", "old"]);
    })
    .await;
}

#[tokio::test]
async fn a_refused_order_changes_no_traffic() {
    run_on_virtual_time(async {
        let (router, store) = (
            router_with_two_versions(EXPOSURE_BOUND),
            Rc::new(Store::default()),
        );
        start_tasks(&router, &store);
        router.apply_rollout_orders(&RolloutOrderUpdate {
            orders: Vec::new(),
            refused: vec![RefusedOrder {
                name: SERVICE.into(),
                revision: 5,
                cause: "it names no version".into(),
            }],
        });
        after(20_000).await;
        assert_eq!(candidates(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}
