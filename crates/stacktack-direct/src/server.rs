//! Callers' connections: one task each.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use stacktack_core::time::Time;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::admission;
use crate::count_guard::CountGuard;
use crate::response_deadline::DeadlineTracker;
use crate::router::{Phase, Router};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, for descriptors to come free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time that a connection has for its request when it came up while the router
/// drains.
const LATE_CALLER: Duration = Duration::from_millis(500);

/// Time between looks at whether another router serves.
const TAKE_OVER_LOOK: Duration = Duration::from_millis(50);

/// Largest head that is buffered for one connection, in bytes, unless the
/// configuration allows more.
const BUFFER_BYTES: usize = 32 * 1024;

/// Listens on an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers until the process ends. While it drains and another router
/// serves, its address is closed: a refused connection sends a caller on at
/// once, while an answer would cost it one of its tries. While nobody serves, who
/// comes is told so.
pub async fn accept_callers(router: Rc<Router>, mut listener: TcpListener) {
    loop {
        tokio::select! {
            () = accept_from(&router, &listener) => {}
            () = others_take_over(&router) => {}
        }
        drop(listener);
        listener = loop {
            nobody_serves(&router).await;
            match listen(router.settings.callers) {
                Ok(listener) => break listener,
                Err(error) => log::warn!(target: "callers", "listening again failed: {error}"),
            }
            sleep(ACCEPT_PAUSE).await;
        };
        log::info!(target: "callers", "listening=true cause=nobody_serves");
    }
}

async fn accept_from(router: &Rc<Router>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_caller(router.clone(), stream));
            }
            Err(error) => {
                log::warn!(target: "callers", "accepting failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until this router drains and another one serves.
async fn others_take_over(router: &Router) {
    let mut phase = router.phase.subscribe();
    if phase
        .wait_for(|phase| *phase >= Phase::Draining)
        .await
        .is_err()
    {
        return;
    }
    while !router.peers.borrow().any_serving() {
        sleep(TAKE_OVER_LOOK).await;
    }
    log::info!(target: "callers", "listening=false cause=others_serve");
}

/// Waits until no other router serves.
async fn nobody_serves(router: &Router) {
    while router.peers.borrow().any_serving() {
        sleep(TAKE_OVER_LOOK).await;
    }
}

/// Requests under way on one connection and the last change of that.
struct Activity {
    router: Rc<Router>,
    under_way: Cell<bool>,
    /// Whether an answer was begun that may not have left yet.
    answering: Cell<bool>,
    changed: Cell<Time>,
}

impl Activity {
    fn new(router: Rc<Router>) -> Self {
        Activity {
            under_way: Cell::new(false),
            answering: Cell::new(false),
            changed: Cell::new(router.now()),
            router,
        }
    }

    fn set(&self, under_way: bool) {
        self.under_way.set(under_way);
        self.set_answering(!under_way);
        self.changed.set(self.router.now());
    }

    fn set_answering(&self, answering: bool) {
        let count = &self.router.answering;
        match (self.answering.replace(answering), answering) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            _ => {}
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.set_answering(false);
    }
}

async fn serve_caller(router: Rc<Router>, stream: TcpStream) {
    if stream.set_nodelay(true).is_ok() {
        serve_connection(router, stream).await;
    }
}

/// Serves the requests of one connection until it ends.
pub async fn serve_connection<S>(router: Rc<Router>, stream: S)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let _open = CountGuard::new(router.clone(), |router| &router.open_connections);
    let activity = Rc::new(Activity::new(router.clone()));
    let passed = Rc::new(DeadlineTracker::default());
    let service = {
        let router = router.clone();
        let activity = activity.clone();
        let passed = passed.clone();
        service_fn(move |request| {
            let router = router.clone();
            let activity = activity.clone();
            let passed = passed.clone();
            activity.set(true);
            async move {
                let mut response = admission::answer(router.clone(), request).await;
                if *router.phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                activity.set(false);
                Ok::<_, Infallible>(passed.track(response))
            }
        })
    };
    let limits = router
        .configuration
        .borrow()
        .as_ref()
        .map(|known| known.limits)
        .unwrap_or_default();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counted from the end of the answer before, so that no rest may be cut by it.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(BUFFER_BYTES.max(limits.header_bytes + 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut draining = time_to_close(&router).boxed_local().fuse();
    let mut overdue = std::pin::pin!(passed.overdue(&router));
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = &mut overdue => {
                log::info!(target: "callers", "unread=true: an answer ended with its time");
                return;
            }
            _ = &mut draining => connection.as_mut().graceful_shutdown(),
            _ = sleep(limits.idle_timeout) => {
                let rested = router.now().since(activity.changed.get()) >= limits.idle_timeout;
                if rested && !activity.under_way.get() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Waits until a connection closes for the router's end. One that came up while
/// the router drains has a moment for a request, which is told when to come back.
async fn time_to_close(router: &Router) {
    let mut phase = router.phase.subscribe();
    if *phase.borrow() >= Phase::Draining {
        sleep(LATE_CALLER).await;
        return;
    }
    // An error means that the router is gone.
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
}

/// Serves small answers by path and query: readiness, metrics.
pub async fn serve_small<F>(listener: TcpListener, answer: F)
where
    F: Fn(&str) -> (StatusCode, Bytes) + 'static,
{
    serve_peers(listener, move |_, path| {
        let (status, body) = answer(path);
        (status, body, ())
    })
    .await;
}

/// Serves answers by the caller's address and by path and query. The last part of an answer is kept
/// for as long as the connection that it goes over.
pub async fn serve_peers<F, G>(listener: TcpListener, answer: F)
where
    F: Fn(IpAddr, &str) -> (StatusCode, Bytes, G) + 'static,
    G: 'static,
{
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        actix_rt::spawn(async move {
            let kept = Rc::new(RefCell::new(None));
            let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
                let path = request
                    .uri()
                    .path_and_query()
                    .map_or("/", |path| path.as_str());
                let (status, body, keep) = answer(caller.ip(), path);
                kept.replace(Some(keep));
                async move {
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            // A failed connection concerns only who asked.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
