//! State that a direct router keeps for back ends: their health, which of them may still hold
//! cached parts, and their load as counted by routers and reported by the back ends.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::{Labels, Requirement};
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange, RemovedEntry};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::back_ends::peer_counts::PeerCount;
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::choice::select::{
    likely_holder, select_by_affinity, DirectCandidate, SelectBounds,
};
use stacktack_core::time::Time;

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn told_by_a_peer(requests: f64, at: Time) -> PeerCount {
    PeerCount {
        requests,
        at,
        same_zone: false,
    }
}

fn entry(id: &str) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from([("service".to_owned(), "s".to_owned())]),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    }
}

fn back_ends(ids: &[&str]) -> BackEnds {
    let mut all = BackEnds::default();
    for id in ids {
        all.upsert(entry(id), at(0), &mut DirectoryChange::default());
    }
    all
}

fn health(all: &BackEnds, id: &str, now: Time) -> Option<Health> {
    health_for(all, id, now, Retryability::NotRetryable)
}

fn health_for(all: &BackEnds, id: &str, now: Time, request: Retryability) -> Option<Health> {
    all.clone()
        .assess_candidates(now, request, |_| true)
        .into_iter()
        .find(|(member, _)| member.entry.id == id)
        .map(|(_, health)| health)
}

#[test]
fn an_unreachable_back_end_is_ejected_and_comes_back() {
    let mut all = back_ends(&["a", "b"]);
    let member = all.get_mut("a").expect("known");
    assert!(!member.on_unreachable(at(0)));
    assert!(member.on_unreachable(at(10)));
    assert_eq!(health(&all, "a", at(20)), Some(Health::Ejected));
    assert_eq!(health(&all, "a", at(600)), Some(Health::Good));
    let member = all.get_mut("a").expect("known");
    assert!(member.on_unreachable(at(600)), "one more failure is enough");
    assert_eq!(health(&all, "a", at(1500)), Some(Health::Ejected));
    all.get_mut("a").expect("known").on_bytes(at(1500));
    assert_eq!(health(&all, "a", at(1500)), Some(Health::Good));
}

#[test]
fn silence_with_requests_in_flight_ejects_a_back_end() {
    let mut all = back_ends(&["a", "b"]);
    all.get_mut("a").expect("known").on_send(at(100));
    assert_eq!(health(&all, "a", at(500)), Some(Health::Good));
    assert_eq!(health(&all, "a", at(600)), Some(Health::Ejected));
    all.get_mut("a").expect("known").on_bytes(at(600));
    assert_eq!(health(&all, "a", at(700)), Some(Health::Good));
}

#[test]
fn failing_more_than_the_pool_degrades() {
    let mut all = back_ends(&["a", "b", "c"]);
    for turn in 0..40 {
        for id in ["a", "b", "c"] {
            let member = all.get_mut(id).expect("known");
            member.on_send(at(turn));
            member.on_outcome(id == "a" && turn % 2 == 0, at(turn));
            member.load.on_end(at(0));
        }
    }
    assert_eq!(health(&all, "a", at(50)), Some(Health::Degraded));
    assert_eq!(health(&all, "b", at(50)), Some(Health::Good));
}

/// Health of a back end after each of thirty responses with this time to the first byte, in
/// milliseconds.
fn health_after_responses(all: &mut BackEnds, id: &str, first_byte_ms: u64) -> Vec<Option<Health>> {
    let mut history = Vec::new();
    for now in 0..30 {
        let member = all.get_mut(id).expect("known");
        member.on_send(at(now));
        member.on_first_byte(Duration::from_millis(first_byte_ms));
        member.load.on_end(at(now));
        history.push(health(all, id, at(now)));
    }
    history
}

#[test]
fn clearly_slower_than_the_pool_degrades_until_it_was_idle_for_a_while() {
    let mut all = back_ends(&["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        let history = health_after_responses(&mut all, id, 50);
        assert!(history.iter().all(|one| *one == Some(Health::Good)));
    }
    let twice = health_after_responses(&mut all.clone(), "a", 100);
    assert!(twice.iter().all(|one| *one == Some(Health::Good)));
    let slow = health_after_responses(&mut all, "a", 200);
    assert_eq!(slow[0], Some(Health::Good), "one slow answer");
    assert_eq!(slow[29], Some(Health::Degraded));
    assert_eq!(health(&all, "b", at(30)), Some(Health::Good));
    assert_eq!(health(&all, "a", at(2900)), Some(Health::Degraded));
    assert_eq!(health(&all, "a", at(3100)), Some(Health::Good));
}

#[test]
fn leaving_back_ends_get_no_requests_but_may_still_hold_cached_parts() {
    let mut all = back_ends(&["a", "b"]);
    let mut change = DirectoryChange::default();
    let mut leaving = entry("a");
    leaving.leaving = true;
    all.upsert(leaving, at(1), &mut change);
    assert_eq!(change.leaving, ["a"]);
    assert_eq!(health(&all, "a", at(2)), None);
    assert_eq!(all.count_accepting_work(), 1);
    let holder = likely_holder(all.iter(), 5, "b").map(|member| member.entry.id.as_str());
    assert_eq!(holder, Some("a"));
    let left = RemovedEntry {
        id: "a".to_owned(),
        revision: 9,
    };
    all.remove(left, &mut change);
    assert_eq!(change.gone, ["a"]);
    assert!(likely_holder(all.iter(), 5, "b").is_none());
}

#[test]
fn the_former_home_of_a_part_is_its_likely_holder() {
    let bounds = SelectBounds::for_load_cap(2.0);
    let ids = ["a", "b", "c", "d", "e"];
    let before = back_ends(&ids[..4]);
    let after = back_ends(&ids);
    for part in 0..200 {
        let choose = |all: &BackEnds| {
            let members: Vec<_> = all.iter().collect();
            let candidates: Vec<_> = members
                .iter()
                .enumerate()
                .map(|(index, member)| DirectCandidate {
                    index,
                    id_hash: member.id_hash,
                    load: 0.0,
                    limit: f64::INFINITY,
                    same_zone: true,
                    health: Health::Good,
                    eligible: true,
                })
                .collect();
            let chosen = select_by_affinity(&candidates, part, &bounds).expect("chosen");
            members[chosen.index].entry.id.clone()
        };
        let (old, new) = (choose(&before), choose(&after));
        if old != new {
            let holder = likely_holder(after.iter(), part, &new).expect("a holder");
            assert_eq!(holder.entry.id, old);
        }
    }
}

#[test]
fn pools_are_selected_by_labels() {
    let mut all = back_ends(&["a"]);
    let requirement = Requirement {
        key: "service".to_owned(),
        equals: Some("other".to_owned()),
        not_equals: None,
        one_of: None,
        not_in: None,
        exists: None,
    };
    let pool = all.assess_candidates(at(0), Retryability::NotRetryable, |entry| {
        requirement.matches(&entry.labels)
    });
    assert!(pool.is_empty());
}

#[test]
fn in_a_small_fleet_the_load_is_the_higher_of_peer_counts_and_the_back_end_report() {
    let mut all = back_ends(&["a"]);
    let member = all.get_mut("a").expect("known");
    member.on_send(at(0));
    member.load.peer_counts.add(told_by_a_peer(2.0, at(0)));
    member.load.peer_counts_are_fresh = true;
    let near = |left: f64, right: f64| (left - right).abs() < 1e-9;
    assert!(near(member.load.estimate(at(0)), 3.0));
    member.load.on_report(6, at(10));
    assert!(near(member.load.estimate(at(20)), 6.0));
    assert!(
        near(member.load.estimate(at(400)), 3.0),
        "reported too long ago"
    );
    member.load.on_report(1, at(500));
    assert!(near(member.load.estimate(at(500)), 3.0));
}

/// In a large fleet the peers' own counts are seconds old, so that they count only while there is
/// no recent report of the back end.
#[test]
fn in_a_large_fleet_the_load_is_the_recent_report_of_the_back_end() {
    let mut all = back_ends(&["a"]);
    let member = all.get_mut("a").expect("known");
    member.on_send(at(0));
    member.load.peer_counts.add(told_by_a_peer(2.0, at(0)));
    let near = |left: f64, right: f64| (left - right).abs() < 1e-9;
    assert!(near(member.load.estimate(at(0)), 3.0));
    member.load.on_report(6, at(10));
    assert!(near(member.load.estimate(at(5005)), 6.0));
    assert!(
        near(member.load.estimate(at(5011)), 3.0),
        "reported too long ago"
    );
    member.load.on_report(1, at(6000));
    assert!(near(member.load.estimate(at(6000)), 1.0));
    member.load.on_report(9, at(5900));
    assert!(
        near(member.load.estimate(at(6000)), 1.0),
        "older than what is known"
    );
}

/// Guards against estimates that are too low under overload: requests that this router sent after a
/// load report were taken for some of those that the report counted.
#[test]
fn requests_sent_since_a_load_report_are_added_to_it() {
    let mut all = back_ends(&["a"]);
    let member = all.get_mut("a").expect("known");
    member.on_send(at(0));
    member.on_send(at(100));
    for time in [310, 320, 330] {
        member.on_send(at(time));
    }
    member.load.on_report(10, at(300));
    assert!((member.load.estimate(at(400)) - 13.0).abs() < 1e-9);
    member.load.on_end(at(410));
    assert!((member.load.estimate(at(420)) - 12.0).abs() < 1e-9);
}
