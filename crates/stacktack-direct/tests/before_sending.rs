//! What is looked at once more when the connection to a chosen back end is there. News that came
//! since the choice counts: a connection takes up to 150 ms.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryDelta, InstanceId, RemovedEntry,
};
use stacktack_core::direct::back_ends::zone_drain::ZoneDrain;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::router::Router;

use common::{after, router};

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

fn take(router: &Router, present: Vec<BackEndEntry>, gone: Vec<RemovedEntry>) {
    let revision = present.first().map_or(9, |entry| entry.revision);
    let delta = DirectoryDelta {
        revision,
        whole: false,
        present,
        gone,
    };
    apply_delta(router, delta, revision, RemovalEvidence::StoreSteady);
}

/// A router that has chosen a life of back end `a` a moment ago.
async fn chosen() -> (Rc<Router>, InstanceId) {
    let router = router();
    take(&router, vec![entry(1)], Vec::new());
    let life = InstanceId::of(&entry(1));
    assert!(router.may_send("a", life));
    after(100).await;
    (router, life)
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_a_back_end_that_has_left_since_it_was_chosen() {
    let (router, life) = chosen().await;
    let leaving = BackEndEntry {
        leaving: true,
        ..entry(2)
    };
    take(&router, vec![leaving], Vec::new());
    assert!(!router.may_send("a", life), "it says that it leaves");

    let (router, life) = chosen().await;
    let departure = RemovedEntry {
        id: "a".to_owned(),
        revision: 2,
    };
    take(&router, Vec::new(), vec![departure]);
    assert!(!router.may_send("a", life), "its entry went");

    let (router, life) = chosen().await;
    let reborn = BackEndEntry {
        born: 200,
        ..entry(2)
    };
    take(&router, vec![reborn], Vec::new());
    assert!(!router.may_send("a", life), "it is in another life");

    let (router, life) = chosen().await;
    let drain = ZoneDrain {
        zone: "z1".to_owned(),
        drained: true,
        revision: 2,
    };
    router.merge_zone_drain(&drain, "store");
    assert!(!router.may_send("a", life), "its zone is drained");
}

#[test]
fn a_request_to_a_back_end_that_left_was_not_run_and_counts_as_no_send() {
    assert!(AttemptFailure::BackEndLeft.proves_not_run());
    assert!(!AttemptFailure::BackEndLeft.counts_as_send());
}
