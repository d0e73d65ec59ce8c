//! The router's clock, and detection of suspensions of its machine.

use std::time::Duration;

use stacktack_node::clock::ClockReading;
use tokio::time::Instant;

/// Minimum growth of the difference between the two clocks that counts as a suspension: well above
/// the time between reading one clock and the other, and below every time bound that a suspension
/// could break.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Source of clock readings.
pub trait Clock {
    /// Reads both clocks.
    fn read(&self) -> ClockReading;
}

/// The clocks of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn read(&self) -> ClockReading {
        ClockReading::now()
    }
}

/// The clock of the async runtime, which tests control. It shows no suspensions.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock(Instant);

impl RuntimeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        RuntimeClock(Instant::now())
    }
}

impl Clock for RuntimeClock {
    fn read(&self) -> ClockReading {
        let elapsed = self.0.elapsed();
        ClockReading {
            elapsed,
            steady: elapsed,
        }
    }
}

/// Detects suspensions by the growing difference between the two clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    /// Total suspended time that was detected before, up to a constant.
    detected: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new(reading: &ClockReading) -> Self {
        SuspensionDetector {
            detected: reading.suspended_time(),
        }
    }

    /// Time for which the machine was suspended since the last detected suspension, if it was.
    pub(crate) fn detect(&mut self, reading: &ClockReading) -> Option<Duration> {
        let suspended = reading.suspended_time().saturating_sub(self.detected);
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.detected = reading.suspended_time();
        Some(suspended)
    }
}
