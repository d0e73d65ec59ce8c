//! What a start costs the store, on virtual time.
//!
//! The story. 357 routers that started within a second read the whole configuration (109 kB) and the whole
//! directory (642 entries) from the store, each for itself, and went on to wait there for every change: 10,864 to
//! 16,574 calls on a day of half a minute, where one router could have told the others.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use stacktack_direct::followers::{fetch_from_peers, follow_directory, StoreMonitor};
use stacktack_direct::peer_updates::{PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use crate::common::{after, router, router_with_seeds};
use crate::scripted_directory::ScriptedDirectory;
use crate::serving_peer::{told_by, ServingPeer};
use crate::steady_peer::steady_peer;

/// A router that everybody knows from the settings.
const SEED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 9);

/// A directory that counts the calls of one router.
struct Counted {
    directory: Rc<ScriptedDirectory>,
    calls: Cell<u32>,
}

impl Directory for Counted {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        transfer: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        self.calls.set(self.calls.get() + 1);
        self.directory.back_ends(after, wait, transfer)
    }
}

/// A router tells another one for ever what it knows.
async fn tell(from: Rc<Router>, to: Rc<Router>) {
    loop {
        let news = steady_peer(SEED, 0, from.directory_revision());
        to.peers.borrow_mut().receive(&news, to.now());
        to.apply_source_ages(&news, &from.source_ages(), &from.source_reads());
        after(100).await;
    }
}

pub fn store() -> Rc<StoreMonitor> {
    Rc::new(StoreMonitor::new("store").expect("chart"))
}

fn knows(router: &Router, id: &str) -> bool {
    router.back_ends.borrow().get(id).is_some()
}

/// A router starts beside one that serves, and follows it for half a minute in which back ends come and go.
#[tokio::test(start_paused = true)]
async fn a_router_that_joins_a_running_fleet_makes_no_calls_to_the_store() {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b"] {
        directory.set(id, true);
    }
    let (serving, starting) = (router(), router_with_seeds(&[SEED]));
    let counted = Rc::new(Counted {
        directory: directory.clone(),
        calls: Cell::default(),
    });
    let script = async {
        after(2000).await;
        let start = async {
            after(700).await;
            assert!(knows(&starting, "a") && knows(&starting, "b"));
            for round in 0..30 {
                directory.set("c", round % 2 == 0);
                after(1000).await;
                assert_eq!(knows(&starting, "c"), round % 2 == 0, "round {round}");
            }
        };
        tokio::select! {
            () = start => {}
            () = follow_directory(starting.clone(), counted.clone(), store()) => {}
            () = fetch_from_peers(starting.clone(), Rc::new(ServingPeer(serving.clone()))) => {}
            () = tell(serving.clone(), starting.clone()) => {}
        }
    };
    tokio::select! {
        () = script => {}
        () = follow_directory(serving.clone(), directory.clone(), store()) => {}
    }
    assert_eq!(counted.calls.get(), 0);
}

/// A process that stood still reads what waited meanwhile: what it says of ages was true then.
#[tokio::test(start_paused = true)]
async fn a_process_counts_as_caught_up_only_some_time_after_a_stall() {
    let router = router();
    for _ in 0..5 {
        after(100).await;
        router.record_activity();
        assert!(router.is_caught_up());
    }
    after(3000).await;
    router.record_activity();
    for _ in 0..4 {
        assert!(!router.is_caught_up());
        after(100).await;
        router.record_activity();
    }
    after(150).await;
    assert!(router.is_caught_up());
}

/// A peer that answers nobody any more, and goes on to tell that it knows more.
struct Mute(Rc<Router>, Rc<Cell<bool>>);

impl PeerSource for Mute {
    fn fetch_update(
        &self,
        _: SocketAddr,
        known: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        if self.1.get() {
            return Box::pin(std::future::pending());
        }
        told_by(&self.0, known)
    }
}

/// Whoever knows that there is news and gets it from nobody asks the store, though nothing that it
/// knows is old.
#[tokio::test(start_paused = true)]
async fn an_update_that_no_peer_provides_is_read_from_the_store() {
    let directory = Rc::new(ScriptedDirectory::default());
    directory.set("a", true);
    let (serving, starting) = (router(), router_with_seeds(&[SEED]));
    let mute = Rc::new(Cell::new(false));
    let source = Rc::new(Mute(serving.clone(), mute.clone()));
    let script = async {
        after(2000).await;
        assert!(knows(&starting, "a"));
        mute.set(true);
        directory.set("b", true);
        let bound = starting.bounds().drain_timeout;
        after(bound.as_millis() as u64 * 8 / 10).await;
        assert!(knows(&starting, "b"));
    };
    tokio::select! {
        () = script => {}
        () = follow_directory(serving.clone(), directory.clone(), store()) => {}
        () = follow_directory(starting.clone(), directory.clone(), store()) => {}
        () = fetch_from_peers(starting.clone(), source) => {}
        () = tell(serving.clone(), starting.clone()) => {}
    }
}

/// Nobody answers a router that starts: it asks the store before a caller would notice.
#[tokio::test(start_paused = true)]
async fn a_router_that_starts_without_live_peers_soon_asks_the_store() {
    for _ in 0..20 {
        let directory = Rc::new(ScriptedDirectory::default());
        directory.set("a", true);
        let starting = router_with_seeds(&[SEED]);
        tokio::select! {
            () = follow_directory(starting.clone(), directory.clone(), store()) => {}
            () = after(650) => {}
        }
        assert!(knows(&starting, "a"));
    }
}

/// The one that everybody knows does not wait for others: they wait for it.
#[tokio::test(start_paused = true)]
async fn a_seed_router_asks_the_store_at_once() {
    let directory = Rc::new(ScriptedDirectory::default());
    directory.set("a", true);
    let starting = router_with_seeds(&[SEED, SocketAddr::from(([127, 0, 0, 1], 9))]);
    tokio::select! {
        () = follow_directory(starting.clone(), directory.clone(), store()) => {}
        () = after(10) => {}
    }
    assert!(knows(&starting, "a"));
}
