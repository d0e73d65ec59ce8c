//! Share of a pool's requests that the routers of one zone send, and how many of these may prefer the
//! members of that zone.
//!
//! One router prefers its zone by a request or two. Hundreds of them would together leave all requests of
//! a zone to its members, however many these are.

use std::time::Duration;

use crate::time::Time;

/// Time over which requests in flight are averaged: long enough for several counts of each peer.
const AVERAGED_TIME: Duration = Duration::from_secs(10);

/// Number of requests in flight that are assumed beside the counted ones, spread evenly over the
/// routers. They decide while there are few requests.
const ASSUMED_REQUESTS: f64 = 1.0;

/// Requests that the members of a zone may get because they are preferred, as a multiple of their part
/// of the pool.
const MAX_LOCAL_OVERLOAD: f64 = 1.25;

/// Requests in flight at the members of a pool that report no load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Requests of this router.
    pub own: f64,
    /// Requests of the routers of its zone, its own included.
    pub zone: f64,
    /// Requests of all routers.
    pub all: f64,
}

impl ZoneTraffic {
    /// Adds a member, with the requests that peers of the zone and all peers told.
    pub fn add(&mut self, own: f64, from_zone: f64, from_peers: f64) {
        self.own += own;
        self.zone += own + from_zone;
        self.all += own + from_peers;
    }
}

/// Numbers of live routers, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCounts {
    /// Routers in the zone of this one.
    pub zone: usize,
    /// All routers.
    pub all: usize,
}

/// Mean numbers of requests in flight, by the zone of their routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneShare {
    mean: ZoneTraffic,
    at: Time,
}

impl ZoneShare {
    /// Takes the requests in flight at the members of the pool.
    pub fn observe(&mut self, traffic: &ZoneTraffic, now: Time) {
        let elapsed = now.since(self.at).as_secs_f64();
        let kept = (-elapsed / AVERAGED_TIME.as_secs_f64()).exp();
        let mix = |known: f64, target: f64| target + (known - target) * kept;
        self.mean = ZoneTraffic {
            own: mix(self.mean.own, traffic.own),
            zone: mix(self.mean.zone, traffic.zone),
            all: mix(self.mean.all, traffic.all),
        };
        self.at = now;
    }

    /// How the routers of the zone may prefer its members.
    pub fn preference(&self, routers: RouterCounts, member_share: f64) -> ZonePreference {
        let assumed = ASSUMED_REQUESTS / routers.all as f64;
        let own = self.mean.own + assumed;
        let zone = self.mean.zone + assumed * routers.zone as f64;
        let zone_share = zone / (self.mean.all + ASSUMED_REQUESTS);
        ZonePreference {
            zone_share,
            own_part: own / zone,
            local_share: local_share(zone_share, member_share),
        }
    }
}

/// How a router prefers the members of its zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZonePreference {
    /// Share of all requests that the routers of the zone send.
    pub zone_share: f64,
    /// Part of these that this router sends. Its preference is that part of what a single router of
    /// the zone might prefer it by.
    pub own_part: f64,
    /// Share of the requests that may prefer the zone; the others go to any member.
    pub local_share: f64,
}

fn local_share(zone_share: f64, member_share: f64) -> f64 {
    if member_share >= 1.0 {
        return 1.0;
    }
    let wanted = MAX_LOCAL_OVERLOAD * member_share / zone_share;
    ((wanted - member_share) / (1.0 - member_share)).clamp(0.0, 1.0)
}
