//! The router's clock, and suspensions of its machine.

use std::time::Duration;

use stacktack_node::clock::Reading;
use tokio::time::Instant;

/// Growth of the difference between the clocks from which the machine counts as suspended:
/// well above what reading two clocks one after the other takes, and below each bound that
/// a suspension could break.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// Where readings of the clocks come from.
pub trait Clock {
    /// Reads both clocks.
    fn read(&self) -> Reading;
}

/// The machine's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn read(&self) -> Reading {
        Reading::take()
    }
}

/// The runtime's clock, which tests set: a machine that is never suspended.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock(Instant);

impl RuntimeClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        RuntimeClock(Instant::now())
    }
}

impl Clock for RuntimeClock {
    fn read(&self) -> Reading {
        let elapsed = self.0.elapsed();
        Reading {
            elapsed,
            steady: elapsed,
        }
    }
}

/// Notices suspensions by what the clocks drift apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    known: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new(reading: &Reading) -> Self {
        SuspensionDetector {
            known: reading.suspended(),
        }
    }

    /// Time for which the machine was suspended since the last look, if it was.
    pub(crate) fn detect(&mut self, reading: &Reading) -> Option<Duration> {
        let suspended = reading.suspended().saturating_sub(self.known);
        if suspended < LEAST_SUSPENSION {
            return None;
        }
        self.known = reading.suspended();
        Some(suspended)
    }
}
