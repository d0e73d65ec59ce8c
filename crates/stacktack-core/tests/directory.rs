//! Directory of back ends: deltas between routers, late updates, pending removals, and restarted or
//! vanished instances.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::compact_delta::CompactDelta;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, DirectoryDelta, IgnoreCause, InstanceId, RemovedEntry,
    VanishedInstance,
};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::sources::directory_source::{PendingRemovals, RemovalEvidence};
use stacktack_core::time::Time;

fn entry(id: &str, revision: u64) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

fn removed_entry(id: &str, revision: u64) -> RemovedEntry {
    RemovedEntry {
        id: id.to_owned(),
        revision,
    }
}

/// A directory of which a snapshot was read at revision 10.
fn directory_at_revision_10() -> BackEnds {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.on_snapshot(10);
    for (id, revision) in [("a", 3), ("b", 7), ("c", 10)] {
        all.upsert(entry(id, revision), Time(0), &mut change);
    }
    all
}

fn ids(delta: &DirectoryDelta) -> Vec<&str> {
    let mut ids: Vec<&str> = delta
        .present
        .iter()
        .map(|entry| entry.id.as_str())
        .collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_peer_with_a_recent_revision_gets_only_the_changes() {
    let mut all = directory_at_revision_10();
    let mut change = DirectoryChange::default();
    all.upsert(entry("b", 11), Time(0), &mut change);
    all.remove(removed_entry("a", 12), &mut change);
    let delta = all.changes_after(10, 12, Time(0));
    assert!(!delta.whole);
    assert_eq!(ids(&delta), ["b"]);
    assert_eq!(delta.gone, [removed_entry("a", 12)]);
    let nothing = all.changes_after(12, 12, Time(0));
    assert!(nothing.present.is_empty() && nothing.gone.is_empty());
}

#[test]
fn a_peer_older_than_the_remembered_removals_gets_a_snapshot() {
    let all = directory_at_revision_10();
    let delta = all.changes_after(9, 10, Time(0));
    assert!(delta.whole);
    assert_eq!(ids(&delta), ["a", "b", "c"]);
    assert!(BackEnds::default().changes_after(0, 0, Time(0)).whole);
}

#[test]
fn the_number_of_remembered_removals_is_bounded() {
    let mut all = directory_at_revision_10();
    let mut change = DirectoryChange::default();
    for revision in 11..4011 {
        let id = format!("x{revision}");
        all.upsert(entry(&id, revision), Time(0), &mut change);
        all.remove(removed_entry(&id, revision), &mut change);
    }
    assert!(all.changes_after(10, 4010, Time(0)).whole);
    let recent = all.changes_after(4000, 4010, Time(0));
    assert!(!recent.whole);
    assert_eq!(recent.gone.len(), 10);
}

/// If older updates were applied, a source that lags behind a peer would bring back an entry that
/// was removed.
#[test]
fn late_updates_do_not_undo_newer_ones() {
    let mut all = directory_at_revision_10();
    let mut change = DirectoryChange::default();
    all.remove(removed_entry("a", 12), &mut change);
    all.upsert(entry("a", 11), Time(0), &mut change);
    assert!(all.get("a").is_none());
    all.upsert(entry("a", 13), Time(0), &mut change);
    assert!(all.get("a").is_some());
    all.remove(removed_entry("a", 12), &mut change);
    assert!(all.get("a").is_some());
    let mut leaving = entry("b", 14);
    leaving.leaving = true;
    all.upsert(leaving, Time(0), &mut change);
    all.upsert(entry("b", 13), Time(0), &mut change);
    assert!(all.get("b").is_some_and(|known| known.entry.leaving));
}

#[test]
fn the_decided_revision_precedes_pending_removals() {
    let mut pending = PendingRemovals::default();
    assert_eq!(pending.decided_revision(20), 20);
    let missing = vec![removed_entry("a", 15), removed_entry("b", 18)];
    assert!(pending
        .on_missing(missing, RemovalEvidence::Insufficient)
        .is_empty());
    assert_eq!(pending.decided_revision(20), 14);
    pending.on_renewed("a", 14);
    assert_eq!(pending.decided_revision(20), 14);
    pending.on_renewed("a", 19);
    assert_eq!(pending.decided_revision(20), 17);
    assert_eq!(pending.take_all(), [removed_entry("b", 18)]);
    assert_eq!(pending.decided_revision(20), 20);
}

fn entry_born_at(born: u64, revision: u64) -> BackEndEntry {
    BackEndEntry {
        born,
        ..entry("a", revision)
    }
}

#[test]
fn state_of_the_previous_instance_of_an_id_is_discarded() {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.upsert(entry_born_at(100, 1), Time(0), &mut change);
    let known = all.get_mut("a").expect("is known");
    known.on_send(Time(0));
    known.load.on_report(9, Time(5));
    for _ in 0..9 {
        known.on_outcome(true, Time(5));
        known.on_unreachable(Time(5));
    }
    known.on_replaced();
    let previous = InstanceId::of(&known.entry);
    all.upsert(entry_born_at(200, 2), Time(10), &mut change);
    let known = all.get("a").expect("is known");
    assert_eq!(change.restarted, ["a"]);
    let vanished = [VanishedInstance {
        back_end: "a".to_owned(),
        instance: previous,
    }];
    assert_eq!(change.vanished, vanished);
    assert_ne!(InstanceId::of(&known.entry), previous);
    assert_eq!(known.load.in_flight, 0);
    assert!(known.load.reported(Time(10)).is_none());
    assert!(!known.is_suspect() && known.may_get_requests(Time(10)));
}

/// Guards against entries of a restarted back end that are ignored after its clock was stepped back.
#[test]
fn a_newer_entry_with_an_earlier_start_time_describes_the_next_instance() {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.upsert(entry_born_at(200, 2), Time(0), &mut change);
    let previous = InstanceId::of(&all.get("a").expect("is known").entry);
    all.get_mut("a").expect("is known").on_replaced();
    all.upsert(entry_born_at(100, 9), Time(10), &mut change);
    let known = all.get("a").expect("is known");
    assert_eq!(known.entry, entry_born_at(100, 9));
    assert!(known.may_get_requests(Time(10)));
    assert_eq!(change.restarted, ["a"]);
    assert_eq!(change.vanished[0].instance, previous);
    let leaving = BackEndEntry {
        leaving: true,
        ..entry_born_at(100, 10)
    };
    all.upsert(leaving, Time(20), &mut change);
    assert!(all.get("a").expect("is known").is_leaving());
    assert_eq!(change.leaving, ["a"]);
}

/// Guards against a late entry of another instance that undoes a newer one.
#[test]
fn in_every_order_of_arrival_the_entry_of_the_newest_revision_is_kept() {
    let starts = [
        (100, 200, 300),
        (300, 200, 100),
        (200, 100, 200),
        (0, 200, 100),
    ];
    for (first, second, third) in starts {
        let entries = [
            entry_born_at(first, 2),
            entry_born_at(second, 3),
            entry_born_at(third, 4),
        ];
        for order in [
            [0, 1, 2],
            [0, 2, 1],
            [1, 0, 2],
            [1, 2, 0],
            [2, 0, 1],
            [2, 1, 0],
        ] {
            let mut all = BackEnds::default();
            let mut change = DirectoryChange::default();
            for index in order {
                all.upsert(entries[index].clone(), Time(0), &mut change);
            }
            let known = &all.get("a").expect("is known").entry;
            assert_eq!(known, &entries[2], "{order:?} of {entries:?}");
        }
    }
}

#[test]
fn of_two_instances_at_one_revision_the_first_one_heard_is_kept() {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.upsert(entry_born_at(200, 2), Time(0), &mut change);
    for born in [100, 300] {
        all.upsert(entry_born_at(born, 2), Time(10), &mut change);
        assert_eq!(all.get("a").expect("is known").entry, entry_born_at(200, 2));
    }
    assert!(change.restarted.is_empty());
    let causes: Vec<IgnoreCause> = change.ignored.iter().map(|ignored| ignored.cause).collect();
    assert_eq!(causes, [IgnoreCause::NotNewer; 2]);
}

#[test]
fn an_instance_that_was_leaving_does_not_count_as_vanished() {
    let mut all = directory_at_revision_10();
    let mut change = DirectoryChange::default();
    let leaving = BackEndEntry {
        leaving: true,
        ..entry("a", 11)
    };
    all.upsert(leaving, Time(0), &mut change);
    all.remove(removed_entry("a", 12), &mut change);
    all.remove(removed_entry("b", 13), &mut change);
    let vanished = change
        .vanished
        .iter()
        .map(|vanished| vanished.back_end.as_str());
    assert_eq!(vanished.collect::<Vec<_>>(), ["b"]);
}

/// Snapshot of a directory of `count` back ends in four zones.
fn large_directory(count: u64) -> DirectoryDelta {
    let present = (0..count).map(|number| BackEndEntry {
        id: format!(
            "i-{:010x}",
            number.wrapping_mul(0x9e37_79b9) & 0xff_ffff_ffff
        ),
        born: 1_782_960_000_000 + number * 7,
        address: SocketAddr::from(([10, (number % 4) as u8, (number / 200) as u8, 7], 8586)),
        labels: Labels::from([
            ("service".to_owned(), "mallikan".to_owned()),
            ("version".to_owned(), "v1".to_owned()),
            ("zone".to_owned(), format!("zone-{}", number % 4)),
        ]),
        slots: 64,
        leaving: number % 9 == 0,
        cold_for: Duration::from_millis(number % 5 * 250),
        revision: 2 + number,
    });
    DirectoryDelta {
        revision: count + 1,
        whole: true,
        present: present.collect(),
        gone: vec![removed_entry("gone", 4)],
    }
}

#[test]
fn a_compact_delta_expands_to_the_same_delta() {
    let mut delta = large_directory(50);
    // An instance of unknown start time, and entries newer than the revision of the delta.
    delta.present[3].born = 0;
    delta.present[4].revision = u64::MAX;
    delta.revision = 5;
    let compact = CompactDelta::from(delta.clone());
    let bytes = postcard::to_allocvec(&compact).expect("serializes");
    let read: CompactDelta = postcard::from_bytes(&bytes).expect("parses");
    assert_eq!(read.into_delta(), Some(delta));
}

/// When a fleet starts, each router gets the whole directory. In full form, 3,025 back ends took
/// 232 kB, most of it the same few labels repeated.
#[test]
fn a_compact_snapshot_takes_less_than_half_of_the_bytes() {
    let delta = large_directory(3000);
    let full_length = postcard::to_allocvec(&delta).expect("serializes").len();
    let compact = postcard::to_allocvec(&CompactDelta::from(delta)).expect("serializes");
    assert!(
        compact.len() * 2 < full_length,
        "{} of {full_length} bytes",
        compact.len()
    );
}

#[test]
fn an_entry_that_refers_to_missing_labels_is_refused() {
    let one = DirectoryDelta {
        present: vec![entry("a", 3)],
        ..DirectoryDelta::default()
    };
    let mut bytes = postcard::to_allocvec(&CompactDelta::from(one)).expect("serializes");
    // The bytes are the revision, `whole`, the start time, and one empty set of labels, which is
    // removed here.
    assert_eq!(bytes[3..5], [1, 0]);
    bytes[3] = 0;
    bytes.remove(4);
    let read: CompactDelta = postcard::from_bytes(&bytes).expect("parses");
    assert_eq!(read.into_delta(), None);
}
