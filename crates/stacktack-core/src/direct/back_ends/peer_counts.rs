//! Requests of other routers in flight at a back end, by their own counts.

use std::time::Duration;

use crate::direct::back_ends::survival::Survival;
use crate::time::Time;

/// Requests that one router had in flight at a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerCount {
    /// Number of requests.
    pub requests: f64,
    /// When the router told it.
    pub at: Time,
    /// Whether that router is in the zone of this one.
    pub same_zone: bool,
}

/// Requests of all other routers that told some.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerCounts {
    counts: Vec<PeerCount>,
    told: f64,
    told_in_zone: f64,
}

impl PeerCounts {
    /// Adds what one router told.
    pub fn add(&mut self, count: PeerCount) {
        self.told += count.requests;
        if count.same_zone {
            self.told_in_zone += count.requests;
        }
        self.counts.push(count);
    }

    /// Sum of the requests as they were told.
    pub fn told(&self) -> f64 {
        self.told
    }

    /// Sum of the requests of routers of this router's zone, as they were told.
    pub fn told_in_zone(&self) -> f64 {
        self.told_in_zone
    }

    /// Requests among the told ones that are expected to be in flight still.
    pub fn remaining(&self, survival: &Survival, now: Time) -> f64 {
        let counts = self.counts.iter();
        let remaining =
            counts.map(|count| count.requests * survival.share_after(now.since(count.at)));
        remaining.sum()
    }

    /// Mean age of the requests that were told; `None` if none were.
    pub fn mean_age(&self, now: Time) -> Option<Duration> {
        let told = self.told();
        let ages = self.counts.iter().map(|count| {
            let age = now.since(count.at).as_secs_f64();
            age * count.requests
        });
        let sum: f64 = ages.sum();
        (told > 0.0).then(|| Duration::from_secs_f64(sum / told))
    }
}
