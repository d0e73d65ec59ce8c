//! Retry budgets, which limit retries to a fixed share of first attempts, and
//! backoff between retries.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Retries that one first attempt earns.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of retries in a budget.
const MAX_RETRIES: f64 = 10.0;

/// Retries in a new budget. The number is small because a fleet has very many
/// budgets, one for each tenant at each router.
const INITIAL_RETRIES: f64 = 1.0;

/// Number of doublings after which every delay has reached its maximum. It also
/// keeps the multiplier within a `u32`.
const MAX_DOUBLINGS: u32 = 16;

/// Retry budget of one tenant at one router. It starts with one retry, earns a
/// tenth of a retry with each first attempt, and holds at most ten.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            available: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds what one first attempt earns.
    pub fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Jittered pause before retry number `retry`, which counts from 1. The pause is
/// uniform between half and the whole of a delay that starts at `base` and
/// doubles with each retry up to `maximum`.
pub fn backoff(retry: u32, base: Duration, maximum: Duration, random: &mut ChaCha8Rng) -> Duration {
    let longest = exponential_delay(base, retry.saturating_sub(1), maximum);
    longest.mul_f64(random.random_range(0.5..=1.0))
}

/// Delay of `base` doubled `times` times, at most `maximum`.
pub fn exponential_delay(base: Duration, times: u32, maximum: Duration) -> Duration {
    base.saturating_mul(1 << times.min(MAX_DOUBLINGS))
        .min(maximum)
}
