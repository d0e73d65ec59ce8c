//! What a router knows of how long requests take.

use std::time::Duration;

use stacktack_core::direct::request::run_times::RunTimes;
use stacktack_core::time::Time;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn at(count: u64) -> Time {
    Time(0) + seconds(count)
}

#[test]
fn nothing_is_known_before_the_first_request() {
    assert_eq!(RunTimes::default().longest(at(5)), None);
}

#[test]
fn the_longest_run_of_late_counts_and_is_forgotten() {
    let mut times = RunTimes::default();
    let long = times.begin(at(0));
    times.end(long, true, at(5));
    let short = times.begin(at(6));
    times.end(short, true, at(7));
    assert_eq!(times.longest(at(8)), Some(seconds(5)));
    let next_span = times.begin(at(9));
    times.end(next_span, true, at(10));
    assert_eq!(times.longest(at(12)), Some(seconds(5)));
    assert_eq!(times.longest(at(19)), Some(seconds(1)));
    assert_eq!(times.longest(at(40)), None);
    assert!(times.is_idle(at(40)));
}

#[test]
fn a_run_under_way_shows_that_back_ends_have_become_slow() {
    let mut times = RunTimes::default();
    let usual = times.begin(at(0));
    times.end(usual, true, at(1));
    let slow = times.begin(at(2));
    times.begin(at(3));
    assert_eq!(times.longest(at(6)), Some(seconds(4)));
    times.end(slow, true, at(7));
    assert_eq!(times.longest(at(7)), Some(seconds(5)));
    assert!(!times.is_idle(at(60)));
}

#[test]
fn a_request_that_was_refused_tells_nothing() {
    let mut times = RunTimes::default();
    let refused = times.begin(at(0));
    times.end(refused, false, at(3));
    assert_eq!(times.longest(at(3)), None);
}
