//! Division of the time between a change at a source and the last decision made without knowing
//! the change.
//!
//! All parts are shares of one bound, and their sum is checked at compile time. Parts that
//! follow from something else each look small, but add up: when the wait of a read followed from
//! the number of routers, the removal of a back end became known after 23 s where 4 s are
//! allowed (103 routers, all reads dead since an outage of the store of one second).

use std::time::Duration;

/// Share of the bound after which knowledge is stale: the source is polled at once, in addition
/// to any read that waits. The time spent collecting updates counts towards this share.
const MAX_AGE_SHARE: f64 = 0.6;

/// Share of the bound for the answer to a poll; without an answer the source is polled once
/// more, on a separate connection.
const ANSWER_SHARE: f64 = 0.2;

/// Share of the bound for what follows: selecting a back end, connecting to it and sending the
/// request.
const ACTION_SHARE: f64 = 0.2;

const _: () = assert!(MAX_AGE_SHARE + ANSWER_SHARE + ACTION_SHARE <= 1.0);

/// Share of the bound for which the router that watches a source waits for an update in one call,
/// and for which it collects updates before the next call.
const WATCH_SHARE: f64 = 0.28;

/// Share of its wait by which jitter may shorten a call.
const WAIT_JITTER: f64 = 0.25;

/// Share of the bound after which another router may take over watching, because nothing came
/// from the one that watched.
const TAKEOVER_SHARE: f64 = 0.37;

/// Share of the bound in which an answer reaches all routers.
const PROPAGATION_SHARE: f64 = 0.07;

/// Share of the bound by which takeover delays are spread for each doubling of the chance that
/// some router has taken over.
const TAKEOVER_SPREAD_SHARE: f64 = 0.04;

/// Number of doublings after which some router has taken over in 999 of 1,000 cases.
const TAKEOVER_DOUBLINGS: f64 = 3.0;

const _: () = assert!(WATCH_SHARE + PROPAGATION_SHARE <= TAKEOVER_SHARE);
const _: () = assert!(
    TAKEOVER_SHARE + TAKEOVER_DOUBLINGS * TAKEOVER_SPREAD_SHARE + PROPAGATION_SHARE
        <= MAX_AGE_SHARE
);

/// Share of the time until a poll is due for which a router without peers waits for an update;
/// the rest is for the answer.
const LONE_WAIT_SHARE: f64 = 0.9;

/// Minimum time between two polls, however small the bound is.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Division of the time in which a change at a source has to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBudget {
    bound: Duration,
}

impl StalenessBudget {
    /// Creates the budget for changes that have to take effect within `bound`.
    pub fn new(bound: Duration) -> Self {
        StalenessBudget { bound }
    }

    /// Age from which knowledge is stale and not relied on.
    pub fn max_age(&self) -> Duration {
        self.bound.mul_f64(MAX_AGE_SHARE)
    }

    /// Time between two answers above which the source itself must have been unavailable:
    /// unanswered polls followed by an answered one take less.
    pub fn gap_threshold(&self) -> Duration {
        self.bound
    }

    /// Whether knowledge of this age shows that some router watches the source and gets answers.
    pub fn is_watched(&self, age: Duration) -> bool {
        age <= self.watch_period() + self.propagation_time()
    }

    /// Time allowed for the answer to a poll.
    pub fn answer_timeout(&self) -> Duration {
        self.bound.mul_f64(ANSWER_SHARE).max(MIN_POLL_INTERVAL)
    }

    /// Longest time for which the watching router waits for an update in one call, and for which
    /// it collects updates.
    pub fn watch_period(&self) -> Duration {
        self.bound.mul_f64(WATCH_SHARE)
    }

    /// Longest time that an answer normally takes to reach all routers.
    pub fn propagation_time(&self) -> Duration {
        self.bound.mul_f64(PROPAGATION_SHARE)
    }

    /// Wait for an update in one call of the watching router, whose knowledge has this age; `draw`
    /// is uniform in 0..1. The time that the router has spent collecting updates is part of the
    /// age and shortens the wait, because the others expect an answer by its end. Waits are
    /// jittered because the same update ends the calls of all watching routers: with equal waits
    /// they would go on in step, and none would notice that another one watches.
    pub fn watch_wait(&self, age: Duration, draw: f64) -> Duration {
        let longest = self.watch_period().mul_f64(1.0 - WAIT_JITTER * draw);
        longest.saturating_sub(age)
    }

    /// Time without an update after which one of `routers` routers takes over watching; `draw` is
    /// uniform in 0..1. Each router draws for itself. The shortest of all delays has the same
    /// distribution for any number of routers, so that one or two take over without an election.
    pub fn takeover_delay(&self, routers: usize, draw: f64) -> Duration {
        let exponential = -(1.0 - draw).ln();
        let doublings = (1.0 + exponential * routers as f64).log2();
        self.bound
            .mul_f64(TAKEOVER_SHARE + TAKEOVER_SPREAD_SHARE * doublings)
    }

    /// Wait for an update in one call of a router without peers, whose knowledge has this age. The
    /// wait ends before a poll is due.
    pub fn wait_without_peers(&self, age: Duration) -> Duration {
        self.max_age().saturating_sub(age).mul_f64(LONE_WAIT_SHARE)
    }

    /// Time until the source has to be polled because the knowledge, of this age, becomes stale.
    /// Polls of a slow source do not pile up, since each of them would transfer the same document
    /// over the same link.
    pub fn until_poll(
        &self,
        age: Duration,
        since_poll: Option<Duration>,
        lateness: Duration,
    ) -> Duration {
        let until_stale = self.max_age().saturating_sub(age);
        until_stale.max(self.until_poll_allowed(since_poll, lateness))
    }

    /// Time until another poll may be made, when the last one was `since_poll` ago and answers
    /// come `lateness` after they are due.
    pub fn until_poll_allowed(&self, since_poll: Option<Duration>, lateness: Duration) -> Duration {
        let interval = self.answer_timeout().max(lateness * 2);
        since_poll.map_or(Duration::ZERO, |since| interval.saturating_sub(since))
    }
}
