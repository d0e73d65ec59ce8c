//! Responses without a length whose connection is reset while the request is still being written.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use stacktack_direct::client::{ClientConnection, MAX_BUFFER_BYTES};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
const PART: &[u8] = b"a part of the body";

/// Bytes of the request's body.
const UPLOAD_BYTES: usize = 200;

/// When a back end answers and resets the connection, in calls of the transport.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    answer_at: u32,
    end_at: u32,
    /// How the connection ends: an error that the next call gets, once, or in order.
    is_reset: bool,
    /// Bytes that one write takes.
    write_bytes: usize,
    /// Every so many writes, one takes nothing at first.
    blocks_every: u32,
}

/// A connection as the kernel shows it: the call that comes first after a reset gets its error, later
/// reads the end of the connection, later writes a broken pipe.
struct Transport {
    schedule: Schedule,
    calls: u32,
    writes: u32,
    unread: Vec<u8>,
    is_answered: bool,
    has_ended: bool,
    pending_error: bool,
}

impl Transport {
    fn new(schedule: Schedule) -> Self {
        Transport {
            schedule,
            calls: 0,
            writes: 0,
            unread: Vec::new(),
            is_answered: false,
            has_ended: false,
            pending_error: false,
        }
    }

    fn on_call(&mut self) {
        self.calls += 1;
        if self.calls >= self.schedule.answer_at && !self.is_answered {
            self.is_answered = true;
            self.unread = [HEAD, PART].concat();
        }
        if self.calls >= self.schedule.end_at && !self.has_ended {
            self.has_ended = true;
            self.pending_error = self.schedule.is_reset;
        }
    }

    fn take_error(&mut self) -> Result<()> {
        match std::mem::take(&mut self.pending_error) {
            true => Err(Error::from(ErrorKind::ConnectionReset)),
            false => Ok(()),
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.on_call();
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            let read: Vec<u8> = self.unread.drain(..length).collect();
            buffer.put_slice(&read);
            return Poll::Ready(Ok(()));
        }
        if self.has_ended {
            return Poll::Ready(self.take_error());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.on_call();
        if self.has_ended {
            self.take_error()?;
            return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe)));
        }
        self.writes += 1;
        if self.writes.is_multiple_of(self.schedule.blocks_every) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(bytes.len().min(self.schedule.write_bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What an upload gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// No response.
    Nothing,
    /// A response whose body is known to be cut.
    Part,
    /// A response that looks whole.
    Whole,
}

async fn upload(schedule: Schedule) -> Received {
    let connection = ClientConnection::over(Transport::new(schedule), MAX_BUFFER_BYTES).await;
    let mut connection = connection.expect("a connection");
    let mut request = Request::new(Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES])));
    *request.method_mut() = Method::POST;
    let Ok(response) = connection.send(request).await else {
        return Received::Nothing;
    };
    match response.response.into_body().collect().await {
        Ok(_) => Received::Whole,
        Err(_) => Received::Part,
    }
}

fn schedules(is_reset: bool) -> impl Iterator<Item = Schedule> {
    let writes = [(1, 2), (1, 3), (7, 2), (7, 5), (50, 2), (1000, 3)];
    (1..40).flat_map(move |answer_at| {
        (answer_at..60).flat_map(move |end_at| {
            writes
                .into_iter()
                .map(move |(write_bytes, blocks_every)| Schedule {
                    answer_at,
                    end_at,
                    is_reset,
                    write_bytes,
                    blocks_every,
                })
        })
    })
}

/// Guards against a part of a body that looks whole: the error of a reset is told once, to a write, and
/// the reads after it see the end of the connection.
#[tokio::test]
async fn a_response_that_is_reset_while_its_request_is_written_is_not_whole() {
    let test = async {
        let mut has_part = false;
        for schedule in schedules(true) {
            let received = upload(schedule).await;
            assert_ne!(received, Received::Whole, "{schedule:?}");
            has_part |= received == Received::Part;
        }
        assert!(has_part, "no response began before its reset");
        let mut has_whole = false;
        for schedule in schedules(false) {
            has_whole |= upload(schedule).await == Received::Whole;
        }
        assert!(has_whole, "a response that ends in order is whole");
    };
    LocalSet::new().run_until(test).await;
}

/// Bytes of a long upload, more than the buffers of a connection take.
const LONG_UPLOAD_BYTES: usize = 8 << 20;

/// Starts a back end that reads so many bytes of a request, answers without a length, sends a part of the
/// body and resets the connection.
async fn start_resetting_back_end(read_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut read = vec![0; read_bytes + 1];
        connection.read_exact(&mut read).await.expect("a request");
        let written = connection.write_all(&[HEAD, PART].concat()).await;
        written.expect("the response is written");
        connection.set_zero_linger().expect("a reset");
    });
    address
}

/// Guards against the same on sockets, where the system decides which call gets the error.
#[tokio::test]
async fn a_long_upload_that_is_reset_under_its_response_gets_no_whole_response() {
    let test = async {
        for play in 0..60 {
            let address = start_resetting_back_end(play * 50_000).await;
            let connection = ClientConnection::connect(address).await;
            let mut connection = connection.expect("a connection");
            let body = Bytes::from(vec![b'x'; LONG_UPLOAD_BYTES]);
            let mut request = Request::new(Full::new(body));
            *request.method_mut() = Method::POST;
            if let Ok(response) = connection.send(request).await {
                let body = response.response.into_body().collect().await;
                assert!(body.is_err(), "play {play}: {body:?}");
            }
        }
    };
    LocalSet::new().run_until(test).await;
}
