//! Hedged calls to a source.
//!
//! A slow answer cannot be told from a lost one before it comes. So a late call is not given up:
//! another one is made beside it, on a connection of its own, and the first answer is used. With a
//! fixed timeout instead, a call would start over each time and never end where an answer takes
//! longer than the timeout.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::{sleep_until, Instant};

use crate::ports::{LocalBoxFuture, SourceError};
use crate::transfer::Transfer;

/// Time without data after which a late call is given up: its connection may be dead without a
/// reset. Answers that are less late are still used.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum lateness of a timer that counts as a stall of this process. It is above the resolution
/// of timers.
const MIN_STALL: Duration = Duration::from_millis(50);

/// Interval between checks whether this process was stalled, from when an answer is due until it
/// counts as late; also the time that a call is given after a stall before it counts as late, in
/// which a waiting answer is read.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A call that was answered, failed or was given up.
#[derive(Debug)]
pub struct EndedCall {
    /// Revision after which the call asked for changes; `None` for a snapshot.
    pub after_revision: Option<u64>,
    /// Progress of the answer.
    pub transfer: Rc<Transfer>,
    /// Maximum time for which the call was to wait at the source for changes.
    pub max_wait: Duration,
    due: Instant,
}

impl EndedCall {
    /// Time from when the answer was due until it began to arrive, or until now if it has not.
    pub fn lateness(&self) -> Duration {
        let first = self.transfer.first_byte().unwrap_or_else(Instant::now);
        first.saturating_duration_since(self.due)
    }

    /// Upper bound on the time since the source made the answer: the time since the call was made.
    /// If the call was to wait at the source, the time since the answer began to arrive, plus the
    /// `lateness` of answers, bounds it as well.
    pub fn answer_age(&self, lateness: Duration) -> Duration {
        let since_call = self.transfer.elapsed();
        if self.max_wait.is_zero() {
            return since_call;
        }
        let since_answer = self.transfer.arriving_for() + lateness;
        since_call.min(since_answer)
    }
}

/// Event of [`HedgedCalls`].
#[derive(Debug)]
pub enum CallEvent<T> {
    /// A call is to be made now.
    Due,
    /// A call was answered.
    Answered(T, EndedCall),
    /// A call failed.
    Failed(SourceError, EndedCall),
    /// A call was not answered in time; it goes on.
    Late {
        /// Progress of the answer.
        transfer: Rc<Transfer>,
        /// Maximum time for which the call was to wait at the source for changes.
        max_wait: Duration,
    },
    /// A late call was given up.
    GivenUp(EndedCall),
}

struct Call<'a, T> {
    ended: EndedCall,
    answer: LocalBoxFuture<'a, Result<T, SourceError>>,
    late: bool,
    /// Whether the call was given time after a stall of this process.
    had_stall_extension: bool,
}

impl<T> Call<'_, T> {
    /// Since when the call makes no progress although it should.
    fn no_progress_since(&self) -> Instant {
        self.ended.due.max(self.ended.transfer.last_progress())
    }

    /// When to check the call again: when it is late by `max_lateness`, and at intervals before.
    fn next_check(&self, max_lateness: Duration) -> Instant {
        let no_progress_since = self.no_progress_since();
        let next = no_progress_since.max(Instant::now()) + STALL_CHECK_INTERVAL;
        next.min(no_progress_since + max_lateness)
    }
}

/// Calls of one kind to a source that are in flight, and when to make the next one.
pub struct HedgedCalls<'a, T> {
    /// Calls in flight, the newest last.
    in_flight: Vec<Call<'a, T>>,
    /// When to make the next call, if one is scheduled.
    next: Option<Instant>,
}

impl<'a, T> HedgedCalls<'a, T> {
    /// Creates a state without calls in flight; the first one is due now.
    pub fn new() -> Self {
        HedgedCalls::starting_in(Duration::ZERO)
    }

    /// Creates a state without calls in flight; the first one is due after a delay.
    pub fn starting_in(delay: Duration) -> Self {
        HedgedCalls {
            in_flight: Vec::new(),
            next: Some(Instant::now() + delay),
        }
    }

    /// Whether no call is scheduled, and all calls in flight are late.
    pub fn is_idle(&self) -> bool {
        self.next.is_none() && self.in_flight.iter().all(|call| call.late)
    }

    /// Schedules the next call after a delay.
    pub fn schedule(&mut self, delay: Duration) {
        self.next = Some(Instant::now() + delay);
    }

    /// Adds a call in flight, which asks for changes after a revision and waits at the source for
    /// up to `max_wait` until there are some.
    pub fn begin(
        &mut self,
        after_revision: Option<u64>,
        max_wait: Duration,
        transfer: Rc<Transfer>,
        answer: LocalBoxFuture<'a, Result<T, SourceError>>,
    ) {
        let due = Instant::now() + max_wait;
        self.in_flight.push(Call {
            ended: EndedCall {
                after_revision,
                transfer,
                max_wait,
                due,
            },
            answer,
            late: false,
            had_stall_extension: false,
        });
    }

    /// Whether an answer is arriving: it has begun to, and has not stalled for so long that its call
    /// is late.
    pub fn has_arriving_answer(&self) -> bool {
        let mut calls = self.in_flight.iter();
        calls.any(|call| !call.late && call.ended.transfer.bytes() > 0)
    }

    /// Call this once an answer was applied. It drops the calls in flight, since their answers
    /// would bring nothing new, and schedules the next one after a delay, if there is to be one. A
    /// poll that brought no changes (`was_empty`) does not affect a call that waits at the source.
    pub fn on_answer(&mut self, answered: &EndedCall, was_empty: bool, delay: Option<Duration>) {
        if answered.max_wait.is_zero() && was_empty && self.is_any_waiting() {
            return;
        }
        self.in_flight.clear();
        self.reschedule(delay);
    }

    /// Schedules the next call after a delay; `None` for no call.
    pub fn reschedule(&mut self, delay: Option<Duration>) {
        self.next = delay.map(|delay| Instant::now() + delay);
    }

    /// Whether a call that is not late waits at the source for changes.
    fn is_any_waiting(&self) -> bool {
        let mut calls = self.in_flight.iter();
        calls.any(|call| !call.late && !call.ended.max_wait.is_zero())
    }

    /// Waits for the next event. A call counts as late once its answer is `max_lateness` overdue.
    /// Cancel-safe: no event is lost if the future is dropped.
    pub async fn next_event(&mut self, max_lateness: Duration) -> CallEvent<T> {
        loop {
            if self.next.is_some_and(|next| next <= Instant::now()) {
                self.next = None;
                return CallEvent::Due;
            }
            let deadline = self.next_deadline(max_lateness);
            tokio::select! {
                biased;
                event = poll_fn(|context| self.poll_calls(context)) => return event,
                () = sleep_until(deadline) => self.exclude_stall(deadline.elapsed(), max_lateness),
            }
            if let Some(event) = self.lateness_event(max_lateness) {
                return event;
            }
        }
    }

    /// Excludes a stall of this process, which made a timer `timer_lag` late, from the lateness of
    /// answers, since these may wait to be read. Without this, a store that answered every call
    /// counted as lost whenever the process was stalled for longer than the timeout, and removals
    /// of back ends were held back for 2.2 s.
    fn exclude_stall(&mut self, timer_lag: Duration, max_lateness: Duration) {
        if timer_lag < MIN_STALL {
            return;
        }
        let now = Instant::now();
        for call in &mut self.in_flight {
            let overdue = now.saturating_duration_since(call.ended.due);
            call.ended.due += timer_lag.min(overdue);
            if !call.had_stall_extension
                && call.no_progress_since() + max_lateness < now + STALL_CHECK_INTERVAL
            {
                // Once for each call, so that a store that answers nobody is still detected if
                // timers are always late.
                call.had_stall_extension = true;
                let extended = (now + STALL_CHECK_INTERVAL).checked_sub(max_lateness);
                call.ended.due = extended.unwrap_or(now);
            }
        }
    }

    fn poll_calls(&mut self, context: &mut Context<'_>) -> Poll<CallEvent<T>> {
        for index in 0..self.in_flight.len() {
            let Poll::Ready(result) = self.in_flight[index].answer.poll_unpin(context) else {
                continue;
            };
            let call = self.in_flight.remove(index);
            return Poll::Ready(match result {
                Ok(answer) => CallEvent::Answered(answer, call.ended),
                Err(error) => CallEvent::Failed(error, call.ended),
            });
        }
        Poll::Pending
    }

    fn lateness_event(&mut self, max_lateness: Duration) -> Option<CallEvent<T>> {
        let now = Instant::now();
        let is_late =
            |call: &&mut Call<'_, T>| !call.late && call.no_progress_since() + max_lateness <= now;
        if let Some(call) = self.in_flight.iter_mut().find(is_late) {
            call.late = true;
            return Some(CallEvent::Late {
                transfer: call.ended.transfer.clone(),
                max_wait: call.ended.max_wait,
            });
        }
        let is_dead = |call: &Call<'_, T>| call.no_progress_since() + GIVE_UP_TIMEOUT <= now;
        let index = self.in_flight.iter().position(is_dead)?;
        Some(CallEvent::GivenUp(self.in_flight.remove(index).ended))
    }

    /// When the next event other than the end of a call may be due.
    fn next_deadline(&self, max_lateness: Duration) -> Instant {
        let in_time = self.in_flight.iter().filter(|call| !call.late);
        let check = in_time.map(|call| call.next_check(max_lateness)).min();
        let earliest = self.in_flight.iter().map(Call::no_progress_since).min();
        let give_up = earliest.map(|earliest| earliest + GIVE_UP_TIMEOUT);
        let first = [self.next, check, give_up].into_iter().flatten().min();
        first.unwrap_or_else(|| Instant::now() + GIVE_UP_TIMEOUT)
    }
}

impl<T> Default for HedgedCalls<'_, T> {
    fn default() -> Self {
        Self::new()
    }
}
