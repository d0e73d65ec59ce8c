//! HTTP/1.1 client connections, one by one.
//!
//! What a connection did decides what is certain about a request, so nothing
//! here repeats, redirects or pools. A connection that is dropped is closed at
//! once, which is how a request under way is cancelled.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::source_error::SourceError;
use crate::transfer::Transfer;

/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);

/// Largest head and unread part that are buffered for one connection, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// No connection came up.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// No answer came in time.
    #[error("connecting took too long")]
    Timeout,
    /// The connection came up and was closed before anything was written.
    #[error("the connection was turned away")]
    ClosedOnAccept,
    /// The connection was refused or failed.
    #[error("connecting failed: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP connection could not be set up.
    #[error("the connection could not be set up: {0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether nobody listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, ConnectError::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// A request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of it was written.
    #[error("nothing was written")]
    NotWritten,
    /// No answer came in time.
    #[error("no answer came in time")]
    TimedOut,
    /// The connection broke after something may have been written.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// The task that drives a connection; ends with its owner.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ClientConnection {
    /// Connects; whoever calls bounds the time.
    pub async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        Self::over(TcpStream::connect(address).await?).await
    }

    /// Connects within a time limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectError> {
        let stream = connect(address, limit).await?;
        Self::over(stream).await
    }

    /// Connects, and waits a moment for the other side to turn the connection
    /// away: an overloaded one accepts and resets at once. Nothing has been
    /// written then, so that this proves that nothing ran.
    pub async fn open_with_reset_check(
        address: SocketAddr,
        limit: Duration,
        moment: Duration,
    ) -> Result<Self, ConnectError> {
        Self::over(connect_with_reset_check(address, limit, moment).await?).await
    }

    async fn over(stream: TcpStream) -> Result<Self, ConnectError> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Driver(actix_rt::spawn(async move {
            // A failure reaches whoever waits for the answer.
            let _ = connection.await;
        }));
        Ok(ClientConnection { sender, driver })
    }

    /// Whether the connection can take a request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Whether the connection waits for a request: the one before is over on
    /// both sides.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::NotWritten,
                None => SendError::Broken(error.into_error()),
            })
    }
}

/// Connects, and waits whether the other side keeps the connection for a moment.
pub(crate) async fn connect_with_reset_check(
    address: SocketAddr,
    limit: Duration,
    moment: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = connect(address, limit).await?;
    if timeout(moment, stream.readable()).await.is_ok() {
        return Err(ConnectError::ClosedOnAccept);
    }
    Ok(stream)
}

/// Connects within a time limit.
async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectError> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    Ok(stream)
}

impl From<SendError> for SourceError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::TimedOut => SourceError::TimedOut,
            SendError::NotWritten | SendError::Broken(_) => SourceError::Broken,
        }
    }
}

/// Sends a request and reads its whole answer; whoever calls bounds the time.
pub async fn send_and_collect(
    connection: &mut ClientConnection,
    request: Request<Full<Bytes>>,
    transfer: &Transfer,
) -> Result<Response<Bytes>, SendError> {
    let (head, mut body) = connection.send(request).await?.into_parts();
    transfer.on_bytes(1);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(SendError::Broken)?.into_data() {
            transfer.on_bytes(data.len());
            whole.extend_from_slice(&data);
        }
    }
    Ok(Response::from_parts(head, whole.freeze()))
}
