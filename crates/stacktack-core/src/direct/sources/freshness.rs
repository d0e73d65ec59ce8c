//! Age of the knowledge of a source.

use std::time::Duration;

use crate::time::Time;

/// Time up to which the knowledge of a source is complete, and gaps in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    as_of: Option<Time>,
    /// When the source made the last answer, in milliseconds on its own clock.
    answered_at_ms: u64,
    /// When this router learned of that answer.
    learned_at: Time,
    /// When the source made the newest answer that this router heard of, in milliseconds on its own
    /// clock. The knowledge of this router may not be complete up to it.
    newest_answer_ms: u64,
    /// When the last gap between answers ended.
    gap_ended: Option<Time>,
}

impl Freshness {
    /// Records that the source made an answer at `answered_at_ms` on its own clock, to any router. A
    /// step of more than `gap_threshold` is a gap: no router got an answer during that time.
    pub fn observe_answer(&mut self, answered_at_ms: u64, gap_threshold: Duration, now: Time) {
        let is_first = self.newest_answer_ms == 0;
        let newer_by = answered_at_ms.saturating_sub(self.newest_answer_ms);
        if !is_first && Duration::from_millis(newer_by) > gap_threshold {
            self.gap_ended = Some(now);
        }
        self.newest_answer_ms = self.newest_answer_ms.max(answered_at_ms);
    }

    /// Upper bound on the time on the clock of the source, in milliseconds; `None` before the first
    /// answer.
    pub fn source_clock_ms(&self, now: Time) -> Option<u64> {
        let since_answer_ms = self.age(now)?.as_millis() as u64;
        Some(self.answered_at_ms + since_answer_ms)
    }

    /// Records an answer that the source made at `answered_at_ms` on its own clock. The answer
    /// shows that the knowledge was complete at `as_of` on the clock of this router. Returns by
    /// how much the answer is newer than the last one, or `None` if it is not newer.
    pub fn record_answer(
        &mut self,
        as_of: Time,
        answered_at_ms: u64,
        gap_threshold: Duration,
        now: Time,
    ) -> Option<Duration> {
        let is_first = self.as_of.is_none();
        if !is_first && answered_at_ms <= self.answered_at_ms {
            return None;
        }
        let newer_by = Duration::from_millis(answered_at_ms.saturating_sub(self.answered_at_ms));
        self.observe_answer(answered_at_ms, gap_threshold, now);
        self.as_of = Some(as_of);
        self.answered_at_ms = answered_at_ms;
        self.learned_at = now;
        Some(if is_first { Duration::MAX } else { newer_by })
    }

    /// When the source made the last answer, in milliseconds on its own clock.
    pub fn answered_at_ms(&self) -> u64 {
        self.answered_at_ms
    }

    /// Time up to which the knowledge is complete; `None` before the first answer.
    pub fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Age of the knowledge; `None` before the first answer.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Time since this router learned of the last answer; `None` before the first one.
    pub fn since_learned(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|_| now.since(self.learned_at))
    }

    /// When the last gap between answers ended; `None` without one.
    pub fn gap_ended(&self) -> Option<Time> {
        self.gap_ended
    }

    /// Whether a gap between answers ended within the last `span`.
    pub fn had_gap_within(&self, span: Duration, now: Time) -> bool {
        self.gap_ended.is_some_and(|ended| now.since(ended) < span)
    }
}
