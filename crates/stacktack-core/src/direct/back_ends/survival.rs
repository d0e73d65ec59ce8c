//! How long requests that are in flight stay in flight.

use std::time::Duration;

/// Ages for which the survival is known, in seconds; it is interpolated between them, and counts as 0
/// after the last.
const AGES: [f64; 10] = [0.0, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Weight of a new request in the means.
const WEIGHT: f64 = 0.02;

/// Share of the requests in flight at one time that are still in flight some time later, from the
/// times that requests took.
///
/// A request that takes a time `t` is in flight at an age of `a` or more for `max(t - a, 0)`: the
/// share is the mean of these, divided by the mean of `t`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Survival {
    /// Mean time for which a request is in flight beyond each of the ages, in seconds; `None` before
    /// the first request.
    beyond: Option<[f64; AGES.len()]>,
}

impl Survival {
    /// Records the time that a request took.
    pub fn record(&mut self, time: Duration) {
        let beyond = AGES.map(|age| (time.as_secs_f64() - age).max(0.0));
        match &mut self.beyond {
            Some(means) => {
                for (mean, beyond) in means.iter_mut().zip(beyond) {
                    *mean += WEIGHT * (beyond - *mean);
                }
            }
            None => self.beyond = Some(beyond),
        }
    }

    /// Share of the requests in flight that are still in flight after a time; 1 before any request is
    /// known.
    pub fn share_after(&self, time: Duration) -> f64 {
        let Some(beyond) = self.beyond.filter(|beyond| beyond[0] > 0.0) else {
            return 1.0;
        };
        let time = time.as_secs_f64();
        let next = AGES.partition_point(|age| *age <= time);
        let Some(next_age) = AGES.get(next) else {
            return 0.0;
        };
        let (age, from, to) = (AGES[next - 1], beyond[next - 1], beyond[next]);
        let way = (time - age) / (next_age - age);
        (from + (to - from) * way) / beyond[0]
    }
}
