//! What is believed of a load that was told a while ago.

use std::time::Duration;

use stacktack_core::direct::admission::hold_times::HoldTimes;
use stacktack_core::direct::admission::pool_load::{LoadReport, PoolLoad};
use stacktack_core::direct::back_ends::load::{BackEndLoad, UsualLoad};
use stacktack_core::time::Time;

/// Loads above this are passed by.
const PASSED_BY_ABOVE: f64 = 14.0;

fn holds(millis: &[u64]) -> HoldTimes {
    let mut holds = HoldTimes::default();
    for millis in millis {
        holds.note(Duration::from_millis(*millis));
    }
    holds
}

fn left(holds: &HoldTimes, millis: u64) -> f64 {
    let left = holds.share_left(Duration::from_millis(millis));
    left.expect("some have ended")
}

#[test]
fn requests_of_one_length_end_evenly() {
    let holds = holds(&[400; 5]);
    for (millis, share) in [(0, 1.0), (100, 0.75), (300, 0.25), (400, 0.0), (900, 0.0)] {
        assert!((left(&holds, millis) - share).abs() < 1e-9, "{millis}");
    }
}

/// Nine short ones and a long one: half of what a back end holds is long.
#[test]
fn long_requests_are_there_more_often_than_they_come() {
    let mut times = vec![100; 9];
    times.push(900);
    let holds = holds(&times);
    assert!((left(&holds, 100) - 8.0 / 18.0).abs() < 1e-9);
    assert!((left(&holds, 500) - 4.0 / 18.0).abs() < 1e-9);
}

#[test]
fn only_requests_of_late_count() {
    assert_eq!(HoldTimes::default().share_left(Duration::ZERO), None);
    let mut times = vec![5000; 300];
    times.extend([100; 128]);
    assert!(left(&holds(&times), 100) < 1e-9);
}

fn usual(requests: f64) -> UsualLoad {
    UsualLoad {
        weight: 1000.0,
        requests,
    }
}

/// A pool whose back ends told just now that they hold what is usual there, and one that told
/// something a while ago.
fn expected(told: LoadReport) -> f64 {
    let fresh = LoadReport {
        load: 9.0,
        usual: usual(8.0),
        slots: 64,
        age: Some(Duration::from_millis(100)),
        ..LoadReport::default()
    };
    let mut reports = vec![fresh; 50];
    reports.push(told);
    let pool = PoolLoad::of(&reports).expect("known");
    pool.expected(&told, &holds(&[400]), PASSED_BY_ABOVE)
}

fn told(load: f64, usual_load: f64, millis: u64) -> LoadReport {
    LoadReport {
        load,
        usual: usual(usual_load),
        slots: 64,
        age: Some(Duration::from_millis(millis)),
        ..LoadReport::default()
    }
}

#[test]
fn what_was_told_gives_way_to_what_is_usual_there() {
    assert!((expected(told(24.0, 5.0, 0)) - 24.0).abs() < 0.1);
    let halfway = expected(told(24.0, 5.0, 200));
    assert!((14.5..18.0).contains(&halfway), "{halfway}");
    assert!((expected(told(24.0, 5.0, 2000)) - 5.0).abs() < 0.1);
    assert!((expected(told(0.0, 6.0, 2000)) - 6.0).abs() < 0.2);
}

/// Else all would keep away from it, and nobody would hear.
#[test]
fn one_of_which_nothing_is_heard_is_never_believed_above_the_bound() {
    assert!(expected(told(40.0, 30.0, 2000)) < PASSED_BY_ABOVE);
}

#[test]
fn own_requests_count_in_full_however_old_the_news_is() {
    let sent = LoadReport {
        own: 20.0,
        ..told(21.0, 5.0, 2000)
    };
    assert!(expected(sent) >= 20.0);
}

#[test]
fn what_is_usual_follows_loads_that_are_told() {
    let at = |millis: u64| Time(1_000_000) + Duration::from_millis(millis);
    let mut load = BackEndLoad::default();
    assert!(load.usual(at(0)).weight < 1e-9);
    for told in 0..10 {
        // Each counts the request that is being answered.
        load.on_told(if told % 2 == 0 { 5 } else { 9 }, at(told * 10));
    }
    let known = load.usual(at(100));
    assert!((known.requests - 6.0).abs() < 0.1, "{known:?}");
    let later = load.usual(at(15_000));
    assert!(later.weight < 0.1 * known.weight, "{later:?}");
}
