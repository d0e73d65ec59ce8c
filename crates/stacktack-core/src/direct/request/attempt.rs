//! What one attempt proved and what follows from it.
//!
//! Only a refusal that says so, an address held by another instance, and a
//! connection that never came up prove that a request did not run. Everything
//! else after the first byte was written may have run.

use crate::direct::traffic::route::RouteKind;

/// How an attempt ended without an answer that the caller can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection came up, or nothing was written: certainly not run.
    Unreached,
    /// The back end left after it was chosen and before anything was written: certainly not run.
    BackEndLeft,
    /// The address belongs to another instance now: certainly not run.
    OtherInstance,
    /// The back end refused and said that it did not run the request.
    Rejected,
    /// The back end answered with an error of its own.
    Failed,
    /// The connection broke after something was written.
    Broken,
    /// The answer belonged to another request.
    MismatchedResponse,
    /// No answer within the time that an attempt is given.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the attempt certainly did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Unreached
                | AttemptFailure::BackEndLeft
                | AttemptFailure::OtherInstance
                | AttemptFailure::Rejected
        )
    }

    /// Whether the request arrived at a back end of its pool.
    pub fn counts_as_send(self) -> bool {
        !matches!(
            self,
            AttemptFailure::Unreached | AttemptFailure::BackEndLeft | AttemptFailure::OtherInstance
        )
    }

    /// Fixed word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Unreached => "unreached",
            AttemptFailure::BackEndLeft => "left",
            AttemptFailure::OtherInstance => "other_instance",
            AttemptFailure::Rejected => "rejected",
            AttemptFailure::Failed => "failed",
            AttemptFailure::Broken => "broken",
            AttemptFailure::MismatchedResponse => "crossed",
            AttemptFailure::TimedOut => "silent",
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Sends that arrived at a back end.
    pub sends: u32,
    /// Tries that reached nobody of the pool.
    pub unreached: u32,
    /// Tries among them that arrived at another instance than the one that was meant.
    pub misdirected: u32,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
}

/// Tries that reach nobody before a request is given up.
const MAXIMUM_UNREACHED: u32 = 4;

impl AttemptHistory {
    /// Counts an attempt that failed.
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

    /// Whether the request arrived anywhere: then one more send comes out of the retry
    /// budget.
    pub fn has_arrived(&self) -> bool {
        self.sends > 0 || self.misdirected > 0
    }

    /// Whether the request may be sent to one more back end. The retry budget
    /// is asked beside this, for sends after the first.
    pub fn may_send_again(&self, kind: RouteKind, max_attempts: u32) -> bool {
        let repeat_allowed = kind.is_idempotent() || !self.may_have_run;
        repeat_allowed && self.sends < max_attempts.max(1) && self.unreached < MAXIMUM_UNREACHED
    }
}
