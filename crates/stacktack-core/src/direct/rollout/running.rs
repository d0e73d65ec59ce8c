//! One roll-out as one router sees it: what it knows, and what it decides from that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::evidence::{AnswerCounts, AnswerGrade, FleetEvidence, RouteHash};
use super::exposure::{Exposure, ExposureBound};
use super::harm::HarmTest;
use super::order::RolloutOrder;
use super::progress::{Progress, RolloutAction, RolloutChart, RolloutEvent};
use super::rollout_news::RolloutNews;
use super::speed::{is_slow, usual_time, SpeedWanted};
use super::status::{StatusWrite, StatusWriteEnd, StoredState, StoredStatus};
use super::{RolloutCause, RolloutChange, VersionSide};
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
    pub progress: Progress,
    /// What the store holds for this order, and at which revision.
    stored: Option<(StoredState, u64)>,
    /// Revision of the status row, of this order or an earlier one.
    status_revision: u64,
    /// The order is not in the store any more: nothing is written or sent for it.
    withdrawn: bool,
    harmful: bool,
    pub exposure: Exposure,
    evidence: FleetEvidence,
    /// What the old version's answers take by route, as of the last judgement.
    usual_times: BTreeMap<RouteHash, Duration>,
    test: HarmTest,
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
            progress: chart.initial(),
            stored: None,
            status_revision: 0,
            withdrawn: false,
            harmful: false,
            exposure: Exposure::new(router),
            evidence: FleetEvidence::new(router),
            usual_times: BTreeMap::new(),
            test: HarmTest::default(),
            whole_since: None,
            write_due: Some(now + write_delay(rank)),
            decided_at: None,
        }
    }

    /// Which version a request may go to.
    pub fn side(&self, bound: &ExposureBound, is_first_try: bool, now: Time) -> VersionSide {
        let exposed = |allowed: bool| match allowed {
            true => VersionSide::New,
            false => VersionSide::Old,
        };
        match self.progress {
            _ if self.withdrawn => VersionSide::Old,
            Progress::Unannounced | Progress::Stopped | Progress::RolledBack => VersionSide::Old,
            Progress::Canary => exposed(is_first_try && self.exposure.allows_canary(bound)),
            Progress::Trial => exposed(is_first_try && self.exposure.allows_trial(bound)),
            Progress::Whole | Progress::Finished => {
                let is_control = self.part(now) < CONTROL_UNTIL && self.exposure.is_control();
                exposed(is_first_try && !is_control)
            }
            Progress::Completed if self.is_decided_of_late(now, PREFER_COMPLETED) => {
                VersionSide::New
            }
            Progress::Completed => VersionSide::Any,
        }
    }

    /// Whether back ends of the new version may get requests at all.
    pub fn may_send(&self) -> bool {
        !self.withdrawn && !matches!(self.progress, Progress::Stopped | Progress::RolledBack)
    }

    /// An answer of this router's own, good or failed; a good one took so long.
    pub fn on_answer(
        &mut self,
        route: RouteHash,
        is_new: bool,
        took: Option<Duration>,
        wanted: SpeedWanted,
    ) {
        if self.progress.is_decided() {
            return;
        }
        let usual = self.usual_times.get(&route).copied();
        let grade = took.map_or(AnswerGrade::Failed, |took| AnswerGrade::Whole {
            took,
            slow: is_slow(took, usual, wanted),
        });
        self.evidence.count(route, is_new, grade);
    }

    /// Judges what is known now.
    pub fn judge(&mut self, rank: usize, chart: &RolloutChart, now: Time) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        if self.progress.is_decided() {
            return changes;
        }
        let totals = self.evidence.totals();
        let times = totals.iter();
        self.usual_times = times
            .filter_map(|(route, counts)| Some((*route, usual_time(&counts.old)?)))
            .collect();
        if let Some(harm) = self.test.take(totals) {
            self.harmful = true;
            let cause = RolloutCause::Harm(harm);
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
        let before = self.progress;
        let (next, actions) = chart.step(before, event);
        if next == before {
            return None;
        }
        self.progress = next;
        let mut alarm = false;
        for action in actions {
            match action {
                RolloutAction::PlanWrite => self.write_due = Some(now + write_delay(rank)),
                RolloutAction::ForgetWrite => self.write_due = None,
                RolloutAction::Alarm => alarm = true,
            }
        }
        if next == Progress::Whole {
            self.whole_since = Some(now);
        }
        if next.is_decided() {
            self.decided_at = Some(now);
        }
        Some(RolloutChange {
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            before,
            now: next,
            cause,
            alarm,
            counts: self.counts(),
            exposed: self.exposure.exposed(),
            requests: self.exposure.requests(),
        })
    }

    /// Answers of the new version that are known.
    fn counts(&self) -> AnswerCounts {
        let mut sum = AnswerCounts::default();
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
        news: &RolloutNews,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        self.began = self.began.min(now - news.age);
        for evidence in &news.evidence {
            self.evidence.merge(evidence);
        }
        if let Some((state, revision)) = news.stored {
            let cause = RolloutCause::Peer;
            changes.extend(self.take_stored(state, revision, cause, chart, now));
        }
        self.harmful |= news.harmful;
        let events = [
            (news.harmful, RolloutEvent::Harmed),
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
        matches!(self.progress, Progress::Whole | Progress::Finished)
    }

    /// What to tell peers; nothing once all have had time to hear the outcome.
    pub fn told(&mut self, now: Time) -> Option<RolloutNews> {
        let is_told = !self.progress.is_decided() || self.is_decided_of_late(now, TELL_DECIDED);
        if !is_told || self.withdrawn {
            return None;
        }
        let evidence = match self.progress.is_decided() {
            true => Vec::new(),
            false => self.evidence.told(),
        };
        Some(RolloutNews {
            order: self.order.clone(),
            age: now.since(self.began),
            stored: self.stored,
            harmful: self.harmful,
            proved: self.progress == Progress::Trial || self.has_whole(),
            passed: self.has_whole(),
            evidence,
        })
    }

    /// The write that is due now, if any.
    pub fn to_write(&self, now: Time) -> Option<StatusWrite> {
        let is_due = self.write_due.is_some_and(|due| due <= now) && !self.withdrawn;
        let state = match self.progress {
            Progress::Unannounced => StoredState::Running,
            Progress::Finished => StoredState::Completed,
            Progress::Stopped => StoredState::RolledBack,
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
    pub fn on_write_end(
        &mut self,
        write: &StatusWrite,
        end: &StatusWriteEnd,
        chart: &RolloutChart,
        now: Time,
    ) -> Option<RolloutChange> {
        let cause = RolloutCause::Store;
        match end {
            StatusWriteEnd::Stored(revision) => {
                self.take_stored(write.state, *revision, cause, chart, now)
            }
            StatusWriteEnd::Conflict { order_revision, .. }
                if *order_revision != self.order.revision =>
            {
                self.withdrawn = true;
                None
            }
            StatusWriteEnd::Conflict { status, .. } => {
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
