//! One roll-out as one router sees it: what it knows, and what it decides from that.

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

/// Shares of an order's time: from when the whole traffic may be tried, from when it may
/// go to the new version for good, ...
const TRIAL_FROM: f64 = 0.45;
const WHOLE_FROM: f64 = 0.6;

/// ... until when each route has to be proved by itself, ...
const EACH_ROUTE_UNTIL: f64 = 0.6;

/// ... from when it is completed, after the whole traffic went there for a time, ...
const COMPLETE_FROM: f64 = 0.85;
const LEAST_WHOLE: f64 = 0.15;

/// ... from when none goes to the old version any more, so that what runs there ends before
/// its back ends stop, ...
const CONTROL_UNTIL: f64 = 0.72;

/// ... and when what is not proved is given up.
const EXPIRES: f64 = 0.95;

/// Time between the writes that routers plan, one after the other: the first one's reaches
/// most others meanwhile.
const WRITE_STEP: Duration = Duration::from_millis(400);

/// The same behind the first few.
const LATE_WRITE_STEP: Duration = Duration::from_millis(50);
const EARLY_WRITERS: u32 = 8;

/// Time for which requests go to a completed version only: the old back ends stop at once, and
/// the directory tells that later. Afterwards versions may change without an order.
const PREFER_COMPLETED: Duration = Duration::from_secs(10);

/// Time for which others are told of a roll-out whose outcome is stored.
const TELL_DECIDED: Duration = Duration::from_secs(30);

/// One roll-out.
#[derive(Debug)]
pub(super) struct RunningRollout {
    pub order: RolloutOrder,
    /// When the order was first heard of, here or elsewhere.
    began: Time,
    pub state: RolloutState,
    /// What the store holds for this order, and at which revision.
    stored: Option<(StoredState, u64)>,
    /// Revision of the status row, of this order or an earlier one.
    status_revision: u64,
    /// The order is not in the store any more: nothing is written or sent for it.
    withdrawn: bool,
    regressed: bool,
    pub exposure: Exposure,
    evidence: FleetCounts,
    /// What the old version's answers take by route, as of the last judgement.
    usual_times: BTreeMap<RouteHash, Duration>,
    test: RegressionDetector,
    whole_since: Option<Time>,
    write_due: Option<Time>,
    decided_at: Option<Time>,
}

impl RunningRollout {
    /// An order that is heard of for the first time; nothing is sent to its version before
    /// the store is known to hold that it runs.
    pub fn new(
        order: RolloutOrder,
        router: u32,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Self {
        RunningRollout {
            order,
            began: now,
            state: chart.initial(),
            stored: None,
            status_revision: 0,
            withdrawn: false,
            regressed: false,
            exposure: Exposure::new(router),
            evidence: FleetCounts::new(router),
            usual_times: BTreeMap::new(),
            test: RegressionDetector::default(),
            whole_since: None,
            write_due: Some(now + write_delay(rank)),
            decided_at: None,
        }
    }

    /// Which version a request may go to.
    pub fn select_version(
        &self,
        bound: &ExposureBound,
        is_first_try: bool,
        now: Time,
    ) -> VersionSelection {
        let exposed = |allowed: bool| match allowed {
            true => VersionSelection::New,
            false => VersionSelection::Old,
        };
        match self.state {
            _ if self.withdrawn => VersionSelection::Old,
            RolloutState::Unannounced | RolloutState::Stopped | RolloutState::RolledBack => {
                VersionSelection::Old
            }
            RolloutState::Canary => exposed(is_first_try && self.exposure.allows_canary(bound)),
            RolloutState::Trial => exposed(is_first_try && self.exposure.allows_trial(bound)),
            RolloutState::Whole | RolloutState::Finished => {
                let is_control = self.part(now) < CONTROL_UNTIL && self.exposure.is_control();
                exposed(is_first_try && !is_control)
            }
            RolloutState::Completed if self.is_decided_of_late(now, PREFER_COMPLETED) => {
                VersionSelection::New
            }
            RolloutState::Completed => VersionSelection::Any,
        }
    }

    /// Whether back ends of the new version may get requests at all.
    pub fn may_receive_requests(&self) -> bool {
        !self.withdrawn && !matches!(self.state, RolloutState::Stopped | RolloutState::RolledBack)
    }

    /// An answer of this router's own, good or failed; a good one took so long.
    pub fn on_response(
        &mut self,
        route: RouteHash,
        is_new: bool,
        took: Option<Duration>,
        wanted: LatencyTarget,
    ) {
        if self.state.is_decided() {
            return;
        }
        let usual = self.usual_times.get(&route).copied();
        let grade = took.map_or(ResponseOutcome::Failed, |took| ResponseOutcome::Succeeded {
            latency: took,
            is_slow: is_slow(took, usual, wanted),
        });
        self.evidence.record(route, is_new, grade);
    }

    /// Judges what is known now.
    pub fn judge(&mut self, rank: usize, chart: &RolloutChart, now: Time) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        if self.state.is_decided() {
            return changes;
        }
        let totals = self.evidence.totals();
        let times = totals.iter();
        self.usual_times = times
            .filter_map(|(route, counts)| Some((*route, baseline_latency(&counts.old)?)))
            .collect();
        if let Some(harm) = self.test.take(totals) {
            self.regressed = true;
            let cause = RolloutCause::Regression(harm);
            changes.extend(self.step(RolloutEvent::Harmed, cause, rank, chart, now));
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
                self.part(now) >= EXPIRES,
                RolloutEvent::Expired,
                RolloutCause::Time,
            ),
        ];
        for (happens, event, cause) in events {
            if happens {
                changes.extend(self.step(event, cause, rank, chart, now));
            }
        }
        changes
    }

    /// Part of the order's time that is over.
    fn part(&self, now: Time) -> f64 {
        now.since(self.began).as_secs_f64() / self.order.duration.as_secs_f64()
    }

    fn is_good(&self, now: Time) -> bool {
        self.test.is_good(self.part(now) < EACH_ROUTE_UNTIL)
    }

    fn is_proved(&self, now: Time) -> bool {
        self.part(now) >= TRIAL_FROM && self.is_good(now)
    }

    fn has_passed(&self, now: Time) -> bool {
        self.part(now) >= WHOLE_FROM && self.is_good(now)
    }

    fn has_lasted(&self, now: Time) -> bool {
        let Some(since) = self.whole_since else {
            return false;
        };
        let whole = now.since(since).as_secs_f64() / self.order.duration.as_secs_f64();
        let part = self.part(now);
        part >= EXPIRES || (part >= COMPLETE_FROM && whole >= LEAST_WHOLE)
    }

    /// Takes an event; returns the change that follows, if any.
    fn step(
        &mut self,
        event: RolloutEvent,
        cause: RolloutCause,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        let before = self.state;
        let (next, actions) = chart.step(before, event);
        if next == before {
            return None;
        }
        self.state = next;
        let mut alarm = false;
        for action in actions {
            match action {
                RolloutAction::PlanWrite => self.write_due = Some(now + write_delay(rank)),
                RolloutAction::ForgetWrite => self.write_due = None,
                RolloutAction::Alarm => alarm = true,
            }
        }
        if next == RolloutState::Whole {
            self.whole_since = Some(now);
        }
        if next.is_decided() {
            self.decided_at = Some(now);
        }
        Some(RolloutChange {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            previous: before,
            current: next,
            cause,
            is_urgent: alarm,
            counts: self.counts(),
            exposed: self.exposure.exposed(),
            requests: self.exposure.requests(),
        })
    }

    /// Answers of the new version that are known.
    fn counts(&self) -> ResponseCounts {
        let mut sum = ResponseCounts::default();
        for counts in self.evidence.totals().values() {
            sum.add(&counts.new);
        }
        sum
    }

    /// What the store holds, from there or from a peer.
    pub fn take_stored(
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
        self.step(event, cause, 0, chart, now)
    }

    /// Takes what a peer tells of the same order.
    pub fn merge(
        &mut self,
        news: &RolloutGossip,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        self.began = self.began.min(now - news.age);
        for evidence in &news.counts {
            self.evidence.merge(evidence);
        }
        if let Some((state, revision)) = news.stored {
            let cause = RolloutCause::Peer;
            changes.extend(self.take_stored(state, revision, cause, chart, now));
        }
        self.regressed |= news.regressed;
        let events = [
            (news.regressed, RolloutEvent::Harmed),
            (news.proved, RolloutEvent::Proved),
            (news.passed, RolloutEvent::Passed),
        ];
        for (told, event) in events {
            if told {
                changes.extend(self.step(event, RolloutCause::Peer, rank, chart, now));
            }
        }
        changes
    }

    fn is_decided_of_late(&self, now: Time, span: Duration) -> bool {
        self.decided_at.is_some_and(|at| now.since(at) < span)
    }

    /// Whether the whole traffic goes to the new version.
    fn has_whole(&self) -> bool {
        matches!(self.state, RolloutState::Whole | RolloutState::Finished)
    }

    /// What to tell peers; nothing once all have had time to hear the outcome.
    pub fn gossip(&mut self, now: Time) -> Option<RolloutGossip> {
        let is_told = !self.state.is_decided() || self.is_decided_of_late(now, TELL_DECIDED);
        if !is_told || self.withdrawn {
            return None;
        }
        let evidence = match self.state.is_decided() {
            true => Vec::new(),
            false => self.evidence.gossip(),
        };
        Some(RolloutGossip {
            order: self.order.clone(),
            age: now.since(self.began),
            stored: self.stored,
            regressed: self.regressed,
            proved: self.state == RolloutState::Trial || self.has_whole(),
            passed: self.has_whole(),
            counts: evidence,
        })
    }

    /// The write that is due now, if any.
    pub fn due_write(&self, now: Time) -> Option<StatusWrite> {
        let is_due = self.write_due.is_some_and(|due| due <= now) && !self.withdrawn;
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

    /// A write for this order ended.
    pub fn on_write_result(
        &mut self,
        write: &StatusWrite,
        end: &StatusWriteResult,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        let cause = RolloutCause::Store;
        match end {
            StatusWriteResult::Stored(revision) => {
                self.take_stored(write.state, *revision, cause, chart, now)
            }
            StatusWriteResult::Conflict { order_revision, .. }
                if *order_revision != self.order.revision =>
            {
                self.withdrawn = true;
                None
            }
            StatusWriteResult::Conflict { status, .. } => {
                self.status_revision = status.as_ref().map_or(0, |status| status.revision);
                let status = status.as_ref().filter(|status| self.is_own(status))?;
                self.take_stored(status.state, status.revision, cause, chart, now)
            }
        }
    }

    /// Whether a status was written for this order.
    fn is_own(&self, status: &StoredStatus) -> bool {
        status.version == self.order.version && status.revision > self.order.revision
    }

    /// Whether the order is not in the store any more.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn
    }
}

/// Time before the write of the router with a rank among all.
fn write_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let early = rank.min(EARLY_WRITERS);
    let late = rank.saturating_sub(EARLY_WRITERS).min(1000);
    WRITE_STEP * early + LATE_WRITE_STEP * late
}
