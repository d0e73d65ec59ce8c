//! How far the answer to one call has come.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

use crate::source_error::SourceError;

/// The answer to one call on its way. Whoever reads it notes its bytes; whoever
/// waits for it sees whether it still moves.
#[derive(Debug)]
pub struct Transfer {
    begun: Instant,
    first_byte: Cell<Option<Instant>>,
    moved: Cell<Instant>,
    bytes: Cell<u64>,
}

impl Transfer {
    /// A call that is made now.
    pub fn begin() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Transfer {
            begun: now,
            first_byte: Cell::new(None),
            moved: Cell::new(now),
            bytes: Cell::new(0),
        })
    }

    /// So many bytes of the answer arrived. The head of an answer counts as one.
    pub fn on_bytes(&self, bytes: usize) {
        let now = Instant::now();
        self.first_byte.set(self.first_byte.get().or(Some(now)));
        self.moved.set(now);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    /// Bytes that arrived.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// When the answer began, if it has.
    pub fn first_byte(&self) -> Option<Instant> {
        self.first_byte.get()
    }

    /// Time for which the answer has been arriving.
    pub fn arriving_for(&self) -> Duration {
        self.first_byte
            .get()
            .map_or(Duration::ZERO, |first| first.elapsed())
    }

    /// Time since the call was made.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// When bytes arrived last; when the call was made, if none did.
    pub fn last_progress(&self) -> Instant {
        self.moved.get()
    }
}

/// Awaits a call's answer for as long as it moves: it fails as silent once nothing has
/// arrived for `patience`.
///
/// A bound on the whole answer would drop a large one over a narrow link, and the next
/// try would begin anew beside all else that waits for the link: of 464 kB 426 kB were
/// thrown away again and again.
pub async fn with_idle_timeout<T>(
    call: impl Future<Output = Result<T, SourceError>>,
    transfer: &Transfer,
    patience: Duration,
) -> Result<T, SourceError> {
    let mut call = std::pin::pin!(call);
    loop {
        let deadline = transfer.last_progress() + patience;
        tokio::select! {
            biased;
            result = &mut call => return result,
            () = sleep_until(deadline) => {
                if transfer.last_progress() + patience <= Instant::now() {
                    return Err(SourceError::TimedOut);
                }
            }
        }
    }
}
