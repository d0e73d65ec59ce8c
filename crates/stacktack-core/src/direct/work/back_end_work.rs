//! Work at one back end, as one router knows it.

use std::time::Duration;

use crate::direct::back_ends::work_time::WorkTimeFactor;
use crate::direct::work::backlog::{Backlog, ObservedBacklog, SendId};
use crate::direct::work::pool_work::PoolWork;
use crate::direct::work::request_work::RequestWork;
use crate::direct::work::speed::WorkDuration;
use crate::time::Time;

/// Minimum reading time from which the speed of a back end is learned: below it, fixed times of the
/// network and of the engine dominate.
const MIN_LEARNED_READING: Duration = Duration::from_millis(20);

/// Predicted wait up to which a request counts as having found an idle back end.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(5);

/// Work of a request at the back end it was sent to, as estimated at its choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentWork {
    /// Tokens to read and to write.
    pub work: RequestWork,
    /// Time that the back end takes to read the prompt.
    pub reading: Duration,
    /// Predicted wait before it.
    pub backlog: Duration,
    /// Tokens among those to read that the back end may have read for other routers.
    pub unknown_tokens: u32,
    /// Whether the back end is the home of the prompt.
    pub at_home: bool,
    /// Whether the response may begin without the prompt being read there: a cache is copied from
    /// another back end, or a stream is resumed. Its time then teaches nothing about reading.
    pub may_skip_reading: bool,
}

/// First event of a response.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Time since the request was written.
    pub after: Duration,
    /// Requests that have not sent their first event, of all routers, if the back end tells.
    pub waiting: Option<u32>,
    /// Duration of work that the back end reports.
    pub work_time: Option<WorkTimeFactor>,
    /// When the event arrived.
    pub at: Time,
}

/// Work at one instance of a back end.
#[derive(Clone, Debug)]
pub struct BackEndWork {
    /// Work ahead of a new request.
    pub backlog: Backlog,
    /// How long work takes.
    pub speed: WorkDuration,
    /// When this router learned of the instance.
    known_since: Time,
    /// Whether an unreadable duration of work was reported.
    reported_unreadable: bool,
}

impl BackEndWork {
    /// State of an instance of which nothing is known.
    pub fn new(now: Time) -> Self {
        BackEndWork {
            backlog: Backlog::default(),
            speed: WorkDuration::default(),
            known_since: now,
            reported_unreadable: false,
        }
    }

    /// Time for which this router has known the instance.
    pub fn known_for(&self, now: Time) -> Duration {
        now.since(self.known_since)
    }

    /// Records an unreadable duration of work. Returns whether it is the first one.
    pub fn on_unreadable_work_time(&mut self) -> bool {
        !std::mem::replace(&mut self.reported_unreadable, true)
    }

    /// Learns from the first event of a response to this router. Returns the error of the predicted
    /// time to it in seconds, negative if the event came sooner.
    pub fn on_first_event(
        &mut self,
        id: SendId,
        sent: &SentWork,
        event: &FirstEvent,
        pool: &mut PoolWork,
    ) -> f64 {
        self.backlog.remove(id);
        if let Some(factor) = event.work_time {
            self.speed.on_report(factor, &mut pool.speed, event.at);
        }
        let fixed = pool.rates.fixed_time();
        let predicted = sent.backlog + sent.reading + fixed;
        let error = event.after.as_secs_f64() - predicted.as_secs_f64();
        if sent.may_skip_reading {
            self.observe_waiting(event, pool);
            return error;
        }
        let was_idle = sent.backlog <= MAX_IDLE_WAIT
            && event.waiting.is_none_or(|waiting| waiting == 0)
            && self.backlog.unread_requests() == 0;
        if was_idle {
            self.learn_from_idle(sent, event, pool);
        }
        self.learn_first_read(sent, event, pool, was_idle);
        if event.waiting.is_none() {
            self.backlog.observe(ObservedBacklog {
                time: event.after.saturating_sub(sent.reading + fixed),
                at: event.at - event.after,
            });
        }
        self.observe_waiting(event, pool);
        error
    }

    /// Takes the number of waiting requests, if the back end tells it.
    fn observe_waiting(&mut self, event: &FirstEvent, pool: &PoolWork) {
        if let Some(waiting) = event.waiting {
            self.backlog
                .on_waiting(waiting, pool.mean_reading(), event.at);
        }
    }

    /// Learns rates and speed from a request that found the back end idle.
    fn learn_from_idle(&mut self, sent: &SentWork, event: &FirstEvent, pool: &mut PoolWork) {
        if sent.unknown_tokens > 0 {
            return;
        }
        let reported = event.work_time.map_or(1.0, WorkTimeFactor::factor);
        let after = event.after.div_f64(reported);
        let usual = pool.rates.reading_time(sent.work.unread_tokens);
        if usual >= MIN_LEARNED_READING {
            let measured = after.saturating_sub(pool.rates.fixed_time());
            self.speed.on_reading(measured, usual);
        }
        pool.rates.observe(sent.work.unread_tokens, after);
    }

    /// Learns whether a part was read for another router: it was if the event came before half of
    /// the part could be read, and it was not if an idle back end took longer.
    fn learn_first_read(
        &self,
        sent: &SentWork,
        event: &FirstEvent,
        pool: &mut PoolWork,
        was_idle: bool,
    ) {
        let reading = pool.rates.reading_time(sent.unknown_tokens);
        if reading < MIN_LEARNED_READING {
            return;
        }
        let own = sent.work.unread_tokens.saturating_sub(sent.unknown_tokens);
        let if_read = pool.rates.reading_time(own) + pool.rates.fixed_time();
        let was_read = event.after < if_read + reading / 2;
        if was_read || was_idle {
            let known_for = self.known_for(event.at - event.after);
            pool.peer_reads_mut(sent.at_home)
                .observe(was_read, known_for);
        }
    }
}
