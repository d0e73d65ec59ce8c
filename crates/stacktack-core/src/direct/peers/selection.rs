//! Selection of the peer to fetch state from, and zones of peers.

use std::net::{IpAddr, SocketAddr};

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::zone_share::RouterCounts;
use crate::direct::peers::peer_gossip::ZoneHash;
use crate::direct::peers::{Peer, Peers};

impl Peers {
    /// Addresses of this router and of its live peers. Other addresses are not passed on, else
    /// routers would forever exchange addresses of routers that are gone.
    pub fn live_routers(&self) -> Vec<SocketAddr> {
        let own = std::iter::once(self.own_address);
        own.chain(self.live_addresses()).collect()
    }

    fn live_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let addresses = self.addresses.iter().copied();
        addresses.filter(|address| self.peers.contains_key(address))
    }

    /// A router to ask for its [`Self::live_routers`]: a seed, since routers that start send gossip
    /// to the seeds first; any live peer if there is no seed or the previous router `has_failed` to
    /// answer.
    pub fn discovery_peer(&self, has_failed: bool, random: &mut impl Rng) -> Option<SocketAddr> {
        let others = |seed: &&SocketAddr| **seed != self.own_address;
        let seeds: Vec<SocketAddr> = self.seeds.iter().filter(others).copied().collect();
        let live = self.live_addresses().choose(random);
        if has_failed && live.is_some() {
            return live;
        }
        seeds.choose(random).copied().or(live)
    }

    /// Whether a live peer with this address is in the zone of this router.
    pub fn is_in_own_zone(&self, address: SocketAddr) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.zone == self.zone)
    }

    /// Numbers of live routers, this one included.
    pub fn router_counts(&self) -> RouterCounts {
        let same_zone = self.peers.values().filter(|peer| peer.zone == self.zone);
        RouterCounts {
            zone: same_zone.count() + 1,
            all: self.peers.len() + 1,
        }
    }

    /// Zone of the live peer at an IP address, if it differs from the zone of this router.
    pub fn remote_zone_of(&self, address: IpAddr) -> Option<ZoneHash> {
        let mut peers = self.peers.iter();
        let peer = peers.find(|(peer, _)| peer.ip() == address);
        let zone = peer.map(|(_, peer)| peer.zone);
        zone.filter(|zone| *zone != self.zone)
    }

    /// A live peer with a newer configuration than `version`; one in `avoid` only if there is no
    /// other.
    pub fn with_newer_configuration(
        &self,
        version: u64,
        avoid: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.with_newer(version, avoid, |peer| peer.configuration_version)
    }

    /// A live peer with a newer directory than `revision`; one in `avoid` only if there is no
    /// other.
    pub fn with_newer_directory(&self, revision: u64, avoid: &[SocketAddr]) -> Option<SocketAddr> {
        self.with_newer(revision, avoid, |peer| peer.directory_revision)
    }

    /// The peer with the highest revision above `known`. Peers outside `avoid` come first, then
    /// peers in the own zone, since traffic between zones is expensive.
    fn with_newer(
        &self,
        known: u64,
        avoid: &[SocketAddr],
        revision_of: impl Fn(&Peer) -> u64,
    ) -> Option<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| revision_of(peer) > known)
            .max_by_key(|(address, peer)| {
                let is_preferred = !avoid.contains(address);
                (is_preferred, peer.zone == self.zone, revision_of(peer))
            })
            .map(|(address, _)| *address)
    }

    /// The first `count` live peers in the rendezvous order of a key. Routers that know the same peers
    /// have the same order, each without itself.
    pub fn keepers(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.live_addresses().collect();
        peers.sort_by_cached_key(|address| router_rank(address, key));
        peers.truncate(count);
        peers
    }
}

/// Rank of a router in the rendezvous order of a key, which begins with the lowest one.
pub fn router_rank(router: &SocketAddr, key: u64) -> u64 {
    xxh3_64_with_seed(router.to_string().as_bytes(), key)
}
