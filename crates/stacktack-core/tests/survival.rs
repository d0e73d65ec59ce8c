//! How long requests in flight are expected to stay in flight.

use std::time::Duration;

use stacktack_core::direct::back_ends::survival::Survival;

fn survival_of(times_ms: impl IntoIterator<Item = u64>) -> Survival {
    let mut survival = Survival::default();
    for time in times_ms {
        survival.record(Duration::from_millis(time));
    }
    survival
}

fn share_after(survival: &Survival, milliseconds: u64) -> f64 {
    survival.share_after(Duration::from_millis(milliseconds))
}

#[test]
fn short_requests_are_not_expected_to_be_in_flight_a_gossip_interval_later() {
    let survival = survival_of([40; 200]);
    assert!(share_after(&survival, 0) > 0.99);
    assert!((0.4..0.6).contains(&share_after(&survival, 20)));
    assert_eq!(share_after(&survival, 100), 0.0);
}

#[test]
fn few_long_requests_among_short_ones_are_not_forgotten() {
    let times = (0..400).map(|number| if number % 4 == 0 { 1500 } else { 80 });
    let survival = survival_of(times);
    assert!(share_after(&survival, 400) > 0.5);
    assert_eq!(share_after(&survival, 3_200), 0.0);
}

#[test]
fn told_requests_count_until_a_request_is_known() {
    assert_eq!(share_after(&Survival::default(), 60_000), 1.0);
    assert_eq!(share_after(&survival_of([0]), 60_000), 1.0);
}
