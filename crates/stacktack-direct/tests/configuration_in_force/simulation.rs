//! A store, a peer and a link on virtual time, and a router that follows them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::configuration::selector::Requirement;
use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::back_ends::zone_drain::ZoneDrainUpdate;
use stacktack_core::direct::traffic::route::{
    Route, RouteKind, RouteTable, Target, TrafficConfiguration,
};
use stacktack_direct::followers::{
    fetch_from_peers, follow_configuration, follow_directory, StoreMonitor,
};
use stacktack_direct::peer_updates::{respond_to_peer, PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{
    ConfigurationSource, ConfigurationUpdate, Directory, DirectoryUpdate, LocalBoxFuture,
    RolloutOrderUpdate, SourceError,
};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::common::{after, router};
use crate::steady_peer::steady_peer;

/// Routes of the document, and its size in the store with them.
const ROUTES: u64 = 1650;
const DOCUMENT_BYTES: usize = 430_000;

/// What callers leave of a link of 10 Mbit/s, in bytes a second.
pub const NARROW: f64 = 800_000.0;

/// A link on which the size of a document hardly counts, in bytes a second.
pub const WIDE: f64 = 20_000_000.0;

/// Time between versions while an operator stores one after the other.
pub const PACE: Duration = Duration::from_millis(1350);

/// Time within which a confirmed version has to be in force.
pub const BOUND: Duration = Duration::from_secs(3);

/// Time after the store's return from which the bound holds.
pub const IN_TOUCH: Duration = Duration::from_secs(4);

/// A link whose transfers share its bandwidth.
pub struct Link {
    pub bytes_per_second: Cell<f64>,
    pub active: Cell<u32>,
    pub carried: Cell<usize>,
}

/// One transfer's share of a link; ends when it is dropped.
struct Share<'a>(&'a Link);

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

impl Link {
    pub fn new(bytes_per_second: f64) -> Rc<Self> {
        Rc::new(Link {
            bytes_per_second: Cell::new(bytes_per_second),
            active: Cell::new(0),
            carried: Cell::new(0),
        })
    }

    pub async fn carry(&self, bytes: usize, transfer: &Transfer) {
        const PIECE: usize = 16 * 1024;
        self.active.set(self.active.get() + 1);
        let _share = Share(self);
        transfer.on_bytes(1);
        let mut left = bytes;
        while left > 0 {
            let piece = left.min(PIECE);
            let seconds = piece as f64 * f64::from(self.active.get()) / self.bytes_per_second.get();
            sleep(Duration::from_secs_f64(seconds)).await;
            transfer.on_bytes(piece);
            self.carried.set(self.carried.get() + piece);
            left -= piece;
        }
    }
}

/// A store that keeps every version, as a feed of changes does.
pub struct Store {
    pub link: Rc<Link>,
    /// Time that each answer takes to begin.
    pub latency: Cell<Duration>,
    pub reachable: Cell<bool>,
    /// Calls from now on that are never answered.
    pub unanswered: Cell<u32>,
    /// Revisions before this one are forgotten.
    pub forgotten: Cell<u64>,
    /// Versions and when they were confirmed; the revision is the index + 1.
    pub confirmed: RefCell<Vec<(u64, Instant)>>,
    pub changed: Notify,
    begun: Instant,
}

impl Store {
    pub fn new(link: Rc<Link>, latency: Duration) -> Rc<Self> {
        Rc::new(Store {
            link,
            latency: Cell::new(latency),
            reachable: Cell::new(true),
            unanswered: Cell::new(0),
            forgotten: Cell::new(0),
            confirmed: RefCell::default(),
            changed: Notify::new(),
            begun: Instant::now(),
        })
    }

    pub fn confirm(&self) {
        let mut confirmed = self.confirmed.borrow_mut();
        let version = confirmed.len() as u64 + 1;
        confirmed.push((version, Instant::now()));
        drop(confirmed);
        self.changed.notify_waiters();
    }

    pub fn set_reachable(&self, reachable: bool) {
        self.reachable.set(reachable);
        self.changed.notify_waiters();
    }

    /// Its clock, in milliseconds.
    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1
    }

    pub fn revision(&self) -> u64 {
        self.confirmed.borrow().len() as u64
    }

    pub fn confirmed_at(&self, version: u64) -> Instant {
        self.confirmed.borrow()[version as usize - 1].1
    }

    /// Waits until there is something after a revision, or fails with the store.
    pub async fn news_after(&self, revision: u64) -> Result<(), SourceError> {
        loop {
            let changed = self.changed.notified();
            if !self.reachable.get() {
                return Err(SourceError::Broken);
            }
            if self.revision() > revision {
                return Ok(());
            }
            changed.await;
        }
    }

    pub async fn read(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: &Transfer,
    ) -> Result<ConfigurationUpdate, SourceError> {
        if !self.reachable.get() {
            sleep(Duration::from_millis(6)).await;
            return Err(SourceError::Unreached);
        }
        if self.unanswered.get() > 0 {
            self.unanswered.set(self.unanswered.get() - 1);
            return std::future::pending().await;
        }
        if let Some(revision) = after {
            if revision < self.forgotten.get() {
                return Err(SourceError::HistoryGone);
            }
            if let Ok(Err(error)) = timeout(wait, self.news_after(revision)).await {
                return Err(error);
            }
        }
        let revision = self.revision();
        let documents = match after {
            Some(after) => revision.saturating_sub(after),
            None => revision.min(1),
        };
        sleep(self.latency.get()).await;
        let bytes = documents as usize * DOCUMENT_BYTES;
        self.link.carry(bytes, transfer).await;
        Ok(ConfigurationUpdate {
            revision,
            answered_at_ms: self.clock(),
            version_count: documents as usize,
            configuration: (documents > 0).then(|| configuration(revision)),
            invalid: false,
            zone_drains: ZoneDrainUpdate::default(),
            rollouts: RolloutOrderUpdate::default(),
        })
    }
}

impl ConfigurationSource for Store {
    fn configuration(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ConfigurationUpdate, SourceError>> {
        Box::pin(async move { self.read(after, wait, &transfer).await })
    }

    fn zone_drains(
        &self,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<ZoneDrainUpdate, SourceError>> {
        Box::pin(async move {
            Ok(ZoneDrainUpdate {
                changes: Vec::new(),
                snapshot_revision: Some(self.revision()),
            })
        })
    }
}

impl Directory for Store {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        Box::pin(async move {
            if !self.reachable.get() {
                return Err(SourceError::Unreached);
            }
            if after.is_some() {
                sleep(wait).await;
            }
            if !self.reachable.get() {
                return Err(SourceError::Broken);
            }
            sleep(self.latency.get()).await;
            transfer.on_bytes(1);
            Ok(DirectoryUpdate {
                revision: 1,
                answered_at_ms: self.clock(),
                delta: DirectoryDelta {
                    whole: after.is_none(),
                    revision: 1,
                    ..DirectoryDelta::default()
                },
                invalid_rows: Vec::new(),
            })
        })
    }
}

/// Version `version` of the configuration: each adds one route.
fn configuration(version: u64) -> TrafficConfiguration {
    TrafficConfiguration {
        version,
        revision: version,
        routes: RouteTable::new((0..ROUTES + version).map(route)),
        ..TrafficConfiguration::default()
    }
}

fn route(number: u64) -> Route {
    Route {
        name: format!("route-{number}"),
        host: "albums.example".to_owned(),
        path_prefix: format!("/album-{number}/"),
        kind: RouteKind::Repeatable,
        targets: vec![Target {
            back_ends: vec![Requirement {
                key: "service".to_owned(),
                equals: Some("albums".to_owned()),
                not_equals: None,
                one_of: None,
                not_in: None,
                exists: None,
            }],
            weight: 1000,
        }],
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        priority: 0,
        max_attempts: 2,
        public: false,
    }
}

/// A peer with all that is confirmed, behind the router's link.
pub struct Peer {
    pub router: Rc<Router>,
    pub link: Rc<Link>,
}

impl Peer {
    pub fn new(link: Rc<Link>) -> Rc<Self> {
        Rc::new(Peer {
            router: router(),
            link,
        })
    }
}

impl PeerSource for Peer {
    fn fetch_update(
        &self,
        _: SocketAddr,
        known: PeerQuery,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        Box::pin(async move {
            let (_, body) = respond_to_peer(&self.router, &known.path_and_query());
            self.link.carry(body.len(), &transfer).await;
            PeerUpdate::decode(&body)
        })
    }
}

/// Takes each version over at the peer, and tells the router of it.
async fn keep_peer(peer: Rc<Peer>, store: Rc<Store>, router: Rc<Router>) {
    loop {
        sleep(Duration::from_millis(100)).await;
        while peer.router.configuration_version() < store.revision() {
            let next = peer.router.configuration_version() + 1;
            peer.router
                .apply_configuration(Arc::new(configuration(next)));
        }
        let (version, revision) = (
            peer.router.configuration_version(),
            peer.router.directory_revision(),
        );
        let news = steady_peer(SocketAddr::from(([127, 0, 0, 1], 10)), version, revision);
        router.peers.borrow_mut().receive(&news, router.now());
    }
}

/// Runs a script beside a router that follows the store, and a peer if there is one.
pub async fn follow<F: std::future::Future<Output = ()>>(
    store: &Rc<Store>,
    peer: Option<Rc<Peer>>,
    script: impl FnOnce(Rc<Router>, Rc<StoreMonitor>) -> F,
) {
    let router = router();
    let dependency = Rc::new(StoreMonitor::new("store").expect("chart"));
    let configuration = follow_configuration(router.clone(), store.clone(), dependency.clone());
    let directory = follow_directory(router.clone(), store.clone(), dependency.clone());
    let peers = async {
        let Some(peer) = peer else {
            return std::future::pending().await;
        };
        let following = fetch_from_peers(router.clone(), peer.clone());
        tokio::join!(following, keep_peer(peer, store.clone(), router.clone()));
    };
    tokio::select! {
        () = configuration => {}
        () = directory => {}
        () = peers => {}
        () = script(router.clone(), dependency.clone()) => {}
    }
}

/// Longest time for which a confirmed version was not in force, watched for `span`.
pub async fn latest_in_force(router: &Router, store: &Store, span: Duration) -> Duration {
    let end = Instant::now() + span;
    let mut longest = Duration::ZERO;
    while Instant::now() < end {
        let first_missing = router.configuration_version() + 1;
        if first_missing <= store.revision() {
            longest = longest.max(store.confirmed_at(first_missing).elapsed());
        }
        after(20).await;
    }
    longest
}

/// Confirms a version at every [`PACE`], for ever.
pub async fn confirm_often(store: &Store) {
    loop {
        sleep(PACE).await;
        store.confirm();
    }
}
