//! The configuration: from which revision to read it, and when.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::looks::{is_informed, wait_for_news, Looks};
use super::pause::Pause;
use super::start::{Start, StartProgress};
use super::store_monitor::StoreMonitor;
use crate::calls::{CallEvent, EndedCall, HedgedCalls};
use crate::freshness::SourceKnowledge;
use crate::ports::{ConfigurationSource, ConfigurationUpdate, SourceError};
use crate::router::Router;
use crate::transfer::Transfer;

/// The configuration in logs and metrics.
const SOURCE: &str = "configuration";

/// Time without an answer after which the configuration is read as it stands, and not
/// what came after the last revision: such news holds every version in between.
const MANY_MISSED: Duration = Duration::from_secs(2);

/// Transfer of several versions after which it is read as it stands too: more have come
/// while it lasted.
const LONG_TRANSFER: Duration = Duration::from_millis(500);

/// Follows the configuration for ever.
pub async fn follow_configuration(
    router: Rc<Router>,
    source: Rc<dyn ConfigurationSource>,
    store: Rc<StoreMonitor>,
) {
    let mut follower = ConfigurationFollower {
        router: router.clone(),
        store: store.clone(),
        history_gone: false,
        silent_since: None,
        behind: false,
        drains_missed: false,
        looks: Looks::new(),
        pause: Pause::new(),
        start: Start::now(&router),
    };
    let mut calls = HedgedCalls::starting_in(follower.start.pause());
    loop {
        let patience = follower.patience();
        let watches = !calls.is_idle();
        // A lost store is tried again after pauses of its own.
        let tries_again = watches && store.is_lost();
        let may_look = !tries_again && !calls.has_arriving_answer();
        let budget = router.configuration_budget();
        let known = &router.freshness.configuration;
        let look = follower
            .looks
            .due(&router, budget, store.lateness(), known, watches);
        let event = tokio::select! {
            event = calls.next_event(patience) => event,
            cause = look, if may_look => {
                follower.look(cause.as_str(), &mut calls);
                continue;
            }
            () = router.configuration_poll_due.notified() => {
                follower.look("behind", &mut calls);
                continue;
            }
            () = router.wait_for_resume() => {
                follower.on_silence(Instant::now());
                calls.schedule(Duration::ZERO);
                continue;
            }
            () = store.returned(), if watches => {
                // A call that waits may have been lost with the outage. One whose
                // answer is arriving goes on: dropped, it would begin at its first byte.
                if !calls.has_arriving_answer() {
                    follower.on_silence(Instant::now());
                    calls.schedule(Duration::ZERO);
                }
                continue;
            }
        };
        match event {
            CallEvent::Due if follower.start_progress().is_left_to_peers(&follower.looks) => {
                calls.reschedule(follower.start_progress().more_time());
            }
            CallEvent::Due if !follower.goes_on() => calls.reschedule(None),
            CallEvent::Due => follower.ask(source.as_ref(), &mut calls),
            CallEvent::Answered(news, call) => {
                let told_nothing = news.is_empty();
                let pause = follower.on_answer(news, &call);
                calls.on_answer(&call, told_nothing, pause);
            }
            CallEvent::Failed(error, call) => calls.reschedule(follower.on_failure(error, &call)),
            CallEvent::Late { transfer, .. } => calls.reschedule(follower.on_late(&transfer)),
            CallEvent::GivenUp(call) => report(&call, "given up"),
        }
    }
}

/// Follows the configuration.
struct ConfigurationFollower {
    router: Rc<Router>,
    store: Rc<StoreMonitor>,
    /// Whether the store has forgotten what came after such revisions.
    history_gone: bool,
    /// Since when the store has not answered, if it should have.
    silent_since: Option<Instant>,
    /// Whether more versions come than are taken one by one.
    behind: bool,
    /// Whether changes were passed over that may hold drains of zones.
    drains_missed: bool,
    looks: Looks,
    pause: Pause,
    start: Start,
}

impl ConfigurationFollower {
    fn patience(&self) -> Duration {
        self.store
            .patience(self.router.configuration_version() == 0)
    }

    /// Revision after which to read; `None` for the configuration as it stands.
    ///
    /// What peers told counts as read: a router that followed them for 7.5 s and then
    /// asked after the last revision that the store had told it got 1.7 MB of versions
    /// older than its own, for 2.7 s on 10 Mbit/s, and four more came meanwhile.
    fn read_after(&self) -> Option<u64> {
        if self.history_gone {
            return None;
        }
        let told = self.known().read_at();
        let in_force = self.router.configuration_revision();
        if in_force > told.unwrap_or(0) {
            return Some(in_force);
        }
        let long_silent = |since: Instant| since.elapsed() >= MANY_MISSED;
        let age = self.router.configuration_age();
        let is_old = age.is_none_or(|age| age >= MANY_MISSED);
        let missed_many = self.behind || (is_old && self.silent_since.is_some_and(long_silent));
        told.filter(|_| !missed_many)
    }

    /// Wait for news in one call.
    fn wait(&self) -> Duration {
        let age = self.router.configuration_age().unwrap_or_default();
        wait_for_news(&self.router, &self.router.configuration_budget(), age)
    }

    /// What is known of the configuration.
    fn known(&self) -> &SourceKnowledge {
        &self.router.freshness.configuration
    }

    /// Whether the call that is due is to be made.
    fn goes_on(&mut self) -> bool {
        let known = &self.router.freshness.configuration;
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
            .with_newer_configuration(self.router.configuration_version(), &[])
            .is_some()
    }

    /// Looks at the store beside the calls that are under way.
    fn look(&mut self, cause: &'static str, calls: &mut HedgedCalls<'_, ConfigurationUpdate>) {
        log::info!(
            target: "configuration",
            "look=true cause={} age_ms={} version={}",
            cause,
            self.router.configuration_age().unwrap_or_default().as_millis(),
            self.router.configuration_version(),
        );
        self.looks.ask(cause, &self.router);
        calls.schedule(Duration::ZERO);
    }

    /// Makes a call. It waits for news only if the last one was answered and it is no look:
    /// whether the store answers at all has to show at once.
    fn ask<'a>(
        &mut self,
        source: &'a dyn ConfigurationSource,
        calls: &mut HedgedCalls<'a, ConfigurationUpdate>,
    ) {
        let after = self.read_after();
        self.drains_missed |= after > self.known().read_at();
        let is_look = self.looks.is_look();
        let wait = match after {
            Some(_) if self.silent_since.is_none() && !is_look => self.wait(),
            _ => Duration::ZERO,
        };
        self.looks.on_call(SOURCE, wait, &self.router);
        let transfer = Transfer::begin();
        let answer = source.configuration(after, wait, transfer.clone());
        calls.begin(after, wait, transfer, answer);
    }

    /// An answer came. Returns when to ask again, if this router goes on watching.
    fn on_answer(&mut self, news: ConfigurationUpdate, call: &EndedCall) -> Option<Duration> {
        let router = &self.router;
        let known = &router.freshness.configuration;
        let goes_on = self
            .looks
            .on_answer(SOURCE, known, news.answered_at_ms, router);
        self.pause.reset();
        self.store.on_lateness(call.lateness());
        self.router.on_contact();
        self.silent_since = None;
        self.history_gone = false;
        self.known().note_read(news.revision);
        self.router.apply_zone_drain_update(&news.zone_drains);
        self.router.apply_rollout_orders(&news.rollouts);
        if news.zone_drains.snapshot_revision.is_some() {
            self.drains_missed = false;
        } else if self.drains_missed {
            self.drains_missed = false;
            self.router.zone_drain_read_due.notify_one();
        }
        self.behind = news.version_count > 1 && call.transfer.arriving_for() >= LONG_TRANSFER;
        if news.version_count > 0 {
            report(call, "taken");
        }
        if news.invalid {
            log::warn!(target: "configuration", "revision={} adopted=false cause=invalid", news.revision);
        }
        if let Some(configuration) = news.configuration {
            self.router.apply_configuration(Arc::new(configuration));
        }
        self.router
            .record_configuration_age(call.answer_age(self.store.lateness()), news.answered_at_ms);
        goes_on.then_some(Duration::ZERO)
    }

    /// A call failed. Returns when to ask again, unless peers tell what is new.
    fn on_failure(&mut self, error: SourceError, call: &EndedCall) -> Option<Duration> {
        report(call, &error.to_string());
        if error == SourceError::HistoryGone {
            self.history_gone = true;
            return Some(Duration::ZERO);
        }
        self.on_silence(Instant::now());
        self.retry()
    }

    /// When to ask again after a call without an answer.
    fn retry(&mut self) -> Option<Duration> {
        if is_informed(
            &self.router,
            &self.router.configuration_budget(),
            self.known(),
        ) {
            return None;
        }
        Some(self.pause.take(&self.router))
    }

    /// The newest call is late; it goes on. Returns when to make another one.
    fn on_late(&mut self, transfer: &Transfer) -> Option<Duration> {
        log::info!(
            target: "configuration",
            "read=store late=true bytes={} ms={}",
            transfer.bytes(),
            transfer.elapsed().as_millis()
        );
        self.on_silence(transfer.last_progress());
        self.retry()
    }

    fn on_silence(&mut self, since: Instant) {
        self.silent_since = self.silent_since.or(Some(since));
    }
}

/// Says how a call for the configuration ended.
fn report(call: &EndedCall, end: &str) {
    log::info!(
        target: "configuration",
        "read=store after={} bytes={} ms={} end=\"{end}\"",
        call.after_revision.unwrap_or(0),
        call.transfer.bytes(),
        call.transfer.elapsed().as_millis(),
    );
}
