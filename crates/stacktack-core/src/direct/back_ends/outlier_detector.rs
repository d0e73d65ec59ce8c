//! Sequential test (CUSUM) whether a back end fails more often than its pool.
//!
//! A router of a large fleet sends each back end less than one request per second, so that a
//! failure share over many outcomes comes too late. Instead each outcome adds to a
//! score the logarithm of how much likelier it is at a failing back end than at a normal one.
//! Where failures are rare, a single one is enough to suspect a back end; where they are common,
//! it takes several.
//!
//! A suspect back end is avoided for a pause that doubles with each further failure. After the
//! pause it may get trial requests, at first only ones that can be retried at another back end.
//! [`BackEnd`](super::back_end::BackEnd) sees to it that trials of one router run one at a time.

use std::time::Duration;

use crate::retry::exponential_delay;
use crate::time::Time;

/// Share of failures among the outcomes that the test assumes for a failing back end.
const FAILING_SHARE: f64 = 0.6;

/// Lower bound of the share of failures among the outcomes that the test assumes for a normal back
/// end.
const MIN_NORMAL_SHARE: f64 = 0.02;

/// Upper bound of the share of failures among the outcomes that the test assumes for a normal back
/// end.
const MAX_NORMAL_SHARE: f64 = 0.5;

/// Score from which a back end is suspect: its recent outcomes are then 20 times likelier at a
/// failing back end than at a normal one. Older outcomes count only until the score falls to 0.
const SUSPECT_SCORE: f64 = 3.0;

/// Maximum score, so that a few successful outcomes clear a back end.
const MAX_SCORE: f64 = 4.5;

/// First pause during which a suspect back end is avoided; it doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(1000);

/// Maximum pause during which a suspect back end is avoided.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Mean interval between the trials of one back end, by all routers together, while all good back
/// ends are at their load bound.
const FLEET_TRIAL_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time added to the pause for requests that cannot be retried: they avoid a suspect back
/// end that much longer.
const NOT_RETRYABLE_EXTRA_PAUSE: Duration = Duration::from_secs(3);

/// The same for each router that sends to the pool: where many do, each of them sends to each back end so
/// rarely that a retryable request would often come later.
const NOT_RETRYABLE_EXTRA_PAUSE_PER_ROUTER: Duration = Duration::from_millis(750);

/// Whether a request can be retried after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryability {
    /// The request can be sent to another back end.
    Retryable,
    /// A failure is final for the request.
    NotRetryable,
}

/// What a request allows a router to find out about back ends in bad health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialTerms {
    /// Whether the request can be retried after a failure.
    pub retryability: Retryability,
    /// Number of routers that would send all requests to the pool if each of them sent as many as this
    /// one.
    pub routers: usize,
    /// Whether a permit for a retry can be reserved for the request, so that it may be a trial while
    /// all good back ends are at their load bound.
    pub may_try_at_bound: bool,
}

impl TrialTerms {
    /// Mean interval at which this router tries a back end while all good ones are at their bound;
    /// `None` if the request may not be used for this.
    pub(crate) fn mean_interval_at_bound(&self) -> Option<Duration> {
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        self.may_try_at_bound
            .then(|| FLEET_TRIAL_INTERVAL.saturating_mul(routers))
    }

    /// Time added to the pause of a suspect back end for the request.
    pub(crate) fn extra_pause(&self) -> Duration {
        match self.retryability {
            Retryability::Retryable => Duration::ZERO,
            Retryability::NotRetryable => {
                let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
                let by_fleet = NOT_RETRYABLE_EXTRA_PAUSE_PER_ROUTER.saturating_mul(routers);
                by_fleet.max(NOT_RETRYABLE_EXTRA_PAUSE)
            }
        }
    }
}

impl From<Retryability> for TrialTerms {
    fn from(retryability: Retryability) -> Self {
        TrialTerms {
            retryability,
            routers: 1,
            may_try_at_bound: false,
        }
    }
}

/// Sequential test over the outcomes of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    score: f64,
    /// End of the pause of a suspect back end.
    pause_until: Time,
    /// Failures that made or kept the back end suspect since it was last cleared.
    suspect_failures: u32,
    /// When the back end last became suspect.
    suspect_since: Time,
}

impl OutlierDetector {
    /// Records the outcome of an attempt; `pool_share` is the median of the pool members' failure
    /// shares, each of which is a moving average.
    pub fn on_outcome(&mut self, failed: bool, pool_share: f64, now: Time) {
        let normal_share = pool_share.clamp(MIN_NORMAL_SHARE, MAX_NORMAL_SHARE);
        let likelihood_ratio = if failed {
            FAILING_SHARE / normal_share
        } else if self.is_suspect() {
            // A pool whose members all fail is no norm for one that serves again.
            (1.0 - FAILING_SHARE) / (1.0 - MIN_NORMAL_SHARE)
        } else {
            (1.0 - FAILING_SHARE) / (1.0 - normal_share)
        };
        let was_suspect = self.is_suspect();
        self.score = (self.score + likelihood_ratio.ln()).clamp(0.0, MAX_SCORE);
        if self.is_suspect() && !was_suspect {
            self.suspect_since = now;
        }
        if !self.is_suspect() {
            self.suspect_failures = 0;
        } else if failed {
            self.pause_until = now + exponential_delay(MIN_PAUSE, self.suspect_failures, MAX_PAUSE);
            self.suspect_failures += 1;
        } else {
            self.pause_until = now;
        }
    }

    /// Whether the recent outcomes make it likely that the back end fails more often than its
    /// pool.
    pub fn is_suspect(&self) -> bool {
        self.score >= SUSPECT_SCORE
    }

    /// When the back end last became suspect.
    pub fn suspect_since(&self) -> Time {
        self.suspect_since
    }

    /// Whether a suspect back end may get this request as a trial: a retryable one after the pause,
    /// any other one some time later.
    pub fn allows_trial(&self, now: Time, terms: impl Into<TrialTerms>) -> bool {
        now >= self.pause_until + terms.into().extra_pause()
    }
}
