//! Datagrams between routers on virtual time: some are lost, the others take a moment.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::peers::peer_gossip::{PeerGossip, ZoneHash};
use stacktack_core::direct::peers::{OutgoingDatagram, Peers};
use stacktack_core::time::Time;

/// Time between rounds of news.
pub const INTERVAL: Duration = Duration::from_millis(100);

/// One way between two routers.
pub const DELAY: Duration = Duration::from_millis(2);

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.03;

/// Bytes of news that a router sends in a second.
const BYTES_PER_SECOND: f64 = 1800.0;

/// What else a datagram carries in a busy fleet, in bytes.
pub const OTHER_BYTES: usize = 250;

/// Address of a router by its number.
pub fn address(number: usize) -> SocketAddr {
    let [third, last] = [(number / 250) as u8, (number % 250) as u8 + 1];
    SocketAddr::from(([10, 0, third, last], 7340))
}

/// Number of the router with an address.
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
        SocketAddr::V6(_) => unreachable!("addresses here are of the fourth version"),
    }
}

/// The peers of a router that knows the first three routers of a fleet.
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

/// Datagrams under way, each with something beside its news.
pub struct Network<T> {
    addresses: HashMap<SocketAddr, usize>,
    under_way: HashMap<u64, (PeerGossip, T)>,
    sent: u64,
}

impl<T> Network<T> {
    /// Between so many routers.
    pub fn new(routers: usize) -> Self {
        Network {
            addresses: (0..routers)
                .map(|number| (address(number), number))
                .collect(),
            under_way: HashMap::new(),
            sent: 0,
        }
    }

    /// Sends a datagram with so many other bytes; returns to which router, and its number, unless it
    /// is lost.
    pub fn send_with(
        &mut self,
        from: &mut Peers,
        outgoing: &OutgoingDatagram,
        beside: T,
        other_bytes: usize,
        random: &mut ChaCha8Rng,
    ) -> Option<(usize, u64)> {
        let bytes = postcard::to_allocvec(&outgoing.gossip).expect("serializes");
        from.on_sent(bytes.len() + other_bytes);
        if random.random::<f64>() < LOSS {
            return None;
        }
        let news = postcard::from_bytes(&bytes).expect("parses");
        self.sent += 1;
        self.under_way.insert(self.sent, (news, beside));
        Some((self.addresses[&outgoing.to], self.sent))
    }

    /// A datagram arrives.
    pub fn arrive(&mut self, datagram: u64) -> (PeerGossip, T) {
        self.under_way.remove(&datagram).expect("is under way")
    }
}
