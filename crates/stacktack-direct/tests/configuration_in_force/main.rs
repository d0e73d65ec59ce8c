//! How soon a confirmed configuration is in force, on virtual time.
//!
//! These tests guard against the following failure. Callers of routes that an operator had just
//! added got a 404 response 3.2 s after the store had confirmed the version; the bound is 3 s. With
//! its many routes the document had 430 kB, which take 0.4 s on a link of 10 Mbit/s. A third of the
//! routers had not reached the store for 7.5 s and had followed their peers, while a version was
//! confirmed every 1.35 s. When the store was reachable again, each of them asked it for the
//! changes after the last revision that it had from the store itself, and got every version in
//! between: 1.7 MB in 2.7 s, all older than what it had from its peers. By then there were four
//! newer versions. In addition, fetches from peers were dropped after 1.1 s with 92 of 100 bytes
//! there, and started over. All routers took a store that always answered, but late, for a lost
//! one: they gave up reads before they could be answered, and dropped a read in flight when another
//! follower got an answer from the store.
//!
//! The log lines of the reads, with bytes, duration and outcome, showed reads of 1,714,895 and
//! 1,716,919 bytes after old revisions at the router whose configuration was 3.2 s late, and 125
//! reads that ended as "no answer came in time" before a store that answered all of them.
//!
//! The causes: the timeout of a call was a constant that depended neither on the size of the answer
//! nor on how fast the store answered; a call that was given up started over; and updates from
//! peers did not advance the revision after which the store was asked for changes.

#[path = "../common/mod.rs"]
mod common;
mod simulation;
#[path = "../common/steady_peer.rs"]
mod steady_peer;

use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::DirectoryDelta;
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::router::Router;
use tokio::time::sleep;

use common::after;
use simulation::{
    confirm_repeatedly, follow, max_apply_delay, Link, Peer, Store, APPLY_BOUND, CATCH_UP_TIME,
    NARROW_BYTES_PER_SECOND, VERSION_INTERVAL, WIDE_BYTES_PER_SECOND,
};

/// A router that did not reach the store for a while, and followed its peers, has versions that are
/// confirmed afterwards in force within the bound, whenever it reaches the store again.
#[tokio::test(start_paused = true)]
async fn a_router_is_up_to_date_soon_after_the_store_is_reachable_again() {
    for unreachable_ms in (5000..9000).step_by(250) {
        let link = Link::new(WIDE_BYTES_PER_SECOND);
        let store = Store::new(link.clone(), Duration::from_millis(5));
        store.confirm();
        let script = |router: Rc<Router>| {
            let store = store.clone();
            async move {
                after(3000).await;
                store.link.bytes_per_second.set(NARROW_BYTES_PER_SECOND);
                let observe = async {
                    store.set_reachable(false);
                    after(unreachable_ms).await;
                    store.set_reachable(true);
                    sleep(CATCH_UP_TIME).await;
                    max_apply_delay(&router, &store, Duration::from_secs(12)).await
                };
                let longest = tokio::select! {
                    longest = observe => longest,
                    () = confirm_repeatedly(&store) => unreachable!("endless"),
                };
                assert!(
                    longest <= APPLY_BOUND,
                    "unreachable for {unreachable_ms} ms: {longest:?} late"
                );
            }
        };
        follow(&store, Some(Peer::new(link)), script).await;
    }
}

/// A router without peers that did not reach the store for a while does not have to read each
/// missed version.
#[tokio::test(start_paused = true)]
async fn missed_versions_are_not_read_one_by_one() {
    let store = Store::new(Link::new(WIDE_BYTES_PER_SECOND), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>| {
        let store = store.clone();
        async move {
            after(1000).await;
            assert_eq!(router.configuration_version(), 1);
            store.link.bytes_per_second.set(NARROW_BYTES_PER_SECOND);
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

/// A store that answers late, but always, does not count as lost: a router that starts meanwhile
/// has the configuration as soon as the first answer can have arrived.
#[tokio::test(start_paused = true)]
async fn a_slow_store_is_not_taken_for_a_lost_one() {
    for latency in [1360, 4000] {
        let store = Store::new(
            Link::new(NARROW_BYTES_PER_SECOND),
            Duration::from_millis(latency),
        );
        store.confirm();
        let script = |router: Rc<Router>| async move {
            after(latency + 1500).await;
            assert_eq!(router.configuration_version(), 1, "at {latency} ms");
        };
        follow(&store, None, script).await;
    }
}

/// While a store answers late, versions are in force within two answers, also after a short time in
/// which the store was not reachable.
#[tokio::test(start_paused = true)]
async fn versions_come_into_force_in_time_while_the_store_is_slow() {
    let latency = Duration::from_millis(1360);
    let store = Store::new(Link::new(NARROW_BYTES_PER_SECOND), Duration::from_millis(5));
    store.link.bytes_per_second.set(WIDE_BYTES_PER_SECOND);
    store.confirm();
    let script = |router: Rc<Router>| {
        let store = store.clone();
        async move {
            after(3000).await;
            assert_eq!(router.configuration_version(), 1);
            store.link.bytes_per_second.set(NARROW_BYTES_PER_SECOND);
            store.latency.set(latency);
            let observe = async {
                store.set_reachable(false);
                after(300).await;
                store.set_reachable(true);
                sleep(CATCH_UP_TIME).await;
                max_apply_delay(&router, &store, Duration::from_secs(20)).await
            };
            let longest = tokio::select! {
                longest = observe => longest,
                () = confirm_repeatedly(&store) => unreachable!("endless"),
            };
            let transfers = Duration::from_secs(2);
            assert!(longest <= latency * 2 + transfers, "{longest:?} late");
            assert!(!router.store.is_lost());
        }
    };
    follow(&store, None, script).await;
}

/// An answer that makes progress is awaited, however long its transfer takes.
#[tokio::test(start_paused = true)]
async fn a_document_over_a_narrow_link_arrives_in_one_transfer() {
    let store = Store::new(Link::new(200_000.0), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>| async move {
        after(2500).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, None, script).await;
}

/// While the store is not reachable, an answer of a peer that makes progress is awaited as well.
#[tokio::test(start_paused = true)]
async fn a_peers_document_over_a_narrow_link_arrives_in_one_transfer() {
    let link = Link::new(200_000.0);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    store.set_reachable(false);
    let script = |router: Rc<Router>| async move {
        after(4000).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, Some(Peer::new(link)), script).await;
}

/// A router that starts waits for a snapshot of the directory from a slow store as well.
#[tokio::test(start_paused = true)]
async fn a_router_that_starts_gets_the_directory_from_a_slow_store() {
    let store = Store::new(
        Link::new(NARROW_BYTES_PER_SECOND),
        Duration::from_millis(1360),
    );
    let script = |router: Rc<Router>| async move {
        after(2500).await;
        assert_eq!(router.received_directory_revision.get(), 1);
    };
    follow(&store, None, script).await;
}

/// Calls that are never answered, because their connections are dead without a reset, delay a
/// router for no longer than it takes to detect a silent store.
#[tokio::test(start_paused = true)]
async fn calls_that_are_never_answered_are_made_again() {
    let store = Store::new(Link::new(WIDE_BYTES_PER_SECOND), Duration::from_millis(5));
    store.confirm();
    store.unanswered_calls.set(2);
    let script = |router: Rc<Router>| async move {
        after(2500).await;
        assert_eq!(router.configuration_version(), 1);
    };
    follow(&store, None, script).await;
}

/// A store that forgot its history is asked for a snapshot, not for changes after the revision that
/// peers announced.
#[tokio::test(start_paused = true)]
async fn a_snapshot_is_read_from_a_store_that_forgot_its_history() {
    let link = Link::new(WIDE_BYTES_PER_SECOND);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>| {
        let store = store.clone();
        async move {
            after(1000).await;
            store.set_reachable(false);
            for _ in 0..3 {
                store.confirm();
                after(700).await;
            }
            store.oldest_kept_revision.set(100);
            store.set_reachable(true);
            after(2000).await;
            store.confirm();
            after(2000).await;
            assert_eq!(router.configuration_version(), 5);
        }
    };
    follow(&store, Some(Peer::new(link)), script).await;
}

/// A router that does not reach the store fetches changes from a peer, not a whole document for
/// each version: 8 versions took 3,824,480 bytes as documents.
#[tokio::test(start_paused = true)]
async fn a_peer_sends_changes_instead_of_the_whole_configuration() {
    let link = Link::new(NARROW_BYTES_PER_SECOND);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>| {
        let (store, link) = (store.clone(), link.clone());
        async move {
            after(3000).await;
            assert_eq!(router.configuration_version(), 1);
            store.set_reachable(false);
            let bytes_before = link.bytes_carried.get();
            for _ in 0..8 {
                store.confirm();
                sleep(VERSION_INTERVAL).await;
            }
            assert_eq!(router.configuration_version(), 9);
            let carried = link.bytes_carried.get() - bytes_before;
            assert!(carried < 20_000, "{carried} bytes");
        }
    };
    follow(&store, Some(Peer::new(link.clone())), script).await;
}

/// An update of the directory, for instance that a back end leaves, does not wait for the transfer
/// of a document that takes seconds.
#[tokio::test(start_paused = true)]
async fn a_large_document_does_not_hold_up_the_directory() {
    let link = Link::new(100_000.0);
    let store = Store::new(link.clone(), Duration::from_millis(5));
    store.confirm();
    store.set_reachable(false);
    let peer = Peer::new(link);
    let peer_router = peer.router.clone();
    let script = |router: Rc<Router>| async move {
        after(1500).await;
        let delta = DirectoryDelta {
            revision: 7,
            ..DirectoryDelta::default()
        };
        apply_delta(&peer_router, delta, 7, RemovalEvidence::StoreSteady);
        after(800).await;
        assert_eq!(
            router.configuration_version(),
            0,
            "the document is still being transferred"
        );
        assert_eq!(router.received_directory_revision.get(), 7);
    };
    follow(&store, Some(peer), script).await;
}

/// For a moment a store accepted calls and never answered them, on connections that stayed open. A
/// router without peers that asked for updates in that moment refused callers of a new route for
/// the 20 s that its call could wait: it had no other sign that the store had answered all other
/// calls since.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_never_answered_delays_updates_by_seconds_only() {
    let store = Store::new(Link::new(WIDE_BYTES_PER_SECOND), Duration::from_millis(5));
    store.confirm();
    let script = |router: Rc<Router>| {
        let store = store.clone();
        async move {
            after(500).await;
            store.unanswered_calls.set(1);
            store.confirm();
            after(500).await;
            assert_eq!(
                (router.configuration_version(), store.unanswered_calls.get()),
                (2, 0)
            );
            store.confirm();
            after(6000).await;
            assert_eq!(router.configuration_version(), 3);
        }
    };
    follow(&store, None, script).await;
}

/// The read that waits for updates is never answered, and no peer has a newer version: a version
/// that is confirmed then is in force within the bound all the same.
/// `followers/departures_in_time.rs` describes the failure.
#[tokio::test(start_paused = true)]
async fn a_version_is_in_force_in_time_although_the_waiting_read_is_never_answered() {
    for pause_ms in (0..6000).step_by(500) {
        let link = Link::new(WIDE_BYTES_PER_SECOND);
        let store = Store::new(link, Duration::from_millis(5));
        store.confirm();
        let script = |router: Rc<Router>| {
            let store = store.clone();
            async move {
                after(2000).await;
                store.unanswered_calls.set(1);
                store.confirm();
                after(500 + pause_ms).await;
                store.confirm();
                let longest = max_apply_delay(&router, &store, Duration::from_secs(12)).await;
                assert!(
                    longest <= APPLY_BOUND,
                    "pause {pause_ms} ms: {longest:?} late"
                );
            }
        };
        follow(&store, None, script).await;
    }
}

/// While an answer has stopped arriving, its router must go on polling the store.
#[tokio::test(start_paused = true)]
async fn a_stalled_answer_does_not_hide_versions_from_a_router_whose_peers_are_gone() {
    for pause_ms in (0..6000).step_by(500) {
        let link = Link::new(WIDE_BYTES_PER_SECOND);
        let store = Store::new(link.clone(), Duration::from_millis(5));
        store.confirm();
        let peer = Peer::new(link);
        let script = |router: Rc<Router>| {
            let (store, peer) = (store.clone(), peer.clone());
            async move {
                after(5000).await;
                store.stalled_answers.set(1);
                store.confirm();
                peer.watches.set(true);
                after(2000).await;
                assert_eq!(
                    (router.configuration_version(), store.stalled_answers.get()),
                    (2, 0)
                );
                peer.silent.set(true);
                after(pause_ms).await;
                store.confirm();
                let longest = max_apply_delay(&router, &store, Duration::from_secs(12)).await;
                assert!(
                    longest <= APPLY_BOUND,
                    "pause {pause_ms} ms: {longest:?} late"
                );
            }
        };
        follow(&store, Some(peer.clone()), script).await;
    }
}

/// Guards against a call about the configuration that is never answered, without a poll beside it,
/// while calls about the directory fail.
#[tokio::test(start_paused = true)]
async fn a_version_is_in_force_in_time_although_the_directory_is_not_answered() {
    for pause_ms in (0..3000).step_by(250) {
        let store = Store::new(Link::new(WIDE_BYTES_PER_SECOND), Duration::from_millis(5));
        store.confirm();
        let script = |router: Rc<Router>| {
            let store = store.clone();
            async move {
                after(2000).await;
                // Late answers: calls count as unanswered after 2.8 s.
                router
                    .store
                    .record_lateness(Duration::from_millis(1400), router.now());
                store.directory_down.set(true);
                after(1000 + pause_ms).await;
                store.unanswered_calls.set(1);
                store.confirm();
                after(300).await;
                store.confirm();
                let longest = max_apply_delay(&router, &store, Duration::from_secs(8)).await;
                assert!(
                    longest <= APPLY_BOUND,
                    "pause {pause_ms} ms: {longest:?} late"
                );
            }
        };
        follow(&store, None, script).await;
    }
}
