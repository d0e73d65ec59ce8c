//! Members of a pool that are not eligible for requests now: they count in the mean load, and get
//! no requests.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::admission::pool_load::LoadReport;
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::BackEndEntry;
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::choice::select::{
    select_by_affinity, select_by_load, DirectCandidate, SelectBounds,
};
use stacktack_core::direct::request::attempt::{AttemptFailure, AttemptHistory};
use stacktack_core::direct::traffic::route::RouteKind;
use stacktack_core::time::Time;

/// A pool in which every `nth` member is ineligible.
fn pool(members: usize, load: impl Fn(usize) -> f64, nth: usize) -> Vec<DirectCandidate> {
    (0..members)
        .map(|index| DirectCandidate {
            index,
            id_hash: index as u64,
            load: load(index),
            limit: 80.0,
            same_zone: true,
            health: Health::Good,
            eligible: index % nth != 0,
        })
        .collect()
}

#[test]
fn an_ineligible_member_gets_no_requests() {
    let pool = pool(12, |index| if index % 4 == 0 { 0.0 } else { 9.0 }, 4);
    let bounds = SelectBounds::for_load_cap(2.0);
    for part in 0..400 {
        let by_part = select_by_affinity(&pool, part, &bounds).expect("chosen");
        let by_load = select_by_load(&pool, part, &bounds).expect("chosen");
        for chosen in [by_part, by_load] {
            assert_ne!(chosen.index % 4, 0);
            assert!((chosen.mean - 6.75).abs() < 1e-9, "ineligible ones count");
        }
    }
}

#[test]
fn nothing_is_chosen_if_all_members_are_ineligible() {
    let pool = pool(6, |_| 1.0, 1);
    let bounds = SelectBounds::for_load_cap(2.0);
    assert_eq!(select_by_affinity(&pool, 7, &bounds), None);
    assert_eq!(select_by_load(&pool, 7, &bounds), None);
}

/// With half of the members ineligible, the others hold twice the mean load. Requests still go to
/// their homes as long as a home is less than a tenth above the mean of the eligible members.
#[test]
fn affinity_holds_while_half_of_the_pool_is_ineligible() {
    let pool = pool(8, |index| if index % 2 == 0 { 0.0 } else { 40.0 }, 2);
    let bounds = SelectBounds::for_load_cap(2.0);
    for part in 0..200 {
        let chosen = select_by_affinity(&pool, part, &bounds).expect("chosen");
        assert_eq!(chosen.rank, 0);
    }
}

/// Requests spill from a home above the bound to the least loaded of the next members, so that not
/// all routers spill to the same one.
#[test]
fn with_many_ineligible_members_requests_spill_to_the_least_loaded_near_the_home() {
    let loads = |index: usize| match index % 4 {
        0 => 0.0,
        1 => 40.0,
        2 => 9.0,
        _ => 4.0,
    };
    let some_ineligible = pool(40, loads, 4);
    let all_eligible: Vec<DirectCandidate> = some_ineligible
        .iter()
        .map(|candidate| DirectCandidate {
            eligible: true,
            load: if candidate.eligible {
                candidate.load
            } else {
                9.0
            },
            ..*candidate
        })
        .collect();
    let bounds = SelectBounds::for_load_cap(2.0);
    let mean_of_spilled = |pool: &[DirectCandidate]| {
        let chosen = (0..600).filter_map(|part| select_by_affinity(pool, part, &bounds));
        let spilled: Vec<f64> = chosen
            .filter(|chosen| chosen.rank > 0)
            .map(|chosen| chosen.load)
            .collect();
        assert!(spilled.len() > 100);
        spilled.iter().sum::<f64>() / spilled.len() as f64
    };
    assert!(mean_of_spilled(&some_ineligible) < 5.0);
    assert!(mean_of_spilled(&all_eligible) > 6.0);
}

/// The last load that a drained back end reported does not count in full for seconds.
#[test]
fn the_reported_load_of_an_ineligible_member_decays() {
    let report = |age: Option<u64>| LoadReport {
        load: 12.0,
        slots: 64,
        age: age.map(Duration::from_millis),
    };
    assert!((report(Some(0)).residual_load(0.5) - 12.0).abs() < 1e-9);
    assert!(report(Some(2000)).residual_load(0.5) < 0.3);
    assert!(
        (report(None).residual_load(0.5) - 12.0).abs() < 1e-9,
        "own requests"
    );
}

fn back_end() -> BackEnd {
    let entry = BackEndEntry {
        id: "old".to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 3,
    };
    BackEnd::new(entry, Time(0))
}

/// Guards against a flood of retries after all 42 back ends of a pool restarted at their addresses.
/// Routers that had not learned of it tried one old instance after the other: in 10 s, requests
/// arrived 6,843 times beyond their first arrival, where 2,551 are allowed. One response of another
/// instance therefore shows for good that the old one is gone, and a request that arrived at any
/// instance counts as a retry when it is sent again.
#[test]
fn an_instance_replaced_at_its_address_gets_no_more_requests() {
    let mut known = back_end();
    assert!(known.may_get_requests(Time(5)));
    known.on_replaced();
    assert!(!known.may_get_requests(Time(60_000_000)));
}

#[test]
fn a_misdirected_try_is_retried_out_of_the_retry_budget() {
    let mut history = AttemptHistory::default();
    history.record(AttemptFailure::Unreached);
    assert!(!history.has_arrived());
    history.record(AttemptFailure::OtherInstance);
    assert!(history.has_arrived());
    assert!(!history.may_have_run);
    assert!(history.may_send_again(RouteKind::Once, 1), "it has not run");
}

/// A rolling release makes a few members ineligible at a time: the next member below the bound then
/// takes the requests that spill from a full home, as while all members are eligible.
#[test]
fn with_few_ineligible_members_requests_spill_in_rendezvous_order() {
    let loads = |index: usize| if index.is_multiple_of(2) { 40.0 } else { 9.0 };
    let few_ineligible = pool(40, loads, 10);
    let all_eligible: Vec<DirectCandidate> = few_ineligible
        .iter()
        .map(|candidate| DirectCandidate {
            eligible: true,
            ..*candidate
        })
        .collect();
    let bounds = SelectBounds::for_load_cap(2.0);
    for part in 0..200 {
        let chosen = select_by_affinity(&few_ineligible, part, &bounds).expect("chosen");
        let with_all = select_by_affinity(&all_eligible, part, &bounds).expect("chosen");
        assert_eq!(chosen.index, with_all.index);
    }
}
