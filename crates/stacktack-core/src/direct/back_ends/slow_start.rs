//! Slow start: rate limit for the requests that the fleet sends to a cold back end.
//!
//! A back end that started recently handles a few requests per second; at a much higher rate it
//! fails and restarts. No router knows what the others send at the moment, so the limit holds
//! without coordination: rendezvous hashing of router addresses selects a few routers for each
//! cold back end, and each of them gets an equal share of the rate. A router with a different
//! view of its peers selects slightly differently, for which the rate leaves a margin. A router
//! that does not know its fleet yet assumes the largest possible fleet.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::selector::{matches_all, Labels, Requirement};
use crate::direct::peers::selection::router_rank;
use crate::time::Time;

/// Share of a cold back end's rate that the fleet may use.
const FLEET_RATE_SHARE: f64 = 0.8;

/// Routers selected for a cold back end, for each request per second that it handles. Each of
/// them may have accumulated one permit. Together with [`FLEET_RATE_SHARE`], all of them send at
/// most 1.5 times what the back end handles within any second.
const ROUTERS_PER_REQUEST_RATE: f64 = 0.7;

/// Maximum number of permits (requests) that a router accumulates for a cold back end.
const MAX_PERMITS: f64 = 1.0;

/// Routers in the largest possible fleet. Routers that start at the same time know only their
/// seeds. At six times the usual load, 23 routers that took the seeds for the whole fleet sent
/// a cold back end 56 requests in one second, where 39 make it fail; when they assume the
/// largest fleet, 23 routers send 1 and 330 send 5.
const MAX_ROUTERS: f64 = 330.0;

/// Routers that share the rate of a cold back end, as far as one of them knows.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet<'a> {
    /// Address of the router itself.
    pub own_address: SocketAddr,
    /// Addresses of its peers.
    pub peers: &'a [SocketAddr],
    /// Whether these are likely to be all routers of the fleet.
    pub is_complete: bool,
}

/// Slow start of a pool's members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Label selector of the pool.
    pub back_ends: Vec<Requirement>,
    /// Time after its start for which a member is cold.
    pub duration: Duration,
    /// Requests per second that a cold member handles.
    pub requests_per_second: f64,
}

impl SlowStart {
    /// Returns the first slow start whose selector matches these labels.
    pub fn for_labels<'a>(all: &'a [SlowStart], labels: &Labels) -> Option<&'a SlowStart> {
        all.iter()
            .find(|slow_start| matches_all(&slow_start.back_ends, labels))
    }

    /// Requests per second that one router may send to a cold back end with this id hash.
    pub fn router_rate(&self, fleet: &KnownFleet<'_>, back_end: u64) -> f64 {
        let selected = (self.requests_per_second * ROUTERS_PER_REQUEST_RATE).max(1.0) as usize;
        let own_rank = router_rank(&fleet.own_address, back_end);
        if !fleet.is_complete {
            let expected_before = own_rank as f64 / u64::MAX as f64 * MAX_ROUTERS;
            let is_selected = expected_before < selected as f64;
            return if is_selected {
                self.rate_per_router(selected)
            } else {
                0.0
            };
        }
        let peers = fleet.peers;
        let before = peers
            .iter()
            .filter(|peer| router_rank(peer, back_end) < own_rank)
            .count();
        if before >= selected {
            return 0.0;
        }
        self.rate_per_router(selected.min(peers.len() + 1))
    }

    /// Requests per second of each of `routers` selected routers.
    fn rate_per_router(&self, routers: usize) -> f64 {
        self.requests_per_second * FLEET_RATE_SHARE / routers as f64
    }
}

/// Token bucket for the requests of one router to one cold back end.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimiter {
    until: Time,
    /// Permits (requests) per second.
    rate: f64,
    permits: f64,
    refilled_at: Time,
}

impl SlowStartLimiter {
    /// Creates a limiter that allows no request until its rate is set.
    pub fn new(until: Time, now: Time) -> Self {
        SlowStartLimiter {
            until,
            rate: 0.0,
            permits: MAX_PERMITS,
            refilled_at: now,
        }
    }

    /// Whether the slow start is over.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// End of the slow start.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Extends the slow start to at least `until`.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Sets the requests per second that may be sent.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
    }

    /// Whether one more request may be sent now.
    pub fn allows_request(&self, now: Time) -> bool {
        self.is_over(now) || (self.rate > 0.0 && self.permits_at(now) >= MAX_PERMITS)
    }

    /// Takes a permit for a request that was sent.
    pub fn on_send(&mut self, now: Time) {
        self.refill(now);
        self.permits -= 1.0;
    }

    fn refill(&mut self, now: Time) {
        self.permits = self.permits_at(now);
        self.refilled_at = now;
    }

    fn permits_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.permits + elapsed * self.rate).min(MAX_PERMITS)
    }
}
