//! Decides whether an attempt that receives nothing is abandoned for another one.
//!
//! A pause is not an end: abandoning an attempt when the request may not be sent again loses a
//! response that might still have come. So the retry is granted first.

use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::quarantine::record::Treatment;

use crate::exchange::Exchange;

/// Whether the caller already has a part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseProgress {
    /// The head of the response is awaited.
    NotStarted,
    /// A stream is in progress.
    Started,
}

impl ResponseProgress {
    /// Progress of an attempt that resumes a stream after an event, or starts the response.
    pub(crate) fn of(resume_after: Option<&str>) -> Self {
        match resume_after {
            Some(_) => ResponseProgress::Started,
            None => ResponseProgress::NotStarted,
        }
    }
}

impl Exchange {
    /// Whether the request continues a stream: its own, or one that its caller resumes. Such
    /// requests take precedence over new work.
    pub(crate) fn is_stream_in_progress(&self, progress: ResponseProgress) -> bool {
        progress == ResponseProgress::Started || self.caller.resume_after.is_some()
    }

    /// Decides whether the current attempt, which receives nothing, is abandoned. If so, a retry
    /// is granted, which the next attempt uses.
    pub(crate) fn try_abandon_attempt(&mut self, progress: ResponseProgress) -> bool {
        let may_be_retried = self.may_retry_after_next() && self.treatment() < Treatment::Probation;
        let abandons = may_be_retried
            && self.has_time_for_other_attempt(progress)
            && self.has_capacity_elsewhere(progress)
            && self.take_retry_permit();
        self.is_retry_granted = abandons;
        log::info!(
            target: "attempt",
            "id={} back_end={} silent=true left={abandons} repeatable={may_be_retried} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            self.elapsed().as_millis(),
        );
        abandons
    }

    /// Logs that no other back end resumes the stream, so the stalled attempt is awaited again.
    pub(crate) fn log_awaited_again(&self, back_end: &str) {
        log::info!(
            target: "attempt",
            "id={} back_end={back_end} silent=true awaited_again=true sends={} ms={}",
            self.id,
            self.history.sends,
            self.elapsed().as_millis(),
        );
    }

    /// Whether another attempt has time before the process ends. A stream in progress loses nothing
    /// by an attempt that has too little time.
    fn has_time_for_other_attempt(&mut self, progress: ResponseProgress) -> bool {
        progress == ResponseProgress::Started || self.has_time_for_retry()
    }

    /// Whether a back end that was not tried has free capacity, and is not ejected itself.
    fn has_capacity_elsewhere(&self, progress: ResponseProgress) -> bool {
        let is_stream_in_progress = self.is_stream_in_progress(progress);
        let limit = (!is_stream_in_progress).then(|| self.slot_limit());
        let choice = self.select(limit);
        choice.is_some_and(|choice| {
            choice.health < Health::Ejected
                && self
                    .admission_refusal(&choice, is_stream_in_progress)
                    .is_none()
        })
    }
}
