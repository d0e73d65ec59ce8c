//! Where prompt parts were last read: which back ends keep them in memory.
//!
//! A hint, not a promise: a back end drops parts as it needs the room. Bounded
//! in entries and in age.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Time;

/// Back ends remembered for one part.
const HOLDERS: usize = 4;

/// Parts that are remembered.
const MAXIMUM_PARTS: usize = 16 * 1024;

/// Age at which a place is forgotten.
const MAXIMUM_AGE: Duration = Duration::from_secs(60);

/// A back end that read a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Id of the back end.
    pub back_end: String,
    /// When a request with the part last went there.
    pub last_used: Time,
}

/// Holders of prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PrefixLocations {
    parts: HashMap<u64, Vec<Holder>>,
}

impl PrefixLocations {
    /// A request with the part was served by a back end.
    pub fn record(&mut self, part: u64, back_end: &str, now: Time) {
        if self.parts.len() >= MAXIMUM_PARTS && !self.parts.contains_key(&part) {
            self.expire(now);
            if self.parts.len() >= MAXIMUM_PARTS {
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
        holders.truncate(HOLDERS);
    }

    /// Holders of a part, the last used first.
    pub fn holders(&self, part: u64) -> &[Holder] {
        self.parts.get(&part).map_or(&[], Vec::as_slice)
    }

    /// A back end lost its memory.
    pub fn forget_back_end(&mut self, back_end: &str) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.back_end != back_end);
            !holders.is_empty()
        });
    }

    /// Drops places that are too old.
    pub fn expire(&mut self, now: Time) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| now.since(holder.last_used) < MAXIMUM_AGE);
            !holders.is_empty()
        });
    }
}
