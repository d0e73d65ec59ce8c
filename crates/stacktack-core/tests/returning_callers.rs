//! Who came back after a refusal, as far as callers' patience tells.
//!
//! The story. In 14 calm seconds, without one refusal, 61 of 100 callers of a deployment
//! were taken as returned: they say between 0.85 and 1 of their route's time, and the
//! longest patience counted as usual. "New callers first" put few of them first.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::admission::{AdmissionRequest, PoolAdmission};
use stacktack_core::time::Time;

fn request(patience: Duration) -> AdmissionRequest<'static> {
    AdmissionRequest {
        route: "r",
        tenant: None,
        objective: Duration::from_millis(400),
        caller_timeout: patience,
        remaining_timeout: patience,
        is_retry: false,
    }
}

/// Patience of first tries: a share of the longest one, drawn.
fn spread(random: &mut ChaCha8Rng, longest: Duration, from: f64) -> Duration {
    longest.mul_f64(random.random_range(from..=1.0))
}

const LONGEST: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(2500),
    Duration::from_secs(10),
];

/// Share of 2,000 calm callers that counts as returned, after as many were seen.
fn taken_as_returned(longest: Duration, from: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut admission = PoolAdmission::default();
    let mut returned = 0;
    for number in 0..4000_u64 {
        let now = Time(1_000_000 + number * 10_000);
        let request = request(spread(&mut random, longest, from));
        if number >= 2000 && admission.has_returned(&request) {
            returned += 1;
        }
        admission.on_admitted(&request, now);
    }
    f64::from(returned) / 2000.0
}

#[test]
fn without_refusals_hardly_any_caller_counts_as_returning_whatever_its_timeout() {
    for longest in LONGEST {
        for from in [1.0, 0.98, 0.85, 0.5, 0.2] {
            let share = taken_as_returned(longest, from);
            println!("longest={longest:?} from={from} returned={share}");
            assert!(share < 0.02, "{longest:?} {from}: {share}");
        }
    }
}

/// Callers that come back wait less than any first try: they are told from those.
#[test]
fn returning_callers_are_distinguished_from_first_tries() {
    for longest in LONGEST {
        let mut random = ChaCha8Rng::seed_from_u64(4);
        let mut admission = PoolAdmission::default();
        for number in 0..2000_u64 {
            let now = Time(1_000_000 + number * 10_000);
            admission.on_admitted(&request(spread(&mut random, longest, 0.85)), now);
        }
        assert!(admission.has_returned(&request(longest.mul_f64(0.75))));
        assert!(!admission.has_returned(&request(longest.mul_f64(0.86))));
    }
}

/// A long overload in which half of all callers are returned ones leaves the belief as it
/// was.
#[test]
fn an_overload_does_not_change_the_usual_timeout() {
    let longest = Duration::from_secs(8);
    let mut random = ChaCha8Rng::seed_from_u64(6);
    let mut admission = PoolAdmission::default();
    for number in 0..2000_u64 {
        let now = Time(1_000_000 + number * 10_000);
        admission.on_admitted(&request(spread(&mut random, longest, 0.85)), now);
    }
    let start = 40_000_000;
    for number in 0..4000_u64 {
        let now = Time(start + number * 5_000);
        let from = if number % 2 == 0 { 0.85 } else { 0.4 };
        let request = request(spread(&mut random, longest, from));
        if number % 3 == 0 {
            admission.on_refused(&request, 0.5, now);
        } else {
            admission.on_admitted(&request, now);
        }
    }
    assert!(admission.has_returned(&request(longest.mul_f64(0.75))));
    assert!(!admission.has_returned(&request(longest.mul_f64(0.86))));
}

/// Where the work shifts to callers that wait less, these are usual after some hundred of
/// them.
#[test]
fn the_usual_timeout_is_learned_again_after_a_change() {
    let mut admission = PoolAdmission::default();
    let mut now = Time(1_000_000);
    let mut see = |admission: &mut PoolAdmission, milliseconds: u64, count: u32| {
        for _ in 0..count {
            now = now + Duration::from_millis(10);
            admission.on_admitted(&request(Duration::from_millis(milliseconds)), now);
        }
    };
    see(&mut admission, 8000, 500);
    assert!(admission.has_returned(&request(Duration::from_millis(2500))));
    see(&mut admission, 2500, 300);
    assert!(!admission.has_returned(&request(Duration::from_millis(2500))));
    see(&mut admission, 8000, 16_000);
    assert!(admission.has_returned(&request(Duration::from_millis(2500))));
}

/// A router that starts within an overload knows no usual patience, and puts nobody
/// behind.
#[test]
fn a_router_that_starts_in_an_overload_counts_nobody_as_returning() {
    let mut admission = PoolAdmission::default();
    for number in 0..200_u64 {
        let now = Time(1_000_000 + number * 10_000);
        let request = request(Duration::from_millis(if number % 2 == 0 {
            8000
        } else {
            4000
        }));
        assert!(!admission.has_returned(&request));
        admission.on_refused(&request, 0.5, now);
        admission.on_admitted(&request, now);
    }
}
