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

/// Guards against an outage that is taken for a slow source once it is over.
#[test]
fn the_lateness_of_an_answer_held_up_by_an_outage_ends_with_the_next_answer() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.on_answer_after_loss(ms(2850));
    assert_eq!(timeout.lateness(), ms(0));
    assert_eq!(timeout.timeout(false), ms(5700), "the source may be slow");
    timeout.on_answer(ms(4));
    assert_eq!(timeout.timeout(false), ms(1200));
    timeout.on_answer_after_loss(ms(1360));
    timeout.on_answer(ms(1360));
    assert_eq!(timeout.timeout(false), ms(2720), "it is slow");
}

/// Guards against a lateness that lasts for as long as peers keep a router from calling.
#[test]
fn answers_to_peers_lower_the_lateness_and_never_raise_it() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.on_peer_answer(ms(900));
    assert_eq!(timeout.lateness(), ms(0));
    timeout.on_answer(ms(2000));
    for _ in 0..30 {
        timeout.on_peer_answer(ms(1500));
    }
    assert_eq!(timeout.lateness(), ms(1500), "it may be that late");
    for _ in 0..30 {
        timeout.on_peer_answer(ms(40));
    }
    assert_eq!(timeout.timeout(false), ms(1200));
}
