//! The directory of back ends: its entries and what changes among them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::selector::Labels;

/// A back end as the directory describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndEntry {
    /// Id of the back end; a new life may have the same one.
    pub id: String,
    /// Unix millisecond of the start of this life; 0 where it is not told.
    pub born: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Labels; pools are conditions on them.
    pub labels: Labels,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it stays cold, from the moment at which the entry was told.
    pub cold_for: Duration,
    /// Revision of the directory at which the entry last changed.
    pub revision: u64,
}

impl BackEndEntry {
    /// Whether this is a later life of the same id than another entry tells of.
    pub fn is_newer_instance_than(&self, other: &BackEndEntry) -> bool {
        other.born != 0 && self.born > other.born
    }

    /// The zone that it stands in, where its label says so.
    pub fn zone(&self) -> Option<&str> {
        self.labels.get(ZONE_LABEL).map(String::as_str)
    }

    /// The service that it belongs to, where its label says so.
    pub fn service(&self) -> Option<&str> {
        self.labels.get(SERVICE_LABEL).map(String::as_str)
    }

    /// The version of its software; empty where no label says so.
    pub fn version(&self) -> &str {
        self.labels.get(VERSION_LABEL).map_or("", String::as_str)
    }
}

/// One life of a back end: its id and its birth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId([u8; 4]);

impl InstanceId {
    /// The life that an entry of the directory describes.
    pub fn of(entry: &BackEndEntry) -> Self {
        let hash = xxh3_64_with_seed(entry.id.as_bytes(), entry.born);
        let [first, second, third, fourth, ..] = hash.to_le_bytes();
        InstanceId([first, second, third, fourth])
    }
}

/// A life that ended without having said that it leaves, as far as the directory tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VanishedInstance {
    /// Id of the back end.
    pub back_end: String,
    /// Its life.
    pub instance: InstanceId,
}

impl VanishedInstance {
    /// The life that an entry described, unless that was leaving.
    pub fn of(entry: &BackEndEntry) -> Option<Self> {
        (!entry.leaving).then(|| VanishedInstance {
            back_end: entry.id.clone(),
            instance: InstanceId::of(entry),
        })
    }
}

/// An entry that left the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedEntry {
    /// Id of the back end.
    pub id: String,
    /// Revision of the directory at which it left, or by which it had left.
    pub revision: u64,
}

/// What changed in the directory after some revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Revision up to which the news is complete.
    pub revision: u64,
    /// Whether `present` is the whole directory.
    pub whole: bool,
    /// Entries that are new or changed.
    pub present: Vec<BackEndEntry>,
    /// Entries that left.
    pub gone: Vec<RemovedEntry>,
}

impl DirectoryDelta {
    /// Whether it tells nothing: no list, and no change.
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

/// What changed with a new list of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Ids that were not known before.
    pub joined: Vec<String>,
    /// Ids that were known under an earlier life.
    pub restarted: Vec<String>,
    /// Lives that ended unplanned, of ids that are gone or in another life.
    pub vanished: Vec<VanishedInstance>,
    /// Ids that take no new work from now on.
    pub leaving: Vec<String>,
    /// Ids that are gone.
    pub gone: Vec<String>,
}
