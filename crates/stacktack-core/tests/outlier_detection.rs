//! Back ends that fail more often than their pool, seen by a router that sends
//! each of them few requests.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::{OutlierDetector, Retryability};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::time::Time;

const RARE: f64 = 0.0;
const COMMON: f64 = 0.14;

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn after(outcomes: &[bool], usual: f64) -> OutlierDetector {
    let mut suspicion = OutlierDetector::default();
    for failed in outcomes {
        suspicion.on_outcome(*failed, usual, at(0));
    }
    suspicion
}

#[test]
fn one_failure_is_enough_where_failures_are_rare() {
    assert!(after(&[true], RARE).is_suspect());
    assert!(!after(&[false, false], RARE).is_suspect());
}

#[test]
fn several_failures_are_needed_where_failures_are_common() {
    assert!(!after(&[true, true], COMMON).is_suspect());
    assert!(after(&[true, true, true], COMMON).is_suspect());
    let mixed = [true, false, false, true, false, false, true, false, false];
    assert!(!after(&mixed, COMMON).is_suspect());
}

#[test]
fn a_suspect_is_avoided_for_longer_each_time_until_it_is_cleared() {
    let mut suspicion = after(&[true], RARE);
    assert!(!suspicion.allows_trial(at(900), Retryability::Retryable));
    assert!(suspicion.allows_trial(at(1000), Retryability::Retryable));
    suspicion.on_outcome(true, RARE, at(1000));
    assert!(!suspicion.allows_trial(at(2900), Retryability::Retryable));
    assert!(suspicion.allows_trial(at(3000), Retryability::Retryable));
    for _ in 0..2 {
        suspicion.on_outcome(false, RARE, at(3000));
    }
    assert!(!suspicion.is_suspect());
    suspicion.on_outcome(true, RARE, at(9000));
    assert!(
        suspicion.allows_trial(at(10_000), Retryability::Retryable),
        "the first pause again"
    );
}

fn pool(size: usize) -> BackEnds {
    let mut all = BackEnds::default();
    for number in 0..size {
        let entry = BackEndEntry {
            id: format!("b{number}"),
            born: 0,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            labels: Labels::new(),
            slots: 4,
            leaving: false,
            cold_for: Duration::ZERO,
            revision: 1,
        };
        all.upsert(entry, at(0), &mut DirectoryChange::default());
    }
    all
}

fn standing(all: &mut BackEnds, id: &str, now: Time, request: Retryability) -> Health {
    let members = all.pool(now, request, |_| true);
    let member = members.iter().find(|(member, _)| member.entry.id == id);
    member.expect("a member").1
}

#[test]
fn a_suspect_gets_one_retryable_request_as_a_trial() {
    let mut all = pool(6);
    all.get_mut("b0").expect("known").on_outcome(true, at(0));
    for risk in [Retryability::NotRetryable, Retryability::Retryable] {
        assert_eq!(standing(&mut all, "b0", at(10), risk), Health::Degraded);
    }
    let later = at(1100);
    assert_eq!(
        standing(&mut all, "b0", later, Retryability::NotRetryable),
        Health::Degraded
    );
    assert_eq!(
        standing(&mut all, "b0", later, Retryability::Retryable),
        Health::Good
    );
    all.get_mut("b0").expect("known").on_send(later);
    assert_eq!(
        standing(&mut all, "b0", later, Retryability::Retryable),
        Health::Degraded
    );
    let member = all.get_mut("b0").expect("known");
    member.load.on_end(at(0));
    member.on_outcome(false, later);
    assert_eq!(
        standing(&mut all, "b0", later, Retryability::NotRetryable),
        Health::Good
    );
}

/// Found by reading: where no request may be repeated, one failure took a back end
/// out for good.
#[test]
fn a_suspect_gets_any_request_as_a_trial_after_a_longer_pause() {
    let mut all = pool(6);
    all.get_mut("b0").expect("known").on_outcome(true, at(0));
    let risk = Retryability::NotRetryable;
    assert_eq!(standing(&mut all, "b0", at(3900), risk), Health::Degraded);
    assert_eq!(standing(&mut all, "b0", at(4000), risk), Health::Good);
    all.get_mut("b0").expect("known").on_send(at(4000));
    assert_eq!(standing(&mut all, "b0", at(4100), risk), Health::Degraded);
}

fn accuse(all: &mut BackEnds, id: &str, peers: &[u8], now: Time) {
    for peer in peers {
        let peer = SocketAddr::from(([127, 0, 0, *peer], 9));
        all.get_mut(id).expect("known").on_suspect_report(peer, now);
    }
}

#[test]
fn suspect_reports_expire_and_count_less_than_a_recent_own_success() {
    let mut all = pool(6);
    let risk = Retryability::Retryable;
    accuse(&mut all, "b0", &[1, 1], at(0));
    assert_eq!(
        standing(&mut all, "b0", at(50), risk),
        Health::Good,
        "one peer"
    );
    accuse(&mut all, "b0", &[2], at(0));
    assert_eq!(standing(&mut all, "b0", at(100), risk), Health::Degraded);
    assert!(all.suspects(9).is_empty(), "hearsay is not told on");
    assert_eq!(standing(&mut all, "b0", at(1600), risk), Health::Good);
    accuse(&mut all, "b0", &[1, 2], at(2000));
    let member = all.get_mut("b0").expect("known");
    member.on_outcome(false, at(2100));
    assert_eq!(standing(&mut all, "b0", at(2200), risk), Health::Good);
    assert_eq!(standing(&mut all, "b0", at(2700), risk), Health::Degraded);
}

#[test]
fn suspect_reports_about_many_back_ends_are_ignored() {
    let mut all = pool(6);
    for id in ["b0", "b1", "b2"] {
        accuse(&mut all, id, &[1, 2], at(0));
    }
    let risk = Retryability::NotRetryable;
    assert_eq!(standing(&mut all, "b0", at(100), risk), Health::Good);
}

/// Found by a hunted day: the whole fleet passed by busy back ends at once, and
/// the next ones were loaded above the bound.
#[test]
fn silence_is_not_reported_to_peers() {
    let mut all = pool(3);
    all.get_mut("b0").expect("known").on_send(at(0));
    assert!(all.get("b0").expect("known").is_silent(at(500)));
    assert!(all.suspects(9).is_empty());
}
