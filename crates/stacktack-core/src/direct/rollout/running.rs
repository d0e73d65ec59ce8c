//! One roll-out as one router sees it: what it knows, and what it decides from that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::evidence::{AnswerCounts, AnswerGrade, FleetEvidence, RouteHash};
use super::exposure::{Exposure, ExposureBound, COMPLETE_FROM, TRIAL_FROM};
use super::harm::HarmTest;
use super::order::RolloutOrder;
use super::progress::{Progress, RolloutAction, RolloutChart, RolloutEvent};
use super::rollout_news::RolloutNews;
use super::speed::{is_slow, usual_time, SpeedWanted};
use super::status::{StatusWrite, StatusWriteEnd, StoredState, StoredStatus};
use super::{RolloutCause, RolloutChange, VersionSide};
use crate::time::Time;

/// Parts of an order's time: from when a version may be proved good so far, ...
const PROVED_FROM: f64 = 0.45;

/// ... until when each route has to be proved by itself, ...
const EACH_ROUTE_UNTIL: f64 = COMPLETE_FROM;

/// ... and when what is not proved is given up.
const EXPIRES: f64 = 0.95;

/// Part of an order's time after which answers are counted anew.
const COUNTED_FOR: f64 = 0.2;

/// Part of an order's time in which the outcome is stored, beyond which the whole traffic goes
/// to the new version no longer: the saved share is spent.
const STORED_WITHIN: f64 = 0.01;

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

/// Answers that wait until it is known what is usual on their routes, ...
const MOST_UNGRADED: usize = 256;

/// ... until this part of the order's time.
const GRADED_UNTIL: f64 = 0.5;

/// An answer of which it is not known whether it is slow.
#[derive(Clone, Copy, Debug)]
struct Ungraded {
    route: RouteHash,
    is_new: bool,
    took: Duration,
    wanted: SpeedWanted,
}

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
    /// Answers of the new version from before it was known what is usual.
    ungraded: Vec<Ungraded>,
    /// Own bad answers, of the new version and of both, when this was last asked.
    pushed_bad: [u32; 2],
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
            ungraded: Vec::new(),
            pushed_bad: [0; 2],
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
            Progress::Trial if self.is_tried(bound, now) => {
                exposed(is_first_try && self.exposure.allows_trial(bound))
            }
            Progress::Canary | Progress::Trial => {
                exposed(is_first_try && self.allows_sample(bound, now))
            }
            Progress::Whole | Progress::Finished => {
                let is_allowed = !self.is_spent(bound, now) || self.allows_sample(bound, now);
                exposed(is_first_try && is_allowed)
            }
            Progress::Completed if self.is_decided_of_late(now, PREFER_COMPLETED) => {
                VersionSide::New
            }
            Progress::Completed => VersionSide::Any,
        }
    }

    fn allows_sample(&self, bound: &ExposureBound, now: Time) -> bool {
        self.exposure.allows_sample(bound, self.part(now))
    }

    /// Part of the order's time for which the whole traffic has gone to the new version.
    fn whole_for(&self, now: Time) -> f64 {
        let since = self.whole_since.unwrap_or(now);
        now.since(since).as_secs_f64() / self.order.duration.as_secs_f64()
    }

    /// Whether the share that was saved for the whole traffic is spent.
    fn is_spent(&self, bound: &ExposureBound, now: Time) -> bool {
        self.whole_for(now) >= bound.whole_part() + STORED_WITHIN
    }

    /// Whether it is the time of the trial with the whole traffic: the same at all routers.
    fn is_tried(&self, bound: &ExposureBound, now: Time) -> bool {
        let part = self.part(now);
        (TRIAL_FROM..TRIAL_FROM + bound.trial_part()).contains(&part)
    }

    /// A request goes to a back end of the new version, or reached one of another.
    pub fn on_send(&mut self, bound: &ExposureBound, is_new: bool, now: Time) {
        if !is_new {
            return self.exposure.on_old();
        }
        let is_sample = match self.progress {
            Progress::Trial => !self.is_tried(bound, now),
            Progress::Whole | Progress::Finished => self.is_spent(bound, now),
            _ => true,
        };
        self.exposure.on_new(is_sample);
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
        let Some(took) = took else {
            return self.evidence.count(route, is_new, AnswerGrade::Failed);
        };
        let answer = Ungraded {
            route,
            is_new,
            took,
            wanted,
        };
        // Whether it is slow shows only once it is known what is usual.
        let usual = self.usual_times.get(&route).copied();
        let is_early = usual.is_none() && is_new && !is_slow(took, usual, wanted);
        if is_early && self.ungraded.len() < MOST_UNGRADED {
            return self.ungraded.push(answer);
        }
        self.grade(answer, usual);
    }

    /// Whether this router saw bad answers since it was last asked that others are to hear of
    /// at once: those of the new version, and while these are many those of the old one too,
    /// so that both are known alike.
    pub fn takes_push(&mut self) -> bool {
        let bad = [false, true].map(|of_both| self.evidence.own_bad(of_both));
        let before = std::mem::replace(&mut self.pushed_bad, bad);
        let is_told = bad[0] > before[0] || (bad[1] > before[1] && self.test.is_rising());
        is_told && !self.progress.is_decided()
    }

    fn grade(&mut self, answer: Ungraded, usual: Option<Duration>) {
        let grade = AnswerGrade::Whole {
            took: answer.took,
            slow: is_slow(answer.took, usual, answer.wanted),
        };
        self.evidence.count(answer.route, answer.is_new, grade);
    }

    /// Grades the answers for which it is known now what is usual; late all of them.
    fn grade_early(&mut self, now: Time) {
        let is_late = self.part(now) >= GRADED_UNTIL;
        for answer in std::mem::take(&mut self.ungraded) {
            match self.usual_times.get(&answer.route).copied() {
                None if !is_late => self.ungraded.push(answer),
                usual => self.grade(answer, usual),
            }
        }
    }

    /// Judges what is known now.
    pub fn judge(
        &mut self,
        bound: &ExposureBound,
        routers: Option<usize>,
        rank: usize,
        chart: &RolloutChart,
        now: Time,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        if self.progress.is_decided() {
            return changes;
        }
        let counted = self.evidence.routers();
        self.exposure
            .set_routers(routers.map(|routers| routers.max(counted)));
        self.evidence
            .begin_count((self.part(now).min(1.0) / COUNTED_FOR) as u32);
        let times = self.evidence.totals().iter();
        self.usual_times = times
            .filter_map(|(route, counts)| Some((*route, usual_time(&counts.old)?)))
            .collect();
        self.grade_early(now);
        if let Some(harm) = self.test.take(self.evidence.totals()) {
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
                self.has_passed(bound, now),
                RolloutEvent::Passed,
                RolloutCause::Proof,
            ),
            (
                self.has_lasted(bound, now),
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

    fn is_proved(&self, now: Time) -> bool {
        self.part(now) >= PROVED_FROM && self.test.is_promising() && !self.test.is_suspicious()
    }

    fn has_passed(&self, bound: &ExposureBound, now: Time) -> bool {
        let part = self.part(now);
        part >= bound.whole_from()
            && self.test.is_good(part < EACH_ROUTE_UNTIL)
            && !self.test.is_suspicious()
    }

    fn has_lasted(&self, bound: &ExposureBound, now: Time) -> bool {
        let part = self.part(now);
        let is_whole = self.whole_for(now) >= bound.whole_part();
        part >= EXPIRES || (part >= COMPLETE_FROM && is_whole)
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
            (
                news.passed && !self.test.is_suspicious(),
                RolloutEvent::Passed,
            ),
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
