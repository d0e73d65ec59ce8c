//! The back ends that recently read a prompt part and probably have it cached.
//!
//! A location is only a hint: a back end evicts parts when it needs the memory. The number of
//! entries and their age are bounded.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// Maximum number of back ends remembered for one part.
const MAX_HOLDERS_PER_PART: usize = 4;

/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 16 * 1024;

/// Age at which a location is dropped.
const MAX_AGE: Duration = Duration::from_secs(60);

/// A back end that probably has a part cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Id of the back end.
    pub back_end: String,
    /// When the back end last served a request with the part.
    pub last_used: Time,
}

/// Recent holders of prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PrefixLocations {
    parts: HashMap<u64, Vec<Holder>>,
}

impl PrefixLocations {
    /// Records that a back end served a request with the part. A new part is ignored while
    /// `MAX_PARTS` unexpired parts are known.
    pub fn record(&mut self, part: u64, back_end: &str, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.expire(now);
            if self.parts.len() >= MAX_PARTS {
                return;
            }
        }
        let holders = self.parts.entry(part).or_default();
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

    /// Holders of a part, most recently used first.
    pub fn holders(&self, part: u64) -> &[Holder] {
        self.parts.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Removes a back end whose cache is lost, because it is gone or was restarted.
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
