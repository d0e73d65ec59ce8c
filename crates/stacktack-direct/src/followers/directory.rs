//! The directory: when to ask its store, and when to believe that an entry is gone.

use std::rc::Rc;
use std::time::Duration;

use stacktack_core::direct::back_ends::directory::{DirectoryChange, DirectoryDelta};
use stacktack_core::direct::sources::directory_source::RemovalEvidence;
use stacktack_core::direct::sources::update_batching;
use stacktack_core::time::Time;
use tokio::time::sleep;

use super::looks::{is_informed, wait_for_news, Looks};
use super::pause::Pause;
use super::start::{Start, StartProgress};
use super::store_monitor::StoreMonitor;
use crate::calls::{CallEvent, EndedCall, HedgedCalls};
use crate::freshness::SourceKnowledge;
use crate::ports::{Directory, DirectoryUpdate, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// Pause after an answer that told nothing new: a store that lets no call wait is not asked
/// without end.
const NOTHING_NEW_PAUSE: Duration = Duration::from_millis(50);

/// The directory in logs and metrics.
const SOURCE: &str = "directory";

/// Time between looks at whether entries that vanished are gone: with a pause before the store's return
/// is noticed, 0.4 s, and the time for renewal, 2.2 s, less than the 3 s after which routers are bound again.
const HELD_LOOK: Duration = Duration::from_millis(100);

/// Changes of one kind in one answer that are written one by one. A start reads all entries at once:
/// 632 lines at each of 357 routers.
const LISTED_CHANGES: usize = 24;

/// Follows the directory for ever.
pub async fn follow_directory(
    router: Rc<Router>,
    directory: Rc<dyn Directory>,
    store: Rc<StoreMonitor>,
) {
    let mut follower = DirectoryFollower {
        start: Start::now(&router),
        router,
        store,
        looks: Looks::new(),
        pause: Pause::new(),
    };
    let mut calls = HedgedCalls::starting_in(follower.start.pause());
    loop {
        match follower.event(&mut calls).await {
            CallEvent::Due if follower.start_progress().is_left_to_peers(&follower.looks) => {
                calls.reschedule(follower.start_progress().more_time());
            }
            CallEvent::Due if !follower.goes_on() => calls.reschedule(None),
            CallEvent::Due => follower.ask(directory.as_ref(), &mut calls),
            CallEvent::Answered(news, call) => {
                let told_nothing = news.delta.is_empty();
                let pause = follower.on_answer(news, &call);
                calls.on_answer(&call, told_nothing, pause);
            }
            CallEvent::Failed(error, _) => calls.reschedule(follower.on_failure(error)),
            CallEvent::Late { max_wait, .. } if !max_wait.is_zero() => {
                // Its connection may be dead; whether the store answers, a new one shows.
                follower.look("read_late", &mut calls);
            }
            CallEvent::Late { .. } => calls.reschedule(follower.on_failure(SourceError::TimedOut)),
            CallEvent::GivenUp(call) => {
                log::info!(target: "directory", "read=store ms={} end=\"given up\"", call.transfer.elapsed().as_millis());
            }
        }
    }
}

/// Follows the directory.
struct DirectoryFollower {
    router: Rc<Router>,
    store: Rc<StoreMonitor>,
    looks: Looks,
    pause: Pause,
    start: Start,
}

impl DirectoryFollower {
    /// Time to wait for news in one call. A store that was lost is asked
    /// without a wait, so that its return is noticed at once.
    fn wait(&mut self) -> Duration {
        if self.looks.is_look() || self.store.is_lost() {
            return Duration::ZERO;
        }
        let age = self.router.directory_age().unwrap_or_default();
        wait_for_news(&self.router, &self.router.directory_budget(), age)
    }

    /// Looks at the store beside the calls that are under way.
    fn look(&mut self, cause: &'static str, calls: &mut HedgedCalls<'_, DirectoryUpdate>) {
        log::info!(
            target: "directory",
            "look=true cause={cause} age_ms={} revision={}",
            self.router.directory_age_text(),
            self.router.received_directory_revision.get(),
        );
        self.looks.ask(cause, &self.router);
        calls.schedule(Duration::ZERO);
    }

    /// What is known of the directory.
    fn known(&self) -> &SourceKnowledge {
        &self.router.freshness.directory
    }

    /// Whether the call that is due is to be made.
    fn goes_on(&mut self) -> bool {
        let known = &self.router.freshness.directory;
        self.looks.goes_on(SOURCE, known)
    }

    /// How far peers have come with telling a router that starts.
    fn start_progress(&self) -> StartProgress<'_> {
        StartProgress {
            start: &self.start,
            router: &self.router,
            is_told: self.known().as_of().is_some(),
            peer_knows_more: self.peer_knows_more(),
        }
    }

    fn peer_knows_more(&self) -> bool {
        let peers = self.router.peers.borrow();
        peers
            .with_newer_directory(self.router.directory_revision(), &[])
            .is_some()
    }

    /// Makes a call.
    fn ask<'a>(
        &mut self,
        directory: &'a dyn Directory,
        calls: &mut HedgedCalls<'a, DirectoryUpdate>,
    ) {
        let wait = self.wait();
        let after = self.known().read_at();
        let wait_there = after.map_or(Duration::ZERO, |_| wait);
        self.looks.on_call(SOURCE, wait_there, &self.router);
        let transfer = Transfer::begin();
        let answer = directory.back_ends(after, wait, transfer.clone());
        calls.begin(after, wait_there, transfer, answer);
    }

    /// Awaits what happens next to the calls, and meanwhile takes as gone what was
    /// held long enough.
    async fn event(
        &mut self,
        calls: &mut HedgedCalls<'_, DirectoryUpdate>,
    ) -> CallEvent<DirectoryUpdate> {
        let patience = self.store.patience(self.known().read_at().is_none());
        let budget = self.router.directory_budget();
        loop {
            let watches = !calls.is_idle();
            // A lost store is tried again after pauses of its own.
            let tries_again = watches && self.store.is_lost();
            let may_look = !tries_again && !calls.has_arriving_answer();
            let lateness = self.store.lateness();
            let look = self
                .looks
                .due(&self.router, budget, lateness, self.known(), watches);
            tokio::select! {
                event = calls.next_event(patience) => return event,
                cause = look, if may_look => self.look(cause.as_str(), calls),
                () = self.router.directory_poll_due.notified() => self.look("behind", calls),
                () = self.router.wait_for_resume() => {
                    // What was missing may only have been unable to renew itself, and the call
                    // under way may wait on a connection that is gone.
                    self.store.on_failure(self.router.now(), SourceError::Suspended);
                    calls.schedule(Duration::ZERO);
                }
                () = sleep(HELD_LOOK), if self.holds_any() => self.release_held(),
            }
        }
    }

    /// An answer came. Returns when to ask again, if this router goes on watching.
    fn on_answer(&mut self, news: DirectoryUpdate, call: &EndedCall) -> Option<Duration> {
        let now = self.router.now();
        let router = &self.router;
        let known = &router.freshness.directory;
        let goes_on = self
            .looks
            .on_answer(SOURCE, known, news.answered_at_ms, router);
        let nothing_new = news.delta.is_empty();
        self.pause.reset();
        self.store.on_lateness(call.lateness());
        self.store.on_answer(now);
        self.router.on_contact();
        self.router.store_lost.set(false);
        self.known().note_read(news.revision);
        self.router
            .record_directory_age(call.answer_age(self.store.lateness()), news.answered_at_ms);
        self.take_news(news, now);
        if !goes_on {
            return None;
        }
        if nothing_new {
            return Some(NOTHING_NEW_PAUSE);
        }
        let peers = self.router.peers.borrow();
        let sharing = if peers.any_directory_steady(now) {
            peers.live_count() + 1
        } else {
            1
        };
        Some(update_batching::batch_window(
            sharing,
            &self.router.directory_budget(),
        ))
    }

    /// A call failed, or is late. Returns when to ask again, unless peers tell what is new.
    fn on_failure(&mut self, error: SourceError) -> Option<Duration> {
        if error == SourceError::HistoryGone {
            self.known().forget_read();
            return Some(Duration::ZERO);
        }
        self.store.on_failure(self.router.now(), error);
        self.router.store_lost.set(true);
        if is_informed(&self.router, &self.router.directory_budget(), self.known()) {
            return None;
        }
        Some(self.pause.take(&self.router))
    }

    /// Whether the store answered this router, or some peer, long enough.
    fn is_steady(&self, now: Time) -> bool {
        let answers =
            self.store.is_steady(now) || self.router.peers.borrow().any_directory_steady(now);
        answers && self.router.directory_had_no_gap()
    }

    fn holds_any(&self) -> bool {
        !self.router.pending_removals.borrow().is_empty()
    }

    fn release_held(&self) {
        if !self.is_steady(self.router.now()) {
            return;
        }
        let mut change = DirectoryChange::default();
        let gone = self.router.pending_removals.borrow_mut().take_all();
        let mut back_ends = self.router.back_ends.borrow_mut();
        for departure in gone {
            back_ends.remove(departure, &mut change);
        }
        drop(back_ends);
        report(
            &self.router,
            &change,
            self.router.received_directory_revision.get(),
        );
    }

    fn take_news(&self, news: DirectoryUpdate, now: Time) {
        for id in &news.invalid_rows {
            log::warn!(target: "directory", "back_end={id} taken=false cause=invalid_row");
        }
        let evidence = if self.is_steady(now) {
            RemovalEvidence::StoreSteady
        } else {
            RemovalEvidence::Insufficient
        };
        apply_delta(&self.router, news.delta, news.revision, evidence);
    }
}

/// Takes news of the directory, read as of a revision; without evidence that they are gone,
/// entries that vanished are held.
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
    let mut held = router.pending_removals.borrow_mut();
    let mut gone = delta.gone;
    if delta.whole {
        let missing = back_ends.missing_from(&delta.present, read_at);
        if !missing.is_empty() {
            // What is not listed does not show when it left.
            revision = read_at;
        }
        gone.extend(missing);
        back_ends.on_snapshot(revision);
    }
    let changed = router.received_directory_revision.get().max(revision);
    router.received_directory_revision.set(changed);
    for entry in delta.present {
        held.on_renewed(&entry.id, entry.revision);
        back_ends.upsert(entry, now, &mut change);
    }
    if evidence == RemovalEvidence::Insufficient {
        for departure in &gone {
            log::info!(
                target: "directory",
                "back_end={} now=missing held=true revision={}",
                departure.id,
                departure.revision
            );
        }
    }
    for departure in held.on_missing(gone, evidence) {
        back_ends.remove(departure, &mut change);
    }
    drop(back_ends);
    report(router, &change, revision);
}

fn report(router: &Router, change: &DirectoryChange, revision: u64) {
    let lists = [
        ("joined", &change.joined),
        ("reborn", &change.restarted),
        ("leaving", &change.leaving),
        ("gone", &change.gone),
    ];
    for (word, ids) in lists {
        if ids.len() > LISTED_CHANGES {
            log::info!(target: "directory", "back_ends={} now={word} revision={revision}", ids.len());
            continue;
        }
        for id in ids {
            log::info!(target: "directory", "back_end={id} now={word} revision={revision}");
        }
    }
    router.on_vanished(&change.vanished);
    for id in change.gone.iter().chain(&change.restarted) {
        router.prefix_locations.borrow_mut().forget_back_end(id);
    }
}
