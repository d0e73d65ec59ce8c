//! Progress of the response to one call.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

use crate::source_error::SourceError;

/// Progress of the response to one call. The reader of the response records its bytes; the caller
/// sees whether bytes still arrive.
#[derive(Debug)]
pub struct Transfer {
    started: Instant,
    first_byte: Cell<Option<Instant>>,
    last_progress: Cell<Instant>,
    bytes: Cell<u64>,
}

impl Transfer {
    /// Progress of a call that is made now.
    pub fn begin() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Transfer {
            started: now,
            first_byte: Cell::new(None),
            last_progress: Cell::new(now),
            bytes: Cell::new(0),
        })
    }

    /// Records that bytes of the response arrived. The head of a response counts as one byte.
    pub fn on_bytes(&self, bytes: usize) {
        let now = Instant::now();
        self.first_byte.set(self.first_byte.get().or(Some(now)));
        self.last_progress.set(now);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    /// Bytes received so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// When the first byte arrived.
    pub fn first_byte(&self) -> Option<Instant> {
        self.first_byte.get()
    }

    /// Time since the first byte arrived; zero before.
    pub fn arriving_for(&self) -> Duration {
        self.first_byte
            .get()
            .map_or(Duration::ZERO, |first| first.elapsed())
    }

    /// Time since the call was made.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// When the last bytes arrived; when the call was made, if none have.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }
}

/// Waits for the response to a call as long as bytes arrive; fails with
/// [`SourceError::TimedOut`] once nothing has arrived for `idle_timeout`.
///
/// A timeout for the whole response would drop a large one on a narrow link, and the next call
/// would start again, beside everything else that waits for the link: 426 kB of 464 kB were
/// discarded again and again.
pub async fn with_idle_timeout<T>(
    call: impl Future<Output = Result<T, SourceError>>,
    transfer: &Transfer,
    idle_timeout: Duration,
) -> Result<T, SourceError> {
    let mut call = std::pin::pin!(call);
    loop {
        let deadline = transfer.last_progress() + idle_timeout;
        tokio::select! {
            biased;
            result = &mut call => return result,
            () = sleep_until(deadline) => {
                if transfer.last_progress() + idle_timeout <= Instant::now() {
                    return Err(SourceError::TimedOut);
                }
            }
        }
    }
}
