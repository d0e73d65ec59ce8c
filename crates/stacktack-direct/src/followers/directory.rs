//! Follows the directory: when to read it, and when to treat a missing entry as removed.

use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::back_end::hash_of_id;
use stacktack_core::direct::back_ends::directory::{DirectoryChange, DirectoryDelta};
use stacktack_core::direct::sources::directory_source::{RemovalEvidence, RENEWAL_PERIOD};
use stacktack_core::direct::sources::update_batching;
use stacktack_core::time::Time;
use tokio::time::sleep;

use super::backoff::Backoff;
use super::poll_schedule::{is_updated_by_peers, long_poll_wait, PollSchedule};
use super::start_delay::{StartDelay, StartProgress};
use crate::calls::{CallEvent, EndedCall, HedgedCalls};
use crate::freshness::SourceKnowledge;
use crate::ports::{Directory, DirectoryUpdate, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// Delay after a response without changes: without the delay, a store that answers long polls at
/// once would be called in a busy loop.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// Name of the source in logs and metrics.
const SOURCE: &str = "directory";

/// Time between two checks whether pending removals can be applied. The sum of this interval, the
/// backoff until the return of the store is noticed (0.4 s) and the renewal period (2.2 s) stays
/// below the 3 s after which routers have to act on departures again.
const PENDING_REMOVALS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of the knowledge from which a router that has not seen the end of the renewal period
/// itself decides on removals, while peers report that the directory is steady.
const MAX_AGE_BESIDE_STEADY_PEERS: Duration = Duration::from_millis(500);

/// Maximum number of changes of one kind in one response that are logged one by one. A starting
/// router reads all entries at once, which would be 632 lines at each of 357 routers.
const MAX_LISTED_CHANGES: usize = 24;

/// Keeps the back ends of `router` current, from the directory or from peers. Never returns.
pub async fn follow_directory(router: Rc<Router>, directory: Rc<dyn Directory>) {
    let mut follower = DirectoryFollower {
        start: StartDelay::begin(&router),
        router,
        polls: PollSchedule::new(),
        backoff: Backoff::new(),
    };
    let mut calls = HedgedCalls::starting_in(follower.start.initial_delay());
    loop {
        match follower.next_event(&mut calls).await {
            CallEvent::Due
                if follower
                    .start_progress()
                    .is_deferred_to_peers(&follower.polls) =>
            {
                calls.reschedule(follower.start_progress().remaining_delay());
            }
            CallEvent::Due if !follower.should_call() => calls.reschedule(None),
            CallEvent::Due => follower.call(directory.as_ref(), &mut calls),
            CallEvent::Answered(update, call) => {
                let is_empty = update.delta.is_empty();
                let delay = follower.on_response(update, &call);
                calls.on_answer(&call, is_empty, delay);
            }
            CallEvent::Failed(error, _) => calls.reschedule(follower.on_failure(error)),
            CallEvent::Late { max_wait, .. } if !max_wait.is_zero() => {
                // The connection of the call may be dead; a poll on a new one shows whether the
                // store answers.
                follower.poll("read_late", &mut calls);
            }
            CallEvent::Late { .. } => calls.reschedule(follower.on_failure(SourceError::TimedOut)),
            CallEvent::GivenUp(call) => {
                log::info!(target: "directory", "read=store ms={} end=\"given up\"", call.transfer.elapsed().as_millis());
            }
        }
    }
}

/// State of the task that follows the directory.
struct DirectoryFollower {
    router: Rc<Router>,
    polls: PollSchedule,
    backoff: Backoff,
    start: StartDelay,
}

impl DirectoryFollower {
    /// Long-poll wait of one call; zero for a poll, and for a lost store, so that its return is
    /// noticed at once.
    fn wait(&mut self) -> Duration {
        if self.polls.is_poll() || self.router.store.is_lost() {
            return Duration::ZERO;
        }
        let age = self.router.directory_age().unwrap_or_default();
        long_poll_wait(&self.router, &self.router.directory_budget(), age)
    }

    /// Polls the store at once, beside the calls in flight.
    fn poll(&mut self, cause: &'static str, calls: &mut HedgedCalls<'_, DirectoryUpdate>) {
        log::info!(
            target: "directory",
            "look=true cause={cause} age_ms={} revision={} lateness_ms={}",
            self.router.directory_age_text(),
            self.router.received_directory_revision.get(),
            self.router.store.lateness().as_millis(),
        );
        self.polls.request_poll(cause, &self.router);
        calls.schedule(Duration::ZERO);
    }

    fn knowledge(&self) -> &SourceKnowledge {
        &self.router.freshness.directory
    }

    fn should_call(&mut self) -> bool {
        let known = &self.router.freshness.directory;
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
            .with_newer_directory(self.router.directory_revision(), &[])
            .is_some()
    }

    /// Calls the store. Only a call after a revision can wait there; a snapshot comes at once.
    fn call<'a>(
        &mut self,
        directory: &'a dyn Directory,
        calls: &mut HedgedCalls<'a, DirectoryUpdate>,
    ) {
        let wait = self.wait();
        let after = self.knowledge().read_at();
        let wait_at_store = after.map_or(Duration::ZERO, |_| wait);
        self.polls.on_call(SOURCE, wait_at_store, &self.router);
        let transfer = Transfer::begin();
        let response = directory.back_ends(after, wait, transfer.clone());
        calls.begin(after, wait_at_store, transfer, response);
    }

    /// Waits for the next event of the calls. Meanwhile starts polls that are due and applies
    /// pending removals.
    async fn next_event(
        &mut self,
        calls: &mut HedgedCalls<'_, DirectoryUpdate>,
    ) -> CallEvent<DirectoryUpdate> {
        let budget = self.router.directory_budget();
        loop {
            let at_start = self.knowledge().read_at().is_none();
            let timeout = self.router.store.timeout(at_start);
            let watches = !calls.is_idle();
            // A lost store is called again after the backoff, not by polls.
            let is_retrying = watches && self.router.store.is_lost();
            let may_poll = !is_retrying && !calls.has_arriving_answer();
            let poll_due = self
                .polls
                .due(&self.router, budget, self.knowledge(), watches);
            tokio::select! {
                // A suspension must not be missed for a change of the belief about the store.
                biased;
                () = self.router.wait_for_resume() => {
                    // Missing entries may only have been unable to renew themselves, and the call
                    // in flight may wait on a dead connection.
                    self.router.on_directory_failure(SourceError::Suspended);
                    calls.schedule(Duration::ZERO);
                }
                event = calls.next_event(timeout) => return event,
                cause = poll_due, if may_poll => self.poll(cause.as_str(), calls),
                () = self.router.directory_poll_due.notified() => self.poll("behind", calls),
                // When calls are late and polls are due follows from the belief about the store.
                () = self.router.store.changed() => {}
                () = sleep(PENDING_REMOVALS_CHECK_INTERVAL), if self.has_pending_removals() =>
                    self.check_pending_removals(calls),
            }
        }
    }

    /// Applies a response. Returns the delay before the next call, or `None` if this router stops
    /// watching the store.
    fn on_response(&mut self, update: DirectoryUpdate, call: &EndedCall) -> Option<Duration> {
        let now = self.router.now();
        let router = &self.router;
        let known = &router.freshness.directory;
        let keeps_watching = self
            .polls
            .on_response(SOURCE, known, update.answered_at_ms, router);
        let is_empty = update.delta.is_empty();
        self.backoff.reset();
        self.router.store.record_lateness(call.lateness(), now);
        self.router.store.on_answer(now);
        self.router.on_contact();
        self.knowledge().record_read(update.revision);
        self.router.record_directory_age(
            call.answer_age(self.router.store.lateness()),
            update.answered_at_ms,
        );
        self.apply_update(update, now);
        if !keeps_watching {
            return None;
        }
        if is_empty {
            return Some(EMPTY_RESPONSE_DELAY);
        }
        let peers = self.router.peers.borrow();
        let sharing_routers = if peers.any_directory_steady(now) {
            peers.live_count() + 1
        } else {
            1
        };
        Some(update_batching::batch_window(
            sharing_routers,
            &self.router.directory_budget(),
        ))
    }

    /// Handles a call that failed or is late. Returns the delay before the next call, or `None` if
    /// peers keep this router current.
    fn on_failure(&mut self, error: SourceError) -> Option<Duration> {
        if error == SourceError::HistoryGone {
            self.knowledge().forget_read();
            return Some(Duration::ZERO);
        }
        if self.router.on_directory_failure(error) {
            // Peers may have kept this router current since the loss before.
            self.backoff.reset();
        }
        if is_updated_by_peers(
            &self.router,
            &self.router.directory_budget(),
            self.knowledge(),
        ) {
            return None;
        }
        Some(self.backoff.next_delay(&self.router))
    }

    /// Whether the store has answered this router or some peer for long enough, without a gap, that
    /// all live back ends have renewed their entries.
    fn is_steady(&self, now: Time) -> bool {
        let is_answering = self.router.store.is_steady(now)
            || self.router.peers.borrow().any_directory_steady(now);
        is_answering && self.router.directory_had_no_gap()
    }

    fn has_pending_removals(&self) -> bool {
        !self.router.pending_removals.borrow().is_empty()
    }

    /// End of the latest period in which live back ends renewed their entries, after a loss of the
    /// store or a gap between its answers.
    fn renewal_end(&self) -> Option<Time> {
        let gap_ended = self.knowledge().freshness().gap_ended();
        let after_gap = gap_ended.map(|ended| ended + RENEWAL_PERIOD);
        self.router.store.renewal_end().max(after_gap)
    }

    /// Whether this router knows the directory as of the end of the renewal period or later, so that
    /// it knows of all entries that were renewed in time. Where only peers have seen the end of that
    /// period, recent knowledge is sufficient.
    fn knows_renewals(&self, now: Time) -> bool {
        let known_until = self.knowledge().as_of();
        if self.router.store.is_steady(now) {
            known_until >= self.renewal_end()
        } else {
            known_until >= Some(now - MAX_AGE_BESIDE_STEADY_PEERS)
        }
    }

    /// Applies the pending removals once the directory is steady and this router knows which entries
    /// were renewed. Polls the store if it does not know that yet.
    fn check_pending_removals(&mut self, calls: &mut HedgedCalls<'_, DirectoryUpdate>) {
        let now = self.router.now();
        if !self.is_steady(now) {
            return;
        }
        let last_poll = now - self.router.directory_budget().answer_timeout();
        if self.knows_renewals(now) {
            self.apply_pending_removals();
        } else if !self.polls.has_polled_since(last_poll) {
            self.poll("renewed", calls);
        }
    }

    fn apply_pending_removals(&self) {
        let mut change = DirectoryChange::default();
        let removed = self.router.pending_removals.borrow_mut().take_all();
        let mut back_ends = self.router.back_ends.borrow_mut();
        for entry in removed {
            back_ends.remove(entry, &mut change);
        }
        drop(back_ends);
        on_change(
            &self.router,
            &change,
            self.router.received_directory_revision.get(),
        );
    }

    fn apply_update(&self, update: DirectoryUpdate, now: Time) {
        for row in &update.invalid_rows {
            log::warn!(
                target: "directory",
                "back_end={} taken=false cause=invalid_row error=\"{}\"",
                row.key.escape_debug(),
                row.cause,
            );
        }
        let evidence = if self.is_steady(now) && self.knows_renewals(now) {
            RemovalEvidence::StoreSteady
        } else {
            RemovalEvidence::Insufficient
        };
        apply_delta(&self.router, update.delta, update.revision, evidence);
        if evidence == RemovalEvidence::Insufficient && self.has_pending_removals() {
            self.log_pending(now);
        }
    }

    /// Logs what keeps removals pending.
    fn log_pending(&self, now: Time) {
        let freshness = self.knowledge().freshness();
        log::info!(
            target: "directory",
            "held={} store_lost={} store_steady={} gap={} answered_at_ms={}",
            self.router.pending_removals.borrow().len(),
            self.router.store.is_lost(),
            self.router.store.is_steady(now),
            !self.router.directory_had_no_gap(),
            freshness.answered_at_ms(),
        );
    }
}

/// Applies a change of the directory that was read as of revision `read_at`. Without sufficient
/// evidence, removals of missing entries stay pending.
pub fn apply_delta(
    router: &Router,
    delta: DirectoryDelta,
    read_at: u64,
    evidence: RemovalEvidence,
) {
    let now = router.now();
    let mut revision = delta.revision;
    let mut change = DirectoryChange::default();
    let mut back_ends = router.back_ends.borrow_mut();
    let mut pending = router.pending_removals.borrow_mut();
    let mut removed = delta.gone;
    if delta.whole {
        // Removals before the snapshot have left no entry with their revision.
        revision = read_at;
        removed.extend(back_ends.missing_from(&delta.present, read_at));
        back_ends.on_snapshot(revision);
    }
    let changed = router.received_directory_revision.get().max(revision);
    router.received_directory_revision.set(changed);
    for entry in delta.present {
        pending.on_renewed(&entry.id, entry.revision);
        back_ends.upsert(entry, now, &mut change);
    }
    if evidence == RemovalEvidence::Insufficient {
        for entry in &removed {
            log::info!(
                target: "directory",
                "back_end={} now=missing held=true revision={}",
                entry.id,
                entry.revision
            );
        }
    }
    for entry in pending.on_missing(removed, evidence) {
        back_ends.remove(entry, &mut change);
    }
    drop(back_ends);
    router.update_version_history();
    on_change(router, &change, revision);
}

/// Logs a change of the directory, and drops state of the instances and back ends that it removed.
fn on_change(router: &Router, change: &DirectoryChange, revision: u64) {
    let lists = [
        ("joined", &change.joined),
        ("reborn", &change.restarted),
        ("leaving", &change.leaving),
        ("gone", &change.gone),
    ];
    for (state, ids) in lists {
        if ids.len() > MAX_LISTED_CHANGES {
            log::info!(target: "directory", "back_ends={} now={state} revision={revision}", ids.len());
            continue;
        }
        for id in ids {
            log::info!(target: "directory", "back_end={id} now={state} revision={revision}");
        }
    }
    log_ignored(change);
    router.on_vanished(&change.vanished);
    for id in change.gone.iter().chain(&change.restarted) {
        router.prefix_locations.borrow_mut().forget_back_end(id);
        let mut known_parts = router.known_parts.borrow_mut();
        known_parts.forget_back_end(hash_of_id(id));
    }
}

/// Logs the entries that changed nothing, at most [`MAX_LISTED_CHANGES`] of them one by one.
fn log_ignored(change: &DirectoryChange) {
    for entry in change.ignored.iter().take(MAX_LISTED_CHANGES) {
        log::info!(
            target: "directory",
            "back_end={} taken=false cause={} revision={}",
            entry.id,
            entry.cause.as_str(),
            entry.revision,
        );
    }
    if change.ignored.len() > MAX_LISTED_CHANGES {
        log::info!(target: "directory", "back_ends={} taken=false", change.ignored.len());
    }
}
