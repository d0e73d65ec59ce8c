//! Network between simulated routers: some datagrams are lost, the others arrive after a delay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::peers::peer_gossip::{PeerGossip, ZoneHash};
use stacktack_core::direct::peers::{OutgoingDatagram, Peers};
use stacktack_core::time::Time;

/// Time between two rounds of gossip.
pub const INTERVAL: Duration = Duration::from_millis(100);

/// Time that a datagram takes from one router to another.
pub const DELAY: Duration = Duration::from_millis(2);

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.03;

/// Byte budget of a router for its gossip, per second.
const BYTES_PER_SECOND: f64 = 1800.0;

/// Bytes that a datagram carries besides its gossip in a busy fleet.
pub const OTHER_BYTES: usize = 250;

/// Address of the router with the given number.
pub fn address(number: usize) -> SocketAddr {
    let [third, last] = [(number / 250) as u8, (number % 250) as u8 + 1];
    SocketAddr::from(([10, 0, third, last], 7340))
}

/// Number of the router with the given address.
#[allow(
    dead_code,
    reason = "not all tests that share this module look routers up"
)]
pub fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, third, last] = address.ip().octets();
            usize::from(third) * 250 + usize::from(last) - 1
        }
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

/// Gossip state of a router whose seeds are the first three routers of its fleet.
pub fn peers(number: usize, fleet: usize, random: &mut ChaCha8Rng, now: Time) -> Peers {
    let seeds: Vec<SocketAddr> = (0..fleet.min(3)).map(address).collect();
    Peers::new(
        address(number),
        ZoneHash::of("a"),
        random.random(),
        &seeds,
        BYTES_PER_SECOND,
        now,
    )
}

/// Datagrams in flight, each with an attachment of the test.
pub struct Network<T> {
    addresses: HashMap<SocketAddr, usize>,
    in_flight: HashMap<u64, (PeerGossip, T)>,
    sent: u64,
}

impl<T> Network<T> {
    /// Creates a network between a number of routers.
    pub fn new(routers: usize) -> Self {
        Network {
            addresses: (0..routers)
                .map(|number| (address(number), number))
                .collect(),
            in_flight: HashMap::new(),
            sent: 0,
        }
    }

    /// Sends a datagram, which counts as `other_bytes` larger than its gossip. Returns the number
    /// of its receiver and its own number, or `None` if it is lost.
    pub fn send_with(
        &mut self,
        from: &mut Peers,
        outgoing: &OutgoingDatagram,
        attachment: T,
        other_bytes: usize,
        random: &mut ChaCha8Rng,
    ) -> Option<(usize, u64)> {
        let bytes = postcard::to_allocvec(&outgoing.gossip).expect("serializes");
        from.on_sent(bytes.len() + other_bytes);
        if random.random::<f64>() < LOSS {
            return None;
        }
        let gossip = postcard::from_bytes(&bytes).expect("parses");
        self.sent += 1;
        self.in_flight.insert(self.sent, (gossip, attachment));
        Some((self.addresses[&outgoing.to], self.sent))
    }

    /// Takes an arriving datagram out of the network.
    pub fn arrive(&mut self, datagram: u64) -> (PeerGossip, T) {
        self.in_flight.remove(&datagram).expect("is in flight")
    }
}
