//! A short form of directory news, for the wire.
//!
//! Labels are the same for many back ends and told once; births and revisions are told as distances
//! from those of the news. An entry of 77 bytes takes about 31.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::selector::Labels;
use crate::direct::back_ends::directory::{BackEndEntry, DirectoryDelta, RemovedEntry};

/// A [`DirectoryDelta`] in short form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactDelta {
    revision: u64,
    whole: bool,
    /// Birth from which those of entries are told.
    born: u64,
    /// Labels that entries name by their place here.
    labels: Vec<Labels>,
    present: Vec<CompactEntry>,
    gone: Vec<RemovedEntry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompactEntry {
    id: String,
    /// From the birth of the news, around the range of numbers.
    born: i64,
    address: SocketAddr,
    labels: usize,
    slots: u32,
    leaving: bool,
    cold_for: Duration,
    /// From the revision of the news, around the range of numbers.
    revision: i64,
}

impl From<DirectoryDelta> for CompactDelta {
    fn from(delta: DirectoryDelta) -> Self {
        let born = delta.present.iter().map(|entry| entry.born).max();
        let born = born.unwrap_or_default();
        let mut places: HashMap<Labels, usize> = HashMap::new();
        let mut labels = Vec::new();
        let present = delta.present.into_iter().map(|entry| {
            let place = *places.entry(entry.labels).or_insert_with_key(|known| {
                labels.push(known.clone());
                labels.len() - 1
            });
            CompactEntry {
                id: entry.id,
                born: entry.born.wrapping_sub(born) as i64,
                address: entry.address,
                labels: place,
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
    /// The news; `None` if an entry names labels that are not told.
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
