//! Which router to ask for what it knows, and where routers stand.

use std::net::{IpAddr, SocketAddr};

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;

use crate::direct::peers::peer_gossip::ZoneHash;
use crate::direct::peers::{Peer, Peers};

impl Peers {
    /// Addresses of this router and of the peers that were heard lately. Others are not handed on:
    /// addresses of routers that are gone would go round for ever.
    pub fn live_routers(&self) -> Vec<SocketAddr> {
        let own = std::iter::once(self.own);
        own.chain(self.heard()).collect()
    }

    fn heard(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let addresses = self.addresses.iter().copied();
        addresses.filter(|address| self.peers.contains_key(address))
    }

    /// A router to ask for all that it has heard: one that everybody knows from the settings, since
    /// routers that start tell these first; any other one after that `failed`.
    pub fn discovery_peer(&self, failed: bool, random: &mut impl Rng) -> Option<SocketAddr> {
        let others = |seed: &&SocketAddr| **seed != self.own;
        let seeds: Vec<SocketAddr> = self.seeds.iter().filter(others).copied().collect();
        let heard = self.heard().choose(random);
        if failed && heard.is_some() {
            return heard;
        }
        seeds.choose(random).copied().or(heard)
    }

    /// Whether a peer is known to stand in the own zone.
    pub fn is_in_own_zone(&self, address: SocketAddr) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.zone == self.zone)
    }

    /// The zone of the router at an address, if that is another one than the own.
    pub fn remote_zone_of(&self, address: IpAddr) -> Option<ZoneHash> {
        let mut peers = self.peers.iter();
        let peer = peers.find(|(peer, _)| peer.ip() == address);
        let zone = peer.map(|(_, peer)| peer.zone);
        zone.filter(|zone| *zone != self.zone)
    }

    /// A peer with a newer configuration than this version; one that is `passed_by` only if there
    /// is no other one.
    pub fn with_newer_configuration(
        &self,
        version: u64,
        passed_by: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.with_newer(version, passed_by, |peer| peer.configuration)
    }

    /// A peer that knows the directory beyond this revision; one that is `passed_by` only if there
    /// is no other one.
    pub fn with_newer_directory(
        &self,
        revision: u64,
        passed_by: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.with_newer(revision, passed_by, |peer| peer.directory)
    }

    /// The peer that knows most beyond `known`; one in the own zone if there is
    /// any, since bytes between zones are dear.
    fn with_newer(
        &self,
        known: u64,
        passed_by: &[SocketAddr],
        of: impl Fn(&Peer) -> u64,
    ) -> Option<SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| of(peer) > known)
            .max_by_key(|(address, peer)| {
                let answers = !passed_by.contains(address);
                (answers, peer.zone == self.zone, of(peer))
            })
            .map(|(address, _)| *address)
    }
}
