//! Whether a request's pool has room for it, and what its caller is told if not.

use rand::RngExt;
use stacktack_core::direct::admission::pool_load::PoolLoad;
use stacktack_core::direct::admission::{AdmissionRequest, PoolAdmission, PoolDecision, SlotLimit};

use crate::choice::Choice;
use crate::exchange::Exchange;
use crate::router::pool_name;

/// Why a request is refused for its pool's sake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionRefusal {
    /// The pool is full and this router has used its share of it.
    PoolShare,
    /// The pool is full and the tenant sends clearly more than its share.
    TenantShare,
    /// The back ends that the request may go to are full.
    BackEndsFull,
    /// Back ends reject too much of what is sent.
    BackEndsReject,
}

impl AdmissionRefusal {
    /// Fixed word for logs.
    fn word(self) -> &'static str {
        match self {
            AdmissionRefusal::PoolShare => "pool_share",
            AdmissionRefusal::TenantShare => "tenant_share",
            AdmissionRefusal::BackEndsFull => "back_ends_full",
            AdmissionRefusal::BackEndsReject => "back_ends_reject",
        }
    }
}

impl Exchange {
    fn with_admission<T>(
        &self,
        act: impl FnOnce(&mut PoolAdmission, &AdmissionRequest<'_>) -> T,
    ) -> T {
        self.with_admission_of(self.history.sends > 0, act)
    }

    fn with_admission_of<T>(
        &self,
        repeated: bool,
        act: impl FnOnce(&mut PoolAdmission, &AdmissionRequest<'_>) -> T,
    ) -> T {
        let patience = self.caller.timeout.unwrap_or(self.route.timeout);
        let request = AdmissionRequest {
            route: &self.route.name,
            tenant: self.tenant.as_ref().map(|tenant| tenant.name_hash()),
            objective: self.route.objective,
            caller_timeout: patience,
            remaining_timeout: patience.saturating_sub(self.elapsed()),
            is_retry: repeated,
        };
        self.router
            .with_admission(pool_name(self.pool()), |admission| act(admission, &request))
    }

    /// The limit that a back end's load has to be under to get this request.
    pub(crate) fn slot_limit(&self) -> SlotLimit {
        let now = self.router.now();
        self.with_admission(|admission, request| admission.slot_limit(request, now))
    }

    /// The same limit for a repeat, while the attempt before it is still under way.
    pub(crate) fn repeat_slot_limit(&self) -> SlotLimit {
        let now = self.router.now();
        self.with_admission_of(true, |admission, request| {
            admission.slot_limit(request, now)
        })
    }

    /// Time that a request holds a slot of its pool, in seconds; `None` before the first.
    pub(crate) fn hold_seconds(&self) -> Option<f64> {
        self.router
            .with_admission(pool_name(self.pool()), |admission| admission.hold_seconds())
    }

    /// Why the request is to be refused, if it is. What is under way always goes on;
    /// what was taken once needs room at a back end only.
    pub(crate) fn lacks_room(&self, choice: &Choice, under_way: bool) -> Option<AdmissionRefusal> {
        let is_new = !under_way && !self.admitted;
        if is_new {
            if let Some(cause) = self.pool_lacks_room(choice.pool_load) {
                return Some(cause);
            }
        }
        (!choice.selection.has_room()).then_some(AdmissionRefusal::BackEndsFull)
    }

    fn pool_lacks_room(&self, pool: Option<PoolLoad>) -> Option<AdmissionRefusal> {
        let now = self.router.now();
        let routers = self.router.router_count();
        let draw: f64 = rand::rng().random();
        self.with_admission(|admission, request| {
            let answer = pool.map(|pool| admission.decide(request, pool, routers, now));
            match answer {
                Some(PoolDecision::RouterShareExhausted) => Some(AdmissionRefusal::PoolShare),
                Some(PoolDecision::TenantShareExceeded) => Some(AdmissionRefusal::TenantShare),
                Some(PoolDecision::Admitted) | None => {
                    let rejected = admission.should_shed(request, draw, now);
                    rejected.then_some(AdmissionRefusal::BackEndsReject)
                }
            }
        })
    }

    /// The pool takes the request.
    pub(crate) fn take_in(&mut self) {
        if !self.admitted {
            self.admitted = true;
            let now = self.router.now();
            let (returned, calm) = self.with_admission(|admission, request| {
                let returned = admission.has_returned(request);
                let calm = admission.has_no_recent_refusals(now);
                admission.on_admitted(request, now);
                (returned, calm)
            });
            self.has_returned = returned;
            if calm {
                self.router
                    .metrics
                    .count_admitted_without_refusals(returned);
            }
        }
    }

    /// The request is answered: tells its pool whether the answer to a first try is late.
    /// Callers that came back are late whatever the pool does.
    pub(crate) fn note_first_answer(&self) {
        if self.has_returned || self.history.sends > 0 {
            return;
        }
        let late = self.elapsed() > self.route.objective;
        self.router
            .with_admission(pool_name(self.pool()), |admission| {
                admission.on_first_try_response(late);
            });
    }

    /// The pool has no room for the request: says when its caller may come back.
    pub(crate) fn turn_away(&mut self, choice: &Choice, cause: AdmissionRefusal) {
        let now = self.router.now();
        let draw: f64 = rand::rng().random();
        let (returned, come_back, share, hold) = self.with_admission(|admission, request| {
            (
                admission.has_returned(request),
                admission.on_refused(request, draw, now),
                admission.share_per_second(),
                admission.hold_seconds().unwrap_or(0.0),
            )
        });
        self.has_returned = returned;
        self.retry_after = Some(come_back);
        log::info!(
            target: "admission",
            "id={} pool={} taken=false cause={} pool_fill={} pool_age_ms={} share_per_s={share:.1} back_end={} load={:.1} load_age_ms={} limit={:.1} sends={} returned={returned} hold_ms={:.0} retry_after_ms={}",
            self.id,
            pool_name(self.pool()),
            cause.word(),
            choice.pool_fill_text(),
            choice.pool_age_text(),
            choice.back_end,
            choice.selection.load,
            choice.load_age_text(),
            choice.selection.limit,
            self.history.sends,
            hold * 1000.0,
            come_back.as_millis(),
        );
    }
}
