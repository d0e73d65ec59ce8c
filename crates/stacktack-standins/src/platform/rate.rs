//! Rate limits of the platform's services.

use stacktack_core::time::Time;

/// A token bucket whose burst is the permits of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    permits: f64,
    refilled_at: Time,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(per_second: f64, now: Time) -> Self {
        RateLimit {
            per_second,
            permits: per_second,
            refilled_at: now,
        }
    }

    /// Takes `amount` permits; returns false, and takes none, if there are fewer.
    pub fn try_acquire(&mut self, now: Time, amount: f64) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.permits = (self.permits + refill).min(self.per_second);
        self.refilled_at = now;
        if self.permits < amount {
            return false;
        }
        self.permits -= amount;
        true
    }
}
