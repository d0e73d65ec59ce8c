//! When refused callers may come back.

use std::time::Duration;

use crate::direct::admission::overload::ReturnPace;
use crate::time::Time;

/// Time after which a caller comes back whose turn is later than it will wait. The later it comes
/// back the likelier the overload has ended; `spread`, uniform from 0 to 1, keeps such callers from
/// coming all at once.
pub fn latest_return(max: Duration, spread: f64) -> Duration {
    max.mul_f64(0.5 + 0.5 * spread)
}

/// Schedule of the callers that were told to come back.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterSchedule {
    /// Time at which the last scheduled caller comes back.
    scheduled_until: Time,
}

impl Default for RetryAfterSchedule {
    fn default() -> Self {
        RetryAfterSchedule {
            scheduled_until: Time(0),
        }
    }
}

impl RetryAfterSchedule {
    /// Schedules one more caller, after those scheduled before it and at the pace at which they
    /// can be served. Returns the time after which the caller may come back, at most `max`.
    pub fn schedule(
        &mut self,
        pace: &ReturnPace,
        max: Duration,
        spread: f64,
        now: Time,
    ) -> Duration {
        self.scheduled_until = self.scheduled_until.max(now + pace.not_before) + pace.interval;
        let wanted = self.scheduled_until.since(now);
        if wanted <= max {
            return wanted;
        }
        self.scheduled_until = now + max;
        latest_return(max, spread)
    }
}
