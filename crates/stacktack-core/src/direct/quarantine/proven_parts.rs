//! Prompt parts on which back ends generated whole responses.
//!
//! A part that crashes back ends crashes each one that begins a response on it, so one complete
//! response proves that the part does not, at that software version.

use std::collections::HashMap;

use crate::direct::quarantine::digest::SuspectDigest;
use crate::direct::stream_versions::software_version::VersionHash;

/// Number of parts after which a generation is closed: some 100 kB each.
const MAX_PARTS_PER_GENERATION: usize = 4096;

/// The parts that were proven most recently, and the software version of the latest proof. At least
/// the latest [`MAX_PARTS_PER_GENERATION`] parts are known.
#[derive(Clone, Debug, Default)]
pub struct ProvenParts {
    /// Parts that were proven since the last generation was closed.
    recent: HashMap<SuspectDigest, VersionHash>,
    /// Parts that were proven in the generation before.
    older: HashMap<SuspectDigest, VersionHash>,
}

impl ProvenParts {
    /// Records that a back end of a version generated a whole response on a part.
    pub fn record(&mut self, part: SuspectDigest, version: VersionHash) {
        if self.recent.len() >= MAX_PARTS_PER_GENERATION && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, version);
    }

    /// Version of the latest proof of a part; `None` if none is known.
    pub fn version(&self, part: SuspectDigest) -> Option<VersionHash> {
        let known = self.recent.get(&part).or_else(|| self.older.get(&part));
        known.copied()
    }

    /// Whether a part is proven at a version.
    pub fn is_proven(&self, part: SuspectDigest, version: VersionHash) -> bool {
        self.version(part) == Some(version)
    }
}
