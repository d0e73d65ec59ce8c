//! The retry budget, which bounds the retries of all routers together without coordination.
//!
//! Within any window a pool may receive at most `ratio` times its requests, plus a fixed
//! `extra`, as retries. The requests are those of the window or of the window before it,
//! whichever are more. Each request earns its router half of the ratio, and a permit expires one
//! window after it was earned. The retries of a window were therefore earned in that window or in
//! the one before it: they are at most half of the ratio times the requests of both windows, which
//! never exceeds the bound. This holds for any number of routers, whatever their age, and also when
//! routers are partitioned or killed.
//!
//! Routers never spend `extra` on purpose. Dividing it by the number of routers overspent it up to
//! 4.4 times with 330 routers that did not know each other yet or any more, and a process that is
//! killed forgets what it spent. `extra` is reserved for retries that arrive later than they were
//! sent, which no router can observe.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Bound on the retries that a pool receives from all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition, from all routers together.
    pub extra: f64,
    /// Length of the window, and time for which an earned permit can be spent.
    pub window: Duration,
}

/// Share of the ratio that a request earns. With 0.5, the earnings of two windows stay within the
/// bound of one window. Earning three quarters of the ratio, to be spent within a third of the
/// window, also keeps the bound for even traffic, but allows only half as many retries at once:
/// with 2 requests per second at a router, of which 4 in 100 fail, 0.83 of the failures were
/// retried instead of 0.89.
const EARNED_SHARE: f64 = 0.5;

/// Share of the earned permits that trials of back ends in bad health may use. The others are left
/// for requests that fail without being a trial.
const TRIAL_SHARE: f64 = 0.75;

/// A permit that is reserved for the retry of a trial.
#[derive(Debug)]
pub struct ReservedPermit(Time);

/// The retry budget of one pool at one router.
#[derive(Clone, Debug)]
pub struct PoolRetryBudget {
    bound: BudgetBound,
    /// Fraction of the next permit that is already earned, below 1.
    fraction: f64,
    /// When each unspent permit was earned, the oldest first.
    earned: VecDeque<Time>,
    /// Permits that trials of back ends in bad health may still reserve, with a fraction.
    trial_credit: f64,
}

impl PoolRetryBudget {
    /// A budget that starts with a fraction of a permit, drawn uniformly from 0 to 1 by the calling
    /// code. Many routers with few requests each then earn as much together as one router with
    /// all the requests.
    pub fn new(bound: BudgetBound, fraction: f64) -> Self {
        PoolRetryBudget {
            bound,
            fraction,
            earned: VecDeque::new(),
            trial_credit: 0.0,
        }
    }

    /// Replaces the bound; permits already earned remain.
    pub fn set_bound(&mut self, bound: BudgetBound) {
        self.bound = bound;
    }

    /// Counts a request, which earns a fraction of a permit.
    pub fn count_request(&mut self, now: Time) {
        self.expire(now);
        let earned = self.bound.ratio * EARNED_SHARE;
        self.fraction += earned;
        let max_credit = self.earned.len() as f64 + 1.0;
        self.trial_credit = (self.trial_credit + earned * TRIAL_SHARE).min(max_credit);
        while self.fraction >= 1.0 {
            self.fraction -= 1.0;
            self.earned.push_back(now);
        }
    }

    /// Takes the permit for one retry; false if no unexpired permit is available.
    pub fn take(&mut self, now: Time) -> bool {
        self.expire(now);
        self.earned.pop_front().is_some()
    }

    /// Whether a trial may reserve a permit.
    pub fn has_trial_permit(&mut self, now: Time) -> bool {
        self.expire(now);
        self.trial_credit >= 1.0 && !self.earned.is_empty()
    }

    /// Reserves the permit for a retry of a trial, should it fail; `None` if none is available.
    pub fn reserve_for_trial(&mut self, now: Time) -> Option<ReservedPermit> {
        if !self.has_trial_permit(now) {
            return None;
        }
        self.trial_credit -= 1.0;
        self.earned.pop_front().map(ReservedPermit)
    }

    /// Returns the permit of a trial that needs no retry.
    pub fn give_back(&mut self, permit: ReservedPermit) {
        self.trial_credit += 1.0;
        let earlier = self.earned.partition_point(|earned| *earned <= permit.0);
        self.earned.insert(earlier, permit.0);
    }

    /// Spends the permit of a trial that failed; false if it has expired meanwhile.
    pub fn redeem(&self, permit: ReservedPermit, now: Time) -> bool {
        now.since(permit.0) < self.bound.window
    }

    /// Number of available permits. Expired ones count until the next call of
    /// [`count_request`](Self::count_request) or [`take`](Self::take).
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
