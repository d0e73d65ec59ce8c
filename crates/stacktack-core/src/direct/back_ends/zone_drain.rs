//! Zones that an operator drains: their back ends get no request until the drain is
//! taken back.
//!
//! Each zone is a register that the newest revision of the operator's store decides, so
//! that routers may tell each other what they know in any order and as often as they
//! like. A drain that was taken back is remembered: late news of it must not begin it
//! anew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::directory::BackEndEntry;

/// Registers that one router remembers and tells: a deployment has some ten zones, and
/// each takes some 25 bytes of a datagram.
const MAXIMUM_ZONES: usize = 16;

/// What an operator last asked for one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDrain {
    /// The zone's label.
    pub zone: String,
    /// Whether it is drained.
    pub drained: bool,
    /// Revision of the store at which that was asked for.
    pub revision: u64,
}

/// News of drains from the operator's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneDrainUpdate {
    /// What was asked for or taken back.
    pub changes: Vec<ZoneDrain>,
    /// Revision as of which `changes` holds every zone that is drained; `None` where it
    /// holds changes only.
    pub snapshot_revision: Option<u64>,
}

/// What is known of every zone.
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

    /// Whether a back end stands in a zone that is drained.
    pub fn covers(&self, entry: &BackEndEntry) -> bool {
        entry.zone().is_some_and(|zone| self.is_drained(zone))
    }

    /// Number of zones that are drained.
    pub fn drained_count(&self) -> usize {
        self.0.values().filter(|register| register.drained).count()
    }

    /// Takes news of one zone. Returns whether the zone is drained from now on, or no
    /// longer.
    pub fn merge(&mut self, news: &ZoneDrain) -> bool {
        let known = self.0.get(&news.zone);
        if known.is_some_and(|known| known.revision >= news.revision) {
            return false;
        }
        let was_drained = known.is_some_and(|known| known.drained);
        let register = Register {
            drained: news.drained,
            revision: news.revision,
        };
        self.0.insert(news.zone.clone(), register);
        self.forget_oldest();
        was_drained != news.drained
    }

    /// Drains that have ended, where news tells all of them as of a revision: zones that
    /// are not among them.
    pub fn ended_drains(&self, news: &ZoneDrainUpdate) -> Vec<ZoneDrain> {
        let Some(revision) = news.snapshot_revision else {
            return Vec::new();
        };
        let listed = |zone: &str| news.changes.iter().any(|change| change.zone == zone);
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

    /// All that is known, to tell other routers.
    pub fn gossip(&self) -> Vec<ZoneDrain> {
        let all = self.0.iter();
        all.map(|(zone, register)| ZoneDrain {
            zone: zone.clone(),
            drained: register.drained,
            revision: register.revision,
        })
        .collect()
    }

    /// Drops the register that changed longest ago, one that is not drained first.
    fn forget_oldest(&mut self) {
        if self.0.len() <= MAXIMUM_ZONES {
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
