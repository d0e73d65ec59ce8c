//! What the back end behind a gate does with its attempts.

use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{Failure, Refusal, Usage};

use super::attempt::{Event, State};
use super::report::{data_message, head_message, send_to};
use super::{BackendEvent, Gate, GateOutput, MAXIMUM_RESUMES};
use crate::time::Time;

impl Gate {
    pub(super) fn on_backend(
        &mut self,
        now: Time,
        attempt: AttemptId,
        event: BackendEvent,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        match event {
            BackendEvent::Head(head) => {
                let message = head_message(attempt, &head);
                entry.response.head = Some(head);
                send_to(entry.connection, message, outputs);
            }
            BackendEvent::Pieces { offset, pieces } => {
                let Some((first, fresh)) = entry.response.append(offset, pieces) else {
                    return;
                };
                send_to(
                    entry.connection,
                    data_message(attempt, first, &fresh),
                    outputs,
                );
            }
            BackendEvent::Finished(usage) => {
                entry.response.usage = usage;
                self.note_usage(attempt, usage);
                self.step(now, attempt, Event::Finish, outputs);
            }
            BackendEvent::Refused => {
                self.back_end_refused(now, attempt, Refusal::BackendRefused, outputs)
            }
            BackendEvent::Unreachable => {
                self.back_end_refused(now, attempt, Refusal::BackendUnreachable, outputs);
            }
            BackendEvent::ConnectionBroken => self.on_cut(now, attempt, outputs),
            BackendEvent::InvalidResponse => {
                entry.failure = Failure::BackendInvalid;
                self.step(now, attempt, Event::Break, outputs);
            }
        }
    }

    pub(super) fn note_usage(&mut self, attempt: AttemptId, usage: Usage) {
        self.counters.prompt_tokens += u64::from(usage.prompt_tokens);
        self.counters.cached_tokens += u64::from(usage.cached_tokens);
        let chat = self.attempts.get(&attempt).and_then(|entry| entry.chat);
        if let Some(chat) = chat {
            let tokens = usage.prompt_tokens + usage.completion_tokens;
            self.prefixes.note(chat, tokens);
        }
    }

    pub(super) fn back_end_refused(
        &mut self,
        now: Time,
        attempt: AttemptId,
        refusal: Refusal,
        outputs: &mut Vec<GateOutput>,
    ) {
        let retry_after = self.retry_after_ms(0.0);
        self.note_refusal(attempt, refusal, retry_after);
        self.step(now, attempt, Event::BackendRefuse, outputs);
    }

    pub(super) fn on_cut(&mut self, now: Time, attempt: AttemptId, outputs: &mut Vec<GateOutput>) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.failure = Failure::BackendBroken;
        if !entry.cancellable || entry.resumes >= MAXIMUM_RESUMES {
            self.step(now, attempt, Event::Break, outputs);
            return;
        }
        entry.resumes += 1;
        self.counters.resumed += 1;
        outputs.push(GateOutput::ResumeBackend {
            attempt,
            offset: entry.response.length(),
        });
    }
}
