//! Gossip between direct routers, within a byte budget.
//!
//! While a gossip round is long, each router relays the loads that back ends recently reported
//! to itself or to other routers, newest first. The age of a load then grows with the logarithm
//! of the number of routers; without relaying, it would grow with the number of routers, as does
//! the time in which one router reaches all others. A datagram also holds the requests that the
//! sender has in flight at back ends without a recent load report. While a round is short, a
//! datagram holds the requests that the sender has in flight at all back ends, and no reported
//! loads. Datagrams further hold the back ends that last read prompt parts, and the revisions
//! that the sender knows. A router that sees a newer revision at a peer fetches it from there.
//! Datagrams may get lost: the receiver's state is then slightly older.

mod bootstrap;
pub mod peer_gossip;
pub mod selection;
pub mod snapshot_transfers;
pub mod source_age;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::direct::back_ends::peer_counts::{PeerCount, PeerCounts};
use crate::direct::peers::bootstrap::{is_initialized, BootstrapPushes};
use crate::direct::peers::peer_gossip::{OwnGossip, PeerGossip, ShortId, ZoneHash};
use crate::time::Time;

/// Minimum time without a datagram after which a peer is no longer live.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Minimum silence timeout in gossip rounds. It applies to fleets so large that the byte budget
/// makes rounds long.
const MIN_SILENCE_ROUNDS: f64 = 3.0;

/// Estimated length of a round below which the round is short: routers then gossip their requests
/// in flight at all back ends.
const MAX_SHORT_ROUND: Duration = Duration::from_millis(700);

/// Assumed bytes of a datagram with all requests in flight from a router, to estimate the length
/// of a round.
const SHORT_ROUND_DATAGRAM_BYTES: f64 = 200.0;

/// Time for which the peak number of live peers is remembered.
const PEAK_RETENTION: Duration = Duration::from_secs(60);

/// Minimum time for which a silent address still receives gossip. Seeds always do.
const MIN_ADDRESS_RETENTION: Duration = Duration::from_secs(30);

/// Minimum number of routers that a fleet is assumed to have.
const MIN_ROUTERS: usize = 4;

/// Maximum number of back ends whose requests in flight are in one datagram.
const MAX_IN_FLIGHT_PER_DATAGRAM: usize = 48;

/// Maximum number of prefix locations in one datagram. Each takes as many bytes as two loads.
const MAX_PREFIX_LOCATIONS_PER_DATAGRAM: usize = 8;

/// Maximum number of prefix locations that wait to be sent.
const MAX_QUEUED_PREFIX_LOCATIONS: usize = 512;

/// Maximum number of router addresses in one datagram.
const MAX_ADDRESSES_PER_DATAGRAM: usize = 1;

/// Maximum number of router addresses in one datagram during [`DISCOVERY_PERIOD`].
const MAX_ADDRESSES_DURING_DISCOVERY: usize = 12;

/// Time after a new address in which further new addresses are expected.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Time without a new address after which the fleet counts as known. When 4 to 200 routers start
/// together, each that considers its fleet known by this rule knows at least nine of ten routers;
/// up to three routers may know fewer.
const DISCOVERY_COMPLETE_AFTER: Duration = Duration::from_secs(2);

/// Minimum time between two removals of silent peers and addresses.
const MIN_CLEANUP_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which it is remembered that a peer stopped serving.
const STOP_RETENTION: Duration = Duration::from_secs(12);

/// Number of positions in the address list at which routers start their rounds, so that they do
/// not all send to the same router at the same time.
const START_POSITIONS: usize = 64;

/// Number of routers that a router pushes changes to at once. Each of them pushes a change on if it
/// is new there: 94 of 100 routers receive it within a number of hops that is logarithmic in the
/// number of routers, the others with the next regular datagrams.
const PUSH_FANOUT: usize = 3;

/// Maximum age of a peer's report that the directory is steady. A router hears three or more peers
/// in this time, however large the fleet is.
const MAX_STATE_AGE: Duration = Duration::from_millis(500);

/// Maximum payload of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

/// Maximum number of bytes that can be saved up, in seconds of the byte budget.
const MAX_BURST_SECONDS: f64 = 1.0;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: u32,
    zone: ZoneHash,
    last_heard: Time,
    configuration_version: u64,
    directory_revision: u64,
    directory_steady: bool,
    serving: bool,
    in_flight: Vec<(ShortId, u16)>,
    bootstrap_pushes: BootstrapPushes,
}

/// Gossip to send to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content of the datagram.
    pub gossip: PeerGossip,
}

/// Known addresses of other routers, the latest gossip of each live one, and the byte budget for
/// gossip to them.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    zone: ZoneHash,
    incarnation: u32,
    bytes_per_second: f64,
    /// Bytes of the budget that may be spent now; negative after an overdraft.
    saved_bytes: f64,
    last_tick: Time,
    /// Moving average of the bytes of a sent datagram, including headers.
    average_datagram_bytes: f64,
    seeds: Vec<SocketAddr>,
    /// Addresses that receive gossip: live peers, seeds, and addresses seen recently.
    addresses: Vec<SocketAddr>,
    /// When an address was last heard from or first learned.
    last_seen: HashMap<SocketAddr, Time>,
    /// When the latest new address was learned.
    last_discovery: Time,
    peers: HashMap<SocketAddr, Peer>,
    prefix_locations: VecDeque<(u64, ShortId)>,
    /// Number of regular datagrams since prefix locations last left the queue, also of those sent
    /// while it was empty. Once it reaches the number of addresses, the prefix locations of the
    /// latest datagram leave the queue, also those that were queued meanwhile and were in fewer
    /// datagrams.
    batch_datagrams: usize,
    /// Index in `addresses` that the latest regular datagram went to; at first a start position
    /// that differs between routers.
    cursor: usize,
    /// Peak number of live peers, and when it was last reached.
    peak_live: (usize, Time),
    /// Peers without a configuration or directory that wait for a bootstrap push.
    uninitialized: Vec<SocketAddr>,
    /// When silent peers and addresses were last removed.
    last_cleanup: Time,
    /// When peers that had been serving reported that they no longer are.
    stopped: HashMap<SocketAddr, Time>,
}

impl Peers {
    /// Creates a state in which only the seeds are known.
    pub fn new(
        own_address: SocketAddr,
        zone: ZoneHash,
        incarnation: u32,
        seeds: &[SocketAddr],
        bytes_per_second: f64,
        now: Time,
    ) -> Self {
        let mut peers = Peers {
            own_address,
            zone,
            incarnation,
            bytes_per_second,
            saved_bytes: bytes_per_second * MAX_BURST_SECONDS,
            last_tick: now,
            average_datagram_bytes: 200.0,
            seeds: Vec::new(),
            addresses: Vec::new(),
            last_seen: HashMap::new(),
            last_discovery: now,
            peers: HashMap::new(),
            prefix_locations: VecDeque::new(),
            batch_datagrams: 0,
            cursor: incarnation as usize % START_POSITIONS,
            peak_live: (0, now),
            uninitialized: Vec::new(),
            last_cleanup: now,
            stopped: HashMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Random number that this router draws at each start.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Replaces the seeds: configured addresses that always receive gossip.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.add_addresses(seeds);
    }

    /// Adds addresses of other routers.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address != self.own_address && !self.last_seen.contains_key(address) {
                self.addresses.push(*address);
                self.last_seen.insert(*address, self.last_tick);
                self.last_discovery = self.last_tick;
            }
        }
    }

    /// Queues for gossip that a back end read a prompt part. A full queue drops its oldest entry.
    pub fn announce_prefix_location(&mut self, part: u64, back_end: ShortId) {
        if self.prefix_locations.len() >= MAX_QUEUED_PREFIX_LOCATIONS {
            self.prefix_locations.pop_front();
        }
        self.prefix_locations.push_back((part, back_end));
    }

    /// Returns the datagrams to send now. All known addresses take turns; the byte budget
    /// determines how many datagrams there are at a time.
    pub fn tick(&mut self, own_gossip: &OwnGossip, now: Time) -> Vec<OutgoingDatagram> {
        self.remove_silent(now);
        let elapsed = now.since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let max_saved = self.bytes_per_second * MAX_BURST_SECONDS;
        self.saved_bytes = (self.saved_bytes + elapsed * self.bytes_per_second).min(max_saved);
        let mut outgoing = Vec::new();
        if self.addresses.is_empty() {
            return outgoing;
        }
        let count = self.affordable_datagrams(0.0).min(self.addresses.len());
        let sent = self
            .prefix_locations
            .len()
            .min(MAX_PREFIX_LOCATIONS_PER_DATAGRAM);
        let prefix_locations: Vec<(u64, ShortId)> =
            self.prefix_locations.iter().take(sent).copied().collect();
        for _ in 0..count {
            self.cursor = (self.cursor + self.stride()) % self.addresses.len();
            outgoing.push(OutgoingDatagram {
                to: self.addresses[self.cursor],
                gossip: self.gossip(own_gossip, prefix_locations.clone(), self.cursor + 1),
            });
        }
        self.batch_datagrams += count;
        if self.batch_datagrams >= self.addresses.len() {
            self.prefix_locations.drain(..sent);
            self.batch_datagrams = 0;
        }
        outgoing
    }

    /// Returns datagrams to send outside the regular rounds: to `PUSH_FANOUT` random addresses if
    /// `has_change` (something changed here), whatever the byte budget; and to uninitialized peers
    /// if this router has a configuration and a directory, as far as the byte budget and a credit
    /// go. The datagrams leave out suspects and prefix locations, which can wait for the regular
    /// rounds, and those to uninitialized peers leave out reported loads.
    ///
    /// A change reaches all routers within a few hops, and so do the loads that go with it. While
    /// back ends renew their directory entries, half of the datagrams are pushes: without loads,
    /// these would use a third of the byte budget.
    pub fn push(
        &mut self,
        own_gossip: &OwnGossip,
        has_change: bool,
        random: &mut impl Rng,
    ) -> Vec<OutgoingDatagram> {
        let own_gossip = OwnGossip {
            suspects: Vec::new(),
            ..own_gossip.clone()
        };
        let mut outgoing = Vec::new();
        if has_change {
            let to = self.addresses.sample(random, PUSH_FANOUT);
            outgoing.extend(to.map(|to| self.push_datagram(*to, &own_gossip, self.cursor + 1)));
        }
        let own_gossip = OwnGossip {
            reported_loads: Vec::new(),
            ..own_gossip
        };
        if is_initialized(own_gossip.configuration, own_gossip.directory) {
            for peer in self.take_uninitialized(random) {
                // Each datagram lists addresses from another random index on, since its receiver
                // adds them to its own list and gossips to them in turn.
                let first = random.random_range(0..self.addresses.len());
                outgoing.push(self.push_datagram(peer, &own_gossip, first));
            }
        }
        outgoing
    }

    fn push_datagram(
        &self,
        to: SocketAddr,
        own_gossip: &OwnGossip,
        first: usize,
    ) -> OutgoingDatagram {
        let gossip = self.gossip(own_gossip, Vec::new(), first);
        OutgoingDatagram { to, gossip }
    }

    /// Number of datagrams that the saved bytes and a credit of bytes pay for.
    fn affordable_datagrams(&self, credit_bytes: f64) -> usize {
        ((self.saved_bytes + credit_bytes) / self.average_datagram_bytes).max(0.0) as usize
    }

    /// Stride through the address list. It is coprime to the length of the list, so that every
    /// address gets its turn, and differs between routers. With a stride of 1 in all routers,
    /// gossip spread more slowly: to reach all of 23 routers it took 1.4 to 2.3 s instead of 0.9 to
    /// 1.5 s, and all of 103 routers more than 4 s instead of 2.2 s, at 5 datagrams a second from
    /// each router.
    fn stride(&self) -> usize {
        let count = self.addresses.len();
        let min_stride = 1 + self.incarnation as usize / START_POSITIONS % count;
        (min_stride..)
            .find(|stride| greatest_common_divisor(*stride, count) == 1)
            .unwrap_or(1)
    }

    /// Builds a datagram with some live addresses, starting at index `first`.
    fn gossip(
        &self,
        own_gossip: &OwnGossip,
        prefix_locations: Vec<(u64, ShortId)>,
        first: usize,
    ) -> PeerGossip {
        let mut in_flight = own_gossip.in_flight.clone();
        in_flight.truncate(MAX_IN_FLIGHT_PER_DATAGRAM);
        let max_addresses = if self.last_tick.since(self.last_discovery) < DISCOVERY_PERIOD {
            MAX_ADDRESSES_DURING_DISCOVERY
        } else {
            MAX_ADDRESSES_PER_DATAGRAM
        };
        let routers = (0..self.addresses.len().min(max_addresses))
            .map(|step| self.addresses[(first + step) % self.addresses.len()])
            .filter(|address| self.peers.contains_key(address))
            .collect();
        PeerGossip {
            from: self.own_address,
            incarnation: self.incarnation,
            zone: self.zone,
            configuration: own_gossip.configuration,
            directory: own_gossip.directory,
            directory_steady: own_gossip.directory_steady,
            serving: own_gossip.serving,
            in_flight,
            reported_loads: own_gossip.reported_loads.clone(),
            prefix_locations,
            suspects: own_gossip.suspects.clone(),
            routers,
            zone_drains: own_gossip.zone_drains.clone(),
        }
    }

    /// Charges a sent datagram of `bytes` to the byte budget.
    pub fn on_sent(&mut self, bytes: usize) {
        let total_bytes = bytes as f64 + HEADER_BYTES;
        self.saved_bytes -= total_bytes;
        self.average_datagram_bytes += 0.1 * (total_bytes - self.average_datagram_bytes);
    }

    /// Applies a peer's gossip. Returns whether the sender was not live here before or has
    /// restarted.
    pub fn receive(&mut self, gossip: &PeerGossip, now: Time) -> bool {
        if gossip.from == self.own_address {
            return false;
        }
        let known = self.peers.get(&gossip.from);
        let joined = known.is_none_or(|known| known.incarnation != gossip.incarnation);
        let bootstrap_pushes = known
            .filter(|_| !joined)
            .map(|known| known.bootstrap_pushes);
        let bootstrap_pushes = bootstrap_pushes.unwrap_or_default();
        self.note_uninitialized(gossip, bootstrap_pushes, now);
        self.note_serving(gossip, now);
        self.peers.insert(
            gossip.from,
            Peer {
                incarnation: gossip.incarnation,
                zone: gossip.zone,
                last_heard: now,
                configuration_version: gossip.configuration,
                directory_revision: gossip.directory,
                directory_steady: gossip.directory_steady,
                serving: gossip.serving,
                in_flight: gossip.in_flight.clone(),
                bootstrap_pushes,
            },
        );
        self.add_addresses(&gossip.routers);
        self.add_addresses(&[gossip.from]);
        self.last_seen.insert(gossip.from, now);
        if self.peers.len() >= self.peak_live.0 {
            self.peak_live = (self.peers.len(), now);
        }
        joined
    }

    fn note_serving(&mut self, gossip: &PeerGossip, now: Time) {
        if gossip.serving {
            self.stopped.remove(&gossip.from);
        } else if self
            .peers
            .get(&gossip.from)
            .is_some_and(|known| known.serving)
        {
            self.stopped.insert(gossip.from, now);
        }
    }

    /// Time in which each known address gets one datagram.
    fn round_duration(&self) -> Duration {
        let bytes = self.addresses.len() as f64 * self.average_datagram_bytes;
        Duration::from_secs_f64(bytes / self.bytes_per_second)
    }

    /// Whether so few addresses are known that gossip of the requests in flight reaches all of them
    /// while it is still fresh. Routers then gossip their requests in flight at all back ends, and
    /// no reported loads.
    pub fn has_short_round(&self) -> bool {
        let bytes = self.addresses.len() as f64 * SHORT_ROUND_DATAGRAM_BYTES;
        bytes / self.bytes_per_second < MAX_SHORT_ROUND.as_secs_f64()
    }

    fn remove_silent(&mut self, now: Time) {
        if now.since(self.last_cleanup) < MIN_CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        let silence_timeout =
            MIN_SILENCE_TIMEOUT.max(self.round_duration().mul_f64(MIN_SILENCE_ROUNDS));
        self.peers
            .retain(|_, peer| now.since(peer.last_heard) < silence_timeout);
        let peers = &self.peers;
        self.uninitialized
            .retain(|address| peers.contains_key(address));
        let (seeds, last_seen) = (&self.seeds, &self.last_seen);
        let retention = silence_timeout.max(MIN_ADDRESS_RETENTION);
        self.addresses.retain(|address| {
            let is_recent = last_seen
                .get(address)
                .is_some_and(|at| now.since(*at) < retention);
            is_recent || seeds.contains(address)
        });
        self.last_seen
            .retain(|address, at| now.since(*at) < retention || seeds.contains(address));
        self.stopped.retain(|_, at| now.since(*at) < STOP_RETENTION);
        if now.since(self.peak_live.1) > PEAK_RETENTION {
            self.peak_live = (self.peers.len(), now);
        }
    }

    /// Estimated number of routers that share the capacity of the store, this one included: the
    /// recent peak number of live peers plus one, at least `MIN_ROUTERS`. It is suitable for
    /// dividing costs, not for limits that have to hold across the fleet. Peers that fell silent
    /// still count for a while: they may be partitioned and still running.
    pub fn active_routers(&self) -> usize {
        (self.peak_live.0 + 1).max(MIN_ROUTERS)
    }

    /// Estimated number of routers, this one included: at least [`Self::active_routers`], and at
    /// least one more than the known addresses, also those that this router has not heard from yet.
    /// 103 routers that start at once know each other's addresses within seconds, long before they
    /// hear each other: with these addresses counted, they read the store 19 instead of 32 times a
    /// second in that time.
    pub fn known_routers(&self) -> usize {
        self.active_routers().max(self.addresses.len() + 1)
    }

    /// Whether most other routers are likely to be known: no new address was learned recently.
    pub fn is_discovery_complete(&self, now: Time) -> bool {
        now.since(self.last_discovery) >= DISCOVERY_COMPLETE_AFTER
    }

    /// Addresses of other routers that receive gossip: live peers, seeds (also those never heard
    /// from) and addresses learned recently. Peers that fell silent stay for half a minute or
    /// longer.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Number of live peers.
    pub fn live_count(&self) -> usize {
        self.peers.len()
    }

    /// Whether fewer than half of the recent peak number of peers are live. State that only the
    /// silent peers know then does not arrive by gossip.
    pub fn lost_most_peers(&self) -> bool {
        self.peers.len() * 2 < self.peak_live.0
    }

    /// Whether any live peer reports that it takes requests.
    pub fn any_serving(&self) -> bool {
        self.peers.values().any(|peer| peer.serving)
    }

    /// When the first of the peers that recently stopped serving reported the stop. That peer is
    /// likely to be the first one back.
    pub fn first_stop_time(&self) -> Option<Time> {
        self.stopped.values().min().copied()
    }

    /// Requests in flight from all live peers, by back end, as far as the latest gossip of each
    /// lists them.
    pub fn in_flight(&self) -> HashMap<ShortId, PeerCounts> {
        let mut counts: HashMap<ShortId, PeerCounts> = HashMap::new();
        for peer in self.peers.values() {
            for (id, requests) in &peer.in_flight {
                counts.entry(*id).or_default().add(PeerCount {
                    requests: f64::from(*requests),
                    at: peer.last_heard,
                    same_zone: peer.zone == self.zone,
                });
            }
        }
        counts
    }

    /// Whether any peer reported within `MAX_STATE_AGE` that the directory is steady, as defined at
    /// [`PeerGossip::directory_steady`].
    pub fn any_directory_steady(&self, now: Time) -> bool {
        self.directory_steady_count(now) > 0
    }

    /// Number of peers that reported within `MAX_STATE_AGE` that the directory is steady, as
    /// defined at [`PeerGossip::directory_steady`].
    pub fn directory_steady_count(&self, now: Time) -> usize {
        let is_recent = |peer: &&Peer| now.since(peer.last_heard) < MAX_STATE_AGE;
        let recent = self.peers.values().filter(is_recent);
        recent.filter(|peer| peer.directory_steady).count()
    }
}

fn greatest_common_divisor(first: usize, second: usize) -> usize {
    if second == 0 {
        first
    } else {
        greatest_common_divisor(second, first % second)
    }
}
