//! The retry budget that all routers share.
//!
//! Within any window a pool may receive at most `ratio` times its requests, plus a fixed
//! `extra`, as repeated sends; the requests are those of the window or of the one before it,
//! whichever are more. Routers keep that without knowing of each other: each request
//! earns its router half of the ratio, and what it earned can be spent for one window.
//! Repeats in a window were earned in it or in the one before it, so that they are at most
//! half of the ratio times the requests of both, which is never above the bound: whatever the
//! number of routers, however old they are, whoever is cut off or killed.
//!
//! Nobody spends the extra by design. Divided by the number of routers it was spent up to 4.4
//! times where routers did not know each other yet or any more (330 routers on virtual time,
//! `tests/retry_budget.rs`), and a process that is killed forgets what it spent. It is left
//! for what no router can know: repeats that arrive later than they were sent.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The bound that holds over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBound {
    /// Repeated sends allowed for each request.
    pub ratio: f64,
    /// Repeated sends allowed beside, over all routers.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

/// Share of the ratio that a request earns: the earnings of two windows stay within the bound
/// of one. Three quarters of the ratio, to be spent within a third of the window, keep it
/// too for even traffic, but allow half as many at once: with 2 requests a second at a
/// router and 4 in 100 failing 0.83 of the failures were repeated, 0.89 so.
const EARNED_SHARE: f64 = 0.5;

/// The budget of one pool at one router.
#[derive(Clone, Debug)]
pub struct PoolRetryBudget {
    bound: BudgetBound,
    /// Part of a repeat that is earned already, below one.
    part: f64,
    /// When each repeat that can be spent was earned, the oldest first.
    earned: VecDeque<Time>,
}

impl PoolRetryBudget {
    /// A budget that begins with `part` of a repeat, drawn evenly from 0 to 1. Many routers
    /// with few requests each then earn as much together as one router with all of them.
    pub fn new(bound: BudgetBound, part: f64) -> Self {
        PoolRetryBudget {
            bound,
            part,
            earned: VecDeque::new(),
        }
    }

    /// Takes another bound; what was earned stays.
    pub fn set_bound(&mut self, bound: BudgetBound) {
        self.bound = bound;
    }

    /// Counts a request, which earns a part of a repeat.
    pub fn count_request(&mut self, now: Time) {
        self.expire(now);
        self.part += self.bound.ratio * EARNED_SHARE;
        while self.part >= 1.0 {
            self.part -= 1.0;
            self.earned.push_back(now);
        }
    }

    /// Takes one repeated send; false when nothing is left that was earned within the window.
    pub fn take(&mut self, now: Time) -> bool {
        self.expire(now);
        self.earned.pop_front().is_some()
    }

    /// Repeated sends that can be spent now.
    pub fn available(&self) -> usize {
        self.earned.len()
    }

    fn expire(&mut self, now: Time) {
        let window = self.bound.window;
        while self
            .earned
            .front()
            .is_some_and(|earned| now.since(*earned) >= window)
        {
            self.earned.pop_front();
        }
    }
}
