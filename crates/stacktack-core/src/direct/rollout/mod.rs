//! Roll-outs: a service's traffic moves to another version, bounded until that is proved.
//!
//! An operator orders that the traffic of a service move to the back ends of a version that
//! run beside the old ones. Each router sends them no more than a share of its own requests,
//! counts how the answers of both versions went, and merges the counts of the others. All
//! judge the same counts; whoever finds harm stops at once and tells the others. The outcome
//! is written once, under a condition.
//!
//! - [`order`]: what is ordered.
//! - [`state`]: states and events of the chart `charts/rollout.toml`.
//! - [`exposure`]: the share of the requests that may go to an unproved version.
//! - [`response_counts`]: how answers went, in a form that routers can merge.
//! - [`latency`]: what counts as slow.
//! - [`regression`]: sequential tests of the new version against the old one.
//! - [`status`]: what the store holds, and conditional writes of it.
//! - [`gossip`]: what routers tell each other.

pub mod exposure;
pub mod gossip;
pub mod latency;
pub mod order;
pub mod regression;
pub mod response_counts;
mod running;
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
use crate::direct::rollout::running::RunningRollout;
use crate::direct::rollout::state::{RolloutChart, RolloutState, CHART};
use crate::direct::rollout::status::{StatusWrite, StatusWriteResult};
use crate::time::Time;

/// Services whose last roll-out is remembered.
const MOST_SERVICES: usize = 64;

/// Versions of one service that are remembered to get nothing.
const MOST_WITHHELD: usize = 8;

/// Which version of a service a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSelection {
    /// No roll-out says anything.
    Any,
    /// Not to the new version.
    Old,
    /// To the new version, or to the old one where no back end of the new one can take it.
    New,
}

/// Why a roll-out changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutCause {
    /// The store holds it.
    Store,
    /// A peer told it.
    Peer,
    /// The new version does harm.
    Regression(Regression),
    /// The new version's answers are good.
    Proof,
    /// The order's time is over.
    Time,
}

impl RolloutCause {
    /// Fixed word for logs.
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

/// A roll-out changed at this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutChange {
    /// Service.
    pub service: String,
    /// New version.
    pub version: String,
    /// How far it was.
    pub previous: RolloutState,
    /// How far it is.
    pub current: RolloutState,
    /// Why.
    pub cause: RolloutCause,
    /// Whether others are to hear of it at once.
    pub is_urgent: bool,
    /// Answers of the new version that are known.
    pub counts: ResponseCounts,
    /// This router's requests to the new version.
    pub exposed: u64,
    /// This router's requests to the service since the order.
    pub requests: u64,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutcome {
    /// It is known, or older than the one that is.
    AlreadyKnown,
    /// It is followed from now on.
    Started,
    /// It is followed in place of one whose outcome is open: that one's version gets nothing.
    Replaced {
        /// The version before.
        version: String,
    },
    /// Roll-outs are not served here: no bound is set.
    NoExposureBound,
    /// It cannot be taken.
    Invalid(OrderError),
    /// Too many services have roll-outs.
    TooManyServices,
}

/// Roll-outs of all services as one router sees them.
#[derive(Debug)]
pub struct Rollouts {
    chart: RolloutChart,
    router: u32,
    bound: Option<ExposureBound>,
    /// Place of this router among those that write, of those it knows.
    rank: usize,
    services: BTreeMap<String, RunningRollout>,
    /// Versions that get nothing, by service.
    withheld: BTreeMap<String, BTreeSet<String>>,
}

impl Rollouts {
    /// None is known; `router` is the incarnation of this one. Without a bound none is
    /// served.
    pub fn new(router: u32, bound: Option<ExposureBound>) -> Result<Self, ChartError> {
        Ok(Rollouts {
            chart: RolloutChart::parse(CHART)?,
            router,
            bound,
            rank: 0,
            services: BTreeMap::new(),
            withheld: BTreeMap::new(),
        })
    }

    /// Sets the bound, and the place of this router among those that write.
    pub fn configure(&mut self, bound: Option<ExposureBound>, rank: usize) {
        self.bound = bound;
        self.rank = rank;
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Takes an order.
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
        if known.is_none() && self.services.len() >= MOST_SERVICES {
            return OrderOutcome::TooManyServices;
        }
        let open = known.filter(|known| !known.state.is_decided());
        let replaced = open.map(|known| known.order.version.clone());
        let replaced = replaced.filter(|version| *version != order.version);
        if let Some(version) = &replaced {
            self.withhold(&order.service, version);
        }
        if let Some(withheld) = self.withheld.get_mut(&order.service) {
            withheld.remove(&order.version);
        }
        let rollout = RunningRollout::new(order.clone(), self.router, self.rank, &self.chart, now);
        self.services.insert(order.service.clone(), rollout);
        replaced.map_or(OrderOutcome::Started, |version| OrderOutcome::Replaced {
            version,
        })
    }

    fn withhold(&mut self, service: &str, version: &str) {
        let withheld = self.withheld.entry(service.to_owned()).or_default();
        if withheld.len() < MOST_WITHHELD {
            withheld.insert(version.to_owned());
        }
    }

    /// Which version of a service a request may go to.
    pub fn select_version(&self, service: &str, is_first_try: bool, now: Time) -> VersionSelection {
        match (self.services.get(service), &self.bound) {
            (Some(rollout), Some(bound)) => rollout.select_version(bound, is_first_try, now),
            _ => VersionSelection::Any,
        }
    }

    /// Whether a back end is of the version that a service's last order named.
    pub fn is_new_version(&self, service: &str, version: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(|rollout| rollout.order.version == version)
    }

    /// Whether back ends of a version may get requests at all.
    pub fn may_receive_requests(&self, service: &str, version: &str) -> bool {
        let withheld = self.withheld.get(service);
        if withheld.is_some_and(|withheld| withheld.contains(version)) {
            return false;
        }
        let rollout = self.services.get(service);
        rollout.is_none_or(|rollout| {
            rollout.order.version != version || rollout.may_receive_requests()
        })
    }

    /// A request goes to a back end of the new version, or reached one of another.
    pub fn on_send(&mut self, service: &str, version: &str) {
        if let Some(rollout) = self.services.get_mut(service) {
            match rollout.order.version == version {
                true => rollout.exposure.on_new(),
                false => rollout.exposure.on_old(),
            }
        }
    }

    /// An answer of a back end: a good one took so long, `None` for a failed one.
    pub fn on_response(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        took: Option<Duration>,
        wanted: LatencyTarget,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            let is_new = rollout.order.version == version;
            rollout.on_response(RouteHash::of(route), is_new, took, wanted);
        }
    }

    /// Judges what is known now.
    pub fn tick(&mut self, now: Time) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        for rollout in self.services.values_mut() {
            changes.extend(rollout.judge(self.rank, &self.chart, now));
        }
        self.after(changes)
    }

    /// Takes what a peer tells. Returns what became of orders that are new here, and what
    /// changed.
    pub fn merge(
        &mut self,
        news: &[RolloutGossip],
        now: Time,
    ) -> (Vec<(RolloutOrder, OrderOutcome)>, Vec<RolloutChange>) {
        let mut taken = Vec::new();
        let mut changes = Vec::new();
        for news in news {
            match self.apply_order(&news.order, now) {
                OrderOutcome::AlreadyKnown => {}
                end => taken.push((news.order.clone(), end)),
            }
            let known = self.services.get_mut(&news.order.service);
            if let Some(known) = known.filter(|known| known.order == news.order) {
                changes.extend(known.merge(news, self.rank, &self.chart, now));
            }
        }
        (taken, self.after(changes))
    }

    /// What to tell peers.
    pub fn gossip(&mut self, now: Time) -> Vec<RolloutGossip> {
        let rollouts = self.services.values_mut();
        rollouts.filter_map(|rollout| rollout.gossip(now)).collect()
    }

    /// Writes that are due now.
    pub fn due_writes(&self, now: Time) -> Vec<StatusWrite> {
        let rollouts = self.services.values();
        rollouts
            .filter_map(|rollout| rollout.due_write(now))
            .collect()
    }

    /// A write ended. Returns what changed.
    pub fn on_write_result(
        &mut self,
        write: &StatusWrite,
        end: &StatusWriteResult,
        now: Time,
    ) -> Vec<RolloutChange> {
        let known = self.services.get_mut(&write.service);
        let known = known.filter(|known| known.order.revision == write.order_revision);
        let change = known.and_then(|known| known.on_write_result(write, end, &self.chart, now));
        self.after(change.into_iter().collect())
    }

    /// Whether a service's last order is not in the store any more.
    pub fn is_withdrawn(&self, service: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(RunningRollout::is_withdrawn)
    }

    /// How far a service's roll-out is.
    pub fn state(&self, service: &str) -> Option<RolloutState> {
        self.services.get(service).map(|rollout| rollout.state)
    }

    /// Versions that were rolled back get nothing under later orders either.
    fn after(&mut self, changes: Vec<RolloutChange>) -> Vec<RolloutChange> {
        for change in &changes {
            if change.current == RolloutState::RolledBack {
                self.withhold(&change.service, &change.version);
            }
        }
        changes
    }
}
