//! How long requests of one route run of late, from when they are taken to the end of their answer.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// Time for which a run that ended counts.
const MEMORY: Duration = Duration::from_secs(10);

/// Runs that ended and are remembered at most.
const MAXIMUM_RUNS: usize = 512;

/// A request under way, as [`RunTimes`] knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    begun: Time,
    number: u64,
}

#[derive(Clone, Copy, Debug)]
struct EndedRun {
    at: Time,
    took: Duration,
}

/// Run times of one route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    ended: VecDeque<EndedRun>,
    under_way: BTreeSet<RunId>,
    next_number: u64,
}

impl RunTimes {
    /// A request is taken.
    pub fn begin(&mut self, now: Time) -> RunId {
        let run = RunId {
            begun: now,
            number: self.next_number,
        };
        self.next_number += 1;
        self.under_way.insert(run);
        run
    }

    /// A request is over. `ran` says whether the time that it took tells how long others take: a
    /// request that no back end ran tells nothing.
    pub fn end(&mut self, run: RunId, ran: bool, now: Time) {
        self.under_way.remove(&run);
        if !ran {
            return;
        }
        if self.ended.len() == MAXIMUM_RUNS {
            self.ended.pop_front();
        }
        let took = now.since(run.begun);
        self.ended.push_back(EndedRun { at: now, took });
    }

    /// Longest run of late; `None` if nothing is known. Those under way count with the time that they have taken,
    /// so that back ends that have just become slow show before their answers end.
    pub fn longest(&self, now: Time) -> Option<Duration> {
        let recent = self.ended.iter();
        let recent = recent.filter(|run| now.since(run.at) < MEMORY);
        let of_ended = recent.map(|run| run.took).max();
        let under_way = self.under_way.first().map(|run| now.since(run.begun));
        of_ended.max(under_way)
    }

    /// Whether nothing is known: no request is under way, and none ended of late.
    pub fn is_idle(&self, now: Time) -> bool {
        let last = self.ended.back();
        self.under_way.is_empty() && last.is_none_or(|run| now.since(run.at) >= MEMORY)
    }
}
