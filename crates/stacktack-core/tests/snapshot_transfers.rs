//! How many whole documents a router hands over at once.

use stacktack_core::direct::peers::peer_gossip::ZoneHash;
use stacktack_core::direct::peers::snapshot_transfers::SnapshotTransfers;
use stacktack_core::time::Time;

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn zone(name: &str) -> Option<ZoneHash> {
    Some(ZoneHash::of(name))
}

#[test]
fn another_zone_gets_one_copy_at_a_time() {
    let mut handed = SnapshotTransfers::default();
    let first = handed.begin(zone("b"), at(0)).expect("has room");
    assert_eq!(handed.begin(zone("b"), at(10)), None);
    assert!(handed.begin(zone("c"), at(10)).is_some());
    assert!(handed.begin(None, at(10)).is_some());
    handed.end(first);
    assert!(handed.begin(zone("b"), at(20)).is_some());
}

/// 75 routers of a zone that started at once shared the link of the only one that knew: each had the whole
/// directory after seconds.
#[test]
fn few_routers_of_the_own_zone_share_the_link() {
    let mut handed = SnapshotTransfers::default();
    let begun = (0..75).filter_map(|_| handed.begin(None, at(0)));
    let begun: Vec<u64> = begun.collect();
    assert!((1..=4).contains(&begun.len()), "{begun:?}");
    handed.end(begun[0]);
    assert!(handed.begin(None, at(1)).is_some());
    assert_eq!(handed.begin(None, at(1)), None);
}

#[test]
fn a_transfer_to_a_peer_that_stopped_times_out() {
    let mut handed = SnapshotTransfers::default();
    assert!(handed.begin(zone("b"), at(0)).is_some());
    assert_eq!(handed.begin(zone("b"), at(900)), None);
    assert!(handed.begin(zone("b"), at(1100)).is_some());
}

/// Nineteen routers of a small fleet waited for turns at two kilobytes.
#[test]
fn small_snapshots_are_not_limited_and_large_ones_are() {
    for (bytes, near, far) in [(2000, 14..=16, 0..=2), (40_000, 1..=4, 1..=1)] {
        let mut handed = SnapshotTransfers::default();
        let first = handed.begin(None, at(0)).expect("has room");
        handed.set_snapshot_bytes(bytes);
        let begun = (0..75).filter(|_| handed.begin(None, at(0)).is_some());
        assert!(near.contains(&begun.count()), "{bytes}");
        let begun = (0..75).filter(|_| handed.begin(zone("b"), at(0)).is_some());
        assert!(far.contains(&begun.count()), "{bytes}");
        handed.end(first);
    }
}
