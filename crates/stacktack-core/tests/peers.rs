//! Gossip between routers: byte budget, sums of requests in flight, reach and discovery.

use std::collections::HashSet;
use std::net::SocketAddr;

use stacktack_core::direct::back_ends::peer_counts::PeerCounts;
use stacktack_core::direct::peers::peer_gossip::{OwnGossip, ShortId, ZoneHash};
use stacktack_core::direct::peers::{OutgoingDatagram, Peers};
use stacktack_core::time::Time;

const BYTES_PER_SECOND: f64 = 1600.0;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7300))
}

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn peers(number: u8, seeds: &[u8]) -> Peers {
    let seeds: Vec<_> = seeds.iter().map(|seed| address(*seed)).collect();
    Peers::new(
        address(number),
        ZoneHash::of("zone"),
        u32::from(number),
        &seeds,
        BYTES_PER_SECOND,
        at(0),
    )
}

/// Payload of a datagram in bytes.
fn encoded_bytes(datagram: &OutgoingDatagram) -> usize {
    postcard::to_allocvec(&datagram.gossip)
        .expect("serializes")
        .len()
}

struct Fleet {
    peers: Vec<Peers>,
    sent_bytes: Vec<usize>,
}

impl Fleet {
    /// Creates routers that all know only the first one.
    fn new(count: u8) -> Self {
        Fleet {
            peers: (0..count).map(|number| peers(number, &[0])).collect(),
            sent_bytes: vec![0; usize::from(count)],
        }
    }

    /// Runs one round of all routers. Datagrams arrive at once.
    fn round(&mut self, now: Time, own: &[OwnGossip]) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        for (index, own) in own.iter().enumerate() {
            for datagram in self.peers[index].tick(own, now) {
                let bytes = encoded_bytes(&datagram);
                self.peers[index].on_sent(bytes);
                self.sent_bytes[index] += bytes + HEADER_BYTES;
                let to = self.peers.iter_mut().enumerate();
                for (number, peer) in to {
                    if address(number as u8) == datagram.to {
                        peer.receive(&datagram.gossip, now);
                    }
                }
                datagrams.push(datagram);
            }
        }
        datagrams
    }
}

fn back_end() -> ShortId {
    ShortId([5, 0, 0])
}

fn own(configuration: u64, load: u16) -> OwnGossip {
    OwnGossip {
        configuration,
        directory: configuration,
        directory_steady: true,
        serving: load > 0,
        in_flight: vec![(back_end(), load)],
        reported_loads: Vec::new(),
        suspects: Vec::new(),
        zone_drains: Vec::new(),
    }
}

#[test]
fn loads_of_all_peers_are_summed_and_expire() {
    let mut fleet = Fleet::new(4);
    let gossip: Vec<_> = (0..4).map(|number| own(1, number)).collect();
    for round in 0..20 {
        fleet.round(at(round * 250), &gossip);
    }
    assert_eq!(fleet.peers[0].live_count(), 3);
    let counts = fleet.peers[0].in_flight();
    assert_eq!(counts.get(&back_end()).map(PeerCounts::told), Some(6.0));
    assert!(fleet.peers[0].any_serving());
    fleet.peers[0].tick(&gossip[0], at(60_000));
    assert_eq!(fleet.peers[0].live_count(), 0);
    assert!(fleet.peers[0].in_flight().is_empty());
}

#[test]
fn the_first_peer_that_stopped_is_known_until_it_serves_again() {
    let mut fleet = Fleet::new(4);
    let serving: Vec<_> = (0..4).map(|_| own(1, 1)).collect();
    let mut gossip = serving.clone();
    for round in 0..60 {
        gossip[1] = own(1, u16::from(round < 20));
        gossip[2] = own(1, u16::from(round < 30));
        fleet.round(at(round * 250), &gossip);
        let stopped = fleet.peers[0].first_stop_time();
        assert_eq!(stopped.is_some(), round >= 20, "round {round}: {stopped:?}");
    }
    let first = fleet.peers[0].first_stop_time();
    assert!(first.is_some_and(|time| time < at(30 * 250)), "{first:?}");
    for round in 60..64 {
        fleet.round(at(round * 250), &serving);
    }
    assert_eq!(fleet.peers[0].first_stop_time(), None);
}

#[test]
fn the_byte_budget_holds_for_a_large_fleet() {
    let mut fleet = Fleet::new(60);
    let gossip: Vec<_> = (0..60).map(|_| own(1, 3)).collect();
    let seconds = 40;
    for round in 0..seconds * 4 {
        fleet.round(at(round * 250), &gossip);
    }
    let max_bytes = fleet.sent_bytes.iter().max().copied().unwrap_or(0);
    let allowed = BYTES_PER_SECOND * (seconds + 2) as f64;
    assert!(
        (max_bytes as f64) < allowed,
        "{max_bytes} bytes of {allowed}"
    );
    assert!(fleet.peers.iter().all(|peers| peers.active_routers() > 40));
}

#[test]
fn a_peer_with_a_newer_revision_is_found() {
    let mut fleet = Fleet::new(4);
    let gossip = [own(1, 0), own(1, 0), own(7, 0), own(2, 0)];
    for round in 0..8 {
        fleet.round(at(round * 250), &gossip);
    }
    let first = &fleet.peers[0];
    assert_eq!(first.with_newer_configuration(6, &[]), Some(address(2)));
    assert_eq!(first.with_newer_configuration(7, &[]), None);
    assert_eq!(first.with_newer_directory(6, &[]), Some(address(2)));
    assert_eq!(first.with_newer_directory(7, &[]), None);
    assert!(fleet.peers[0].any_directory_steady(at(7 * 250)));
    // A peer's report that its directory is steady expires soon.
    assert!(!fleet.peers[0].any_directory_steady(at(10_000)));
    assert!(!fleet.peers[0].any_serving());
}

/// The same prefix locations went to the first addresses of a round again and again and never
/// to the others, which showed in prompt tokens that were read again.
#[test]
fn a_prefix_location_reaches_every_peer_and_is_then_dropped() {
    let mut fleet = Fleet::new(6);
    let gossip: Vec<_> = (0..6).map(|_| own(1, 0)).collect();
    for round in 0..40 {
        fleet.round(at(round * 250), &gossip);
    }
    for part in 0..60 {
        fleet.peers[0].announce_prefix_location(part, back_end());
    }
    let mut reached: Vec<HashSet<SocketAddr>> = vec![HashSet::new(); 60];
    for round in 40..120 {
        for datagram in fleet.round(at(round * 250), &gossip) {
            for (part, _) in datagram.gossip.prefix_locations {
                reached[part as usize].insert(datagram.to);
            }
        }
    }
    assert!(reached.iter().all(|peers| peers.len() == 5), "{reached:?}");
    let after = fleet.round(at(30_000), &gossip);
    assert!(after
        .iter()
        .all(|datagram| datagram.gossip.prefix_locations.is_empty()));
}

#[test]
fn silent_peers_still_count_as_active_routers() {
    let mut fleet = Fleet::new(8);
    let gossip: Vec<_> = (0..8).map(|_| own(1, 0)).collect();
    for round in 0..40 {
        fleet.round(at(round * 250), &gossip);
    }
    assert_eq!(fleet.peers[0].active_routers(), 8);
    fleet.peers[0].tick(&gossip[0], at(20_000));
    assert_eq!(fleet.peers[0].live_count(), 0);
    assert_eq!(fleet.peers[0].active_routers(), 8);
    assert!(
        peers(1, &[]).active_routers() > 1,
        "a router does not assume at once that it is alone"
    );
}

#[test]
fn a_restart_of_a_peer_is_reported() {
    let mut first = peers(0, &[]);
    let mut second = peers(1, &[0]);
    let datagram = second.tick(&own(1, 0), at(250)).remove(0);
    assert!(first.receive(&datagram.gossip, at(250)));
    assert!(!first.receive(&datagram.gossip, at(500)));
    let mut restarted = datagram.gossip.clone();
    restarted.incarnation += 1;
    assert!(first.receive(&restarted, at(750)));
}

#[test]
fn addresses_of_silent_peers_are_dropped() {
    let mut fleet = Fleet::new(4);
    let gossip: Vec<_> = (0..4).map(|_| own(1, 0)).collect();
    for round in 0..20 {
        fleet.round(at(round * 250), &gossip);
    }
    let receivers = |fleet: &mut Fleet, from: u64| {
        let mut receivers = HashSet::new();
        for round in 0..12 {
            let datagrams = fleet.peers[1].tick(&gossip[1], at(from + round * 250));
            receivers.extend(datagrams.into_iter().map(|datagram| datagram.to));
        }
        receivers
    };
    assert_eq!(receivers(&mut fleet, 6_000).len(), 3);
    let seed_only = HashSet::from([address(0)]);
    assert_eq!(receivers(&mut fleet, 60_000), seed_only);
}

#[test]
fn a_peer_with_a_newer_revision_in_the_own_zone_is_preferred() {
    let mut first = peers(0, &[]);
    let mut hear = |number: u8, zone: &str, revision: u64| {
        let mut other = Peers::new(
            address(number),
            ZoneHash::of(zone),
            1,
            &[address(0)],
            BYTES_PER_SECOND,
            at(0),
        );
        let datagram = other.tick(&own(revision, 0), at(250)).remove(0);
        first.receive(&datagram.gossip, at(250));
    };
    hear(1, "other", 9);
    hear(2, "zone", 7);
    hear(3, "zone", 8);
    assert_eq!(first.with_newer_directory(5, &[]), Some(address(3)));
    assert_eq!(first.with_newer_directory(8, &[]), Some(address(1)));
    assert_eq!(first.with_newer_directory(9, &[]), None);
}

/// Routers that start together and consider their discovery complete know at least nine of ten
/// routers, except for the few seeds that all others know.
#[test]
fn routers_that_completed_discovery_know_most_of_the_fleet() {
    let seeds = [0, 1, 2].map(address);
    for count in [4u8, 30, 103, 200] {
        let mut fleet = Fleet::new(count);
        for number in 0..count {
            let incarnation = u32::from(number).wrapping_mul(2_654_435_761);
            let zone = ZoneHash::of("zone");
            fleet.peers[usize::from(number)] =
                Peers::new(address(number), zone, incarnation, &seeds, 1800.0, at(0));
        }
        let gossip: Vec<_> = (0..count).map(|_| own(1, 0)).collect();
        for round in 0..150 {
            let now = at(round * 100);
            fleet.round(now, &gossip);
            let knows_too_few =
                |peers: &&Peers| (peers.addresses().len() + 1) * 10 < usize::from(count) * 9;
            let complete = fleet
                .peers
                .iter()
                .filter(|peers| peers.is_discovery_complete(now));
            let too_early = complete.filter(knows_too_few).count();
            assert!(
                too_early <= seeds.len(),
                "{count} routers, {now:?}: {too_early}"
            );
        }
        let complete = fleet
            .peers
            .iter()
            .filter(|peers| peers.is_discovery_complete(at(15_000)));
        println!("routers={count} complete={}", complete.count());
    }
}

/// A router that had no contact with the store while its only peer came and went crashed as soon
/// as it was initialized: the peer still waited for a push, but no address was left.
#[test]
fn an_uninitialized_peer_that_fell_silent_gets_no_push() {
    let mut router = peers(1, &[]);
    let mut uninitialized = peers(2, &[1]);
    let empty = OwnGossip::default();
    for datagram in uninitialized.tick(&empty, at(100)) {
        router.receive(&datagram.gossip, at(100));
    }
    assert!(router.has_uninitialized_peers());
    router.tick(&empty, at(60_000));
    assert!(!router.has_uninitialized_peers());
    let initialized = OwnGossip {
        configuration: 1,
        directory: 1,
        ..OwnGossip::default()
    };
    let mut random = rand::rng();
    assert!(router.push(&initialized, true, &mut random).is_empty());
}
