//! When to poll a source, on the clock of the process.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::sources::staleness_budget::StalenessBudget;
use stacktack_core::direct::sources::watch::{PollCause, SourceWatch, WatchInputs};
use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::freshness::SourceKnowledge;
use crate::router::Router;

/// Long-poll wait of one call, for a router whose knowledge of the source has the given age.
/// Without peers the wait ends before a poll beside the call would be due, so that one response
/// serves for both.
pub(super) fn long_poll_wait(router: &Router, budget: &StalenessBudget, age: Duration) -> Duration {
    if router.peers.borrow().live_count() == 0 {
        budget.wait_without_peers(age)
    } else {
        budget.watch_wait(age, rand::rng().random())
    }
}

/// Whether peers keep this router's knowledge of the source current, so that it need not call the
/// source itself.
pub(super) fn is_updated_by_peers(
    router: &Router,
    budget: &StalenessBudget,
    known: &SourceKnowledge,
) -> bool {
    let since_learned = known.freshness().since_learned(router.now());
    router.peers.borrow().live_count() > 0
        && since_learned.is_some_and(|since| since < budget.watch_period())
}

/// Schedule of one source's polls: calls that ask for the current state without a long-poll wait.
#[derive(Debug)]
pub(super) struct PollSchedule {
    watch: SourceWatch,
    /// Cause of the poll that the next call makes; `None` if the next call is not a poll.
    pending_cause: Option<&'static str>,
    /// Whether this router watches the source, as logged last.
    is_watching: bool,
}

impl PollSchedule {
    /// A schedule before its first poll.
    pub(super) fn new() -> Self {
        PollSchedule {
            watch: SourceWatch::new(rand::rng().random()),
            pending_cause: None,
            is_watching: false,
        }
    }

    /// Resolves with the cause when a poll is due; never while nothing is known of the source.
    /// `watches` is true if this router has a call in flight or planned. The time is computed once:
    /// wait anew when the store monitor reports a change.
    pub(super) async fn due(
        &self,
        router: &Router,
        budget: StalenessBudget,
        known: &SourceKnowledge,
        watches: bool,
    ) -> PollCause {
        loop {
            let inputs = WatchInputs {
                budget,
                freshness: known.freshness(),
                routers: router.peers.borrow().known_routers(),
                lateness: router.store.lateness(),
                watches,
            };
            match self.watch.until_due(&inputs, router.now()) {
                Some((left, cause)) if left.is_zero() => return cause,
                Some((left, _)) => sleep(left).await,
                None => return std::future::pending().await,
            }
        }
    }

    /// Makes the next call a poll with this cause. The call is due now; no further poll is due
    /// until the time between two polls has passed.
    pub(super) fn request_poll(&mut self, cause: &'static str, router: &Router) {
        self.pending_cause = Some(cause);
        self.watch.on_poll(rand::rng().random(), router.now());
    }

    /// Whether a poll was made or decided on since `start`.
    pub(super) fn has_polled_since(&self, start: Time) -> bool {
        self.watch.polled_at().is_some_and(|at| at >= start)
    }

    /// Whether the next call is a poll.
    pub(super) fn is_poll(&self) -> bool {
        self.pending_cause.is_some()
    }

    /// Logs and counts a call to the source that is made now with this long-poll wait.
    pub(super) fn on_call(&mut self, source: &'static str, wait: Duration, router: &Router) {
        let has_asked = self.watch.has_asked();
        let unplanned = if has_asked { "retry" } else { "start" };
        let cause = match self.pending_cause.take() {
            Some(cause) => cause,
            None if wait.is_zero() => unplanned,
            None => "watch",
        };
        router.metrics.count_store_call(source, cause);
        log::info!(target: "store", "source={source} call={cause} wait_ms={}", wait.as_millis());
        self.watch.on_call(wait, router.now());
    }

    /// Whether this router has called the source.
    pub(super) fn has_asked(&self) -> bool {
        self.watch.has_asked()
    }

    /// Handles a response that is not yet recorded in `known`. Returns whether this router keeps
    /// watching the source.
    pub(super) fn on_response(
        &mut self,
        source: &'static str,
        known: &SourceKnowledge,
        answered_at_ms: u64,
        router: &Router,
    ) -> bool {
        let draw = rand::rng().random();
        let has_peers = router.peers.borrow().live_count() > 0;
        let freshness = known.freshness();
        let answered_at_ms = known.own_answered_at_ms(answered_at_ms);
        let keeps_watching = self
            .watch
            .on_answer(&freshness, answered_at_ms, has_peers, draw);
        self.set_watching(source, keeps_watching);
        keeps_watching
    }

    /// Whether the call that is due is to be made: it is a poll, or this router keeps watching.
    pub(super) fn should_call(&mut self, source: &'static str, known: &SourceKnowledge) -> bool {
        let draw = rand::rng().random();
        let should_call = self.is_poll() || self.watch.keeps_watching(&known.freshness(), draw);
        if !should_call {
            self.set_watching(source, false);
        }
        should_call
    }

    fn set_watching(&mut self, source: &'static str, watches: bool) {
        if watches != self.is_watching {
            self.is_watching = watches;
            log::info!(target: "store", "source={source} watches={watches}");
        }
    }
}
