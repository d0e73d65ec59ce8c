//! Clocks of a process.

use std::time::{Duration, Instant};

use stacktack_node::clock::{ClockReading, ProcessClock};

#[test]
fn the_clock_that_counts_suspensions_is_never_behind_the_steady_one() {
    let reading = ClockReading::now();
    assert!(reading.steady > Duration::ZERO);
    assert!(reading.elapsed >= reading.steady);
    let suspended = ClockReading {
        elapsed: reading.steady + Duration::from_secs(8),
        ..reading
    };
    assert_eq!(suspended.suspended_time(), Duration::from_secs(8));
}

#[test]
fn process_times_convert_to_instants_of_the_runtime() {
    let clock = ProcessClock::start();
    let before = Instant::now();
    let at = clock.now() + Duration::from_secs(60);
    let instant = clock.instant(at);
    assert!(instant >= before + Duration::from_secs(59));
    assert!(instant <= Instant::now() + Duration::from_secs(60));
}
