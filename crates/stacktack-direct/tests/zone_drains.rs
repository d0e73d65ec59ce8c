//! What a router holds of drained zones while the operator's store and peers tell it, on
//! virtual time.

mod common;
#[path = "common/steady_peer.rs"]
mod steady_peer;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::back_ends::slow_start::SlowStart;
use stacktack_core::direct::back_ends::zone_drain::{ZoneDrain, ZoneDrainUpdate};
use stacktack_core::direct::traffic::route::TrafficConfiguration;
use stacktack_direct::followers::{follow_configuration, read_missed_zone_drains, StoreMonitor};
use stacktack_direct::ports::{
    ConfigurationSource, ConfigurationUpdate, LocalBoxFuture, RolloutOrderUpdate, SourceError,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::sync::Notify;
use tokio::time::timeout;

use common::{after, router};
use steady_peer::steady_peer;

/// Time within which a drain has to be in force while the store serves the router.
const SOON: u64 = 200;

/// The operator's table: versions of the configuration, and drains by zone.
#[derive(Default)]
struct Operator {
    revision: Cell<u64>,
    down: Cell<bool>,
    forgotten: Cell<u64>,
    configuration: Cell<u64>,
    /// Revision of the last change by zone, and whether it is drained.
    zones: RefCell<BTreeMap<String, (u64, bool)>>,
    changed: Notify,
    zone_reads: Cell<u32>,
}

impl Operator {
    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    fn configure(&self) {
        self.configuration.set(self.next_revision());
        self.changed.notify_waiters();
    }

    fn drain(&self, zone: &str, drained: bool) {
        let row = (self.next_revision(), drained);
        self.zones.borrow_mut().insert(zone.to_owned(), row);
        self.changed.notify_waiters();
    }

    fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    fn forget_history(&self) {
        self.forgotten.set(self.next_revision());
        self.changed.notify_waiters();
    }

    fn zone_drains(&self, after: Option<u64>) -> ZoneDrainUpdate {
        let zones = self.zones.borrow();
        let told = zones.iter().filter(|(_, (revision, drained))| match after {
            Some(after) => *revision > after,
            None => *drained,
        });
        ZoneDrainUpdate {
            changes: told
                .map(|(zone, (revision, drained))| ZoneDrain {
                    zone: zone.clone(),
                    drained: *drained,
                    revision: *revision,
                })
                .collect(),
            snapshot_revision: after.is_none().then_some(self.revision.get()),
        }
    }

    fn news(&self, after: Option<u64>) -> ConfigurationUpdate {
        let version = self.configuration.get();
        let is_new = version > after.unwrap_or(0);
        ConfigurationUpdate {
            answered_at_ms: 0,
            revision: self.revision.get(),
            version_count: usize::from(is_new),
            configuration: is_new.then(|| configuration(version)),
            invalid: false,
            zone_drains: self.zone_drains(after),
            rollouts: RolloutOrderUpdate::default(),
        }
    }

    async fn changed_news(&self, after: u64) -> Result<ConfigurationUpdate, SourceError> {
        loop {
            let changed = self.changed.notified();
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            if after < self.forgotten.get() {
                return Err(SourceError::HistoryGone);
            }
            let news = self.news(Some(after));
            if news.version_count > 0 || !news.zone_drains.changes.is_empty() {
                return Ok(news);
            }
            changed.await;
        }
    }
}

/// The version stored at a revision; its number is the revision.
fn configuration(version: u64) -> TrafficConfiguration {
    TrafficConfiguration {
        version,
        revision: version,
        slow_starts: vec![SlowStart {
            back_ends: Vec::new(),
            duration: Duration::from_secs(3),
            requests_per_second: 20.0,
        }],
        ..TrafficConfiguration::default()
    }
}

impl ConfigurationSource for Operator {
    fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ConfigurationUpdate, SourceError>> {
        Box::pin(async move {
            common::after(4).await;
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            let news = match after {
                None => self.news(None),
                Some(after) => timeout(wait, self.changed_news(after))
                    .await
                    .unwrap_or_else(|_| Ok(self.news(Some(after))))?,
            };
            transfer.on_bytes(1);
            Ok(news)
        })
    }

    fn zone_drains(
        &self,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ZoneDrainUpdate, SourceError>> {
        self.zone_reads.set(self.zone_reads.get() + 1);
        Box::pin(async move {
            common::after(4).await;
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            transfer.on_bytes(1);
            Ok(self.zone_drains(None))
        })
    }
}

fn entry(id: &str, zone: &str) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from([("zone".to_owned(), zone.to_owned())]),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    }
}

/// Runs a script beside a router that follows the operator, with a back end in each of
/// two zones.
async fn follow<F: std::future::Future<Output = ()>>(
    script: impl FnOnce(Rc<Operator>, Rc<Router>) -> F,
) {
    let operator = Rc::new(Operator::default());
    operator.configure();
    let router = router();
    let mut change = DirectoryChange::default();
    for (id, zone) in [("one", "a"), ("two", "b")] {
        let mut back_ends = router.back_ends.borrow_mut();
        back_ends.upsert(entry(id, zone), router.now(), &mut change);
    }
    let store = Rc::new(StoreMonitor::new("store").expect("chart"));
    tokio::select! {
        () = follow_configuration(router.clone(), operator.clone(), store.clone()) => {}
        () = read_missed_zone_drains(router.clone(), operator.clone(), store.clone()) => {}
        () = script(operator, router) => {}
    }
}

/// Ids of the back ends that may get requests.
fn open(router: &Router) -> Vec<String> {
    let candidates = router.candidates(&[], &[], Retryability::Retryable, None);
    let pairs = candidates.list.iter().zip(&candidates.ids);
    let mut open: Vec<String> = pairs
        .filter(|(candidate, _)| candidate.eligible)
        .map(|(_, id)| id.clone())
        .collect();
    open.sort();
    open
}

/// Time after its start from which a router that hears of no other takes itself for the only
/// one, so that all that a cold back end bears may come from it.
const KNOWS_FLEET: u64 = 2100;

#[tokio::test(start_paused = true)]
async fn a_drained_zone_gets_no_requests_until_it_is_undrained() {
    follow(|operator, router| async move {
        after(KNOWS_FLEET).await;
        assert_eq!(open(&router), ["one", "two"]);
        operator.drain("b", true);
        after(SOON).await;
        assert_eq!(open(&router), ["one"]);
        assert!(!router.is_pool_drained(&[]));
        operator.drain("a", true);
        after(SOON).await;
        assert!(open(&router).is_empty());
        assert!(router.is_pool_drained(&[]));
        operator.drain("a", false);
        after(SOON).await;
        assert!(open(&router).is_empty(), "it may have turned cold");
        router.update_slow_start();
        assert_eq!(open(&router), ["one"], "a first request may go there");
        after(3000).await;
        router.update_slow_start();
        assert_eq!(open(&router), ["one"]);
        assert_eq!(operator.zone_reads.get(), 0, "all came with the feed");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_router_that_starts_during_a_drain_gets_it_with_its_configuration() {
    let operator = Rc::new(Operator::default());
    operator.configure();
    operator.drain("b", true);
    let router = router();
    let store = Rc::new(StoreMonitor::new("store").expect("chart"));
    tokio::select! {
        () = follow_configuration(router.clone(), operator.clone(), store.clone()) => {}
        () = after(SOON) => {}
    }
    assert_eq!(router.configuration_version(), 1);
    assert!(router.zone_drains.borrow().is_drained("b"));
}

#[tokio::test(start_paused = true)]
async fn drains_are_correct_after_the_store_forgot_its_history() {
    follow(|operator, router| async move {
        operator.drain("b", true);
        after(SOON).await;
        operator.set_down(true);
        after(1000).await;
        operator.drain("b", false);
        operator.drain("a", true);
        operator.forget_history();
        operator.set_down(false);
        after(2500).await;
        let drains = router.zone_drains.borrow();
        assert!(drains.is_drained("a"));
        assert!(!drains.is_drained("b"));
    })
    .await;
}

/// A router that has a newer configuration from a peer goes on from its revision. What
/// the operator asked of zones before that is read apart; without that it was never heard.
#[tokio::test(start_paused = true)]
async fn drains_older_than_a_configuration_from_a_peer_are_not_missed() {
    follow(|operator, router| async move {
        after(SOON).await;
        operator.set_down(true);
        after(1000).await;
        operator.drain("b", true);
        operator.configure();
        router.apply_configuration(Arc::new(configuration(operator.configuration.get())));
        after(1000).await;
        assert!(!router.zone_drains.borrow().is_drained("b"));
        operator.set_down(false);
        after(2500).await;
        assert!(router.zone_drains.borrow().is_drained("b"));
        assert_eq!(operator.zone_reads.get(), 1);
    })
    .await;
}

/// What a peer tells counts while the store says nothing; the store's later word goes
/// first.
#[tokio::test(start_paused = true)]
async fn drains_from_peers_apply_while_the_store_is_down_until_the_store_has_newer_ones() {
    follow(|operator, router| async move {
        after(SOON).await;
        operator.set_down(true);
        operator.drain("b", true);
        let told = ZoneDrain {
            zone: "b".to_owned(),
            drained: true,
            revision: operator.revision.get(),
        };
        let from = SocketAddr::from(([127, 0, 0, 1], 10));
        let news = steady_peer(from, router.configuration_version(), 1);
        router.peers.borrow_mut().receive(&news, router.now());
        router.merge_zone_drain(&told, "peer");
        assert_eq!(open(&router), ["one"]);
        operator.drain("b", false);
        operator.set_down(false);
        after(2500).await;
        assert!(!router.zone_drains.borrow().is_drained("b"));
        router.merge_zone_drain(&told, "peer");
        assert!(!router.zone_drains.borrow().is_drained("b"), "late news");
    })
    .await;
}

/// An unknown zone refuses nobody.
#[tokio::test(start_paused = true)]
async fn a_drain_of_an_unknown_zone_changes_nothing() {
    follow(|operator, router| async move {
        operator.drain("elsewhere", true);
        after(SOON).await;
        assert_eq!(open(&router), ["one", "two"]);
        assert!(!router.is_pool_drained(&[]));
    })
    .await;
}
