//! Bytes that follow a response at once, which tell whether its announced length can be right.

mod common;
#[path = "common/one_route.rs"]
mod one_route;
#[path = "common/raw_http.rs"]
mod raw_http;

use stacktack_core::direct::traffic::route::RouteKind;
use tokio::task::LocalSet;

use one_route::{add_back_end, router};
use raw_http::{start_back_end, Caller, RawResponse};

/// Requests after which a router has permits for retries.
const EARNING_REQUESTS: usize = 30;

/// A response with a body of ten bytes that announces this length.
fn response(status: &str, content_type: &str, length: usize) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncontent-length: {length}\r\n\r\n0123456789")
}

/// A response that is whole.
fn sound() -> RawResponse {
    RawResponse::kept(&response("200 OK", "text/plain", 10))
}

/// Guards against a body that is cut under a length with a spoilt digit and looks complete.
#[tokio::test]
async fn a_body_that_goes_on_after_its_announced_length_reaches_no_caller() {
    let test = async {
        for status in ["200 OK", "404 Not Found", "500 Error"] {
            for length in [0, 1, 9] {
                let cut = RawResponse::kept(&response(status, "text/plain", length));
                for kind in [RouteKind::Once, RouteKind::Stream] {
                    let back_end = start_back_end(&[cut.clone(), sound()]).await;
                    let mut caller = Caller::of(router(back_end, kind, None)).await;
                    let first = caller.get("/x").await;
                    assert!(
                        first.text() == "lost" || !first.complete,
                        "{kind:?} {status} {length}: {first:?}"
                    );
                }
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a cut body that looks complete where it is too large to be kept until its end.
#[tokio::test]
async fn a_large_body_that_goes_on_after_its_announced_length_does_not_look_whole() {
    let test = async {
        // The last bytes of the smaller one arrive as it turns too large.
        for (bytes, length) in [
            (3 << 20, (3 << 20) - 1),
            (3 << 20, 3_000_000),
            ((1 << 20) + 101, (1 << 20) + 100),
        ] {
            let body = "w".repeat(bytes);
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            let back_end = start_back_end(&[RawResponse::kept(&text), sound()]).await;
            let mut caller = Caller::of(router(back_end, RouteKind::Once, None)).await;
            let first = caller.get("/x").await;
            let is_refused = first.text() == "lost";
            assert!(
                is_refused || !first.complete,
                "{} bytes of {length}",
                first.body.len()
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a stream that is cut between two events under a length that is too small.
#[tokio::test]
async fn a_stream_that_goes_on_after_its_announced_length_does_not_look_whole() {
    let test = async {
        let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
        let length = events[0].len();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let text = format!("{head}content-length: {length}\r\n\r\n{}", events.concat());
        for kind in [RouteKind::Stream, RouteKind::ResumableStream] {
            let back_end = start_back_end(&[RawResponse::kept(&text)]).await;
            let mut caller = Caller::of(router(back_end, kind, None)).await;
            let first = caller.get("/x").await;
            assert!(!first.complete, "{kind:?} {first:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a 502 for a whole response that another response follows, which belongs to no request.
#[tokio::test]
async fn a_response_that_another_one_follows_is_delivered() {
    let test = async {
        let one = response("200 OK", "text/plain", 10);
        let chunked =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n";
        for surplus in [one.as_str(), "HTTP/1.1 500 Error\r\n", "HTTP", "H"] {
            let with_surplus = RawResponse::kept(&format!("{one}{surplus}"));
            let back_end = start_back_end(&[with_surplus, sound()]).await;
            let mut caller = Caller::of(router(back_end, RouteKind::Once, None)).await;
            for _ in 0..3 {
                assert_eq!(caller.get("/x").await.text(), "0123456789", "{surplus}");
            }
        }
        // The last chunk tells the end of a body whatever follows.
        let with_stray_bytes = RawResponse::kept(&format!("{chunked}stray"));
        let back_end = start_back_end(&[with_stray_bytes, sound()]).await;
        let mut caller = Caller::of(router(back_end, RouteKind::Once, None)).await;
        for _ in 0..3 {
            assert_eq!(caller.get("/x").await.text(), "0123456789");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a 502 where another back end can serve a request that may run again.
#[tokio::test]
async fn a_request_whose_response_goes_on_after_its_length_is_answered_by_another_back_end() {
    let test = async {
        let cut = RawResponse::kept(&response("200 OK", "text/plain", 9));
        let responses = [vec![sound(); EARNING_REQUESTS], vec![cut]].concat();
        let back_end = start_back_end(&responses).await;
        let router = router(back_end, RouteKind::Repeatable, None);
        let mut caller = Caller::of(router.clone()).await;
        for _ in 0..EARNING_REQUESTS {
            caller.get("/x").await;
        }
        add_back_end(&router, "b", start_back_end(&[sound()]).await, 2);
        for _ in 0..4 {
            assert_eq!(caller.get("/x").await.text(), "0123456789");
        }
    };
    LocalSet::new().run_until(test).await;
}
