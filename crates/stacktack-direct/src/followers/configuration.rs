//! Follows the configuration: when to read it, and after which revision.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::time::Time;

use super::backoff::Backoff;
use super::poll_schedule::{is_updated_by_peers, long_poll_wait, PollSchedule};
use super::start_delay::{StartDelay, StartProgress};
use crate::calls::{CallEvent, EndedCall, HedgedCalls};
use crate::freshness::SourceKnowledge;
use crate::ports::{ConfigurationSource, ConfigurationUpdate, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// Name of the source in logs and metrics.
const SOURCE: &str = "configuration";

/// Time without an answer, and without a current configuration from peers, after which a snapshot
/// of the configuration is read instead of the changes after the last revision: those hold every
/// version in between.
const MIN_GAP_FOR_SNAPSHOT: Duration = Duration::from_secs(2);

/// Duration of a transfer of several versions after which a snapshot is read next: more versions
/// were stored while the transfer lasted.
const MIN_TRANSFER_FOR_SNAPSHOT: Duration = Duration::from_millis(500);

/// Keeps the configuration of `router` current, from the store or from peers. Never returns.
pub async fn follow_configuration(router: Rc<Router>, source: Rc<dyn ConfigurationSource>) {
    let mut follower = ConfigurationFollower {
        router: router.clone(),
        history_gone_after: None,
        overdue_since: None,
        lagging_at: None,
        may_have_missed_drains: false,
        polls: PollSchedule::new(),
        backoff: Backoff::new(),
        start: StartDelay::begin(&router),
    };
    let mut calls = HedgedCalls::starting_in(follower.start.initial_delay());
    loop {
        let timeout = follower.timeout();
        let watches = !calls.is_idle();
        // After a call without an answer the store is called again after the backoff, not by polls.
        // Whether the directory is answered says nothing about a call that waits here.
        let is_retrying = watches && follower.unanswered_since().is_some();
        let may_poll = !is_retrying && !calls.has_arriving_answer();
        let budget = router.configuration_budget();
        let known = &router.freshness.configuration;
        let poll_due = follower.polls.due(&router, budget, known, watches);
        let event = tokio::select! {
            // A suspension or a return of the store also changes the belief about the store, and
            // must not be missed for that change.
            biased;
            () = router.wait_for_resume() => {
                follower.record_unanswered(router.now());
                calls.schedule(Duration::ZERO);
                continue;
            }
            () = router.store.recovered(), if watches => {
                // A call that waits at the store may have been lost in the outage. A call whose
                // response is arriving continues: another one would start again at the first byte.
                if !calls.has_arriving_answer() {
                    follower.record_unanswered(router.now());
                    calls.schedule(Duration::ZERO);
                }
                continue;
            }
            event = calls.next_event(timeout) => event,
            cause = poll_due, if may_poll => {
                follower.poll(cause.as_str(), &mut calls);
                continue;
            }
            () = router.configuration_poll_due.notified() => {
                follower.poll("behind", &mut calls);
                continue;
            }
            // When calls are late and polls are due follows from the belief about the store.
            () = router.store.changed() => continue,
        };
        match event {
            CallEvent::Due
                if follower
                    .start_progress()
                    .is_deferred_to_peers(&follower.polls) =>
            {
                calls.reschedule(follower.start_progress().remaining_delay());
            }
            CallEvent::Due if !follower.should_call() => calls.reschedule(None),
            CallEvent::Due => follower.call(source.as_ref(), &mut calls),
            CallEvent::Answered(update, call) => {
                let is_empty = update.is_empty();
                let delay = follower.on_response(update, &call);
                calls.on_answer(&call, is_empty, delay);
            }
            CallEvent::Failed(error, call) => calls.reschedule(follower.on_failure(error, &call)),
            CallEvent::Late { transfer, .. } => calls.reschedule(follower.on_late(&transfer)),
            CallEvent::GivenUp(call) => log_call_end(&call, "given up"),
        }
    }
}

/// State of the task that follows the configuration.
struct ConfigurationFollower {
    router: Rc<Router>,
    /// Revision after which the store no longer has the changes; `None` if it has them.
    history_gone_after: Option<u64>,
    /// Since when an answer of the store is overdue, as recorded last.
    overdue_since: Option<Time>,
    /// When this router last found that versions are stored faster than it reads them one by one.
    lagging_at: Option<Time>,
    /// Whether changes were skipped that may include zone drains or roll-out orders.
    may_have_missed_drains: bool,
    polls: PollSchedule,
    backoff: Backoff,
    start: StartDelay,
}

impl ConfigurationFollower {
    fn timeout(&self) -> Duration {
        self.router
            .store
            .timeout(self.router.configuration_version() == 0)
    }

    /// Revision after which to read; `None` for a snapshot.
    ///
    /// Revisions learned from peers count as read. Otherwise a router that was updated by peers for
    /// 7.5 s and then read after the last revision it had from the store would get 1.7 MB of
    /// versions older than its own, which takes 2.7 s at 10 Mbit/s; four more versions were stored
    /// meanwhile.
    fn read_after(&self) -> Option<u64> {
        let read_at = self.knowledge().read_at();
        let in_force = self.router.configuration_revision();
        let known = read_at.max(Some(in_force).filter(|in_force| *in_force > 0));
        if self.history_gone_after.is_some() && known <= self.history_gone_after {
            return None;
        }
        if in_force > read_at.unwrap_or(0) {
            return Some(in_force);
        }
        let now = self.router.now();
        let is_long_gap = |since: Time| now.since(since) >= MIN_GAP_FOR_SNAPSHOT;
        let age = self.router.configuration_age();
        let is_old = age.is_none_or(|age| age >= MIN_GAP_FOR_SNAPSHOT);
        let is_lagging = self.unless_answered_since(self.lagging_at).is_some();
        let missed_many =
            is_lagging || (is_old && self.unanswered_since().is_some_and(is_long_gap));
        read_at.filter(|_| !missed_many)
    }

    /// Since when an answer of the store is overdue; `None` if none is, or if the store has answered
    /// a peer since.
    fn unanswered_since(&self) -> Option<Time> {
        self.unless_answered_since(self.overdue_since)
    }

    /// The time `at` of an observation about the store, unless an answer to any router has brought
    /// this router up to date since.
    fn unless_answered_since(&self, at: Option<Time>) -> Option<Time> {
        at.filter(|at| self.knowledge().as_of() <= Some(*at))
    }

    /// Long-poll wait of one call.
    fn wait(&self) -> Duration {
        let age = self.router.configuration_age().unwrap_or_default();
        long_poll_wait(&self.router, &self.router.configuration_budget(), age)
    }

    fn knowledge(&self) -> &SourceKnowledge {
        &self.router.freshness.configuration
    }

    fn should_call(&mut self) -> bool {
        let known = &self.router.freshness.configuration;
        self.polls.should_call(SOURCE, known)
    }

    fn start_progress(&self) -> StartProgress<'_> {
        StartProgress {
            start: &self.start,
            router: &self.router,
            is_initialized: self.knowledge().as_of().is_some(),
            peer_has_newer_revision: self.peer_has_newer_revision(),
        }
    }

    fn peer_has_newer_revision(&self) -> bool {
        let peers = self.router.peers.borrow();
        peers
            .with_newer_configuration(self.router.configuration_version(), &[])
            .is_some()
    }

    /// Polls the store at once, beside the calls in flight.
    fn poll(&mut self, cause: &'static str, calls: &mut HedgedCalls<'_, ConfigurationUpdate>) {
        log::info!(
            target: "configuration",
            "look=true cause={} age_ms={} version={}",
            cause,
            self.router.configuration_age().unwrap_or_default().as_millis(),
            self.router.configuration_version(),
        );
        self.polls.request_poll(cause, &self.router);
        calls.schedule(Duration::ZERO);
    }

    /// Calls the store. The call has a long-poll wait only if it reads after a revision, no answer
    /// is overdue and it is not a poll: a poll, and a call while an answer is overdue, must show at
    /// once whether the store answers at all.
    fn call<'a>(
        &mut self,
        source: &'a dyn ConfigurationSource,
        calls: &mut HedgedCalls<'a, ConfigurationUpdate>,
    ) {
        let after = self.read_after();
        self.may_have_missed_drains |= after > self.knowledge().read_at();
        let is_poll = self.polls.is_poll();
        let wait = match after {
            Some(_) if self.unanswered_since().is_none() && !is_poll => self.wait(),
            _ => Duration::ZERO,
        };
        self.polls.on_call(SOURCE, wait, &self.router);
        let transfer = Transfer::begin();
        let response = source.configuration(after, wait, transfer.clone());
        calls.begin(after, wait, transfer, response);
    }

    /// Applies a response. Returns the delay before the next call, or `None` if this router stops
    /// watching the store.
    fn on_response(&mut self, update: ConfigurationUpdate, call: &EndedCall) -> Option<Duration> {
        let router = &self.router;
        let known = &router.freshness.configuration;
        let keeps_watching = self
            .polls
            .on_response(SOURCE, known, update.answered_at_ms, router);
        self.backoff.reset();
        self.router
            .store
            .record_lateness(call.lateness(), self.router.now());
        self.router.on_contact();
        self.overdue_since = None;
        self.history_gone_after = None;
        self.knowledge().record_read(update.revision);
        self.router.apply_zone_drain_update(&update.zone_drains);
        self.router.apply_rollout_orders(&update.rollouts);
        if update.zone_drains.snapshot_revision.is_some() {
            self.may_have_missed_drains = false;
        } else if self.may_have_missed_drains {
            self.may_have_missed_drains = false;
            self.router.zone_drain_read_due.notify_one();
        }
        let is_lagging =
            update.version_count > 1 && call.transfer.arriving_for() >= MIN_TRANSFER_FOR_SNAPSHOT;
        self.lagging_at = is_lagging.then(|| self.router.now());
        if update.version_count > 0 {
            log_call_end(call, "taken");
        }
        if update.invalid {
            log::warn!(target: "configuration", "revision={} adopted=false cause=invalid", update.revision);
        }
        if let Some(configuration) = update.configuration {
            self.router.apply_configuration(Arc::new(configuration));
        }
        self.router.record_configuration_age(
            call.answer_age(self.router.store.lateness()),
            update.answered_at_ms,
        );
        keeps_watching.then_some(Duration::ZERO)
    }

    /// Handles a failed call. Returns the delay before the next call, or `None` if peers keep this
    /// router current.
    fn on_failure(&mut self, error: SourceError, call: &EndedCall) -> Option<Duration> {
        log_call_end(call, &error.to_string());
        if error == SourceError::HistoryGone {
            self.history_gone_after = call.after_revision;
            return Some(Duration::ZERO);
        }
        self.record_unanswered(self.router.now());
        self.retry_delay()
    }

    /// Delay before the next call after one without an answer; `None` if peers keep this router
    /// current.
    fn retry_delay(&mut self) -> Option<Duration> {
        if is_updated_by_peers(
            &self.router,
            &self.router.configuration_budget(),
            self.knowledge(),
        ) {
            return None;
        }
        Some(self.backoff.next_delay(&self.router))
    }

    /// Handles a call that is late and stays in flight. Returns the delay before a call beside it,
    /// or `None` if peers keep this router current.
    fn on_late(&mut self, transfer: &Transfer) -> Option<Duration> {
        log::info!(
            target: "configuration",
            "read=store late=true bytes={} ms={}",
            transfer.bytes(),
            transfer.elapsed().as_millis()
        );
        let since_progress = transfer.last_progress().elapsed();
        self.record_unanswered(self.router.now() - since_progress);
        self.retry_delay()
    }

    /// Records that no answer came since a time. The first one after the store has answered
    /// anybody starts the backoff over.
    fn record_unanswered(&mut self, since: Time) {
        if self.unanswered_since().is_none() {
            self.overdue_since = Some(since);
            self.backoff.reset();
        }
    }
}

fn log_call_end(call: &EndedCall, end: &str) {
    log::info!(
        target: "configuration",
        "read=store after={} bytes={} ms={} end=\"{end}\"",
        call.after_revision.unwrap_or(0),
        call.transfer.bytes(),
        call.transfer.elapsed().as_millis(),
    );
}
