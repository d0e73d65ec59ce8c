//! How soon a router knows that a back end leaves, on virtual time.
//!
//! The story. Users saw requests reach back ends more than 4 s after the store had confirmed
//! that they leave, from routers that nothing had struck: 213 in many runs before 180 back
//! ends, several routers at the same moment. In a play of our own all 103 routers had got the
//! same news, gathered for 2 s in step, and asked again together, inside the one second in which the
//! store answered nobody. Their connections said nothing from then on. Each waited for news for
//! 20 s, no peer knew more, and ten back ends left meanwhile: 267 requests late, up to 10 s.
//!
//! The evidence: no line of the directory at any router from 11.6 to 34.8 s; then all of them
//! lose the store within 10 ms and have it back 0.1 s later. With real processes, 24 routers
//! whose connections to the store fall silent: 242 requests late, `stale=true` at all of them
//! for up to 20 s, `store_lost=false` in each of these lines, none held, no timer later than 0.7 s.
//!
//! The cause: how long a read may wait followed the number of routers and not the time in which
//! a departure has to be known; and nobody could tell a store with nothing to say from a
//! connection that says nothing.

use std::cell::Cell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::direct::traffic::route::TrafficConfiguration;
use stacktack_direct::followers::{fetch_from_peers, follow_directory, StoreMonitor};
use stacktack_direct::peer_updates::{PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::time::Instant;

use crate::common::{after, router};
use crate::scripted_directory::ScriptedDirectory;
use crate::serving_peer::{told_by, ServingPeer};
use crate::steady_peer::steady_peer;

/// Peers that wait in step with the router and know no more than it does.
const PEERS: u8 = 102;

/// Runs a script beside a router that follows a directory with back ends `a`, `b` and `c`.
async fn follow<F: Future<Output = ()>>(
    script: impl FnOnce(Rc<ScriptedDirectory>, Rc<Router>) -> F,
) {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b", "c"] {
        directory.set(id, true);
    }
    let router = router();
    let store = Rc::new(StoreMonitor::new("store").expect("chart"));
    tokio::select! {
        () = follow_directory(router.clone(), directory.clone(), store) => {}
        () = beside_peers(router.clone(), || true) => {}
        () = script(directory, router.clone()) => {}
    }
}

/// Peers tell for ever that they know as much as the router, and whether the store answered
/// them steadily.
async fn beside_peers(router: Rc<Router>, settled: impl Fn() -> bool) {
    loop {
        after(100).await;
        let now = router.now();
        for number in 0..PEERS {
            let from = SocketAddr::from(([127, 0, 1, number], 9));
            let mut news = steady_peer(from, 0, router.directory_revision());
            news.directory_steady = settled();
            router.peers.borrow_mut().receive(&news, now);
        }
    }
}

fn takes_work(router: &Router, id: &str) -> bool {
    let back_ends = router.back_ends.borrow();
    back_ends.get(id).is_some_and(|known| !known.entry.leaving)
}

/// Time until a back end gets no work any more.
async fn known_after(router: &Router, id: &str) -> Duration {
    let begun = Instant::now();
    while takes_work(router, id) && begun.elapsed() < Duration::from_secs(40) {
        after(10).await;
    }
    begun.elapsed()
}

/// All reads under way are dead, here and at all peers, and the store answers whoever asks anew.
#[tokio::test(start_paused = true)]
async fn a_departure_is_known_in_time_although_the_waiting_reads_are_never_answered() {
    for pause in (0..6000).step_by(250) {
        for by_row in [false, true] {
            let script = |directory: Rc<ScriptedDirectory>, router: Rc<Router>| async move {
                after(5000).await;
                directory.set("c", false);
                after(2500).await;
                directory.silence_calls_under_way();
                after(pause).await;
                match by_row {
                    true => directory.set("a", false),
                    false => directory.set_leaving("a"),
                }
                let known = known_after(&router, "a").await;
                let bound = router.bounds().drain_timeout;
                assert!(
                    known < bound,
                    "pause {pause} ms, by row {by_row}: {known:?}"
                );
                assert!(takes_work(&router, "b"));
            };
            follow(script).await;
        }
    }
}

/// A directory that refuses one router while it is away from it.
struct Away(Rc<ScriptedDirectory>, Rc<Cell<bool>>);

impl Directory for Away {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        if self.1.get() {
            return Box::pin(async { Err(SourceError::Refused(503)) });
        }
        let away = self.1.clone();
        Box::pin(async move {
            let answer = self.0.back_ends(after, wait, transfer).await;
            if away.get() {
                return Err(SourceError::Broken);
            }
            answer
        })
    }
}

/// A router that the store may turn away, beside a peer that it answers.
struct Pair {
    directory: Rc<ScriptedDirectory>,
    away: Rc<Cell<bool>>,
    router: Rc<Router>,
    peer: Rc<Router>,
}

/// Runs a script beside a router that the store may turn away, and that asks peers.
async fn follow_beside_peer<F: Future<Output = ()>, S: PeerSource + 'static>(
    source: impl FnOnce(Rc<Router>) -> S,
    script: impl FnOnce(Rc<Pair>) -> F,
) {
    let pair = Rc::new(Pair {
        directory: Rc::new(ScriptedDirectory::default()),
        away: Rc::default(),
        router: router(),
        peer: router(),
    });
    for id in ["a", "b"] {
        pair.directory.set(id, true);
    }
    let store = || Rc::new(StoreMonitor::new("store").expect("chart"));
    let (own_store, peer_store) = (store(), store());
    let source = Rc::new(source(pair.peer.clone()));
    let directory = Rc::new(Away(pair.directory.clone(), pair.away.clone()));
    tokio::select! {
        () = follow_directory(pair.router.clone(), directory, own_store.clone()) => {}
        () = follow_directory(pair.peer.clone(), pair.directory.clone(), peer_store) => {}
        () = fetch_from_peers(pair.router.clone(), source) => {}
        () = script(pair.clone()) => {}
    }
}

impl Pair {
    /// Peers tell for ever what the one that the store answers has decided.
    async fn told_by(&self, peers: &[SocketAddr], settled: bool) {
        loop {
            for from in peers {
                let mut news = steady_peer(*from, 0, self.peer.directory_revision());
                news.directory_steady = settled;
                let now = self.router.now();
                self.router.peers.borrow_mut().receive(&news, now);
            }
            after(50).await;
        }
    }

    /// Time until back end `a` gets no work any more, beside what peers tell.
    async fn known_after(&self, peers: &[SocketAddr], settled: bool) -> Duration {
        tokio::select! {
            known = known_after(&self.router, "a") => known,
            () = self.told_by(peers, settled) => unreachable!("goes on"),
        }
    }
}

/// The peer that answers.
const ANSWERING: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 2)), 9);

/// The store was away for this router, so that it holds a departure back; a peer has decided it,
/// and does not tell that the store answers it steadily. The router had heard of the departure, and
/// never asked the peer for it.
#[tokio::test(start_paused = true)]
async fn a_pending_removal_is_fetched_from_a_peer_that_has_decided_it() {
    follow_beside_peer(ServingPeer, |pair| async move {
        after(3000).await;
        pair.away.set(true);
        after(1500).await;
        pair.directory.set("a", false);
        after(600).await;
        pair.away.set(false);
        let known = pair.known_after(&[ANSWERING], false).await;
        assert!(known < Duration::from_millis(1500), "{known:?}");
        assert!(takes_work(&pair.router, "b"));
    })
    .await;
}

/// One peer whose connections say nothing, and one that answers.
struct OneSilentPeer(Rc<Router>);

/// The peer that says nothing.
const SILENT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 9);

impl PeerSource for OneSilentPeer {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        known: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        if peer == SILENT {
            return Box::pin(std::future::pending());
        }
        told_by(&self.0, known)
    }
}

/// The store turns this router away, and the connection to the peer that is asked first says
/// nothing: the departure is taken from another one in time.
#[tokio::test(start_paused = true)]
async fn a_departure_is_known_in_time_although_a_peer_never_answers() {
    follow_beside_peer(OneSilentPeer, |pair| async move {
        after(3000).await;
        pair.away.set(true);
        after(3000).await;
        pair.directory.set_leaving("a");
        let known = pair.known_after(&[SILENT, ANSWERING], true).await;
        assert!(known < pair.router.bounds().drain_timeout, "{known:?}");
    })
    .await;
}

/// Time after the end of an outage from which a router is bound by departures again.
const CONTACT: Duration = Duration::from_secs(3);

/// Time after the beginning of an outage for which peers still tell that the store answers them: a
/// round of news of a small fleet, and of a larger one.
const TOLD_STILL: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(2500)];

/// Outages played of each kind: each length several times.
const LENGTHS: usize = 123;

/// How the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    Refuses,
    SaysNothing,
}

async fn outage(directory: &ScriptedDirectory, kind: Outage, millis: u64) {
    match kind {
        Outage::Refuses => {
            directory.set_down(true);
            after(millis).await;
            directory.set_down(false);
        }
        Outage::SaysNothing => {
            let end = Instant::now() + Duration::from_millis(millis);
            while Instant::now() < end {
                directory.silence_calls_under_way();
                after(2).await;
            }
        }
    }
}

/// A back end vanishes, the store confirms it and is away at once, so that routers hear of it
/// after its return: whoever only could not renew its entry may come back for 2.2 s from then on. A router
/// that noticed the return late held the departure for as much longer than it may.
#[tokio::test(start_paused = true)]
async fn a_removal_right_before_an_outage_takes_effect_in_time_after_it() {
    let mut latest = Duration::ZERO;
    // Pauses are drawn; the finer steps are where they mattered.
    let lengths = (100..2000).step_by(50).chain([2500, 4000, 7000]);
    for kind in [Outage::Refuses, Outage::SaysNothing] {
        for told_still in TOLD_STILL {
            for before in [20, 500, 1200, 1900] {
                for millis in lengths.clone().cycle().take(LENGTHS) {
                    let known = known_after_outage(kind, told_still, before, millis).await;
                    assert!(
                        known < CONTACT,
                        "{kind:?} {told_still:?} {before} ms before, {millis} ms: {known:?}"
                    );
                    latest = latest.max(known);
                }
            }
        }
    }
    println!("latest {latest:?} after the return");
}

/// Time from the store's return until a departure is believed that came so long before the outage.
async fn known_after_outage(
    kind: Outage,
    told_still: Duration,
    before: u64,
    millis: u64,
) -> Duration {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b", "c"] {
        directory.set(id, true);
    }
    let router = router();
    // Only who has a configuration leaves the store to its peers.
    router.apply_configuration(Arc::new(TrafficConfiguration {
        version: 1,
        ..TrafficConfiguration::default()
    }));
    let store = Rc::new(StoreMonitor::new("store").expect("chart"));
    let away_at = Instant::now() + Duration::from_millis(6000 + before);
    // The store stops answering the peers together with the router, and they notice its return no
    // sooner than it does.
    let settled = || Instant::now() < away_at + told_still;
    let script = async {
        after(5500).await;
        // Other news, after which routers gather.
        directory.set("c", false);
        after(500).await;
        directory.set("a", false);
        after(before).await;
        outage(&directory, kind, millis).await;
        let back = Instant::now();
        known_after(&router, "a").await;
        assert!(takes_work(&router, "b"));
        back.elapsed()
    };
    tokio::select! {
        known = script => known,
        () = beside_peers(router.clone(), settled) => unreachable!("goes on"),
        () = follow_directory(router.clone(), directory.clone(), store) => unreachable!("goes on"),
    }
}
