//! How large a share of a router's own requests has the same prompt part.
//!
//! All routers see about the same mix of parts, so that the share which a router gives one place is
//! the share which all give it. That is known at once, where loads are known later than requests
//! are held: with loads alone all send a part that became hot to its home, hear of the crowd
//! when it is there, and pass it by until it is gone.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// Time for which a request counts: after it a part that cooled down is back at its home.
const SPAN: Duration = Duration::from_secs(2);

/// Requests that count at most.
const MOST_SEEN: usize = 4096;

/// Requests of a router with the same part from which its share is known: fewer come together by chance
/// where a router gets few requests, and each further place reads the part once more.
const LEAST_SEEN: u32 = 3;

/// Multiple of a back end's mean load that one part may bring to one place. What the back end holds in
/// other parts comes on top.
const MOST_OF_MEAN: f64 = 0.15;

/// The pool that a part's requests go to.
#[derive(Clone, Copy, Debug)]
pub struct PoolStats {
    /// Number of its members.
    pub members: usize,
    /// Requests that one holds in the mean.
    pub mean_load: f64,
    /// Requests above the mean at which a home is passed by.
    pub spill_headroom: f64,
}

/// Parts of a router's requests to one pool of late.
#[derive(Clone, Debug, Default)]
pub struct PartShares {
    seen: VecDeque<(Time, u64)>,
    counts: HashMap<u64, u32>,
}

impl PartShares {
    /// A request with a part came.
    pub fn record(&mut self, part: u64, now: Time) {
        self.forget(now);
        self.seen.push_back((now, part));
        *self.counts.entry(part).or_insert(0) += 1;
    }

    fn forget(&mut self, now: Time) {
        while let Some((at, part)) = self.seen.front().copied() {
            if now.since(at) < SPAN && self.seen.len() < MOST_SEEN {
                return;
            }
            self.seen.pop_front();
            self.take_off(part);
        }
    }

    fn take_off(&mut self, part: u64) {
        if let Some(count) = self.counts.get_mut(&part) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&part);
            }
        }
    }

    /// Places over which a part is spread: one, as long as all its load fits into what the bound of a home leaves
    /// above the mean, and unless the part surely has a larger share of the requests than one place should get.
    pub fn replicas(&self, part: u64, pool: &PoolStats) -> usize {
        let count = self.counts.get(&part).copied().unwrap_or(0);
        if count < LEAST_SEEN {
            return 1;
        }
        let count = f64::from(count);
        let share = (count - count.sqrt()) / self.seen.len().max(1) as f64;
        let members = pool.members as f64;
        if share * members * pool.mean_load <= pool.spill_headroom {
            return 1;
        }
        let places = share * members / MOST_OF_MEAN;
        (places as usize).clamp(1, pool.members.max(1))
    }
}
