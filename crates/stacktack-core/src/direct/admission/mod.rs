//! Admission control of one pool: whether a request is admitted, and when a refused
//! caller may come back.
//!
//! A request that would wait at its back end for longer than its caller wants is refused
//! at once: it then takes no slot from a request that can still be in time, and its caller
//! may come back while there is time. Two questions are decided separately:
//!
//! - **Does the pool have free capacity?** The load of the pool as a whole decides and,
//!   where the pool is full, this router's share of it as a rate ([`pool_share`]). This
//!   works with any number of routers, each of which knows loads that are up to seconds
//!   old.
//! - **Which back end has free capacity?** Each back end has a limit that is derived, not
//!   configured: by Little's law the wait behind `n` waiting requests is
//!   `n x hold / slots`, where `hold` is the measured time for which a request occupies a
//!   slot. A back end is full where that wait reaches a share of the pool's shortest
//!   latency objective.
//!
//! Callers that were refused and come back are treated like new ones: they have as much work
//! left, and less time. So are retries, whose callers have waited already; the retry budget
//! bounds how many there are. Which callers of a full pool are admitted is drawn, and the tries
//! of one caller at short intervals have the same draw ([`draw`]). Callers of a tenant that
//! surges get what the others leave ([`tenant_shares`]). The limit is the same for all
//! priorities: back ends run the more urgent of the waiting requests first.
//!
//! Where loads are unknown (a back end reports none and the fleet is large), the back
//! ends' own rejections show that there is no free capacity ([`rejections`]).

pub mod contention;
pub mod draw;
pub mod overload;
pub mod pool_load;
pub mod pool_share;
pub mod rate;
pub mod rejections;
pub mod retry_after;
pub mod target_fill;
pub mod tenant_shares;

use std::time::Duration;

use crate::direct::admission::draw::Draw;
use crate::direct::admission::overload::{Overload, ReturnPace};
use crate::direct::admission::pool_load::PoolLoad;
use crate::direct::admission::pool_share::{PoolShare, ShareInputs, DEFAULT_HOLD_SECONDS};
use crate::direct::admission::rejections::Rejections;
use crate::direct::admission::retry_after::RetryAfterSchedule;
use crate::direct::admission::target_fill::TargetFill;
use crate::direct::admission::tenant_shares::TenantShares;
use crate::direct::back_ends::survival::Survival;
use crate::time::Time;

/// Share of the shortest latency objective that a request may wait at its back end; the
/// rest is for its first token and the way to the caller.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Weight of a new hold time in the mean where the new one is shorter than the mean.
const SHORTER_HOLD_WEIGHT: f64 = 0.05;

/// Weight of a new hold time in the mean where the new one is longer than the mean. It is
/// the smaller weight: waits at the router and at the back end make hold times look
/// longer, never shorter.
const LONGER_HOLD_WEIGHT: f64 = 0.015;

/// Requests that may wait at a back end, as a share of its slots, until the hold time is
/// known: a router that just started is bounded too.
const DEFAULT_WAITING_SHARE: f64 = 0.25;

/// Mean number of requests that wait at a back end of a full pool, as a share of the number
/// that may wait there. The mean stays below the limit since loads differ between back
/// ends.
const MEAN_WAITING_SHARE: f64 = 0.3;

/// Minimum hold time that is counted, in seconds.
const MIN_HOLD_SECONDS: f64 = 0.001;

/// Time for which a latency objective counts after it was last seen.
const OBJECTIVE_TTL: Duration = Duration::from_secs(10);

/// Properties of one request that decide its admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Hash of its tenant's name; `None` for a request without a tenant.
    pub tenant: Option<u64>,
    /// Latency objective: time within which the first byte is wanted.
    pub objective: Duration,
    /// Time for which the caller still waits for the response, as announced by the caller or
    /// else set by the route.
    pub remaining_timeout: Duration,
    /// Longest time for which the caller waits before its next try, if it is told to.
    pub max_retry_after: Duration,
}

/// Decision on one more request to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolDecision {
    /// The request is admitted.
    Admitted,
    /// The pool is full and the router has used its share.
    RouterShareExhausted,
    /// The pool is full, the tenant surges, and other callers leave too little of the
    /// router's share.
    TenantShareExceeded,
}

/// Load below which a back end may get one more request, as a multiple of its slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLimit(f64);

impl SlotLimit {
    /// The limit in requests; infinite where the number of slots is unknown (0).
    pub fn requests(self, slots: u32) -> f64 {
        if slots == 0 {
            return f64::INFINITY;
        }
        self.0 * f64::from(slots)
    }
}

/// Admission state of one pool at one router.
#[derive(Clone, Debug, Default)]
pub struct PoolAdmission {
    /// Mean time for which a request occupies a slot, in seconds.
    hold_seconds: Option<f64>,
    survival: Survival,
    /// Shortest recent latency objective, and when it was seen.
    shortest_objective: Option<(Duration, Time)>,
    overload: Overload,
    share: PoolShare,
    target_fill: TargetFill,
    tenants: TenantShares,
    rejections: Rejections,
    retry_after: RetryAfterSchedule,
}

impl PoolAdmission {
    /// Limit of each back end's load for this request.
    pub fn slot_limit(&mut self, request: &AdmissionRequest<'_>, now: Time) -> SlotLimit {
        self.note_objective(request.objective, now);
        SlotLimit(1.0 + self.max_waiting_share(request.objective))
    }

    /// Requests that may wait at a back end, as a share of its slots.
    fn max_waiting_share(&self, objective: Duration) -> f64 {
        let objective = self.shortest_objective().unwrap_or(objective);
        match self.hold_seconds {
            Some(hold) => MAX_WAIT_SHARE * objective.as_secs_f64() / hold,
            None => DEFAULT_WAITING_SHARE,
        }
    }

    /// Decides whether the pool as a whole admits a new request, and counts the request for
    /// its tenant. `routers` is the number of routers that send to the pool, this one
    /// included; `draw` is called if the pool is full.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        pool: PoolLoad,
        routers: usize,
        draw: impl FnOnce() -> Draw,
        now: Time,
    ) -> PoolDecision {
        let max_fill = 1.0 + MEAN_WAITING_SHARE * self.max_waiting_share(request.objective);
        let inputs = ShareInputs {
            pool,
            target_fill: self.target_fill.target(max_fill, pool.fill(), now),
            hold_seconds: self.hold_seconds,
            routers,
        };
        let full = self.share.is_enforced(&inputs, now);
        if let Some(tenant) = request.tenant {
            self.tenants.on_request(tenant, full, now);
        }
        if !full {
            return PoolDecision::Admitted;
        }
        let surging = request
            .tenant
            .is_some_and(|tenant| self.tenants.is_surging(tenant, now));
        if self.share.has_permit(draw().value, surging, now) {
            PoolDecision::Admitted
        } else if surging {
            PoolDecision::TenantShareExceeded
        } else {
            PoolDecision::RouterShareExhausted
        }
    }

    /// Shortest recent latency objective of the pool's requests; `None` before the first one.
    pub fn shortest_objective(&self) -> Option<Duration> {
        self.shortest_objective.map(|(shortest, _)| shortest)
    }

    fn note_objective(&mut self, objective: Duration, now: Time) {
        let shorter = self
            .shortest_objective
            .filter(|(shortest, seen)| *shortest < objective && now.since(*seen) < OBJECTIVE_TTL);
        if shorter.is_none() {
            self.shortest_objective = Some((objective, now));
        }
    }

    /// Whether a request is refused because back ends reject too many requests; `draw`,
    /// uniform from 0 to 1, is called if a share of them is. A refusal is counted.
    pub fn should_shed(&mut self, draw: impl FnOnce() -> f64, now: Time) -> bool {
        self.rejections.should_shed(draw, now)
    }

    /// A response began; `late` if that was after the latency objective, counted from the
    /// arrival of this try.
    pub fn on_response_start(&mut self, late: bool) {
        self.target_fill.on_response_start(late);
    }

    /// A back end accepted a request, or rejected it for lack of free capacity.
    pub fn on_outcome(&mut self, accepted: bool, now: Time) {
        if accepted {
            self.rejections.on_accepted(now);
        } else {
            self.rejections.on_not_accepted(now);
        }
    }

    /// A try came that is not a retry of the router; called before anything is decided on it.
    pub fn on_try(&mut self, now: Time) {
        self.overload.on_try(now);
    }

    /// A request is refused. Returns the pace at which refused callers can be served.
    pub fn return_pace(&mut self, now: Time) -> ReturnPace {
        self.overload.on_refused(now);
        let admitted = self.share.admission_rate().per_second(now);
        let hold = self.hold_seconds.unwrap_or(DEFAULT_HOLD_SECONDS);
        self.overload
            .return_pace(admitted, Duration::from_secs_f64(hold), now)
    }

    /// A request was admitted; called once for each request, not for its retries.
    pub fn on_admitted(&mut self, now: Time) {
        self.share.on_admitted(now);
    }

    /// A request is refused. Returns the time after which its caller may come back: not before
    /// `next_draw_in`. `spread`, uniform from 0 to 1, spreads callers whose turn is later than
    /// they will wait.
    pub fn on_refused(
        &mut self,
        request: &AdmissionRequest<'_>,
        next_draw_in: Duration,
        spread: f64,
        now: Time,
    ) -> Duration {
        let pace = self.return_pace(now);
        let max = request.max_retry_after;
        let turn = self.retry_after.schedule(&pace, max, spread, now);
        turn.max(next_draw_in)
    }

    /// A complete response came `elapsed` after its request was sent. `load` and `slots`
    /// are those of the back end when the request was sent: where the load exceeds the
    /// slots, the elapsed time grows with the load, and the excess was spent waiting.
    pub fn on_complete_response(&mut self, elapsed: Duration, load: f64, slots: u32) {
        self.survival.record(elapsed);
        let running_share = (f64::from(slots) / load.max(1.0)).min(1.0);
        let seconds = (elapsed.as_secs_f64() * running_share).max(MIN_HOLD_SECONDS);
        let mean = self.hold_seconds.unwrap_or(seconds);
        let weight = if seconds < mean {
            SHORTER_HOLD_WEIGHT
        } else {
            LONGER_HOLD_WEIGHT
        };
        self.hold_seconds = Some(mean + weight * (seconds - mean));
    }

    /// How long the requests that are in flight stay in flight.
    pub fn survival(&self) -> &Survival {
        &self.survival
    }

    /// Requests per second that the router may send while the pool is full.
    pub fn share_per_second(&self) -> f64 {
        self.share.per_second()
    }

    /// Mean time for which a request occupies a slot, in seconds; `None` before the first
    /// complete response.
    pub fn hold_seconds(&self) -> Option<f64> {
        self.hold_seconds
    }
}
