//! Points in time, as the caller of the decision logic passes them in:
//! microseconds since an origin that the caller chooses.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of one process, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Duration since `earlier`; zero if `earlier` is later than this time.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_micros() as u64))
    }
}
