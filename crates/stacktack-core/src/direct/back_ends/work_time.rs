//! Current duration of work at a back end, relative to its usual duration.
//!
//! The speed of a back end varies when its machine is shared with other workloads.

/// Usual duration of work, in hundredths of itself.
const USUAL_HUNDREDTHS: u32 = 100;

/// Longest accepted duration, in hundredths: a hundred times the usual one.
const MAX_HUNDREDTHS: f64 = 10_000.0;

/// Current duration of work as a multiple of its usual duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkTimeFactor {
    hundredths: u32,
}

impl WorkTimeFactor {
    /// Creates the factor from hundredths of the usual duration; `None` if the rounded value is
    /// not between 1 and 10,000.
    pub fn from_hundredths(value: f64) -> Option<Self> {
        let rounded = value.round();
        (1.0..=MAX_HUNDREDTHS)
            .contains(&rounded)
            .then_some(WorkTimeFactor {
                hundredths: rounded as u32,
            })
    }

    /// Multiple of the usual duration: 2 if work takes twice as long.
    pub fn factor(self) -> f64 {
        f64::from(self.hundredths) / f64::from(USUAL_HUNDREDTHS)
    }
}
