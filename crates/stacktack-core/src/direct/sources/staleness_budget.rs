//! How the time between a change at a source and the last decision that does not know it is
//! shared out.
//!
//! All parts are shares of one bound, and their sum is checked here. Parts that follow from
//! something else, as the wait of a read from the number of routers, each look small: with such a
//! wait a departure was known after 23 s where 4 s are allowed (103 routers, all reads dead since
//! one second without a store).

use std::time::Duration;

/// Share after which what is known is too old to be relied on: the source is asked at once,
/// beside whatever read waits. Gathering news counts here too.
const OLDEST: f64 = 0.6;

/// Share for an answer to that; without one the source is asked once more, on a connection of
/// its own.
const ANSWER: f64 = 0.2;

/// Share for what follows: the choice, a connection to the back end, the way there.
const ACT: f64 = 0.2;

const _: () = assert!(OLDEST + ANSWER + ACT <= 1.0);

/// Share for which the router that watches a source waits there for news in one call, and for which
/// it gathers news before it asks for more.
const WATCH: f64 = 0.28;

/// Share of its wait by which a call may be shorter.
const WAIT_SPREAD: f64 = 0.25;

/// Share after which another router takes its turn to watch: nothing came from the one that did.
const TURN: f64 = 0.37;

/// Share in which an answer reaches all routers.
const SPREAD: f64 = 0.07;

/// Share by which turns are spread for each doubling of the chance that some router has begun.
const TURN_SPREAD: f64 = 0.04;

/// Doublings after which some router has begun in 999 of 1,000 cases.
const TURN_DOUBLINGS: f64 = 3.0;

const _: () = assert!(WATCH + SPREAD <= TURN);
const _: () = assert!(TURN + TURN_DOUBLINGS * TURN_SPREAD + SPREAD <= OLDEST);

/// Share of the time until a look is due for which a router without peers waits for news: the
/// rest is for the answer.
const WAIT_ALONE: f64 = 0.9;

/// Time between two looks at least, however small the bound is set.
const LEAST_BETWEEN_LOOKS: Duration = Duration::from_millis(100);

/// Shares of the time in which a change has to be acted upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBudget {
    bound: Duration,
}

impl StalenessBudget {
    /// For changes that have to be acted upon within this time.
    pub fn new(bound: Duration) -> Self {
        StalenessBudget { bound }
    }

    /// Age from which what is known is not relied on.
    pub fn max_age(&self) -> Duration {
        self.bound.mul_f64(OLDEST)
    }

    /// Time without any answer from which the source itself was away: looks that are not answered, and
    /// one that is, take less.
    pub fn gap_threshold(&self) -> Duration {
        self.bound
    }

    /// Whether knowledge of an age shows that some router gets answers: the one that watches is not missed.
    pub fn is_watched(&self, age: Duration) -> bool {
        age <= self.watch_period() + self.propagation_time()
    }

    /// Time for the answer to a look.
    pub fn answer_timeout(&self) -> Duration {
        self.bound.mul_f64(ANSWER).max(LEAST_BETWEEN_LOOKS)
    }

    /// Longest time for which the router that watches waits for news in one call, and gathers news.
    pub fn watch_period(&self) -> Duration {
        self.bound.mul_f64(WATCH)
    }

    /// Longest time in which an answer reaches all routers, as a rule.
    pub fn propagation_time(&self) -> Duration {
        self.bound.mul_f64(SPREAD)
    }

    /// Wait for news in one call of the router that watches, when what is known has an age; `draw` is
    /// even in 0..1. What it gathered before counts: it answers to the others by the end of the
    /// wait. The same news ends the calls of all that watch: with equal waits they would go on in step,
    /// and none would see that another one watches.
    pub fn watch_wait(&self, age: Duration, draw: f64) -> Duration {
        let longest = self.watch_period().mul_f64(1.0 - WAIT_SPREAD * draw);
        longest.saturating_sub(age)
    }

    /// Time without news after which one of so many routers takes its turn to watch; `draw` is
    /// even in 0..1. Each router draws for itself. The first of all draws has the same distribution
    /// whatever the number of routers, so that one or two begin, and nobody has to be chosen.
    pub fn takeover_delay(&self, routers: usize, draw: f64) -> Duration {
        let exponential = -(1.0 - draw).ln();
        let doublings = (1.0 + exponential * routers as f64).log2();
        self.bound.mul_f64(TURN + TURN_SPREAD * doublings)
    }

    /// Wait for news of a router that nobody else tells anything, when what is known has an age:
    /// its end comes before a look is due.
    pub fn wait_without_peers(&self, age: Duration) -> Duration {
        self.max_age().saturating_sub(age).mul_f64(WAIT_ALONE)
    }

    /// Time until the source is to be looked at, when what is known has an age, the last look
    /// was so long ago, and answers come so late. Looks at a slow source do not pile up: each
    /// would carry the same document, and the link with them.
    pub fn until_poll(
        &self,
        age: Duration,
        since_look: Option<Duration>,
        lateness: Duration,
    ) -> Duration {
        let until_old = self.max_age().saturating_sub(age);
        until_old.max(self.until_poll_allowed(since_look, lateness))
    }

    /// Time until another look may be made, when the last one was so long ago and answers come so
    /// late.
    pub fn until_poll_allowed(&self, since_look: Option<Duration>, lateness: Duration) -> Duration {
        let between = self.answer_timeout().max(lateness * 2);
        since_look.map_or(Duration::ZERO, |since| between.saturating_sub(since))
    }
}
