//! Engines, routers and agents that break a stream off, are killed or freeze.

use std::time::Duration;

use serde_json::Value;
use stacktack_lab::caller::Caller;
use stacktack_lab::fleet::{read_json, tenant_key, wait_until, Fleet, FleetPlan, SERVICE};

use crate::fixture::{finished, post, run, service_fleet, small_fleet, start_long, wait_generated};

#[test]
fn a_broken_engine_stream_is_resumed_and_completed() {
    run(async {
        let mut fleet = Fleet::start(&small_fleet()).await?;
        post(&fleet.engines[0], "/faults", "{\"break_after\":20}").await?;
        let (expected, task) = start_long(&fleet.routers[0], "broken", &[])?;
        let response = finished(task).await?;
        assert!(response.complete);
        assert!(expected.is_complete(&response.text));
        fleet.stop()
    });
}

#[test]
fn a_killed_engine_truncates_the_stream_without_done() {
    run(async {
        let fleet = Fleet::start(&small_fleet()).await?;
        let (expected, task) = start_long(&fleet.routers[0], "killed", &[])?;
        wait_generated(&fleet.engines[0], 10).await?;
        fleet.engines[0].signal("KILL")?;
        let response = finished(task).await?;
        assert!(!response.complete, "a truncated stream ended with [DONE]");
        assert!(expected.is_prefix(&response.text));
        Ok(())
    });
}

#[test]
fn a_killed_router_leaves_no_work_behind() {
    run(async {
        let plan = FleetPlan {
            engine_flags: ["--step-us", "100000"].map(String::from).to_vec(),
            ..small_fleet()
        };
        let fleet = Fleet::start(&plan).await?;
        let (_, task) = start_long(&fleet.routers[0], "orphan", &[])?;
        wait_generated(&fleet.engines[0], 3).await?;
        fleet.routers[0].signal("KILL")?;
        assert!(finished(task)
            .await
            .map_or(true, |response| !response.complete));
        wait_until(&fleet.engines[0], "/observed", |observed| {
            observed["cancelled"] == 1
        })
        .await
    });
}

#[test]
fn a_frozen_agent_makes_the_outcome_unknown_and_the_call_runs_at_most_once() {
    run(async {
        let plan = FleetPlan {
            routers: 1,
            engines: 0,
            services: 1,
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(&plan).await?;
        let caller = Caller::new(fleet.routers[0].address);
        let path = format!("/services/{SERVICE}/entries");
        let key = tenant_key("tenant-1");
        let first = caller
            .call_service("POST", &path, &key, &[], String::from("warm"))
            .await?;
        assert_eq!(first.status, 200, "{}", first.text);
        fleet.agents[0].signal("STOP")?;
        let response = caller
            .call_service("POST", &path, &key, &[], String::from("frozen"))
            .await?;
        fleet.agents[0].signal("CONT")?;
        let problem: Value = serde_json::from_str(&response.text).unwrap_or_default();
        assert_eq!(problem["outcome"], "unknown", "{}", response.text);
        assert!(response.total < Duration::from_secs(20));
        wait_until(&fleet.agents[0], "/status", |status| {
            status["in_flight"] == 0
        })
        .await?;
        let observed = read_json(&fleet.services[0], "/observed").await?;
        let runs = observed["by_attempt"]
            .as_object()
            .cloned()
            .unwrap_or_default();
        assert!(runs.values().all(|count| *count == 1), "{runs:?}");
        Ok(())
    });
}

#[test]
fn a_router_that_starts_while_the_table_is_down_serves_from_a_peers_configuration() {
    run(async {
        let mut fleet = Fleet::start(&service_fleet()).await?;
        post(&fleet.platform, "/faults", "{\"mode\":\"down\"}").await?;
        let router = fleet.add_router("router-late")?;
        wait_until(router, "/readyz", |_| true).await?;
        wait_until(router, "/status", |status| {
            status["agents"]
                .as_array()
                .is_some_and(|agents| agents.len() >= 2)
        })
        .await?;
        let caller = Caller::new(router.address);
        let path = format!("/services/{SERVICE}/entries");
        let tenant = tenant_key("tenant-1");
        let response = caller
            .call_service("POST", &path, &tenant, &[], String::from("entry"))
            .await?;
        assert_eq!(response.status, 200, "{}", response.text);
        fleet.stop()
    });
}
