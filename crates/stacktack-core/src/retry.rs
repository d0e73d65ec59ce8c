//! Retry budget: retries stay a fixed share of first attempts. Pauses between
//! tries.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Retries earned by one first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that may be saved up.
const MAXIMUM_SAVED: f64 = 10.0;

/// Retries that a new budget starts with: a fleet has very many budgets.
const FIRST_SAVED: f64 = 1.0;

/// Doublings after which any pause is at its maximum.
const MOST_DOUBLINGS: u32 = 16;

/// Budget of one tenant at one router. Default: one retry to begin with, a
/// tenth of one earned by each request, ten saved up at most.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: FIRST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAXIMUM_SAVED);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Pause before retry number `retry` (from 1): uniform between half and the
/// whole of `base` doubled with each retry, at most `maximum`.
pub fn backoff(retry: u32, base: Duration, maximum: Duration, random: &mut ChaCha8Rng) -> Duration {
    let whole = exponential_delay(base, retry.saturating_sub(1), maximum);
    whole.mul_f64(random.random_range(0.5..=1.0))
}

/// `base` doubled so many times, at most `maximum`.
pub fn exponential_delay(base: Duration, times: u32, maximum: Duration) -> Duration {
    base.saturating_mul(1 << times.min(MOST_DOUBLINGS))
        .min(maximum)
}
