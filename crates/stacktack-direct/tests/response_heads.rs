//! Responses whose head contradicts itself or names what is not understood, as callers see them.

mod common;
#[path = "common/one_route.rs"]
mod one_route;
#[path = "common/raw_http.rs"]
mod raw_http;

use stacktack_core::direct::traffic::route::RouteKind;
use stacktack_direct::ports::RefusalKind;
use tokio::task::LocalSet;

use one_route::{add_back_end, router};
use raw_http::{start_back_end, Caller, RawResponse, ReadResponse};

/// A response that is whole.
const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nsound";

/// Requests after which a router has permits for retries.
const EARNING_REQUESTS: usize = 30;

/// Heads that leave unknown where the body ends, and the body.
fn spoilt_responses() -> Vec<RawResponse> {
    let chunks = "5\r\nwrong\r\n0\r\n\r\n";
    let large = format!("{:x}\r\n{}\r\n0\r\n\r\n", 3 << 20, "w".repeat(3 << 20));
    let mut responses = Vec::new();
    for status in ["200 OK", "404 Not Found", "500 Error"] {
        for (head, body) in [
            ("transfer-encoding: chunked\r\ncontent-length: 3", chunks),
            ("content-length: 3\r\ntransfer-encoding: chunked", chunks),
            ("transfer-encoding: chunked\r\ncontent-length: 5", chunks),
            ("transfer-encoding: chunked\r\ncontent-length: 500", chunks),
            ("transfer-encoding: chunked\r\ncontent-length: 3", &large),
            ("transfer-encoding: chunke", chunks),
            ("transfer-encoding: chunke\r\ncontent-length: 5", "wrong"),
            ("transfer-encoding: \r\ncontent-length: 3", "wrong"),
            ("transfer-encoding: \r\ncontent-length: 5", "wrong"),
            ("transfer-encoding: gzip, chunked", chunks),
            (
                "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
                chunks,
            ),
            ("transfer-encoding: identity\r\ncontent-length: 5", "wrong"),
            ("content-length: 5\r\ncontent-length: 6", "wrong"),
            ("content-length: 5, 6", "wrong"),
            ("content-length: +5", "wrong"),
            ("content-length: ", "wrong"),
            ("content-length: 5x", "wrong"),
            ("content-length: 18446744073709551615", "wrong"),
            ("content-length: 99999999999999999999", "wrong"),
        ] {
            let text = format!("HTTP/1.1 {status}\r\n{head}\r\n\r\n{body}");
            responses.push(RawResponse::kept(&text));
            responses.push(RawResponse::closed(&text));
        }
    }
    responses
}

/// Responses whose status line is that of no final response.
fn responses_with_spoilt_status_lines() -> Vec<RawResponse> {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 020 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 Odd",
        "HTTP/1.1 999 Odd",
        "HTTP/1.1 -20 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.1\t200 OK",
    ];
    let responses = lines.map(|line| format!("{line}\r\ncontent-length: 5\r\n\r\nwrong"));
    responses.map(|text| RawResponse::closed(&text)).to_vec()
}

/// Responses with a line in their head that is no field.
fn responses_with_spoilt_lines() -> Vec<RawResponse> {
    let lines = [
        "content length: 3",
        "content-length : 3",
        "content-len\x01gth: 3",
        "content\tlength: 3",
        "x-\x7fname: a",
        ": a",
        "no field",
        "x: a\x01b",
        "x: a\x00b",
        "x: a\rcontent-length: 3",
        "x: a\r\n folded",
        " content-length: 3",
    ];
    let mut responses = Vec::new();
    for line in lines {
        for rest in [
            "content-length: 5\r\n\r\nwrong",
            "transfer-encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
            "\r\nwrong",
        ] {
            let text = format!("HTTP/1.1 200 OK\r\n{line}\r\n{rest}");
            responses.push(RawResponse::closed(&text));
        }
    }
    responses
}

/// Sends one request that gets this response, and two more that get a sound one, on the same
/// connection of their caller.
async fn play(kind: RouteKind, response: &RawResponse) -> [ReadResponse; 3] {
    let back_end = start_back_end(&[response.clone(), RawResponse::kept(SOUND)]).await;
    let mut caller = Caller::of(router(back_end, kind, None)).await;
    [
        caller.get("/x").await,
        caller.get("/x").await,
        caller.get("/x").await,
    ]
}

/// What is wrong with how callers are answered where a back end sends this response: it has to be
/// refused, and to leave nothing behind on their connection.
async fn faults(response: &RawResponse) -> Vec<String> {
    let shown = response.bytes.len().min(120);
    let shown = String::from_utf8_lossy(&response.bytes[..shown]).into_owned();
    let mut faults = Vec::new();
    for kind in [RouteKind::Once, RouteKind::Stream] {
        let [refused, sound, other] = play(kind, response).await;
        let is_refused = refused.text() == RefusalKind::Lost.as_str();
        if !is_refused || sound.text() != "sound" || other.text() != "sound" {
            faults.push(format!(
                "{kind:?} {shown:?}: {} {:?}, then {:?} and {:?}",
                refused.status(),
                String::from_utf8_lossy(&refused.body[..refused.body.len().min(30)]),
                sound.text(),
                other.text(),
            ));
        }
    }
    faults
}

async fn all_are_refused(responses: Vec<RawResponse>) {
    let test = async {
        let mut found = Vec::new();
        for response in responses {
            found.extend(faults(&response).await);
        }
        assert!(found.is_empty(), "{found:#?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a body that is cut under a length beside chunks, or that consists of the chunks'
/// framing, and whose rest is taken for the next response.
#[tokio::test]
async fn a_response_whose_framing_is_unclear_reaches_no_caller() {
    all_are_refused(spoilt_responses()).await;
}

/// Guards against a response with status 000, 101 or 999, which no caller can use.
#[tokio::test]
async fn a_response_with_the_status_of_no_final_response_reaches_no_caller() {
    all_are_refused(responses_with_spoilt_status_lines()).await;
}

/// Guards against a head that is passed on without a line that is no field, which may have told the
/// length.
#[tokio::test]
async fn a_response_with_a_line_that_is_no_field_reaches_no_caller() {
    all_are_refused(responses_with_spoilt_lines()).await;
}

/// Guards against a 502 where another back end can serve the request.
#[tokio::test]
async fn a_request_that_may_run_again_is_answered_by_another_back_end() {
    let test = async {
        for spoilt in spoilt_responses() {
            let sound = RawResponse::kept(SOUND);
            // The first requests earn the permits for retries.
            let responses = [vec![sound.clone(); EARNING_REQUESTS], vec![spoilt]].concat();
            let router = router(
                start_back_end(&responses).await,
                RouteKind::Repeatable,
                None,
            );
            let mut caller = Caller::of(router.clone()).await;
            for _ in 0..EARNING_REQUESTS {
                assert_eq!(caller.get("/x").await.text(), "sound");
            }
            add_back_end(&router, "b", start_back_end(&[sound]).await, 2);
            for _ in 0..4 {
                assert_eq!(caller.get("/x").await.text(), "sound", "{responses:?}");
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a response in HTTP/1.0 to a caller that speaks HTTP/1.1, for whom a cut stream then
/// ends in order.
#[tokio::test]
async fn a_caller_is_answered_in_its_own_version_and_never_takes_a_cut_stream_for_whole() {
    let test = async {
        let head = "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        for (events, is_whole) in [
            ("data: 1\n\ndata: 2\n\n", true),
            ("data: 1\n\ndata: 2", false),
            ("", false),
        ] {
            let response = RawResponse::closed(&format!("{head}{events}"));
            let [first, ..] = play(RouteKind::Stream, &response).await;
            // Without any event the connection may close before the head.
            let is_own_version = first.head.starts_with("http/1.1 200");
            assert!(is_own_version || events.is_empty(), "{}", first.head);
            assert_eq!(first.complete, is_whole, "{events:?} {}", first.head);
        }
        for status in ["200 OK", "500 Error"] {
            let text = format!("HTTP/1.0 {status}\r\ncontent-length: 5\r\n\r\nplain");
            let [first, sound, other] = play(RouteKind::Once, &RawResponse::closed(&text)).await;
            assert!(first.head.starts_with("http/1.1"), "{}", first.head);
            assert_eq!(
                [first.text(), sound.text(), other.text()],
                ["plain", "sound", "sound"]
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an answer to HEAD that loses its length, or that waits for a body.
#[tokio::test]
async fn a_response_without_a_body_keeps_the_connection_of_its_caller() {
    let test = async {
        let responses = [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
            SOUND,
        ];
        let back_end = start_back_end(&responses.map(RawResponse::kept)).await;
        let mut caller = Caller::of(router(back_end, RouteKind::Once, None)).await;
        let head = "HEAD /x HTTP/1.1\r\nhost: h.example\r\n\r\n";
        let response = caller.send(head).await;
        assert_eq!(response.header("content-length"), Some("5"));
        for status in [204, 304] {
            let response = caller.get("/x").await;
            assert_eq!(response.status(), status);
        }
        assert_eq!(caller.get("/x").await.text(), "sound");
    };
    LocalSet::new().run_until(test).await;
}
