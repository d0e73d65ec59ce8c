//! Entries of the directory of back ends, and its deltas and changes.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::selector::Labels;

/// Directory entry of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndEntry {
    /// Id of the back end; a later instance may have the same one.
    pub id: String,
    /// Start of this instance, in Unix milliseconds on the clock of its machine; 0 if unknown. It
    /// tells instances apart and does not order them.
    pub born: u64,
    /// Address on which the back end listens.
    pub address: SocketAddr,
    /// Labels, by which pools select their members.
    pub labels: Labels,
    /// Number of requests that the back end runs at once.
    pub slots: u32,
    /// Whether the back end accepts no new requests.
    pub leaving: bool,
    /// Remaining time for which the back end is cold, from when the entry was sent.
    pub cold_for: Duration,
    /// Directory revision at which the entry last changed.
    pub revision: u64,
}

impl BackEndEntry {
    /// Whether this entry and `other`, of the same id, describe the same instance. An unknown start
    /// time shows no other instance. Start times do not order instances, because the clocks from
    /// which they come may be stepped; the revisions of the entries do.
    pub fn is_same_instance_as(&self, other: &BackEndEntry) -> bool {
        self.born == other.born || self.born == 0 || other.born == 0
    }

    /// Zone of the back end, if labelled.
    pub fn zone(&self) -> Option<&str> {
        self.labels.get(ZONE_LABEL).map(String::as_str)
    }

    /// Service that the back end belongs to, if labelled.
    pub fn service(&self) -> Option<&str> {
        self.labels.get(SERVICE_LABEL).map(String::as_str)
    }

    /// Version of the back end's software; empty if not labelled.
    pub fn version(&self) -> &str {
        self.labels.get(VERSION_LABEL).map_or("", String::as_str)
    }
}

/// Hash that identifies one instance of a back end, by its id and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId([u8; 4]);

impl InstanceId {
    /// Returns the id of the instance that a directory entry describes.
    pub fn of(entry: &BackEndEntry) -> Self {
        let hash = xxh3_64_with_seed(entry.id.as_bytes(), entry.born);
        let [first, second, third, fourth, ..] = hash.to_le_bytes();
        InstanceId([first, second, third, fourth])
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", u32::from_be_bytes(self.0))
    }
}

/// Instance that left the directory, or was replaced there, and was not to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VanishedInstance {
    /// Id of the back end.
    pub back_end: String,
    /// Id of the instance.
    pub instance: InstanceId,
}

/// Removal of an entry from the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedEntry {
    /// Id of the back end.
    pub id: String,
    /// Directory revision at which, or before which, the entry was removed.
    pub revision: u64,
}

/// Changes of the directory after some revision, or a snapshot of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision up to which the delta is complete.
    pub revision: u64,
    /// Whether `present` is a snapshot of the whole directory.
    pub whole: bool,
    /// Entries that are new or have changed; all entries in a snapshot.
    pub present: Vec<BackEndEntry>,
    /// Entries that were removed.
    pub gone: Vec<RemovedEntry>,
}

impl DirectoryDelta {
    /// Whether the delta is neither a snapshot nor holds a change.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.present.is_empty() && self.gone.is_empty()
    }
}

/// Label that names a back end's zone.
pub const ZONE_LABEL: &str = "zone";

/// Label that names the service that a back end belongs to.
pub const SERVICE_LABEL: &str = "service";

/// Label that names the version of a back end's software.
pub const VERSION_LABEL: &str = "version";

/// Reason why an entry of an update does not change the known back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoreCause {
    /// An entry of a newer revision is known, or of the same one with another start time.
    NotNewer,
    /// The removal of the id at the same or a newer revision is known.
    Removed,
}

impl IgnoreCause {
    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            IgnoreCause::NotNewer => "not_newer",
            IgnoreCause::Removed => "removed",
        }
    }
}

/// Entry of an update that does not change the known back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IgnoredEntry {
    /// Id of the back end.
    pub id: String,
    /// Directory revision at which the entry last changed.
    pub revision: u64,
    /// Why it is ignored.
    pub cause: IgnoreCause,
}

/// Changes that an update of the directory made to the known back ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Ids that are new.
    pub joined: Vec<String>,
    /// Ids whose instance was replaced by the one of a newer entry.
    pub restarted: Vec<String>,
    /// Instances that were removed or replaced without having been marked as leaving.
    pub vanished: Vec<VanishedInstance>,
    /// Ids that accept no new requests from now on.
    pub leaving: Vec<String>,
    /// Ids that were removed.
    pub gone: Vec<String>,
    /// Entries that change nothing.
    pub ignored: Vec<IgnoredEntry>,
}

impl DirectoryChange {
    /// Records an entry that changes nothing.
    pub(crate) fn ignore(&mut self, entry: &BackEndEntry, cause: IgnoreCause) {
        self.ignored.push(IgnoredEntry {
            id: entry.id.clone(),
            revision: entry.revision,
            cause,
        });
    }
}
