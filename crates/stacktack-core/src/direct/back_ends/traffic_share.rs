//! This router's share of the requests of all routers to a pool.
//!
//! Callers may be connected to few routers of a fleet, so that the share of a router is anything
//! from none to all. It follows from the loads that back ends report: these tell the requests of all
//! routers, and are relayed, so that they are as recent in a large fleet as in a small one.

use std::time::Duration;

use crate::time::Time;

/// Time over which requests in flight are averaged: those of one router are few.
const AVERAGED_TIME: Duration = Duration::from_secs(1);

/// Number of requests in flight that are assumed beside the counted ones, spread evenly over the
/// routers. They decide while there is no request.
const ASSUMED_REQUESTS: f64 = 1.0;

/// Requests in flight at the members of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolInFlight {
    /// Requests of this router at members whose load is known.
    pub own: f64,
    /// Requests of the other routers there.
    pub from_peers: f64,
    /// Requests of this router at members whose load is not known. The other routers are assumed to
    /// have as many there as this one.
    pub own_at_unknown: f64,
}

impl PoolInFlight {
    /// Adds a member, with the requests of other routers there if they are known.
    pub fn add(&mut self, own: f64, from_peers: Option<f64>) {
        match from_peers {
            Some(from_peers) => {
                self.own += own;
                self.from_peers += from_peers;
            }
            None => self.own_at_unknown += own,
        }
    }

    /// Approaches other counts; from 0 to 1, `kept` is what is kept of these.
    fn approach(&mut self, target: &PoolInFlight, kept: f64) {
        let mix = |known: f64, target: f64| target + (known - target) * kept;
        self.own = mix(self.own, target.own);
        self.from_peers = mix(self.from_peers, target.from_peers);
        self.own_at_unknown = mix(self.own_at_unknown, target.own_at_unknown);
    }
}

/// Mean numbers of requests in flight at the members of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficShare {
    mean: PoolInFlight,
    at: Time,
}

impl TrafficShare {
    /// Takes the requests in flight at the members of the pool.
    pub fn observe(&mut self, in_flight: &PoolInFlight, now: Time) {
        let elapsed = now.since(self.at).as_secs_f64();
        let kept = (-elapsed / AVERAGED_TIME.as_secs_f64()).exp();
        self.mean.approach(in_flight, kept);
        self.at = now;
    }

    /// The share, above 0 and at most 1, in a fleet of this many routers.
    pub fn share(&self, routers: usize) -> f64 {
        self.own(routers) / self.all(routers)
    }

    fn own(&self, routers: usize) -> f64 {
        self.mean.own + self.mean.own_at_unknown + ASSUMED_REQUESTS / routers.max(1) as f64
    }

    fn all(&self, routers: usize) -> f64 {
        let at_known = self.mean.own + self.mean.from_peers;
        at_known + self.mean.own_at_unknown * routers.max(1) as f64 + ASSUMED_REQUESTS
    }

    /// Number of routers that would send all requests to the pool if each of them sent as many as this
    /// one surely does, its requests less their standard deviation, in a fleet of this many routers:
    /// from 1 to that number.
    pub fn equal_senders(&self, routers: usize) -> usize {
        let own = self.own(routers);
        let sure_own = (own - own.sqrt()).max(f64::MIN_POSITIVE);
        let senders = (self.all(routers) / sure_own).round() as usize;
        senders.clamp(1, routers.max(1))
    }
}
