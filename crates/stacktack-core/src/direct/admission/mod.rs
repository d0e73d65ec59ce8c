//! Whether a pool takes one more request, and when a refused caller may come back.
//!
//! A request that would wait at its back end for longer than its caller wants is
//! better refused at once: it takes no place from one that can still be in time,
//! and its caller may come back while there is time. Two questions are asked:
//!
//! - **Has the pool room?** The load of the pool as a whole decides, and, where it is
//!   full, this router's share of it as a rate ([`pool_share`]). That is right with any
//!   number of routers, each of which knows loads that are up to seconds old.
//! - **Which back end has room?** Each has a limit that is not set but found: Little's
//!   law gives the wait behind `n` requests, `n x hold / slots`, where the time that a
//!   request holds a slot is measured. A back end is full where that wait reaches a
//!   share of the pool's shortest objective.
//!
//! New callers go before those that were refused and come back, since they can still be
//! in time, and before those of a tenant that surges ([`tenant_shares`]). A repeated send
//! finds less room than a first one. All urgencies find the same limit: back ends run the
//! more urgent of those that wait first.
//!
//! Where loads are not known (a back end tells none and the fleet is large) the back
//! ends' own rejections say truly that there is no room ([`rejections`]).

pub mod caller_timeouts;
pub mod pool_load;
pub mod pool_share;
pub mod rate;
pub mod rejections;
pub mod retry_after;
pub mod target_fill;
pub mod tenant_shares;

use std::time::Duration;

use crate::direct::admission::caller_timeouts::UsualTimeouts;
use crate::direct::admission::pool_load::PoolLoad;
use crate::direct::admission::pool_share::{PoolShare, ShareInputs};
use crate::direct::admission::rejections::Rejections;
use crate::direct::admission::retry_after::RetryAfterSchedule;
use crate::direct::admission::target_fill::TargetFill;
use crate::direct::admission::tenant_shares::TenantShares;
use crate::time::Time;

/// Share of the shortest objective that a request may wait at its back end; the rest is
/// for its first token and the way to the caller. A share that followed late answers
/// earned 0.722 of the value of all requests, this one 0.725 (103 routers, two bursts).
const WAIT_SHARE: f64 = 0.5;

/// Share of the slots that stays free of repeated sends, so that a full pool serves
/// first sends first. Chosen, not measured by itself.
const REPEAT_RESERVE: f64 = 0.2;

/// Weight of the newest time that a slot was held. Longer ones weigh less: waits at
/// the router and at the back end make times look longer, never shorter.
const SHORTER_HOLD_WEIGHT: f64 = 0.05;
const LONGER_HOLD_WEIGHT: f64 = 0.015;

/// Requests that may wait, as a share of the slots, while no answer told how long one
/// holds a slot: a router that just started is bounded too. Chosen.
const UNKNOWN_WAIT: f64 = 0.25;

/// Share of the requests that may wait at a back end that wait in the mean of a full
/// pool: loads differ between back ends.
const TARGET_SHARE_OF_WAIT: f64 = 0.3;

/// Shortest time that counts for a slot, in seconds.
const SHORTEST_HOLD: f64 = 0.001;

/// Time for which an objective counts after it was last seen.
const SEEN_FOR: Duration = Duration::from_secs(10);

/// What decides about one request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Hash of its tenant's name, where it has one.
    pub tenant: Option<u64>,
    /// Time within which the first byte is wanted.
    pub objective: Duration,
    /// Time that its caller said it would wait.
    pub caller_timeout: Duration,
    /// Time that its caller still waits.
    pub remaining_timeout: Duration,
    /// Whether it was sent to a back end before.
    pub is_retry: bool,
}

/// What a pool says to one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolDecision {
    /// It is taken.
    Admitted,
    /// The pool is full and the router has used its share.
    RouterShareExhausted,
    /// The pool is full and the tenant sends clearly more than its share.
    TenantShareExceeded,
}

/// Requests that a back end may hold for one more request to be sent there, as a
/// multiple of its slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLimit(f64);

impl SlotLimit {
    /// The limit in requests; none where the number of slots is not known.
    pub fn requests(self, slots: u32) -> f64 {
        if slots == 0 {
            return f64::INFINITY;
        }
        self.0 * f64::from(slots)
    }
}

/// What is known of a pool's room at one router.
#[derive(Clone, Debug, Default)]
pub struct PoolAdmission {
    hold_seconds: Option<f64>,
    patience: UsualTimeouts,
    /// Shortest objective seen of late.
    objective: Option<(Duration, Time)>,
    share: PoolShare,
    target_fill: TargetFill,
    tenants: TenantShares,
    rejections: Rejections,
    returns: RetryAfterSchedule,
}

impl PoolAdmission {
    /// The limit that holds for a request at each back end.
    pub fn slot_limit(&mut self, request: &AdmissionRequest<'_>, now: Time) -> SlotLimit {
        self.note_objective(request.objective, now);
        let reserve = if request.is_retry {
            REPEAT_RESERVE
        } else {
            0.0
        };
        SlotLimit(1.0 + self.wait(request.objective) - reserve)
    }

    /// Requests that may wait at a back end, as a share of its slots.
    fn wait(&self, objective: Duration) -> f64 {
        let objective = self.objective.map_or(objective, |(known, _)| known);
        match self.hold_seconds {
            Some(hold) => WAIT_SHARE * objective.as_secs_f64() / hold,
            None => UNKNOWN_WAIT,
        }
    }

    /// Whether the pool as a whole takes a new request of one of so many routers.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest<'_>,
        pool: PoolLoad,
        routers: usize,
        now: Time,
    ) -> PoolDecision {
        let most = 1.0 + TARGET_SHARE_OF_WAIT * self.wait(request.objective);
        let inputs = ShareInputs {
            pool,
            target_fill: self.target_fill.target(most, pool.fill(), now),
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
        let surges = request
            .tenant
            .is_some_and(|tenant| self.tenants.is_surging(tenant, now));
        let goes_behind = surges || self.has_returned(request);
        if self.share.has_permit(goes_behind) {
            PoolDecision::Admitted
        } else if surges {
            PoolDecision::TenantShareExceeded
        } else {
            PoolDecision::RouterShareExhausted
        }
    }

    fn note_objective(&mut self, objective: Duration, now: Time) {
        let known = self
            .objective
            .filter(|(known, seen)| *known < objective && now.since(*seen) < SEEN_FOR);
        if known.is_none() {
            self.objective = Some((objective, now));
        }
    }

    /// Whether the request is refused since back ends reject too many; `draw` is uniform
    /// from 0 to 1.
    pub fn should_shed(&mut self, request: &AdmissionRequest<'_>, draw: f64, now: Time) -> bool {
        let returned = self.has_returned(request);
        let rejected = draw < self.rejections.shed_share(returned, now);
        if rejected {
            self.rejections.on_not_accepted(now);
        }
        rejected
    }

    /// The answer to a first try began, late or not.
    pub fn on_first_try_response(&mut self, late: bool) {
        self.target_fill.on_first_try_response(late);
    }

    /// A back end took a request, or rejected it for want of room.
    pub fn on_outcome(&mut self, taken: bool, now: Time) {
        if taken {
            self.rejections.on_accepted(now);
        } else {
            self.rejections.on_not_accepted(now);
        }
    }

    /// Whether the caller came before: it says that it waits less than is usual.
    pub fn has_returned(&self, request: &AdmissionRequest<'_>) -> bool {
        self.patience.has_returned(request)
    }

    /// Whether nobody was refused here for so long that nobody comes back.
    pub fn has_no_recent_refusals(&self, now: Time) -> bool {
        self.patience.has_no_recent_refusals(now)
    }

    /// A request was sent on for the first time.
    pub fn on_admitted(&mut self, request: &AdmissionRequest<'_>, now: Time) {
        self.share.on_admitted(now);
        self.patience.on_admitted(request, now);
    }

    /// A request is refused. Returns after what time its caller may come back. `draw`
    /// spreads callers where that is later than they will wait.
    pub fn on_refused(&mut self, request: &AdmissionRequest<'_>, draw: f64, now: Time) -> Duration {
        self.patience.on_refused(now);
        self.returns.join(
            self.share.admission_rate(),
            request.remaining_timeout,
            draw,
            now,
        )
    }

    /// A whole answer came this long after its request was sent. `load` and `slots`
    /// are the back end's when the request was sent there: above the slots the time
    /// grows with the load, and the share beyond was spent waiting.
    pub fn on_complete_response(&mut self, after: Duration, load: f64, slots: u32) {
        let ran_share = (f64::from(slots) / load.max(1.0)).min(1.0);
        let seconds = (after.as_secs_f64() * ran_share).max(SHORTEST_HOLD);
        let known = self.hold_seconds.unwrap_or(seconds);
        let weight = if seconds < known {
            SHORTER_HOLD_WEIGHT
        } else {
            LONGER_HOLD_WEIGHT
        };
        self.hold_seconds = Some(known + weight * (seconds - known));
    }

    /// Requests a second that the router may send while the pool is full.
    pub fn share_per_second(&self) -> f64 {
        self.share.per_second()
    }

    /// Time that a request holds a slot, in seconds; `None` before the first.
    pub fn hold_seconds(&self) -> Option<f64> {
        self.hold_seconds
    }
}
