//! What a router that read a snapshot of the directory hands on to others.

#[allow(
    dead_code,
    reason = "this test uses neither virtual time nor seeds nor requests"
)]
mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryDelta};
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_direct::followers::apply_delta;
use stacktack_direct::peer_updates::{respond_to_peer, PeerQuery, PeerUpdate};
use stacktack_direct::router::Router;

use common::router;

fn entry(id: &str, revision: u64) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        born: 0,
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

/// Reads a snapshot of the store, taken at a revision.
fn read_snapshot(router: &Rc<Router>, present: &[BackEndEntry], read_at: u64) {
    let delta = DirectoryDelta {
        whole: true,
        revision: present
            .iter()
            .map(|entry| entry.revision)
            .max()
            .unwrap_or(0),
        present: present.to_vec(),
        ..DirectoryDelta::default()
    };
    apply_delta(router, delta, read_at, RemovalEvidence::StoreSteady);
}

/// A removal before a snapshot leaves no entry: routers with the same newest entry must not count as equal.
#[test]
fn a_router_that_missed_a_removal_learns_it_from_one_that_started_after_it() {
    let (kept, removed) = (entry("kept", 101), entry("removed", 97));
    let running = router();
    read_snapshot(&running, &[kept.clone(), removed], 101);
    let started = router();
    read_snapshot(&started, &[kept], 115);
    assert!(started.directory_revision() > running.directory_revision());
    let query = PeerQuery::Directory(running.directory_revision());
    let (_, body) = respond_to_peer(&started, &query.path_and_query());
    let update = PeerUpdate::decode(&body).expect("an update");
    let delta = update.directory.expect("a directory");
    let revision = delta.revision;
    apply_delta(&running, delta, revision, RemovalEvidence::PeerDecided);
    let back_ends = running.back_ends.borrow();
    assert!(back_ends.get("kept").is_some());
    assert!(back_ends.get("removed").is_none());
}
