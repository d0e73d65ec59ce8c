//! A version that is rolled out gets a bounded share until it is proved, and its outcome is
//! stored once.

#[path = "../event_queue/mod.rs"]
mod event_queue;
#[path = "../gossip/mod.rs"]
mod gossip;
mod orders;
mod scenario;
mod simulation;
mod store;

use std::time::Duration;

use scenario::{Fault, Outcome, Plan, Trouble};
use simulation::{Simulation, BOUND};
use stacktack_core::direct::rollout::status::StoredState;

const SECOND: Duration = Duration::from_secs(1);

/// Sizes of fleets.
const FLEETS: [usize; 4] = [1, 4, 30, 103];

const SEEDS: [u64; 3] = [1, 2, 3];

fn plan(routers: usize, seed: u64) -> Plan {
    Plan {
        seed,
        routers,
        rate: 280.0,
        duration: 12 * SECOND,
        fault: None,
        trouble: Trouble::default(),
    }
}

fn bad(share: f64, slower: f64, from: Duration, route: Option<usize>) -> Option<Fault> {
    Some(Fault {
        share,
        slower,
        from,
        route,
    })
}

/// Plays in each fleet with each seed, and holds what no fault may break.
fn play(name: &str, change: impl Fn(&mut Plan)) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for routers in FLEETS {
        for seed in SEEDS {
            let mut plan = plan(routers, seed);
            change(&mut plan);
            let outcome = Simulation::new(plan).play();
            println!("{name}: {routers} routers, seed {seed}: {outcome:?}");
            assert!(outcome.stored.len() <= 1, "{name}: more than one outcome");
            assert!(
                outcome.own_excess < 1.0,
                "{name}: a router over its own share"
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
        assert_eq!(outcome.late, 0, "{name}: {outcome:?}");
    }
}

#[test]
fn a_good_version_is_completed_before_its_deadline() {
    for outcome in play("good", |_| {}) {
        assert_eq!(outcome.stored, [StoredState::Completed]);
        assert!(outcome.decided_after <= Some(12 * SECOND), "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_at_once_is_rolled_back_early() {
    let outcomes = play("bad at once", |plan| {
        plan.fault = bad(0.3, 0.0, Duration::ZERO, None)
    });
    assert_rolled_back_within_bound("bad at once", &outcomes);
    for outcome in outcomes {
        assert!(outcome.bad < 50, "{outcome:?}");
    }
}

#[test]
fn a_version_that_turns_bad_before_it_is_proved_is_rolled_back_early() {
    let outcomes = play("bad later", |plan| {
        plan.fault = bad(0.4, 0.0, 5 * SECOND, None)
    });
    assert_rolled_back_within_bound("bad later", &outcomes);
    for outcome in outcomes {
        assert!(outcome.bad < 50, "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    let outcomes = play("bad on one route", |plan| {
        plan.fault = bad(0.5, 0.0, Duration::ZERO, Some(2));
    });
    assert_rolled_back_within_bound("bad on one route", &outcomes);
}

#[test]
fn a_slow_version_is_rolled_back() {
    let outcomes = play("slow", |plan| {
        plan.fault = bad(0.5, 4.0, Duration::ZERO, None)
    });
    assert_rolled_back_within_bound("slow", &outcomes);
}

#[test]
fn a_version_that_turns_bad_under_the_full_traffic_is_rolled_back() {
    let outcomes = play("bad when whole", |plan| {
        plan.fault = bad(0.4, 0.0, 8 * SECOND, None)
    });
    for outcome in outcomes {
        assert_eq!(outcome.stored, [StoredState::RolledBack]);
        assert_eq!(outcome.late, 0, "{outcome:?}");
    }
}

#[test]
fn a_fault_of_both_versions_causes_no_rollback() {
    let outcomes = play("both fail", |plan| plan.trouble.failing_all = 0.15);
    for outcome in outcomes {
        assert_eq!(outcome.stored, [StoredState::Completed], "{outcome:?}");
    }
}

#[test]
fn lost_responses_of_the_store_cause_no_second_outcome() {
    for fault in [None, bad(0.4, 0.0, 4 * SECOND, None)] {
        let outcomes = play("lost answers", |plan| {
            plan.trouble.lost_answers = 0.6;
            plan.fault = fault;
        });
        for outcome in outcomes {
            assert_eq!(outcome.stored.len(), 1, "{outcome:?}");
        }
    }
}

#[test]
fn the_outcome_is_stored_although_writers_are_killed() {
    for fault in [None, bad(0.4, 0.0, 4 * SECOND, None)] {
        let outcomes = play("killed writers", |plan| {
            plan.trouble.killed_writers = 0.5;
            plan.fault = fault;
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
    for fault in [None, bad(0.4, 0.0, Duration::ZERO, None)] {
        for routers in [4, 30] {
            let mut plan = plan(routers, 7);
            plan.fault = fault;
            plan.trouble.cut_off = routers / 4;
            plan.trouble.cut_for = 9 * SECOND;
            let outcome = Simulation::new(plan).play();
            println!("cut off: {routers} routers: {outcome:?}");
            let expected = match fault {
                None => StoredState::Completed,
                Some(_) => StoredState::RolledBack,
            };
            assert_eq!(outcome.stored, [expected]);
            assert!(outcome.own_excess < 1.0);
        }
    }
}
