//! HTTP servers: callers' connections, with one task each, and the endpoints for peers,
//! readiness and metrics.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use stacktack_core::time::Time;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::admission;
use crate::caller_stream::{CallerStream, CallerTransport};
use crate::count_guard::CountGuard;
use crate::response_deadline::DeadlineTracker;
use crate::router::{Phase, Router};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that a connection has for its request if it was accepted while the router drains.
const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks whether another router serves.
const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum bytes that are buffered for one connection, unless the configuration allows larger
/// request heads.
const DEFAULT_MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Bytes that the kernel keeps unsent for one caller, where memory is bounded. By default it takes
/// further bytes only when a third of its send buffer is free, which may be seconds apart.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// Opens a listener on an IPv4 address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers until the process ends. While this router drains and another one serves, the
/// listener is closed: a refused connection makes a caller try another router at once, whereas a
/// refusal over HTTP would use up one of its tries. While no other router serves, the listener is
/// open and callers get a refusal.
pub async fn accept_callers(router: Rc<Router>, mut listener: TcpListener) {
    loop {
        tokio::select! {
            () = accept_connections(&router, &listener) => {}
            () = wait_until_others_serve(&router) => {}
        }
        drop(listener);
        listener = loop {
            wait_until_none_serves(&router).await;
            match listen(router.settings.callers) {
                Ok(listener) => break listener,
                Err(error) => log::warn!(target: "callers", "cannot reopen the listener: {error}"),
            }
            sleep(ACCEPT_RETRY_DELAY).await;
        };
        log::info!(target: "callers", "listening=true cause=nobody_serves");
    }
}

async fn accept_connections(router: &Rc<Router>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_caller(router.clone(), stream));
            }
            Err(error) => {
                log::warn!(target: "callers", "cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until this router drains and another one serves.
async fn wait_until_others_serve(router: &Router) {
    let mut phase = router.phase.subscribe();
    if phase
        .wait_for(|phase| *phase >= Phase::Draining)
        .await
        .is_err()
    {
        return;
    }
    while !router.peers.borrow().any_serving() {
        sleep(SERVING_CHECK_INTERVAL).await;
    }
    log::info!(target: "callers", "listening=false cause=others_serve");
}

/// Waits until no other router serves.
async fn wait_until_none_serves(router: &Router) {
    while router.peers.borrow().any_serving() {
        sleep(SERVING_CHECK_INTERVAL).await;
    }
}

/// Whether a request is in flight on a connection, and when that last changed.
struct Activity {
    router: Rc<Router>,
    in_flight: Cell<bool>,
    /// Whether a response was handed to the connection and may not have been written out yet.
    flushing: Cell<bool>,
    /// When a request last began or ended.
    last_change: Cell<Time>,
}

impl Activity {
    fn new(router: Rc<Router>) -> Self {
        Activity {
            in_flight: Cell::new(false),
            flushing: Cell::new(false),
            last_change: Cell::new(router.now()),
            router,
        }
    }

    fn set(&self, in_flight: bool) {
        self.in_flight.set(in_flight);
        self.set_flushing(!in_flight);
        self.last_change.set(self.router.now());
    }

    fn set_flushing(&self, flushing: bool) {
        let count = &self.router.connections_flushing;
        match (self.flushing.replace(flushing), flushing) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            _ => {}
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.set_flushing(false);
    }
}

async fn serve_caller(router: Rc<Router>, stream: TcpStream) {
    if stream.set_nodelay(true).is_ok() {
        if router.memory.is_some() {
            bound_unsent_bytes(&stream);
        }
        serve_connection(router, stream).await;
    }
}

/// Bounds what the kernel keeps unsent, so that each part that the caller reads shows as progress.
fn bound_unsent_bytes(stream: &TcpStream) {
    static LOGGED: Once = Once::new();
    let bounded = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    if let Err(error) = bounded {
        LOGGED.call_once(|| {
            log::debug!(target: "callers", "cannot bound the unsent bytes of connections: {error}");
        });
    }
}

/// Serves the requests of one connection until the connection ends.
pub async fn serve_connection(router: Rc<Router>, stream: impl CallerTransport) {
    let _open = CountGuard::new(router.clone(), |router| &router.open_connections);
    let activity = Rc::new(Activity::new(router.clone()));
    let tracker = Rc::new(DeadlineTracker::default());
    let stream = CallerStream::new(stream, tracker.end.clone());
    let close = Rc::new(Notify::new());
    let service = {
        let router = router.clone();
        let activity = activity.clone();
        let tracker = tracker.clone();
        let close = close.clone();
        service_fn(move |request| {
            let router = router.clone();
            let activity = activity.clone();
            let tracker = tracker.clone();
            let close = close.clone();
            let caller = hyper::Request::version(&request);
            activity.set(true);
            async move {
                let mut response = admission::handle_request(router.clone(), request, &close).await;
                if *router.phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                activity.set(false);
                Ok::<_, Infallible>(tracker.track(response, caller))
            }
        })
    };
    let limits = router
        .configuration
        .borrow()
        .as_ref()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout counts from the end of the previous response: if it were shorter than the
        // idle timeout, it would cut idle connections.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(DEFAULT_MAX_BUFFER_BYTES.max(limits.header_bytes + 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut close_due = wait_until_close_due(&router).boxed_local().fuse();
    let mut overdue = std::pin::pin!(tracker.overdue(&router));
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = &mut overdue => {
                log::info!(target: "callers", "unread=true: closed a connection whose caller did not read the response in time");
                return;
            }
            () = close.notified() => return,
            never = tracker.read_ahead() => match never {},
            _ = &mut close_due => connection.as_mut().graceful_shutdown(),
            _ = sleep(limits.idle_timeout) => {
                let is_idle = router.now().since(activity.last_change.get()) >= limits.idle_timeout;
                if is_idle && !activity.in_flight.get() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Waits until a connection is to be closed because the router drains. A connection that was
/// accepted while the router drains has some time for one request, whose refusal says when to
/// retry.
async fn wait_until_close_due(router: &Router) {
    let mut phase = router.phase.subscribe();
    if *phase.borrow() >= Phase::Draining {
        sleep(LATE_CONNECTION_TIMEOUT).await;
        return;
    }
    // An error means that the router was dropped.
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
}

/// Serves short responses that depend on path and query, such as readiness and metrics.
pub async fn serve_by_path<F>(listener: TcpListener, respond: F)
where
    F: Fn(&str) -> (StatusCode, Bytes) + 'static,
{
    serve_by_address_and_path(listener, move |_, path| {
        let (status, body) = respond(path);
        (status, body, ())
    })
    .await;
}

/// Serves responses that depend on the client's IP address and on path and query. The last element
/// that `respond` returns is a guard: it is kept until the next request on the same connection or
/// the end of that connection.
pub async fn serve_by_address_and_path<F, G>(listener: TcpListener, respond: F)
where
    F: Fn(IpAddr, &str) -> (StatusCode, Bytes, G) + 'static,
    G: 'static,
{
    let respond = Rc::new(respond);
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let respond = respond.clone();
        actix_rt::spawn(async move {
            let guard = Rc::new(RefCell::new(None));
            let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| {
                let path = request
                    .uri()
                    .path_and_query()
                    .map_or("/", |path| path.as_str());
                let (status, body, new_guard) = respond(client.ip(), path);
                guard.replace(Some(new_guard));
                async move {
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            // A failed connection affects only its client.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
