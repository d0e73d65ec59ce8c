//! How soon a confirmed configuration is in force, on virtual time.
//!
//! The story. Callers of routes that an operator had just added were refused with
//! 404, 3.2 s after the store had confirmed the version (bound 3 s). The routes were
//! many: a document of 430 kB, 0.4 s on a link of 10 Mbit/s. A third of the routers had
//! been away from the store for 7.5 s while a version was confirmed every 1.35 s, and
//! had followed their peers. On their return each asked the store for what came after
//! the last revision that the store itself had told it, and got every version in
//! between: 1.7 MB in 2.7 s, all older than what it had. By then there were four more.
//! Beside it fetches from peers were dropped after 1.1 s with 92 of 100 bytes there, and
//! begun again. A store that answered late, but always, was taken for a lost one by every
//! router: reads were given up before they could be answered, and a read under way was
//! dropped when another follower heard from the store.
//!
//! The evidence: a line for each read with its bytes, time and end. Reads of 1,714,895 and
//! 1,716,919 bytes after old revisions at the router whose configuration was 3.2 s late;
//! 125 reads ended as "no answer came in time" before a store that answered all of them.
//!
//! The cause: how long a call may take was a constant, whatever it carried and however the
//! store answered; what was given up had to begin anew; and what peers told did not move
//! on the revision that the store was asked from.

#[path = "../common/mod.rs"]
mod common;
mod simulation;
#[path = "../common/steady_peer.rs"]
mod steady_peer;

use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::{apply_delta, StoreMonitor};
use stacktack_direct::router::Router;
use tokio::time::sleep;

use common::after;
use simulation::{
    confirm_often, follow, latest_in_force, Link, Peer, Store, BOUND, IN_TOUCH, NARROW, PACE, WIDE,
};

/// A router that was away from the store, and followed its peers, has what is confirmed
/// after its return in force within the bound, whenever the return falls.
#[tokio::test(start_paused = true)]
async fn a_router_is_up_to_date_soon_after_the_store_is_reachable_again() {
    for away in (5000..9000).step_by(250) {
        let link = Link::new(WIDE);
        let store = Store::new(link.clone(), Duration::from_millis(5));
        store.confirm();
        let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
            let store = store.clone();
            async move {
                after(3000).await;
                store.link.bytes_per_second.set(NARROW);
                let watch = async {
                    store.set_reachable(false);
                    after(away).await;
                    store.set_reachable(true);
                    sleep(IN_TOUCH).await;
                    latest_in_force(&router, &store, Duration::from_secs(12)).await
                };
                let longest = tokio::select! {
                    longest = watch => longest,
                    () = confirm_often(&store) => unreachable!("versions go on"),
                };
                assert!(longest <= BOUND, "away {away} ms: {longest:?} late");
            }
        };
        follow(&store, Some(Peer::new(link)), script).await;
    }
}

/// The same without peers: what was missed does not have to be read version by version.
#[tokio::test(start_paused = true)]
async fn missed_versions_are_not_read_one_by_one() {
    let store = Store::new(Link::new(WIDE), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
        let store = store.clone();
        async move {
            after(1000).await;
            assert_eq!(router.configuration_version(), 1);
            store.link.bytes_per_second.set(NARROW);
            store.set_reachable(false);
            after(300).await;
            for _ in 0..40 {
                store.confirm();
            }
            after(7200).await;
            store.set_reachable(true);
            after(4000).await;
            assert_eq!(router.configuration_version(), 41);
        }
    };
    follow(&store, None, script).await;
}

/// A store that answers late, but always, is not a lost one: a router that starts then
/// has the configuration as soon as the first answer can be there.
#[tokio::test(start_paused = true)]
async fn a_slow_store_is_not_taken_for_a_lost_one() {
    for latency in [1360, 4000] {
        let store = Store::new(Link::new(NARROW), Duration::from_millis(latency));
        store.confirm();
        let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
            after(latency + 1500).await;
            assert_eq!(router.configuration_version(), 1, "at {latency} ms");
        };
        follow(&store, None, script).await;
    }
}

/// While a store answers late, versions are in force within two answers, also after a
/// moment in which nobody was answered.
#[tokio::test(start_paused = true)]
async fn versions_come_into_force_in_time_while_the_store_is_slow() {
    let latency = Duration::from_millis(1360);
    let store = Store::new(Link::new(NARROW), Duration::from_millis(5));
    store.link.bytes_per_second.set(WIDE);
    store.confirm();
    let script = |router: Rc<Router>, dependency: Rc<StoreMonitor>| {
        let store = store.clone();
        async move {
            after(3000).await;
            assert_eq!(router.configuration_version(), 1);
            store.link.bytes_per_second.set(NARROW);
            store.latency.set(latency);
            let watch = async {
                store.set_reachable(false);
                after(300).await;
                store.set_reachable(true);
                sleep(IN_TOUCH).await;
                latest_in_force(&router, &store, Duration::from_secs(20)).await
            };
            let longest = tokio::select! {
                longest = watch => longest,
                () = confirm_often(&store) => unreachable!("versions go on"),
            };
            let transfers = Duration::from_secs(2);
            assert!(longest <= latency * 2 + transfers, "{longest:?} late");
            assert!(!dependency.is_lost());
        }
    };
    follow(&store, None, script).await;
}

/// An answer that moves is awaited, however long its transfer takes.
#[tokio::test(start_paused = true)]
async fn a_document_over_a_narrow_link_arrives_in_one_transfer() {
    let store = Store::new(Link::new(200_000.0), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
        after(2500).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, None, script).await;
}

/// The same from a peer while the store is away.
#[tokio::test(start_paused = true)]
async fn a_peers_document_over_a_narrow_link_arrives_in_one_transfer() {
    let link = Link::new(200_000.0);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    store.set_reachable(false);
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
        after(4000).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, Some(Peer::new(link)), script).await;
}

/// The whole directory is awaited from a slow store too.
#[tokio::test(start_paused = true)]
async fn a_router_that_starts_gets_the_directory_from_a_slow_store() {
    let store = Store::new(Link::new(NARROW), Duration::from_millis(1360));
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
        after(2500).await;
        assert_eq!(router.received_directory_revision.get(), 1);
    };
    follow(&store, None, script).await;
}

/// Calls that are never answered, on connections that are dead without a reset, hold
/// nobody up for longer than a silent store is noticed in.
#[tokio::test(start_paused = true)]
async fn calls_that_are_never_answered_are_made_again() {
    let store = Store::new(Link::new(WIDE), Duration::from_millis(5));
    store.confirm();
    store.unanswered.set(2);
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
        after(2500).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, None, script).await;
}

/// What peers told is not asked of a store that has forgotten how it came about.
#[tokio::test(start_paused = true)]
async fn a_snapshot_is_read_from_a_store_that_forgot_its_history() {
    let link = Link::new(WIDE);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
        let store = store.clone();
        async move {
            after(1000).await;
            store.set_reachable(false);
            for _ in 0..3 {
                store.confirm();
                after(700).await;
            }
            store.forgotten.set(100);
            store.set_reachable(true);
            after(2000).await;
            store.confirm();
            after(2000).await;
            assert_eq!(router.configuration_version(), 5);
        }
    };
    follow(&store, Some(Peer::new(link)), script).await;
}

/// A router that is away from the store takes over from a peer what changed, and not a
/// whole document for each version: 8 versions took 3,824,480 bytes as documents.
#[tokio::test(start_paused = true)]
async fn a_peer_sends_changes_instead_of_the_whole_configuration() {
    let link = Link::new(NARROW);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
        let (store, link) = (store.clone(), link.clone());
        async move {
            after(3000).await;
            assert_eq!(router.configuration_version(), 1);
            store.set_reachable(false);
            let before = link.carried.get();
            for _ in 0..8 {
                store.confirm();
                sleep(PACE).await;
            }
            assert_eq!(router.configuration_version(), 9);
            let carried = link.carried.get() - before;
            assert!(carried < 20_000, "{carried} bytes");
        }
    };
    follow(&store, Some(Peer::new(link.clone())), script).await;
}

/// News that a back end leaves does not wait behind a document that takes seconds.
#[tokio::test(start_paused = true)]
async fn a_large_document_does_not_hold_up_the_directory() {
    let link = Link::new(100_000.0);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    store.set_reachable(false);
    let peer = Peer::new(link);
    let known_at_peer = peer.router.clone();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| async move {
        after(1500).await;
        let delta = DirectoryDelta {
            revision: 7,
            ..DirectoryDelta::default()
        };
        apply_delta(&known_at_peer, delta, 7, RemovalEvidence::StoreSteady);
        after(800).await;
        assert_eq!(
            router.configuration_version(),
            0,
            "the document is still on its way"
        );
        assert_eq!(router.received_directory_revision.get(), 7);
    };
    follow(&store, Some(peer), script).await;
}

/// The story. A store took calls for a moment and never answered them, on connections that
/// stayed up. A router whose call for news fell into that moment, and that had no peer,
/// refused callers of a new route for the 20 s that the call could wait: nothing else
/// showed that the store had answered all other calls since.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_never_answered_delays_updates_by_seconds_only() {
    let store = Store::new(Link::new(WIDE), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
        let store = store.clone();
        async move {
            after(500).await;
            store.unanswered.set(1);
            store.confirm();
            after(500).await;
            assert_eq!(
                (router.configuration_version(), store.unanswered.get()),
                (2, 0)
            );
            store.confirm();
            after(6000).await;
            assert_eq!(router.configuration_version(), 3);
        }
    };
    follow(&store, None, script).await;
}

/// The read that waits for news is dead, and no peer knows more: a version that is confirmed
/// then is in force within the bound all the same. The story is told in
/// `followers/departures_in_time.rs`.
#[tokio::test(start_paused = true)]
async fn a_version_is_in_force_in_time_although_the_waiting_read_is_never_answered() {
    for pause in (0..6000).step_by(500) {
        let link = Link::new(WIDE);
        let store = Store::new(link, Duration::from_millis(5));
        store.confirm();
        let script = |router: Rc<Router>, _: Rc<StoreMonitor>| {
            let store = store.clone();
            async move {
                after(2000).await;
                store.unanswered.set(1);
                store.confirm();
                after(500 + pause).await;
                store.confirm();
                let longest = latest_in_force(&router, &store, Duration::from_secs(12)).await;
                assert!(longest <= BOUND, "pause {pause} ms: {longest:?} late");
            }
        };
        follow(&store, None, script).await;
    }
}
