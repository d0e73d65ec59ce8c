//! Rates and means that forget exponentially.

use std::time::Duration;

use crate::time::Time;

/// Events a second, each weighing less the longer ago it was.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    time_constant: Duration,
    first: Option<Time>,
    last: Time,
    weight: f64,
}

impl DecayingRate {
    /// No event yet. An event's weight falls to 0.37 within the time constant.
    pub fn new(time_constant: Duration) -> Self {
        DecayingRate {
            time_constant,
            first: None,
            last: Time(0),
            weight: 0.0,
        }
    }

    /// One event that counts for so many.
    pub fn count(&mut self, events: f64, now: Time) {
        self.first.get_or_insert(now);
        self.weight = self.decayed_count(now) + events;
        self.last = now;
    }

    /// Events a second; what is counted since the first event only is not taken for
    /// the whole time constant.
    pub fn per_second(&self, now: Time) -> f64 {
        let Some(first) = self.first else { return 0.0 };
        let seconds = self.time_constant.as_secs_f64();
        let seen = now.since(first).as_secs_f64().max(seconds / 8.0);
        self.decayed_count(now) / (seconds * (1.0 - (-seen / seconds).exp()))
    }

    /// Events of late: what is left of their weights.
    pub fn decayed_count(&self, now: Time) -> f64 {
        let elapsed = now.since(self.last).as_secs_f64();
        self.weight * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}

/// A mean over time that forgets exponentially.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    time_constant: Duration,
    value: Option<(f64, Time)>,
}

impl DecayingMean {
    /// No value yet. A value's weight falls to 0.37 within the time constant.
    pub fn new(time_constant: Duration) -> Self {
        DecayingMean {
            time_constant,
            value: None,
        }
    }

    /// The value as it is now. Returns the mean.
    pub fn update(&mut self, value: f64, now: Time) -> f64 {
        let mean = match self.value {
            None => value,
            Some((mean, at)) => {
                let elapsed = now.since(at).as_secs_f64();
                let kept = (-elapsed / self.time_constant.as_secs_f64()).exp();
                value + (mean - value) * kept
            }
        };
        self.value = Some((mean, now));
        mean
    }
}
