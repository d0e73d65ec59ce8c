//! Orders that are refused, orders for the same and for several services, results of status writes,
//! and counts that arrive in any order.

use std::time::Duration;

use stacktack_core::direct::rollout::exposure::ExposureBound;
use stacktack_core::direct::rollout::latency::LatencyTarget;
use stacktack_core::direct::rollout::order::{OrderError, RolloutOrder};
use stacktack_core::direct::rollout::response_counts::{FleetCounts, ResponseOutcome, RouteHash};
use stacktack_core::direct::rollout::state::RolloutState;
use stacktack_core::direct::rollout::status::{
    StatusWrite, StatusWriteResult, StoredState, StoredStatus,
};
use stacktack_core::direct::rollout::{OrderOutcome, Rollouts, VersionSelection};
use stacktack_core::time::Time;

use crate::simulation::BOUND;

const START: Time = Time(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

const LATENCY_TARGET: LatencyTarget = LatencyTarget {
    objective: Duration::from_millis(120),
    needs_prefill: false,
};

fn order(service: &str, version: &str, revision: u64) -> RolloutOrder {
    RolloutOrder::new(service.into(), version.into(), 12.0, revision).expect("an order")
}

fn rollouts(bound: Option<ExposureBound>) -> Rollouts {
    Rollouts::new(7, bound).expect("the chart is complete")
}

/// Applies the writes that are due as if the store had stored them.
fn store_due_writes(rollouts: &mut Rollouts, revision: u64, now: Time) -> Vec<StatusWrite> {
    let writes = rollouts.due_writes(now);
    for write in &writes {
        rollouts.on_write_result(write, &StatusWriteResult::Stored(revision), now);
    }
    writes
}

#[test]
fn an_invalid_order_is_refused() {
    let error_of = |service: &str, version: &str, seconds: f64| {
        RolloutOrder::new(service.into(), version.into(), seconds, 1).expect_err("refused")
    };
    assert_eq!(error_of("", "v2", 12.0), OrderError::Service);
    assert_eq!(error_of("s", "", 12.0), OrderError::Version);
    assert_eq!(error_of(&"s".repeat(101), "v2", 12.0), OrderError::Service);
    for seconds in [0.0, -1.0, 1e12] {
        assert_eq!(error_of("s", "v2", seconds), OrderError::Duration(seconds));
    }
    let error = error_of("s", "v2", f64::NAN);
    assert!(matches!(error, OrderError::Duration(seconds) if seconds.is_nan()));
}

#[test]
fn an_order_without_duration_from_a_peer_is_refused() {
    let mut rollouts = rollouts(Some(BOUND));
    let mut order = order("s", "v2", 5);
    order.duration = Duration::ZERO;
    let outcome = rollouts.apply_order(&order, START);
    assert_eq!(outcome, OrderOutcome::Invalid(OrderError::Duration(0.0)));
    assert_eq!(
        rollouts.select_version("s", true, START),
        VersionSelection::Any
    );
}

#[test]
fn without_an_exposure_bound_an_order_changes_nothing() {
    let mut rollouts = rollouts(None);
    assert_eq!(
        rollouts.apply_order(&order("s", "v2", 5), START),
        OrderOutcome::NoExposureBound
    );
    assert_eq!(
        rollouts.select_version("s", true, START),
        VersionSelection::Any
    );
    assert!(rollouts.may_receive_requests("s", "v2"));
    assert!(rollouts.due_writes(START + SECOND).is_empty());
    assert!(rollouts.gossip(START + SECOND).is_empty());
}

#[test]
fn a_new_version_gets_no_requests_before_its_running_status_is_stored() {
    let mut rollouts = rollouts(Some(BOUND));
    assert_eq!(
        rollouts.apply_order(&order("s", "v2", 5), START),
        OrderOutcome::Started
    );
    assert_eq!(
        rollouts.select_version("s", true, START),
        VersionSelection::Old
    );
    let writes = store_due_writes(&mut rollouts, 6, START);
    assert_eq!(writes[0].state, StoredState::Running);
    assert_eq!(
        (writes[0].order_revision, writes[0].status_revision),
        (5, 0)
    );
    assert_eq!(rollouts.state("s"), Some(RolloutState::Canary));
}

#[test]
fn a_late_router_learns_the_outcome_and_does_not_write_another() {
    for (state, selection) in [
        (StoredState::Completed, VersionSelection::New),
        (StoredState::RolledBack, VersionSelection::Old),
    ] {
        let mut rollouts = rollouts(Some(BOUND));
        rollouts.apply_order(&order("s", "v2", 5), START);
        let write = rollouts.due_writes(START).remove(0);
        let status = StoredStatus {
            state,
            version: "v2".into(),
            revision: 9,
        };
        let result = StatusWriteResult::Conflict {
            order_revision: 5,
            status: Some(status),
        };
        let changes = rollouts.on_write_result(&write, &result, START);
        assert_eq!(changes.len(), 1);
        assert_eq!(rollouts.select_version("s", true, START), selection);
        assert!(rollouts.due_writes(START + 60 * SECOND).is_empty());
        assert!(rollouts.tick(START + 60 * SECOND).is_empty());
    }
}

#[test]
fn the_outcome_of_an_earlier_order_is_not_taken_for_this_one() {
    let mut rollouts = rollouts(Some(BOUND));
    rollouts.apply_order(&order("s", "v2", 5), START);
    let write = rollouts.due_writes(START).remove(0);
    let status = StoredStatus {
        state: StoredState::Completed,
        version: "v2".into(),
        revision: 3,
    };
    let result = StatusWriteResult::Conflict {
        order_revision: 5,
        status: Some(status),
    };
    assert!(rollouts.on_write_result(&write, &result, START).is_empty());
    let again = rollouts.due_writes(START);
    assert_eq!(again[0].state, StoredState::Running);
    assert_eq!(again[0].status_revision, 3);
}

#[test]
fn an_order_that_is_gone_from_the_store_gets_no_traffic_and_no_writes() {
    let mut rollouts = rollouts(Some(BOUND));
    rollouts.apply_order(&order("s", "v2", 5), START);
    let write = rollouts.due_writes(START).remove(0);
    let result = StatusWriteResult::Conflict {
        order_revision: 0,
        status: None,
    };
    rollouts.on_write_result(&write, &result, START);
    assert!(rollouts.is_withdrawn("s"));
    assert!(!rollouts.may_receive_requests("s", "v2"));
    assert!(rollouts.due_writes(START + 60 * SECOND).is_empty());
}

#[test]
fn a_newer_order_replaces_the_older_one_whose_version_gets_no_requests() {
    let mut rollouts = rollouts(Some(BOUND));
    rollouts.apply_order(&order("s", "v2", 5), START);
    store_due_writes(&mut rollouts, 6, START);
    let replaced = OrderOutcome::Replaced {
        version: "v2".into(),
    };
    assert_eq!(rollouts.apply_order(&order("s", "v3", 8), START), replaced);
    assert_eq!(
        rollouts.apply_order(&order("s", "v2", 5), START),
        OrderOutcome::AlreadyKnown
    );
    assert!(!rollouts.may_receive_requests("s", "v2"));
    assert!(rollouts.may_receive_requests("s", "v3"));
    assert!(rollouts.may_receive_requests("s", "v1"));
}

#[test]
fn orders_for_two_services_do_not_affect_each_other() {
    let mut rollouts = rollouts(Some(BOUND));
    rollouts.apply_order(&order("s", "v2", 5), START);
    rollouts.apply_order(&order("t", "v7", 6), START);
    store_due_writes(&mut rollouts, 7, START);
    for _ in 0..60 {
        rollouts.on_send("s", "v2");
        rollouts.on_response("s", "v2", "route", None, LATENCY_TARGET);
        rollouts.on_send("s", "v1");
        rollouts.on_response("s", "v1", "route", Some(SECOND / 100), LATENCY_TARGET);
    }
    rollouts.tick(START + SECOND);
    assert_eq!(rollouts.state("s"), Some(RolloutState::Stopped));
    assert_eq!(rollouts.state("t"), Some(RolloutState::Canary));
    assert_eq!(
        rollouts.select_version("u", true, START),
        VersionSelection::Any
    );
}

#[test]
fn a_version_that_no_back_end_runs_is_rolled_back_at_its_deadline() {
    let mut rollouts = rollouts(Some(BOUND));
    rollouts.apply_order(&order("s", "v9", 5), START);
    store_due_writes(&mut rollouts, 6, START);
    for _ in 0..500 {
        rollouts.on_send("s", "v1");
        rollouts.on_response("s", "v1", "route", Some(SECOND / 100), LATENCY_TARGET);
    }
    rollouts.tick(START + 6 * SECOND);
    assert_eq!(rollouts.state("s"), Some(RolloutState::Canary));
    let deadline = START + 12 * SECOND;
    rollouts.tick(deadline);
    assert_eq!(
        rollouts.due_writes(deadline)[0].state,
        StoredState::RolledBack
    );
}

#[test]
fn counts_are_the_same_whether_gossip_arrives_late_twice_or_out_of_order() {
    let route = RouteHash::of("route");
    let success = ResponseOutcome::Succeeded {
        latency: SECOND / 100,
        is_slow: false,
    };
    let mut sender = FleetCounts::new(1);
    let mut gossip = Vec::new();
    for count in 0..40 {
        let response = if count % 4 == 0 {
            ResponseOutcome::Failed
        } else {
            success
        };
        sender.record(route, count % 2 == 0, response);
        gossip.extend(sender.gossip());
    }
    let mut in_order = FleetCounts::new(2);
    let mut any_order = FleetCounts::new(2);
    for counts in &gossip {
        in_order.merge(counts);
    }
    for counts in gossip
        .iter()
        .rev()
        .chain(&gossip)
        .chain(gossip.iter().step_by(3))
    {
        any_order.merge(counts);
    }
    assert_eq!(in_order.totals(), any_order.totals());
    assert_eq!(in_order.totals(), sender.totals());
    assert_eq!(any_order.totals()[&route].new.responses, 20);
}

#[test]
fn counts_of_a_restarted_router_add_to_those_before() {
    let route = RouteHash::of("route");
    let mut known = FleetCounts::new(9);
    for incarnation in [1, 2] {
        let mut router = FleetCounts::new(incarnation);
        router.record(route, true, ResponseOutcome::Failed);
        for counts in router.gossip() {
            assert!(known.merge(&counts));
            assert!(!known.merge(&counts));
        }
    }
    assert_eq!(known.totals()[&route].new.failed, 2);
}
