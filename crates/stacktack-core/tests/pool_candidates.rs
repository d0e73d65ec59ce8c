//! Loads that routers believe of members that get no requests.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::BackEndEntry;
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::survival::Survival;
use stacktack_core::direct::choice::pool_candidates::{MemberPlace, PoolCandidates, PoolMember};
use stacktack_core::time::Time;

const HOLD_SECONDS: f64 = 0.5;

/// A back end that reported its load.
fn back_end(number: usize, requests: u32, reported_at: Time) -> BackEnd {
    let entry = BackEndEntry {
        id: format!("b{number}"),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        slots: 64,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    };
    let mut back_end = BackEnd::new(entry, Time(0));
    back_end.load.on_report(requests, reported_at);
    back_end
}

/// Members with a load report each: health, requests, and age of the report in milliseconds.
fn candidates(members: &[(Health, u32, u64)]) -> PoolCandidates {
    let now = Time(60_000_000);
    let place = MemberPlace {
        same_zone: true,
        is_drained: false,
    };
    let back_ends: Vec<BackEnd> = (0..)
        .zip(members)
        .map(|(number, (_, requests, age))| {
            back_end(number, *requests, now - Duration::from_millis(*age))
        })
        .collect();
    let members: Vec<PoolMember<'_>> = back_ends
        .iter()
        .zip(members)
        .map(|(back_end, (health, ..))| PoolMember {
            back_end,
            health: *health,
            place,
        })
        .collect();
    let mut candidates = PoolCandidates::new(&members, None, &Survival::default(), now);
    let pool = candidates.pool_load().expect("loads are known");
    candidates.apply_pool_load(&pool, HOLD_SECONDS);
    candidates
}

#[test]
fn an_avoided_member_does_not_count_as_loaded_as_those_that_take_its_requests() {
    let good = [(Health::Good, 20, 50); 3];
    let avoided = [(Health::Degraded, 0, 2000); 9];
    let candidates = candidates(&[&good[..], &avoided[..]].concat());
    assert!(candidates.mean_load() < 6.0, "{}", candidates.mean_load());
}

#[test]
fn a_member_far_above_the_bound_of_all_routers_does_not_keep_its_old_load_in_the_mean() {
    let others = [(Health::Good, 4, 50); 11];
    let crowded = [(Health::Good, 60, 2500)];
    let candidates = candidates(&[&others[..], &crowded[..]].concat());
    assert!(candidates.mean_load() < 6.0, "{}", candidates.mean_load());
}
