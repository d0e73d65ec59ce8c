//! Version of a back end's software.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::directory::BackEndEntry;

/// Version of the software of a service's back ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion {
    /// Service of the back ends; empty if they are not labelled.
    pub service: String,
    /// Version; empty if they are not labelled.
    pub version: String,
}

/// Short form of a version on the wire. Two of 20 versions share one with a probability of 1 in
/// 80,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionHash([u8; 3]);

impl SoftwareVersion {
    /// Version that a back end runs.
    pub fn of(entry: &BackEndEntry) -> Self {
        SoftwareVersion {
            service: entry.service().unwrap_or_default().to_owned(),
            version: entry.version().to_owned(),
        }
    }

    /// Whether a back end runs this version.
    pub fn is_run_by(&self, entry: &BackEndEntry) -> bool {
        entry.version() == self.version && entry.service().unwrap_or_default() == self.service
    }

    /// Short form of the version.
    pub fn hash(&self) -> VersionHash {
        let service = xxh3_64_with_seed(self.service.as_bytes(), 0);
        let hash = xxh3_64_with_seed(self.version.as_bytes(), service);
        let [first, second, third, ..] = hash.to_le_bytes();
        VersionHash([first, second, third])
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.version)
    }
}
