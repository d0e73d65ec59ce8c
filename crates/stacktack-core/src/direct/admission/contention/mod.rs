//! Admission where callers compete for engines: by predicted times and by work.
//!
//! Used in prompt-bound pools ([`crate::direct::work::engine_pool`]), for requests whose time to
//! the first event is predicted. A pool is contended while a notable share of the tries
//! would wait past their objectives. Then work that would be late anyway is refused, so that it
//! does not take the engines from work that can be in time; less urgent requests keep the wait
//! short enough for more urgent ones; and large tenants get their max-min share of the work.
//!
//! - [`prediction_error`]: how wrong predictions have been.
//! - [`urgency`]: waits with which requests of each priority are in time.
//! - [`tenant_work`]: max-min shares of the fleet's work between tenants.
//! - [`return_lines`]: turns of the callers that come back.

pub mod prediction_error;
pub mod return_lines;
pub mod tenant_work;
pub mod urgency;

use std::time::Duration;

use crate::direct::admission::contention::prediction_error::PredictionError;
use crate::direct::admission::contention::return_lines::ReturnLines;
use crate::direct::admission::contention::urgency::UrgencyOrder;
use crate::direct::admission::draw::Draw;
use crate::direct::admission::overload::ReturnPace;
use crate::direct::admission::rate::DecayingRate;
use crate::direct::admission::AdmissionRequest;
use crate::time::Time;

/// Time constant of the share of tries that would wait too long.
const CONTENTION_WINDOW: Duration = Duration::from_secs(1);

/// Number of requests in time that are assumed to have been seen before.
const ASSUMED_IN_TIME: f64 = 5.0;

/// Share of the recent tries that would wait too long from which a pool is contended.
const CONTENDED_SHARE: f64 = 0.1;

/// Share of the tolerable wait that the error of precise predictions does not exceed. With precise
/// ones, requests that may be late are refused; with others, only those that are late for certain,
/// since most of the requests that may be late are in time.
const PRECISE_MARGIN_SHARE: f64 = 0.35;

/// Share of the tolerable wait from which large tenants are held to their shares. Below it, their
/// work takes a place that nobody else needs.
const SHARED_WAIT: f64 = 0.5;

/// Share of the objective for which any request may wait: a prompt that takes longer to read than
/// its objective is late at an idle engine too, but it is served.
const MIN_WAIT_SHARE: f64 = 0.25;

/// What a request asks of the engines of its pool.
#[derive(Clone, Copy, Debug)]
pub struct EngineDemand {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time that the chosen engine needs for the request itself if it is idle: to read the prompt,
    /// and its fixed time.
    pub work: Duration,
    /// Predicted time until the first event of the response, [`Self::work`] included.
    pub first_event_after: Duration,
    /// Time for which the caller still waits for the first event.
    pub patience: Duration,
    /// Share of the tenant's requests that is within its share of the work, from 0 to 1.
    pub tenant_share: f64,
}

/// Decision on a request that competes for the engines of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentionDecision {
    /// The request may be sent.
    Admitted,
    /// The first event would come after the caller has left or, in a contended pool, after the
    /// objective.
    TooLate,
    /// Requests wait, and the tenant asks for more than its share of the work.
    TenantWorkShare,
    /// The pool is contended, and more urgent requests would be late behind this one.
    YieldsToUrgent,
}

/// What a decision was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContentionInputs {
    /// Time for which the request waits at its engine: at most, with precise predictions, else at
    /// least.
    pub wait: Duration,
    /// Longest wait with which the request, and more urgent ones, are in time.
    pub wait_limit: Duration,
    /// Expected error of the prediction.
    pub margin: Duration,
    /// Share of the recent tries that would wait too long, for themselves or for more urgent
    /// ones.
    pub late_share: f64,
}

/// Contention of one pool at one router.
#[derive(Clone, Debug)]
pub struct Contention {
    error: PredictionError,
    tries: DecayingRate,
    late_tries: DecayingRate,
    urgency: UrgencyOrder,
    returns: ReturnLines,
}

impl Default for Contention {
    fn default() -> Self {
        Contention {
            error: PredictionError::default(),
            tries: DecayingRate::new(CONTENTION_WINDOW),
            late_tries: DecayingRate::new(CONTENTION_WINDOW),
            urgency: UrgencyOrder::default(),
            returns: ReturnLines::default(),
        }
    }
}

impl Contention {
    /// Decides whether a new request may compete for the engines of its pool. `draw`, uniform from
    /// 0 to 1, selects the requests that exceed a tenant's share; it is drawn only for tenants that
    /// ask for more than that.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        demand: &EngineDemand,
        draw: impl FnOnce() -> Draw,
        now: Time,
    ) -> (ContentionDecision, ContentionInputs) {
        let tolerable = tolerable_wait(request.objective, demand.work);
        let may_be_in_time = demand.work < request.objective;
        let limits_others = may_be_in_time.then_some(tolerable);
        self.urgency.on_request(demand.priority, limits_others, now);
        let expected = self.error.expected(demand.first_event_after, now);
        let urgent_limit = self.urgency.limit(demand.priority, now);
        let wait_limit = urgent_limit.map_or(tolerable, |limit| limit.min(tolerable));
        let is_precise = expected.margin <= wait_limit.mul_f64(PRECISE_MARGIN_SHARE);
        let first_event_after = if is_precise {
            expected.after + expected.margin
        } else {
            expected.after.saturating_sub(expected.margin)
        };
        let wait = first_event_after.saturating_sub(demand.work);
        let waits_too_long = f64::from(u8::from(wait > wait_limit));
        self.tries.count(1.0, now);
        self.late_tries.count(waits_too_long, now);
        let late_share = self.late_share(now);
        let is_contended = self.is_contended(now);
        let is_shared = is_contended || wait > wait_limit.mul_f64(SHARED_WAIT);
        let has_to_wait = demand.first_event_after > demand.work;
        let is_too_late = expected.after.saturating_sub(expected.margin) > demand.patience;
        let decision = if has_to_wait && is_too_late {
            ContentionDecision::TooLate
        } else if is_shared && demand.tenant_share < 1.0 && draw().value >= demand.tenant_share {
            ContentionDecision::TenantWorkShare
        } else if !is_contended {
            ContentionDecision::Admitted
        } else if wait > tolerable {
            ContentionDecision::TooLate
        } else if wait > wait_limit {
            ContentionDecision::YieldsToUrgent
        } else {
            ContentionDecision::Admitted
        };
        let inputs = ContentionInputs {
            wait,
            wait_limit,
            margin: expected.margin,
            late_share,
        };
        (decision, inputs)
    }

    /// Whether a notable share of the recent tries would wait too long.
    pub fn is_contended(&self, now: Time) -> bool {
        self.late_share(now) >= CONTENDED_SHARE
    }

    fn late_share(&self, now: Time) -> f64 {
        let tries = self.tries.decayed_count(now) + ASSUMED_IN_TIME;
        self.late_tries.decayed_count(now) / tries
    }

    /// A request is refused. Returns the time after which its caller may come back: not before
    /// `next_draw_in`. `pace` is the one at which the pool can serve refused callers; `spread`,
    /// uniform from 0 to 1, spreads callers whose turn is later than they will wait.
    pub fn on_refused(
        &mut self,
        request: &AdmissionRequest<'_>,
        inputs: &ContentionInputs,
        pace: &ReturnPace,
        next_draw_in: Duration,
        spread: f64,
        now: Time,
    ) -> Duration {
        let in_time_after = inputs.wait.saturating_sub(inputs.wait_limit);
        let turn = self
            .returns
            .schedule(request, in_time_after, pace, spread, now);
        turn.max(next_draw_in)
    }

    /// Errors of the predictions for the pool.
    pub fn prediction_error(&mut self) -> &mut PredictionError {
        &mut self.error
    }
}

/// Time for which a request may wait at its engine.
fn tolerable_wait(objective: Duration, work: Duration) -> Duration {
    objective
        .saturating_sub(work)
        .max(objective.mul_f64(MIN_WAIT_SHARE))
}
