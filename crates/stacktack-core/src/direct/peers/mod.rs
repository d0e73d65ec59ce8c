//! News between direct routers, within a byte budget.
//!
//! Each router hands on the loads that back ends told, to itself or to others,
//! newest first: a datagram carries the view of the whole fleet, so that the age
//! of a load grows with the logarithm of the number of routers and not with the
//! time that one router needs to tell all others. Beside it stand what the router
//! itself has in flight at back ends that told nothing of late, where prompt parts
//! were last read, and how new its beliefs are. Whoever sees that a peer knows
//! more fetches it from there. Nothing here has to arrive: a lost datagram only
//! makes a belief a little older.

mod bootstrap;
pub mod peer_gossip;
mod selection;
pub mod snapshot_transfers;
pub mod source_age;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::direct::peers::bootstrap::{knows_both, Welcomes};
use crate::direct::peers::peer_gossip::{OwnGossip, PeerGossip, ShortId, ZoneHash};
use crate::time::Time;

/// Time after which a peer that is not heard counts as gone, at least ...
const SILENT_AFTER: Duration = Duration::from_millis(2500);

/// ... and in rounds, in a fleet so large that the budget makes rounds long.
const SILENT_ROUNDS: f64 = 3.0;

/// Longest round in which routers tell each other all that they have in flight.
const QUICK_ROUND: Duration = Duration::from_millis(700);

/// Bytes of a datagram with all that a router has in flight, for that decision.
const QUICK_DATAGRAM_BYTES: f64 = 200.0;

/// Time for which the largest number of routers seen is remembered.
const REMEMBER_COUNT: Duration = Duration::from_secs(60);

/// Time for which an address that is not heard is still told news; seeds are
/// told for ever.
const KEEP_ADDRESS: Duration = Duration::from_secs(30);

/// Routers that are assumed to be there until more are heard.
const LEAST_ROUTERS: usize = 4;

/// Entries of own loads in one datagram.
const LOADS_PER_DATAGRAM: usize = 48;

/// Places in one datagram. Each takes as many bytes as two loads.
const PLACES_PER_DATAGRAM: usize = 8;

/// Places that wait to be told.
const WAITING_PLACES: usize = 512;

/// Addresses of other routers in one datagram.
const ADDRESSES_PER_DATAGRAM: usize = 1;

/// The same while new addresses are still heard of.
const ADDRESSES_WHILE_LEARNING: usize = 12;

/// Time after a new address for which more may come.
const LEARNING: Duration = Duration::from_secs(3);

/// Time without a new address after which the others are taken to be known. Of 4 to 200
/// routers that start together, those that took the fleet for known so knew nine of ten, but
/// for the three seeds (`tests/peers.rs`).
const KNOWN_AFTER: Duration = Duration::from_secs(2);

/// Time between two looks for peers that are not heard any more.
const FORGET_EVERY: Duration = Duration::from_millis(400);

/// Time for which it is remembered that a peer stopped serving.
const STOP_REMEMBERED: Duration = Duration::from_secs(12);

/// Places in the round that routers begin at, so that they do not all tell the
/// same one at the same time.
const SPREAD: usize = 64;

/// Routers that a router pushes news to at once. Each of them pushes it on when it is news there: 94
/// of 100 routers know it after as many steps as the logarithm of their number, the others hear it with
/// the next datagrams of the rest.
const PUSHED_TO: usize = 3;

/// Age up to which what a peer tells of its source counts: three others or more are heard meanwhile, however
/// large the fleet is.
const STATE_AGE: Duration = Duration::from_millis(500);

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Bytes of the headers around a datagram.
const HEADER_BYTES: f64 = 28.0;

/// Bytes that may be saved up, in seconds of the budget.
const BURST_SECONDS: f64 = 1.0;

#[derive(Clone, Debug)]
struct Peer {
    incarnation: u32,
    zone: ZoneHash,
    heard: Time,
    configuration: u64,
    directory: u64,
    directory_steady: bool,
    serving: bool,
    in_flight: Vec<(ShortId, u16)>,
    welcomes: Welcomes,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// To whom.
    pub to: SocketAddr,
    /// What.
    pub gossip: PeerGossip,
}

/// The other routers as far as known.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    zone: ZoneHash,
    incarnation: u32,
    bytes_per_second: f64,
    saved_bytes: f64,
    last_tick: Time,
    datagram_bytes: f64,
    seeds: Vec<SocketAddr>,
    /// Addresses to tell news to: peers, seeds, and those lately learned.
    addresses: Vec<SocketAddr>,
    /// When an address was last heard or first learned.
    heard_or_learned: HashMap<SocketAddr, Time>,
    /// When an address was last heard of for the first time.
    learned: Time,
    peers: HashMap<SocketAddr, Peer>,
    places: VecDeque<(u64, ShortId)>,
    /// Datagrams that carried the first places that wait; they go once to as
    /// many as there are addresses.
    batch_told_to: usize,
    /// Next address to send to.
    turn: usize,
    peak: (usize, Time),
    /// Peers that know nothing yet, to be told at once.
    newcomers: Vec<SocketAddr>,
    /// When peers and addresses that are not heard were last dropped.
    forgot: Time,
    /// When peers that served said that they do not any more.
    stopped: HashMap<SocketAddr, Time>,
}

impl Peers {
    /// Nobody is known but the seeds.
    pub fn new(
        own: SocketAddr,
        zone: ZoneHash,
        incarnation: u32,
        seeds: &[SocketAddr],
        bytes_per_second: f64,
        now: Time,
    ) -> Self {
        let mut peers = Peers {
            own,
            zone,
            incarnation,
            bytes_per_second,
            saved_bytes: bytes_per_second * BURST_SECONDS,
            last_tick: now,
            datagram_bytes: 200.0,
            seeds: Vec::new(),
            addresses: Vec::new(),
            heard_or_learned: HashMap::new(),
            learned: now,
            peers: HashMap::new(),
            places: VecDeque::new(),
            batch_told_to: 0,
            turn: incarnation as usize % SPREAD,
            peak: (0, now),
            newcomers: Vec::new(),
            forgot: now,
            stopped: HashMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Drawn anew at each start of this router.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Addresses to try beside those known.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.add_addresses(seeds);
    }

    /// Takes addresses of other routers.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if *address != self.own && !self.heard_or_learned.contains_key(address) {
                self.addresses.push(*address);
                self.heard_or_learned.insert(*address, self.last_tick);
                self.learned = self.last_tick;
            }
        }
    }

    /// A prompt part was read by a back end: worth telling.
    pub fn announce_prefix_location(&mut self, part: u64, back_end: ShortId) {
        if self.places.len() >= WAITING_PLACES {
            self.places.pop_front();
        }
        self.places.push_back((part, back_end));
    }

    /// Datagrams to send now, within the budget. Every known address gets its
    /// turn; how many get one at a time follows from the budget.
    pub fn tick(&mut self, own: &OwnGossip, now: Time) -> Vec<OutgoingDatagram> {
        self.forget(now);
        let elapsed = now.since(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let most = self.bytes_per_second * BURST_SECONDS;
        self.saved_bytes = (self.saved_bytes + elapsed * self.bytes_per_second).min(most);
        let mut outgoing = Vec::new();
        if self.addresses.is_empty() {
            return outgoing;
        }
        let count = self.affordable(0.0).min(self.addresses.len());
        let told = self.places.len().min(PLACES_PER_DATAGRAM);
        let places: Vec<(u64, ShortId)> = self.places.iter().take(told).copied().collect();
        for _ in 0..count {
            self.turn = (self.turn + self.step()) % self.addresses.len();
            outgoing.push(OutgoingDatagram {
                to: self.addresses[self.turn],
                gossip: self.gossip(own, places.clone(), self.turn + 1),
            });
        }
        self.batch_told_to += count;
        if self.batch_told_to >= self.addresses.len() {
            self.places.drain(..told);
            self.batch_told_to = 0;
        }
        outgoing
    }

    /// Datagrams to send at once: what is new here goes to a few others (`spread`), and what is
    /// known of both sources to newcomers, as far as the budget goes. They leave out what has time.
    pub fn push(
        &mut self,
        own: &OwnGossip,
        spread: bool,
        random: &mut impl Rng,
    ) -> Vec<OutgoingDatagram> {
        let own = OwnGossip {
            reported_loads: Vec::new(),
            suspects: Vec::new(),
            ..own.clone()
        };
        let mut outgoing = Vec::new();
        if spread {
            let to = self.addresses.sample(random, PUSHED_TO);
            outgoing.extend(to.map(|to| self.to_push(*to, &own, self.turn + 1)));
        }
        if knows_both(own.configuration, own.directory) {
            for newcomer in self.welcome(random) {
                // Drawn: whoever is told tells others.
                let first = random.random_range(0..self.addresses.len());
                outgoing.push(self.to_push(newcomer, &own, first));
            }
        }
        outgoing
    }

    fn to_push(&self, to: SocketAddr, own: &OwnGossip, first: usize) -> OutgoingDatagram {
        let gossip = self.gossip(own, Vec::new(), first);
        OutgoingDatagram { to, gossip }
    }

    /// Datagrams that the bytes saved, and so many more, are enough for.
    fn affordable(&self, more: f64) -> usize {
        ((self.saved_bytes + more) / self.datagram_bytes).max(0.0) as usize
    }

    /// Steps from one address to the next to tell, so that each gets its turn: of its own
    /// for each router. Routers that all told the next one handed news on along a line:
    /// from one to all of 23 routers it took 1.4 to 2.3 s in place of 0.9 to 1.5, to all of
    /// 103 more than 4 s in place of 2.2 (virtual time, 5 datagrams a second each).
    fn step(&self) -> usize {
        let count = self.addresses.len();
        let wanted = 1 + self.incarnation as usize / SPREAD % count;
        (wanted..)
            .find(|step| greatest_common_divisor(*step, count) == 1)
            .unwrap_or(1)
    }

    /// News with some of the addresses from this one on.
    fn gossip(&self, own: &OwnGossip, places: Vec<(u64, ShortId)>, first: usize) -> PeerGossip {
        let mut in_flight = own.in_flight.clone();
        in_flight.truncate(LOADS_PER_DATAGRAM);
        let most = if self.last_tick.since(self.learned) < LEARNING {
            ADDRESSES_WHILE_LEARNING
        } else {
            ADDRESSES_PER_DATAGRAM
        };
        let routers = (0..self.addresses.len().min(most))
            .map(|step| self.addresses[(first + step) % self.addresses.len()])
            .filter(|address| self.peers.contains_key(address))
            .collect();
        PeerGossip {
            from: self.own,
            incarnation: self.incarnation,
            zone: self.zone,
            configuration: own.configuration,
            directory: own.directory,
            directory_steady: own.directory_steady,
            serving: own.serving,
            in_flight,
            reported_loads: own.reported_loads.clone(),
            prefix_locations: places,
            suspects: own.suspects.clone(),
            routers,
            zone_drains: own.zone_drains.clone(),
        }
    }

    /// A datagram of this many bytes was sent.
    pub fn on_sent(&mut self, bytes: usize) {
        let whole = bytes as f64 + HEADER_BYTES;
        self.saved_bytes -= whole;
        self.datagram_bytes += 0.1 * (whole - self.datagram_bytes);
    }

    /// Takes a peer's news. Returns whether the sender is new here.
    pub fn receive(&mut self, news: &PeerGossip, now: Time) -> bool {
        if news.from == self.own {
            return false;
        }
        let known = self.peers.get(&news.from);
        let joined = known.is_none_or(|known| known.incarnation != news.incarnation);
        let welcomes = known.filter(|_| !joined).map(|known| known.welcomes);
        let welcomes = welcomes.unwrap_or_default();
        self.note_newcomer(news, welcomes, now);
        self.note_serving(news, now);
        self.peers.insert(
            news.from,
            Peer {
                incarnation: news.incarnation,
                zone: news.zone,
                heard: now,
                configuration: news.configuration,
                directory: news.directory,
                directory_steady: news.directory_steady,
                serving: news.serving,
                in_flight: news.in_flight.clone(),
                welcomes,
            },
        );
        self.add_addresses(&news.routers);
        self.add_addresses(&[news.from]);
        self.heard_or_learned.insert(news.from, now);
        if self.peers.len() >= self.peak.0 {
            self.peak = (self.peers.len(), now);
        }
        joined
    }

    fn note_serving(&mut self, news: &PeerGossip, now: Time) {
        if news.serving {
            self.stopped.remove(&news.from);
        } else if self
            .peers
            .get(&news.from)
            .is_some_and(|known| known.serving)
        {
            self.stopped.insert(news.from, now);
        }
    }

    /// Time in which each known address is told once.
    fn round(&self) -> Duration {
        let bytes = self.addresses.len() as f64 * self.datagram_bytes;
        Duration::from_secs_f64(bytes / self.bytes_per_second)
    }

    /// Whether so few routers are known that what each counts itself is new to all
    /// the others.
    pub fn has_short_round(&self) -> bool {
        let bytes = self.addresses.len() as f64 * QUICK_DATAGRAM_BYTES;
        bytes / self.bytes_per_second < QUICK_ROUND.as_secs_f64()
    }

    fn forget(&mut self, now: Time) {
        if now.since(self.forgot) < FORGET_EVERY {
            return;
        }
        self.forgot = now;
        let patience = SILENT_AFTER.max(self.round().mul_f64(SILENT_ROUNDS));
        self.peers
            .retain(|_, peer| now.since(peer.heard) < patience);
        let peers = &self.peers;
        self.newcomers.retain(|one| peers.contains_key(one));
        let (seeds, known) = (&self.seeds, &self.heard_or_learned);
        let keep = patience.max(KEEP_ADDRESS);
        self.addresses.retain(|address| {
            let fresh = known.get(address).is_some_and(|at| now.since(*at) < keep);
            fresh || seeds.contains(address)
        });
        self.heard_or_learned
            .retain(|address, at| now.since(*at) < keep || seeds.contains(address));
        self.stopped
            .retain(|_, at| now.since(*at) < STOP_REMEMBERED);
        if now.since(self.peak.1) > REMEMBER_COUNT {
            self.peak = (self.peers.len(), now);
        }
    }

    /// Routers that may be sharing what the store bears, this one with them: an estimate,
    /// fit for costs and for no bound that has to hold over the fleet. Peers that fell
    /// silent still count for a while: they may be cut off and go on.
    pub fn active_routers(&self) -> usize {
        (self.peak.0 + 1).max(LEAST_ROUTERS)
    }

    /// Routers that are known, heard or not yet, this one with them: an estimate as
    /// [`Self::active_routers`] is. 103 routers that all start at once know of each other within seconds, long
    /// before they hear each other: they ask the store 19 in place of 32 times a second
    /// meanwhile (virtual time).
    pub fn known_routers(&self) -> usize {
        self.active_routers().max(self.addresses.len() + 1)
    }

    /// Whether the other routers are likely to be known: no new one was heard of for a while.
    pub fn is_discovery_complete(&self, now: Time) -> bool {
        now.since(self.learned) >= KNOWN_AFTER
    }

    /// Addresses of all routers that are known, this one not among them. Peers that fell
    /// silent stay for half a minute.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Peers that were heard lately.
    pub fn live_count(&self) -> usize {
        self.peers.len()
    }

    /// Whether fewer than half of the peers known lately are heard: what the others know does
    /// not come from them.
    pub fn lost_most_peers(&self) -> bool {
        self.peers.len() * 2 < self.peak.0
    }

    /// Whether some peer takes callers, as far as known.
    pub fn any_serving(&self) -> bool {
        self.peers.values().any(|peer| peer.serving)
    }

    /// When the first of the peers that do not serve said so: it is likely to be the first that is back.
    pub fn first_stopped(&self) -> Option<Time> {
        self.stopped.values().min().copied()
    }

    /// Requests in flight from the peers, by back end.
    pub fn in_flight(&self) -> HashMap<ShortId, u32> {
        let mut sums = HashMap::new();
        for (id, load) in self.peers.values().flat_map(|peer| &peer.in_flight) {
            *sums.entry(*id).or_insert(0) += u32::from(*load);
        }
        sums
    }

    /// Whether some peer told a moment ago that the directory answers steadily.
    pub fn any_directory_steady(&self, now: Time) -> bool {
        self.directory_steady_count(now) > 0
    }

    /// Peers that told a moment ago that the directory answers steadily.
    pub fn directory_steady_count(&self, now: Time) -> usize {
        let told_lately = |peer: &&Peer| now.since(peer.heard) < STATE_AGE;
        let told = self.peers.values().filter(told_lately);
        told.filter(|peer| peer.directory_steady).count()
    }
}

fn greatest_common_divisor(first: usize, second: usize) -> usize {
    if second == 0 {
        first
    } else {
        greatest_common_divisor(second, first % second)
    }
}
