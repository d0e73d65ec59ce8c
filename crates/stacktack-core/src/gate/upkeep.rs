//! Periodic work of a gate: deadlines of queued attempts, cancellation of
//! orphaned attempts, and retention of responses and fates.

use std::time::Duration;

use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::Refusal;

use super::attempt::{Event, State};
use super::{Gate, GateOutput, ORPHAN_GRACE, RESPONSE_RETENTION};
use crate::time::Time;

impl Gate {
    pub(super) fn on_tick(&mut self, now: Time, outputs: &mut Vec<GateOutput>) {
        self.load.roll_window(now);
        self.refuse_expired(now, outputs);
        self.cancel_orphans(now, outputs);
        self.drop_expired_responses(now);
        self.drop_expired_fates(now);
    }

    fn refuse_expired(&mut self, now: Time, outputs: &mut Vec<GateOutput>) {
        let expired: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, entry)| {
                entry.state == State::Queued && entry.deadline.is_some_and(|at| at <= now)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in expired {
            let retry_after = self.retry_after_ms(self.queue.work());
            self.record_refusal(attempt, Refusal::DeadlineUnreachable, retry_after);
            self.step(now, attempt, Event::Refuse, outputs);
        }
    }

    fn cancel_orphans(&mut self, now: Time, outputs: &mut Vec<GateOutput>) {
        let orphans: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, entry)| {
                let grace_over = entry
                    .orphaned_at
                    .is_some_and(|at| now.since(at) >= ORPHAN_GRACE);
                let cancellable = entry.cancellable || entry.state == State::Queued;
                grace_over && cancellable && !entry.is_ended()
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in orphans {
            self.step(now, attempt, Event::Cancel, outputs);
        }
    }

    fn drop_expired_responses(&mut self, now: Time) {
        while let Some((ended_at, attempt)) = self.retained.front().copied() {
            if now.since(ended_at) < RESPONSE_RETENTION {
                break;
            }
            self.retained.pop_front();
            if let Some(entry) = self.attempts.get_mut(&attempt) {
                entry.response.drop_pieces();
            }
        }
    }

    fn drop_expired_fates(&mut self, now: Time) {
        let retention = Duration::from_secs(self.configuration.document.limits.fate_seconds);
        while let Some((ended_at, attempt)) = self.ended.front().copied() {
            if now.since(ended_at) < retention {
                break;
            }
            self.ended.pop_front();
            self.attempts.remove(&attempt);
        }
    }
}
