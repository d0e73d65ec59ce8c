//! What distinguishes a prompt part that crashes back ends from other parts of the same requests.
//!
//! Contexts of several routers are merged in any order and any number of times: callers are
//! united, companions are intersected.

use serde::{Deserialize, Serialize};

use crate::direct::quarantine::digest::SuspectDigest;
use crate::direct::quarantine::suspects::CallerHash;
use crate::direct::stream_versions::software_version::VersionHash;

/// Number of callers that count as several.
const SEVERAL_CALLERS: usize = 2;

/// Maximum number of companions of a part. With fewer companions than there are, a verdict applies
/// to more requests.
const MAX_COMPANIONS: usize = 3;

/// Circumstances of the crashes under a prompt part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartContext {
    /// Callers whose runs crashed, in ascending order; at most `SEVERAL_CALLERS`.
    callers: Vec<CallerHash>,
    /// Other suspects that all crashed runs with the part had, requests included, in ascending
    /// order; `None` without a crash.
    companions: Option<Vec<SuspectDigest>>,
    /// Software version of the back ends that crashed; the greatest hash if there are several.
    version: Option<VersionHash>,
}

impl PartContext {
    /// Context of one crashed run; `companions` are the other unproven suspects of the run.
    pub fn of_crash(
        caller: CallerHash,
        mut companions: Vec<SuspectDigest>,
        version: VersionHash,
    ) -> Self {
        companions.sort_unstable();
        companions.truncate(MAX_COMPANIONS);
        PartContext {
            callers: vec![caller],
            companions: Some(companions),
            version: Some(version),
        }
    }

    /// Context of a verdict as the store keeps it.
    pub fn stored(callers: Vec<CallerHash>, companions: Vec<SuspectDigest>) -> Self {
        let mut context = PartContext {
            callers,
            companions: Some(companions),
            version: None,
        };
        context.callers.sort_unstable();
        context.callers.truncate(SEVERAL_CALLERS);
        context
    }

    /// Merges what another router knows; returns whether anything changed.
    pub fn merge(&mut self, other: &PartContext) -> bool {
        let before = self.clone();
        self.callers.extend(&other.callers);
        self.callers.sort_unstable();
        self.callers.dedup();
        self.callers.truncate(SEVERAL_CALLERS);
        self.companions = match (self.companions.take(), &other.companions) {
            (Some(own), Some(others)) => {
                let is_common = |companion: &SuspectDigest| others.contains(companion);
                Some(own.into_iter().filter(is_common).collect())
            }
            (own, others) => own.or_else(|| others.clone()),
        };
        self.version = self.version.max(other.version);
        *self != before
    }

    /// Callers whose runs crashed; two stand for several.
    pub fn callers(&self) -> &[CallerHash] {
        &self.callers
    }

    /// Other suspects that all crashed runs with the part had.
    pub fn companions(&self) -> &[SuspectDigest] {
        self.companions.as_deref().unwrap_or_default()
    }

    /// Software version of the back ends that crashed, if known.
    pub fn version(&self) -> Option<VersionHash> {
        self.version
    }

    /// Whether the crashes speak against requests of this caller: its own runs crashed, or those of
    /// several callers. A caller announces its parts itself, so one caller alone cannot have a part
    /// of another one set aside.
    pub fn concerns(&self, caller: CallerHash) -> bool {
        let is_known = !self.callers.is_empty();
        !is_known || self.callers.len() >= SEVERAL_CALLERS || self.callers.contains(&caller)
    }
}
