//! When refused callers may come back.

use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Times after which callers are told to come back: at least, and as a share of the
/// patience that is left at most (callers wait no longer than a third).
const LEAST_RETURN: Duration = Duration::from_millis(150);
const MOST_RETURN_SHARE: f64 = 0.3;

/// Share of the admissions that is kept for callers that come back; with 0.5 they came
/// back into the same burst (four routers, bursts of seconds).
const RETURN_SHARE: f64 = 0.15;

/// Least rate of admissions, a second, that is taken for the line.
const LEAST_RATE: f64 = 1.0;

/// The line of callers that were told to come back.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSchedule {
    /// Time up to which callers were told to come back.
    until: Time,
}

impl Default for RetryAfterSchedule {
    fn default() -> Self {
        RetryAfterSchedule { until: Time(0) }
    }
}

impl RetryAfterSchedule {
    /// Time after which one more caller may come back: when those who were told before
    /// have come back, at the rate at which requests are admitted. `draw` spreads
    /// callers where that is later than they will wait.
    pub fn join(
        &mut self,
        admissions: &DecayingRate,
        patience: Duration,
        draw: f64,
        now: Time,
    ) -> Duration {
        let rate = admissions.per_second(now).max(LEAST_RATE);
        let turn = Duration::from_secs_f64(1.0 / (rate * RETURN_SHARE));
        self.until = self.until.max(now + LEAST_RETURN) + turn;
        let most = patience.mul_f64(MOST_RETURN_SHARE);
        let wanted = self.until.since(now);
        if wanted <= most {
            return wanted;
        }
        self.until = now + most;
        most.mul_f64(0.5 + 0.5 * draw)
    }
}
