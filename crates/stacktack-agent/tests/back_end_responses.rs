//! Responses of a back end that its agent cannot use.

use std::cell::RefCell;
use std::net::SocketAddr;

use bytes::Bytes;
use stacktack_agent::backend::BackendClient;
use stacktack_core::gate::BackendEvent;
use stacktack_wire::identity::{AttemptId, ConfigurationVersion, Incarnation, RequestId, TenantId};
use stacktack_wire::message::{Offer, Payload, Priority};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Bytes that an agent may keep of one response.
const MAX_KEPT_BYTES: usize = 16 << 20;

/// Bytes after which a back end ends a response that is too long.
const LONG_BYTES: usize = 64 << 20;

/// Starts a back end that answers with a head and so many times with a part.
async fn start_back_end(head: &str, part: &str, count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let (head, part) = (head.to_owned(), part.to_owned());
    actix_rt::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let _ = connection.read(&mut [0; 4096]).await;
        let _ = connection.write_all(head.as_bytes()).await;
        for _ in 0..count {
            if connection.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    address
}

fn offer(payload: Payload) -> Offer {
    Offer {
        attempt: attempt(),
        incarnation: Incarnation(1),
        version: ConfigurationVersion(1),
        tenant: TenantId::of("t"),
        chat: None,
        priority: Priority::Normal,
        deadline_ms: None,
        repeatable: false,
        prompt_tokens: 1,
        decode_tokens: 1,
        collected: Vec::new(),
        last_resort: false,
        payload,
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        request: RequestId(1),
        number: 1,
    }
}

fn plain_request() -> Payload {
    Payload::Service {
        service: "s".to_owned(),
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::from_static(b"once"),
    }
}

fn chat() -> Payload {
    Payload::Chat {
        model: "m".to_owned(),
        stream: true,
        body: Bytes::from_static(b"{}"),
    }
}

/// What an agent reports of a response: the bytes of its pieces, and its last event.
async fn run(address: SocketAddr, payload: Payload) -> (usize, BackendEvent) {
    let reported = RefCell::new((0, BackendEvent::Unreachable));
    let report = |event: BackendEvent| {
        let mut reported = reported.borrow_mut();
        if let BackendEvent::Pieces { pieces, .. } = &event {
            reported.0 += pieces.iter().map(Bytes::len).sum::<usize>();
        }
        reported.1 = event;
    };
    let client = BackendClient::new(address);
    client.run(attempt(), &offer(payload), report).await;
    reported.into_inner()
}

/// Guards against a machine that runs out of memory: a back end sent events, or one event, without end.
#[actix_rt::test]
async fn a_response_without_end_is_given_up() {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    for events in [
        format!("data: {}\n\n", "x".repeat(100_000)),
        "x".repeat(100_000),
        "\n\n".repeat(50_000),
    ] {
        let part = format!("{:x}\r\n{events}\r\n", events.len());
        let count = LONG_BYTES / part.len();
        let address = start_back_end(head, &part, count).await;
        let (bytes, last) = run(address, chat()).await;
        assert_eq!(last, BackendEvent::InvalidResponse);
        assert!(bytes <= MAX_KEPT_BYTES, "{bytes}");
    }
}

/// Guards against a body whose end its head leaves unclear, and that is taken for whole.
#[actix_rt::test]
async fn a_response_whose_framing_is_unclear_is_not_whole() {
    let chunks = "5\r\nwrong\r\n0\r\n\r\n";
    let mut found = Vec::new();
    for (head, body) in [
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 3",
            chunks,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 30\r\ntransfer-encoding: chunked",
            chunks,
        ),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunke", chunks),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\ncontent-length: 5",
            "wrong",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: \r\ncontent-length: 3",
            "wrong",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked",
            chunks,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3",
            "wrong",
        ),
        ("HTTP/1.1 200 OK\r\ncontent-length: +5", "wrong"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 5x", "wrong"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999",
            "wrong",
        ),
        ("HTTP/1.1 200 OK\r\ncontent length: 3", "wrong"),
        ("HTTP/1.1 200 OK\r\ncontent\x01length: 3", "wrong"),
        ("HTTP/1.1 200 OK\r\nno field\r\ncontent-length: 5", "wrong"),
        ("HTTP/1.1 000 OK\r\ncontent-length: 5", "wrong"),
        (
            "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 5",
            "wrong",
        ),
        ("HTTP/1.1 700 Odd\r\ncontent-length: 5", "wrong"),
    ] {
        let address = start_back_end(&format!("{head}\r\n\r\n{body}"), "", 0).await;
        let (bytes, last) = run(address, plain_request()).await;
        if bytes > 0 || matches!(last, BackendEvent::Finished(_) | BackendEvent::Refused) {
            found.push(format!("{head:?}: {bytes} bytes, {last:?}"));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against an empty body in the place of one that ends with its connection.
#[actix_rt::test]
async fn a_response_is_whole_or_not_used_whatever_its_framing() {
    for (whole, is_read) in [
        ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", true),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            true,
        ),
        ("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nwhole", true),
        ("HTTP/1.0 200 OK\r\n\r\nwhole", true),
        ("HTTP/1.1 200 OK\r\n\r\nwhole", false),
        ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole", false),
    ] {
        let (bytes, last) = run(start_back_end(whole, "", 0).await, plain_request()).await;
        match last {
            BackendEvent::Finished(_) => assert_eq!(bytes, 5, "{whole:?}"),
            last => assert!(!is_read, "{whole:?} {last:?}"),
        }
    }
}
