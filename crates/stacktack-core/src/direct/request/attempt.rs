//! How an attempt failed, and whether the request may be sent again.
//!
//! A request certainly did not run if the back end said so when it rejected the request, if
//! the address belongs to another instance, or if nothing was written to the back end. After any
//! other failure the request may have run.

use crate::direct::traffic::route::RouteKind;

/// Reason why an attempt gave no response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection was established, or nothing was written. The request certainly did not run.
    Unreached,
    /// The back end became ineligible after it was chosen and before anything was written, for
    /// example because it left or its zone is being drained. The request certainly did not run.
    BackEndLeft,
    /// The back end asked for a pause after it was chosen and before anything was written. The
    /// request certainly did not run.
    BackEndPaused,
    /// Too many bytes were under way to the back end, and nothing was written. The request certainly
    /// did not run.
    BytesUnderWay,
    /// The address now belongs to another instance. The request certainly did not run.
    OtherInstance,
    /// The back end rejected the request and said that it did not run.
    Rejected,
    /// The back end returned an error response.
    Failed,
    /// The connection broke after something was written.
    Broken,
    /// The response is none that a caller can be given.
    InvalidResponse,
    /// The response belonged to another request.
    MismatchedResponse,
    /// No response, or no further part of it, came within the time allowed for it.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the request certainly did not run in this attempt.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Unreached
                | AttemptFailure::BackEndLeft
                | AttemptFailure::BackEndPaused
                | AttemptFailure::BytesUnderWay
                | AttemptFailure::OtherInstance
                | AttemptFailure::Rejected
        )
    }

    /// Whether the request may have reached a back end of its pool.
    pub fn counts_as_send(self) -> bool {
        !matches!(
            self,
            AttemptFailure::Unreached
                | AttemptFailure::BackEndLeft
                | AttemptFailure::BackEndPaused
                | AttemptFailure::BytesUnderWay
                | AttemptFailure::OtherInstance
        )
    }

    /// Fixed text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Unreached => "unreached",
            AttemptFailure::BackEndLeft => "left",
            AttemptFailure::BackEndPaused => "paused",
            AttemptFailure::BytesUnderWay => "bytes_under_way",
            AttemptFailure::OtherInstance => "other_instance",
            AttemptFailure::Rejected => "rejected",
            AttemptFailure::Failed => "failed",
            AttemptFailure::Broken => "broken",
            AttemptFailure::InvalidResponse => "invalid",
            AttemptFailure::MismatchedResponse => "crossed",
            AttemptFailure::TimedOut => "silent",
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts that may have reached a back end of the pool.
    pub sends: u32,
    /// Number of attempts that certainly reached no back end of the pool.
    pub unreached: u32,
    /// Number of `unreached` attempts that arrived at another instance than the chosen one.
    pub misdirected: u32,
    /// Whether the request may have run in some attempt.
    pub may_have_run: bool,
}

/// Number of attempts that reach no back end of the pool after which the request is given up.
const MAX_UNREACHED: u32 = 4;

impl AttemptHistory {
    /// Adds a failed attempt.
    pub fn record(&mut self, failure: AttemptFailure) {
        if failure.counts_as_send() {
            self.sends += 1;
        } else {
            self.unreached += 1;
        }
        if failure == AttemptFailure::OtherInstance {
            self.misdirected += 1;
        }
        if !failure.proves_not_run() {
            self.may_have_run = true;
        }
    }

    /// Whether the request may have arrived at any instance. Another send is a retry then and is
    /// paid for from the retry budget.
    pub fn has_arrived(&self) -> bool {
        self.sends > 0 || self.misdirected > 0
    }

    /// Whether the request may be sent to one more back end. A request that may have arrived
    /// somewhere also needs a permit from the retry budget.
    pub fn may_send_again(&self, kind: RouteKind, max_attempts: u32) -> bool {
        let retry_allowed = kind.is_idempotent() || !self.may_have_run;
        retry_allowed && self.sends < max_attempts.max(1) && self.unreached < MAX_UNREACHED
    }
}
