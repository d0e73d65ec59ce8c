//! Whether a back end fails more often than its pool: a sequential test.
//!
//! A router of a large fleet sends each back end less than one request a
//! second, so that a share over many outcomes comes too late. Each outcome moves
//! a score by the logarithm of how much likelier it is at a failing back end
//! than at a usual one (CUSUM). Where failures are rare a single one is enough;
//! where they are usual it takes several.
//!
//! A suspect is passed by for a while, longer each time. Then it gets one
//! request at a time, at first only such as may be repeated elsewhere.

use std::time::Duration;

use crate::retry::doubled;
use crate::time::Time;

/// Failure share that is assumed of a failing back end.
const FAILING_SHARE: f64 = 0.6;

/// Bounds of the failure share that is taken for usual.
const LEAST_USUAL_SHARE: f64 = 0.02;
const MOST_USUAL_SHARE: f64 = 0.5;

/// Score from which a back end is suspect: 20 times likelier failing than not.
const SUSPECT: f64 = 3.0;

/// Largest score, so that a few good outcomes clear a back end.
const LARGEST_SCORE: f64 = 4.5;

/// Time for which a suspect is passed by: at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(1000);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Time beyond that pause in which a suspect gets no request whose failure would
/// be final.
const FINAL_REQUEST_PAUSE: Duration = Duration::from_secs(3);

/// What a failure costs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryability {
    /// It can be sent to another back end.
    Retryable,
    /// It is final.
    NotRetryable,
}

/// What outcomes say of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    score: f64,
    /// Until when a suspect is passed by.
    until: Time,
    /// Times that it became or stayed suspect without being cleared.
    failures: u32,
}

impl OutlierDetector {
    /// An attempt ended; `usual_share` is the failure share of the pool.
    pub fn on_outcome(&mut self, failed: bool, usual_share: f64, now: Time) {
        let usual = usual_share.clamp(LEAST_USUAL_SHARE, MOST_USUAL_SHARE);
        let likelier = if failed {
            FAILING_SHARE / usual
        } else {
            (1.0 - FAILING_SHARE) / (1.0 - usual)
        };
        self.score = (self.score + likelier.ln()).clamp(0.0, LARGEST_SCORE);
        if !self.is_suspect() {
            self.failures = 0;
        } else if failed {
            self.until = now + doubled(FIRST_PAUSE, self.failures, LONGEST_PAUSE);
            self.failures += 1;
        }
    }

    /// Whether it fails more often than usual.
    pub fn is_suspect(&self) -> bool {
        self.score >= SUSPECT
    }

    /// Whether a suspect may get a request again, to see whether it still fails:
    /// first one that may be repeated elsewhere, and after a longer time any.
    pub fn allows_trial(&self, now: Time, request: Retryability) -> bool {
        let more = match request {
            Retryability::Retryable => Duration::ZERO,
            Retryability::NotRetryable => FINAL_REQUEST_PAUSE,
        };
        now >= self.until + more
    }
}
