//! Promises on real processes: whole answers, true refusals, at most once,
//! clean stops. Each test has its own fleet and waits on events.

use std::future::Future;
use std::time::Duration;

use serde_json::Value;
use stacktack_lab::caller::{Caller, Chat, ExpectedAnswers, Reply};
use stacktack_lab::error::LabError;
use stacktack_lab::fleet::{
    read_json, tenant_key, wait_until, Fleet, FleetPlan, FleetProcess, MODEL, SERVICE,
};
use stacktack_node::client::PlatformClient;

/// Tokens of an answer that is still running when something happens to it.
const LONG_ANSWER: u32 = 150;

fn run<F: Future<Output = Result<(), LabError>>>(test: F) {
    let result = actix_rt::System::new().block_on(test);
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn small_fleet() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 1,
        services: 0,
        ..FleetPlan::default()
    }
}

async fn post(process: &FleetProcess, path: &str, body: &str) -> Result<(), LabError> {
    let client = PlatformClient::new(process.operator);
    let bytes = body.as_bytes().to_vec();
    let (status, _) = client.exchange("POST", path, Some(bytes)).await?;
    assert!(status.is_success(), "{path} {body}: {status}");
    Ok(())
}

/// Waits until an engine has generated tokens.
async fn wait_generated(engine: &FleetProcess, tokens: u64) -> Result<(), LabError> {
    wait_until(engine, "/observed", |observed| {
        observed["generated_tokens"].as_u64() >= Some(tokens)
    })
    .await
}

/// Starts a long streamed answer; returns its expected text and its reply.
fn start_long(
    router: &FleetProcess,
    id: &str,
    headers: &'static [(&'static str, &'static str)],
) -> Result<
    (
        ExpectedAnswers,
        actix_rt::task::JoinHandle<Result<Reply, LabError>>,
    ),
    LabError,
> {
    let mut chat = Chat::new(id.to_string(), String::from("tenant-1"), 40);
    chat.ask("tell me all");
    let body = chat.body(MODEL, true, LONG_ANSWER);
    let expected = ExpectedAnswers::of(&body)?;
    let caller = Caller::new(router.address);
    let task = actix_rt::spawn(async move {
        let key = tenant_key("tenant-1");
        caller.complete(&chat, &key, body, headers).await
    });
    Ok((expected, task))
}

async fn finished(
    task: actix_rt::task::JoinHandle<Result<Reply, LabError>>,
) -> Result<Reply, LabError> {
    task.await
        .map_err(|error| LabError::Request(error.to_string()))?
}

#[test]
fn returning_chats_get_whole_answers_and_reuse_their_prefix() {
    run(async {
        let plan = FleetPlan {
            engines: 2,
            routers: 2,
            ..small_fleet()
        };
        let mut fleet = Fleet::start(&plan).await?;
        let mut chat = Chat::new(String::from("chat"), String::from("tenant-1"), 200);
        let mut cached = 0;
        for turn in 0..4 {
            chat.ask(&format!("question {turn}"));
            let body = chat.body(MODEL, turn % 2 == 0, 32);
            let expected = ExpectedAnswers::of(&body)?;
            let caller = Caller::new(fleet.routers[turn % 2].address);
            let reply = caller
                .complete(&chat, &tenant_key("tenant-1"), body, &[])
                .await?;
            assert_eq!(reply.status, 200, "{}", reply.text);
            assert!(reply.whole);
            assert!(expected.is_whole(&reply.text));
            cached = reply.cached_tokens;
            chat.take_answer(&reply.text);
        }
        assert!(cached >= 200, "only {cached} tokens were reused");
        fleet.stop()
    });
}

#[test]
fn bad_input_gets_typed_problems_and_the_router_serves_on() {
    run(async {
        let plan = FleetPlan {
            services: 1,
            ..small_fleet()
        };
        let mut fleet = Fleet::start(&plan).await?;
        let router = &fleet.routers[0];
        let caller = Caller::new(router.address);
        let key = tenant_key("tenant-1");
        let chat_path = "/v1/chat/completions";
        let json = ("content-type", "application/json");
        let good = Chat::new(String::from("c"), String::from("tenant-1"), 4).body(MODEL, false, 4);
        let unknown_model = good.replace(MODEL, "no-such-model");
        let too_large = format!("{{\"pad\":\"{}\"}}", "x".repeat(1_100_000));
        let long = "x".repeat(400);
        type Case<'a> = (
            &'a str,
            &'a str,
            &'a str,
            Vec<(&'a str, &'a str)>,
            &'a str,
            u16,
            &'a str,
        );
        let cases: Vec<Case> = vec![
            (
                "POST",
                chat_path,
                &key,
                vec![json],
                "{",
                400,
                "malformed-body",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json],
                "{\"model\":\"m\"}",
                400,
                "malformed-body",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json],
                &unknown_model,
                404,
                "unknown-model",
            ),
            (
                "POST",
                chat_path,
                "wrong",
                vec![json],
                &good,
                401,
                "unknown-tenant",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![("content-type", "text/plain")],
                &good,
                415,
                "unsupported-content-type",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json],
                &too_large,
                413,
                "body-too-large",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json, ("stacktack-priority", "urgent")],
                &good,
                400,
                "malformed-header",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json, ("stacktack-deadline-ms", "0")],
                &good,
                400,
                "malformed-header",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json, ("stacktack-chat", &long)],
                &good,
                400,
                "malformed-header",
            ),
            (
                "GET",
                chat_path,
                &key,
                vec![],
                "",
                405,
                "method-not-allowed",
            ),
            ("GET", "/nowhere", &key, vec![], "", 404, "unknown-path"),
            (
                "GET",
                "/services/none/x",
                &key,
                vec![],
                "",
                404,
                "unknown-service",
            ),
        ];
        for (method, path, key, headers, body, status, kind) in cases {
            let reply = caller
                .call_service(method, path, key, &headers, body.to_string())
                .await?;
            assert_eq!(reply.status, status, "{kind}: {}", reply.text);
            let problem: Value = serde_json::from_str(&reply.text).unwrap_or_default();
            assert_eq!(problem["type"], format!("/problems/{kind}"));
            assert_eq!(problem["outcome"], "not_run");
        }
        let reply = caller
            .call_service("POST", chat_path, &key, &[json], good)
            .await?;
        assert_eq!(reply.status, 200, "{}", reply.text);
        fleet.stop()
    });
}

/// Sends raw bytes and reads until the router closes the connection or its
/// first reply is whole.
async fn raw_exchange(router: &FleetProcess, bytes: &[u8]) -> Result<String, LabError> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(router.address).await?;
    stream.write_all(bytes).await?;
    let mut reply = vec![0; 4_096];
    let length = stream.read(&mut reply).await?;
    Ok(String::from_utf8_lossy(&reply[..length]).into_owned())
}

#[test]
fn slow_callers_and_oversized_headers_are_refused_and_the_router_serves_on() {
    run(async {
        let plan = FleetPlan {
            router_flags: ["--body-timeout-ms", "200"].map(String::from).to_vec(),
            ..small_fleet()
        };
        let mut fleet = Fleet::start(&plan).await?;
        let router = &fleet.routers[0];
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
            content-type: application/json\r\nauthorization: Bearer key-tenant-1\r\n";
        let slow = format!("{head}content-length: 100\r\n\r\n{{");
        let reply = raw_exchange(router, slow.as_bytes()).await?;
        assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
        let padding = "x".repeat(200_000);
        let oversized = format!("{head}x-pad: {padding}\r\ncontent-length: 0\r\n\r\n");
        let reply = raw_exchange(router, oversized.as_bytes()).await;
        let refused = reply.is_err() || reply.is_ok_and(|text| !text.starts_with("HTTP/1.1 2"));
        assert!(refused);
        let (expected, task) = start_long(router, "after", &[])?;
        assert!(expected.is_whole(&finished(task).await?.text));
        fleet.stop()
    });
}

#[test]
fn a_caller_that_leaves_cancels_the_engines_work() {
    run(async {
        let mut fleet = Fleet::start(&small_fleet()).await?;
        let (_, task) = start_long(&fleet.routers[0], "leaver", &[])?;
        wait_generated(&fleet.engines[0], 3).await?;
        task.abort();
        wait_until(&fleet.engines[0], "/observed", |observed| {
            observed["cancelled"] == 1
        })
        .await?;
        fleet.stop()
    });
}

#[test]
fn a_broken_engine_stream_is_resumed_to_the_whole_answer() {
    run(async {
        let mut fleet = Fleet::start(&small_fleet()).await?;
        post(&fleet.engines[0], "/faults", "{\"break_after\":20}").await?;
        let (expected, task) = start_long(&fleet.routers[0], "broken", &[])?;
        let reply = finished(task).await?;
        assert!(reply.whole);
        assert!(expected.is_whole(&reply.text));
        fleet.stop()
    });
}

#[test]
fn a_killed_engine_cuts_the_stream_without_done() {
    run(async {
        let fleet = Fleet::start(&small_fleet()).await?;
        let (expected, task) = start_long(&fleet.routers[0], "killed", &[])?;
        wait_generated(&fleet.engines[0], 10).await?;
        fleet.engines[0].signal("KILL")?;
        let reply = finished(task).await?;
        assert!(!reply.whole, "a cut stream ended with [DONE]");
        assert!(expected.is_beginning(&reply.text));
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
        assert!(finished(task).await.map_or(true, |reply| !reply.whole));
        wait_until(&fleet.engines[0], "/observed", |observed| {
            observed["cancelled"] == 1
        })
        .await
    });
}

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
            let reply = finished(task).await?;
            assert!(reply.whole);
            assert!(expected.is_whole(&reply.text));
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
            let reply = finished(task).await?;
            assert!(expected.is_whole(&reply.text));
        }
        let observed = read_json(&fleet.engines[0], "/observed").await?;
        assert_eq!(observed["generated_tokens"], 0);
        fleet.stop()
    });
}

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
        for reply in futures_util::future::join_all(calls).await {
            let reply = reply?;
            assert!(
                matches!(reply.status, 200 | 409),
                "{}: {}",
                reply.status,
                reply.text
            );
            answered += usize::from(reply.status == 200);
        }
        assert_eq!(answered, 1);
        assert_eq!(service_runs(&fleet).await?, 1);
        fleet.stop()
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
        let warm = caller
            .call_service("POST", &path, &key, &[], String::from("warm"))
            .await?;
        assert_eq!(warm.status, 200, "{}", warm.text);
        fleet.agents[0].signal("STOP")?;
        let reply = caller
            .call_service("POST", &path, &key, &[], String::from("frozen"))
            .await?;
        fleet.agents[0].signal("CONT")?;
        let problem: Value = serde_json::from_str(&reply.text).unwrap_or_default();
        assert_eq!(problem["outcome"], "unknown", "{}", reply.text);
        assert!(reply.total < Duration::from_secs(20));
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

/// A fleet with one router and two services.
fn service_fleet() -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: 0,
        services: 2,
        ..FleetPlan::default()
    }
}

/// Calls that the fleet's services really ran.
async fn service_runs(fleet: &Fleet) -> Result<u64, LabError> {
    let mut runs = 0;
    for service in &fleet.services {
        let observed = read_json(service, "/observed").await?;
        runs += observed["calls"].as_u64().unwrap_or(0);
    }
    Ok(runs)
}

async fn call_once(fleet: &Fleet, key: &str) -> Result<Reply, LabError> {
    let caller = Caller::new(fleet.routers[0].address);
    let path = format!("/services/{SERVICE}/entries");
    let headers = [("idempotency-key", key)];
    let tenant = tenant_key("tenant-1");
    caller
        .call_service("POST", &path, &tenant, &headers, String::from("entry"))
        .await
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
fn a_lost_reply_to_the_claim_is_settled_by_reading() {
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
        let reply = caller
            .call_service("POST", &path, &tenant, &[], String::from("entry"))
            .await?;
        assert_eq!(reply.status, 200, "{}", reply.text);
        fleet.stop()
    });
}
