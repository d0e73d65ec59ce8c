//! What a router does with orders to roll out versions, on virtual time: without sockets, before
//! a store of the test's own.

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
use stacktack_core::direct::rollout::exposure::ExposureBound;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::state::RolloutState;
use stacktack_core::direct::rollout::status::{
    StatusWrite, StatusWriteResult, StoredState, StoredStatus,
};
use stacktack_direct::followers::{write_rollout_statuses, StoreMonitor};
use stacktack_direct::ports::{
    LocalBoxFuture, RefusedOrder, RolloutOrderUpdate, RolloutStore, SourceError,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use common::{after, router};

const SERVICE: &str = "engine";
const ORDERED: u64 = 20;

/// A store with the status of one service.
#[derive(Default)]
struct Store {
    status: RefCell<Option<StoredStatus>>,
    down: Cell<bool>,
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
            let known = status.as_ref().map_or(0, |status| status.revision);
            if write.status_revision != known || write.order_revision != ORDERED {
                return Ok(StatusWriteResult::Conflict {
                    order_revision: ORDERED,
                    status: status.clone(),
                });
            }
            let revision = known.max(ORDERED) + 1;
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

/// A router before back ends `old` and `new`, which serves roll-outs if there is a bound.
fn served(bound: Option<ExposureBound>) -> Rc<Router> {
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

const BOUND: Option<ExposureBound> = Some(ExposureBound {
    share: 0.1,
    slack: 50.0,
});

fn order(router: &Router, version: &str) {
    let order = RolloutOrder::new(SERVICE.into(), version.into(), 12.0, ORDERED);
    router.apply_rollout_orders(&RolloutOrderUpdate {
        orders: vec![order.expect("an order")],
        refused: Vec::new(),
    });
}

/// Back ends that a first request may go to.
fn open(router: &Router) -> Vec<String> {
    let mut ids = router
        .candidates(&[], &[], Retryability::NotRetryable, None)
        .ids;
    ids.sort();
    ids
}

fn follow(router: &Rc<Router>, store: &Rc<Store>) {
    let dependency = Rc::new(StoreMonitor::new("store").expect("a chart"));
    tokio::task::spawn_local(write_rollout_statuses(
        router.clone(),
        store.clone(),
        dependency,
    ));
    let judged = router.clone();
    tokio::task::spawn_local(async move {
        loop {
            judged.evaluate_rollouts();
            after(100).await;
        }
    });
}

fn progress(router: &Router) -> Option<RolloutState> {
    let rollouts = router.rollouts.borrow();
    rollouts
        .as_ref()
        .and_then(|rollouts| rollouts.state(SERVICE))
}

/// Answers of both back ends' versions: of the new one so many in 100 are bad.
fn answer(router: &Router, bad: u32) {
    let wanted = stacktack_core::direct::rollout::latency::LatencyTarget {
        objective: Duration::from_millis(120),
        needs_prefill: false,
    };
    let mut rollouts = router.rollouts.borrow_mut();
    let rollouts = rollouts.as_mut().expect("served");
    for number in 0..100 {
        let took = Some(Duration::from_millis(15));
        rollouts.on_response(SERVICE, "v1", "route", took, wanted);
        let took = took.filter(|_| number >= bad);
        rollouts.on_response(SERVICE, "v2", "route", took, wanted);
    }
}

async fn on_virtual_time(test: impl std::future::Future<Output = ()>) {
    tokio::time::pause();
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn without_an_order_all_versions_get_requests_and_nothing_is_stored() {
    on_virtual_time(async {
        let (router, store) = (served(BOUND), Rc::new(Store::default()));
        follow(&router, &store);
        after(30_000).await;
        assert_eq!(open(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}

#[tokio::test]
async fn without_an_exposure_bound_an_order_changes_nothing() {
    on_virtual_time(async {
        let (router, store) = (served(None), Rc::new(Store::default()));
        follow(&router, &store);
        order(&router, "v2");
        after(30_000).await;
        assert_eq!(open(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}

#[tokio::test]
async fn a_new_version_gets_no_requests_until_the_store_holds_the_rollout_as_running() {
    on_virtual_time(async {
        let (router, store) = (served(BOUND), Rc::new(Store::default()));
        store.down.set(true);
        follow(&router, &store);
        order(&router, "v2");
        after(2_000).await;
        assert_eq!(open(&router), ["old"]);
        assert_eq!(progress(&router), Some(RolloutState::Unannounced));
        store.down.set(false);
        after(1_000).await;
        assert_eq!(progress(&router), Some(RolloutState::Canary));
    })
    .await;
}

#[tokio::test]
async fn a_version_with_a_regression_gets_no_more_requests_even_while_the_store_is_down() {
    on_virtual_time(async {
        let (router, store) = (served(BOUND), Rc::new(Store::default()));
        follow(&router, &store);
        order(&router, "v2");
        after(200).await;
        store.down.set(true);
        answer(&router, 40);
        after(100).await;
        assert_eq!(progress(&router), Some(RolloutState::Stopped));
        assert_eq!(open(&router), ["old"]);
        let life =
            stacktack_core::direct::back_ends::directory::InstanceId::of(&entry("new", "v2"));
        assert!(!router.may_send("new", life));
        after(60_000).await;
        store.down.set(false);
        after(2_000).await;
        assert_eq!(progress(&router), Some(RolloutState::RolledBack));
        assert_eq!(open(&router), ["old"]);
    })
    .await;
}

#[tokio::test]
async fn a_rollout_of_a_good_version_completes_and_later_all_versions_get_requests() {
    on_virtual_time(async {
        let (router, store) = (served(BOUND), Rc::new(Store::default()));
        follow(&router, &store);
        order(&router, "v2");
        after(200).await;
        answer(&router, 0);
        after(11_500).await;
        assert_eq!(progress(&router), Some(RolloutState::Completed));
        assert_eq!(open(&router), ["new"]);
        let expected = [StoredState::Running, StoredState::Completed];
        assert_eq!(*store.writes.borrow(), expected);
        after(20_000).await;
        assert_eq!(open(&router), ["new", "old"]);
    })
    .await;
}

#[tokio::test]
async fn an_order_for_a_version_that_all_or_no_back_ends_run_changes_no_traffic() {
    on_virtual_time(async {
        let router = served(BOUND);
        order(&router, "v9");
        assert_eq!(open(&router), ["new", "old"]);
        let router = served(BOUND);
        let mut change = DirectoryChange::default();
        let mut same = entry("old", "v2");
        same.revision = 2;
        let mut back_ends = router.back_ends.borrow_mut();
        back_ends.upsert(same, router.now(), &mut change);
        drop(back_ends);
        order(&router, "v2");
        assert_eq!(open(&router), ["new", "old"]);
    })
    .await;
}

#[tokio::test]
async fn a_refused_order_changes_no_traffic() {
    on_virtual_time(async {
        let (router, store) = (served(BOUND), Rc::new(Store::default()));
        follow(&router, &store);
        router.apply_rollout_orders(&RolloutOrderUpdate {
            orders: Vec::new(),
            refused: vec![RefusedOrder {
                name: SERVICE.into(),
                revision: 5,
                cause: "it names no version".into(),
            }],
        });
        after(20_000).await;
        assert_eq!(open(&router), ["new", "old"]);
        assert!(store.writes.borrow().is_empty());
    })
    .await;
}
