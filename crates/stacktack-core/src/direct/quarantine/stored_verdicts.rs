//! Verdicts in the store: which of them this router writes and removes there, and how those that
//! it reads apply.

use std::time::Duration;

use crate::direct::quarantine::digest::SuspectDigest;
use crate::direct::quarantine::part_context::PartContext;
use crate::direct::quarantine::record::{Record, Treatment};
use crate::direct::quarantine::{Quarantine, TreatmentChange};
use crate::time::Time;

/// Maximum time for which the write of a verdict is left to the router that reached it; the delay
/// is uniformly distributed up to this.
pub(super) const MAX_STORE_DELAY: Duration = Duration::from_secs(3);

/// A verdict, that a suspect is set aside, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVerdict {
    /// Suspect that is set aside.
    pub digest: SuspectDigest,
    /// Epoch of the suspect's record that the verdict belongs to.
    pub epoch: u32,
    /// Circumstances of the crashes, if the suspect is a prompt part.
    pub part: Option<PartContext>,
}

impl Quarantine {
    /// Schedules the write of a verdict, unless the store is known to hold it.
    pub(super) fn schedule_write(&mut self, digest: SuspectDigest, due: Time) {
        if let Some(record) = self.records.get_mut(&digest) {
            if record.stored_since.is_none() {
                record.store_due = Some(due);
            }
        }
    }

    /// Verdicts to write to the store now.
    pub fn verdicts_to_write(&self, now: Time) -> Vec<StoredVerdict> {
        let is_due = |record: &Record| record.store_due.is_some_and(|due| due <= now);
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.treatment() == Treatment::SetAside && is_due(record))
            .map(|(digest, record)| StoredVerdict {
                digest: *digest,
                epoch: record.epoch,
                part: record.part.clone(),
            })
            .collect()
    }

    /// Requests whose verdict is to be removed from the store.
    pub fn verdicts_to_remove(&self) -> Vec<SuspectDigest> {
        self.outdated.iter().copied().collect()
    }

    /// Records that the store now holds the `written` verdicts and no longer the `removed` ones.
    pub fn on_verdicts_written(
        &mut self,
        written: &[StoredVerdict],
        removed: &[SuspectDigest],
        now: Time,
    ) {
        for verdict in written {
            if let Some(record) = self.records.get_mut(&verdict.digest) {
                if record.epoch == verdict.epoch {
                    record.stored_since = Some(now);
                    record.store_due = None;
                    // Gossip it again at once, so that the other routers need not write it.
                    record.last_changed = now;
                }
            }
        }
        for digest in removed {
            self.outdated.remove(digest);
        }
    }

    /// Applies all verdicts of the store, as of a read that began at `read_began`. A verdict that
    /// was stored before and no longer is was lifted by an operator.
    pub fn apply_stored(
        &mut self,
        verdicts: &[StoredVerdict],
        read_began: Time,
        now: Time,
    ) -> Vec<TreatmentChange> {
        let mut changes: Vec<TreatmentChange> = Vec::new();
        for verdict in verdicts {
            self.make_room(now);
            let mut is_outdated = false;
            let change = self.update(verdict.digest, |record| {
                is_outdated = record.epoch > verdict.epoch;
                if !is_outdated {
                    record.epoch = verdict.epoch;
                    if let Some(part) = &verdict.part {
                        record.merge_part(part, now);
                    }
                    record.set_aside(now);
                    record.stored_since = record.stored_since.or(Some(now));
                    record.store_due = None;
                }
            });
            if is_outdated {
                self.outdated.insert(verdict.digest);
            }
            changes.extend(change);
        }
        let is_listed = |digest: &SuspectDigest| {
            let mut listed = verdicts.iter();
            listed.any(|verdict| verdict.digest == *digest)
        };
        let was_stored =
            |record: &Record| record.stored_since.is_some_and(|since| since < read_began);
        let lifted: Vec<SuspectDigest> = self
            .records
            .iter()
            .filter(|(digest, record)| {
                record.treatment() == Treatment::SetAside
                    && was_stored(record)
                    && !is_listed(digest)
            })
            .map(|(digest, _)| *digest)
            .collect();
        for digest in lifted {
            changes.extend(self.clear(digest, now));
            self.outdated.remove(&digest);
        }
        changes
    }
}
