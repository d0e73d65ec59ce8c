//! Callers get complete responses and typed problems, and a caller that leaves cancels its request.

use serde_json::Value;
use stacktack_lab::caller::{Caller, Chat, ExpectedResponses};
use stacktack_lab::error::LabError;
use stacktack_lab::fleet::{tenant_key, wait_until, Fleet, FleetPlan, FleetProcess, MODEL};

use crate::fixture::{finished, run, small_fleet, start_long, wait_generated};

#[test]
fn chats_of_several_turns_get_complete_responses_and_reuse_their_prefix() {
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
            chat.add_user_message(&format!("question {turn}"));
            let body = chat.body(MODEL, turn % 2 == 0, 32);
            let expected = ExpectedResponses::of(&body)?;
            let caller = Caller::new(fleet.routers[turn % 2].address);
            let response = caller
                .complete(&chat, &tenant_key("tenant-1"), body, &[])
                .await?;
            assert_eq!(response.status, 200, "{}", response.text);
            assert!(response.complete);
            assert!(expected.is_complete(&response.text));
            cached = response.cached_tokens;
            chat.add_response(&response.text);
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
        let valid = Chat::new(String::from("c"), String::from("tenant-1"), 4).body(MODEL, false, 4);
        let unknown_model = valid.replace(MODEL, "no-such-model");
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
                &valid,
                401,
                "unknown-tenant",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![("content-type", "text/plain")],
                &valid,
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
                &valid,
                400,
                "malformed-header",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json, ("stacktack-deadline-ms", "0")],
                &valid,
                400,
                "malformed-header",
            ),
            (
                "POST",
                chat_path,
                &key,
                vec![json, ("stacktack-chat", &long)],
                &valid,
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
            let response = caller
                .call_service(method, path, key, &headers, body.to_string())
                .await?;
            assert_eq!(response.status, status, "{kind}: {}", response.text);
            let problem: Value = serde_json::from_str(&response.text).unwrap_or_default();
            assert_eq!(problem["type"], format!("/problems/{kind}"));
            assert_eq!(problem["outcome"], "not_run");
        }
        let response = caller
            .call_service("POST", chat_path, &key, &[json], valid)
            .await?;
        assert_eq!(response.status, 200, "{}", response.text);
        fleet.stop()
    });
}

/// Sends raw bytes to a router and returns the first bytes of its response; empty if it closes the
/// connection.
async fn raw_exchange(router: &FleetProcess, bytes: &[u8]) -> Result<String, LabError> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(router.address).await?;
    stream.write_all(bytes).await?;
    let mut buffer = vec![0; 4_096];
    let length = stream.read(&mut buffer).await?;
    Ok(String::from_utf8_lossy(&buffer[..length]).into_owned())
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
        let response = raw_exchange(router, slow.as_bytes()).await?;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        let padding = "x".repeat(200_000);
        let oversized = format!("{head}x-pad: {padding}\r\ncontent-length: 0\r\n\r\n");
        let response = raw_exchange(router, oversized.as_bytes()).await;
        let refused =
            response.is_err() || response.is_ok_and(|text| !text.starts_with("HTTP/1.1 2"));
        assert!(refused);
        let (expected, task) = start_long(router, "after", &[])?;
        assert!(expected.is_complete(&finished(task).await?.text));
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
