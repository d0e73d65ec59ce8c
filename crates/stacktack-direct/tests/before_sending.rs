//! Check of a selected back end right before a request is sent to it. Connecting takes up to
//! 150 ms, and updates that arrive in the meantime count.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::announcement::{Announcement, ReturnDelay};
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryDelta, InstanceId, RemovedEntry,
};
use stacktack_core::direct::back_ends::zone_drain::ZoneDrain;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::router::Router;

use common::{after, router};

const AT_ONCE: ReturnDelay = ReturnDelay {
    spread: Duration::ZERO,
    draw: 0.0,
};

const LEFT: Option<AttemptFailure> = Some(AttemptFailure::BackEndLeft);

fn entry(revision: u64) -> BackEndEntry {
    let labels = [("zone".to_owned(), "z1".to_owned())];
    BackEndEntry {
        id: "a".to_owned(),
        born: 100,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from(labels),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

fn apply(router: &Router, present: Vec<BackEndEntry>, gone: Vec<RemovedEntry>) {
    let revision = present.first().map_or(9, |entry| entry.revision);
    let delta = DirectoryDelta {
        revision,
        whole: false,
        present,
        gone,
    };
    apply_delta(router, delta, revision, RemovalEvidence::StoreSteady);
}

fn announce(router: &Router, instance: InstanceId, announcement: Announcement) {
    let now = router.now();
    let mut back_ends = router.back_ends.borrow_mut();
    back_ends.announce("a", instance, announcement, AT_ONCE, now);
}

/// Creates a router that selected an instance of back end `a` a moment ago.
async fn router_after_selection() -> (Rc<Router>, InstanceId) {
    let router = router();
    apply(&router, vec![entry(1)], Vec::new());
    let instance = InstanceId::of(&entry(1));
    assert_eq!(router.send_obstacle("a", instance), None);
    after(100).await;
    (router, instance)
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_back_end_that_has_left_since_it_was_chosen() {
    let (router, instance) = router_after_selection().await;
    let leaving = BackEndEntry {
        leaving: true,
        ..entry(2)
    };
    apply(&router, vec![leaving], Vec::new());
    assert_eq!(
        router.send_obstacle("a", instance),
        LEFT,
        "its entry says that it leaves"
    );

    let (router, instance) = router_after_selection().await;
    announce(&router, instance, Announcement::Leaving);
    assert_eq!(
        router.send_obstacle("a", instance),
        LEFT,
        "it announced in a response that it leaves"
    );

    let (router, instance) = router_after_selection().await;
    let removed = RemovedEntry {
        id: "a".to_owned(),
        revision: 2,
    };
    apply(&router, Vec::new(), vec![removed]);
    assert_eq!(
        router.send_obstacle("a", instance),
        LEFT,
        "its entry was removed"
    );

    let (router, instance) = router_after_selection().await;
    let restarted = BackEndEntry {
        born: 200,
        ..entry(2)
    };
    apply(&router, vec![restarted], Vec::new());
    assert_eq!(
        router.send_obstacle("a", instance),
        LEFT,
        "it is another instance"
    );

    let (router, instance) = router_after_selection().await;
    let drain = ZoneDrain {
        zone: "z1".to_owned(),
        drained: true,
        revision: 2,
    };
    router.merge_zone_drain(&drain, "store");
    assert_eq!(
        router.send_obstacle("a", instance),
        LEFT,
        "its zone is drained"
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_back_end_that_has_asked_for_a_pause_since_it_was_chosen() {
    let (router, instance) = router_after_selection().await;
    let pause = Announcement::Pause(Duration::from_millis(300));
    announce(&router, instance, pause);
    let paused = Some(AttemptFailure::BackEndPaused);
    assert_eq!(router.send_obstacle("a", instance), paused);
    after(299).await;
    assert_eq!(router.send_obstacle("a", instance), paused);
    after(2).await;
    assert_eq!(router.send_obstacle("a", instance), None);
}

#[test]
fn a_request_to_a_back_end_that_left_or_paused_was_not_run_and_counts_as_no_send() {
    for failure in [AttemptFailure::BackEndLeft, AttemptFailure::BackEndPaused] {
        assert!(failure.proves_not_run());
        assert!(!failure.counts_as_send());
    }
}
