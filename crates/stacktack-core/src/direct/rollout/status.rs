//! The status of a roll-out in the store, and conditional writes of the status.
//!
//! Revisions of the store come from one counter: a status with a higher revision than the order
//! belongs to that order, a status with a lower one to an earlier order. Each write requires
//! that order and status still have the revisions that its writer knows, so that one of several
//! writers succeeds and the others learn what it wrote. It does not matter which writer succeeds
//! or when a write ends: there is no leader, and the condition of a late write fails.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// State of a roll-out in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoredState {
    /// The roll-out is running.
    Running,
    /// The new version keeps the full traffic.
    Completed,
    /// The new version gets no traffic any more.
    RolledBack,
}

impl StoredState {
    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StoredState::Running => "running",
            StoredState::Completed => "completed",
            StoredState::RolledBack => "rolled_back",
        }
    }
}

/// Status of a service's last roll-out in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// State of the roll-out.
    pub state: StoredState,
    /// New version of the roll-out.
    pub version: String,
    /// Revision at which the status was stored.
    pub revision: u64,
}

/// A conditional write of a status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// Service of the roll-out.
    pub service: String,
    /// New version of the roll-out.
    pub version: String,
    /// State to store.
    pub state: StoredState,
    /// Revision that the order must have.
    pub order_revision: u64,
    /// Revision that the status must have; 0 if there must be none.
    pub status_revision: u64,
}

/// Result of a write of a status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusWriteResult {
    /// The status was stored at this revision.
    Stored(u64),
    /// The order or the status has another revision than expected.
    Conflict {
        /// Revision of the order in the store; 0 if there is none any more.
        order_revision: u64,
        /// Status in the store, if there is one.
        status: Option<StoredStatus>,
    },
}

/// Rank of a router among the routers that it knows, in the order in which they write a status.
/// The router of rank 0 writes at once, the others only if those before them did not.
pub fn write_rank(own: SocketAddr, others: &[SocketAddr]) -> usize {
    let hash = |router: &SocketAddr| xxh3_64(router.to_string().as_bytes());
    let own = hash(&own);
    others.iter().filter(|other| hash(other) < own).count()
}
