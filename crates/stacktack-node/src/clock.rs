//! Clocks of a process.
//!
//! A machine may be suspended for seconds. The steady clock and the timers of the runtime stop
//! meanwhile, but leases, gossip and the timeouts of callers go on aging. So code that compares
//! ages or deadlines reads the clock that counts suspensions; timers only wake tasks.

use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::time::{clock_gettime, ClockId};
use stacktack_core::time::Time;

/// Readings of both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since an arbitrary origin, including suspensions of the machine.
    pub elapsed: Duration,
    /// Time since an arbitrary origin, without suspensions of the machine.
    pub steady: Duration,
}

impl ClockReading {
    /// Reads the machine's clocks.
    pub fn now() -> Self {
        let steady = read(ClockId::CLOCK_MONOTONIC).unwrap_or_default();
        ClockReading {
            // Linux has CLOCK_BOOTTIME since 2.6.39; without it suspensions are not detected.
            elapsed: read(ClockId::CLOCK_BOOTTIME).unwrap_or(steady),
            steady,
        }
    }

    /// Total time for which the machine was suspended, up to a constant offset.
    pub fn suspended_time(&self) -> Duration {
        self.elapsed.saturating_sub(self.steady)
    }
}

fn read(clock: ClockId) -> Result<Duration, Errno> {
    clock_gettime(clock).map(Duration::from)
}

/// Clock of a process: microseconds since its start, including suspensions of the machine.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        ProcessClock {
            origin: ClockReading::now().elapsed,
        }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Time {
        let elapsed = ClockReading::now().elapsed.saturating_sub(self.origin);
        Time(elapsed.as_micros() as u64)
    }

    /// Converts a time of this clock to an instant of the runtime's clock, valid unless the
    /// machine is suspended before.
    pub fn instant(&self, at: Time) -> Instant {
        Instant::now() + at.since(self.now())
    }
}
