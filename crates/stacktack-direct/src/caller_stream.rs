//! Connections of callers whose end may be the end of a response.
//!
//! An HTTP/1.0 caller takes the end of its connection for the end of a response of unknown length. A
//! connection that closes in order midway, by whatever cause, would make that response look
//! complete. So it is reset unless the response is.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;

/// Connection to a caller.
pub trait CallerTransport: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Sets whether the connection is reset when it closes, even if the process is killed.
    fn set_reset_on_close(&self, resets: bool) -> Result<()>;
}

impl CallerTransport for TcpStream {
    fn set_reset_on_close(&self, resets: bool) -> Result<()> {
        SockRef::from(self).set_linger(resets.then_some(Duration::ZERO))
    }
}

impl CallerTransport for DuplexStream {
    fn set_reset_on_close(&self, _: bool) -> Result<()> {
        // Connections within a process cannot be reset.
        Ok(())
    }
}

/// How the connection has to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Closing {
    /// In order.
    #[default]
    Ordered,
    /// With a reset, as the response whose end it is has not ended.
    Reset,
}

/// Whether a response whose end is the end of its connection is under way.
#[derive(Debug, Default)]
pub struct ResponseEnd(Cell<Closing>);

impl ResponseEnd {
    /// Called before such a response starts.
    pub fn on_start(&self) {
        self.0.set(Closing::Reset);
    }

    /// Called when the body of a response is complete.
    pub fn on_complete(&self) {
        self.0.set(Closing::Ordered);
    }
}

/// A connection that is reset if it closes before a response whose end it is.
pub struct CallerStream<S: CallerTransport> {
    transport: S,
    end: Rc<ResponseEnd>,
    /// What the transport does when it closes.
    closing: Closing,
}

impl<S: CallerTransport> CallerStream<S> {
    /// Wraps a connection whose responses are tracked by `end`.
    pub fn new(transport: S, end: Rc<ResponseEnd>) -> Self {
        CallerStream {
            transport,
            end,
            closing: Closing::Ordered,
        }
    }

    fn set_closing(&mut self, closing: Closing) -> Result<()> {
        if self.closing != closing {
            self.transport
                .set_reset_on_close(closing == Closing::Reset)?;
            self.closing = closing;
        }
        Ok(())
    }

    /// Prepares the transport for a write of a response that may break off.
    fn before_write(&mut self) -> Result<()> {
        match self.end.0.get() {
            Closing::Reset => self.set_closing(Closing::Reset),
            // The rest of a complete response may still be unwritten.
            Closing::Ordered => Ok(()),
        }
    }
}

impl<S: CallerTransport> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_read(context, buffer)
    }
}

impl<S: CallerTransport> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.transport).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.transport).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.transport.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let closing = self.end.0.get();
        self.set_closing(closing)?;
        if closing == Closing::Reset {
            // An orderly shutdown would mark the end; dropping the connection resets it.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.transport).poll_shutdown(context)
    }
}
