//! Which of many routers asks a source.
//!
//! The router that got the last answer watches the source: its next call waits there for news, and
//! what it learns is pushed to all. The others ask nothing while they learn in time. Once nothing newer
//! was learned for longer than the watching router may wait, each draws its turn
//! ([`StalenessBudget::takeover_delay`]), and whoever comes first goes on. Nobody is chosen: a router that watches and
//! ends, stands still, is cut off from peers or turned away by the source is missed by all at once, and
//! two that watch do no harm.
//!
//! Calls of the fleet to one source do not grow with the number of routers.

use std::time::Duration;

use crate::direct::sources::freshness::Freshness;
use crate::direct::sources::staleness_budget::StalenessBudget;
use crate::time::Time;

/// Chance with which a router goes on watching though another one watches too.
const GOES_ON: f64 = 0.5;

/// Why a source is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollCause {
    /// What is known is too old to be relied on.
    Stale,
    /// Nobody else watches, and this router's turn came first.
    Takeover,
}

impl PollCause {
    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PollCause::Stale => "old",
            PollCause::Takeover => "turn",
        }
    }
}

/// What a turn depends on.
#[derive(Clone, Copy, Debug)]
pub struct WatchInputs {
    /// Shares of the time in which news has to be acted upon.
    pub budget: StalenessBudget,
    /// How new what is known is.
    pub freshness: Freshness,
    /// Routers that are known, this one among them.
    pub routers: usize,
    /// How late answers of the source come.
    pub lateness: Duration,
    /// Whether this router has a call under way or planned.
    pub watches: bool,
}

/// When one router asks one source.
#[derive(Clone, Debug)]
pub struct SourceWatch {
    /// When the last call was made, or decided on, that did not wait for news.
    looked: Option<Time>,
    /// Whether a call was made.
    has_asked: bool,
    /// When the last own answer was made, on the clock of the source.
    own_answer: u64,
    /// Draw for the next turn, even in 0..1.
    draw: f64,
}

impl SourceWatch {
    /// No call yet.
    pub fn new(draw: f64) -> Self {
        SourceWatch {
            looked: None,
            has_asked: false,
            own_answer: 0,
            draw,
        }
    }

    /// Whether this router has made a call.
    pub fn has_asked(&self) -> bool {
        self.has_asked
    }

    /// Time until the source is to be looked at if nothing newer is learned before, and why;
    /// `None` while nothing is known.
    pub fn until_due(&self, inputs: &WatchInputs, now: Time) -> Option<(Duration, PollCause)> {
        let budget = &inputs.budget;
        let age = inputs.freshness.age(now)?;
        let since_look = self.looked.map(|looked| now.since(looked));
        let until_old = budget.until_poll(age, since_look, inputs.lateness);
        if inputs.watches {
            return Some((until_old, PollCause::Stale));
        }
        let until_turn = self.until_turn(inputs, since_look, now);
        if until_turn < until_old {
            Some((until_turn, PollCause::Takeover))
        } else {
            Some((until_old, PollCause::Stale))
        }
    }

    fn until_turn(
        &self,
        inputs: &WatchInputs,
        since_look: Option<Duration>,
        now: Time,
    ) -> Duration {
        let turn = inputs.budget.takeover_delay(inputs.routers, self.draw) + inputs.lateness;
        let since_learned = inputs.freshness.since_learned(now).unwrap_or_default();
        let age = inputs.freshness.age(now).unwrap_or_default();
        let quiet = since_learned.max(age.saturating_sub(inputs.budget.propagation_time()));
        let until_turn = turn.saturating_sub(quiet);
        until_turn.max(
            inputs
                .budget
                .until_poll_allowed(since_look, inputs.lateness),
        )
    }

    /// A look is decided on; `draw` is for the next turn.
    pub fn on_poll(&mut self, draw: f64, now: Time) {
        self.looked = Some(now);
        self.draw = draw;
    }

    /// A call is made that may wait there for news so long.
    pub fn on_call(&mut self, waits: Duration, now: Time) {
        self.has_asked = true;
        if waits.is_zero() {
            self.looked = Some(now);
        }
    }

    /// An answer came, made at `told_at`, that is not noted in `freshness` yet. Returns whether this router goes on
    /// watching.
    ///
    /// The first answer that a router gets beside others only serves its start: of many that start at once
    /// one takes its turn then. Of 357 some 110 had read the configuration, and each watched two or
    /// three times more before all but one had stopped.
    pub fn on_answer(
        &mut self,
        freshness: &Freshness,
        told_at: u64,
        has_peers: bool,
        draw: f64,
    ) -> bool {
        let goes_on = self.keeps_watching(freshness, draw);
        self.own_answer = told_at;
        let starts = freshness.as_of().is_none();
        goes_on && !(starts && has_peers)
    }

    /// Whether this router goes on, after an answer and after it has gathered news. Where another one got an
    /// answer after this router's last one, both watch; of two one is enough.
    pub fn keeps_watching(&self, freshness: &Freshness, draw: f64) -> bool {
        let another_watches = freshness.answered_at_ms() > self.own_answer;
        !another_watches || draw < GOES_ON
    }
}
