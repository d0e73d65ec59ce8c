//! Which zones a router treats as drained, according to the operator's store and to peers, on
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
use stacktack_direct::followers::{follow_configuration, read_missed_zone_drains};
use stacktack_direct::ports::{
    ConfigurationSource, ConfigurationUpdate, LocalBoxFuture, RolloutOrderUpdate, SourceError,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::sync::Notify;
use tokio::time::timeout;

use common::{after, router};
use steady_peer::steady_peer_gossip;

/// Time in milliseconds within which a drain has to be in force while the store answers the router.
const DRAIN_APPLY_MS: u64 = 200;

/// The store of the operator: versions of the configuration, and drains by zone.
#[derive(Default)]
struct OperatorStore {
    revision: Cell<u64>,
    down: Cell<bool>,
    /// Oldest revision after which changes are still kept.
    oldest_kept_revision: Cell<u64>,
    /// Version of the configuration.
    configuration: Cell<u64>,
    /// Revision of the last change of each zone, and whether the zone is drained.
    zones: RefCell<BTreeMap<String, (u64, bool)>>,
    changed: Notify,
    /// Number of reads of the drains alone, without the configuration.
    zone_reads: Cell<u32>,
}

impl OperatorStore {
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
        self.oldest_kept_revision.set(self.next_revision());
        self.changed.notify_waiters();
    }

    fn zone_drains(&self, after: Option<u64>) -> ZoneDrainUpdate {
        let zones = self.zones.borrow();
        let changed = zones.iter().filter(|(_, (revision, drained))| match after {
            Some(after) => *revision > after,
            None => *drained,
        });
        ZoneDrainUpdate {
            changes: changed
                .map(|(zone, (revision, drained))| ZoneDrain {
                    zone: zone.clone(),
                    drained: *drained,
                    revision: *revision,
                })
                .collect(),
            snapshot_revision: after.is_none().then_some(self.revision.get()),
        }
    }

    fn update(&self, after: Option<u64>) -> ConfigurationUpdate {
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

    async fn wait_for_update(&self, after: u64) -> Result<ConfigurationUpdate, SourceError> {
        loop {
            let changed = self.changed.notified();
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            if after < self.oldest_kept_revision.get() {
                return Err(SourceError::HistoryGone);
            }
            let update = self.update(Some(after));
            if update.version_count > 0 || !update.zone_drains.changes.is_empty() {
                return Ok(update);
            }
            changed.await;
        }
    }
}

/// The configuration stored at a revision; its version is the revision.
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

impl ConfigurationSource for OperatorStore {
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
            let update = match after {
                None => self.update(None),
                Some(after) => timeout(wait, self.wait_for_update(after))
                    .await
                    .unwrap_or_else(|_| Ok(self.update(Some(after))))?,
            };
            transfer.on_bytes(1);
            Ok(update)
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

/// Runs a script while a router, with a back end in each of two zones, follows the store of the
/// operator.
async fn follow<F: std::future::Future<Output = ()>>(
    script: impl FnOnce(Rc<OperatorStore>, Rc<Router>) -> F,
) {
    let operator = Rc::new(OperatorStore::default());
    operator.configure();
    let router = router();
    let mut change = DirectoryChange::default();
    for (id, zone) in [("one", "a"), ("two", "b")] {
        let mut back_ends = router.back_ends.borrow_mut();
        back_ends.upsert(entry(id, zone), router.now(), &mut change);
    }
    tokio::select! {
        () = follow_configuration(router.clone(), operator.clone()) => {}
        () = read_missed_zone_drains(router.clone(), operator.clone()) => {}
        () = script(operator, router) => {}
    }
}

/// Ids of the back ends that may get requests.
fn eligible_back_ends(router: &Router) -> Vec<String> {
    let candidates = router.candidates(&[], &[], Retryability::Retryable, None, None);
    let pairs = candidates.pool.list.iter().zip(&candidates.ids);
    let mut ids: Vec<String> = pairs
        .filter(|(candidate, _)| candidate.eligible)
        .map(|(_, id)| id.clone())
        .collect();
    ids.sort();
    ids
}

/// Time in milliseconds after its start from which a router that knows of no other one assumes to
/// be the only one, and may send the full slow-start rate of a cold back end.
const DISCOVERY_MS: u64 = 2100;

#[tokio::test(start_paused = true)]
async fn a_drained_zone_gets_no_requests_until_it_is_undrained() {
    follow(|operator, router| async move {
        after(DISCOVERY_MS).await;
        assert_eq!(eligible_back_ends(&router), ["one", "two"]);
        operator.drain("b", true);
        after(DRAIN_APPLY_MS).await;
        assert_eq!(eligible_back_ends(&router), ["one"]);
        assert!(!router.is_pool_drained(&[]));
        operator.drain("a", true);
        after(DRAIN_APPLY_MS).await;
        assert!(eligible_back_ends(&router).is_empty());
        assert!(router.is_pool_drained(&[]));
        operator.drain("a", false);
        after(DRAIN_APPLY_MS).await;
        assert!(
            eligible_back_ends(&router).is_empty(),
            "it may have turned cold"
        );
        router.update_slow_start();
        assert_eq!(
            eligible_back_ends(&router),
            ["one"],
            "a first request may go there"
        );
        after(3000).await;
        router.update_slow_start();
        assert_eq!(eligible_back_ends(&router), ["one"]);
        assert_eq!(operator.zone_reads.get(), 0, "all came with the feed");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_router_that_starts_during_a_drain_gets_it_with_its_configuration() {
    let operator = Rc::new(OperatorStore::default());
    operator.configure();
    operator.drain("b", true);
    let router = router();
    tokio::select! {
        () = follow_configuration(router.clone(), operator.clone()) => {}
        () = after(DRAIN_APPLY_MS) => {}
    }
    assert_eq!(router.configuration_version(), 1);
    assert!(router.zone_drains.borrow().is_drained("b"));
}

#[tokio::test(start_paused = true)]
async fn drains_are_correct_after_the_store_forgot_its_history() {
    follow(|operator, router| async move {
        operator.drain("b", true);
        after(DRAIN_APPLY_MS).await;
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

/// A router that has a newer configuration from a peer continues reading after the revision of that
/// configuration. It reads older drains of the operator separately; without that read it never
/// learned of them.
#[tokio::test(start_paused = true)]
async fn drains_older_than_a_configuration_from_a_peer_are_not_missed() {
    follow(|operator, router| async move {
        after(DRAIN_APPLY_MS).await;
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

/// A drain from a peer applies while the store does not answer; a later change in the store
/// overrides it.
#[tokio::test(start_paused = true)]
async fn drains_from_peers_apply_while_the_store_is_down_until_the_store_has_newer_ones() {
    follow(|operator, router| async move {
        after(DRAIN_APPLY_MS).await;
        operator.set_down(true);
        operator.drain("b", true);
        let gossiped = ZoneDrain {
            zone: "b".to_owned(),
            drained: true,
            revision: operator.revision.get(),
        };
        let from = SocketAddr::from(([127, 0, 0, 1], 10));
        let gossip = steady_peer_gossip(from, router.configuration_version(), 1);
        router.peers.borrow_mut().receive(&gossip, router.now());
        router.merge_zone_drain(&gossiped, "peer");
        assert_eq!(eligible_back_ends(&router), ["one"]);
        operator.drain("b", false);
        operator.set_down(false);
        after(2500).await;
        assert!(!router.zone_drains.borrow().is_drained("b"));
        router.merge_zone_drain(&gossiped, "peer");
        assert!(
            !router.zone_drains.borrow().is_drained("b"),
            "outdated gossip"
        );
    })
    .await;
}

/// A drain of an unknown zone causes no refusals.
#[tokio::test(start_paused = true)]
async fn a_drain_of_an_unknown_zone_changes_nothing() {
    follow(|operator, router| async move {
        operator.drain("elsewhere", true);
        after(DRAIN_APPLY_MS).await;
        assert_eq!(eligible_back_ends(&router), ["one", "two"]);
        assert!(!router.is_pool_drained(&[]));
    })
    .await;
}
