//! Which requests a router takes between a stop signal and the end of its process.
//!
//! What is taken has to be answered whole before the process ends, so the time that is left decides and
//! not the time since the signal. A request fits in one of two ways:
//!
//! - **By its own limit.** Its caller or its route gives it up before the process ends. That holds
//!   however slow back ends become.
//! - **By experience.** The longest run of its route of late fits into the time that is left. Back ends may
//!   become slower than that, so it counts only while callers are still being sent here.

use std::time::Duration;

use crate::time::Time;

/// Time after a stop signal in which callers are still sent here: whoever sends them has to notice first.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2600);

/// Time that the last bytes of answers are given to leave.
const FLUSH: Duration = Duration::from_millis(200);

/// Time before the end of the grace at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(100);

/// Time from the end of a process until its successor takes requests.
const RESTART: Duration = Duration::from_millis(700);

/// A stop signal, and the end that follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    begun: Time,
    end: Time,
}

/// What decides whether a request is taken after the signal.
#[derive(Clone, Copy, Debug)]
pub struct RequestTiming {
    /// When its caller or its route gives it up.
    pub deadline: Time,
    /// Longest run of its route of late; `None` if nothing is known.
    pub longest_run: Option<Duration>,
}

/// Whether a request is taken after the signal, and by what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAdmission {
    /// Its own limit lies before the end.
    FitsByDeadline,
    /// Requests of its route were done sooner than that of late.
    FitsByRecentRuns,
    /// Its answer may not be whole before the end.
    TooLong,
}

impl StopAdmission {
    /// Whether the request is taken.
    pub fn is_admitted(self) -> bool {
        self != StopAdmission::TooLong
    }

    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StopAdmission::FitsByDeadline => "limit",
            StopAdmission::FitsByRecentRuns => "experience",
            StopAdmission::TooLong => "too_long",
        }
    }
}

impl PlannedStop {
    /// A signal came; the process is killed after the grace.
    pub fn new(begun: Time, grace: Duration) -> Self {
        PlannedStop {
            begun,
            end: begun + grace.saturating_sub(GRACE_MARGIN),
        }
    }

    /// The grace was set anew. A longer one does not count: whoever stops the process may have begun to
    /// count with the one before.
    pub fn shorten_grace(&mut self, grace: Duration) {
        self.end = self.end.min(PlannedStop::new(self.begun, grace).end);
    }

    /// Time since the signal.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.begun)
    }

    /// When the process ends by itself.
    pub fn end(&self) -> Time {
        self.end
    }

    /// When the last answers have to begin, so that they are whole at the end.
    pub fn response_deadline(&self) -> Time {
        self.end - FLUSH
    }

    /// Until when callers are still sent here, or until the end, if that is sooner.
    pub fn deregistered_at(&self) -> Time {
        (self.begun + DEREGISTRATION_DELAY).min(self.end)
    }

    /// Whether a request is taken now.
    pub fn decide(&self, request: &RequestTiming, now: Time) -> StopAdmission {
        let due = self.response_deadline();
        if request.deadline <= due {
            return StopAdmission::FitsByDeadline;
        }
        if now < self.deregistered_at() && self.likely_fits(request, now) {
            StopAdmission::FitsByRecentRuns
        } else {
            StopAdmission::TooLong
        }
    }

    /// Whether a request that was taken is worth another attempt: its answer has time to become whole.
    pub fn may_retry(&self, request: &RequestTiming, now: Time) -> bool {
        request.deadline <= self.response_deadline() || self.likely_fits(request, now)
    }

    fn likely_fits(&self, request: &RequestTiming, now: Time) -> bool {
        now + request.longest_run.unwrap_or_default() < self.response_deadline()
    }

    /// When the process that follows this one is likely to take requests, where the last answers take as
    /// long as the longest of late.
    pub fn successor_ready_at(&self, longest_run: Option<Duration>) -> Time {
        let done = self.deregistered_at() + longest_run.unwrap_or_default();
        done.min(self.end) + RESTART
    }
}
