//! Whether an attempt from which nothing comes is left for another one.
//!
//! A pause is no end: an attempt that is left although nobody may go on with the request loses an
//! answer that might have come. So the repeat is granted first.

use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::quarantine::record::Treatment;

use crate::exchange::Exchange;

/// Whether the caller has a part of the answer already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// The head of the answer is awaited.
    NotBegun,
    /// A stream is under way.
    Begun,
}

impl ResponseProgress {
    /// For an attempt that continues a stream after an event, or begins the answer.
    pub(crate) fn of(resume_after: Option<&str>) -> Self {
        match resume_after {
            Some(_) => ResponseProgress::Begun,
            None => ResponseProgress::NotBegun,
        }
    }
}

impl Exchange {
    /// Whether its stream is under way, also where its caller continues it: that goes before new work.
    pub(crate) fn is_under_way(&self, progress: ResponseProgress) -> bool {
        progress == ResponseProgress::Begun || self.caller.resume_after.is_some()
    }

    /// Whether the silent attempt that is under way is left. If so, a repeat is granted, which the
    /// next attempt uses.
    pub(crate) fn leaves_silent_attempt(&mut self, progress: ResponseProgress) -> bool {
        let may_be_repeated = self.may_repeat_next() && self.treatment() < Treatment::Probation;
        let leaves = may_be_repeated
            && self.has_time_elsewhere(progress)
            && self.has_room_elsewhere(progress)
            && self.router.take_retry(&self.id, self.pool());
        self.is_retry_granted = leaves;
        log::info!(
            target: "attempt",
            "id={} back_end={} silent=true left={leaves} repeatable={may_be_repeated} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            self.elapsed().as_millis(),
        );
        leaves
    }

    /// Nobody continues the stream: the silent attempt is waited for again.
    pub(crate) fn note_awaited_again(&self, back_end: &str) {
        log::info!(
            target: "attempt",
            "id={} back_end={back_end} silent=true awaited_again=true sends={} ms={}",
            self.id,
            self.history.sends,
            self.elapsed().as_millis(),
        );
    }

    /// Whether another attempt has time before the process ends. A stream under way loses nothing by
    /// one that has not.
    fn has_time_elsewhere(&mut self, progress: ResponseProgress) -> bool {
        progress == ResponseProgress::Begun || self.has_time_for_another()
    }

    /// Whether a back end that was not tried has room, and is not as silent itself.
    fn has_room_elsewhere(&self, progress: ResponseProgress) -> bool {
        let is_under_way = self.is_under_way(progress);
        let limit = (!is_under_way).then(|| self.repeat_slot_limit());
        let choice = self.select(limit);
        choice.is_some_and(|choice| {
            choice.standing < Health::Ejected && self.lacks_room(&choice, is_under_way).is_none()
        })
    }
}
