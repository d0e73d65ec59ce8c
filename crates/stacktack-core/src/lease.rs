//! Leases kept as rows of the platform's table, and the fences they give.
//!
//! A row holds the holder, an epoch that rises with each new holder, and the
//! identifier of the write. The holder counts the lease from the moment it
//! *sent* the write that took effect, and stops a margin before it may lapse;
//! a taker counts from its own first sight of the unchanged row. Neither
//! compares clocks. A lost reply is settled by reading the row.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ledger::{Row, RowVersion, TableOperation, TableReply};
use crate::protection::{Protection, Protections};
use crate::time::Time;

/// Time after which a reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of the lease that is the holder's safety margin.
const MARGIN_DIVISOR: u32 = 5;

/// Renewals within one length of the lease.
const RENEWALS: u32 = 3;

/// Value of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name and life of the holder.
    pub holder: String,
    /// Rises by one with each new holder.
    pub epoch: u64,
    /// Unique name of the write.
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
    until: Time,
}

/// One process's view of a lease: held, or waited for.
#[derive(Debug)]
pub struct Lease {
    key: String,
    holder: String,
    length: Duration,
    protections: Protections,
    row: Option<(RowVersion, LeaseRow)>,
    row_seen_at: Time,
    row_known: bool,
    held: Option<Held>,
    pending: Option<Pending>,
    reading_since: Option<Time>,
    next_action: Time,
    writes: u64,
}

impl Lease {
    /// A lease that is not held yet. `holder` has to name the life, too.
    pub fn new(key: String, holder: String, length: Duration, protections: Protections) -> Self {
        Lease {
            key,
            holder,
            length,
            protections,
            row: None,
            row_seen_at: Time::default(),
            row_known: false,
            held: None,
            pending: None,
            reading_since: None,
            next_action: Time::default(),
            writes: 0,
        }
    }

    /// Epoch under which this process may act now; none when it may not.
    pub fn epoch(&self, now: Time) -> Option<u64> {
        let held = self.held?;
        let lapsed = now >= held.until - self.length / MARGIN_DIVISOR;
        if lapsed && self.protections.is_enabled(Protection::LeaseMargin) {
            return None;
        }
        Some(held.epoch)
    }

    /// Operation to send now, if any. Hand its reply to [`Lease::on_reply`].
    pub fn tick(&mut self, now: Time) -> Option<TableOperation> {
        self.give_up_waiting(now);
        if self.is_waiting() || now < self.next_action {
            return None;
        }
        self.next_action = now + self.length / RENEWALS;
        if !self.row_known {
            return Some(self.read(now));
        }
        match &self.row {
            None => Some(self.write(now, 1)),
            Some((_, row)) if row.holder == self.holder => {
                let epoch = self.renewal_epoch(now, row.epoch);
                Some(self.write(now, epoch))
            }
            Some((_, row)) if now.since(self.row_seen_at) >= self.length => {
                let epoch = row.epoch + 1;
                Some(self.write(now, epoch))
            }
            Some(_) => Some(self.read(now)),
        }
    }

    /// Takes a reply in.
    pub fn on_reply(&mut self, now: Time, reply: TableReply) {
        self.reading_since = None;
        match reply {
            TableReply::Written(version) => {
                if let Some(pending) = self.pending.take() {
                    self.note_held(&pending);
                    self.note_row(now, Some((version, pending.row)));
                }
            }
            TableReply::Conflict(row) | TableReply::Read(row) => self.judge(now, row),
            TableReply::Lost => {
                self.row_known = false;
                self.next_action = now;
            }
        }
    }

    /// A lease that lapsed while nobody took it is taken anew, so that orders
    /// of the time before cannot pass for later ones.
    fn renewal_epoch(&self, now: Time, epoch: u64) -> u64 {
        if self.epoch(now).is_some() {
            epoch
        } else {
            epoch + 1
        }
    }

    /// Whether a reply is awaited. A write whose reply is lost stays pending
    /// until the row was read, but no longer keeps the reading from being sent.
    fn is_waiting(&self) -> bool {
        let awaits_write = self.pending.is_some() && self.row_known;
        awaits_write || self.reading_since.is_some()
    }

    fn give_up_waiting(&mut self, now: Time) {
        let late = |since: Time| now.since(since) >= REPLY_TIMEOUT;
        if self.reading_since.is_some_and(late) {
            self.reading_since = None;
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

    fn judge(&mut self, now: Time, row: Option<Row>) {
        let parsed = row.and_then(|row| {
            let value = serde_json::from_str::<LeaseRow>(&row.value).ok()?;
            Some((row.version, value))
        });
        if let Some(pending) = self.pending.take() {
            let own = parsed
                .as_ref()
                .is_some_and(|(_, value)| value.write_id == pending.row.write_id);
            if own {
                self.note_held(&pending);
            }
        }
        self.note_row(now, parsed);
        let is_own = self
            .row
            .as_ref()
            .is_some_and(|(_, value)| value.holder == self.holder);
        if !is_own {
            self.held = None;
        }
    }

    fn note_held(&mut self, pending: &Pending) {
        self.held = Some(Held {
            epoch: pending.row.epoch,
            until: pending.sent_at + self.length,
        });
    }

    fn note_row(&mut self, now: Time, row: Option<(RowVersion, LeaseRow)>) {
        let held = self.row.as_ref().map(|(version, _)| *version);
        let seen = row.as_ref().map(|(version, _)| *version);
        if held.is_none() || held != seen {
            self.row_seen_at = now;
        }
        self.row = row;
        self.row_known = true;
    }

    fn read(&mut self, now: Time) -> TableOperation {
        self.reading_since = Some(now);
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

/// An order under an older epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("epoch {given} is behind epoch {highest}")]
pub struct StaleEpoch {
    /// Epoch of the order.
    pub given: u64,
    /// Highest epoch seen.
    pub highest: u64,
}

/// Highest epoch seen by scope; older ones are refused, for back ends that do
/// not check themselves.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
}

impl Fence {
    /// Lets an epoch pass unless a higher one was seen.
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
