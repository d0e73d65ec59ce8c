//! Calls with an idempotency key run at most once, also while the table fails.

use serde_json::Value;
use stacktack_lab::caller::Caller;
use stacktack_lab::fleet::{tenant_key, Fleet, FleetPlan, SERVICE};

use crate::fixture::{call_once, post, run, service_fleet, service_runs};

#[test]
fn one_idempotency_key_runs_once_through_two_routers() {
    run(async {
        let plan = FleetPlan {
            routers: 2,
            engines: 0,
            services: 2,
            ..FleetPlan::default()
        };
        let mut fleet = Fleet::start(&plan).await?;
        let path = format!("/services/{SERVICE}/entries");
        let key = tenant_key("tenant-1");
        let headers = [("idempotency-key", "entry-7")];
        let callers: Vec<Caller> = fleet
            .routers
            .iter()
            .map(|router| Caller::new(router.address))
            .collect();
        let calls = (0..6).map(|number| {
            callers[number % 2].call_service("POST", &path, &key, &headers, String::from("entry"))
        });
        let mut answered = 0;
        for response in futures_util::future::join_all(calls).await {
            let response = response?;
            assert!(
                matches!(response.status, 200 | 409),
                "{}: {}",
                response.status,
                response.text
            );
            answered += usize::from(response.status == 200);
        }
        assert_eq!(answered, 1);
        assert_eq!(service_runs(&fleet).await?, 1);
        fleet.stop()
    });
}

#[test]
fn keyed_calls_are_refused_as_not_run_while_the_table_is_down() {
    run(async {
        let mut fleet = Fleet::start(&service_fleet()).await?;
        post(&fleet.platform, "/faults", "{\"mode\":\"down\"}").await?;
        let refused = call_once(&fleet, "a").await?;
        assert_eq!(refused.status, 503, "{}", refused.text);
        let problem: Value = serde_json::from_str(&refused.text).unwrap_or_default();
        assert_eq!(problem["outcome"], "not_run");
        assert!(refused.retry_after.is_some());
        assert_eq!(service_runs(&fleet).await?, 0);
        post(&fleet.platform, "/faults", "{\"mode\":\"up\"}").await?;
        let answered = call_once(&fleet, "b").await?;
        assert_eq!(answered.status, 200, "{}", answered.text);
        assert_eq!(service_runs(&fleet).await?, 1);
        fleet.stop()
    });
}

#[test]
fn a_lost_reply_to_the_claim_is_resolved_by_reading() {
    run(async {
        let mut fleet = Fleet::start(&service_fleet()).await?;
        post(&fleet.platform, "/faults", "{\"mode\":\"lose_replies\"}").await?;
        let first = call_once(&fleet, "a").await?;
        assert_eq!(first.status, 200, "{}", first.text);
        let second = call_once(&fleet, "a").await?;
        assert_eq!(second.status, 409, "{}", second.text);
        assert_eq!(service_runs(&fleet).await?, 1);
        fleet.stop()
    });
}
