//! Quarantine of what crashes back ends: of requests, and of prompt parts that requests share.
//!
//! A back end that crashes interrupts all its runs, and each router knows only its own part of
//! them. Each router records a crash for each suspect of its own interrupted runs, and gossips it
//! to the others. After its first crash a suspect runs on probation where that is possible, after
//! the second one only on probation: at one of two back ends that its digest selects, where its
//! router runs nothing else on probation. A suspect under which three back ends crashed, two of
//! them during probation, without a successful run since, is set aside: no router sends it to a
//! back end. The store keeps this verdict for routers that start when no other router is left to
//! tell them. One successful run clears a suspect.
//!
//! Suspects of a run are its request and those parts of its prompt that are not proven: a fatal
//! part crashes each back end that begins a response on it, so one whole response, at any router,
//! proves that a part is sound at that software version. Several parts may explain the same
//! crashes. A verdict on a part therefore names its companions, the suspects that all its crashed
//! runs had besides; it applies to requests that have all of them. A request with only some of
//! them runs on probation, which tells them apart.
//!
//! Without a quarantine, a request that came every 200 ms and crashed its back end each time still
//! reached a back end in 23 of 24 tries 3 s after the third crash (4 routers, 8 back ends); with a
//! quarantine, in none.
//!
//! - [`digest`]: identity of a request across all its tries, or of a prompt part.
//! - [`interrupted_runs`]: runs that broke off or timed out, while it is not known whether their
//!   back end crashed.
//! - [`suspects`]: what the runs of one request may be blamed on.
//! - [`proven_parts`]: prompt parts on which back ends generated whole responses.
//! - [`record`]: mergeable record of the crashes under one suspect.
//! - [`part_context`]: what distinguishes a fatal part from its companions.
//! - [`gossip`]: records in datagrams. [`stored_verdicts`]: verdicts in the store.
//! - [`probation`]: choice of the back end for a request on probation.

pub mod digest;
mod gossip;
pub mod interrupted_runs;
pub mod part_context;
pub mod probation;
pub mod proven_parts;
pub mod record;
pub mod stored_verdicts;
pub mod suspects;

use std::collections::{BTreeSet, HashMap};

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::digest::SuspectDigest;
use crate::direct::quarantine::part_context::PartContext;
use crate::direct::quarantine::proven_parts::ProvenParts;
use crate::direct::quarantine::record::{Record, Treatment};
use crate::direct::quarantine::suspects::{SuspectPart, Suspects};
use crate::direct::stream_versions::software_version::VersionHash;
use crate::time::Time;

/// Maximum number of records, some 150 bytes each. A crash adds one for each run that it
/// interrupted.
const MAX_RECORDS: usize = 2048;

/// Maximum number of verdicts that are evicted only after all other records. A caller that causes a
/// verdict has crashed three or more back ends.
const MAX_PROTECTED_VERDICTS: usize = 512;

/// How a request is to be treated, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// Treatment of the request.
    pub treatment: Treatment,
    /// Suspect that decides the treatment, and selects the back ends of a probation; `None` if
    /// nothing speaks against the request.
    pub suspect: Option<SuspectDigest>,
}

impl Assessment {
    /// Nothing speaks against the request.
    pub const USUAL: Assessment = Assessment {
        treatment: Treatment::Usual,
        suspect: None,
    };
}

/// A change in the treatment of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TreatmentChange {
    /// Suspect whose treatment changed.
    pub digest: SuspectDigest,
    /// Whether the suspect is known to be a prompt part.
    pub is_part: bool,
    /// Treatment before the change.
    pub before: Treatment,
    /// Treatment from now on.
    pub after: Treatment,
    /// Number of known instances that crashed while they ran the suspect.
    pub crashes: usize,
    /// Number of these instances that crashed while the suspect was on probation.
    pub probation_crashes: usize,
}

/// A router's records of what crashes back ends.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<SuspectDigest, Record>,
    proven_parts: ProvenParts,
    /// Suspects whose verdict the store may still hold although they were cleared.
    outdated: BTreeSet<SuspectDigest>,
    /// Number of changes of verdicts so far.
    verdict_changes: u64,
    /// Position of the next older verdict to gossip, modulo their number.
    next_old_verdict: usize,
}

impl Quarantine {
    /// Whether there is no record of any suspect, cleared ones included.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of suspects with a treatment, either of prompt parts or of all others.
    pub fn count(&self, treatment: Treatment, is_part: bool) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.treatment() == treatment && record.part.is_some() == is_part)
            .count()
    }

    fn set_aside_count(&self) -> usize {
        self.count(Treatment::SetAside, true) + self.count(Treatment::SetAside, false)
    }

    /// Number of changes of verdicts so far: suspects set aside or cleared, and fewer companions of
    /// one that is set aside.
    pub fn verdict_changes(&self) -> u64 {
        self.verdict_changes
    }

    /// Treatment of a suspect at `now`. Notes that its record was used.
    pub fn treatment(&mut self, digest: SuspectDigest, now: Time) -> Treatment {
        let Some(record) = self.records.get_mut(&digest) else {
            return Treatment::Usual;
        };
        record.last_used = now;
        record.treatment()
    }

    /// How a request with these suspects is to be treated at `now`: as the worst of them. Among
    /// equals, a part decides before the request, since the same back ends then try all requests
    /// with the part.
    pub fn assess(&mut self, suspects: &Suspects, now: Time) -> Assessment {
        let mut worst = (Treatment::Usual, 0, false, None);
        for digest in suspects.digests() {
            let mut treatment = self.treatment(digest, now);
            if treatment == Treatment::Usual {
                continue;
            }
            if treatment == Treatment::SetAside && !self.applies(digest, suspects) {
                treatment = Treatment::Probation;
            }
            let crashes = self.records.get(&digest).map_or(0, Record::crashes);
            let is_part = suspects.request != Some(digest);
            worst = worst.max((treatment, crashes, is_part, Some(digest)));
        }
        let (treatment, _, _, suspect) = worst;
        Assessment { treatment, suspect }
    }

    /// Whether crashes or a verdict are recorded against a suspect.
    fn is_implicated(&self, digest: SuspectDigest) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(Record::is_implicated)
    }

    /// Whether the verdict on a suspect applies to a request: it concerns the caller, and the request
    /// has all companions of the suspect that were not cleared since.
    fn applies(&self, digest: SuspectDigest, suspects: &Suspects) -> bool {
        let part = self
            .records
            .get(&digest)
            .and_then(|record| record.part.as_ref());
        let Some(part) = part else {
            return true;
        };
        let mut companions = part.companions().iter();
        part.concerns(suspects.caller)
            && companions.all(|companion| {
                !self.is_implicated(*companion)
                    || suspects.digests().any(|digest| digest == *companion)
            })
    }

    /// Records that a back end instance of a version crashed while it ran a request with these
    /// suspects. Proven parts are not blamed.
    pub fn on_crash(
        &mut self,
        suspects: &Suspects,
        instance: InstanceId,
        version: VersionHash,
        on_probation: bool,
        now: Time,
    ) -> Vec<TreatmentChange> {
        let unproven: Vec<SuspectDigest> = suspects
            .digests()
            .filter(|digest| !self.proven_parts.is_proven(*digest, version))
            .collect();
        let mut changes = Vec::new();
        for digest in &unproven {
            let companions = || unproven.iter().copied().filter(|other| other != digest);
            let part = (suspects.request != Some(*digest))
                .then(|| PartContext::of_crash(suspects.caller, companions().collect(), version));
            changes.extend(self.blame(*digest, part, instance, on_probation, now));
        }
        changes
    }

    fn blame(
        &mut self,
        digest: SuspectDigest,
        part: Option<PartContext>,
        instance: InstanceId,
        on_probation: bool,
        now: Time,
    ) -> Option<TreatmentChange> {
        self.make_room(now);
        let mut has_new_context = false;
        let change = self.update(digest, |record| {
            has_new_context = part.is_some_and(|part| record.merge_part(&part, now));
            record.add_crash(instance, on_probation, now);
        });
        if let Some(record) = self.records.get_mut(&digest) {
            if has_new_context {
                record.stored_since = None;
            }
            if record.treatment() == Treatment::SetAside && (change.is_some() || has_new_context) {
                self.schedule_write(digest, now);
            }
        }
        change
    }

    /// Records that a back end of a version generated a whole response on these parts, and clears
    /// those that are blamed for crashes at that version.
    pub fn on_complete_response(
        &mut self,
        parts: &[SuspectPart],
        version: VersionHash,
        now: Time,
    ) -> Vec<TreatmentChange> {
        for part in parts {
            self.proven_parts.record(part.digest, version);
        }
        let is_disproved = |part: &&SuspectPart| {
            let record = self.records.get(&part.digest);
            record.is_some_and(|record| {
                let crashed_at = record.crashed_version();
                record.is_implicated() && crashed_at.is_none_or(|crashed| crashed == version)
            })
        };
        let disproved: Vec<SuspectPart> = parts.iter().filter(is_disproved).copied().collect();
        let cleared = disproved.iter();
        cleared
            .filter_map(|part| self.clear(part.digest, now))
            .collect()
    }

    /// Whether a complete run with these suspects at a version would prove anything new.
    pub fn needs_proof(&self, suspects: &Suspects, version: VersionHash) -> bool {
        let is_unproven = |part: &SuspectPart| !self.is_proven(part, version);
        suspects.parts.iter().any(is_unproven)
            || suspects.digests().any(|digest| self.is_implicated(digest))
    }

    /// Whether a whole response on a part is known, from a back end of a version.
    pub fn is_proven(&self, part: &SuspectPart, version: VersionHash) -> bool {
        self.proven_parts.is_proven(part.digest, version)
    }

    /// Clears a request after a successful run: it did not cause the crashes.
    pub fn on_successful_run(
        &mut self,
        digest: SuspectDigest,
        now: Time,
    ) -> Option<TreatmentChange> {
        self.is_implicated(digest)
            .then(|| self.clear(digest, now))
            .flatten()
    }

    fn clear(&mut self, digest: SuspectDigest, now: Time) -> Option<TreatmentChange> {
        let change = self.update(digest, |record| record.clear(now))?;
        if change.before == Treatment::SetAside {
            self.outdated.insert(digest);
        }
        Some(change)
    }

    /// Updates a record and returns the resulting change of treatment, if any.
    fn update(
        &mut self,
        digest: SuspectDigest,
        apply: impl FnOnce(&mut Record),
    ) -> Option<TreatmentChange> {
        let record = self.records.entry(digest).or_default();
        let before = record.treatment();
        let companions_before = record.companion_count();
        apply(record);
        let after = record.treatment();
        let is_verdict = before.max(after) == Treatment::SetAside;
        if is_verdict && (before != after || record.companion_count() != companions_before) {
            self.verdict_changes += 1;
        }
        (after != before).then_some(TreatmentChange {
            digest,
            is_part: record.part.is_some(),
            before,
            after,
            crashes: record.crashes(),
            probation_crashes: record.probation_crashes(),
        })
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Makes room for one more record. Records of cleared requests are evicted first, then those of
    /// watched requests, of requests on probation, and verdicts; if there are too many verdicts,
    /// these are evicted like records of cleared requests. Within each group the least recently
    /// used go first.
    fn make_room(&mut self, now: Time) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.expire(now);
        let too_many_verdicts = self.set_aside_count() > MAX_PROTECTED_VERDICTS;
        let eviction_rank = |record: &Record| match record.treatment() {
            Treatment::SetAside if too_many_verdicts => Treatment::Usual,
            treatment => treatment,
        };
        // Evicting a tenth at a time avoids a sort for each record of a flood.
        let surplus = self.records.len().saturating_sub(MAX_RECORDS * 9 / 10);
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(digest, record)| (eviction_rank(record), record.last_used, *digest))
            .collect();
        order.sort_unstable();
        for (_, _, digest) in order.into_iter().take(surplus) {
            self.records.remove(&digest);
        }
    }
}
