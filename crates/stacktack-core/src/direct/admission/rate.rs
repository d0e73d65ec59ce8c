//! Rates and means in which older values weigh exponentially less.

use std::time::Duration;

use crate::time::Time;

/// Rate of events, each of which weighs less the longer ago it was.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    time_constant: Duration,
    first: Option<Time>,
    last: Time,
    /// Decayed count of the events as of `last`.
    count: f64,
}

impl DecayingRate {
    /// A rate without events. An event's weight falls to 0.37 within the time constant.
    pub fn new(time_constant: Duration) -> Self {
        DecayingRate {
            time_constant,
            first: None,
            last: Time(0),
            count: 0.0,
        }
    }

    /// Counts one event as `events` of them.
    pub fn count(&mut self, events: f64, now: Time) {
        self.first.get_or_insert(now);
        self.count = self.decayed_count(now) + events;
        self.last = now;
    }

    /// Events per second, normalized to the time since the first event, so that the rate is
    /// not too low within the first time constant.
    pub fn per_second(&self, now: Time) -> f64 {
        let Some(first) = self.first else { return 0.0 };
        let seconds = self.time_constant.as_secs_f64();
        let counted = now.since(first).as_secs_f64().max(seconds / 8.0);
        self.decayed_count(now) / (seconds * (1.0 - (-counted / seconds).exp()))
    }

    /// Sum of what is left of the events' weights.
    pub fn decayed_count(&self, now: Time) -> f64 {
        let elapsed = now.since(self.last).as_secs_f64();
        self.count * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}

/// Mean over time in which older values weigh exponentially less.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    time_constant: Duration,
    mean: Option<(f64, Time)>,
}

impl DecayingMean {
    /// A mean without values. A value's weight falls to 0.37 within the time constant.
    pub fn new(time_constant: Duration) -> Self {
        DecayingMean {
            time_constant,
            mean: None,
        }
    }

    /// Adds the present value. Returns the mean.
    pub fn update(&mut self, value: f64, now: Time) -> f64 {
        let mean = match self.mean {
            None => value,
            Some((mean, at)) => {
                let elapsed = now.since(at).as_secs_f64();
                let kept = (-elapsed / self.time_constant.as_secs_f64()).exp();
                value + (mean - value) * kept
            }
        };
        self.mean = Some((mean, now));
        mean
    }
}
