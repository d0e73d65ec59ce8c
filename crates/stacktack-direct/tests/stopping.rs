//! When a router's process ends after a stop signal, on virtual time.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stacktack_direct::router::Router;
use stacktack_direct::server::serve_connection;
use stacktack_direct::stopping::stop;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

use common::{after, router, router_that_refuses_with};

/// Size of a response, more than a connection buffers.
const RESPONSE_BYTES: usize = 900_000;

/// Bytes that a connection buffers while nobody reads it.
const BUFFER_BYTES: usize = 64 * 1024;

/// Sends a request to a router on a new connection, without reading the response.
async fn send_request(router: &Rc<Router>) -> DuplexStream {
    let (mut caller, accepted) = tokio::io::duplex(BUFFER_BYTES);
    spawn_local(serve_connection(router.clone(), accepted));
    let request = b"GET /safe/x HTTP/1.1\r\nhost: h.example\r\n\r\n";
    caller.write_all(request).await.expect("written");
    after(100).await;
    caller
}

/// A process that ended before a slow caller had read its whole response cut the end of it,
/// although the back end had sent it completely.
#[tokio::test(start_paused = true)]
async fn the_process_waits_for_responses_that_callers_have_not_read() {
    let tasks = LocalSet::new();
    let test = async {
        let router = router_that_refuses_with(Bytes::from(vec![b'x'; RESPONSE_BYTES]));
        let mut caller = send_request(&router).await;
        let stopping = spawn_local({
            let router = router.clone();
            async move { stop(&router).await }
        });
        after(5000).await;
        assert!(!stopping.is_finished());
        let mut response = Vec::new();
        caller.read_to_end(&mut response).await.expect("read");
        assert!(response.len() > RESPONSE_BYTES);
        let read_at = Instant::now();
        stopping.await.expect("stopped");
        assert!(read_at.elapsed() < Duration::from_millis(500));
    };
    tasks.run_until(test).await;
}

/// A process that waited for callers to send elsewhere was killed at the end of a grace period that
/// had been shortened meanwhile.
#[tokio::test(start_paused = true)]
async fn a_grace_period_shortened_during_a_stop_ends_the_process_sooner() {
    let tasks = LocalSet::new();
    let test = async {
        let router = router_that_refuses_with(Bytes::from(vec![b'x'; RESPONSE_BYTES]));
        let _unread = send_request(&router).await;
        let started = Instant::now();
        let stopping = spawn_local({
            let router = router.clone();
            async move { stop(&router).await }
        });
        after(300).await;
        let mut settings = router.settings.clone();
        settings.bounds.grace = Duration::from_millis(1500);
        router.reload(&settings);
        stopping.await.expect("stopped");
        assert!(started.elapsed() <= Duration::from_millis(1400));
    };
    tasks.run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_router_without_callers_ends_after_the_deregistration_delay() {
    let router = router();
    let started = Instant::now();
    stop(&router).await;
    assert_eq!(started.elapsed(), Duration::from_millis(2600));
}
