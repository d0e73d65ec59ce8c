//! When to ask a source, on the clock of the process.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::sources::staleness_budget::StalenessBudget;
use stacktack_core::direct::sources::watch::{PollCause, SourceWatch, WatchInputs};
use tokio::time::sleep;

use crate::freshness::SourceKnowledge;
use crate::router::Router;

/// Wait for news in one call about what is known with an age. A router without peers ends its
/// wait before it would have to look beside it: the same answer serves for both.
pub(super) fn wait_for_news(router: &Router, budget: &StalenessBudget, age: Duration) -> Duration {
    if router.peers.borrow().live_count() == 0 {
        budget.wait_without_peers(age)
    } else {
        budget.watch_wait(age, rand::rng().random())
    }
}

/// Whether peers tell what is new at the source, so that this router leaves it to them.
pub(super) fn is_informed(
    router: &Router,
    budget: &StalenessBudget,
    known: &SourceKnowledge,
) -> bool {
    let since_learned = known.freshness().since_learned(router.now());
    router.peers.borrow().live_count() > 0
        && since_learned.is_some_and(|since| since < budget.watch_period())
}

/// When to look at one source.
#[derive(Debug)]
pub(super) struct Looks {
    watch: SourceWatch,
    /// Why the next call is a look, which does not wait for news; `None` if it is none.
    due: Option<&'static str>,
    /// Whether this router went on watching at its last answer.
    watches: bool,
}

impl Looks {
    /// No look yet.
    pub(super) fn new() -> Self {
        Looks {
            watch: SourceWatch::new(rand::rng().random()),
            due: None,
            watches: false,
        }
    }

    /// Resolves when a look is due; never while nothing is known. `watches` says whether this router
    /// has a call under way or planned.
    pub(super) async fn due(
        &self,
        router: &Router,
        budget: StalenessBudget,
        lateness: Duration,
        known: &SourceKnowledge,
        watches: bool,
    ) -> PollCause {
        loop {
            let inputs = WatchInputs {
                budget,
                freshness: known.freshness(),
                routers: router.peers.borrow().known_routers(),
                lateness,
                watches,
            };
            match self.watch.until_due(&inputs, router.now()) {
                Some((left, cause)) if left.is_zero() => return cause,
                Some((left, _)) => sleep(left).await,
                None => return std::future::pending().await,
            }
        }
    }

    /// The next call is a look for a cause; it is due now, and no other one beside it.
    pub(super) fn ask(&mut self, cause: &'static str, router: &Router) {
        self.due = Some(cause);
        self.watch.on_poll(rand::rng().random(), router.now());
    }

    /// Whether the call to make now is a look.
    pub(super) fn is_look(&self) -> bool {
        self.due.is_some()
    }

    /// A call for a source is made that may wait there for news so long.
    pub(super) fn on_call(&mut self, source: &'static str, waits: Duration, router: &Router) {
        let started = self.watch.has_asked();
        let other = if started { "retry" } else { "start" };
        let cause = match self.due.take() {
            Some(cause) => cause,
            None if waits.is_zero() => other,
            None => "watch",
        };
        router.metrics.count_store_call(source, cause);
        log::info!(target: "store", "source={source} call={cause} wait_ms={}", waits.as_millis());
        self.watch.on_call(waits, router.now());
    }

    /// Whether this router has made a call.
    pub(super) fn has_asked(&self) -> bool {
        self.watch.has_asked()
    }

    /// An answer came that is not noted yet. Returns whether this router goes on watching.
    pub(super) fn on_answer(
        &mut self,
        source: &'static str,
        known: &SourceKnowledge,
        told_at: u64,
        router: &Router,
    ) -> bool {
        let draw = rand::rng().random();
        let has_peers = router.peers.borrow().live_count() > 0;
        let freshness = known.freshness();
        let told_at = known.own_told_at(told_at);
        let goes_on = self.watch.on_answer(&freshness, told_at, has_peers, draw);
        self.note_watching(source, goes_on);
        goes_on
    }

    /// Whether the call that is due now is to be made: a look, or the next one of a router that watches.
    pub(super) fn goes_on(&mut self, source: &'static str, known: &SourceKnowledge) -> bool {
        let draw = rand::rng().random();
        let goes_on = self.is_look() || self.watch.keeps_watching(&known.freshness(), draw);
        if !goes_on {
            self.note_watching(source, false);
        }
        goes_on
    }

    fn note_watching(&mut self, source: &'static str, watches: bool) {
        if watches != self.watches {
            self.watches = watches;
            log::info!(target: "store", "source={source} watches={watches}");
        }
    }
}
