//! What back ends announce about themselves in responses, beside what the directory says.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::announcement::Announcement;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, InstanceId, RemovedEntry,
};
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::time::Time;

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn entry(id: &str, revision: u64) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 100,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from([("service".to_owned(), "s".to_owned())]),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

fn upsert(all: &mut BackEnds, entry: BackEndEntry) -> DirectoryChange {
    let mut change = DirectoryChange::default();
    all.upsert(entry, at(0), &mut change);
    change
}

fn remove(all: &mut BackEnds, id: &str, revision: u64) -> DirectoryChange {
    let mut change = DirectoryChange::default();
    let removed = RemovedEntry {
        id: id.to_owned(),
        revision,
    };
    all.remove(removed, &mut change);
    change
}

fn back_ends(ids: &[&str]) -> BackEnds {
    let mut all = BackEnds::default();
    for id in ids {
        upsert(&mut all, entry(id, 1));
    }
    all
}

fn instance(id: &str) -> InstanceId {
    InstanceId::of(&entry(id, 1))
}

/// Ids of the members that are candidates of a request.
fn candidates(all: &mut BackEnds) -> Vec<String> {
    let members = all.assess_candidates(at(0), Retryability::Retryable, |_| true);
    let mut ids: Vec<String> = members
        .into_iter()
        .map(|(member, _)| member.entry.id.clone())
        .collect();
    ids.sort_unstable();
    ids
}

fn announce_leave(all: &mut BackEnds, id: &str) -> bool {
    all.announce(id, instance(id), Announcement::Leaving, at(0))
}

#[test]
fn a_back_end_that_announced_its_leave_is_no_candidate_from_then_on() {
    let mut all = back_ends(&["a", "b"]);
    assert!(announce_leave(&mut all, "a"));
    assert!(!announce_leave(&mut all, "a"), "known already");
    assert_eq!(candidates(&mut all), ["b"]);
    assert_eq!(all.count_accepting_work(), 1);
    assert!(announce_leave(&mut all, "b"));
    assert!(candidates(&mut all).is_empty());
    assert_eq!(all.count_accepting_work(), 0);
}

/// Guards against a leave that a stale, late or repeated entry undoes.
#[test]
fn an_entry_of_the_same_instance_does_not_undo_an_announced_leave() {
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    let leaving = |revision| BackEndEntry {
        leaving: true,
        ..entry("a", revision)
    };
    let unknown_start = |revision| BackEndEntry {
        born: 0,
        ..entry("a", revision)
    };
    for later in [
        entry("a", 0),
        entry("a", 1),
        entry("a", 5),
        unknown_start(6),
        leaving(7),
        entry("a", 8),
    ] {
        upsert(&mut all, later);
        assert_eq!(candidates(&mut all), ["b"]);
    }
}

#[test]
fn an_announced_leave_outlasts_an_entry_that_goes_and_comes_back() {
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    let gone = remove(&mut all, "a", 2);
    assert!(gone.vanished.is_empty(), "a planned end is no crash");
    let back = upsert(&mut all, entry("a", 3));
    assert_eq!((back.joined, back.leaving), (ids("a"), ids("a")));
    assert_eq!(candidates(&mut all), ["b"]);
    let vanished = remove(&mut all, "b", 4).vanished;
    assert_eq!(vanished.len(), 1, "nothing was announced there");
}

#[test]
fn a_leave_that_is_announced_while_the_entry_is_away_counts_when_it_comes_back() {
    let mut all = back_ends(&["a", "b"]);
    remove(&mut all, "a", 2);
    assert!(announce_leave(&mut all, "a"));
    upsert(&mut all, entry("a", 3));
    assert_eq!(candidates(&mut all), ["b"]);
}

#[test]
fn a_later_instance_of_the_same_id_starts_without_announcements() {
    let reborn = |born, revision| BackEndEntry {
        born,
        ..entry("a", revision)
    };
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    upsert(&mut all, reborn(200, 2));
    assert_eq!(candidates(&mut all), ["a", "b"]);
    announce_leave(&mut all, "a");
    assert_eq!(candidates(&mut all), ["a", "b"], "said by the earlier one");
    upsert(&mut all, reborn(100, 3));
    assert_eq!(
        candidates(&mut all),
        ["a", "b"],
        "an older start never wins"
    );
    remove(&mut all, "a", 4);
    upsert(&mut all, reborn(300, 5));
    assert_eq!(candidates(&mut all), ["a", "b"]);
}

#[test]
fn a_departure_is_reported_once_whichever_source_tells_it_first() {
    let leaving = BackEndEntry {
        leaving: true,
        ..entry("a", 2)
    };
    let mut all = back_ends(&["a"]);
    announce_leave(&mut all, "a");
    assert!(upsert(&mut all, leaving.clone()).leaving.is_empty());
    let mut all = back_ends(&["a"]);
    assert_eq!(upsert(&mut all, leaving).leaving, ids("a"));
    assert_eq!(all.count_accepting_work(), 0);
}

#[test]
fn announcements_of_unlisted_instances_are_bounded() {
    let mut all = BackEnds::default();
    for number in 0..2000 {
        announce_leave(&mut all, &format!("i-{number}"));
    }
    for number in [0, 900, 1100, 1999] {
        upsert(&mut all, entry(&format!("i-{number}"), 1));
    }
    assert_eq!(
        candidates(&mut all),
        ["i-0", "i-900"],
        "the newest are kept"
    );
}

fn ids(id: &str) -> Vec<String> {
    vec![id.to_owned()]
}
