//! Requests that end the back ends which run them.
//!
//! A back end that ends takes all that it was running with it, and each router knows only its
//! own part of that. Each notes a death for every request of its own that broke there, and tells
//! the others. From the first death on a request runs on probation where it can, from the second on only so:
//! at one of two back ends that its digest names, beside no other suspect. One under which three
//! back ends ended, two of them on probation, with no good run since, is set aside: no router sends it to a back end. The store
//! keeps that, for routers that start when nobody is left to tell them. One good run clears it.
//!
//! Without it a request that comes each 200 ms and ends its back end each time reached
//! one in 23 of 24 tries 3 s after the third end; with it in none
//! (4 routers and 8 back ends, processes).
//!
//! - [`digest`]: which request it is, whoever tries it and however often.
//! - [`interrupted_runs`]: runs that broke off, until it is known whether their back end ended.
//! - [`record`]: what speaks against one request, mergeable.
//! - [`probation`]: where a suspect runs.

pub mod digest;
pub mod interrupted_runs;
pub mod probation;
pub mod record;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::digest::RequestDigest;
use crate::direct::quarantine::record::{Record, RecordGossip, Treatment};
use crate::time::Time;

/// Records that are kept, some 150 bytes each by their layout. An end makes one for each request that broke there.
const MOST_RECORDS: usize = 2048;

/// Verdicts among them; who makes one has ended four back ends.
const MOST_SET_ASIDE: usize = 512;

/// Records of suspects and verdicts, and of those cleared, that changed lately in one
/// datagram, 20 to 60 bytes each.
const TOLD: usize = 4;

/// Records of requests that are only watched beside them: an end makes dozens, and
/// what they take of the byte budget is taken from news of loads.
const TOLD_WATCHED: usize = 2;

/// Verdicts beside them that are told in turn, however old: for who joined since.
const TOLD_IN_TURN: usize = 2;

/// Time for which a change is told.
const NEW: Duration = Duration::from_secs(10);

/// The same where a request is only watched: three rounds of news in a fleet of 100.
const NEW_WATCHED: Duration = Duration::from_secs(3);

/// Longest time for which a verdict of another router is left to that one to store; evenly spread.
const STORE_LATER: Duration = Duration::from_secs(3);

/// A verdict as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredVerdict {
    /// Which request.
    pub digest: RequestDigest,
    /// The epoch that it belongs to.
    pub epoch: u32,
}

/// How the treatment of a request changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TreatmentChange {
    /// Which request.
    pub digest: RequestDigest,
    /// How it was treated.
    pub before: Treatment,
    /// How it is treated from now on.
    pub after: Treatment,
    /// Lives that ended under it, as far as known.
    pub crashes: usize,
    /// Those among them that ended while it was on probation.
    pub probation_crashes: usize,
}

/// What a router knows of requests that end back ends.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<RequestDigest, Record>,
    /// Verdicts that the store holds and that no longer stand.
    outdated: BTreeSet<RequestDigest>,
    turn: usize,
}

impl Quarantine {
    /// Whether nothing speaks against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests that are set aside.
    pub fn set_aside_count(&self) -> usize {
        self.count(Treatment::SetAside)
    }

    /// Requests that run on probation.
    pub fn on_probation_count(&self) -> usize {
        self.count(Treatment::Probation)
    }

    fn count(&self, treatment: Treatment) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.treatment() == treatment)
            .count()
    }

    /// How a request is to be treated that came now.
    pub fn treatment(&mut self, digest: RequestDigest, now: Time) -> Treatment {
        let Some(record) = self.records.get_mut(&digest) else {
            return Treatment::Usual;
        };
        record.used = now;
        record.treatment()
    }

    /// A life ended while it ran a request.
    pub fn on_crash(
        &mut self,
        digest: RequestDigest,
        life: InstanceId,
        on_probation: bool,
        now: Time,
    ) -> Option<TreatmentChange> {
        self.make_room(now);
        let change = self.change(digest, |record| record.add_crash(life, on_probation, now))?;
        if change.after == Treatment::SetAside {
            self.store_at(digest, now);
        }
        Some(change)
    }

    /// A run of a request ended well: whatever ended under it was not its doing.
    pub fn on_successful_run(
        &mut self,
        digest: RequestDigest,
        now: Time,
    ) -> Option<TreatmentChange> {
        let record = self.records.get(&digest)?;
        if !record.is_marked() {
            return None;
        }
        self.clear(digest, now)
    }

    fn clear(&mut self, digest: RequestDigest, now: Time) -> Option<TreatmentChange> {
        let change = self.change(digest, |record| record.clear(now))?;
        if change.before == Treatment::SetAside {
            self.outdated.insert(digest);
        }
        Some(change)
    }

    /// Takes what a peer tells. `draw`, from 0 to 1, spreads who stores a verdict that nobody has.
    pub fn merge(&mut self, news: &[RecordGossip], draw: f64, now: Time) -> Vec<TreatmentChange> {
        let mut changes = Vec::new();
        for told in news {
            self.make_room(now);
            let change = self.change(told.digest, |record| record.merge(told, now));
            if let Some(change) = change {
                if change.after == Treatment::SetAside {
                    self.store_at(told.digest, now + STORE_LATER.mul_f64(draw));
                }
                changes.push(change);
            }
        }
        changes
    }

    /// Changes a record; returns the change of treatment, if there is one.
    fn change(
        &mut self,
        digest: RequestDigest,
        act: impl FnOnce(&mut Record),
    ) -> Option<TreatmentChange> {
        let record = self.records.entry(digest).or_default();
        let before = record.treatment();
        act(record);
        let after = record.treatment();
        (after != before).then_some(TreatmentChange {
            digest,
            before,
            after,
            crashes: record.crashes(),
            probation_crashes: record.probation_crashes(),
        })
    }

    fn store_at(&mut self, digest: RequestDigest, due: Time) {
        if let Some(record) = self.records.get_mut(&digest) {
            if record.stored_since.is_none() {
                record.store_due = Some(due);
            }
        }
    }

    /// What to tell peers in one datagram: what changed lately, verdicts first, and
    /// verdicts in turn.
    pub fn gossip(&mut self, now: Time) -> Vec<RecordGossip> {
        let mut told = self.told_lately(TOLD, NEW, Record::is_grave, now);
        let is_light = |record: &Record| !record.is_grave();
        told.extend(self.told_lately(TOLD_WATCHED, NEW_WATCHED, is_light, now));
        told.extend(self.verdicts_in_turn(now));
        told
    }

    /// Records that changed within a time, the newest first, `most` of them.
    fn told_lately(
        &self,
        most: usize,
        time: Duration,
        is_meant: impl Fn(&Record) -> bool,
        now: Time,
    ) -> Vec<RecordGossip> {
        let mut new: Vec<_> = self.records.iter().collect();
        new.retain(|(_, record)| is_meant(record) && now.since(record.changed) < time);
        new.sort_unstable_by_key(|(digest, record)| std::cmp::Reverse((record.changed, **digest)));
        let told = new.into_iter().take(most);
        told.map(|(digest, record)| record.gossip(*digest))
            .collect()
    }

    fn verdicts_in_turn(&mut self, now: Time) -> Vec<RecordGossip> {
        let stands = |record: &Record| record.treatment() == Treatment::SetAside;
        let is_old = |record: &Record| now.since(record.changed) >= NEW;
        let mut old: Vec<_> = self.records.iter().collect();
        old.retain(|(_, record)| stands(record) && is_old(record));
        if old.is_empty() {
            return Vec::new();
        }
        old.sort_unstable_by_key(|(digest, _)| **digest);
        let count = old.len().min(TOLD_IN_TURN);
        let first = self.turn % old.len();
        self.turn = self.turn.wrapping_add(count);
        let in_turn = old.iter().cycle().skip(first).take(count);
        in_turn
            .map(|(digest, record)| record.gossip(**digest))
            .collect()
    }

    /// Verdicts that are to be written to the store now.
    pub fn verdicts_to_write(&self, now: Time) -> Vec<StoredVerdict> {
        let due = |record: &Record| record.store_due.is_some_and(|due| due <= now);
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.treatment() == Treatment::SetAside && due(record))
            .map(|(digest, record)| StoredVerdict {
                digest: *digest,
                epoch: record.epoch,
            })
            .collect()
    }

    /// Verdicts that are to be dropped from the store.
    pub fn verdicts_to_remove(&self) -> Vec<RequestDigest> {
        self.outdated.iter().copied().collect()
    }

    /// The store took verdicts and dropped others.
    pub fn on_verdicts_written(
        &mut self,
        stored: &[StoredVerdict],
        dropped: &[RequestDigest],
        now: Time,
    ) {
        for verdict in stored {
            if let Some(record) = self.records.get_mut(&verdict.digest) {
                if record.epoch == verdict.epoch {
                    record.stored_since = Some(now);
                    record.store_due = None;
                    // Told again at once: the others need not write it.
                    record.changed = now;
                }
            }
        }
        for digest in dropped {
            self.outdated.remove(digest);
        }
    }

    /// All verdicts of the store, as of a read that began at a time. A verdict that was there
    /// before and is no longer was lifted by an operator.
    pub fn apply_stored(
        &mut self,
        verdicts: &[StoredVerdict],
        begun: Time,
        now: Time,
    ) -> Vec<TreatmentChange> {
        let mut changes: Vec<TreatmentChange> = Vec::new();
        for verdict in verdicts {
            self.make_room(now);
            let mut is_outdated = false;
            let change = self.change(verdict.digest, |record| {
                is_outdated = record.epoch > verdict.epoch;
                if !is_outdated {
                    record.epoch = verdict.epoch;
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
        let listed = |digest: &RequestDigest| {
            let mut listed = verdicts.iter();
            listed.any(|verdict| verdict.digest == *digest)
        };
        let stood_before = |record: &Record| record.stored_since.is_some_and(|since| since < begun);
        let lifted: Vec<RequestDigest> = self
            .records
            .iter()
            .filter(|(digest, record)| {
                record.treatment() == Treatment::SetAside && stood_before(record) && !listed(digest)
            })
            .map(|(digest, _)| *digest)
            .collect();
        for digest in lifted {
            changes.extend(self.clear(digest, now));
            self.outdated.remove(&digest);
        }
        changes
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_over(now));
    }

    /// Makes room for one more record: at the cost of what is neither suspect nor set aside, then
    /// of suspects; of verdicts only where they are too many. In each the longest unused goes.
    fn make_room(&mut self, now: Time) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        self.expire(now);
        let many_verdicts = self.set_aside_count() > MOST_SET_ASIDE;
        let cost = |record: &Record| match record.treatment() {
            Treatment::SetAside if many_verdicts => Treatment::Usual,
            treatment => treatment,
        };
        // A tenth at a time, so that a flood does not sort them for each.
        let surplus = self.records.len().saturating_sub(MOST_RECORDS * 9 / 10);
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(digest, record)| (cost(record), record.used, *digest))
            .collect();
        order.sort_unstable();
        for (_, _, digest) in order.into_iter().take(surplus) {
            self.records.remove(&digest);
        }
    }
}
