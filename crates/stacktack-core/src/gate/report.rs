//! Messages from a gate to routers.

use bytes::Bytes;
use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{Fate, LoadReport, ToRouter};

use super::attempt::{Action, AttemptEntry, State};
use super::response::{join, ResponseHead};
use super::{ConnectionId, Gate, GateOutput};
use crate::time::Time;

impl Gate {
    pub(super) fn report(
        &mut self,
        now: Time,
        attempt: AttemptId,
        action: Action,
        outputs: &mut Vec<GateOutput>,
    ) {
        let load = self.load_report(now);
        let Some(entry) = self.attempts.get(&attempt) else {
            return;
        };
        let message = match action {
            Action::ReportQueued => ToRouter::Queued { attempt, load },
            Action::ReportStarted => ToRouter::Started { attempt, load },
            Action::ReportRefused => {
                self.counters.refused += 1;
                ToRouter::Refused {
                    attempt,
                    refusal: entry.refusal,
                    load,
                    retry_after_ms: entry.retry_after_ms,
                    changes: None,
                }
            }
            Action::ReportFinished => {
                self.counters.finished += 1;
                finished_message(attempt, entry, load)
            }
            Action::ReportFailed => {
                self.counters.failed += 1;
                ToRouter::Failed {
                    attempt,
                    failure: entry.failure,
                }
            }
            Action::ReportFate => ToRouter::FateOf {
                attempt,
                fate: fate_of(entry),
            },
            Action::Enqueue | Action::StartBackend | Action::Release | Action::CancelBackend => {
                return;
            }
        };
        send_to(entry.connection, message, outputs);
    }
}

pub(super) fn send_to(
    connection: Option<ConnectionId>,
    message: ToRouter,
    outputs: &mut Vec<GateOutput>,
) {
    if let Some(connection) = connection {
        outputs.push(GateOutput::ToRouter {
            connection,
            message,
        });
    }
}

pub(super) fn head_message(attempt: AttemptId, head: &ResponseHead) -> ToRouter {
    ToRouter::Head {
        attempt,
        status: head.status,
        content_type: head.content_type.clone(),
    }
}

pub(super) fn data_message(attempt: AttemptId, offset: u64, pieces: &[Bytes]) -> ToRouter {
    ToRouter::Data {
        attempt,
        offset,
        count: pieces.len() as u32,
        bytes: join(pieces),
    }
}

pub(super) fn finished_message(
    attempt: AttemptId,
    entry: &AttemptEntry,
    load: LoadReport,
) -> ToRouter {
    ToRouter::Finished {
        attempt,
        pieces: entry.response.piece_count(),
        usage: entry.response.usage,
        load,
    }
}

pub(super) fn fate_of(entry: &AttemptEntry) -> Fate {
    match entry.state {
        State::New | State::Refused => Fate::NotRun,
        State::Queued => Fate::Queued,
        State::Running => Fate::Running {
            next_offset: entry.response.piece_count(),
        },
        State::Finished => Fate::Finished {
            pieces: entry.response.piece_count(),
        },
        State::Failed => Fate::Failed(entry.failure),
    }
}
