//! Handling of the back end's events about running attempts.

use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{Failure, Refusal, Usage};

use super::attempt::{Event, State};
use super::report::{data_message, head_message, send_to};
use super::{BackendEvent, Gate, GateOutput, MAX_RESUMES};
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
                self.record_usage(attempt, usage);
                self.step(now, attempt, Event::Finish, outputs);
            }
            BackendEvent::Refused => {
                self.on_back_end_refusal(now, attempt, Refusal::BackendRefused, outputs)
            }
            BackendEvent::Unreachable => {
                self.on_back_end_refusal(now, attempt, Refusal::BackendUnreachable, outputs);
            }
            BackendEvent::ConnectionBroken => self.on_connection_broken(now, attempt, outputs),
            BackendEvent::InvalidResponse => {
                entry.failure = Failure::BackendInvalid;
                self.step(now, attempt, Event::Break, outputs);
            }
        }
    }

    pub(super) fn record_usage(&mut self, attempt: AttemptId, usage: Usage) {
        self.counters.prompt_tokens += u64::from(usage.prompt_tokens);
        self.counters.cached_tokens += u64::from(usage.cached_tokens);
        let chat = self.attempts.get(&attempt).and_then(|entry| entry.chat);
        if let Some(chat) = chat {
            let tokens = usage.prompt_tokens + usage.completion_tokens;
            self.prefixes.record(chat, tokens);
        }
    }

    pub(super) fn on_back_end_refusal(
        &mut self,
        now: Time,
        attempt: AttemptId,
        refusal: Refusal,
        outputs: &mut Vec<GateOutput>,
    ) {
        let retry_after = self.retry_after_ms(0.0);
        self.record_refusal(attempt, refusal, retry_after);
        self.step(now, attempt, Event::BackendRefuse, outputs);
    }

    pub(super) fn on_connection_broken(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outputs: &mut Vec<GateOutput>,
    ) {
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.failure = Failure::BackendBroken;
        if !entry.cancellable || entry.resumes >= MAX_RESUMES {
            self.step(now, attempt, Event::Break, outputs);
            return;
        }
        entry.resumes += 1;
        self.counters.resumed += 1;
        outputs.push(GateOutput::ResumeBackend {
            attempt,
            offset: entry.response.piece_count(),
        });
    }
}
