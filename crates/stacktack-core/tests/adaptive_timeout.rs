//! How late an answer may be before its source counts as silent.

use std::time::Duration;

use stacktack_core::direct::sources::adaptive_timeout::AdaptiveTimeout;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn an_unknown_source_gets_the_minimum_timeout() {
    let timeout = AdaptiveTimeout::default();
    assert_eq!(timeout.timeout(false), ms(1200));
    assert_eq!(timeout.timeout(true), ms(500));
}

#[test]
fn a_slow_source_gets_twice_its_lateness() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.on_answer(ms(1360));
    assert_eq!(timeout.timeout(false), ms(2720));
    assert_eq!(timeout.timeout(true), ms(2720));
}

#[test]
fn the_timeout_has_a_maximum_and_falls_again_with_quick_answers() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.on_answer(ms(9000));
    assert_eq!(timeout.timeout(false), ms(6000));
    for _ in 0..30 {
        timeout.on_answer(ms(4));
    }
    assert_eq!(timeout.timeout(false), ms(1200));
}
