//! Detection of back ends that fail more often than their pool, by a router that sends each of them
//! few requests.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::{OutlierDetector, Retryability};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::peers::peer_gossip::{RecoveryGossip, ShortId};
use stacktack_core::time::Time;

/// Failure share of a pool where failures are rare.
const RARE_FAILURE_SHARE: f64 = 0.0;

/// Failure share of a pool where failures are common.
const COMMON_FAILURE_SHARE: f64 = 0.14;

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn detector_after(outcomes: &[bool], pool_share: f64) -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    for failed in outcomes {
        detector.on_outcome(*failed, pool_share, at(0));
    }
    detector
}

#[test]
fn one_failure_is_enough_where_failures_are_rare() {
    assert!(detector_after(&[true], RARE_FAILURE_SHARE).is_suspect());
    assert!(!detector_after(&[false, false], RARE_FAILURE_SHARE).is_suspect());
}

#[test]
fn several_failures_are_needed_where_failures_are_common() {
    assert!(!detector_after(&[true, true], COMMON_FAILURE_SHARE).is_suspect());
    assert!(detector_after(&[true, true, true], COMMON_FAILURE_SHARE).is_suspect());
    let mixed = [true, false, false, true, false, false, true, false, false];
    assert!(!detector_after(&mixed, COMMON_FAILURE_SHARE).is_suspect());
}

#[test]
fn a_suspect_is_avoided_for_longer_each_time_until_it_is_cleared() {
    let mut detector = detector_after(&[true], RARE_FAILURE_SHARE);
    assert!(!detector.allows_trial(at(900), Retryability::Retryable));
    assert!(detector.allows_trial(at(1000), Retryability::Retryable));
    detector.on_outcome(true, RARE_FAILURE_SHARE, at(1000));
    assert!(!detector.allows_trial(at(2900), Retryability::Retryable));
    assert!(detector.allows_trial(at(3000), Retryability::Retryable));
    for _ in 0..2 {
        detector.on_outcome(false, RARE_FAILURE_SHARE, at(3000));
    }
    assert!(!detector.is_suspect());
    detector.on_outcome(true, RARE_FAILURE_SHARE, at(9000));
    assert!(
        detector.allows_trial(at(10_000), Retryability::Retryable),
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

fn health(all: &mut BackEnds, id: &str, now: Time, request: Retryability) -> Health {
    let members = all.assess_candidates(now, request, |_| true);
    let member = members.iter().find(|(member, _)| member.entry.id == id);
    member.expect("a member").1
}

#[test]
fn a_suspect_gets_one_retryable_request_as_a_trial() {
    let mut all = pool(6);
    all.get_mut("b0").expect("known").on_outcome(true, at(0));
    for retryability in [Retryability::NotRetryable, Retryability::Retryable] {
        assert_eq!(
            health(&mut all, "b0", at(10), retryability),
            Health::Degraded
        );
    }
    let later = at(1100);
    assert_eq!(
        health(&mut all, "b0", later, Retryability::NotRetryable),
        Health::Degraded
    );
    assert_eq!(
        health(&mut all, "b0", later, Retryability::Retryable),
        Health::Good
    );
    all.get_mut("b0").expect("known").on_send(later);
    assert_eq!(
        health(&mut all, "b0", later, Retryability::Retryable),
        Health::Degraded
    );
    let member = all.get_mut("b0").expect("known");
    member.load.on_end(at(0));
    member.on_outcome(false, later);
    assert_eq!(
        health(&mut all, "b0", later, Retryability::NotRetryable),
        Health::Good
    );
}

/// Guards against trials with retryable requests only: where no request is retryable, a single
/// failure then excluded a back end for good.
#[test]
fn a_suspect_gets_any_request_as_a_trial_after_a_longer_pause() {
    let mut all = pool(6);
    all.get_mut("b0").expect("known").on_outcome(true, at(0));
    let retryability = Retryability::NotRetryable;
    assert_eq!(
        health(&mut all, "b0", at(3900), retryability),
        Health::Degraded
    );
    assert_eq!(health(&mut all, "b0", at(4000), retryability), Health::Good);
    all.get_mut("b0").expect("known").on_send(at(4000));
    assert_eq!(
        health(&mut all, "b0", at(4100), retryability),
        Health::Degraded
    );
}

fn report_suspect(all: &mut BackEnds, id: &str, peers: &[u8], now: Time) {
    for peer in peers {
        let peer = SocketAddr::from(([127, 0, 0, *peer], 9));
        all.get_mut(id).expect("known").on_suspect_report(peer, now);
    }
}

#[test]
fn suspect_reports_expire_and_count_less_than_a_recent_own_success() {
    let mut all = pool(6);
    let retryability = Retryability::Retryable;
    report_suspect(&mut all, "b0", &[1, 1], at(0));
    assert_eq!(
        health(&mut all, "b0", at(50), retryability),
        Health::Good,
        "one peer"
    );
    report_suspect(&mut all, "b0", &[2], at(0));
    assert_eq!(
        health(&mut all, "b0", at(100), retryability),
        Health::Degraded
    );
    assert!(
        all.suspects(9, at(100)).is_empty(),
        "reports of peers are not passed on"
    );
    assert_eq!(health(&mut all, "b0", at(1600), retryability), Health::Good);
    report_suspect(&mut all, "b0", &[1, 2], at(2000));
    let member = all.get_mut("b0").expect("known");
    member.on_outcome(false, at(2100));
    assert_eq!(health(&mut all, "b0", at(2200), retryability), Health::Good);
    assert_eq!(
        health(&mut all, "b0", at(2700), retryability),
        Health::Degraded
    );
}

#[test]
fn suspect_reports_about_many_back_ends_are_ignored() {
    let mut all = pool(6);
    for id in ["b0", "b1", "b2"] {
        report_suspect(&mut all, id, &[1, 2], at(0));
    }
    let retryability = Retryability::NotRetryable;
    assert_eq!(health(&mut all, "b0", at(100), retryability), Health::Good);
}

/// Busy back ends are silent for a while. When routers reported silence to each other, the whole
/// fleet avoided busy back ends at once, and the next ones were loaded above the bound.
#[test]
fn silence_is_not_reported_to_peers() {
    let mut all = pool(3);
    all.get_mut("b0").expect("known").on_send(at(0));
    assert!(all.get("b0").expect("known").is_silent(at(500)));
    assert!(all.suspects(9, at(500)).is_empty());
}

#[test]
fn a_pool_that_fails_as_a_whole_does_not_delay_the_return_of_a_member() {
    let mut detector = detector_after(&[true; 40], 0.5);
    assert!(detector.is_suspect());
    for _ in 0..2 {
        detector.on_outcome(false, 0.5, at(1));
    }
    assert!(!detector.is_suspect());
}

#[test]
fn a_success_that_a_peer_tells_ends_the_pause_of_a_suspect() {
    let mut all = pool(6);
    let member = all.get_mut("b0").expect("known");
    member.on_outcome(true, at(0));
    let short = ShortId::of(member.id_hash);
    let told = RecoveryGossip::new(short, at(400), at(500)).expect("recent");
    let retryability = Retryability::Retryable;
    assert_eq!(
        health(&mut all, "b0", at(500), retryability),
        Health::Degraded
    );
    all.merge_recoveries(&[told], at(500));
    assert_eq!(health(&mut all, "b0", at(500), retryability), Health::Good);
    let passed_on = all.recoveries(9, at(520));
    assert_eq!(passed_on.len(), 1, "told on to other peers");
}

#[test]
fn a_success_before_the_last_failure_is_no_recovery() {
    let mut all = pool(6);
    let member = all.get_mut("b0").expect("known");
    member.on_outcome(true, at(1000));
    let told = RecoveryGossip::new(ShortId::of(member.id_hash), at(900), at(1000));
    all.merge_recoveries(&[told.expect("recent")], at(1000));
    assert!(all.recoveries(9, at(1000)).is_empty());
    assert_eq!(
        health(&mut all, "b0", at(1100), Retryability::Retryable),
        Health::Degraded
    );
}
