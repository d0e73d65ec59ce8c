//! Admission to pools whose engines are bound by prompts.

use std::time::Duration;

use stacktack_core::configuration::selector::matches_all;
use stacktack_core::direct::admission::contention::tenant_work::SharedEngines;
use stacktack_core::direct::admission::contention::{
    Contention, ContentionDecision, ContentionInputs, EngineDemand,
};
use stacktack_core::direct::admission::{AdmissionRequest, PoolAdmission};
use stacktack_core::direct::work::backlog::BacklogEstimate;
use stacktack_core::direct::work::engine_pool::EnginePool;

use crate::choice::Choice;
use crate::exchange::Exchange;
use crate::router::{pool_name, Router};

/// Refusal of a request that competes for the engines of its pool, and what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ContentionRefusal {
    decision: ContentionDecision,
    inputs: ContentionInputs,
    backlog: BacklogEstimate,
    reading: Duration,
    tenant_share: f64,
    peers_heard: usize,
}

impl ContentionRefusal {
    /// Fixed word for logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self.decision {
            ContentionDecision::Admitted => "admitted",
            ContentionDecision::TooLate => "too_late",
            ContentionDecision::TenantWorkShare => "tenant_work_share",
            ContentionDecision::YieldsToUrgent => "urgency",
        }
    }

    /// What the decision was based on, for logs.
    pub(crate) fn log_text(&self) -> String {
        let age = self.backlog.age;
        let age = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
        format!(
            "backlog_ms={} backlog_age_ms={age} reading_ms={} wait_ms={} wait_limit_ms={} margin_ms={} late_share={:.2} tenant_share={:.2} peers_heard={}",
            self.backlog.time.as_millis(),
            self.reading.as_millis(),
            self.inputs.wait.as_millis(),
            self.inputs.wait_limit.as_millis(),
            self.inputs.margin.as_millis(),
            self.inputs.late_share,
            self.tenant_share,
            self.peers_heard,
        )
    }
}

impl Router {
    /// Reads or changes the contention of a pool.
    pub(crate) fn with_contention<T>(
        &self,
        pool: &str,
        act: impl FnOnce(&mut Contention) -> T,
    ) -> T {
        let mut contentions = self.contentions.borrow_mut();
        act(contentions.entry(pool.to_owned()).or_default())
    }

    /// Whether the rates of a pool's engines are learned.
    fn knows_rates(&self, pool: &str) -> bool {
        let pools = self.pool_work.borrow();
        pools.get(pool).is_some_and(|pool| pool.rates.is_learned())
    }

    /// Engines that tenants share: those that get requests, of all pools that count work.
    fn shared_engines(&self) -> SharedEngines {
        let now = self.now();
        let configuration = self.configuration.borrow();
        let pools = configuration
            .iter()
            .flat_map(|configuration| &configuration.engine_pools);
        let pools: Vec<&EnginePool> = pools.filter(|pool| pool.is_prompt_bound()).collect();
        let back_ends = self.back_ends.borrow();
        let is_shared = |labels| {
            pools
                .iter()
                .any(|pool| matches_all(&pool.back_ends, labels))
        };
        SharedEngines {
            engines: back_ends
                .iter()
                .filter(|member| member.may_get_requests(now) && is_shared(&member.entry.labels))
                .count(),
            routers: self.router_count(),
        }
    }
}

impl Exchange {
    /// Why the request may not compete for the engines of its pool; `None` if it may, and without
    /// a prediction that holds: for responses that are no streams, and before the rates of the
    /// pool's engines are learned.
    pub(crate) fn contention_refusal(&self, choice: &Choice) -> Option<ContentionRefusal> {
        let first_event_after = choice.first_event_after?;
        let engine_work = choice.work?;
        let work = engine_work.reading;
        let now = self.router.now();
        let (tenant_share, peers_heard) = self.tenant_share(work);
        if !self.route.kind.is_stream() || !self.router.knows_rates(pool_name(self.pool())) {
            return None;
        }
        self.with_admission(|_, request| {
            let demand = EngineDemand {
                priority: self.priority(),
                work: work + engine_work.fixed,
                first_event_after,
                patience: self.patience(request),
                tenant_share,
            };
            let pool = pool_name(self.pool());
            let draw = || self.draw(request);
            let (decision, inputs) = self.router.with_contention(pool, |contention| {
                contention.decide(request, &demand, draw, now)
            });
            (decision != ContentionDecision::Admitted).then_some(ContentionRefusal {
                decision,
                inputs,
                backlog: engine_work.backlog,
                reading: work,
                tenant_share,
                peers_heard,
            })
        })
    }

    /// Counts the work that the tenant asks for. Returns the share of its requests that is within
    /// its share of the work, and the number of peers that say what their callers ask for.
    fn tenant_share(&self, work: Duration) -> (f64, usize) {
        let Some(tenant) = &self.tenant else {
            return (1.0, 0);
        };
        let now = self.router.now();
        let mut tenants = self.router.tenant_work.borrow_mut();
        tenants.on_asked(tenant.name_hash(), work, now);
        let shared = || self.router.shared_engines();
        let share = tenants.admitted_share(tenant.name_hash(), shared, now);
        (share, tenants.peers_heard(now))
    }

    /// Time for which the caller still waits for the first event.
    fn patience(&self, request: &AdmissionRequest<'_>) -> Duration {
        let left = self.event_patience().saturating_sub(self.elapsed());
        left.min(request.remaining_timeout)
    }

    /// Time after which a refused caller may come back to a pool that counts work.
    pub(crate) fn return_after(
        &self,
        refusal: Option<&ContentionRefusal>,
        admission: &mut PoolAdmission,
        request: &AdmissionRequest<'_>,
        spread: f64,
    ) -> Duration {
        let now = self.router.now();
        let inputs = refusal.map(|refusal| refusal.inputs).unwrap_or_default();
        let pool = pool_name(self.pool());
        let pace = admission.return_pace(now);
        self.router.with_contention(pool, |contention| {
            let next_draw_in = self.draw(request).valid_for;
            contention.on_refused(request, &inputs, &pace, next_draw_in, spread, now)
        })
    }

    /// Remembers when the first event of the response is expected. Responses that are no streams
    /// come when they are complete, which is not predicted.
    pub(crate) fn expect_first_event(&mut self, choice: &Choice) {
        self.forget_expectation();
        let predicted = choice.first_event_after;
        let Some(predicted) = predicted.filter(|_| self.route.kind.is_stream()) else {
            return;
        };
        let now = self.router.now();
        let pool = pool_name(self.pool());
        let expectation = self.router.with_contention(pool, |contention| {
            contention.prediction_error().on_sent(predicted, now)
        });
        self.expected_first_event = Some(expectation);
    }

    /// Learns the error of predictions from the first event of the response.
    pub(crate) fn record_first_event(&mut self) {
        let Some(expectation) = self.expected_first_event.take() else {
            return;
        };
        let now = self.router.now();
        let pool = pool_name(self.pool());
        self.router.with_contention(pool, |contention| {
            contention
                .prediction_error()
                .on_first_event(expectation, now);
        });
    }

    /// Forgets an attempt whose first event does not come any more.
    pub(crate) fn forget_expectation(&mut self) {
        let Some(expectation) = self.expected_first_event.take() else {
            return;
        };
        let pool = pool_name(self.pool());
        self.router.with_contention(pool, |contention| {
            contention.prediction_error().on_end(expectation);
        });
    }
}
