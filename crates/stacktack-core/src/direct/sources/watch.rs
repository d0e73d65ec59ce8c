//! Decides which router of a fleet polls a source.
//!
//! The router that got the last answer watches the source: its next call waits there for an
//! update (long poll), and what it learns is pushed to all routers. The others make no calls as
//! long as they learn of answers in time. When a router has learned nothing newer for longer
//! than the watching router may wait, it takes over after a random delay
//! ([`StalenessBudget::takeover_delay`]); the first one to do so goes on watching. There is no
//! election: when a watching router stops, hangs, is cut off from its peers or is rejected by
//! the source, all others notice at the same time, and two watching routers do no harm.
//!
//! The number of calls of the fleet to one source does not grow with the number of routers.

use std::time::Duration;

use crate::direct::sources::freshness::Freshness;
use crate::direct::sources::staleness_budget::StalenessBudget;
use crate::time::Time;

/// Probability with which a router goes on watching although another one watches too.
const KEEP_WATCHING_PROBABILITY: f64 = 0.5;

/// Reason to poll a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollCause {
    /// The knowledge of the source is stale.
    Stale,
    /// No other router watches, and this router's takeover delay ended first.
    Takeover,
}

impl PollCause {
    /// Fixed text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PollCause::Stale => "old",
            PollCause::Takeover => "turn",
        }
    }
}

/// State from which [`SourceWatch::until_due`] computes when to poll.
#[derive(Clone, Copy, Debug)]
pub struct WatchInputs {
    /// Division of the time in which a change has to take effect.
    pub budget: StalenessBudget,
    /// Age of the knowledge of the source.
    pub freshness: Freshness,
    /// Number of known routers, this one included.
    pub routers: usize,
    /// Lateness of the source's answers.
    pub lateness: Duration,
    /// Whether this router has a call in flight or planned.
    pub watches: bool,
}

/// Schedule of one router's polls of one source.
#[derive(Clone, Debug)]
pub struct SourceWatch {
    /// When the last call that does not wait for an update was made or decided on.
    polled_at: Option<Time>,
    /// Whether any call was made.
    has_asked: bool,
    /// When the source made the last answer to this router, in milliseconds on its own clock.
    own_answer_ms: u64,
    /// Draw for the next takeover delay, uniform in 0..1.
    draw: f64,
}

impl SourceWatch {
    /// Creates the schedule of a router that has made no call yet; `draw` is uniform in 0..1.
    pub fn new(draw: f64) -> Self {
        SourceWatch {
            polled_at: None,
            has_asked: false,
            own_answer_ms: 0,
            draw,
        }
    }

    /// Whether this router has made a call.
    pub fn has_asked(&self) -> bool {
        self.has_asked
    }

    /// When the last call that does not wait for an update was made or decided on.
    pub fn polled_at(&self) -> Option<Time> {
        self.polled_at
    }

    /// Time until the source has to be polled unless newer knowledge arrives before, and the
    /// reason; `None` before the first answer.
    pub fn until_due(&self, inputs: &WatchInputs, now: Time) -> Option<(Duration, PollCause)> {
        let budget = &inputs.budget;
        let age = inputs.freshness.age(now)?;
        let since_poll = self.polled_at.map(|polled_at| now.since(polled_at));
        let until_stale = budget.until_poll(age, since_poll, inputs.lateness);
        if inputs.watches {
            return Some((until_stale, PollCause::Stale));
        }
        let until_takeover = self.until_takeover(inputs, since_poll, now);
        if until_takeover < until_stale {
            Some((until_takeover, PollCause::Takeover))
        } else {
            Some((until_stale, PollCause::Stale))
        }
    }

    fn until_takeover(
        &self,
        inputs: &WatchInputs,
        since_poll: Option<Duration>,
        now: Time,
    ) -> Duration {
        let delay = inputs.budget.takeover_delay(inputs.routers, self.draw) + inputs.lateness;
        let since_learned = inputs.freshness.since_learned(now).unwrap_or_default();
        let age = inputs.freshness.age(now).unwrap_or_default();
        let quiet = since_learned.max(age.saturating_sub(inputs.budget.propagation_time()));
        let until_takeover = delay.saturating_sub(quiet);
        until_takeover.max(
            inputs
                .budget
                .until_poll_allowed(since_poll, inputs.lateness),
        )
    }

    /// Records the decision to poll; `draw` is for the next takeover delay, uniform in 0..1.
    pub fn on_poll(&mut self, draw: f64, now: Time) {
        self.polled_at = Some(now);
        self.draw = draw;
    }

    /// Records a call that may wait at the source for an update for the time `wait`.
    pub fn on_call(&mut self, wait: Duration, now: Time) {
        self.has_asked = true;
        if wait.is_zero() {
            self.polled_at = Some(now);
        }
    }

    /// Records an answer that the source made at `answered_at_ms` on its own clock and that
    /// `freshness` does not include yet; `draw` is uniform in 0..1. Returns whether this router
    /// keeps watching.
    ///
    /// After its first answer a router with peers does not keep watching: the answer only serves
    /// its start, and of many routers that start at once, one takes over later. When routers did
    /// keep watching, about 110 of 357 had read the configuration at the start, and each watched
    /// two or three more times before all but one had stopped.
    pub fn on_answer(
        &mut self,
        freshness: &Freshness,
        answered_at_ms: u64,
        has_peers: bool,
        draw: f64,
    ) -> bool {
        let keeps_watching = self.keeps_watching(freshness, draw);
        self.own_answer_ms = answered_at_ms;
        let is_starting = freshness.as_of().is_none();
        keeps_watching && !(is_starting && has_peers)
    }

    /// Whether this router keeps watching, asked after an answer and again after it has collected
    /// updates; `draw` is uniform in 0..1. If another router got an answer after the last one of
    /// this router, both watch, and one of them is enough.
    pub fn keeps_watching(&self, freshness: &Freshness, draw: f64) -> bool {
        let another_watches = freshness.answered_at_ms() > self.own_answer_ms;
        !another_watches || draw < KEEP_WATCHING_PROBABILITY
    }
}
