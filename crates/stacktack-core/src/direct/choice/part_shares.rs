//! The share of a router's recent requests that have the same prompt part, and the number of
//! replicas that follows from it.
//!
//! All routers see about the same mix of parts, so the share that one router sends to a replica
//! is the share that all routers send to it. Shares are known at once, whereas load reports can
//! be older than the time for which a request is in flight. With load reports alone, all routers
//! send a part that became hot to its home, learn of the overload only once it is there, and then
//! all avoid the home until it is idle again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// Time for which a request counts. A part that is no longer hot is back at its home after this
/// time.
const WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of requests that count.
const MAX_RECENT_REQUESTS: usize = 4096;

/// Minimum number of recent requests with a part before the part is spread. Where a router gets few
/// requests, fewer coincide by chance, and each further replica has to read the part once more.
const MIN_PART_REQUESTS: u32 = 3;

/// Maximum load that one part may bring to one replica, as a multiple of the mean load of a back
/// end. The load of other parts comes on top.
const MAX_PART_LOAD_OF_MEAN: f64 = 0.15;

/// Maximum load that one part may bring to one replica, as a multiple of the mean load of a back
/// end, in pools that count work. Each further replica reads or copies the part there, and a
/// replica with this load on top of the mean is below the spill bound.
const MAX_COUNTED_PART_LOAD_OF_MEAN: f64 = 0.5;

/// Maximum share of the time of one engine that one part may take there.
const MAX_PART_SHARE_OF_ENGINE: f64 = 0.25;

/// Size and load of the pool that a part's requests go to.
#[derive(Clone, Copy, Debug)]
pub struct PoolStats {
    /// Number of members of the pool.
    pub members: usize,
    /// Mean number of requests in flight at a member.
    pub mean_load: f64,
    /// Requests above the mean load at which requests spill over from a home.
    pub spill_headroom: f64,
}

/// Work of the requests that have a part.
#[derive(Clone, Copy, Debug)]
pub struct PartWork {
    /// This router's share of the requests of all routers, above 0 and at most 1.
    pub own_share: f64,
    /// Time that an engine takes to read a prompt whose shared parts it has.
    pub reading: Duration,
}

/// Parts of a router's recent requests to one pool.
#[derive(Clone, Debug, Default)]
pub struct PartShares {
    recent: VecDeque<(Time, u64)>,
    counts: HashMap<u64, u32>,
}

impl PartShares {
    /// Counts a request with a part.
    pub fn record(&mut self, part: u64, now: Time) {
        self.expire(now);
        self.recent.push_back((now, part));
        *self.counts.entry(part).or_insert(0) += 1;
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, part)) = self.recent.front().copied() {
            if now.since(at) < WINDOW && self.recent.len() < MAX_RECENT_REQUESTS {
                return;
            }
            self.recent.pop_front();
            self.decrement(part);
        }
    }

    fn decrement(&mut self, part: u64) {
        if let Some(count) = self.counts.get_mut(&part) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&part);
            }
        }
    }

    /// Number of replicas over which a part is spread.
    ///
    /// A part has one replica as long as its whole load fits into the spill headroom of its home.
    /// Otherwise the number follows from its share of the requests, with its count reduced by one
    /// standard deviation: a part is spread only if its share surely exceeds what one replica
    /// should get.
    pub fn replicas(&self, part: u64, pool: &PoolStats) -> usize {
        let by_load = self.replicas_by_load(part, pool, MAX_PART_LOAD_OF_MEAN);
        (by_load as usize).clamp(1, pool.members.max(1))
    }

    /// Number of replicas over which a part is spread in a pool that counts work: as many as keep
    /// the time that its requests take at each engine low, and their number within the bound on
    /// the load.
    pub fn replicas_by_work(&self, part: u64, pool: &PoolStats, work: &PartWork) -> usize {
        let by_load = self.replicas_by_load(part, pool, MAX_COUNTED_PART_LOAD_OF_MEAN);
        let per_second = self.sure_count(part) / WINDOW.as_secs_f64() / work.own_share;
        let engines = per_second * work.reading.as_secs_f64();
        let by_work = engines / MAX_PART_SHARE_OF_ENGINE;
        (by_load.max(by_work) as usize).clamp(1, pool.members.max(1))
    }

    /// Recent requests with a part, reduced by one standard deviation; 0 if there are too few to
    /// spread it.
    fn sure_count(&self, part: u64) -> f64 {
        let count = self.counts.get(&part).copied().unwrap_or(0);
        if count < MIN_PART_REQUESTS {
            return 0.0;
        }
        let count = f64::from(count);
        count - count.sqrt()
    }

    fn replicas_by_load(&self, part: u64, pool: &PoolStats, max_load_of_mean: f64) -> f64 {
        let share = self.sure_count(part) / self.recent.len().max(1) as f64;
        let members = pool.members as f64;
        if share * members * pool.mean_load <= pool.spill_headroom {
            return 1.0;
        }
        share * members / max_load_of_mean
    }
}
