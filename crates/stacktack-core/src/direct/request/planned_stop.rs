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
pub const LOOK_AWAY: Duration = Duration::from_millis(2600);

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
pub struct StopRequest {
    /// When its caller or its route gives it up.
    pub limit: Time,
    /// Longest run of its route of late; `None` if nothing is known.
    pub longest_run: Option<Duration>,
}

/// Whether a request is taken after the signal, and by what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopDecision {
    /// Its own limit lies before the end.
    FitsByLimit,
    /// Requests of its route were done sooner than that of late.
    FitsByExperience,
    /// Its answer may not be whole before the end.
    TooLong,
}

impl StopDecision {
    /// Whether the request is taken.
    pub fn is_taken(self) -> bool {
        self != StopDecision::TooLong
    }

    /// Fixed word for logs.
    pub fn word(self) -> &'static str {
        match self {
            StopDecision::FitsByLimit => "limit",
            StopDecision::FitsByExperience => "experience",
            StopDecision::TooLong => "too_long",
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
    pub fn shorten(&mut self, grace: Duration) {
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
    pub fn answers_due(&self) -> Time {
        self.end - FLUSH
    }

    /// Until when callers are still sent here.
    pub fn looked_away(&self) -> Time {
        self.begun + LOOK_AWAY
    }

    /// Whether a request is taken now.
    pub fn decide(&self, request: &StopRequest, now: Time) -> StopDecision {
        let due = self.answers_due();
        if request.limit <= due {
            return StopDecision::FitsByLimit;
        }
        let longest = request.longest_run.unwrap_or_default();
        if now < self.looked_away() && now + longest < due {
            StopDecision::FitsByExperience
        } else {
            StopDecision::TooLong
        }
    }

    /// When the successor of a router that was told to stop at a time is likely to take requests, where its
    /// last answers take as long as the longest of late.
    pub fn successor_at(begun: Time, longest_run: Option<Duration>) -> Time {
        begun + LOOK_AWAY + longest_run.unwrap_or_default() + RESTART
    }
}
