//! Prefix locations: a location is a prompt part and a holder of it, a back end that recently read
//! the part and probably has it cached.
//!
//! A location is only a hint: a back end evicts parts when it needs the memory. The number of
//! locations and their age are bounded.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// Maximum number of holders remembered for one part.
const MAX_HOLDERS_PER_PART: usize = 4;

/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 16 * 1024;

/// Age from which a location is dropped by the next [`PrefixLocations::expire`].
const MAX_AGE: Duration = Duration::from_secs(60);

/// A back end that probably has a part cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Id of the back end.
    pub back_end: String,
    /// When this router last recorded the location: when the back end served a request of this
    /// router with the part, or when gossip of the location arrived.
    pub last_used: Time,
}

/// Locations of prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PrefixLocations {
    /// Holders of each part, by part id.
    parts: HashMap<u64, Vec<Holder>>,
}

impl PrefixLocations {
    /// Records that a back end served a request with the part, for this router or a peer. A new
    /// part is ignored while `MAX_PARTS` unexpired parts are known.
    pub fn record(&mut self, part_id: u64, back_end: &str, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part_id) {
            self.expire(now);
            if self.parts.len() >= MAX_PARTS {
                return;
            }
        }
        let holders = self.parts.entry(part_id).or_default();
        holders.retain(|holder| holder.back_end != back_end);
        holders.insert(
            0,
            Holder {
                back_end: back_end.to_owned(),
                last_used: now,
            },
        );
        holders.truncate(MAX_HOLDERS_PER_PART);
    }

    /// Holders of a part, most recently recorded first.
    pub fn holders(&self, part_id: u64) -> &[Holder] {
        self.parts.get(&part_id).map_or(&[], Vec::as_slice)
    }

    /// Drops all locations at a back end whose cache is lost, because it is gone or was restarted.
    pub fn forget_back_end(&mut self, back_end: &str) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.back_end != back_end);
            !holders.is_empty()
        });
    }

    /// Drops locations older than `MAX_AGE`.
    pub fn expire(&mut self, now: Time) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| now.since(holder.last_used) < MAX_AGE);
            !holders.is_empty()
        });
    }
}
