//! Mergeable record of the crashes under one suspect: a request or a prompt part.
//!
//! Crashes are kept as a set of back end instances, not as a count: a crash that two routers saw
//! counts once, however often and in whichever order records are gossiped. A successful run starts
//! a new epoch with an empty set, and a newer epoch replaces an older one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::digest::SuspectDigest;
use crate::direct::quarantine::part_context::PartContext;
use crate::direct::stream_versions::software_version::VersionHash;
use crate::time::Time;

/// Number of crashes from which a request runs only on probation. One crash says little, since it
/// interrupts all runs of its back end, for instance 40 to 60 requests.
const MIN_CRASHES_FOR_PROBATION: usize = 2;

/// Number of crashes from which a request may be set aside. Three are as many as the guarantee
/// allows one request to cause.
const MIN_CRASHES_FOR_VERDICT: usize = 3;

/// Number of these crashes, each of another instance, that have to occur during probation. A retry
/// of an innocent request may meet the next crash as well. To meet two more at the back ends that
/// were selected beforehand for its probation is unlikely for a request that does not cause them.
const MIN_PROBATION_CRASHES_FOR_VERDICT: usize = 2;

/// Time without use after which the record of a watched or cleared request expires. A fatal request
/// that comes less often than once an hour crashes a back end each time.
const WATCHED_RETENTION: Duration = Duration::from_secs(3600);

/// Time without use after which the record of a request on probation expires. A fatal request on
/// probation that comes less often than once a day crashes a back end each time.
const PROBATION_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of crashed instances in one record. More would not change the treatment.
const MAX_INSTANCES: usize = 6;

/// Treatment of a request, according to the crashes under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Treatment {
    /// Like any other request.
    Usual,
    /// Runs on probation where that is possible, else like any other request.
    Watched,
    /// Runs only on probation: at one of the few back ends that its digest selects, where its
    /// router runs no other request on probation, and once for each try of its caller.
    Probation,
    /// Is not sent to any back end.
    SetAside,
}

impl Treatment {
    /// Fixed text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Treatment::Usual => "usual",
            Treatment::Watched => "watched",
            Treatment::Probation => "probation",
            Treatment::SetAside => "set_aside",
        }
    }
}

/// A record as routers gossip it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordGossip {
    /// Suspect that the record is about.
    pub digest: SuspectDigest,
    /// Number of times that the suspect was cleared.
    pub epoch: u32,
    /// Instances that crashed under the request in this epoch; empty once it is set aside.
    pub crashes: Vec<InstanceId>,
    /// Those of these instances that crashed while the request was on probation.
    pub probation_crashes: Vec<InstanceId>,
    /// Whether the request is set aside.
    pub set_aside: bool,
    /// Whether the store holds the verdict.
    pub stored: bool,
    /// Circumstances of the crashes, if the suspect is a prompt part. Datagrams carry it behind all
    /// records, where earlier releases leave it unread.
    #[serde(skip)]
    pub part: Option<PartContext>,
}

/// Crashes under one suspect and the verdict on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub epoch: u32,
    /// Circumstances of the crashes, if the suspect is known to be a prompt part.
    pub part: Option<PartContext>,
    crashes: Vec<InstanceId>,
    probation_crashes: Vec<InstanceId>,
    set_aside: bool,
    /// Whether the request was of high priority before this epoch, so that peers have to learn soon
    /// that it was cleared.
    was_high_priority: bool,
    /// Since when the store is known to hold the verdict.
    pub stored_since: Option<Time>,
    /// When to write the verdict to the store, unless another router has by then.
    pub store_due: Option<Time>,
    /// When the record last changed.
    pub last_changed: Time,
    /// When the record last changed or was looked up.
    pub last_used: Time,
}

impl Record {
    pub fn treatment(&self) -> Treatment {
        if self.set_aside {
            Treatment::SetAside
        } else if self.crashes.len() >= MIN_CRASHES_FOR_PROBATION {
            Treatment::Probation
        } else if self.crashes.is_empty() {
            Treatment::Usual
        } else {
            Treatment::Watched
        }
    }

    /// Whether peers should receive this record before others: the request is on probation or set
    /// aside, or was and has been cleared.
    pub fn is_high_priority(&self) -> bool {
        self.was_high_priority || self.treatment() > Treatment::Watched
    }

    /// Number of companions that a request must have for the verdict to apply.
    pub fn companion_count(&self) -> usize {
        let part = self.part.as_ref();
        part.map_or(0, |part| part.companions().len())
    }

    /// Software version of the back ends that crashed under a prompt part, if known.
    pub fn crashed_version(&self) -> Option<VersionHash> {
        self.part.as_ref().and_then(PartContext::version)
    }

    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    pub fn probation_crashes(&self) -> usize {
        self.probation_crashes.len()
    }

    /// Whether the request is set aside or has crashes.
    pub fn is_implicated(&self) -> bool {
        self.set_aside || !self.crashes.is_empty()
    }

    /// Records that an instance crashed while it ran the request.
    pub fn add_crash(&mut self, instance: InstanceId, on_probation: bool, now: Time) {
        let mut is_new = insert_instance(&mut self.crashes, instance);
        if on_probation {
            is_new |= insert_instance(&mut self.probation_crashes, instance);
        }
        if is_new {
            self.last_changed = now;
            self.last_used = now;
            self.update_verdict();
        }
    }

    /// Merges the circumstances of crashes under a prompt part; returns whether they changed.
    pub fn merge_part(&mut self, part: &PartContext, now: Time) -> bool {
        let changed = match &mut self.part {
            Some(known) => known.merge(part),
            None => {
                self.part = Some(part.clone());
                true
            }
        };
        if changed {
            self.last_changed = now;
        }
        changed
    }

    /// Sets the request aside once there are enough crashes.
    fn update_verdict(&mut self) {
        let has_enough_crashes = self.crashes.len() >= MIN_CRASHES_FOR_VERDICT
            && self.probation_crashes.len() >= MIN_PROBATION_CRASHES_FOR_VERDICT;
        self.set_aside |= has_enough_crashes;
    }

    /// Sets the request aside, whatever crashes are known.
    pub fn set_aside(&mut self, now: Time) {
        if !self.set_aside {
            self.set_aside = true;
            self.last_changed = now;
            self.last_used = now;
        }
    }

    /// Clears the suspect: starts a new epoch without crashes or verdict.
    pub fn clear(&mut self, now: Time) {
        *self = Record {
            epoch: self.epoch + 1,
            part: self.part.as_ref().map(|_| PartContext::default()),
            was_high_priority: self.is_high_priority(),
            last_changed: now,
            last_used: now,
            ..Record::default()
        };
    }

    /// Merges the record of another router.
    pub fn merge(&mut self, gossip: &RecordGossip, now: Time) {
        if gossip.epoch < self.epoch {
            return;
        }
        let mut changed = gossip.epoch > self.epoch;
        if changed {
            *self = Record {
                epoch: gossip.epoch,
                part: self.part.as_ref().map(|_| PartContext::default()),
                was_high_priority: self.is_high_priority(),
                ..Record::default()
            };
        }
        if let Some(part) = &gossip.part {
            changed |= self.merge_part(part, now);
        }
        for instance in gossip.crashes.iter().take(MAX_INSTANCES) {
            changed |= insert_instance(&mut self.crashes, *instance);
        }
        for instance in gossip.probation_crashes.iter().take(MAX_INSTANCES) {
            changed |= insert_instance(&mut self.probation_crashes, *instance);
        }
        changed |= gossip.set_aside && !self.set_aside;
        self.set_aside |= gossip.set_aside;
        self.update_verdict();
        if gossip.stored && self.stored_since.is_none() {
            self.stored_since = Some(now);
            self.store_due = None;
        }
        if changed {
            self.last_changed = now;
            self.last_used = now;
        }
    }

    pub fn gossip(&self, digest: SuspectDigest) -> RecordGossip {
        let gossiped = |instances: &[InstanceId]| match self.set_aside {
            true => Vec::new(),
            false => instances.to_vec(),
        };
        RecordGossip {
            digest,
            epoch: self.epoch,
            crashes: gossiped(&self.crashes),
            probation_crashes: gossiped(&self.probation_crashes),
            set_aside: self.set_aside,
            stored: self.stored_since.is_some(),
            part: self.part.clone(),
        }
    }

    /// Whether the record is unused for so long that it no longer counts. Verdicts never expire.
    pub fn is_expired(&self, now: Time) -> bool {
        let retention = match self.treatment() {
            Treatment::SetAside => return false,
            Treatment::Probation => PROBATION_RETENTION,
            Treatment::Usual | Treatment::Watched => WATCHED_RETENTION,
        };
        now.since(self.last_used) >= retention
    }
}

fn insert_instance(instances: &mut Vec<InstanceId>, instance: InstanceId) -> bool {
    if instances.contains(&instance) || instances.len() >= MAX_INSTANCES {
        return false;
    }
    instances.push(instance);
    true
}
