//! Load of one back end and the rate at which it completes work.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest measuring window in the smoothed completion rate.
const RATE_SMOOTHING: f64 = 0.2;

/// Completion rate assumed before any attempt finished, in work units per
/// second.
const INITIAL_COMPLETION_RATE: f64 = 500.0;

/// Work in flight at one back end and its completion rate.
#[derive(Debug)]
pub struct LoadMeter {
    work: f64,
    finished_in_window: f64,
    window_start: Time,
    completion_rate: f64,
}

impl LoadMeter {
    /// Creates a meter without work in flight.
    pub fn new(now: Time) -> Self {
        LoadMeter {
            work: 0.0,
            finished_in_window: 0.0,
            window_start: now,
            completion_rate: INITIAL_COMPLETION_RATE,
        }
    }

    /// Work units in flight: admitted and not ended.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Work units finished per second, smoothed over windows in which work
    /// finished.
    pub fn completion_rate(&self) -> f64 {
        self.completion_rate
    }

    /// Adds admitted work to the work in flight.
    pub fn add(&mut self, work: f64) {
        self.work += work;
    }

    /// Removes ended work from the work in flight. `finished` is true if the
    /// attempt finished, and false if it failed or was refused.
    pub fn remove(&mut self, work: f64, finished: bool, now: Time) {
        self.work = (self.work - work).max(0.0);
        if finished {
            self.finished_in_window += work;
        }
        self.roll_window(now);
    }

    /// Closes the measuring window once it is at least a second long.
    pub fn roll_window(&mut self, now: Time) {
        let elapsed = now.since(self.window_start);
        if elapsed < Duration::from_secs(1) {
            return;
        }
        if self.finished_in_window > 0.0 {
            let rate = self.finished_in_window / elapsed.as_secs_f64();
            self.completion_rate += RATE_SMOOTHING * (rate - self.completion_rate);
        }
        self.finished_in_window = 0.0;
        self.window_start = now;
    }
}
