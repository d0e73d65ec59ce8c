//! What the store holds of a roll-out, and what is to be written there.
//!
//! Revisions of the store come from one counter: a status whose revision is above that of the
//! order belongs to it, an older one to an order before. Each write expects order and status
//! at the revisions that its writer knows, so that of several writers one succeeds and the
//! others learn what it wrote. Which one that is does not matter, nor when it ends: there is
//! no leader, and a write that is done late finds its condition broken.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// State of a roll-out in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoredState {
    /// It runs.
    Running,
    /// The new version has all the traffic for good.
    Completed,
    /// The new version gets no traffic any more.
    RolledBack,
}

impl StoredState {
    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StoredState::Running => "running",
            StoredState::Completed => "completed",
            StoredState::RolledBack => "rolled_back",
        }
    }
}

/// What the store holds of a service's last roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// How far it is.
    pub state: StoredState,
    /// Version that the traffic was to move to.
    pub version: String,
    /// Revision at which that was stored.
    pub revision: u64,
}

/// A write of a status that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// Service.
    pub service: String,
    /// Version that its traffic was to move to.
    pub version: String,
    /// State to store.
    pub state: StoredState,
    /// Revision that the order has to have.
    pub order_revision: u64,
    /// Revision that the status has to have; 0 for none.
    pub status_revision: u64,
}

/// How a write of a status ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusWriteResult {
    /// It is stored as of a revision.
    Stored(u64),
    /// Order or status have changed.
    Conflict {
        /// Revision of the order; 0 when there is none any more.
        order_revision: u64,
        /// The status, if there is one.
        status: Option<StoredStatus>,
    },
}

/// Place of a router among those that write, of those it knows: the first writes at once, the
/// others where it does not.
pub fn write_rank(own: SocketAddr, others: &[SocketAddr]) -> usize {
    let place = |router: &SocketAddr| xxh3_64(router.to_string().as_bytes());
    let own = place(&own);
    others.iter().filter(|other| place(other) < own).count()
}
