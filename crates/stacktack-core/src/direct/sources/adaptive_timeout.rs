//! How long an answer may be late before its source counts as silent.

use std::time::Duration;

/// Lateness after which a source counts as silent, at least. A lost store was
/// noticed and told to peers this soon; less takes pauses of a busy machine for it.
const LEAST: Duration = Duration::from_millis(1200);

/// The same while nothing is known at all: each call may be the one that falls into
/// the last moment of an outage, and nobody is served meanwhile.
const LEAST_AT_START: Duration = Duration::from_millis(500);

/// The same at most: a source that is slower than that is as good as lost.
const MOST: Duration = Duration::from_secs(6);

/// How far beyond the latest answers the next one may be.
const MARGIN: f64 = 2.0;

/// Share of the known lateness that an answer leaves when it came sooner: after ten
/// quick answers a third is left.
const KEPT: f64 = 0.9;

/// What is known of how late a source answers.
///
/// A bound that does not follow the source takes a slow one for a lost one: with
/// answers 1.36 s late and bounds of 0.5 and 1.2 s, 22 routers gave up 125 reads as
/// unanswered and counted the store as lost 23 times for want of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    lateness: Duration,
}

impl AdaptiveTimeout {
    /// An answer came so long after it was due.
    pub fn on_answer(&mut self, lateness: Duration) {
        self.lateness = lateness.max(self.lateness.mul_f64(KEPT));
    }

    /// How late answers come, at most.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Lateness after which the source counts as silent.
    pub fn timeout(&self, at_start: bool) -> Duration {
        let least = if at_start { LEAST_AT_START } else { LEAST };
        self.lateness.mul_f64(MARGIN).clamp(least, MOST)
    }
}
