//! Planned stops and drains.

use stacktack_lab::fleet::{read_json, wait_until, Fleet, FleetPlan};

use crate::fixture::{finished, post, run, small_fleet, start_long};

#[test]
fn a_planned_stop_cuts_no_stream_and_takes_no_new_work() {
    run(async {
        let plan = FleetPlan {
            engines: 2,
            ..small_fleet()
        };
        let mut fleet = Fleet::start(&plan).await?;
        let mut streams = Vec::new();
        for number in 0..4 {
            streams.push(start_long(
                &fleet.routers[0],
                &format!("stay-{number}"),
                &[],
            )?);
        }
        wait_until(&fleet.routers[0], "/status", |status| {
            status["open_callers"] == 4
        })
        .await?;
        fleet.agents[0].signal("TERM")?;
        fleet.routers[0].signal("TERM")?;
        for (expected, task) in streams {
            let response = finished(task).await?;
            assert!(response.complete);
            assert!(expected.is_complete(&response.text));
        }
        fleet.agents[0].wait()?;
        fleet.routers[0].wait()?;
        Ok(())
    });
}

#[test]
fn a_drained_agent_refuses_and_another_serves() {
    run(async {
        let plan = FleetPlan {
            engines: 2,
            ..small_fleet()
        };
        let mut fleet = Fleet::start(&plan).await?;
        post(&fleet.agents[0], "/drain", "").await?;
        for number in 0..6 {
            let (expected, task) = start_long(&fleet.routers[0], &format!("d-{number}"), &[])?;
            let response = finished(task).await?;
            assert!(expected.is_complete(&response.text));
        }
        let observed = read_json(&fleet.engines[0], "/observed").await?;
        assert_eq!(observed["generated_tokens"], 0);
        fleet.stop()
    });
}
