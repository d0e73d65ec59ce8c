//! How long requests of one route took of late, from their arrival to the end of their answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

/// Length of one of the two spans that are remembered, the one that runs and the one before.
const SPAN: Duration = Duration::from_secs(8);

/// A request under way, as [`RunTimes`] knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    begun: Time,
    number: u64,
}

/// Run times of one route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    span_begun: Time,
    longest_in_span: Option<Duration>,
    longest_before: Option<Duration>,
    under_way: BTreeSet<RunId>,
    next_number: u64,
}

impl RunTimes {
    /// A request arrived.
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
    /// request that was refused tells nothing.
    pub fn end(&mut self, run: RunId, ran: bool, now: Time) {
        self.under_way.remove(&run);
        self.turn_span(now);
        if ran {
            let took = now.since(run.begun);
            self.longest_in_span = self.longest_in_span.max(Some(took));
        }
    }

    /// Longest time that a request took of late or has taken so far; `None` if there was none. Those
    /// under way count, so that back ends that have just become slow show before their answers end.
    pub fn longest(&self, now: Time) -> Option<Duration> {
        let age = now.since(self.span_begun);
        let in_span = self.longest_in_span.filter(|_| age < SPAN * 2);
        let before = self.longest_before.filter(|_| age < SPAN);
        let under_way = self.under_way.first().map(|run| now.since(run.begun));
        in_span.max(before).max(under_way)
    }

    /// Whether nothing is known: no request is under way, and none ended of late.
    pub fn is_idle(&self, now: Time) -> bool {
        self.longest(now).is_none()
    }

    fn turn_span(&mut self, now: Time) {
        let age = now.since(self.span_begun);
        if age < SPAN {
            return;
        }
        self.longest_before = self.longest_in_span.filter(|_| age < SPAN * 2);
        self.longest_in_span = None;
        self.span_begun = now;
    }
}
