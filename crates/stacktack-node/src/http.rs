//! HTTP serving on the current thread, with typed problems.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use stacktack_core::problem::{Outcome, Problem, ProblemKind, CONTENT_TYPE};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Maximum time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// A server could not listen on an address.
#[derive(Debug, Error)]
#[error("--{flag}: {address} cannot be listened on ({source}); allowed is a free address of this machine")]
pub struct ListenError {
    /// The flag that gave the address.
    pub flag: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub source: std::io::Error,
}

/// Listens on the address that a flag gave.
pub fn listen(
    flag: &'static str,
    address: SocketAddr,
) -> Result<std::net::TcpListener, ListenError> {
    let wrap = |source| ListenError {
        flag,
        address,
        source,
    };
    let listener = std::net::TcpListener::bind(address).map_err(wrap)?;
    listener.set_nonblocking(true).map_err(wrap)?;
    Ok(listener)
}

/// Binds a UDP socket to the address that a flag gave.
pub fn bind_datagram_socket(
    flag: &'static str,
    address: SocketAddr,
) -> Result<std::net::UdpSocket, ListenError> {
    std::net::UdpSocket::bind(address).map_err(|source| ListenError {
        flag,
        address,
        source,
    })
}

/// Serves HTTP on the current thread until the task is dropped.
pub async fn serve<H, F>(listener: std::net::TcpListener, handler: H) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let handler = handler.clone();
        actix_rt::spawn(serve_connection(stream, handler));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    use actix_service::{Service, ServiceFactory};
    let call = move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    };
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        .h1(call)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    if let Err(error) = service.call(stream).await {
        log::debug!(target: "http", "a connection ended: {error}");
    }
}

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body has more bytes than allowed.
    #[error("the body is over {0} bytes")]
    TooLarge(u64),
    /// The body did not arrive in time.
    #[error("the body did not come within {0:?}")]
    Timeout(Duration),
    /// The connection broke or the framing is invalid.
    #[error("the body broke off")]
    Broken,
}

impl BodyError {
    /// The problem to respond with.
    pub fn problem(&self) -> Problem {
        let kind = match self {
            BodyError::TooLarge(_) => ProblemKind::BodyTooLarge,
            BodyError::Timeout(_) => ProblemKind::BodyTimeout,
            BodyError::Broken => ProblemKind::MalformedBody,
        };
        kind.problem(Outcome::NotRun, self.to_string())
    }
}

/// Reads a complete request body of at most `max_bytes` within `time_limit`.
pub async fn read_body(
    request: &mut Request,
    max_bytes: u64,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let collect = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Broken)?;
            if body.len() as u64 + chunk.len() as u64 > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match timeout(time_limit, collect).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::Timeout(time_limit)),
    }
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(bytes)
        .map_into_boxed_body()
}

/// Builds a response with a text body.
pub fn text_response(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; version=0.0.4"))
        .body(body)
        .map_into_boxed_body()
}

/// Builds the response for a problem, with `Retry-After` if the problem gives a
/// time.
pub fn problem_response(problem: &Problem) -> Response<BoxBody> {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let bytes = serde_json::to_vec(problem).unwrap_or_default();
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", CONTENT_TYPE));
    if let Some(seconds) = problem.retry_after_seconds() {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder.body(bytes).map_into_boxed_body()
}

/// A part of a streamed body.
#[derive(Debug)]
enum BodyPart {
    /// Bytes to send at once.
    Bytes(Bytes),
    /// The body is complete.
    End,
}

/// Sending side of a streamed body.
#[derive(Debug)]
pub struct BodySender {
    parts: UnboundedSender<BodyPart>,
    pending_bytes: Rc<Cell<usize>>,
}

/// Receiving side of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    parts: UnboundedReceiver<BodyPart>,
    pending_bytes: Rc<Cell<usize>>,
}

/// The receiving side of a streamed body was dropped.
#[derive(Debug, Error)]
#[error("the receiver of the body was dropped")]
pub struct ReceiverDropped;

/// Creates both sides of a streamed body, for one thread.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (parts_sender, parts_receiver) = unbounded_channel();
    let pending_bytes = Rc::new(Cell::new(0));
    let receiver = BodyReceiver {
        parts: parts_receiver,
        pending_bytes: pending_bytes.clone(),
    };
    let sender = BodySender {
        parts: parts_sender,
        pending_bytes,
    };
    (sender, receiver)
}

impl BodySender {
    /// Sends a part of the body.
    pub fn send(&self, bytes: Bytes) -> Result<(), ReceiverDropped> {
        self.pending_bytes
            .set(self.pending_bytes.get() + bytes.len());
        let part = BodyPart::Bytes(bytes);
        self.parts.send(part).map_err(|_| ReceiverDropped)
    }

    /// Ends the body.
    pub fn end(self) -> Result<(), ReceiverDropped> {
        self.parts.send(BodyPart::End).map_err(|_| ReceiverDropped)
    }

    /// Number of bytes sent but not yet read.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes.get()
    }
}

/// Body of a response, read from a channel. If the body is dropped before its
/// end, `on_drop` is called. If the channel closes before the end, the connection
/// breaks, so that a truncated body is never mistaken for a complete one.
pub struct ChannelBody {
    receiver: BodyReceiver,
    is_complete: bool,
    on_drop: Option<Box<dyn FnOnce()>>,
}

/// The sending side of a streamed body was dropped before the end of the body.
#[derive(Debug, Error)]
#[error("the sender of the body was dropped before its end")]
pub struct BodyAborted;

impl ChannelBody {
    /// Creates a body; `on_drop` is called if the body is dropped before its end.
    pub fn new(receiver: BodyReceiver, on_drop: impl FnOnce() + 'static) -> Self {
        ChannelBody {
            receiver,
            is_complete: false,
            on_drop: Some(Box::new(on_drop)),
        }
    }
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        if let Some(call) = self.on_drop.take().filter(|_| !self.is_complete) {
            call();
        }
    }
}

impl MessageBody for ChannelBody {
    type Error = BodyAborted;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let this = self.get_mut();
        if this.is_complete {
            return Poll::Ready(None);
        }
        match this.receiver.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Bytes(bytes))) => {
                let pending_bytes = &this.receiver.pending_bytes;
                pending_bytes.set(pending_bytes.get().saturating_sub(bytes.len()));
                Poll::Ready(Some(Ok(bytes)))
            }
            Poll::Ready(Some(BodyPart::End)) => {
                this.is_complete = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(BodyAborted))),
        }
    }
}
