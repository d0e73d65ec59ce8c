//! Why a call to a source of beliefs failed.

use thiserror::Error;

/// Why a call to a source of beliefs failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// No connection came up.
    #[error("no connection came up")]
    Unreached,
    /// No answer came in time.
    #[error("no answer came in time")]
    TimedOut,
    /// The machine was suspended: what the source said before may be old.
    #[error("the machine was suspended")]
    Suspended,
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// The call was refused with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// Too many are told at the moment; others may have room.
    #[error("no room now")]
    NoCapacity,
    /// The history after the given revision is gone: read everything anew.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer does not parse.
    #[error("the answer does not parse")]
    Malformed,
}
