//! What back ends announce about themselves in responses, beside what the directory says.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::announcement::{Announcement, ReturnDelay};
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::{
    BackEndEntry, DirectoryChange, InstanceId, RemovedEntry,
};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::outlier_detector::Retryability;
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::time::Time;

const AT_ONCE: ReturnDelay = ReturnDelay {
    spread: Duration::ZERO,
    draw: 0.0,
};

fn at(milliseconds: u64) -> Time {
    Time(milliseconds * 1000)
}

fn entry(id: &str, revision: u64) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 100,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::from([("service".to_owned(), "s".to_owned())]),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

fn upsert(all: &mut BackEnds, entry: BackEndEntry) -> DirectoryChange {
    let mut change = DirectoryChange::default();
    all.upsert(entry, at(0), &mut change);
    change
}

fn remove(all: &mut BackEnds, id: &str, revision: u64) -> DirectoryChange {
    let mut change = DirectoryChange::default();
    let removed = RemovedEntry {
        id: id.to_owned(),
        revision,
    };
    all.remove(removed, &mut change);
    change
}

fn back_ends(ids: &[&str]) -> BackEnds {
    let mut all = BackEnds::default();
    for id in ids {
        upsert(&mut all, entry(id, 1));
    }
    all
}

fn instance(id: &str) -> InstanceId {
    InstanceId::of(&entry(id, 1))
}

/// Ids of the members that are candidates of a request.
fn candidates(all: &mut BackEnds) -> Vec<String> {
    let members = all.assess_candidates(at(0), Retryability::Retryable, |_| true);
    let mut ids: Vec<String> = members
        .into_iter()
        .map(|(member, _)| member.entry.id.clone())
        .collect();
    ids.sort_unstable();
    ids
}

/// Announces a pause of `a` at a router that returns last within `spread`, all in milliseconds.
fn announce_pause(all: &mut BackEnds, pause: u64, spread: u64, now: u64) -> bool {
    let last = ReturnDelay {
        spread: Duration::from_millis(spread),
        draw: 1.0,
    };
    announce_pause_with(all, pause, last, now)
}

fn announce_pause_with(all: &mut BackEnds, pause: u64, delay: ReturnDelay, now: u64) -> bool {
    let announcement = Announcement::Pause(Duration::from_millis(pause));
    all.announce("a", instance("a"), announcement, delay, at(now))
}

fn may_get_requests(all: &BackEnds, now: u64) -> bool {
    all.get("a").expect("listed").may_get_requests(at(now))
}

fn announce_leave(all: &mut BackEnds, id: &str) -> bool {
    all.announce(id, instance(id), Announcement::Leaving, AT_ONCE, at(0))
}

#[test]
fn a_back_end_that_announced_its_leave_is_no_candidate_from_then_on() {
    let mut all = back_ends(&["a", "b"]);
    assert!(announce_leave(&mut all, "a"));
    assert!(!announce_leave(&mut all, "a"), "known already");
    assert_eq!(candidates(&mut all), ["b"]);
    assert_eq!(all.count_accepting_work(), 1);
    assert!(announce_leave(&mut all, "b"));
    assert!(candidates(&mut all).is_empty());
    assert_eq!(all.count_accepting_work(), 0);
}

/// Guards against a leave that a stale, late or repeated entry undoes.
#[test]
fn an_entry_of_the_same_instance_does_not_undo_an_announced_leave() {
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    let leaving = |revision| BackEndEntry {
        leaving: true,
        ..entry("a", revision)
    };
    let unknown_start = |revision| BackEndEntry {
        born: 0,
        ..entry("a", revision)
    };
    for later in [
        entry("a", 0),
        entry("a", 1),
        entry("a", 5),
        unknown_start(6),
        leaving(7),
        entry("a", 8),
    ] {
        upsert(&mut all, later);
        assert_eq!(candidates(&mut all), ["b"]);
    }
}

#[test]
fn an_announced_leave_outlasts_an_entry_that_goes_and_comes_back() {
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    let gone = remove(&mut all, "a", 2);
    assert!(gone.vanished.is_empty(), "a planned end is no crash");
    let back = upsert(&mut all, entry("a", 3));
    assert_eq!((back.joined, back.leaving), (ids("a"), ids("a")));
    assert_eq!(candidates(&mut all), ["b"]);
    let vanished = remove(&mut all, "b", 4).vanished;
    assert_eq!(vanished.len(), 1, "nothing was announced there");
}

#[test]
fn a_leave_that_is_announced_while_the_entry_is_away_counts_when_it_comes_back() {
    let mut all = back_ends(&["a", "b"]);
    remove(&mut all, "a", 2);
    assert!(announce_leave(&mut all, "a"));
    upsert(&mut all, entry("a", 3));
    assert_eq!(candidates(&mut all), ["b"]);
}

#[test]
fn a_later_instance_of_the_same_id_starts_without_announcements() {
    let reborn = |born, revision| BackEndEntry {
        born,
        ..entry("a", revision)
    };
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    upsert(&mut all, reborn(200, 2));
    assert_eq!(candidates(&mut all), ["a", "b"]);
    announce_leave(&mut all, "a");
    assert_eq!(candidates(&mut all), ["a", "b"], "said by the earlier one");
    upsert(&mut all, reborn(100, 2));
    assert_eq!(candidates(&mut all), ["a", "b"], "no newer revision");
    upsert(&mut all, reborn(50, 3));
    assert_eq!(
        candidates(&mut all),
        ["a", "b"],
        "a newer revision with an earlier start is another instance"
    );
    remove(&mut all, "a", 4);
    upsert(&mut all, reborn(300, 5));
    assert_eq!(candidates(&mut all), ["a", "b"]);
}

/// Guards against work for an instance that leaves, after a late write lists it again.
#[test]
fn a_leave_holds_when_its_instance_is_listed_again_after_another_one() {
    let other = |revision| BackEndEntry {
        born: 200,
        ..entry("a", revision)
    };
    let mut all = back_ends(&["a", "b"]);
    announce_leave(&mut all, "a");
    upsert(&mut all, other(2));
    assert_eq!(candidates(&mut all), ["a", "b"]);
    let back = upsert(&mut all, entry("a", 3));
    assert_eq!((back.restarted, back.leaving), (ids("a"), ids("a")));
    assert_eq!(candidates(&mut all), ["b"]);
    upsert(&mut all, other(4));
    assert_eq!(candidates(&mut all), ["a", "b"]);
}

#[test]
fn a_departure_is_reported_once_whichever_source_tells_it_first() {
    let leaving = BackEndEntry {
        leaving: true,
        ..entry("a", 2)
    };
    let mut all = back_ends(&["a"]);
    announce_leave(&mut all, "a");
    assert!(upsert(&mut all, leaving.clone()).leaving.is_empty());
    let mut all = back_ends(&["a"]);
    assert_eq!(upsert(&mut all, leaving).leaving, ids("a"));
    assert_eq!(all.count_accepting_work(), 0);
}

#[test]
fn announcements_of_unlisted_instances_are_bounded() {
    let mut all = BackEnds::default();
    for number in 0..2000 {
        announce_leave(&mut all, &format!("i-{number}"));
    }
    for number in [0, 900, 1100, 1999] {
        upsert(&mut all, entry(&format!("i-{number}"), 1));
    }
    assert_eq!(
        candidates(&mut all),
        ["i-0", "i-900"],
        "the newest are kept"
    );
}

/// Guards against requests during a pause, and against a return before its end.
#[test]
fn a_paused_back_end_gets_no_request_before_the_end_of_its_pause() {
    for return_delay in [0, 20, 10_000] {
        let mut all = back_ends(&["a", "b"]);
        assert!(announce_pause(&mut all, 3000, return_delay, 1000));
        for now in [1000, 1500, 2500, 3999] {
            assert!(!may_get_requests(&all, now), "{now}");
        }
        let latest = 4000 + return_delay.min(750);
        assert!(return_delay == 0 || !may_get_requests(&all, latest - 1));
        assert!(may_get_requests(&all, latest));
    }
}

#[test]
fn a_paused_back_end_stays_a_member_of_its_pool_in_good_health() {
    let mut all = back_ends(&["a", "b"]);
    announce_pause(&mut all, 3000, 0, 0);
    let members = all.assess_candidates(at(10), Retryability::Retryable, |_| true);
    assert_eq!(members.len(), 2, "its load counts in the mean");
    assert!(members.iter().all(|(_, health)| *health == Health::Good));
    assert_eq!(all.count_accepting_work(), 2);
}

#[test]
fn of_several_pauses_the_one_that_ends_last_counts() {
    let mut all = back_ends(&["a"]);
    announce_pause(&mut all, 3000, 0, 0);
    assert!(!announce_pause(&mut all, 300, 0, 100), "it ends before");
    assert!(!announce_pause(&mut all, 3000, 0, 50), "hardly any change");
    assert!(!may_get_requests(&all, 3049));
    assert!(announce_pause(&mut all, 30_000, 0, 200));
    assert!(!may_get_requests(&all, 30_199));
    assert!(may_get_requests(&all, 30_200));
}

#[test]
fn pauses_of_no_time_and_of_any_length_are_kept_as_asked() {
    let mut all = back_ends(&["a"]);
    assert!(!announce_pause(&mut all, 0, 0, 0));
    assert!(may_get_requests(&all, 0));
    let years = 1_000_000_000_000;
    announce_pause(&mut all, years, 1000, 0);
    assert!(!may_get_requests(&all, years - 1));
    assert!(may_get_requests(&all, years + 1000));
}

/// Guards against a whole backlog at a back end whose pause has just ended.
#[test]
fn after_a_pause_single_trials_go_first_until_one_of_them_is_answered() {
    let mut all = back_ends(&["a"]);
    let member =
        |all: &mut BackEnds, act: &dyn Fn(&mut BackEnd)| act(all.get_mut("a").expect("listed"));
    member(&mut all, &|known| known.on_send(at(500)));
    announce_pause(&mut all, 1000, 0, 1000);
    assert!(may_get_requests(&all, 2000));
    member(&mut all, &|known| known.on_send(at(2000)));
    assert!(!may_get_requests(&all, 2099));
    member(&mut all, &|known| known.on_response_without_pause(at(500)));
    assert!(!may_get_requests(&all, 2099), "answered before the pause");
    assert!(may_get_requests(&all, 2100));
    member(&mut all, &|known| known.on_send(at(2100)));
    assert!(!may_get_requests(&all, 2150));
    member(&mut all, &|known| known.on_response_without_pause(at(2000)));
    assert!(may_get_requests(&all, 2150));
}

/// Guards against trials that hold up a back end whose responses take seconds.
#[test]
fn trials_end_when_none_was_turned_away_for_half_a_second() {
    let mut all = back_ends(&["a"]);
    announce_pause(&mut all, 1000, 0, 0);
    let mut sent = 0;
    for now in 1000..1500 {
        if may_get_requests(&all, now) {
            all.get_mut("a").expect("listed").on_send(at(now));
            sent += 1;
        }
    }
    assert_eq!(sent, 5);
    for now in 1500..1600 {
        assert!(may_get_requests(&all, now), "{now}");
        all.get_mut("a").expect("listed").on_send(at(now));
    }
}

#[test]
fn a_trial_that_is_turned_away_starts_the_next_pause() {
    let mut all = back_ends(&["a"]);
    announce_pause(&mut all, 1000, 0, 0);
    all.get_mut("a").expect("listed").on_send(at(1000));
    assert!(announce_pause(&mut all, 1000, 0, 1010));
    assert!(!may_get_requests(&all, 2009));
    assert!(may_get_requests(&all, 2010));
}

#[test]
fn a_pause_belongs_to_the_instance_that_asked_for_it() {
    let reborn = BackEndEntry {
        born: 200,
        ..entry("a", 5)
    };
    let mut all = back_ends(&["a"]);
    announce_pause(&mut all, 3000, 0, 0);
    upsert(&mut all, entry("a", 2));
    assert!(!may_get_requests(&all, 100), "its entry was written again");
    remove(&mut all, "a", 3);
    upsert(&mut all, entry("a", 3));
    upsert(&mut all, entry("a", 4));
    assert!(
        !may_get_requests(&all, 100),
        "its entry was away for a time"
    );
    upsert(&mut all, reborn);
    assert!(may_get_requests(&all, 100), "the next instance did not ask");
}

/// Guards against all routers that were turned away at one time returning at one time: ten in 100 ms
/// return as long as they all fit into a quarter of the pause.
#[test]
fn routers_return_one_after_the_other() {
    const PAUSE: u64 = 3000;
    const WINDOW: usize = 100;
    for routers in [1, 4, 30, 103, 357] {
        let mut returns = vec![0_u64; PAUSE as usize * 2];
        for router in 0..routers {
            let mut all = back_ends(&["a"]);
            let delay = ReturnDelay {
                spread: Duration::from_millis(10 * routers),
                draw: router as f64 / routers as f64,
            };
            announce_pause_with(&mut all, PAUSE, delay, 0);
            let first = (0..).find(|now| may_get_requests(&all, *now));
            returns[first.expect("it returns") as usize] += 1;
        }
        assert_eq!(returns[..PAUSE as usize].iter().sum::<u64>(), 0);
        let most = returns.windows(WINDOW).map(|window| window.iter().sum());
        let fit = 10.max((routers * WINDOW as u64).div_ceil(PAUSE / 4));
        assert!(most.max() <= Some(fit + 1), "{routers} routers");
    }
}

fn ids(id: &str) -> Vec<String> {
    vec![id.to_owned()]
}
