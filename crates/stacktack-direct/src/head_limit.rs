//! Bounds what a server may send before the final head of a response: interim responses, of which
//! there may be any number, and the head itself.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes up to the final head, and of the body that is read along with it.
const MAX_BYTES: usize = 1024 * 1024;

/// Error of a connection whose server sends too many bytes before the final head of a response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("more than {MAX_BYTES} bytes without the final head of a response")]
struct HeadTooLong;

/// Bytes that a connection may still read before the final head of a response; `None` while no head
/// is awaited.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Called before a request is written.
    pub fn on_request(&self) {
        self.0.set(Some(MAX_BYTES));
    }

    /// Called when the final head has arrived.
    pub fn on_head(&self) {
        self.0.set(None);
    }

    fn on_read(&self, bytes: usize) -> Result<(), HeadTooLong> {
        if let Some(left) = self.0.get() {
            self.0
                .set(Some(left.checked_sub(bytes).ok_or(HeadTooLong)?));
        }
        Ok(())
    }
}

/// A stream on which reading fails at the limit.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    /// The connection.
    pub stream: S,
    /// Limit of the bytes to read.
    pub limit: HeadLimit,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        let result = self.limit.on_read(bytes);
        Poll::Ready(result.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
