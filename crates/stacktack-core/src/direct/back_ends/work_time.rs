//! How long work takes at a back end at a moment, beside what is usual there.
//!
//! Machines that back ends share with others do their work now faster, now slower.

/// What is usual, in hundredths of it.
const USUAL: u32 = 100;

/// The longest that is believed: a hundred times what is usual.
const LONGEST: f64 = 10_000.0;

/// How long work takes, as a multiple of what is usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkTimeFactor {
    hundredths: u32,
}

impl WorkTimeFactor {
    /// From hundredths of what is usual; `None` for what no machine can mean.
    pub fn from_hundredths(value: f64) -> Option<Self> {
        let rounded = value.round();
        (1.0..=LONGEST)
            .contains(&rounded)
            .then_some(WorkTimeFactor {
                hundredths: rounded as u32,
            })
    }

    /// Multiple of what is usual: 2 where work takes twice as long.
    pub fn factor(self) -> f64 {
        f64::from(self.hundredths) / f64::from(USUAL)
    }
}
