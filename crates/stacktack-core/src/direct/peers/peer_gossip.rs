//! Content of the gossip datagrams between routers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::back_ends::zone_drain::ZoneDrain;
use crate::time::Time;

/// Maximum number of reported loads in one datagram, the newest first. With 32 routers and 58 back
/// ends, the median and 95th percentile age of the known loads were 0.42 s and 1.40 s with 16
/// loads, 0.40 s and 1.42 s with 14, 0.39 s and 1.62 s with 10.
pub const MAX_REPORTED_LOADS_PER_DATAGRAM: usize = 14;

/// Unit of the age of a reported load on the wire.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// Short form of a back end's id on the wire. With 1,000 back ends, two of them share one with a
/// probability of 3 in 100; their loads are then mixed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortId(pub [u8; 3]);

impl ShortId {
    /// Short form of the id with this hash.
    pub fn of(id_hash: u64) -> Self {
        let [first, second, third, ..] = id_hash.to_le_bytes();
        ShortId([first, second, third])
    }
}

/// A load that a back end reported, as routers relay it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadGossip {
    /// Back end that reported the load.
    pub back_end: ShortId,
    /// Requests that the back end was running or holding, from all routers.
    pub requests: u16,
    /// Time since the report, in units of [`AGE_UNIT`], rounded down.
    age: u8,
}

impl LoadGossip {
    /// Encodes a load that was reported at `reported_at`; `None` if its age exceeds the wire format
    /// (5.12 s or more).
    pub fn new(back_end: ShortId, requests: u32, reported_at: Time, now: Time) -> Option<Self> {
        let age = now.since(reported_at).as_millis() / AGE_UNIT.as_millis();
        Some(LoadGossip {
            back_end,
            requests: u16::try_from(requests).unwrap_or(u16::MAX),
            age: u8::try_from(age).ok()?,
        })
    }

    /// When the back end reported the load, if the datagram arrived at `now`.
    pub fn reported_at(&self, now: Time) -> Time {
        now - AGE_UNIT * u32::from(self.age)
    }

    /// Time since the report, as of the sending of the datagram.
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }
}

/// A success at a back end that routers suspected, as routers relay it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryGossip {
    /// Back end that served a request.
    pub back_end: ShortId,
    /// Time since the success, in units of [`AGE_UNIT`], rounded up.
    age: u8,
}

impl RecoveryGossip {
    /// Encodes a success at time `at`; `None` if its age exceeds the wire format (5.12 s or more).
    pub fn new(back_end: ShortId, at: Time, now: Time) -> Option<Self> {
        let age = now.since(at).as_millis().div_ceil(AGE_UNIT.as_millis());
        Some(RecoveryGossip {
            back_end,
            age: u8::try_from(age).ok()?,
        })
    }

    /// When the back end served the request, if the datagram arrived at `now`.
    pub fn served_at(&self, now: Time) -> Time {
        now - AGE_UNIT * u32::from(self.age)
    }
}

/// Short form of a zone's name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneHash(u16);

impl ZoneHash {
    /// Short form of this zone name.
    pub fn of(zone: &str) -> Self {
        ZoneHash(xxh3_64(zone.as_bytes()) as u16)
    }
}

/// State that one router gossips to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGossip {
    /// Address of the sender for gossip.
    pub from: SocketAddr,
    /// Random number that the sender draws at each start.
    pub incarnation: u32,
    /// Zone of the sender.
    pub zone: ZoneHash,
    /// Version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// Revision up to which the sender knows the directory; 0 for none.
    pub directory: u64,
    /// Whether the directory is steady: the store answers the sender, all live back ends had time
    /// to renew their entries since the last outage of the store, and answers about the directory
    /// keep coming to the sender or its peers.
    pub directory_steady: bool,
    /// Whether the sender takes requests of callers.
    pub serving: bool,
    /// Requests in flight from the sender, at all back ends while a gossip round is short, else at
    /// those without a recent load report. Back ends that are absent count as having none.
    pub in_flight: Vec<(ShortId, u16)>,
    /// Loads that back ends recently reported to any router; none while a gossip round is short.
    pub reported_loads: Vec<LoadGossip>,
    /// Prompt parts, each with the back end that read it last.
    pub prefix_locations: Vec<(u64, ShortId)>,
    /// Back ends that the sender avoids because it saw them fail.
    pub suspects: Vec<ShortId>,
    /// Addresses of a few other routers.
    pub routers: Vec<SocketAddr>,
    /// Zone drains that were requested or cancelled.
    pub zone_drains: Vec<ZoneDrain>,
}

/// State of this router to put into its gossip.
#[derive(Clone, Debug, Default)]
pub struct OwnGossip {
    /// Version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// Revision up to which the directory is known; 0 for none.
    pub directory: u64,
    /// Whether the directory is steady, as defined at [`PeerGossip::directory_steady`].
    pub directory_steady: bool,
    /// Whether this router takes requests of callers.
    pub serving: bool,
    /// Requests in flight, at all back ends while a gossip round is short, else at those without a
    /// recent load report; the largest counts first.
    pub in_flight: Vec<(ShortId, u16)>,
    /// Recently reported loads, the newest first; none while a gossip round is short.
    pub reported_loads: Vec<LoadGossip>,
    /// Back ends that this router suspects.
    pub suspects: Vec<ShortId>,
    /// Zone drains that were requested or cancelled.
    pub zone_drains: Vec<ZoneDrain>,
}
