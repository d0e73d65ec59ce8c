//! Leases stored as rows of the platform's table, and fencing by their epochs.
//!
//! A row names the holder, an epoch that rises each time that the lease is
//! acquired, and the write. The holder counts the duration of the lease from the
//! time at which it *sent* the write that took effect, and stops acting a safety
//! margin before the lease may expire. A contender counts from the time at which
//! it first read the row in its present version. So nobody compares clocks of
//! different machines. A lost reply is resolved by reading the row.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ledger::{Row, RowVersion, TableOperation, TableReply};
use crate::protection::{Protection, Protections};
use crate::time::Time;

/// Time after which the reply to an operation counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// The holder's safety margin is the duration of the lease divided by this.
const MARGIN_DIVISOR: u32 = 5;

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Value of the row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name and incarnation of the holder.
    pub holder: String,
    /// Rises by one with each new holder, and when a holder acquires its expired
    /// lease again.
    pub epoch: u64,
    /// Unique identifier of the write.
    pub write_id: String,
}

#[derive(Debug)]
struct Pending {
    row: LeaseRow,
    sent_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: u64,
    expires_at: Time,
}

/// One process's view of a lease that it holds or contends for.
#[derive(Debug)]
pub struct Lease {
    key: String,
    holder: String,
    duration: Duration,
    protections: Protections,
    row: Option<(RowVersion, LeaseRow)>,
    row_seen_at: Time,
    row_known: bool,
    held: Option<Held>,
    pending: Option<Pending>,
    read_sent_at: Option<Time>,
    next_action: Time,
    writes: u64,
}

impl Lease {
    /// Creates a lease that is not held yet. `holder` must contain the
    /// incarnation of the process, so that a restarted process is another holder.
    pub fn new(key: String, holder: String, duration: Duration, protections: Protections) -> Self {
        Lease {
            key,
            holder,
            duration,
            protections,
            row: None,
            row_seen_at: Time::default(),
            row_known: false,
            held: None,
            pending: None,
            read_sent_at: None,
            next_action: Time::default(),
            writes: 0,
        }
    }

    /// Epoch under which this process may act now; none if it may not act.
    pub fn epoch(&self, now: Time) -> Option<u64> {
        let held = self.held?;
        let expired = now >= held.expires_at - self.duration / MARGIN_DIVISOR;
        if expired && self.protections.is_enabled(Protection::LeaseMargin) {
            return None;
        }
        Some(held.epoch)
    }

    /// Returns the operation to send now, if any. Its reply goes to
    /// [`Lease::on_reply`].
    pub fn tick(&mut self, now: Time) -> Option<TableOperation> {
        self.expire_replies(now);
        if self.awaits_reply() || now < self.next_action {
            return None;
        }
        self.next_action = now + self.duration / RENEWALS_PER_LEASE;
        if !self.row_known {
            return Some(self.read(now));
        }
        match &self.row {
            None => Some(self.write(now, 1)),
            Some((_, row)) if row.holder == self.holder => {
                let epoch = self.renewal_epoch(now, row.epoch);
                Some(self.write(now, epoch))
            }
            Some((_, row)) if now.since(self.row_seen_at) >= self.duration => {
                let epoch = row.epoch + 1;
                Some(self.write(now, epoch))
            }
            Some(_) => Some(self.read(now)),
        }
    }

    /// Handles the reply to the last operation.
    pub fn on_reply(&mut self, now: Time, reply: TableReply) {
        self.read_sent_at = None;
        match reply {
            TableReply::Written(version) => {
                if let Some(pending) = self.pending.take() {
                    self.record_held(&pending);
                    self.record_row(now, Some((version, pending.row)));
                }
            }
            TableReply::Conflict(row) | TableReply::Read(row) => self.apply_row(now, row),
            TableReply::Lost => {
                self.row_known = false;
                self.next_action = now;
            }
        }
    }

    /// Epoch for the next write of the present holder. An expired lease that
    /// nobody took is acquired under a new epoch, so that orders sent before the
    /// expiry cannot pass for newer ones.
    fn renewal_epoch(&self, now: Time, epoch: u64) -> u64 {
        if self.epoch(now).is_some() {
            epoch
        } else {
            epoch + 1
        }
    }

    /// Whether a reply is awaited. A write whose reply was lost stays pending
    /// until the row has been read, but does not delay that read.
    fn awaits_reply(&self) -> bool {
        let awaits_write = self.pending.is_some() && self.row_known;
        awaits_write || self.read_sent_at.is_some()
    }

    fn expire_replies(&mut self, now: Time) {
        let late = |since: Time| now.since(since) >= REPLY_TIMEOUT;
        if self.read_sent_at.is_some_and(late) {
            self.read_sent_at = None;
            self.next_action = now;
        }
        let write_is_lost = self
            .pending
            .as_ref()
            .is_some_and(|pending| late(pending.sent_at));
        if write_is_lost && self.row_known {
            self.row_known = false;
            self.next_action = now;
        }
    }

    fn apply_row(&mut self, now: Time, row: Option<Row>) {
        let parsed = row.and_then(|row| {
            let value = serde_json::from_str::<LeaseRow>(&row.value).ok()?;
            Some((row.version, value))
        });
        if let Some(pending) = self.pending.take() {
            let own = parsed
                .as_ref()
                .is_some_and(|(_, value)| value.write_id == pending.row.write_id);
            if own {
                self.record_held(&pending);
            }
        }
        self.record_row(now, parsed);
        let is_own = self
            .row
            .as_ref()
            .is_some_and(|(_, value)| value.holder == self.holder);
        if !is_own {
            self.held = None;
        }
    }

    fn record_held(&mut self, pending: &Pending) {
        self.held = Some(Held {
            epoch: pending.row.epoch,
            expires_at: pending.sent_at + self.duration,
        });
    }

    fn record_row(&mut self, now: Time, row: Option<(RowVersion, LeaseRow)>) {
        let previous = self.row.as_ref().map(|(version, _)| *version);
        let current = row.as_ref().map(|(version, _)| *version);
        if previous.is_none() || previous != current {
            self.row_seen_at = now;
        }
        self.row = row;
        self.row_known = true;
    }

    fn read(&mut self, now: Time) -> TableOperation {
        self.read_sent_at = Some(now);
        TableOperation::Get {
            key: self.key.clone(),
        }
    }

    fn write(&mut self, now: Time, epoch: u64) -> TableOperation {
        self.writes += 1;
        let row = LeaseRow {
            holder: self.holder.clone(),
            epoch,
            write_id: format!("{}-{}", self.holder, self.writes),
        };
        let value = serde_json::to_string(&row).unwrap_or_default();
        self.pending = Some(Pending { row, sent_at: now });
        TableOperation::Put {
            key: self.key.clone(),
            value,
            expected: self.row.as_ref().map(|(version, _)| *version),
        }
    }
}

/// An order is refused because its epoch is older than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("epoch {given} is behind epoch {highest}")]
pub struct StaleEpoch {
    /// Epoch of the refused order.
    pub given: u64,
    /// Highest epoch seen so far.
    pub highest: u64,
}

/// Refuses orders of older epochs, for back ends that don't check epochs
/// themselves. Epochs are compared within a scope.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
}

impl Fence {
    /// Accepts and records an epoch unless a higher one was seen in the scope.
    pub fn check(
        &mut self,
        scope: &str,
        epoch: u64,
        protections: Protections,
    ) -> Result<(), StaleEpoch> {
        let highest = self.highest.entry(scope.to_string()).or_insert(0);
        if epoch < *highest && protections.is_enabled(Protection::OrderFence) {
            return Err(StaleEpoch {
                given: epoch,
                highest: *highest,
            });
        }
        *highest = epoch.max(*highest);
        Ok(())
    }
}
