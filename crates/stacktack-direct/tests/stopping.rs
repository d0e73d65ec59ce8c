//! The end of a router's process after a stop signal, on virtual time.

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

const ANSWER_BYTES: usize = 900_000;

/// Bytes that a connection holds that nobody reads.
const BUFFER_BYTES: usize = 64 * 1024;

/// A caller that sent a request to a router, and reads nothing yet.
async fn caller(router: &Rc<Router>) -> DuplexStream {
    let (mut caller, accepted) = tokio::io::duplex(BUFFER_BYTES);
    spawn_local(serve_connection(router.clone(), accepted));
    let request = b"GET /safe/x HTTP/1.1\r\nhost: h.example\r\n\r\n";
    caller.write_all(request).await.expect("written");
    after(100).await;
    caller
}

/// A caller that reads slowly lost the end of an answer that its back end had given whole.
#[tokio::test(start_paused = true)]
async fn the_process_waits_for_responses_that_callers_have_not_read() {
    let tasks = LocalSet::new();
    let test = async {
        let router = router_that_refuses_with(Bytes::from(vec![b'x'; ANSWER_BYTES]));
        let mut caller = caller(&router).await;
        let stopping = spawn_local({
            let router = router.clone();
            async move { stop(&router).await }
        });
        after(5000).await;
        assert!(!stopping.is_finished());
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).await.expect("read");
        assert!(answer.len() > ANSWER_BYTES);
        let read = Instant::now();
        stopping.await.expect("stopped");
        assert!(read.elapsed() < Duration::from_millis(500));
    };
    tasks.run_until(test).await;
}

/// A process that waited for callers to look away was killed before it had ended by itself.
#[tokio::test(start_paused = true)]
async fn a_grace_period_shortened_during_a_stop_ends_the_process_sooner() {
    let tasks = LocalSet::new();
    let test = async {
        let router = router_that_refuses_with(Bytes::from(vec![b'x'; ANSWER_BYTES]));
        let _unread = caller(&router).await;
        let begun = Instant::now();
        let stopping = spawn_local({
            let router = router.clone();
            async move { stop(&router).await }
        });
        after(300).await;
        let mut settings = router.settings.clone();
        settings.bounds.grace = Duration::from_millis(1500);
        router.reload(&settings);
        stopping.await.expect("stopped");
        assert!(begun.elapsed() <= Duration::from_millis(1400));
    };
    tasks.run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_router_without_callers_ends_after_the_deregistration_delay() {
    let router = router();
    let begun = Instant::now();
    stop(&router).await;
    assert_eq!(begun.elapsed(), Duration::from_millis(2600));
}
