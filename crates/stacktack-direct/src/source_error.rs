//! Errors of calls to the store and to peers.

use thiserror::Error;

/// Why a call to the store or to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// No connection was established.
    #[error("no connection was established")]
    Unreached,
    /// No response arrived within the timeout.
    #[error("no answer came in time")]
    TimedOut,
    /// The machine was suspended, so that what the source said before may be stale.
    #[error("the machine was suspended")]
    Suspended,
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// The call was refused with this HTTP status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The peer serves too many others at the moment; another peer may have free capacity.
    #[error("no free capacity")]
    NoCapacity,
    /// The changes after the given revision are no longer available: a snapshot has to be read.
    #[error("the history after the revision is gone")]
    HistoryGone,
    /// The response is longer than any document.
    #[error("the response is too long")]
    TooLong,
    /// The response cannot be parsed.
    #[error("the response cannot be parsed")]
    Malformed,
}
