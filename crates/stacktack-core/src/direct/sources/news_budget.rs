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

/// Share of the bound for which news may be gathered before more is asked for: a router that heard
/// a change can open its next read before what it knows is too old.
const GATHER: f64 = 0.5;

const _: () = assert!(GATHER < OLDEST);

/// Share of the time until a look is due for which a router without peers waits for news: the
/// rest is for the answer.
const WAIT_ALONE: f64 = 0.9;

/// Time between two looks at least, however small the bound is set.
const LEAST_BETWEEN_LOOKS: Duration = Duration::from_millis(100);

/// Shares of the time in which a change has to be acted upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsBudget {
    bound: Duration,
}

impl NewsBudget {
    /// For changes that have to be acted upon within this time.
    pub fn new(bound: Duration) -> Self {
        NewsBudget { bound }
    }

    /// Age from which what is known is not relied on.
    pub fn oldest(&self) -> Duration {
        self.bound.mul_f64(OLDEST)
    }

    /// Time for the answer to a look.
    pub fn answer(&self) -> Duration {
        self.bound.mul_f64(ANSWER).max(LEAST_BETWEEN_LOOKS)
    }

    /// Longest time for which news is gathered.
    pub fn gather(&self) -> Duration {
        self.bound.mul_f64(GATHER)
    }

    /// Wait for news of a router that nobody else tells anything, when what is known has an age:
    /// its end comes before a look is due.
    pub fn wait_alone(&self, age: Duration) -> Duration {
        self.oldest().saturating_sub(age).mul_f64(WAIT_ALONE)
    }

    /// Time until the source is to be looked at, when what is known has an age, the last look
    /// was so long ago, and answers come so late. Looks at a slow source do not pile up: each
    /// would carry the same document, and the link with them.
    pub fn until_look(
        &self,
        age: Duration,
        since_look: Option<Duration>,
        lateness: Duration,
    ) -> Duration {
        let until_old = self.oldest().saturating_sub(age);
        let between = self.answer().max(lateness * 2);
        let until_next = since_look.map_or(Duration::ZERO, |since| between.saturating_sub(since));
        until_old.max(until_next)
    }
}
