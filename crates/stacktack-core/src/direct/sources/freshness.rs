//! How new what is known of a source is.

use std::time::Duration;

use crate::time::Time;

/// Until when what is known of a source was all that it held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    as_of: Option<Time>,
    /// When the answer that showed it was made, in milliseconds on the clock of the source.
    told_at: u64,
    /// When that answer was learned of.
    learned: Time,
    /// When the last gap in what is known ended.
    gap_ended: Option<Time>,
}

impl Freshness {
    /// An answer, made at `told_at` on the clock of the source, showed that at a time of ours it held nothing that
    /// is not known. Returns by how much newer that answer is than the last one; `None` if it is not. A
    /// step of more than `usual` is a gap: nobody got an answer for so long.
    pub fn record_answer(
        &mut self,
        as_of: Time,
        told_at: u64,
        usual: Duration,
        now: Time,
    ) -> Option<Duration> {
        let is_first = self.as_of.is_none();
        if !is_first && told_at <= self.told_at {
            return None;
        }
        let newer_by = Duration::from_millis(told_at.saturating_sub(self.told_at));
        if !is_first && newer_by > usual {
            self.gap_ended = Some(now);
        }
        self.as_of = Some(as_of);
        self.told_at = told_at;
        self.learned = now;
        Some(if is_first { Duration::MAX } else { newer_by })
    }

    /// When the last answer was made, in milliseconds on the clock of the source.
    pub fn answered_at_ms(&self) -> u64 {
        self.told_at
    }

    /// Time up to which the source is known; `None` while nothing is.
    pub fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Time since then; `None` while nothing is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Time since the last answer was learned of; `None` before the first one.
    pub fn since_learned(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|_| now.since(self.learned))
    }

    /// Whether a gap ended within this time.
    pub fn had_gap_within(&self, span: Duration, now: Time) -> bool {
        self.gap_ended.is_some_and(|ended| now.since(ended) < span)
    }
}
