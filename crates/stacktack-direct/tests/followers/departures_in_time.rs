//! How soon a router knows the departure of a back end, on virtual time. A back end departs when it
//! announces that it leaves, or when its entry disappears from the directory.
//!
//! These tests guard against the following failure. Requests reached back ends more than 4 s after
//! the store had confirmed that these leave, sent by routers that had suffered no fault: 213
//! requests in many runs with 180 back ends, sent by several routers at the same time. In a
//! simulation, all 103 routers had received the same update, collected further updates for 2 s in
//! step, and asked the store again at the same time, in the one second in which it answered nobody.
//! Their connections stayed silent from then on. Each router waited there for updates for 20 s, no
//! peer had a newer revision, and ten back ends left meanwhile: 267 requests were up to 10 s late.
//!
//! No router logged an update of the directory from 11.6 to 34.8 s; then all of them lost the store
//! within 10 ms and regained it 0.1 s later. With 24 router processes whose connections to the
//! store fall silent, 242 requests were late. All routers logged `stale=true` for up to 20 s, and
//! `store_lost=false` in each of these lines; no removal was pending, and no timer fired more than
//! 0.7 s late.
//!
//! The causes: how long a read may wait depended on the number of routers, and not on the time in
//! which a departure has to be known; and a router could not tell a store without updates from a
//! connection that is dead without a reset.

use std::cell::Cell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::direct::peers::source_age::{EncodedAge, SourceAges};
use stacktack_core::direct::traffic::route::TrafficConfiguration;
use stacktack_direct::followers::{fetch_from_peers, follow_directory};
use stacktack_direct::peer_updates::{PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::time::Instant;

use crate::common::{after, router};
use crate::reads;
use crate::scripted_directory::ScriptedDirectory;
use crate::serving_peer::{update_from, ServingPeer};
use crate::steady_peer::steady_peer_gossip;

/// Number of peers, which wait in step with the router and know no more than it does.
const PEERS: u8 = 102;

/// Runs a script while a router with steady peers follows a directory with back ends `a`, `b` and
/// `c`.
async fn follow<F: Future<Output = ()>>(
    script: impl FnOnce(Rc<ScriptedDirectory>, Rc<Router>) -> F,
) {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b", "c"] {
        directory.set(id, true);
    }
    let router = router();
    tokio::select! {
        () = follow_directory(router.clone(), directory.clone()) => {}
        () = gossip_from_peers(router.clone(), || true) => {}
        () = script(directory, router.clone()) => {}
    }
}

/// Peers gossip, forever, the directory revision of the router, and whether the directory answers
/// them steadily.
async fn gossip_from_peers(router: Rc<Router>, steady: impl Fn() -> bool) {
    loop {
        after(100).await;
        let now = router.now();
        for number in 0..PEERS {
            let from = SocketAddr::from(([127, 0, 1, number], 9));
            let mut gossip = steady_peer_gossip(from, 0, router.directory_revision());
            gossip.directory_steady = steady();
            router.peers.borrow_mut().receive(&gossip, now);
        }
    }
}

fn accepts_work(router: &Router, id: &str) -> bool {
    let back_ends = router.back_ends.borrow();
    back_ends.get(id).is_some_and(|known| !known.entry.leaving)
}

/// Time until the router knows the departure of a back end, so that it sends no work there; at most
/// 40 s.
async fn time_until_known(router: &Router, id: &str) -> Duration {
    let started = Instant::now();
    while accepts_work(router, id) && started.elapsed() < Duration::from_secs(40) {
        after(10).await;
    }
    started.elapsed()
}

/// All reads in flight are never answered, at the router and at all peers; the store answers new
/// calls.
#[tokio::test(start_paused = true)]
async fn a_departure_is_known_in_time_although_the_waiting_reads_are_never_answered() {
    for pause_ms in (0..6000).step_by(250) {
        for entry_removed in [false, true] {
            let script = |directory: Rc<ScriptedDirectory>, router: Rc<Router>| async move {
                after(5000).await;
                directory.set("c", false);
                after(2500).await;
                directory.silence_calls_in_flight();
                after(pause_ms).await;
                match entry_removed {
                    true => directory.set("a", false),
                    false => directory.set_leaving("a"),
                }
                let delay = time_until_known(&router, "a").await;
                let bound = router.bounds().drain_timeout;
                assert!(
                    delay < bound,
                    "pause {pause_ms} ms, entry removed {entry_removed}: {delay:?}"
                );
                assert!(accepts_work(&router, "b"));
            };
            follow(script).await;
        }
    }
}

/// A directory that refuses the calls of one router while the flag is set.
struct RefusingDirectory(Rc<ScriptedDirectory>, Rc<Cell<bool>>);

impl Directory for RefusingDirectory {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        if self.1.get() {
            return Box::pin(async { Err(SourceError::Refused(503)) });
        }
        let refuses = self.1.clone();
        Box::pin(async move {
            let answer = self.0.back_ends(after, wait, transfer).await;
            if refuses.get() {
                return Err(SourceError::Broken);
            }
            answer
        })
    }
}

/// A router whose calls the store may refuse, and a peer that the store answers.
struct RouterAndPeer {
    directory: Rc<ScriptedDirectory>,
    refuses_router: Rc<Cell<bool>>,
    router: Rc<Router>,
    peer: Rc<Router>,
}

/// Runs a script while a router follows a store that may refuse its calls, and asks a peer.
async fn follow_beside_peer<F: Future<Output = ()>, S: PeerSource + 'static>(
    source: impl FnOnce(Rc<Router>) -> S,
    script: impl FnOnce(Rc<RouterAndPeer>) -> F,
) {
    let pair = Rc::new(RouterAndPeer {
        directory: Rc::new(ScriptedDirectory::default()),
        refuses_router: Rc::default(),
        router: router(),
        peer: router(),
    });
    for id in ["a", "b"] {
        pair.directory.set(id, true);
    }
    let source = Rc::new(source(pair.peer.clone()));
    let directory = Rc::new(RefusingDirectory(
        pair.directory.clone(),
        pair.refuses_router.clone(),
    ));
    tokio::select! {
        () = follow_directory(pair.router.clone(), directory) => {}
        () = follow_directory(pair.peer.clone(), pair.directory.clone()) => {}
        () = fetch_from_peers(pair.router.clone(), source) => {}
        () = script(pair.clone()) => {}
    }
}

impl RouterAndPeer {
    /// The router receives, forever, gossip from these addresses with the directory revision of the
    /// peer that the store answers.
    async fn gossip_from(&self, peers: &[SocketAddr], steady: bool) {
        loop {
            for from in peers {
                let mut gossip = steady_peer_gossip(*from, 0, self.peer.directory_revision());
                gossip.directory_steady = steady;
                let now = self.router.now();
                self.router.peers.borrow_mut().receive(&gossip, now);
            }
            after(50).await;
        }
    }

    /// Time until the router knows the departure of back end `a`, while it receives gossip from
    /// these addresses.
    async fn time_until_known(&self, peers: &[SocketAddr], steady: bool) -> Duration {
        tokio::select! {
            delay = time_until_known(&self.router, "a") => delay,
            () = self.gossip_from(peers, steady) => unreachable!("endless"),
        }
    }
}

/// Address of the peer that answers queries.
const ANSWERING: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 2)), 9);

/// The store refused the calls of this router for a while, so that a removal is still pending here.
/// A peer has decided the removal, but does not gossip that the store answers it steadily. The
/// router had received the removal from the store itself, and never asked the peer about it.
#[tokio::test(start_paused = true)]
async fn a_pending_removal_is_fetched_from_a_peer_that_has_decided_it() {
    follow_beside_peer(ServingPeer, |pair| async move {
        after(3000).await;
        pair.refuses_router.set(true);
        after(1500).await;
        pair.directory.set("a", false);
        after(600).await;
        pair.refuses_router.set(false);
        let delay = pair.time_until_known(&[ANSWERING], false).await;
        assert!(delay < Duration::from_millis(1500), "{delay:?}");
        assert!(accepts_work(&pair.router, "b"));
    })
    .await;
}

/// Two peers: one never answers, the other one answers with what this router knows.
struct OneSilentPeer(Rc<Router>);

/// Address of the peer that never answers.
const SILENT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 9);

impl PeerSource for OneSilentPeer {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        query: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        if peer == SILENT {
            return Box::pin(std::future::pending());
        }
        update_from(&self.0, query)
    }
}

/// The store refuses the calls of this router, and the peer that is asked first never answers: the
/// departure is fetched from the other peer in time.
#[tokio::test(start_paused = true)]
async fn a_departure_is_known_in_time_although_a_peer_never_answers() {
    follow_beside_peer(OneSilentPeer, |pair| async move {
        after(3000).await;
        pair.refuses_router.set(true);
        after(3000).await;
        pair.directory.set_leaving("a");
        let delay = pair.time_until_known(&[SILENT, ANSWERING], true).await;
        assert!(delay < pair.router.bounds().drain_timeout, "{delay:?}");
    })
    .await;
}

/// Time after the end of an outage from which a router must act on departures again.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);

/// Times after the start of an outage for which peers still gossip that the store answers them: a
/// round of gossip in a small fleet, and in a larger one.
const GOSSIP_DELAYS: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(2500)];

/// Number of simulated outages for each combination of the other parameters; each length occurs
/// several times.
const OUTAGES: usize = 123;

/// How the store behaves during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// All calls fail.
    Refuses,
    /// No call is answered.
    Silent,
}

async fn simulate_outage(directory: &ScriptedDirectory, kind: Outage, outage_ms: u64) {
    match kind {
        Outage::Refuses => {
            directory.set_down(true);
            after(outage_ms).await;
            directory.set_down(false);
        }
        Outage::Silent => {
            let end = Instant::now() + Duration::from_millis(outage_ms);
            while Instant::now() < end {
                directory.silence_calls_in_flight();
                after(2).await;
            }
        }
    }
}

/// The entry of a back end disappears right before an outage of the store, so that routers learn of
/// it after the outage. They keep the removal pending for 2.2 s, in which live back ends renew
/// their entries. A router that noticed the end of the outage late kept it pending for that much
/// too long.
#[tokio::test(start_paused = true)]
async fn a_removal_right_before_an_outage_takes_effect_in_time_after_it() {
    let mut max_delay = Duration::ZERO;
    // The router's pauses are random; the lengths have small steps where the pauses matter most.
    let outage_lengths = (100..2000).step_by(50).chain([2500, 4000, 7000]);
    for kind in [Outage::Refuses, Outage::Silent] {
        for gossip_delay in GOSSIP_DELAYS {
            for lead_ms in [20, 500, 1200, 1900] {
                for outage_ms in outage_lengths.clone().cycle().take(OUTAGES) {
                    let delay = delay_after_outage(kind, gossip_delay, lead_ms, outage_ms).await;
                    assert!(
                        delay < CATCH_UP_TIME,
                        "{kind:?} {gossip_delay:?} {lead_ms} ms before, {outage_ms} ms: {delay:?}"
                    );
                    max_delay = max_delay.max(delay);
                }
            }
        }
    }
    println!("at most {max_delay:?} after the outage");
}

/// Time from the end of an outage until a removal takes effect that occurred `lead_ms` before the
/// start of the outage.
async fn delay_after_outage(
    kind: Outage,
    gossip_delay: Duration,
    lead_ms: u64,
    outage_ms: u64,
) -> Duration {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b", "c"] {
        directory.set(id, true);
    }
    let router = router();
    // Only a router with a configuration makes longer pauses between failed calls while its peers
    // gossip that the directory answers them.
    router.apply_configuration(Arc::new(TrafficConfiguration {
        version: 1,
        ..TrafficConfiguration::default()
    }));
    let outage_start = Instant::now() + Duration::from_millis(6000 + lead_ms);
    // The outage also affects the peers, and they notice its end no sooner than the router.
    let steady = || Instant::now() < outage_start + gossip_delay;
    let script = async {
        after(5500).await;
        // Another update, after which routers wait to collect further ones.
        directory.set("c", false);
        after(500).await;
        directory.set("a", false);
        after(lead_ms).await;
        simulate_outage(&directory, kind, outage_ms).await;
        let outage_end = Instant::now();
        time_until_known(&router, "a").await;
        assert!(accepts_work(&router, "b"));
        outage_end.elapsed()
    };
    tokio::select! {
        delay = script => delay,
        () = gossip_from_peers(router.clone(), steady) => unreachable!("endless"),
        () = follow_directory(router.clone(), directory.clone()) => unreachable!("endless"),
    }
}

/// Peers report an answer that the store makes now.
fn report_answer(directory: &ScriptedDirectory, router: &Router) {
    let from = SocketAddr::from(([127, 0, 1, 1], 9));
    let gossip = steady_peer_gossip(from, 0, router.directory_revision());
    router.peers.borrow_mut().receive(&gossip, router.now());
    let ages = SourceAges {
        directory: EncodedAge::new(Duration::ZERO),
        configuration: None,
    };
    router.apply_source_ages(&gossip, &ages, &reads(directory));
}

/// Time from a failed call of a router in a new outage to its next call, some time after an outage
/// whose end only its peers have seen.
async fn retry_delay_in_a_second_outage() -> Option<Duration> {
    let directory = Rc::new(ScriptedDirectory::default());
    directory.set("a", true);
    let router = router();
    router.apply_configuration(Arc::new(TrafficConfiguration {
        version: 1,
        ..TrafficConfiguration::default()
    }));
    let script = async {
        after(3000).await;
        directory.set_down(true);
        after(9000).await;
        let calls_in_first_outage = directory.calls.get();
        for _ in 0..40 {
            report_answer(&directory, &router);
            after(100).await;
        }
        if directory.calls.get() > calls_in_first_outage + 1 {
            return None;
        }
        // Calls right after the last report are not repeated.
        after(1000).await;
        let mut made = [Instant::now(); 2];
        for made in &mut made {
            let calls = directory.calls.get();
            while directory.calls.get() == calls {
                after(5).await;
            }
            *made = Instant::now();
        }
        Some(made[1] - made[0])
    };
    tokio::select! {
        delay = script => delay,
        () = gossip_from_peers(router.clone(), || true) => unreachable!("endless"),
        () = follow_directory(router.clone(), directory.clone()) => unreachable!("endless"),
    }
}

/// Guards against pauses of an outage that ended long ago, after the first failed call of another one.
#[tokio::test(start_paused = true)]
async fn the_first_retry_of_an_outage_comes_soon_although_only_peers_saw_the_end_of_the_last_one() {
    let mut checked = 0;
    for _ in 0..20 {
        if let Some(delay) = retry_delay_in_a_second_outage().await {
            // A poll without an answer is repeated after a fifth of the bound of 3 s.
            assert!(delay <= Duration::from_millis(610), "{delay:?}");
            checked += 1;
        }
    }
    assert!(checked > 0);
}
