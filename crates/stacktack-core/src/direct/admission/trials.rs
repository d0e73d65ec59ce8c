//! Trials: requests that are sent to a back end although it would be passed by on old news.
//!
//! A back end tells its load in its answers only, so that one which all routers pass by tells nothing
//! more. All together send no more on trial than a back end gets in the mean, however much is asked for
//! there: each router's trials have an equal share of that rate, and take the place of requests whose
//! home the back end is.

use std::time::Duration;

use crate::direct::admission::hold_times::HoldTimes;
use crate::direct::admission::pool_load::{LoadReport, PoolLoad};

/// What bounds the trials of one router in a pool.
#[derive(Clone, Copy, Debug)]
pub struct Trials<'a> {
    /// Load of the pool.
    pub pool: &'a PoolLoad,
    /// For how long requests are held there.
    pub holds: &'a HoldTimes,
    /// Routers that send there.
    pub routers: usize,
}

impl Trials<'_> {
    /// Requests a second that the router may send on trial to one back end.
    pub fn per_second(&self) -> f64 {
        let mean_hold = self.holds.mean_seconds().unwrap_or(f64::INFINITY);
        self.pool.mean_between_arrivals() / (mean_hold * self.routers.max(1) as f64)
    }

    /// Probability with which a request is sent to its home on trial, by the time since the router last
    /// had a request with this home; that is certain at the first.
    pub fn chance(&self, since_home_request: Option<Duration>) -> f64 {
        since_home_request.map_or(1.0, |since| {
            (since.as_secs_f64() * self.per_second()).min(1.0)
        })
    }

    /// Requests that a back end told of and holds still: where these alone are too many, none is sent on
    /// trial.
    pub fn held_still(&self, report: &LoadReport) -> f64 {
        self.pool.held_still(report, self.holds)
    }
}
