//! Encoding of datagrams with and without roll-outs.

#[path = "common/steady_peer.rs"]
mod steady_peer;

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::direct::peers::peer_gossip::PeerGossip;
use stacktack_core::direct::peers::source_age::{SourceAges, SourceReads};
use stacktack_core::direct::peers::MAX_DATAGRAM_BYTES;
use stacktack_core::direct::rollout::gossip::RolloutGossip;
use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::response_counts::{FleetCounts, ResponseOutcome, RouteHash};
use stacktack_direct::datagram::{decode, encode, encode_with_rollouts};

use steady_peer::steady_peer_gossip;

/// Maximum bytes of a datagram that roll-outs may take.
const MAX_ROLLOUT_BYTES: usize = 300;

fn gossip() -> PeerGossip {
    steady_peer_gossip(SocketAddr::from(([127, 0, 0, 1], 10)), 3, 4)
}

/// Gossip about one roll-out, with the response counts of a number of routers on a number of
/// routes.
fn rollout(routers: u32, routes: usize) -> RolloutGossip {
    let order = RolloutOrder::new("service".into(), "v2".into(), 12.0, 7).expect("an order");
    let counts = (0..routers).flat_map(|router| {
        let mut counts = FleetCounts::new(u32::MAX - router);
        for route in 0..routes {
            let route = RouteHash::of(&format!("route {route}"));
            for _ in 0..200 {
                counts.record(route, true, ResponseOutcome::Failed);
            }
        }
        counts.gossip()
    });
    RolloutGossip {
        order,
        age: Duration::from_millis(1234),
        stored: None,
        regressed: true,
        proved: false,
        passed: false,
        counts: counts.collect(),
    }
}

fn encoded(rollouts: &[RolloutGossip]) -> Vec<u8> {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    encode_with_rollouts(&gossip(), &[], &ages, &reads, rollouts).expect("a datagram")
}

#[test]
fn without_roll_outs_a_datagram_has_no_extra_bytes() {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    let without_rollouts = encode(&gossip(), &[], &ages, &reads).expect("a datagram");
    assert_eq!(encoded(&[]), without_rollouts);
    assert!(decode(&without_rollouts)
        .expect("valid")
        .rollouts
        .is_empty());
}

#[test]
fn an_encoded_roll_out_is_decoded_unchanged() {
    let rollouts = [rollout(1, 2)];
    let datagram = decode(&encoded(&rollouts)).expect("valid");
    assert_eq!(datagram.rollouts, rollouts);
    assert_eq!(datagram.gossip, gossip());
}

#[test]
fn counts_that_do_not_fit_are_left_out_and_the_order_stays() {
    for (routers, routes) in [(6, 4), (6, 24), (1, 24)] {
        let bytes = encoded(&[rollout(routers, routes)]);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert!(bytes.len() <= encoded(&[]).len() + MAX_ROLLOUT_BYTES);
        let datagram = decode(&bytes).expect("valid");
        assert_eq!(datagram.rollouts[0].order, rollout(0, 0).order);
        assert!(datagram.rollouts[0].regressed);
    }
}

#[test]
fn more_roll_outs_than_fit_do_not_break_the_datagram() {
    let many: Vec<RolloutGossip> = (0..60).map(|_| rollout(1, 1)).collect();
    let datagram = decode(&encoded(&many)).expect("valid");
    assert!(!datagram.rollouts.is_empty());
    assert_eq!(datagram.gossip, gossip());
}
