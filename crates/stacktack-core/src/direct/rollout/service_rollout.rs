//! The roll-out of one service as one router sees it: its state, counts and decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use super::exposure::{Exposure, ExposureBound};
use super::gossip::RolloutGossip;
use super::latency::{baseline_latency, is_slow, LatencyTarget};
use super::order::RolloutOrder;
use super::regression::RegressionDetector;
use super::response_counts::{FleetCounts, ResponseCounts, ResponseOutcome, RouteHash};
use super::state::{RolloutAction, RolloutChart, RolloutEvent, RolloutState};
use super::status::{StatusWrite, StatusWriteResult, StoredState, StoredStatus};
use super::{RolloutCause, RolloutChange, VersionSelection};
use crate::time::Time;

/// Fraction of the order's duration after which the trial with the full traffic may start.
const TRIAL_START_FRACTION: f64 = 0.45;

/// Fraction of the order's duration after which the full traffic may go to the new version for
/// good.
const FULL_TRAFFIC_START_FRACTION: f64 = 0.6;

/// Fraction of the order's duration until which each large route has to be accepted by itself.
const EACH_ROUTE_END_FRACTION: f64 = 0.6;

/// Fraction of the order's duration after which the roll-out is completed, if the new version
/// had the full traffic for [`MIN_FULL_TRAFFIC_FRACTION`].
const COMPLETION_START_FRACTION: f64 = 0.85;

/// Minimum fraction of the order's duration for which the new version has the full traffic before
/// the roll-out is completed.
const MIN_FULL_TRAFFIC_FRACTION: f64 = 0.15;

/// Fraction of the order's duration after which no control requests go to the old version any
/// more, so that the requests running there end before its back ends stop.
const CONTROL_END_FRACTION: f64 = 0.72;

/// Fraction of the order's duration after which a version that is not proved is given up, and one
/// that has the full traffic is completed.
const EXPIRY_FRACTION: f64 = 0.95;

/// Delay between the scheduled writes of routers with consecutive ranks. Meanwhile, the result of
/// the first router's write reaches most of the others.
const WRITE_DELAY_PER_RANK: Duration = Duration::from_millis(400);

/// Delay between the scheduled writes of routers with consecutive ranks after the first
/// [`EARLY_WRITERS`].
const LATE_WRITE_DELAY_PER_RANK: Duration = Duration::from_millis(50);

/// Number of first ranks whose writes are [`WRITE_DELAY_PER_RANK`] apart.
const EARLY_WRITERS: u32 = 8;

/// Time after completion for which requests are routed to the new version only: the old back ends
/// stop at once, and the directory reports that later. Afterwards versions may change without an
/// order.
const COMPLETED_PREFERENCE_PERIOD: Duration = Duration::from_secs(10);

/// Time for which a roll-out is still gossiped after its outcome is stored.
const DECIDED_GOSSIP_PERIOD: Duration = Duration::from_secs(30);

/// Roll-out of one service.
#[derive(Debug)]
pub(super) struct ServiceRollout {
    pub order: RolloutOrder,
    /// When the order was first received, by this router or another one.
    started_at: Time,
    pub state: RolloutState,
    /// State in the store for this order, and the revision at which it was stored.
    stored: Option<(StoredState, u64)>,
    /// Revision of the status row, of this order or an earlier one.
    status_revision: u64,
    /// Whether the store does not hold the order any more. Then nothing is written for the order,
    /// and no requests go to its version.
    withdrawn: bool,
    regressed: bool,
    pub exposure: Exposure,
    counts: FleetCounts,
    /// Baseline latency by route, as of the last evaluation.
    baseline_latencies: BTreeMap<RouteHash, Duration>,
    detector: RegressionDetector,
    full_traffic_since: Option<Time>,
    write_due_at: Option<Time>,
    decided_at: Option<Time>,
}

impl ServiceRollout {
    /// Creates the roll-out of an order that is received for the first time. No requests go to the
    /// new version before the store is known to hold the roll-out as running.
    pub fn new(
        order: RolloutOrder,
        router: u32,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Self {
        ServiceRollout {
            order,
            started_at: now,
            state: chart.initial(),
            stored: None,
            status_revision: 0,
            withdrawn: false,
            regressed: false,
            exposure: Exposure::new(router),
            counts: FleetCounts::new(router),
            baseline_latencies: BTreeMap::new(),
            detector: RegressionDetector::default(),
            full_traffic_since: None,
            write_due_at: Some(now + write_delay(rank)),
            decided_at: None,
        }
    }

    /// Selects the version that a request may be routed to.
    pub fn select_version(
        &self,
        bound: &ExposureBound,
        is_first_attempt: bool,
        now: Time,
    ) -> VersionSelection {
        let new_if = |allowed: bool| match allowed {
            true => VersionSelection::New,
            false => VersionSelection::Old,
        };
        match self.state {
            _ if self.withdrawn => VersionSelection::Old,
            RolloutState::Unannounced | RolloutState::Stopped | RolloutState::RolledBack => {
                VersionSelection::Old
            }
            RolloutState::Canary => new_if(is_first_attempt && self.exposure.allows_canary(bound)),
            RolloutState::Trial => new_if(is_first_attempt && self.exposure.allows_trial(bound)),
            RolloutState::Whole | RolloutState::Finished => {
                let is_control =
                    self.elapsed_fraction(now) < CONTROL_END_FRACTION && self.exposure.is_control();
                new_if(is_first_attempt && !is_control)
            }
            RolloutState::Completed
                if self.is_recently_decided(now, COMPLETED_PREFERENCE_PERIOD) =>
            {
                VersionSelection::New
            }
            RolloutState::Completed => VersionSelection::Any,
        }
    }

    /// Whether back ends of the new version may receive requests at all.
    pub fn may_receive_requests(&self) -> bool {
        !self.withdrawn && !matches!(self.state, RolloutState::Stopped | RolloutState::RolledBack)
    }

    /// Counts a response to one of this router's own requests; `latency` is its time to first byte,
    /// or `None` if it failed.
    pub fn on_response(
        &mut self,
        route: RouteHash,
        is_new: bool,
        latency: Option<Duration>,
        target: LatencyTarget,
    ) {
        if self.state.is_decided() {
            return;
        }
        let baseline = self.baseline_latencies.get(&route).copied();
        let outcome = latency.map_or(ResponseOutcome::Failed, |latency| {
            ResponseOutcome::Succeeded {
                latency,
                is_slow: is_slow(latency, baseline, target),
            }
        });
        self.counts.record(route, is_new, outcome);
    }

    /// Evaluates the counts and the elapsed time; returns the state changes that follow.
    pub fn evaluate(&mut self, rank: usize, chart: &RolloutChart, now: Time) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        if self.state.is_decided() {
            return changes;
        }
        let totals = self.counts.totals();
        let routes = totals.iter();
        self.baseline_latencies = routes
            .filter_map(|(route, counts)| Some((*route, baseline_latency(&counts.old)?)))
            .collect();
        if let Some(regression) = self.detector.update(totals) {
            self.regressed = true;
            let cause = RolloutCause::Regression(regression);
            changes.extend(self.apply_event(RolloutEvent::Harmed, cause, rank, chart, now));
        }
        let events = [
            (
                self.is_proved(now),
                RolloutEvent::Proved,
                RolloutCause::Proof,
            ),
            (
                self.has_passed(now),
                RolloutEvent::Passed,
                RolloutCause::Proof,
            ),
            (
                self.has_lasted(now),
                RolloutEvent::Lasted,
                RolloutCause::Proof,
            ),
            (
                self.elapsed_fraction(now) >= EXPIRY_FRACTION,
                RolloutEvent::Expired,
                RolloutCause::Time,
            ),
        ];
        for (occurred, event, cause) in events {
            if occurred {
                changes.extend(self.apply_event(event, cause, rank, chart, now));
            }
        }
        changes
    }

    /// Fraction of the order's duration that has elapsed.
    fn elapsed_fraction(&self, now: Time) -> f64 {
        now.since(self.started_at).as_secs_f64() / self.order.duration.as_secs_f64()
    }

    fn is_accepted(&self, now: Time) -> bool {
        self.detector
            .is_accepted(self.elapsed_fraction(now) < EACH_ROUTE_END_FRACTION)
    }

    fn is_proved(&self, now: Time) -> bool {
        self.elapsed_fraction(now) >= TRIAL_START_FRACTION && self.is_accepted(now)
    }

    fn has_passed(&self, now: Time) -> bool {
        self.elapsed_fraction(now) >= FULL_TRAFFIC_START_FRACTION && self.is_accepted(now)
    }

    fn has_lasted(&self, now: Time) -> bool {
        let Some(since) = self.full_traffic_since else {
            return false;
        };
        let full_traffic = now.since(since).as_secs_f64() / self.order.duration.as_secs_f64();
        let elapsed = self.elapsed_fraction(now);
        elapsed >= EXPIRY_FRACTION
            || (elapsed >= COMPLETION_START_FRACTION && full_traffic >= MIN_FULL_TRAFFIC_FRACTION)
    }

    /// Applies an event to the state chart; returns the state change that follows, if any.
    fn apply_event(
        &mut self,
        event: RolloutEvent,
        cause: RolloutCause,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        let previous = self.state;
        let (current, actions) = chart.step(previous, event);
        if current == previous {
            return None;
        }
        self.state = current;
        let mut is_urgent = false;
        for action in actions {
            match action {
                RolloutAction::PlanWrite => self.write_due_at = Some(now + write_delay(rank)),
                RolloutAction::ForgetWrite => self.write_due_at = None,
                RolloutAction::Alarm => is_urgent = true,
            }
        }
        if current == RolloutState::Whole {
            self.full_traffic_since = Some(now);
        }
        if current.is_decided() {
            self.decided_at = Some(now);
        }
        Some(RolloutChange {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            previous,
            current,
            cause,
            is_urgent,
            counts: self.new_version_counts(),
            exposed: self.exposure.exposed(),
            requests: self.exposure.requests(),
        })
    }

    /// Known responses of the new version, over all routes and routers.
    fn new_version_counts(&self) -> ResponseCounts {
        let mut sum = ResponseCounts::default();
        for counts in self.counts.totals().values() {
            sum.add(&counts.new);
        }
        sum
    }

    /// Applies the state in the store, as read from the store or gossiped by a peer.
    pub fn apply_stored(
        &mut self,
        state: StoredState,
        revision: u64,
        cause: RolloutCause,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        self.status_revision = self.status_revision.max(revision);
        if revision <= self.order.revision {
            return None;
        }
        if self.stored.is_none_or(|(_, known)| known < revision) {
            self.stored = Some((state, revision));
        }
        let event = match state {
            StoredState::Running => RolloutEvent::StoredRunning,
            StoredState::Completed => RolloutEvent::StoredCompleted,
            StoredState::RolledBack => RolloutEvent::StoredRolledBack,
        };
        self.apply_event(event, cause, 0, chart, now)
    }

    /// Merges the gossip of a peer about the same order.
    pub fn merge(
        &mut self,
        gossip: &RolloutGossip,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        self.started_at = self.started_at.min(now - gossip.age);
        for counts in &gossip.counts {
            self.counts.merge(counts);
        }
        if let Some((state, revision)) = gossip.stored {
            let cause = RolloutCause::Peer;
            changes.extend(self.apply_stored(state, revision, cause, chart, now));
        }
        self.regressed |= gossip.regressed;
        let events = [
            (gossip.regressed, RolloutEvent::Harmed),
            (gossip.proved, RolloutEvent::Proved),
            (gossip.passed, RolloutEvent::Passed),
        ];
        for (occurred, event) in events {
            if occurred {
                changes.extend(self.apply_event(event, RolloutCause::Peer, rank, chart, now));
            }
        }
        changes
    }

    fn is_recently_decided(&self, now: Time, period: Duration) -> bool {
        self.decided_at.is_some_and(|at| now.since(at) < period)
    }

    /// Whether the full traffic goes to the new version.
    fn has_full_traffic(&self) -> bool {
        matches!(self.state, RolloutState::Whole | RolloutState::Finished)
    }

    /// Gossip to send to peers; `None` once all have had time to learn the outcome, or if the order
    /// is withdrawn.
    pub fn gossip(&mut self, now: Time) -> Option<RolloutGossip> {
        let is_gossiped =
            !self.state.is_decided() || self.is_recently_decided(now, DECIDED_GOSSIP_PERIOD);
        if !is_gossiped || self.withdrawn {
            return None;
        }
        let counts = match self.state.is_decided() {
            true => Vec::new(),
            false => self.counts.gossip(),
        };
        Some(RolloutGossip {
            order: self.order.clone(),
            age: now.since(self.started_at),
            stored: self.stored,
            regressed: self.regressed,
            proved: self.state == RolloutState::Trial || self.has_full_traffic(),
            passed: self.has_full_traffic(),
            counts,
        })
    }

    /// The write that is due now, if any.
    pub fn due_write(&self, now: Time) -> Option<StatusWrite> {
        let is_due = self.write_due_at.is_some_and(|due| due <= now) && !self.withdrawn;
        let state = match self.state {
            RolloutState::Unannounced => StoredState::Running,
            RolloutState::Finished => StoredState::Completed,
            RolloutState::Stopped => StoredState::RolledBack,
            _ => return None,
        };
        is_due.then(|| StatusWrite {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            state,
            order_revision: self.order.revision,
            status_revision: self.status_revision,
        })
    }

    /// Applies the result of a write for this order.
    pub fn on_write_result(
        &mut self,
        write: &StatusWrite,
        result: &StatusWriteResult,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        let cause = RolloutCause::Store;
        match result {
            StatusWriteResult::Stored(revision) => {
                self.apply_stored(write.state, *revision, cause, chart, now)
            }
            StatusWriteResult::Conflict { order_revision, .. }
                if *order_revision != self.order.revision =>
            {
                self.withdrawn = true;
                None
            }
            StatusWriteResult::Conflict { status, .. } => {
                self.status_revision = status.as_ref().map_or(0, |status| status.revision);
                let status = status
                    .as_ref()
                    .filter(|status| self.is_for_this_order(status))?;
                self.apply_stored(status.state, status.revision, cause, chart, now)
            }
        }
    }

    /// Whether a status was written for this order.
    fn is_for_this_order(&self, status: &StoredStatus) -> bool {
        status.version == self.order.version && status.revision > self.order.revision
    }

    /// Whether the store does not hold the order any more.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn
    }
}

/// Delay before the scheduled write of the router with this rank.
fn write_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let early = rank.min(EARLY_WRITERS);
    let late = rank.saturating_sub(EARLY_WRITERS).min(1000);
    WRITE_DELAY_PER_RANK * early + LATE_WRITE_DELAY_PER_RANK * late
}
