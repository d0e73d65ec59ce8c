//! Compact wire encoding of a directory delta.
//!
//! Labels that many back ends share are sent once; start times and revisions are sent as
//! differences from those of the delta. An entry of 77 bytes takes about 31 bytes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::selector::Labels;
use crate::direct::back_ends::directory::{BackEndEntry, DirectoryDelta, RemovedEntry};

/// A [`DirectoryDelta`] in its compact form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactDelta {
    revision: u64,
    whole: bool,
    /// Latest start time among the entries, from which their `born` values are differences.
    born: u64,
    /// Distinct sets of labels, which entries refer to by index.
    labels: Vec<Labels>,
    present: Vec<CompactEntry>,
    gone: Vec<RemovedEntry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactEntry {
    id: String,
    /// Wrapping difference from the start time of the delta.
    born: i64,
    address: SocketAddr,
    labels: usize,
    slots: u32,
    leaving: bool,
    cold_for: Duration,
    /// Wrapping difference from the revision of the delta.
    revision: i64,
}

impl From<DirectoryDelta> for CompactDelta {
    fn from(delta: DirectoryDelta) -> Self {
        let born = delta.present.iter().map(|entry| entry.born).max();
        let born = born.unwrap_or_default();
        let mut indexes: HashMap<Labels, usize> = HashMap::new();
        let mut labels = Vec::new();
        let present = delta.present.into_iter().map(|entry| {
            let index = *indexes.entry(entry.labels).or_insert_with_key(|known| {
                labels.push(known.clone());
                labels.len() - 1
            });
            CompactEntry {
                id: entry.id,
                born: entry.born.wrapping_sub(born) as i64,
                address: entry.address,
                labels: index,
                slots: entry.slots,
                leaving: entry.leaving,
                cold_for: entry.cold_for,
                revision: entry.revision.wrapping_sub(delta.revision) as i64,
            }
        });
        let present = present.collect();
        CompactDelta {
            revision: delta.revision,
            whole: delta.whole,
            born,
            labels,
            present,
            gone: delta.gone,
        }
    }
}

impl CompactDelta {
    /// Expands the delta; `None` if an entry refers to labels that are missing.
    pub fn into_delta(self) -> Option<DirectoryDelta> {
        let (revision, born, labels) = (self.revision, self.born, self.labels);
        let entry = |entry: CompactEntry| {
            Some(BackEndEntry {
                id: entry.id,
                born: born.wrapping_add(entry.born as u64),
                address: entry.address,
                labels: labels.get(entry.labels)?.clone(),
                slots: entry.slots,
                leaving: entry.leaving,
                cold_for: entry.cold_for,
                revision: revision.wrapping_add(entry.revision as u64),
            })
        };
        let present: Option<Vec<BackEndEntry>> = self.present.into_iter().map(entry).collect();
        Some(DirectoryDelta {
            revision,
            whole: self.whole,
            present: present?,
            gone: self.gone,
        })
    }
}
