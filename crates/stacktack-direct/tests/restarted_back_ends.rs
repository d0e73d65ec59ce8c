//! A back end that starts again under its id, after its clock was stepped: its drain is known whichever
//! way its entries arrive.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryDelta};
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::router::Router;

use common::router;

/// Way in which an entry arrives.
#[derive(Clone, Copy, Debug)]
struct WayIn {
    /// Whether it arrives in a snapshot.
    whole: bool,
    evidence: RemovalEvidence,
}

const WAYS_IN: [WayIn; 6] = [
    changes_with(RemovalEvidence::StoreSteady),
    changes_with(RemovalEvidence::Insufficient),
    changes_with(RemovalEvidence::PeerDecided),
    snapshot_with(RemovalEvidence::StoreSteady),
    snapshot_with(RemovalEvidence::Insufficient),
    snapshot_with(RemovalEvidence::PeerDecided),
];

const fn changes_with(evidence: RemovalEvidence) -> WayIn {
    let whole = false;
    WayIn { whole, evidence }
}

const fn snapshot_with(evidence: RemovalEvidence) -> WayIn {
    let whole = true;
    WayIn { whole, evidence }
}

/// Entry of the instance that started at `born`.
fn entry(born: u64, revision: u64, leaving: bool) -> BackEndEntry {
    BackEndEntry {
        id: "a".to_owned(),
        born,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        slots: 4,
        leaving,
        cold_for: Duration::ZERO,
        revision,
    }
}

fn apply(router: &Router, entry: &BackEndEntry, way_in: WayIn) {
    let revision = entry.revision;
    let delta = DirectoryDelta {
        revision,
        whole: way_in.whole,
        present: vec![entry.clone()],
        gone: Vec::new(),
    };
    apply_delta(router, delta, revision, way_in.evidence);
}

fn is_leaving(router: &Router) -> bool {
    let back_ends = router.back_ends.borrow();
    back_ends.get("a").is_some_and(|known| known.is_leaving())
}

/// Guards against requests to a back end that drains after it restarted with an earlier start time.
#[tokio::test(start_paused = true)]
async fn a_drain_after_a_step_of_the_clock_is_known_whichever_way_it_arrives() {
    for (first, second) in [(2000, 1000), (1000, 2000)] {
        let started = entry(first, 5, false);
        let restarted = entry(second, 6, false);
        let draining = entry(second, 7, true);
        for way_in in WAYS_IN {
            let router = router();
            apply(&router, &started, WAYS_IN[0]);
            apply(&router, &restarted, way_in);
            assert!(!is_leaving(&router));
            apply(&router, &draining, way_in);
            assert!(is_leaving(&router), "{way_in:?}, restarted at {second}");
        }
    }
}

/// Guards against a late entry of the earlier instance that ends the drain of the later one.
#[tokio::test(start_paused = true)]
async fn a_late_entry_of_the_earlier_instance_does_not_end_a_drain() {
    for (first, second) in [(2000, 1000), (1000, 2000)] {
        for way_in in WAYS_IN {
            let router = router();
            apply(&router, &entry(second, 7, true), WAYS_IN[0]);
            for late in [entry(first, 5, false), entry(second, 6, false)] {
                apply(&router, &late, way_in);
                assert!(is_leaving(&router), "{way_in:?}, {late:?}");
            }
        }
    }
}
