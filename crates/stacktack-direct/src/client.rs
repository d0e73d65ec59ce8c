//! Single HTTP/1.1 client connections.
//!
//! Whether a request may have run depends on what happened on its connection, so nothing here
//! retries, redirects or pools. Dropping a connection closes it at once, which cancels a request
//! in flight.
//!
//! What a response says of its own framing, status and version is checked here, before anything
//! else reads it.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, Version};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stacktack_core::response_framing::{
    may_begin_response, HeadError, ResponseFraming, ResponseLine,
};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::head_limit::{HeadLimit, HeadLimitedStream};
use crate::source_error::SourceError;
use crate::transfer::Transfer;

/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum bytes that are buffered for one connection: the response head and unread data.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum size of a document of the store or of a peer, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Why a connection was not established.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("connecting timed out")]
    Timeout,
    /// The connection was accepted, and closed before anything was written.
    #[error("the connection was closed on accept")]
    ClosedOnAccept,
    /// The connection was refused or failed.
    #[error("connecting failed: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP connection could not be set up.
    #[error("the HTTP connection could not be set up: {0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, ConnectError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was written.
    #[error("nothing of the request was written")]
    NotWritten,
    /// No response came in time.
    #[error("no response came in time")]
    TimedOut,
    /// The connection broke after something may have been written.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The head of the response is rejected.
    #[error("the head of the response is invalid: {0}")]
    InvalidHead(#[from] HeadError),
}

/// A response whose head was checked. The head has no fields about framing, but for the length that
/// answers a HEAD request, and the version of this side.
pub struct CheckedResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// How the server marks the end of the body.
    pub framing: ResponseFraming,
}

impl CheckedResponse {
    fn check(
        mut response: Response<Incoming>,
        answers_head_request: bool,
    ) -> Result<Self, HeadError> {
        let line = ResponseLine {
            status: response.status().as_u16(),
            is_http_1_0: response.version() < Version::HTTP_11,
            answers_head_request,
        };
        let headers = response.headers_mut();
        let framing = line.framing(
            values(headers, &TRANSFER_ENCODING),
            values(headers, &CONTENT_LENGTH),
        )?;
        headers.remove(TRANSFER_ENCODING);
        if !answers_head_request {
            headers.remove(CONTENT_LENGTH);
        }
        *response.version_mut() = Version::HTTP_11;
        Ok(CheckedResponse { response, framing })
    }
}

/// Values of all fields of a name.
fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    headers.get_all(name).iter().map(HeaderValue::as_bytes)
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    head_limit: HeadLimit,
    /// Whether the connection has ended with bytes that begin no response.
    has_stray_bytes: Rc<Cell<bool>>,
}

/// Task that drives a connection; aborted on drop.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ClientConnection {
    /// Connects without a timeout; the caller bounds the time.
    pub async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        Self::handshake(TcpStream::connect(address).await?, MAX_BUFFER_BYTES).await
    }

    /// Connects within a timeout; up to `max_buffer_bytes` are buffered.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        max_buffer_bytes: usize,
    ) -> Result<Self, ConnectError> {
        let stream = connect(address, connect_timeout).await?;
        Self::handshake(stream, max_buffer_bytes).await
    }

    /// Connects, and waits for `check_time` whether the server closes the connection: an overloaded
    /// one accepts and resets at once. Nothing has been written by then, which proves that nothing
    /// ran.
    pub async fn open_with_reset_check(
        address: SocketAddr,
        connect_timeout: Duration,
        check_time: Duration,
        max_buffer_bytes: usize,
    ) -> Result<Self, ConnectError> {
        let stream = connect_with_reset_check(address, connect_timeout, check_time).await?;
        Self::handshake(stream, max_buffer_bytes).await
    }

    async fn handshake(stream: TcpStream, max_buffer_bytes: usize) -> Result<Self, ConnectError> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        Self::over(stream, max_buffer_bytes).await
    }

    /// Uses a transport that is connected; up to `max_buffer_bytes` are buffered.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        max_buffer_bytes: usize,
    ) -> Result<Self, ConnectError> {
        let head_limit = HeadLimit::default();
        let stream = HeadLimitedStream {
            stream,
            limit: head_limit.clone(),
        };
        let (sender, mut connection) = http1::Builder::new()
            .max_buf_size(max_buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await?;
        let has_stray_bytes = Rc::new(Cell::new(false));
        let stray = has_stray_bytes.clone();
        let driver = Driver(actix_rt::spawn(async move {
            // A failure also reaches the task that waits for the response.
            let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            let unread = connection.into_parts().read_buf;
            stray.set(!may_begin_response(&unread));
        }));
        Ok(ClientConnection {
            sender,
            driver,
            head_limit,
            has_stray_bytes,
        })
    }

    /// Whether the connection has neither been closed nor failed.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Whether bytes that begin no response have arrived after the last one, as far as is known when
    /// the last bytes of its body have been taken. Later ones are not waited for.
    pub fn has_stray_bytes(&self) -> bool {
        self.has_stray_bytes.get()
    }

    /// Whether the connection waits for a request: the previous one is complete in both directions.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<CheckedResponse, SendError> {
        let is_head_request = request.method() == Method::HEAD;
        self.head_limit.on_request();
        let result = self.sender.try_send_request(request).await;
        self.head_limit.on_head();
        let response = result.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotWritten,
            None => SendError::Broken(error.into_error()),
        })?;
        Ok(CheckedResponse::check(response, is_head_request)?)
    }
}

/// Connects, and waits for `check_time` whether the server closes the connection.
pub(crate) async fn connect_with_reset_check(
    address: SocketAddr,
    connect_timeout: Duration,
    check_time: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = connect(address, connect_timeout).await?;
    if timeout(check_time, stream.readable()).await.is_ok() {
        return Err(ConnectError::ClosedOnAccept);
    }
    Ok(stream)
}

/// Connects within a timeout.
async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    Ok(stream)
}

impl From<SendError> for SourceError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::TimedOut => SourceError::TimedOut,
            SendError::NotWritten | SendError::Broken(_) => SourceError::Broken,
            SendError::InvalidHead(_) => SourceError::Malformed,
        }
    }
}

/// Sends a request and collects the response, whose progress is recorded in `transfer`. There is
/// no timeout: the caller bounds the time.
pub async fn send_and_collect(
    connection: &mut ClientConnection,
    request: Request<Full<Bytes>>,
    transfer: &Transfer,
) -> Result<Response<Bytes>, SourceError> {
    let CheckedResponse { response, framing } = connection.send(request).await?;
    let (head, mut body) = response.into_parts();
    transfer.on_bytes(1);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(SendError::Broken)?.into_data() {
            transfer.on_bytes(data.len());
            if collected.len() + data.len() > MAX_DOCUMENT_BYTES {
                return Err(SourceError::TooLong);
            }
            collected.extend_from_slice(&data);
        }
    }
    if framing.length().is_some() && connection.has_stray_bytes() {
        return Err(SourceError::Malformed);
    }
    Ok(Response::from_parts(head, collected.freeze()))
}
