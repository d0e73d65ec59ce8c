//! How long an answer may be late before its source counts as silent.

use std::time::Duration;

use stacktack_core::direct::sources::adaptive_timeout::AdaptiveTimeout;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_source_of_which_nothing_is_known_has_the_least_patience() {
    let patience = AdaptiveTimeout::default();
    assert_eq!(patience.timeout(false), ms(1200));
    assert_eq!(patience.timeout(true), ms(500));
}

#[test]
fn a_slow_source_is_given_twice_what_it_took() {
    let mut patience = AdaptiveTimeout::default();
    patience.on_answer(ms(1360));
    assert_eq!(patience.timeout(false), ms(2720));
    assert_eq!(patience.timeout(true), ms(2720));
}

#[test]
fn patience_has_an_end_and_comes_back_down_with_quick_answers() {
    let mut patience = AdaptiveTimeout::default();
    patience.on_answer(ms(9000));
    assert_eq!(patience.timeout(false), ms(6000));
    for _ in 0..30 {
        patience.on_answer(ms(4));
    }
    assert_eq!(patience.timeout(false), ms(1200));
}
