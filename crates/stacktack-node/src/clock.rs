//! Clocks of a process.
//!
//! A machine may be suspended for seconds. The steady clock and the runtime's timers stand
//! still meanwhile, while leases, news and the patience of callers age. So whatever compares
//! ages or deadlines takes its time from the clock that counts that time; timers only wake.

use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::time::{clock_gettime, ClockId};
use stacktack_core::time::Time;

/// Two readings of one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since some origin, that in which the machine was suspended included.
    pub elapsed: Duration,
    /// Time since some origin without that in which the machine was suspended.
    pub steady: Duration,
}

impl ClockReading {
    /// Reads the machine's clocks.
    pub fn now() -> Self {
        let steady = read(ClockId::CLOCK_MONOTONIC).unwrap_or_default();
        ClockReading {
            // Each kernel since 2.6.39 has it; without it suspensions are not seen.
            elapsed: read(ClockId::CLOCK_BOOTTIME).unwrap_or(steady),
            steady,
        }
    }

    /// Time for which the machine was suspended, up to a constant.
    pub fn suspended_time(&self) -> Duration {
        self.elapsed.saturating_sub(self.steady)
    }
}

fn read(clock: ClockId) -> Result<Duration, Errno> {
    clock_gettime(clock).map(Duration::from)
}

/// A process's clock: microseconds since its start, suspensions included.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Duration,
}

impl ProcessClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        ProcessClock {
            origin: ClockReading::now().elapsed,
        }
    }

    /// The time.
    pub fn now(&self) -> Time {
        let elapsed = ClockReading::now().elapsed.saturating_sub(self.origin);
        Time(elapsed.as_micros() as u64)
    }

    /// When a time of this clock is reached on the runtime's clock, unless the machine is
    /// suspended before.
    pub fn instant(&self, at: Time) -> Instant {
        Instant::now() + at.since(self.now())
    }
}
