//! Limit on the snapshots of the directory or the configuration that a router sends to peers at
//! once.
//!
//! If many peers fetched one at once, they would share the router's link: each would have the
//! snapshot late and could not pass it on meanwhile. A few at a time have it soon and serve the
//! others. Each other zone gets one at a time, since one copy serves a zone and traffic between
//! zones is expensive. Small snapshots are not limited: a router that waits serves no requests
//! meanwhile.

use std::time::Duration;

use crate::direct::peers::peer_gossip::ZoneHash;
use crate::time::Time;

/// Maximum number of transfers to routers of the own zone or of unknown zones.
const MAX_OWN_ZONE_TRANSFERS: usize = 3;

/// Maximum number of transfers to routers of one other zone.
const MAX_TRANSFERS_PER_REMOTE_ZONE: usize = 1;

/// Maximum total bytes of concurrent transfers up to which these limits do not apply.
const MAX_UNLIMITED_BYTES: usize = 32 * 1024;

/// Time after which a transfer no longer counts, since its receiver may have stopped.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Transfers of one kind of snapshot to peers that are in progress.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTransfers {
    in_progress: Vec<SnapshotTransfer>,
    /// Number of the latest transfer.
    last_number: u64,
    /// Size of the latest transferred snapshot in bytes.
    snapshot_bytes: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
struct SnapshotTransfer {
    number: u64,
    /// Zone of the receiver if it is known to be another one.
    remote_zone: Option<ZoneHash>,
    started: Time,
}

impl SnapshotTransfers {
    /// Begins a transfer to a peer in `remote_zone`, or in the own or an unknown zone if that is
    /// `None`. Returns the number of the transfer for [`Self::end`]; `None` if the limit is
    /// reached.
    pub fn begin(&mut self, remote_zone: Option<ZoneHash>, now: Time) -> Option<u64> {
        self.in_progress
            .retain(|transfer| now.since(transfer.started) < TRANSFER_TIMEOUT);
        let to_same_zone = self
            .in_progress
            .iter()
            .filter(|transfer| transfer.remote_zone == remote_zone)
            .count();
        let limit = if remote_zone.is_some() {
            MAX_TRANSFERS_PER_REMOTE_ZONE
        } else {
            MAX_OWN_ZONE_TRANSFERS
        };
        if to_same_zone >= limit && !self.is_small() {
            return None;
        }
        self.last_number += 1;
        self.in_progress.push(SnapshotTransfer {
            number: self.last_number,
            remote_zone,
            started: now,
        });
        Some(self.last_number)
    }

    /// Sets the size of the snapshot that is transferred.
    pub fn set_snapshot_bytes(&mut self, bytes: usize) {
        self.snapshot_bytes = Some(bytes);
    }

    /// Whether the transfers in progress and one more are few bytes in total; not while the size is
    /// unknown.
    fn is_small(&self) -> bool {
        let copies = self.in_progress.len() + 1;
        let bytes = self.snapshot_bytes.map(|bytes| bytes * copies);
        bytes.is_some_and(|bytes| bytes <= MAX_UNLIMITED_BYTES)
    }

    /// Ends a transfer.
    pub fn end(&mut self, number: u64) {
        self.in_progress
            .retain(|transfer| transfer.number != number);
    }
}
