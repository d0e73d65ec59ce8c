//! Transitions of attempts by the state chart, and the actions that follow.

use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::Failure;

use super::attempt::{Action, Event, State};
use super::queue::QueuedAttempt;
use super::{Gate, GateOutput};
use crate::time::Time;

impl Gate {
    /// Starts queued attempts while the back end has free slots.
    pub(super) fn start_queued(&mut self, now: Time, outputs: &mut Vec<GateOutput>) {
        while self.running < self.concurrency() {
            let Some(queued) = self.queue.pop() else {
                break;
            };
            self.step(now, queued.attempt, Event::Start, outputs);
        }
    }

    pub(super) fn step(
        &mut self,
        now: Time,
        attempt: AttemptId,
        event: Event,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let before = entry.state;
        let (next, actions) = self.chart.step(before, event);
        let actions: Vec<Action> = actions.to_vec();
        entry.state = next;
        if next != before && entry.is_ended() {
            self.ended.push_back((now, attempt));
            self.retained.push_back((now, attempt));
        }
        for action in actions {
            self.perform(now, attempt, before, action, outputs);
        }
    }

    pub(super) fn perform(
        &mut self,
        now: Time,
        attempt: AttemptId,
        before: State,
        action: Action,
        outputs: &mut Vec<GateOutput>,
    ) {
        match action {
            Action::Enqueue => self.enqueue(attempt),
            Action::StartBackend => self.start_backend(attempt, outputs),
            Action::Release => self.release(now, attempt, before),
            Action::CancelBackend => {
                if let Some(entry) = self.attempts.get_mut(&attempt) {
                    entry.failure = Failure::Cancelled;
                }
                outputs.push(GateOutput::CancelBackend { attempt });
            }
            Action::ReportQueued
            | Action::ReportStarted
            | Action::ReportRefused
            | Action::ReportFinished
            | Action::ReportFailed
            | Action::ReportFate => self.report(now, attempt, action, outputs),
        }
    }

    pub(super) fn enqueue(&mut self, attempt: AttemptId) {
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let (Some(offer), Some(tenant)) = (&entry.offer, entry.tenant) else {
            return;
        };
        let weight = self
            .configuration
            .tenant(tenant)
            .map_or(1.0, |tenant| tenant.weight);
        let work = entry.work;
        self.queue.push(
            tenant,
            weight,
            offer.priority,
            QueuedAttempt { attempt, work },
        );
    }

    pub(super) fn start_backend(&mut self, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if let Some(offer) = entry.offer.take() {
            self.running += 1;
            self.counters.started += 1;
            outputs.push(GateOutput::StartBackend { attempt, offer });
        }
    }

    pub(super) fn release(&mut self, now: Time, attempt: AttemptId, before: State) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let work = std::mem::take(&mut entry.work);
        let finished = entry.state == State::Finished;
        entry.offer = None;
        let tenant = entry.tenant;
        match before {
            State::Running => self.running = self.running.saturating_sub(1),
            State::Queued => {
                if let Some(tenant) = tenant {
                    self.queue.remove(tenant, attempt);
                }
            }
            State::New | State::Finished | State::Failed | State::Refused => {}
        }
        self.load.remove(work, finished, now);
        if let Some(count) = tenant.and_then(|tenant| self.tenant_counts.get_mut(&tenant)) {
            *count = count.saturating_sub(1);
        }
    }
}
