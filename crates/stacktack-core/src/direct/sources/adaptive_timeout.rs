//! Timeout after which a source counts as silent, adapted to how late its answers come.

use std::time::Duration;

/// Minimum timeout. A lost store is detected and gossiped this soon; a shorter timeout mistakes
/// pauses of a busy machine for a lost store.
const MIN_TIMEOUT: Duration = Duration::from_millis(1200);

/// Minimum timeout of a router that knows nothing yet. Any of its calls may fall into the last
/// moment of an outage, and it serves nobody while it waits.
const MIN_TIMEOUT_AT_START: Duration = Duration::from_millis(500);

/// Maximum timeout: a slower source is as good as lost.
const MAX_TIMEOUT: Duration = Duration::from_secs(6);

/// Multiple of the known lateness by which the next answer may be late.
const LATENESS_FACTOR: f64 = 2.0;

/// Factor by which the known lateness decays with each answer that is less late: after ten
/// quick answers a third is left.
const LATENESS_DECAY: f64 = 0.9;

/// Timeout for the answers of a source, derived from how late they come.
///
/// A fixed timeout mistakes a slow source for a lost one: with answers 1.36 s late and timeouts
/// of 0.5 s and 1.2 s, 22 routers gave up 125 reads as unanswered and counted the store as lost
/// 23 times because no answer had come.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveTimeout {
    /// Latency of the store, as far as it exceeds what is due.
    lateness: Duration,
    /// Lateness of the last answer, if the store was lost while it was due.
    outage_rest: Duration,
}

impl AdaptiveTimeout {
    /// Records an answer that came `lateness` after it was due, from a store that was not lost
    /// meanwhile.
    pub fn on_answer(&mut self, lateness: Duration) {
        self.outage_rest = Duration::ZERO;
        self.lateness = lateness.max(self.lateness.mul_f64(LATENESS_DECAY));
    }

    /// Records an answer that came `lateness` after it was due, while the store was lost for a part
    /// of that time. It may be the rest of an outage or the latency of a slow store; the next answer
    /// shows which, and until then only the timeout counts it.
    pub fn on_answer_after_loss(&mut self, lateness: Duration) {
        self.outage_rest = lateness;
    }

    /// Records that the store answered a peer, at most `age` ago. That answer was not later than its
    /// age, so that an old lateness does not last where peers keep this router from calling.
    pub fn on_peer_answer(&mut self, age: Duration) {
        self.outage_rest = Duration::ZERO;
        let decayed = self.lateness.mul_f64(LATENESS_DECAY);
        self.lateness = self.lateness.min(age.max(decayed));
    }

    /// Known latency of the source: it rises at once to the lateness of a later answer and decays with
    /// each quicker one. Answers that an outage may have held up do not count.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Lateness after which the source counts as silent; `at_start` is true while the router
    /// knows nothing yet.
    pub fn timeout(&self, at_start: bool) -> Duration {
        let minimum = if at_start {
            MIN_TIMEOUT_AT_START
        } else {
            MIN_TIMEOUT
        };
        self.lateness
            .max(self.outage_rest)
            .mul_f64(LATENESS_FACTOR)
            .clamp(minimum, MAX_TIMEOUT)
    }
}
