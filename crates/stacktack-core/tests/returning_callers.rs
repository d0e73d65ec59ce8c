//! Callers that come back after a refusal are recognized by timeouts that are shorter than
//! usual; first tries must not be taken for them.
//!
//! In 14 s without a refusal, 61 of 100 callers of a deployment counted as returning: they
//! announce between 0.85 and 1 of their route's timeout, and the longest timeout counted as
//! usual. Few of the new callers then got priority over returning ones.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::admission::{AdmissionRequest, PoolAdmission};
use stacktack_core::time::Time;

fn request(timeout: Duration) -> AdmissionRequest<'static> {
    AdmissionRequest {
        route: "r",
        tenant: None,
        objective: Duration::from_millis(400),
        caller_timeout: timeout,
        remaining_timeout: timeout,
        is_retry: false,
    }
}

/// Timeout of a first try, drawn from `min_share` to 1 as a share of the longest one.
fn random_timeout(random: &mut ChaCha8Rng, longest: Duration, min_share: f64) -> Duration {
    longest.mul_f64(random.random_range(min_share..=1.0))
}

const LONGEST_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(2500),
    Duration::from_secs(10),
];

/// Share of 2,000 first tries that counts as returning, after as many were admitted; none is
/// refused.
fn returning_share(longest: Duration, min_share: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut admission = PoolAdmission::default();
    let mut returning = 0;
    for number in 0..4000_u64 {
        let now = Time(1_000_000 + number * 10_000);
        let request = request(random_timeout(&mut random, longest, min_share));
        if number >= 2000 && admission.has_returned(&request) {
            returning += 1;
        }
        admission.on_admitted(&request, now);
    }
    f64::from(returning) / 2000.0
}

#[test]
fn without_refusals_hardly_any_caller_counts_as_returning_whatever_its_timeout() {
    for longest in LONGEST_TIMEOUTS {
        for min_share in [1.0, 0.98, 0.85, 0.5, 0.2] {
            let share = returning_share(longest, min_share);
            println!("longest={longest:?} from={min_share} returned={share}");
            assert!(share < 0.02, "{longest:?} {min_share}: {share}");
        }
    }
}

/// The timeouts of returning callers are shorter than those of all first tries.
#[test]
fn returning_callers_are_distinguished_from_first_tries() {
    for longest in LONGEST_TIMEOUTS {
        let mut random = ChaCha8Rng::seed_from_u64(4);
        let mut admission = PoolAdmission::default();
        for number in 0..2000_u64 {
            let now = Time(1_000_000 + number * 10_000);
            admission.on_admitted(&request(random_timeout(&mut random, longest, 0.85)), now);
        }
        assert!(admission.has_returned(&request(longest.mul_f64(0.75))));
        assert!(!admission.has_returned(&request(longest.mul_f64(0.86))));
    }
}

/// A long overload, in which half of all callers are returning ones, must not change the
/// learned timeout.
#[test]
fn an_overload_does_not_change_the_usual_timeout() {
    let longest = Duration::from_secs(8);
    let mut random = ChaCha8Rng::seed_from_u64(6);
    let mut admission = PoolAdmission::default();
    for number in 0..2000_u64 {
        let now = Time(1_000_000 + number * 10_000);
        admission.on_admitted(&request(random_timeout(&mut random, longest, 0.85)), now);
    }
    let start = 40_000_000;
    for number in 0..4000_u64 {
        let now = Time(start + number * 5_000);
        let min_share = if number % 2 == 0 { 0.85 } else { 0.4 };
        let request = request(random_timeout(&mut random, longest, min_share));
        if number % 3 == 0 {
            admission.on_refused(&request, 0.5, now);
        } else {
            admission.on_admitted(&request, now);
        }
    }
    assert!(admission.has_returned(&request(longest.mul_f64(0.75))));
    assert!(!admission.has_returned(&request(longest.mul_f64(0.86))));
}

/// Where traffic shifts to callers with a shorter timeout, that timeout is usual after some
/// hundred of them.
#[test]
fn the_usual_timeout_is_learned_again_after_a_change() {
    let mut admission = PoolAdmission::default();
    let mut now = Time(1_000_000);
    let mut admit = |admission: &mut PoolAdmission, milliseconds: u64, count: u32| {
        for _ in 0..count {
            now = now + Duration::from_millis(10);
            admission.on_admitted(&request(Duration::from_millis(milliseconds)), now);
        }
    };
    admit(&mut admission, 8000, 500);
    assert!(admission.has_returned(&request(Duration::from_millis(2500))));
    admit(&mut admission, 2500, 300);
    assert!(!admission.has_returned(&request(Duration::from_millis(2500))));
    admit(&mut admission, 8000, 16_000);
    assert!(admission.has_returned(&request(Duration::from_millis(2500))));
}

/// A router that starts during an overload knows no usual timeout and deprioritizes nobody.
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
