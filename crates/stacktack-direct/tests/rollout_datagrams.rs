//! Datagrams with roll-outs, and without any.

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

use steady_peer::steady_peer;

/// Bytes of a datagram that roll-outs may take.
const MOST_BYTES: usize = 300;

fn news() -> PeerGossip {
    steady_peer(SocketAddr::from(([127, 0, 0, 1], 10)), 3, 4)
}

/// News of one roll-out with the counts of so many routers on so many routes.
fn rollout(routers: u32, routes: usize) -> RolloutGossip {
    let order = RolloutOrder::new("service".into(), "v2".into(), 12.0, 7).expect("an order");
    let evidence = (0..routers).flat_map(|router| {
        let mut evidence = FleetCounts::new(u32::MAX - router);
        for route in 0..routes {
            let route = RouteHash::of(&format!("route {route}"));
            for _ in 0..200 {
                evidence.record(route, true, ResponseOutcome::Failed);
            }
        }
        evidence.gossip()
    });
    RolloutGossip {
        order,
        age: Duration::from_millis(1234),
        stored: None,
        regressed: true,
        proved: false,
        passed: false,
        counts: evidence.collect(),
    }
}

fn written(rollouts: &[RolloutGossip]) -> Vec<u8> {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    encode_with_rollouts(&news(), &[], &ages, &reads, rollouts).expect("a datagram")
}

#[test]
fn without_roll_outs_a_datagram_has_no_extra_bytes() {
    let (ages, reads) = (SourceAges::default(), SourceReads::default());
    let before = encode(&news(), &[], &ages, &reads).expect("a datagram");
    assert_eq!(written(&[]), before);
    assert!(decode(&before).expect("valid").rollouts.is_empty());
}

#[test]
fn an_encoded_roll_out_is_decoded_unchanged() {
    let rollouts = [rollout(1, 2)];
    let datagram = decode(&written(&rollouts)).expect("valid");
    assert_eq!(datagram.rollouts, rollouts);
    assert_eq!(datagram.gossip, news());
}

#[test]
fn counts_that_do_not_fit_are_left_out_and_the_order_stays() {
    for (routers, routes) in [(6, 4), (6, 24), (1, 24)] {
        let bytes = written(&[rollout(routers, routes)]);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert!(bytes.len() <= written(&[]).len() + MOST_BYTES);
        let datagram = decode(&bytes).expect("valid");
        assert_eq!(datagram.rollouts[0].order, rollout(0, 0).order);
        assert!(datagram.rollouts[0].regressed);
    }
}

#[test]
fn more_roll_outs_than_fit_do_not_break_the_datagram() {
    let many: Vec<RolloutGossip> = (0..60).map(|_| rollout(1, 1)).collect();
    let datagram = decode(&written(&many)).expect("valid");
    assert!(!datagram.rollouts.is_empty());
    assert_eq!(datagram.gossip, news());
}
