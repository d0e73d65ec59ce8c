//! What routers tell each other of the directory: only what changed.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, Departure, DirectoryChange, DirectoryDelta, LifeId, VanishedLife,
};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::sources::departure::{Evidence, HeldDepartures};
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

fn departure(id: &str, revision: u64) -> Departure {
    Departure {
        id: id.to_owned(),
        revision,
    }
}

/// A directory that was read whole at revision 10.
fn read_whole() -> BackEnds {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.on_whole(10);
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
fn who_knows_a_little_less_gets_what_changed() {
    let mut all = read_whole();
    let mut change = DirectoryChange::default();
    all.upsert(entry("b", 11), Time(0), &mut change);
    all.remove(departure("a", 12), &mut change);
    let delta = all.changes_after(10, 12, Time(0));
    assert!(!delta.whole);
    assert_eq!(ids(&delta), ["b"]);
    assert_eq!(delta.gone, [departure("a", 12)]);
    let nothing = all.changes_after(12, 12, Time(0));
    assert!(nothing.present.is_empty() && nothing.gone.is_empty());
}

#[test]
fn who_knows_less_than_is_remembered_gets_everything() {
    let all = read_whole();
    let delta = all.changes_after(9, 10, Time(0));
    assert!(delta.whole);
    assert_eq!(ids(&delta), ["a", "b", "c"]);
    assert!(BackEnds::default().changes_after(0, 0, Time(0)).whole);
}

#[test]
fn departures_are_remembered_up_to_a_bound() {
    let mut all = read_whole();
    let mut change = DirectoryChange::default();
    for revision in 11..4011 {
        let id = format!("x{revision}");
        all.upsert(entry(&id, revision), Time(0), &mut change);
        all.remove(departure(&id, revision), &mut change);
    }
    assert!(all.changes_after(10, 4010, Time(0)).whole);
    let recent = all.changes_after(4000, 4010, Time(0));
    assert!(!recent.whole);
    assert_eq!(recent.gone.len(), 10);
}

/// Found by reading: a feed that lags behind what a peer told brought back an
/// entry that had left.
#[test]
fn late_news_undoes_nothing() {
    let mut all = read_whole();
    let mut change = DirectoryChange::default();
    all.remove(departure("a", 12), &mut change);
    all.upsert(entry("a", 11), Time(0), &mut change);
    assert!(all.get("a").is_none());
    all.upsert(entry("a", 13), Time(0), &mut change);
    assert!(all.get("a").is_some());
    all.remove(departure("a", 12), &mut change);
    assert!(all.get("a").is_some());
    let mut leaving = entry("b", 14);
    leaving.leaving = true;
    all.upsert(leaving, Time(0), &mut change);
    all.upsert(entry("b", 13), Time(0), &mut change);
    assert!(all.get("b").is_some_and(|known| known.entry.leaving));
}

#[test]
fn what_is_not_decided_is_not_vouched_for() {
    let mut held = HeldDepartures::default();
    assert_eq!(held.decided(20), 20);
    let departures = vec![departure("a", 15), departure("b", 18)];
    assert!(held.vanish(departures, Evidence::Insufficient).is_empty());
    assert_eq!(held.decided(20), 14);
    held.renew("a", 14);
    assert_eq!(held.decided(20), 14);
    held.renew("a", 19);
    assert_eq!(held.decided(20), 17);
    assert_eq!(held.release(), [departure("b", 18)]);
    assert_eq!(held.decided(20), 20);
}

fn life(born: u64, revision: u64) -> BackEndEntry {
    BackEndEntry {
        born,
        ..entry("a", revision)
    }
}

#[test]
fn nothing_is_believed_of_the_life_before_under_the_same_id() {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.upsert(life(100, 1), Time(0), &mut change);
    let known = all.get_mut("a").expect("is known");
    known.on_send(Time(0));
    known.load.on_told(9, Time(5));
    for _ in 0..9 {
        known.on_outcome(true, Time(5));
        known.on_unreachable(Time(5));
    }
    known.on_replaced();
    let before = LifeId::of(&known.entry);
    all.upsert(life(200, 2), Time(10), &mut change);
    let known = all.get("a").expect("is known");
    assert_eq!(change.reborn, ["a"]);
    let vanished = [VanishedLife {
        back_end: "a".to_owned(),
        life: before,
    }];
    assert_eq!(change.vanished, vanished);
    assert_ne!(LifeId::of(&known.entry), before);
    assert_eq!(known.load.in_flight, 0);
    assert!(known.load.told(Time(10)).is_none());
    assert!(!known.is_suspect() && known.may_get_requests(Time(10)));
}

#[test]
fn an_earlier_life_never_comes_back() {
    let mut all = BackEnds::default();
    let mut change = DirectoryChange::default();
    all.upsert(life(200, 2), Time(0), &mut change);
    all.upsert(life(100, 9), Time(10), &mut change);
    assert_eq!(all.get("a").expect("is known").entry, life(200, 2));
    assert!(change.reborn.is_empty());
}

#[test]
fn a_planned_end_is_no_vanished_life() {
    let mut all = read_whole();
    let mut change = DirectoryChange::default();
    let leaving = BackEndEntry {
        leaving: true,
        ..entry("a", 11)
    };
    all.upsert(leaving, Time(0), &mut change);
    all.remove(departure("a", 12), &mut change);
    all.remove(departure("b", 13), &mut change);
    let vanished = change.vanished.iter().map(|life| life.back_end.as_str());
    assert_eq!(vanished.collect::<Vec<_>>(), ["b"]);
}
