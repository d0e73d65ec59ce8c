//! A new version gets a bounded share of the requests until it is proved good, and the outcome of
//! its roll-out is stored once, in simulated fleets with faults of the version, the routers and
//! the store.

#[path = "../event_queue/mod.rs"]
mod event_queue;
#[path = "../gossip/mod.rs"]
mod gossip;
mod orders;
mod scenario;
mod simulation;
mod store;

use std::time::Duration;

use scenario::{Disturbances, Fault, Outcome, Scenario};
use simulation::{Simulation, BOUND};
use stacktack_core::direct::rollout::status::StoredState;

const SECOND: Duration = Duration::from_secs(1);

/// Numbers of routers.
const FLEETS: [usize; 4] = [1, 4, 30, 103];

const SEEDS: [u64; 3] = [1, 2, 3];

fn scenario(routers: usize, seed: u64) -> Scenario {
    Scenario {
        seed,
        routers,
        rate: 280.0,
        duration: 12 * SECOND,
        fault: None,
        disturbances: Disturbances::default(),
    }
}

fn fault(
    bad_share: f64,
    slowdown: f64,
    starts_after: Duration,
    route: Option<usize>,
) -> Option<Fault> {
    Some(Fault {
        bad_share,
        slowdown,
        starts_after,
        route,
    })
}

/// Runs a scenario in each fleet with each seed, and checks what has to hold under every fault.
fn run_in_all_fleets(name: &str, change: impl Fn(&mut Scenario)) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for routers in FLEETS {
        for seed in SEEDS {
            let mut scenario = scenario(routers, seed);
            change(&mut scenario);
            let outcome = Simulation::new(scenario).run();
            println!("{name}: {routers} routers, seed {seed}: {outcome:?}");
            assert!(
                outcome.stored.len() <= 1,
                "{name}: more than one stored outcome"
            );
            assert!(
                outcome.own_excess < 1.0,
                "{name}: a router exceeded its share"
            );
            outcomes.push(outcome);
        }
    }
    outcomes
}

fn assert_rolled_back_within_bound(name: &str, outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert_eq!(outcome.stored, [StoredState::RolledBack], "{name}");
        let bound = BOUND.share * outcome.requests as f64 + BOUND.slack;
        assert!(outcome.exposed as f64 <= bound, "{name}: {outcome:?}");
        assert_eq!(outcome.late_requests, 0, "{name}: {outcome:?}");
    }
}

#[test]
fn a_good_version_is_completed_before_its_deadline() {
    for outcome in run_in_all_fleets("good", |_| {}) {
        assert_eq!(outcome.stored, [StoredState::Completed]);
        assert!(outcome.decided_after <= Some(12 * SECOND), "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_at_once_is_rolled_back_early() {
    let outcomes = run_in_all_fleets("bad at once", |scenario| {
        scenario.fault = fault(0.3, 0.0, Duration::ZERO, None)
    });
    assert_rolled_back_within_bound("bad at once", &outcomes);
    for outcome in outcomes {
        assert!(outcome.bad_responses < 50, "{outcome:?}");
    }
}

#[test]
fn a_version_that_turns_bad_before_it_is_proved_is_rolled_back_early() {
    let outcomes = run_in_all_fleets("bad later", |scenario| {
        scenario.fault = fault(0.4, 0.0, 5 * SECOND, None)
    });
    assert_rolled_back_within_bound("bad later", &outcomes);
    for outcome in outcomes {
        assert!(outcome.bad_responses < 50, "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    let outcomes = run_in_all_fleets("bad on one route", |scenario| {
        scenario.fault = fault(0.5, 0.0, Duration::ZERO, Some(2));
    });
    assert_rolled_back_within_bound("bad on one route", &outcomes);
}

#[test]
fn a_slow_version_is_rolled_back() {
    let outcomes = run_in_all_fleets("slow", |scenario| {
        scenario.fault = fault(0.5, 4.0, Duration::ZERO, None)
    });
    assert_rolled_back_within_bound("slow", &outcomes);
}

#[test]
fn a_version_that_turns_bad_under_the_full_traffic_is_rolled_back() {
    let outcomes = run_in_all_fleets("bad under full traffic", |scenario| {
        scenario.fault = fault(0.4, 0.0, 8 * SECOND, None)
    });
    for outcome in outcomes {
        assert_eq!(outcome.stored, [StoredState::RolledBack]);
        assert_eq!(outcome.late_requests, 0, "{outcome:?}");
    }
}

#[test]
fn a_fault_of_both_versions_causes_no_rollback() {
    let outcomes = run_in_all_fleets("both fail", |scenario| {
        scenario.disturbances.common_failure_share = 0.15
    });
    for outcome in outcomes {
        assert_eq!(outcome.stored, [StoredState::Completed], "{outcome:?}");
    }
}

#[test]
fn lost_responses_of_the_store_cause_no_second_outcome() {
    for fault in [None, fault(0.4, 0.0, 4 * SECOND, None)] {
        let outcomes = run_in_all_fleets("lost store responses", |scenario| {
            scenario.disturbances.lost_responses = 0.6;
            scenario.fault = fault;
        });
        for outcome in outcomes {
            assert_eq!(outcome.stored.len(), 1, "{outcome:?}");
        }
    }
}

#[test]
fn the_outcome_is_stored_although_writers_are_killed() {
    for fault in [None, fault(0.4, 0.0, 4 * SECOND, None)] {
        let outcomes = run_in_all_fleets("killed writers", |scenario| {
            scenario.disturbances.killed_writers = 0.5;
            scenario.fault = fault;
        });
        for outcome in outcomes {
            assert_eq!(outcome.stored.len(), 1, "{outcome:?}");
            let bound = BOUND.share * outcome.requests as f64 + BOUND.slack;
            assert!(
                fault.is_none() || outcome.exposed as f64 <= bound,
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn partitioned_routers_keep_to_their_share_and_do_not_decide() {
    for fault in [None, fault(0.4, 0.0, Duration::ZERO, None)] {
        for routers in [4, 30] {
            let mut scenario = scenario(routers, 7);
            scenario.fault = fault;
            scenario.disturbances.partitioned_routers = routers / 4;
            scenario.disturbances.partition_time = 9 * SECOND;
            let outcome = Simulation::new(scenario).run();
            println!("partitioned: {routers} routers: {outcome:?}");
            let expected = match fault {
                None => StoredState::Completed,
                Some(_) => StoredState::RolledBack,
            };
            assert_eq!(outcome.stored, [expected]);
            assert!(outcome.own_excess < 1.0);
        }
    }
}
