//! Canary roll-outs: the traffic of a service moves to another version, which gets a bounded share
//! of the requests until it is proved good.
//!
//! An operator orders that the traffic of a service move to the back ends of a new version, which
//! run beside the old ones. Each router sends at most a share of its own requests to the new
//! version, counts how the responses of both versions went, and merges the counts of the other
//! routers. All routers evaluate the same counts; a router that detects a regression stops at
//! once and notifies the others. The outcome is written to the store once, by a conditional
//! write.
//!
//! - [`order`]: the operator's order.
//! - [`state`]: states and events of the chart `charts/rollout.toml`.
//! - [`exposure`]: the share of the requests that may go to an unproved version.
//! - [`response_counts`]: counts of responses, which routers can merge.
//! - [`latency`]: which responses count as slow.
//! - [`regression`]: sequential tests of the new version against the old one.
//! - [`status`]: the status in the store, and conditional writes of it.
//! - [`gossip`]: what routers tell each other of a roll-out.

pub mod exposure;
pub mod gossip;
pub mod latency;
pub mod order;
pub mod regression;
pub mod response_counts;
mod service_rollout;
pub mod state;
pub mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::chart::ChartError;
use crate::direct::rollout::exposure::ExposureBound;
use crate::direct::rollout::gossip::RolloutGossip;
use crate::direct::rollout::latency::LatencyTarget;
use crate::direct::rollout::order::{OrderError, RolloutOrder};
use crate::direct::rollout::regression::Regression;
use crate::direct::rollout::response_counts::{ResponseCounts, RouteHash};
use crate::direct::rollout::service_rollout::ServiceRollout;
use crate::direct::rollout::state::{RolloutChart, RolloutState, CHART};
use crate::direct::rollout::status::{StatusWrite, StatusWriteResult};
use crate::time::Time;

/// Maximum number of services whose last roll-out is kept.
const MAX_SERVICES: usize = 64;

/// Maximum number of blocked versions of one service that are kept.
const MAX_BLOCKED_VERSIONS: usize = 8;

/// Version of a service that a request may be routed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSelection {
    /// Any version: no roll-out restricts the choice.
    Any,
    /// Any version but the new one.
    Old,
    /// The new version, or the old one if no back end of the new one can take the request.
    New,
}

/// Cause of a state change of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCause {
    /// The status in the store.
    Store,
    /// Gossip of a peer.
    Peer,
    /// A regression of the new version.
    Regression(Regression),
    /// The new version's responses are good.
    Proof,
    /// The time within which the new version had to be proved is over.
    Time,
}

impl RolloutCause {
    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutCause::Store => "store",
            RolloutCause::Peer => "peer",
            RolloutCause::Regression(regression) => regression.kind.as_str(),
            RolloutCause::Proof => "proof",
            RolloutCause::Time => "time",
        }
    }
}

/// State change of a roll-out at this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutChange {
    /// Service of the roll-out.
    pub service: String,
    /// New version.
    pub version: String,
    /// State before the change.
    pub previous: RolloutState,
    /// State after the change.
    pub current: RolloutState,
    /// Cause of the change.
    pub cause: RolloutCause,
    /// Whether peers must be notified at once.
    pub is_urgent: bool,
    /// Known responses of the new version, of all routers.
    pub counts: ResponseCounts,
    /// Requests of this router to the new version.
    pub exposed: u64,
    /// Requests of this router to the service since the order.
    pub requests: u64,
}

/// Outcome of receiving an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The order or a newer one is already known.
    AlreadyKnown,
    /// The roll-out of the order starts.
    Started,
    /// The roll-out of the order starts and replaces one whose outcome is open; the version of the
    /// replaced roll-out is blocked.
    Replaced {
        /// Version of the replaced roll-out.
        version: String,
    },
    /// This router serves no roll-outs, since no exposure bound is set.
    NoExposureBound,
    /// The order is invalid.
    Invalid(OrderError),
    /// Too many services have roll-outs.
    TooManyServices,
}

/// Roll-outs of all services, as one router sees them.
#[derive(Debug)]
pub struct Rollouts {
    chart: RolloutChart,
    router: u32,
    bound: Option<ExposureBound>,
    /// Rank of this router in the order of writes; see [`status::write_rank`].
    rank: usize,
    services: BTreeMap<String, ServiceRollout>,
    /// Versions that get no requests, by service.
    blocked_versions: BTreeMap<String, BTreeSet<String>>,
}

impl Rollouts {
    /// Creates an empty set; `router` is the incarnation of this router. Without a bound, roll-outs
    /// are not served.
    pub fn new(router: u32, bound: Option<ExposureBound>) -> Result<Self, ChartError> {
        Ok(Rollouts {
            chart: RolloutChart::parse(CHART)?,
            router,
            bound,
            rank: 0,
            services: BTreeMap::new(),
            blocked_versions: BTreeMap::new(),
        })
    }

    /// Sets the exposure bound and the rank of this router in the order of writes.
    pub fn configure(&mut self, bound: Option<ExposureBound>, rank: usize) {
        self.bound = bound;
        self.rank = rank;
    }

    /// Whether no roll-out is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Applies an order that was read from the store or received from a peer.
    pub fn apply_order(&mut self, order: &RolloutOrder, now: Time) -> OrderOutcome {
        if self.bound.is_none() {
            return OrderOutcome::NoExposureBound;
        }
        if let Err(error) = order.check() {
            return OrderOutcome::Invalid(error);
        }
        let known = self.services.get(&order.service);
        if known.is_some_and(|known| known.order.revision >= order.revision) {
            return OrderOutcome::AlreadyKnown;
        }
        if known.is_none() && self.services.len() >= MAX_SERVICES {
            return OrderOutcome::TooManyServices;
        }
        let open = known.filter(|known| !known.state.is_decided());
        let replaced = open.map(|known| known.order.version.clone());
        let replaced = replaced.filter(|version| *version != order.version);
        if let Some(version) = &replaced {
            self.block_version(&order.service, version);
        }
        if let Some(blocked) = self.blocked_versions.get_mut(&order.service) {
            blocked.remove(&order.version);
        }
        let rollout = ServiceRollout::new(order.clone(), self.router, self.rank, &self.chart, now);
        self.services.insert(order.service.clone(), rollout);
        replaced.map_or(OrderOutcome::Started, |version| OrderOutcome::Replaced {
            version,
        })
    }

    fn block_version(&mut self, service: &str, version: &str) {
        let blocked = self.blocked_versions.entry(service.to_owned()).or_default();
        if blocked.len() < MAX_BLOCKED_VERSIONS {
            blocked.insert(version.to_owned());
        }
    }

    /// Selects the version of a service that a request may be routed to.
    pub fn select_version(
        &self,
        service: &str,
        is_first_attempt: bool,
        now: Time,
    ) -> VersionSelection {
        match (self.services.get(service), &self.bound) {
            (Some(rollout), Some(bound)) => rollout.select_version(bound, is_first_attempt, now),
            _ => VersionSelection::Any,
        }
    }

    /// Whether `version` is the new version of the service's last order.
    pub fn is_new_version(&self, service: &str, version: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(|rollout| rollout.order.version == version)
    }

    /// Whether back ends of a version may receive requests at all.
    pub fn may_receive_requests(&self, service: &str, version: &str) -> bool {
        let blocked = self.blocked_versions.get(service);
        if blocked.is_some_and(|blocked| blocked.contains(version)) {
            return false;
        }
        let rollout = self.services.get(service);
        rollout.is_none_or(|rollout| {
            rollout.order.version != version || rollout.may_receive_requests()
        })
    }

    /// Counts a request that goes to a back end of the new version, or that reached one of another
    /// version.
    pub fn on_send(&mut self, service: &str, version: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            match rollout.order.version == version {
                true => rollout.exposure.on_new_version(),
                false => rollout.exposure.on_other_version(),
            }
        }
    }

    /// Counts a response of a back end; `latency` is its time to first byte, or `None` if it failed.
    pub fn on_response(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        latency: Option<Duration>,
        target: LatencyTarget,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            let is_new = rollout.order.version == version;
            rollout.on_response(RouteHash::of(route), is_new, latency, target);
        }
    }

    /// Evaluates all roll-outs; returns the state changes that follow.
    pub fn tick(&mut self, now: Time) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        for rollout in self.services.values_mut() {
            changes.extend(rollout.evaluate(self.rank, &self.chart, now));
        }
        self.block_rolled_back(changes)
    }

    /// Merges the gossip of a peer. Returns the outcomes of orders that were not known to this
    /// router, and the state changes.
    pub fn merge(
        &mut self,
        gossip: &[RolloutGossip],
        now: Time,
    ) -> (Vec<(RolloutOrder, OrderOutcome)>, Vec<RolloutChange>) {
        let mut orders = Vec::new();
        let mut changes = Vec::new();
        for gossip in gossip {
            match self.apply_order(&gossip.order, now) {
                OrderOutcome::AlreadyKnown => {}
                outcome => orders.push((gossip.order.clone(), outcome)),
            }
            let known = self.services.get_mut(&gossip.order.service);
            if let Some(known) = known.filter(|known| known.order == gossip.order) {
                changes.extend(known.merge(gossip, self.rank, &self.chart, now));
            }
        }
        (orders, self.block_rolled_back(changes))
    }

    /// Gossip to send to peers.
    pub fn gossip(&mut self, now: Time) -> Vec<RolloutGossip> {
        let rollouts = self.services.values_mut();
        rollouts.filter_map(|rollout| rollout.gossip(now)).collect()
    }

    /// Status writes that are due now.
    pub fn due_writes(&self, now: Time) -> Vec<StatusWrite> {
        let rollouts = self.services.values();
        rollouts
            .filter_map(|rollout| rollout.due_write(now))
            .collect()
    }

    /// Applies the result of a status write; returns the state changes that follow.
    pub fn on_write_result(
        &mut self,
        write: &StatusWrite,
        result: &StatusWriteResult,
        now: Time,
    ) -> Vec<RolloutChange> {
        let known = self.services.get_mut(&write.service);
        let known = known.filter(|known| known.order.revision == write.order_revision);
        let change = known.and_then(|known| known.on_write_result(write, result, &self.chart, now));
        self.block_rolled_back(change.into_iter().collect())
    }

    /// Whether the store does not hold the service's last order any more.
    pub fn is_withdrawn(&self, service: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(ServiceRollout::is_withdrawn)
    }

    /// State of a service's roll-out, if there is one.
    pub fn state(&self, service: &str) -> Option<RolloutState> {
        self.services.get(service).map(|rollout| rollout.state)
    }

    /// Blocks versions that were rolled back, so that they get no requests under later orders for
    /// other versions either.
    fn block_rolled_back(&mut self, changes: Vec<RolloutChange>) -> Vec<RolloutChange> {
        for change in &changes {
            if change.current == RolloutState::RolledBack {
                self.block_version(&change.service, &change.version);
            }
        }
        changes
    }
}
