//! Waits at the engines with which requests of each priority are in time.
//!
//! Less urgent requests keep the wait so short that more urgent ones are still in time. Whenever a
//! less urgent request is admitted a more urgent one would be too, so that none is served less
//! often, however few requests a router sees.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::admission::rate::{DecayingMean, DecayingRate};
use crate::time::Time;

/// Time constant over which the waits of a priority are averaged: prompts that are partly cached
/// tolerate longer waits.
const WINDOW: Duration = Duration::from_secs(3);

/// Time after its last request from which a priority is ignored.
const PRIORITY_TTL: Duration = Duration::from_secs(2);

/// Share of the recent requests that a priority has to make up to limit less urgent ones: a rare
/// urgent request does not hold up all others.
const MIN_SHARE: f64 = 0.05;

/// Share of the wait tolerable to more urgent requests that less urgent ones may use. Predictions
/// for long prompts vary more, so that with all of it urgent long prompts are refused more often.
const LESS_URGENT_SHARE: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct TolerableWait {
    requests: DecayingRate,
    mean: DecayingMean,
    /// The mean in seconds, and when it was updated.
    latest: (f64, Time),
}

/// Mean tolerable waits by priority.
#[derive(Clone, Debug)]
pub struct UrgencyOrder {
    requests: DecayingRate,
    priorities: BTreeMap<u8, TolerableWait>,
}

impl Default for UrgencyOrder {
    fn default() -> Self {
        UrgencyOrder {
            requests: DecayingRate::new(WINDOW),
            priorities: BTreeMap::new(),
        }
    }
}

impl UrgencyOrder {
    /// A request of a priority came that would be in time after this wait; `None` if it is late by
    /// its own work.
    pub fn on_request(&mut self, priority: u8, tolerable_wait: Option<Duration>, now: Time) {
        self.requests.count(1.0, now);
        let Some(tolerable_wait) = tolerable_wait else {
            return;
        };
        let seconds = tolerable_wait.as_secs_f64();
        let known = self
            .priorities
            .entry(priority)
            .or_insert_with(|| TolerableWait {
                requests: DecayingRate::new(WINDOW),
                mean: DecayingMean::new(WINDOW),
                latest: (seconds, now),
            });
        known.requests.count(1.0, now);
        known.latest = (known.mean.update(seconds, now), now);
    }

    /// Wait behind which all more urgent requests are in time; `None` if there were few
    /// recently.
    pub fn limit(&self, priority: u8, now: Time) -> Option<Duration> {
        let min_requests = self.requests.decayed_count(now) * MIN_SHARE;
        self.priorities
            .range(..priority)
            .filter(|(_, known)| known.requests.decayed_count(now) >= min_requests)
            .map(|(_, known)| known.latest)
            .filter(|(_, seen)| now.since(*seen) < PRIORITY_TTL)
            .map(|(seconds, _)| Duration::from_secs_f64(seconds * LESS_URGENT_SHARE))
            .min()
    }
}
