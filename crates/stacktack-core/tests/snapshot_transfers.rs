//! A router must not send large snapshots to many peers at once, since these share its link, and
//! must not hold back small snapshots.

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
    let mut transfers = SnapshotTransfers::default();
    let first = transfers.begin(zone("b"), at(0)).expect("below the limit");
    assert_eq!(transfers.begin(zone("b"), at(10)), None);
    assert!(transfers.begin(zone("c"), at(10)).is_some());
    assert!(transfers.begin(None, at(10)).is_some());
    transfers.end(first);
    assert!(transfers.begin(zone("b"), at(20)).is_some());
}

/// When 75 routers of a zone started at once, they shared the link of the only one that had the
/// directory, and each had its snapshot only after seconds.
#[test]
fn few_routers_of_the_own_zone_share_the_link() {
    let mut transfers = SnapshotTransfers::default();
    let started = (0..75).filter_map(|_| transfers.begin(None, at(0)));
    let started: Vec<u64> = started.collect();
    assert!((1..=4).contains(&started.len()), "{started:?}");
    transfers.end(started[0]);
    assert!(transfers.begin(None, at(1)).is_some());
    assert_eq!(transfers.begin(None, at(1)), None);
}

#[test]
fn a_transfer_to_a_peer_that_stopped_times_out() {
    let mut transfers = SnapshotTransfers::default();
    assert!(transfers.begin(zone("b"), at(0)).is_some());
    assert_eq!(transfers.begin(zone("b"), at(900)), None);
    assert!(transfers.begin(zone("b"), at(1100)).is_some());
}

/// Nineteen routers of a small fleet waited for each other although the snapshot was two
/// kilobytes.
#[test]
fn small_snapshots_are_not_limited_and_large_ones_are() {
    for (bytes, own_zone, remote_zone) in [(2000, 14..=16, 0..=2), (40_000, 1..=4, 1..=1)] {
        let mut transfers = SnapshotTransfers::default();
        let first = transfers.begin(None, at(0)).expect("below the limit");
        transfers.set_snapshot_bytes(bytes);
        let started = (0..75).filter(|_| transfers.begin(None, at(0)).is_some());
        assert!(own_zone.contains(&started.count()), "{bytes}");
        let started = (0..75).filter(|_| transfers.begin(zone("b"), at(0)).is_some());
        assert!(remote_zone.contains(&started.count()), "{bytes}");
        transfers.end(first);
    }
}
