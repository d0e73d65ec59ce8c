//! Calls to a source that are under way.
//!
//! A slow answer and none look alike until it comes. So a call that is late is not
//! given up: a further one is made beside it, on a connection of its own, and the
//! first answer is taken. A call that is given up at a fixed bound has to begin anew,
//! and never ends where an answer takes longer than the bound.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::{sleep_until, Instant};

use crate::ports::{LocalBoxFuture, SourceError};
use crate::transfer::Transfer;

/// Time for which nothing arrives on a late call after which it is given up: its
/// connection may be dead without a reset. Answers up to this late are still taken.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Lateness of a timer from which this process stood still, beyond the resolution of timers.
const OWN_LATENESS: Duration = Duration::from_millis(50);

/// Time between looks at whether this process runs, while an answer is late.
const OWN_LOOK: Duration = Duration::from_millis(200);

/// A call that is over.
#[derive(Debug)]
pub struct EndedCall {
    /// Revision after which it asked; `None` for everything.
    pub after_revision: Option<u64>,
    /// How far its answer came.
    pub transfer: Rc<Transfer>,
    /// Time for which it might wait there for news.
    pub max_wait: Duration,
    due: Instant,
}

impl EndedCall {
    /// How long after it was due the answer began.
    pub fn lateness(&self) -> Duration {
        let first = self.transfer.first_byte().unwrap_or_else(Instant::now);
        first.saturating_duration_since(self.due)
    }

    /// How long ago the answer was made, at most: since the call was made, where it did not
    /// wait there; else since the answer came, and as long as answers are late.
    pub fn answer_age(&self, lateness: Duration) -> Duration {
        let since_call = self.transfer.elapsed();
        if self.max_wait.is_zero() {
            return since_call;
        }
        let since_answer = self.transfer.arriving_for() + lateness;
        since_call.min(since_answer)
    }
}

/// What happens next to the calls.
#[derive(Debug)]
pub enum CallEvent<T> {
    /// A call is to be made now.
    Due,
    /// A call was answered.
    Answered(T, EndedCall),
    /// A call failed.
    Failed(SourceError, EndedCall),
    /// A call is later than answers may be; it goes on.
    Late {
        /// How far its answer has come.
        transfer: Rc<Transfer>,
        /// Time for which it might wait there for news.
        max_wait: Duration,
    },
    /// A late call was given up.
    GivenUp(EndedCall),
}

struct Call<'a, T> {
    ended: EndedCall,
    answer: LocalBoxFuture<'a, Result<T, SourceError>>,
    late: bool,
    /// Whether it got time for what may wait to be read.
    was_spared: bool,
}

impl<T> Call<'_, T> {
    /// Since when the call shows nothing though it should.
    fn quiet_since(&self) -> Instant {
        self.ended.due.max(self.ended.transfer.last_progress())
    }

    /// When to look at it again: once it is late by `patience`, and now and then before.
    fn next_look(&self, patience: Duration) -> Instant {
        let quiet_since = self.quiet_since();
        let next = quiet_since.max(Instant::now()) + OWN_LOOK;
        next.min(quiet_since + patience)
    }
}

/// Calls of one kind that are under way, the newest last.
pub struct HedgedCalls<'a, T> {
    under_way: Vec<Call<'a, T>>,
    next: Option<Instant>,
}

impl<'a, T> HedgedCalls<'a, T> {
    /// No call yet; the first one is due now.
    pub fn new() -> Self {
        HedgedCalls::starting_in(Duration::ZERO)
    }

    /// No call yet; the first one is due after a pause.
    pub fn starting_in(pause: Duration) -> Self {
        HedgedCalls {
            under_way: Vec::new(),
            next: Some(Instant::now() + pause),
        }
    }

    /// Whether no call is planned, and none under way that may still be answered in time.
    pub fn is_idle(&self) -> bool {
        self.next.is_none() && self.under_way.iter().all(|call| call.late)
    }

    /// The next call is due after a pause.
    pub fn schedule(&mut self, pause: Duration) {
        self.next = Some(Instant::now() + pause);
    }

    /// A call was made that asks for news after a revision and may wait there for some.
    pub fn begin(
        &mut self,
        after_revision: Option<u64>,
        max_wait: Duration,
        transfer: Rc<Transfer>,
        answer: LocalBoxFuture<'a, Result<T, SourceError>>,
    ) {
        let due = Instant::now() + max_wait;
        self.under_way.push(Call {
            ended: EndedCall {
                after_revision,
                transfer,
                max_wait,
                due,
            },
            answer,
            late: false,
            was_spared: false,
        });
    }

    /// Whether an answer is arriving.
    pub fn has_arriving_answer(&self) -> bool {
        let mut calls = self.under_way.iter();
        calls.any(|call| call.ended.transfer.bytes() > 0)
    }

    /// An answer was taken. What the calls under way would tell is known, and the next one is due
    /// after a pause, if there is to be one; but a look that `told_nothing` new leaves the read that
    /// waits alone.
    pub fn on_answer(&mut self, answered: &EndedCall, told_nothing: bool, pause: Option<Duration>) {
        if answered.max_wait.is_zero() && told_nothing && self.is_any_waiting() {
            return;
        }
        self.under_way.clear();
        self.reschedule(pause);
    }

    /// The next call is due after a pause, if there is to be one.
    pub fn reschedule(&mut self, pause: Option<Duration>) {
        self.next = pause.map(|pause| Instant::now() + pause);
    }

    /// Whether a call that is not late waits there for news.
    fn is_any_waiting(&self) -> bool {
        let mut calls = self.under_way.iter();
        calls.any(|call| !call.late && !call.ended.max_wait.is_zero())
    }

    /// What happens next, when answers may be late by `patience`. Nothing is lost when
    /// this is dropped before it ends.
    pub async fn next_event(&mut self, patience: Duration) -> CallEvent<T> {
        loop {
            if self.next.is_some_and(|next| next <= Instant::now()) {
                self.next = None;
                return CallEvent::Due;
            }
            let deadline = self.next_deadline(patience);
            tokio::select! {
                biased;
                event = poll_fn(|context| self.poll_calls(context)) => return event,
                () = sleep_until(deadline) => self.forgive(deadline.elapsed(), patience),
            }
            if let Some(event) = self.lateness_event(patience) {
                return event;
            }
        }
    }

    /// This process itself was late by so much: that is no lateness of answers, which may wait to
    /// be read. Without this a store that answered every call counted as lost whenever the process
    /// stood still for longer than its patience, and departures were held back for 2.2 s.
    fn forgive(&mut self, own_lateness: Duration, patience: Duration) {
        if own_lateness < OWN_LATENESS {
            return;
        }
        let now = Instant::now();
        for call in &mut self.under_way {
            let overdue = now.saturating_duration_since(call.ended.due);
            call.ended.due += own_lateness.min(overdue);
            if !call.was_spared && call.quiet_since() + patience < now + OWN_LOOK {
                // Once for each call: where timers are late all the time, a store that
                // answers nobody still shows.
                call.was_spared = true;
                let spared = (now + OWN_LOOK).checked_sub(patience);
                call.ended.due = spared.unwrap_or(now);
            }
        }
    }

    fn poll_calls(&mut self, context: &mut Context<'_>) -> Poll<CallEvent<T>> {
        for index in 0..self.under_way.len() {
            let Poll::Ready(result) = self.under_way[index].answer.poll_unpin(context) else {
                continue;
            };
            let call = self.under_way.remove(index);
            return Poll::Ready(match result {
                Ok(news) => CallEvent::Answered(news, call.ended),
                Err(error) => CallEvent::Failed(error, call.ended),
            });
        }
        Poll::Pending
    }

    fn lateness_event(&mut self, patience: Duration) -> Option<CallEvent<T>> {
        let now = Instant::now();
        let is_late = |call: &&mut Call<'_, T>| !call.late && call.quiet_since() + patience <= now;
        if let Some(call) = self.under_way.iter_mut().find(is_late) {
            call.late = true;
            return Some(CallEvent::Late {
                transfer: call.ended.transfer.clone(),
                max_wait: call.ended.max_wait,
            });
        }
        let dead = |call: &Call<'_, T>| call.quiet_since() + GIVE_UP <= now;
        let index = self.under_way.iter().position(dead)?;
        Some(CallEvent::GivenUp(self.under_way.remove(index).ended))
    }

    /// When something may be due next, if no call ends before.
    fn next_deadline(&self, patience: Duration) -> Instant {
        let in_time = self.under_way.iter().filter(|call| !call.late);
        let late = in_time.map(|call| call.next_look(patience)).min();
        let quiet = self.under_way.iter().map(Call::quiet_since).min();
        let dead = quiet.map(|quiet| quiet + GIVE_UP);
        let first = [self.next, late, dead].into_iter().flatten().min();
        first.unwrap_or_else(|| Instant::now() + GIVE_UP)
    }
}

impl<T> Default for HedgedCalls<'_, T> {
    fn default() -> Self {
        Self::new()
    }
}
