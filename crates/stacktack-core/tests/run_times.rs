//! How long the recent requests of a route ran, as known by its router.

use std::time::Duration;

use stacktack_core::direct::request::run_times::RunTimes;
use stacktack_core::time::Time;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn at(count: u64) -> Time {
    Time(0) + seconds(count)
}

/// Runs that took the given seconds and all ended at `end`.
fn with_finished(durations: &[u64], end: u64) -> RunTimes {
    let mut times = RunTimes::default();
    for duration in durations {
        let run = times.begin(at(end - duration));
        times.end(run, true, at(end));
    }
    times
}

#[test]
fn nothing_is_known_before_the_first_request() {
    assert_eq!(RunTimes::default().longest(at(5)), None);
    assert!(RunTimes::default().is_idle(at(5)));
}

#[test]
fn the_longest_recent_run_counts_and_expires() {
    let times = with_finished(&[1, 5, 2], 10);
    assert_eq!(times.longest(at(19)), Some(seconds(5)));
    assert_eq!(times.longest(at(20)), None);
    assert!(times.is_idle(at(20)));
}

#[test]
fn runs_in_flight_show_that_back_ends_have_become_slow() {
    let mut times = with_finished(&[1; 30], 10);
    times.begin(at(10));
    let slow = times.begin(at(10));
    assert_eq!(times.longest(at(11)), Some(seconds(1)));
    assert_eq!(times.longest(at(14)), Some(seconds(4)));
    times.end(slow, true, at(15));
    assert_eq!(times.longest(at(15)), Some(seconds(5)));
    assert!(!times.is_idle(at(60)));
}

#[test]
fn a_request_that_was_not_run_does_not_count() {
    let mut times = RunTimes::default();
    let refused = times.begin(at(0));
    times.end(refused, false, at(3));
    assert_eq!(times.longest(at(3)), None);
}
