//! Gossip of records: which of them a datagram carries, and how those of peers are merged.

use std::time::Duration;

use crate::direct::quarantine::record::{Record, RecordGossip, Treatment};
use crate::direct::quarantine::stored_verdicts::MAX_STORE_DELAY;
use crate::direct::quarantine::{Quarantine, TreatmentChange};
use crate::time::Time;

/// Maximum number of recently changed high-priority records in one datagram, 20 to 60 bytes each.
const MAX_HIGH_PRIORITY_PER_DATAGRAM: usize = 4;

/// Maximum number of recently changed low-priority records in one datagram. A crash adds dozens of
/// them, and their bytes are taken from the gossip of loads.
const MAX_LOW_PRIORITY_PER_DATAGRAM: usize = 2;

/// Maximum number of older verdicts in one datagram. These take turns, for routers that joined
/// since.
const MAX_OLD_VERDICTS_PER_DATAGRAM: usize = 2;

/// Time for which a change of a high-priority record is gossiped.
const HIGH_PRIORITY_GOSSIP_TIME: Duration = Duration::from_secs(10);

/// Time for which a change of a low-priority record is gossiped: three gossip rounds in a fleet of
/// 100.
const LOW_PRIORITY_GOSSIP_TIME: Duration = Duration::from_secs(3);

impl Quarantine {
    /// Records for one datagram: recent changes, those of high priority first, and older verdicts
    /// in turn.
    pub fn gossip(&mut self, now: Time) -> Vec<RecordGossip> {
        let mut records = self.recent_changes(
            MAX_HIGH_PRIORITY_PER_DATAGRAM,
            HIGH_PRIORITY_GOSSIP_TIME,
            Record::is_high_priority,
            now,
        );
        let is_low_priority = |record: &Record| !record.is_high_priority();
        records.extend(self.recent_changes(
            MAX_LOW_PRIORITY_PER_DATAGRAM,
            LOW_PRIORITY_GOSSIP_TIME,
            is_low_priority,
            now,
        ));
        records.extend(self.old_verdicts(now));
        records
    }

    /// Up to `limit` of the selected records that changed within `max_age`, prompt parts first and the latest first
    /// among each.
    fn recent_changes(
        &self,
        limit: usize,
        max_age: Duration,
        is_selected: impl Fn(&Record) -> bool,
        now: Time,
    ) -> Vec<RecordGossip> {
        let mut recent: Vec<_> = self.records.iter().collect();
        recent
            .retain(|(_, record)| is_selected(record) && now.since(record.last_changed) < max_age);
        // A crash blames dozens of requests, but few parts.
        recent.sort_unstable_by_key(|(digest, record)| {
            std::cmp::Reverse((record.part.is_some(), record.last_changed, **digest))
        });
        let latest = recent.into_iter().take(limit);
        latest
            .map(|(digest, record)| record.gossip(*digest))
            .collect()
    }

    fn old_verdicts(&mut self, now: Time) -> Vec<RecordGossip> {
        let is_verdict = |record: &Record| record.treatment() == Treatment::SetAside;
        let is_old = |record: &Record| now.since(record.last_changed) >= HIGH_PRIORITY_GOSSIP_TIME;
        let mut old: Vec<_> = self.records.iter().collect();
        old.retain(|(_, record)| is_verdict(record) && is_old(record));
        if old.is_empty() {
            return Vec::new();
        }
        old.sort_unstable_by_key(|(digest, _)| **digest);
        let count = old.len().min(MAX_OLD_VERDICTS_PER_DATAGRAM);
        let first = self.next_old_verdict % old.len();
        self.next_old_verdict = self.next_old_verdict.wrapping_add(count);
        let in_turn = old.iter().cycle().skip(first).take(count);
        in_turn
            .map(|(digest, record)| record.gossip(**digest))
            .collect()
    }

    /// Merges records that a peer gossips. `draw`, random from 0 to 1, is the fraction of
    /// `MAX_STORE_DELAY` after which this router writes a new verdict itself if no other router
    /// has.
    pub fn merge(
        &mut self,
        records: &[RecordGossip],
        draw: f64,
        now: Time,
    ) -> Vec<TreatmentChange> {
        let mut changes = Vec::new();
        for gossip in records {
            self.make_room(now);
            let proven_at = self.proven_parts.version(gossip.digest);
            let mut is_disproved = false;
            let change = self.update(gossip.digest, |record| {
                record.merge(gossip, now);
                let is_at_proven = proven_at.is_some() && record.crashed_version() == proven_at;
                is_disproved = record.is_implicated() && is_at_proven;
                if is_disproved {
                    record.clear(now);
                }
            });
            if is_disproved && gossip.set_aside {
                self.outdated.insert(gossip.digest);
            }
            if let Some(change) = change {
                if change.after == Treatment::SetAside {
                    self.schedule_write(gossip.digest, now + MAX_STORE_DELAY.mul_f64(draw));
                }
                changes.push(change);
            }
        }
        changes
    }
}
