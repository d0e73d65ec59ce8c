//! Which requests a router admits between a stop signal and the end of its process.
//!
//! The response to an admitted request has to be complete before the process ends, so the remaining
//! time decides and not the time since the signal. A request fits in one of two ways:
//!
//! - **By its deadline.** Its caller or its route gives it up before the process ends. This holds
//!   however slow back ends become.
//! - **By recent runs.** The longest recent run of its route fits into the remaining time, or no
//!   recent run is known. Back ends may become slower than that, so this counts only while
//!   callers still send requests to this router.

use std::time::Duration;

use crate::time::Time;

/// Time after a stop signal for which callers still send requests to this router, because they
/// have to notice the stop first.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2600);

/// Time reserved at the end for sending the last bytes of responses.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time between the exit of the process and the end of the grace period, when it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(100);

/// Time from the end of a process until its successor accepts requests.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Schedule of a graceful shutdown, from the stop signal to the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    signaled: Time,
    end: Time,
}

/// Times of a request that decide whether it is admitted after the stop signal.
#[derive(Clone, Copy, Debug)]
pub struct RequestTiming {
    /// When the caller or the route of the request gives it up.
    pub deadline: Time,
    /// Longest recent run of its route; `None` if none is known, which counts as no duration.
    pub longest_run: Option<Duration>,
}

/// Whether a request is admitted after the stop signal, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAdmission {
    /// Admitted: its deadline lies before the end of the process.
    FitsByDeadline,
    /// Admitted: the recent runs of its route fit into the remaining time.
    FitsByRecentRuns,
    /// Refused: its response may not be complete before the end of the process.
    TooLong,
}

impl StopAdmission {
    /// Whether the request is admitted.
    pub fn is_admitted(self) -> bool {
        self != StopAdmission::TooLong
    }

    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StopAdmission::FitsByDeadline => "limit",
            StopAdmission::FitsByRecentRuns => "experience",
            StopAdmission::TooLong => "too_long",
        }
    }
}

impl PlannedStop {
    /// Schedule for a stop signal at `signaled`; the process is killed when `grace` is over.
    pub fn new(signaled: Time, grace: Duration) -> Self {
        PlannedStop {
            signaled,
            end: signaled + grace.saturating_sub(GRACE_MARGIN),
        }
    }

    /// Applies a changed grace period. A longer one is ignored, because the platform may already
    /// be counting down the previous one.
    pub fn shorten_grace(&mut self, grace: Duration) {
        self.end = self.end.min(PlannedStop::new(self.signaled, grace).end);
    }

    /// Time since the stop signal.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.signaled)
    }

    /// When the process exits by itself.
    pub fn end(&self) -> Time {
        self.end
    }

    /// Time by which the last responses have to be sent, so that they are complete at the end.
    pub fn response_deadline(&self) -> Time {
        self.end - FLUSH_TIME
    }

    /// Time from which callers send their requests elsewhere; the end of the process if that is
    /// sooner.
    pub fn deregistered_at(&self) -> Time {
        (self.signaled + DEREGISTRATION_DELAY).min(self.end)
    }

    /// Decides whether a request that arrives now is admitted.
    pub fn decide(&self, request: &RequestTiming, now: Time) -> StopAdmission {
        let response_deadline = self.response_deadline();
        if request.deadline <= response_deadline {
            return StopAdmission::FitsByDeadline;
        }
        if now < self.deregistered_at() && self.likely_fits(request, now) {
            StopAdmission::FitsByRecentRuns
        } else {
            StopAdmission::TooLong
        }
    }

    /// Whether the response to another attempt of an admitted request has time to be completed.
    pub fn may_retry(&self, request: &RequestTiming, now: Time) -> bool {
        request.deadline <= self.response_deadline() || self.likely_fits(request, now)
    }

    fn likely_fits(&self, request: &RequestTiming, now: Time) -> bool {
        now + request.longest_run.unwrap_or_default() < self.response_deadline()
    }

    /// When the successor of this process is expected to accept requests, if the last responses
    /// take as long as the longest recent run.
    pub fn successor_ready_at(&self, longest_run: Option<Duration>) -> Time {
        let finished = self.deregistered_at() + longest_run.unwrap_or_default();
        finished.min(self.end) + RESTART_TIME
    }
}
