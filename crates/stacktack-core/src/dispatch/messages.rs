//! Messages from agents. A message counts only if it is about the current attempt of its request
//! and comes from the agent of that attempt.

use bytes::Bytes;
use stacktack_wire::identity::{AttemptId, NodeId, RequestId};
use stacktack_wire::message::{EncodedChanges, Fate, LoadReport, Refusal, ToRouter, Usage};

use super::request::{Event, Pieces};
use super::{offer, DispatchOutput, Dispatcher};
use crate::protection::Protection;
use crate::time::Time;

impl Dispatcher {
    pub(super) fn on_message(
        &mut self,
        now: Time,
        agent: NodeId,
        message: ToRouter,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(attempt) = message.attempt() else {
            return;
        };
        if !self.is_current(attempt, agent) {
            self.counters.late_messages += 1;
            return;
        }
        let id = attempt.request;
        self.set_silence_timer(now, id);
        self.record_load(now, &message);
        match message {
            ToRouter::Hello { .. } => {}
            ToRouter::Queued { .. } => self.step(now, id, Event::Queued, outputs),
            ToRouter::Started { .. } => self.step(now, id, Event::Started, outputs),
            ToRouter::Failed { .. } => self.step(now, id, Event::Failed, outputs),
            ToRouter::FateOf { fate, .. } => self.step(now, id, fate_event(fate), outputs),
            ToRouter::Head {
                status,
                content_type,
                ..
            } => self.store_head(id, status, content_type),
            ToRouter::Data {
                offset,
                count,
                bytes,
                ..
            } => {
                self.store_pieces(id, offset, count, bytes);
                self.step(now, id, Event::Data, outputs);
            }
            ToRouter::Finished { pieces, usage, .. } => {
                self.on_finished(now, id, pieces, usage, outputs);
            }
            ToRouter::Refused {
                refusal,
                load,
                retry_after_ms,
                changes,
                ..
            } => {
                let refused = Refused {
                    agent,
                    refusal,
                    load,
                    retry_after_ms,
                };
                self.on_refused(now, id, refused, changes, outputs);
            }
        }
    }

    fn store_head(&mut self, id: RequestId, status: u16, content_type: String) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.head = Some((status, content_type));
        }
    }

    fn store_pieces(&mut self, id: RequestId, offset: u64, count: u32, bytes: Bytes) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.received_pieces = Pieces {
                offset,
                count,
                bytes,
            };
        }
    }

    /// Records the load that an agent's message carries.
    fn record_load(&mut self, now: Time, message: &ToRouter) {
        let load = match message {
            ToRouter::Queued { load, .. }
            | ToRouter::Started { load, .. }
            | ToRouter::Refused { load, .. }
            | ToRouter::Finished { load, .. } => load,
            ToRouter::Hello { .. }
            | ToRouter::Head { .. }
            | ToRouter::Data { .. }
            | ToRouter::Failed { .. }
            | ToRouter::FateOf { .. } => return,
        };
        let value = f64::from(load.load);
        self.estimated_loads.observe(load.node, value, now);
        self.reported_loads.observe(load.node, value, now);
    }

    fn is_current(&self, attempt: AttemptId, agent: NodeId) -> bool {
        if !self.protections.is_enabled(Protection::AttemptMatching) {
            return self.requests.contains_key(&attempt.request);
        }
        self.requests
            .get(&attempt.request)
            .is_some_and(|entry| entry.attempt() == attempt && entry.agent == Some(agent))
    }

    fn on_refused(
        &mut self,
        now: Time,
        id: RequestId,
        refused: Refused,
        changes: Option<EncodedChanges>,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        if refused.refusal == Refusal::StaleConfiguration {
            let output = match changes {
                Some(changes) => DispatchOutput::Changes(changes),
                None => DispatchOutput::FetchConfiguration,
            };
            outputs.push(output);
            self.step(now, id, Event::Stale, outputs);
            return;
        }
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.refusals.insert(refused.agent, refused.refusal);
            entry.collect_load(refused.load);
            entry.record_retry_after(u64::from(refused.retry_after_ms));
            if offer::counts_toward_offer_limit(refused.refusal) {
                entry.counted_refusals += 1;
            }
        }
        self.records.add_event(
            id,
            format!("refused {} {:?}", refused.agent, refused.refusal),
        );
        self.step(now, id, Event::Refused, outputs);
    }

    fn on_finished(
        &mut self,
        now: Time,
        id: RequestId,
        pieces: u64,
        usage: Usage,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        entry.total_pieces = pieces;
        entry.usage = usage;
        let gap =
            entry.delivered_pieces < pieces && self.protections.is_enabled(Protection::PieceOrder);
        let event = if gap {
            Event::FateRunning
        } else {
            Event::Finished
        };
        self.step(now, id, event, outputs);
    }
}

/// A refusal as received from an agent.
struct Refused {
    agent: NodeId,
    refusal: Refusal,
    load: LoadReport,
    retry_after_ms: u32,
}

fn fate_event(fate: Fate) -> Event {
    match fate {
        Fate::NotRun => Event::FateNotRun,
        Fate::Queued => Event::FateQueued,
        Fate::Running { .. } | Fate::Finished { .. } => Event::FateRunning,
        Fate::Failed(_) => Event::FateFailed,
        Fate::Unknown => Event::FateUnknown,
    }
}
