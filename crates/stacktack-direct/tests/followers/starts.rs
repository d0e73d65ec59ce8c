//! How many calls to the store the start of a router takes, on virtual time.
//!
//! These tests guard against the following failure. Each of 357 routers that started within a
//! second read the whole configuration (109 kB) and the whole directory (642 entries) from the
//! store, and then waited there for every change: 10,864 to 16,574 calls in half a minute, although
//! one router could have passed the data on to the others.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use stacktack_direct::followers::{fetch_from_peers, follow_directory};
use stacktack_direct::peer_updates::{PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;

use crate::common::{after, router, router_with_seeds};
use crate::scripted_directory::ScriptedDirectory;
use crate::serving_peer::{update_from, ServingPeer};
use crate::steady_peer::steady_peer_gossip;

/// Address of a router that all others have as a seed in their settings.
const SEED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1)), 9);

/// A directory that counts the calls of one router.
struct CountingDirectory {
    directory: Rc<ScriptedDirectory>,
    calls: Cell<u32>,
}

impl Directory for CountingDirectory {
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

/// One router gossips to another one, forever.
async fn send_gossip(from: Rc<Router>, to: Rc<Router>) {
    loop {
        let gossip = steady_peer_gossip(SEED, 0, from.directory_revision());
        to.peers.borrow_mut().receive(&gossip, to.now());
        to.apply_source_ages(&gossip, &from.source_ages(), &from.source_reads());
        after(100).await;
    }
}

fn knows_back_end(router: &Router, id: &str) -> bool {
    router.back_ends.borrow().get(id).is_some()
}

/// A router that starts follows one that serves, for half a minute in which a back end comes and
/// goes.
#[tokio::test(start_paused = true)]
async fn a_router_that_joins_a_running_fleet_makes_no_calls_to_the_store() {
    let directory = Rc::new(ScriptedDirectory::default());
    for id in ["a", "b"] {
        directory.set(id, true);
    }
    let (serving, starting) = (router(), router_with_seeds(&[SEED]));
    let counting = Rc::new(CountingDirectory {
        directory: directory.clone(),
        calls: Cell::default(),
    });
    let script = async {
        after(2000).await;
        let start = async {
            after(700).await;
            assert!(knows_back_end(&starting, "a") && knows_back_end(&starting, "b"));
            for round in 0..30 {
                directory.set("c", round % 2 == 0);
                after(1000).await;
                assert_eq!(
                    knows_back_end(&starting, "c"),
                    round % 2 == 0,
                    "round {round}"
                );
            }
        };
        tokio::select! {
            () = start => {}
            () = follow_directory(starting.clone(), counting.clone()) => {}
            () = fetch_from_peers(starting.clone(), Rc::new(ServingPeer(serving.clone()))) => {}
            () = send_gossip(serving.clone(), starting.clone()) => {}
        }
    };
    tokio::select! {
        () = script => {}
        () = follow_directory(serving.clone(), directory.clone()) => {}
    }
    assert_eq!(counting.calls.get(), 0);
}

/// After a stall a process reads gossip that arrived during the stall, so the ages in it are too
/// low.
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

/// A peer that answers no query while the flag is set, although its gossip announces a newer
/// revision.
struct UnresponsivePeer(Rc<Router>, Rc<Cell<bool>>);

impl PeerSource for UnresponsivePeer {
    fn fetch_update(
        &self,
        _: SocketAddr,
        query: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        if self.1.get() {
            return Box::pin(std::future::pending());
        }
        update_from(&self.0, query)
    }
}

/// A router that knows of an update, and gets it from no peer, asks the store, although its own
/// knowledge is not stale.
#[tokio::test(start_paused = true)]
async fn an_update_that_no_peer_provides_is_read_from_the_store() {
    let directory = Rc::new(ScriptedDirectory::default());
    directory.set("a", true);
    let (serving, starting) = (router(), router_with_seeds(&[SEED]));
    let unresponsive = Rc::new(Cell::new(false));
    let source = Rc::new(UnresponsivePeer(serving.clone(), unresponsive.clone()));
    let script = async {
        after(2000).await;
        assert!(knows_back_end(&starting, "a"));
        unresponsive.set(true);
        directory.set("b", true);
        let bound = starting.bounds().drain_timeout;
        after(bound.as_millis() as u64 * 8 / 10).await;
        assert!(knows_back_end(&starting, "b"));
    };
    tokio::select! {
        () = script => {}
        () = follow_directory(serving.clone(), directory.clone()) => {}
        () = follow_directory(starting.clone(), directory.clone()) => {}
        () = fetch_from_peers(starting.clone(), source) => {}
        () = send_gossip(serving.clone(), starting.clone()) => {}
    }
}

/// A router that starts and hears from no peer asks the store before callers notice a delay.
#[tokio::test(start_paused = true)]
async fn a_router_that_starts_without_live_peers_soon_asks_the_store() {
    for _ in 0..20 {
        let directory = Rc::new(ScriptedDirectory::default());
        directory.set("a", true);
        let starting = router_with_seeds(&[SEED]);
        tokio::select! {
            () = follow_directory(starting.clone(), directory.clone()) => {}
            () = after(650) => {}
        }
        assert!(knows_back_end(&starting, "a"));
    }
}

/// A seed router does not wait for others when it starts, because they wait for it.
#[tokio::test(start_paused = true)]
async fn a_seed_router_asks_the_store_at_once() {
    let directory = Rc::new(ScriptedDirectory::default());
    directory.set("a", true);
    let starting = router_with_seeds(&[SEED, SocketAddr::from(([127, 0, 0, 1], 9))]);
    tokio::select! {
        () = follow_directory(starting.clone(), directory.clone()) => {}
        () = after(10) => {}
    }
    assert!(knows_back_end(&starting, "a"));
}
