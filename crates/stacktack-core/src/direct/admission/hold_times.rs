//! For how long requests hold a place at the back ends of a pool, and what is left of a load
//! that was told a while ago.

use std::collections::VecDeque;
use std::time::Duration;

/// Requests of late that count.
const SAMPLES: usize = 128;

/// Times for which requests of late held a place, from the send to the end of the answer.
#[derive(Clone, Debug, Default)]
pub struct HoldTimes {
    /// In the order in which they ended, in seconds.
    recent: VecDeque<f64>,
    /// The same, sorted.
    sorted: Vec<f64>,
    /// At each place the sum of the times from there on.
    sums: Vec<f64>,
}

impl HoldTimes {
    /// A request held a place for this long.
    pub fn note(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        self.recent.push_back(seconds);
        if self.recent.len() > SAMPLES {
            if let Some(oldest) = self.recent.pop_front() {
                let place = self.sorted.partition_point(|known| *known < oldest);
                self.sorted.remove(place);
            }
        }
        let place = self.sorted.partition_point(|known| *known < seconds);
        self.sorted.insert(place, seconds);
        self.sum_up();
    }

    /// Whether none has ended yet.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    /// Mean of the times; `None` before the first.
    pub fn mean_seconds(&self) -> Option<f64> {
        let sum = self.sums.first().filter(|sum| **sum > 0.0)?;
        Some(sum / self.sorted.len() as f64)
    }

    fn sum_up(&mut self) {
        self.sums.resize(self.sorted.len(), 0.0);
        let mut sum = 0.0;
        for (place, seconds) in self.sorted.iter().enumerate().rev() {
            sum += seconds;
            self.sums[place] = sum;
        }
    }

    /// Share of the requests that a back end held which it holds still after a time, from 1
    /// to 0; `None` before the first has ended.
    ///
    /// Whoever looks at a back end finds long requests more often than short ones, by their length:
    /// of those found there, the share `E[(S - a)+] / E[S]` is left after `a`.
    pub fn share_left(&self, after: Duration) -> Option<f64> {
        let whole = self.sums.first().filter(|sum| **sum > 0.0)?;
        let after = after.as_secs_f64();
        let place = self.sorted.partition_point(|known| *known <= after);
        let longer = (self.sorted.len() - place) as f64;
        let sum = self.sums.get(place).copied().unwrap_or(0.0);
        Some((sum - after * longer).max(0.0) / whole)
    }
}
