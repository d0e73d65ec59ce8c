//! Zones that an operator drains: their back ends get no requests until the drain ends.
//!
//! Each zone is a last-writer-wins register, ordered by the revision of the operator's store, so
//! that routers can gossip their registers in any order and repeatedly. A register is kept after
//! its drain has ended, since late gossip must not start the drain again, and is dropped only when
//! more than `MAX_ZONES` zones are known.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::directory::BackEndEntry;

/// Maximum number of zones that a router remembers and gossips. A deployment has about ten
/// zones, and each takes about 25 bytes of a datagram.
const MAX_ZONES: usize = 16;

/// Last request of an operator for one zone: to drain it, or to end its drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrain {
    /// Label of the zone.
    pub zone: String,
    /// Whether the request drains the zone; false if it ends the drain.
    pub drained: bool,
    /// Revision of the store at which the operator made the request.
    pub revision: u64,
}

/// Update of zone drains from the operator's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneDrainUpdate {
    /// Requests of the operator that start or end drains, the last one of each zone.
    pub changes: Vec<ZoneDrain>,
    /// If the update is a snapshot, the revision that it shows: a zone that `changes` does not
    /// list is not drained as of that revision. `None` if `changes` lists only what has changed.
    pub snapshot_revision: Option<u64>,
}

/// Drain registers of all known zones, also of those whose drain has ended.
#[derive(Clone, Debug, Default)]
pub struct ZoneDrains(BTreeMap<String, Register>);

#[derive(Clone, Copy, Debug)]
struct Register {
    drained: bool,
    revision: u64,
}

impl ZoneDrains {
    /// Whether a zone is drained.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.0.get(zone).is_some_and(|register| register.drained)
    }

    /// Whether a back end is in a zone that is drained now.
    pub fn covers(&self, entry: &BackEndEntry) -> bool {
        entry.zone().is_some_and(|zone| self.is_drained(zone))
    }

    /// Number of drained zones.
    pub fn drained_count(&self) -> usize {
        self.0.values().filter(|register| register.drained).count()
    }

    /// Merges the drain request of one zone if it is newer than the known one. Returns whether
    /// this starts or ends a drain.
    pub fn merge(&mut self, drain: &ZoneDrain) -> bool {
        let known = self.0.get(&drain.zone);
        if known.is_some_and(|known| known.revision >= drain.revision) {
            return false;
        }
        let was_drained = known.is_some_and(|known| known.drained);
        let register = Register {
            drained: drain.drained,
            revision: drain.revision,
        };
        self.0.insert(drain.zone.clone(), register);
        self.enforce_max_zones();
        was_drained != drain.drained
    }

    /// Drains that have ended according to a snapshot: drained zones that it does not list.
    /// Empty if the update is not a snapshot.
    pub fn ended_drains(&self, update: &ZoneDrainUpdate) -> Vec<ZoneDrain> {
        let Some(revision) = update.snapshot_revision else {
            return Vec::new();
        };
        let listed = |zone: &str| update.changes.iter().any(|change| change.zone == zone);
        let ended = self
            .0
            .iter()
            .filter(|(zone, known)| known.drained && !listed(zone));
        ended
            .map(|(zone, _)| ZoneDrain {
                zone: zone.clone(),
                drained: false,
                revision,
            })
            .collect()
    }

    /// Registers of all known zones, also of those whose drain has ended, to send to peers.
    pub fn gossip(&self) -> Vec<ZoneDrain> {
        let all = self.0.iter();
        all.map(|(zone, register)| ZoneDrain {
            zone: zone.clone(),
            drained: register.drained,
            revision: register.revision,
        })
        .collect()
    }

    /// Drops the register with the lowest revision if there are too many; registers of zones that
    /// are not drained go first. This may be the register that was merged last.
    fn enforce_max_zones(&mut self) {
        if self.0.len() <= MAX_ZONES {
            return;
        }
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, register)| (register.drained, register.revision))
            .map(|(zone, _)| zone.clone());
        if let Some(zone) = oldest {
            self.0.remove(&zone);
        }
    }
}
