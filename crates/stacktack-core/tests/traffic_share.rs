//! A router's share of the requests to a pool, from the loads of its members.

use std::time::Duration;

use stacktack_core::direct::back_ends::load::BackEndLoad;
use stacktack_core::direct::back_ends::peer_counts::PeerCount;
use stacktack_core::direct::back_ends::traffic_share::{PoolInFlight, TrafficShare};
use stacktack_core::time::Time;

fn at(milliseconds: u64) -> Time {
    Time(0) + Duration::from_millis(10_000 + milliseconds)
}

/// A share after these requests were in flight for 3 s.
fn settled(in_flight: PoolInFlight) -> TrafficShare {
    let mut share = TrafficShare::default();
    for step in 0..60 {
        share.observe(&in_flight, at(step * 50));
    }
    share
}

const EVEN: PoolInFlight = PoolInFlight {
    own: 5.0,
    from_peers: 195.0,
    own_at_unknown: 0.0,
};

#[test]
fn the_traffic_is_not_taken_for_the_own_one_while_no_load_is_known() {
    let mut share = TrafficShare::default();
    assert_eq!(share.share(40), 1.0 / 40.0);
    share.observe(&PoolInFlight::default(), at(0));
    assert_eq!(share.share(40), 1.0 / 40.0);
    let mut untold = PoolInFlight::default();
    untold.add(3.0, None);
    share.observe(&untold, at(3_000));
    assert!((share.share(40) - 1.0 / 40.0).abs() < 1e-9);
    let mut load = BackEndLoad::default();
    load.on_send(at(0));
    assert_eq!(load.usual_from_peers(at(1)), None);
}

#[test]
fn a_moment_without_own_requests_does_not_multiply_the_traffic() {
    let mut share = settled(EVEN);
    let no_own = PoolInFlight { own: 0.0, ..EVEN };
    share.observe(&no_own, at(3_050));
    assert!(share.share(40) > 1.0 / 50.0, "{}", share.share(40));
}

#[test]
fn callers_that_move_to_one_router_are_noticed_within_three_seconds() {
    let mut share = settled(EVEN);
    let moved = PoolInFlight {
        own: 200.0,
        from_peers: 0.0,
        own_at_unknown: 0.0,
    };
    for step in 0..60 {
        share.observe(&moved, at(3_000 + step * 50));
    }
    assert!(share.share(40) > 0.8, "{}", share.share(40));
}

#[test]
fn the_request_that_a_report_answers_is_not_usual_traffic() {
    let mut load = BackEndLoad::default();
    load.on_relayed_report(1, at(0));
    assert_eq!(load.usual_from_peers(at(10)), Some(0.0));
    load.on_relayed_report(5, at(20));
    assert_eq!(load.usual_from_peers(at(30)), Some(4.0));
    load.on_send(at(40));
    load.on_report(5, at(50));
    assert_eq!(load.usual_from_peers(at(60)), Some(4.0));
}

#[test]
fn counts_of_peers_are_taken_as_they_are() {
    let mut load = BackEndLoad::default();
    load.peer_counts.add(PeerCount {
        requests: 3.0,
        at: at(0),
        same_zone: false,
    });
    load.peer_counts_are_fresh = true;
    assert_eq!(load.usual_from_peers(at(0)), Some(3.0));
}
