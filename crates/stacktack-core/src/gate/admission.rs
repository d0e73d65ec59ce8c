//! Admission control of offered attempts.
//!
//! The checks run in order of certainty: identity and configuration first,
//! then limits, then predictions.

use stacktack_wire::identity::NodeId;
use stacktack_wire::message::{Offer, Payload, Refusal};

use super::{Gate, IMMEDIATE_RETRY_MS};
use crate::configuration::document::{BackEnd, BackEndKind};
use crate::configuration::eligibility::{serves, Target};
use crate::configuration::Configuration;
use crate::placement::within_bound;
use crate::protection::Protection;
use crate::time::Time;

/// Work units of one call of a plain service.
const SERVICE_WORK: f64 = 1.0;

/// Shortest and longest retry-after time in a refusal, in milliseconds.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (50.0, 30_000.0);

/// Result of the admission checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The attempt is admitted: it starts now or waits in the queue.
    Admit,
    /// The attempt is refused and certainly does not run.
    Refuse {
        /// Reason of the refusal.
        refusal: Refusal,
        /// Milliseconds after which a retry is worthwhile.
        retry_after_ms: u32,
    },
}

/// Back ends whose loads enter the mean that the load bound of `node` uses:
/// those that are not drained and serve the same service or one of the same
/// models, without `node` itself.
pub fn peers_of(configuration: &Configuration, node: NodeId) -> Vec<NodeId> {
    let Some(own) = configuration.back_end(node) else {
        return Vec::new();
    };
    configuration
        .document
        .back_ends
        .iter()
        .filter(|other| other.name != own.name && !other.drained && in_same_pool(own, other))
        .map(|other| NodeId::of(&other.name))
        .collect()
}

fn in_same_pool(own: &BackEnd, other: &BackEnd) -> bool {
    match own.kind {
        BackEndKind::Service => other.service == own.service,
        BackEndKind::Engine => own.models.iter().any(|model| other.models.contains(model)),
    }
}

impl Gate {
    /// Work units that an offer adds to this back end: uncached prompt tokens
    /// plus expected decode tokens, or a constant for a service.
    pub(super) fn work_of(&self, offer: &Offer) -> f64 {
        match &offer.payload {
            Payload::Service { .. } => SERVICE_WORK,
            Payload::Chat { .. } => {
                let cached = self.prefixes.cached_tokens(offer.chat);
                let uncached = offer.prompt_tokens.saturating_sub(cached);
                f64::from(uncached) + f64::from(offer.decode_tokens.max(1))
            }
        }
    }

    /// Milliseconds until `work` units are expected to have finished, within
    /// [`RETRY_AFTER_RANGE_MS`].
    pub(super) fn retry_after_ms(&self, work: f64) -> u32 {
        let milliseconds = work / self.load.completion_rate() * 1_000.0;
        milliseconds.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1) as u32
    }

    pub(super) fn decide_admission(&mut self, now: Time, offer: &Offer) -> AdmissionDecision {
        self.observe_collected_loads(now, offer);
        let refusal = self
            .check_identity(offer)
            .or_else(|| self.check_target(offer))
            .or_else(|| self.check_tenant(offer));
        if let Some(refusal) = refusal {
            let retry_after_ms = IMMEDIATE_RETRY_MS;
            return AdmissionDecision::Refuse {
                refusal,
                retry_after_ms,
            };
        }
        let limit_refusal = self
            .check_bound(now, offer)
            .or_else(|| self.check_queue())
            .or_else(|| self.check_deadline(offer));
        match limit_refusal {
            None => AdmissionDecision::Admit,
            Some((refusal, excess)) => AdmissionDecision::Refuse {
                refusal,
                retry_after_ms: self.retry_after_ms(excess),
            },
        }
    }

    fn observe_collected_loads(&mut self, now: Time, offer: &Offer) {
        for report in &offer.collected {
            self.peer_loads
                .observe(report.node, f64::from(report.load), now);
        }
    }

    fn check_identity(&self, offer: &Offer) -> Option<Refusal> {
        if offer.incarnation != self.incarnation {
            return Some(Refusal::StaleIncarnation);
        }
        if self.is_draining() && self.protections.is_enabled(Protection::DrainRefusal) {
            return Some(Refusal::Draining);
        }
        let stale = offer.version < self.configuration.version;
        if stale && self.protections.is_enabled(Protection::StaleRefusal) {
            return Some(Refusal::StaleConfiguration);
        }
        None
    }

    fn check_target(&self, offer: &Offer) -> Option<Refusal> {
        let target = match &offer.payload {
            Payload::Chat { model, .. } => Target::Model(model.clone()),
            Payload::Service { service, .. } => Target::Service(service.clone()),
        };
        let served = self
            .configuration
            .back_end(self.node)
            .is_some_and(|own| serves(&self.configuration, own, &target));
        if served {
            None
        } else {
            Some(Refusal::ModelMissing)
        }
    }

    fn check_tenant(&self, offer: &Offer) -> Option<Refusal> {
        let limit = self
            .configuration
            .tenant(offer.tenant)
            .map_or(0, |tenant| tenant.concurrency_per_back_end);
        let count = self.tenant_counts.get(&offer.tenant).copied().unwrap_or(0);
        if count < limit {
            None
        } else {
            Some(Refusal::TenantLimit)
        }
    }

    /// Checks the load bound, which applies to engines only: calls of a service
    /// end before load reports have spread, so its queue and its concurrency
    /// limit them instead. Returns the refusal and the work units in excess.
    fn check_bound(&self, now: Time, offer: &Offer) -> Option<(Refusal, f64)> {
        let is_service = matches!(offer.payload, Payload::Service { .. });
        if is_service || !self.protections.is_enabled(Protection::LoadBound) {
            return None;
        }
        let cap = self.configuration.document.limits.load_cap;
        let work = self.work_of(offer) / self.capacity();
        let load = self.normalised_load();
        let mean = self.mean_load_with(now, offer, work);
        if within_bound(load, work, cap, mean) {
            return None;
        }
        let excess = (load + work - cap * mean) * self.capacity();
        Some((Refusal::OverCap, excess))
    }

    /// Mean load of the pool with the offered work. For a last-resort offer,
    /// the mean of the loads that the router collected from the request's own
    /// pool counts where it is higher, because selectors may confine a tenant
    /// to part of the back ends.
    fn mean_load_with(&self, now: Time, offer: &Offer, work: f64) -> f64 {
        let (sum, count) = self.peer_loads.sum(&self.peers, now);
        let mean = (sum + self.normalised_load() + work) / (count + 1) as f64;
        if !offer.last_resort || offer.collected.is_empty() {
            return mean;
        }
        let collected: f64 = offer
            .collected
            .iter()
            .map(|report| f64::from(report.load))
            .sum();
        mean.max((collected + work) / offer.collected.len() as f64)
    }

    fn check_queue(&self) -> Option<(Refusal, f64)> {
        let limit = self.configuration.document.limits.queue_length as usize;
        let must_wait = self.running >= self.concurrency();
        if must_wait && self.queue.len() >= limit {
            return Some((Refusal::QueueFull, self.queue.work() / 2.0));
        }
        None
    }

    fn check_deadline(&self, offer: &Offer) -> Option<(Refusal, f64)> {
        let deadline_ms = f64::from(offer.deadline_ms?);
        if self.running < self.concurrency() {
            return None;
        }
        let weight = self
            .configuration
            .tenant(offer.tenant)
            .map_or(1.0, |tenant| tenant.weight);
        let ahead = self.queue.work_ahead(offer.tenant, weight);
        let wait_ms = ahead / self.load.completion_rate() * 1_000.0;
        if wait_ms <= deadline_ms {
            return None;
        }
        Some((Refusal::DeadlineUnreachable, ahead))
    }
}
