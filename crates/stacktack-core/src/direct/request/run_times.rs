//! How long recent requests of one route took, from their admission to the end of the response.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// Time for which a finished run counts.
const WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of finished runs that are remembered.
const MAX_FINISHED_RUNS: usize = 512;

/// Identifies a request in flight in its [`RunTimes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    started: Time,
    number: u64,
}

#[derive(Clone, Copy, Debug)]
struct FinishedRun {
    finished_at: Time,
    duration: Duration,
}

/// Run times of one route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    finished: VecDeque<FinishedRun>,
    in_flight: BTreeSet<RunId>,
    next_number: u64,
}

impl RunTimes {
    /// Adds a request that was admitted.
    pub fn begin(&mut self, now: Time) -> RunId {
        let run = RunId {
            started: now,
            number: self.next_number,
        };
        self.next_number += 1;
        self.in_flight.insert(run);
        run
    }

    /// Removes a request that is over. Its duration counts only if `ran` is true: a request that no
    /// back end ran says nothing about the duration of others.
    pub fn end(&mut self, run: RunId, ran: bool, now: Time) {
        self.in_flight.remove(&run);
        if !ran {
            return;
        }
        if self.finished.len() == MAX_FINISHED_RUNS {
            self.finished.pop_front();
        }
        let duration = now.since(run.started);
        self.finished.push_back(FinishedRun {
            finished_at: now,
            duration,
        });
    }

    /// Longest recent run; `None` if there is none. Runs in flight count with their duration so
    /// far, so that back ends that have just become slow are noticed before their responses end.
    pub fn longest(&self, now: Time) -> Option<Duration> {
        let recent = self.finished.iter();
        let recent = recent.filter(|run| now.since(run.finished_at) < WINDOW);
        let of_finished = recent.map(|run| run.duration).max();
        let in_flight = self.in_flight.first().map(|run| now.since(run.started));
        of_finished.max(in_flight)
    }

    /// Whether no request is in flight and no recent run is known.
    pub fn is_idle(&self, now: Time) -> bool {
        let last = self.finished.back();
        self.in_flight.is_empty() && last.is_none_or(|run| now.since(run.finished_at) >= WINDOW)
    }
}
