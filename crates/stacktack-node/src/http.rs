//! Serving HTTP on the current thread, with typed problems.

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

/// Time for a caller to send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that an idle connection is kept.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// A server could not listen.
#[derive(Debug, Error)]
#[error("--{flag}: {address} cannot be listened on ({source}); allowed is a free address of this machine")]
pub struct ListenError {
    /// The flag that named the address.
    pub flag: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Why.
    pub source: std::io::Error,
}

/// Listens on an address that a flag named.
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

/// Takes datagrams on an address that a flag named.
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
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
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

/// Why a request's body is not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// More bytes than allowed.
    #[error("the body is over {0} bytes")]
    TooLarge(u64),
    /// It did not come in time.
    #[error("the body did not come within {0:?}")]
    Timeout(Duration),
    /// The connection broke or the framing is wrong.
    #[error("the body broke off")]
    Broken,
}

impl BodyError {
    /// The problem reply for it.
    pub fn problem(&self) -> Problem {
        let kind = match self {
            BodyError::TooLarge(_) => ProblemKind::BodyTooLarge,
            BodyError::Timeout(_) => ProblemKind::BodyTimeout,
            BodyError::Broken => ProblemKind::MalformedBody,
        };
        kind.problem(Outcome::NotRun, self.to_string())
    }
}

/// Reads a whole request body of at most `limit` bytes within `within`.
pub async fn read_body(
    request: &mut Request,
    limit: u64,
    within: Duration,
) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let collect = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Broken)?;
            if body.len() as u64 + chunk.len() as u64 > limit {
                return Err(BodyError::TooLarge(limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match timeout(within, collect).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::Timeout(within)),
    }
}

/// A reply with a JSON body.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(bytes)
        .map_into_boxed_body()
}

/// A reply with a text body.
pub fn text_response(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; version=0.0.4"))
        .body(body)
        .map_into_boxed_body()
}

/// A problem reply, with `Retry-After` where the problem names a time.
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
    /// The body is whole.
    End,
}

/// Sending side of a streamed body.
#[derive(Debug)]
pub struct BodySender {
    parts: UnboundedSender<BodyPart>,
    waiting: Rc<Cell<usize>>,
}

/// Receiving side of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    parts: UnboundedReceiver<BodyPart>,
    waiting: Rc<Cell<usize>>,
}

/// The reader of a streamed body is gone.
#[derive(Debug, Error)]
#[error("the body's reader is gone")]
pub struct ReceiverDropped;

/// Both sides of a streamed body, for one thread.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = unbounded_channel();
    let waiting = Rc::new(Cell::new(0));
    let source = BodyReceiver {
        parts: receiver,
        waiting: waiting.clone(),
    };
    let sender = BodySender {
        parts: sender,
        waiting,
    };
    (sender, source)
}

impl BodySender {
    /// Adds bytes.
    pub fn send(&self, bytes: Bytes) -> Result<(), ReceiverDropped> {
        self.waiting.set(self.waiting.get() + bytes.len());
        let part = BodyPart::Bytes(bytes);
        self.parts.send(part).map_err(|_| ReceiverDropped)
    }

    /// Ends the body.
    pub fn end(self) -> Result<(), ReceiverDropped> {
        self.parts.send(BodyPart::End).map_err(|_| ReceiverDropped)
    }

    /// Bytes that wait for a slow reader.
    pub fn pending_bytes(&self) -> usize {
        self.waiting.get()
    }
}

/// A body fed by a channel. Dropping it before its end calls `on_drop`; a
/// channel closed before the end breaks the connection, so that a cut body is
/// never taken for a whole one.
pub struct ChannelBody {
    source: BodyReceiver,
    ended: bool,
    on_drop: Option<Box<dyn FnOnce()>>,
}

/// The body's source went away before its end.
#[derive(Debug, Error)]
#[error("the body's source ended early")]
pub struct BodyAborted;

impl ChannelBody {
    /// A body with a call for when it is dropped before its end.
    pub fn new(source: BodyReceiver, on_drop: impl FnOnce() + 'static) -> Self {
        ChannelBody {
            source,
            ended: false,
            on_drop: Some(Box::new(on_drop)),
        }
    }
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        if let Some(call) = self.on_drop.take().filter(|_| !self.ended) {
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
        if this.ended {
            return Poll::Ready(None);
        }
        match this.source.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Bytes(bytes))) => {
                let waiting = &this.source.waiting;
                waiting.set(waiting.get().saturating_sub(bytes.len()));
                Poll::Ready(Some(Ok(bytes)))
            }
            Poll::Ready(Some(BodyPart::End)) => {
                this.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(BodyAborted))),
        }
    }
}
