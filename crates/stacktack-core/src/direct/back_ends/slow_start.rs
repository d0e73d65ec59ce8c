//! Slow start: what the fleet sends a back end that is cold.
//!
//! A back end that started lately bears a few requests a second; at well above that it
//! fails and starts anew. No router knows what the others send at this moment, so the
//! bound is kept without that: a few routers are chosen for each cold back end, by
//! rendezvous hashing of their addresses, and each has an equal share of the rate. A
//! router that believes in other peers than the rest chooses a little differently; the
//! rate leaves room for that. Nobody is told anything. A router that does not know its fleet
//! yet takes that for as large as a fleet may be.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::selector::{matches_all, Labels, Requirement};
use crate::time::Time;

/// Share of what a cold back end bears that the fleet sends it.
const SENT_SHARE: f64 = 0.8;

/// Routers chosen for a cold back end, as a share of the requests that it bears in a
/// second: each of them may have one request saved up. With both shares all of them
/// send at most 1.5 times what it bears within any second.
const ROUTER_SHARE: f64 = 0.7;

/// Requests that a router may save up for a cold back end.
const MOST_SAVED: f64 = 1.0;

/// Routers in the largest fleet. Routers that start together know their seeds only: taking
/// those for the fleet, 23 of them sent a cold back end 56 requests in a second where 39 make
/// it fail; now they send 1, and 330 send 5 (six times the load, `tests/slow_start.rs`).
const LARGEST_FLEET: f64 = 330.0;

/// The routers that share what a cold back end bears, as far as one of them knows.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet<'a> {
    /// Its own address.
    pub own_address: SocketAddr,
    /// Those of the others.
    pub peers: &'a [SocketAddr],
    /// Whether these are likely to be all.
    pub is_complete: bool,
}

/// What cold members of a pool bear.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Conditions on the labels of the pool's members.
    pub back_ends: Vec<Requirement>,
    /// Time for which a member is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold member bears.
    pub requests_per_second: f64,
}

impl SlowStart {
    /// The slow start that holds for a back end with these labels.
    pub fn for_labels<'a>(all: &'a [SlowStart], labels: &Labels) -> Option<&'a SlowStart> {
        all.iter()
            .find(|slow_start| matches_all(&slow_start.back_ends, labels))
    }

    /// Requests a second that one router may send to a cold back end.
    pub fn router_rate(&self, fleet: &KnownFleet<'_>, back_end: u64) -> f64 {
        let chosen = (self.requests_per_second * ROUTER_SHARE).max(1.0) as usize;
        let rank = |router: &SocketAddr| xxh3_64_with_seed(router.to_string().as_bytes(), back_end);
        let own_rank = rank(&fleet.own_address);
        if !fleet.is_complete {
            let before = own_rank as f64 / u64::MAX as f64 * LARGEST_FLEET;
            let is_chosen = before < chosen as f64;
            return if is_chosen {
                self.share_of(chosen)
            } else {
                0.0
            };
        }
        let peers = fleet.peers;
        let before = peers.iter().filter(|peer| rank(peer) < own_rank).count();
        if before >= chosen {
            return 0.0;
        }
        self.share_of(chosen.min(peers.len() + 1))
    }

    /// Share of each of so many routers.
    fn share_of(&self, routers: usize) -> f64 {
        self.requests_per_second * SENT_SHARE / routers as f64
    }
}

/// What one router may send to one cold back end.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimiter {
    until: Time,
    /// Requests a second.
    rate: f64,
    saved: f64,
    refilled: Time,
}

impl SlowStartLimiter {
    /// A gate that lets nothing through before its rate is set.
    pub fn new(until: Time, now: Time) -> Self {
        SlowStartLimiter {
            until,
            rate: 0.0,
            saved: MOST_SAVED,
            refilled: now,
        }
    }

    /// Whether the back end is cold no longer.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Time up to which the back end is cold.
    pub fn until(&self) -> Time {
        self.until
    }

    /// The back end is cold at least until then.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Sets the requests a second that may be sent.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
    }

    /// Whether one more request may be sent.
    pub fn allows_request(&self, now: Time) -> bool {
        self.is_over(now) || (self.rate > 0.0 && self.saved_at(now) >= MOST_SAVED)
    }

    /// A request was sent.
    pub fn on_send(&mut self, now: Time) {
        self.refill(now);
        self.saved -= 1.0;
    }

    fn refill(&mut self, now: Time) {
        self.saved = self.saved_at(now);
        self.refilled = now;
    }

    fn saved_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.refilled).as_secs_f64();
        (self.saved + elapsed * self.rate).min(MOST_SAVED)
    }
}
