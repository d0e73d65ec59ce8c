//! Handling of messages from routers: offers, cancels, fate queries, resumption.

use std::time::Duration;

use stacktack_wire::identity::{AttemptId, Incarnation};
use stacktack_wire::message::{Failure, Fate, Offer, Payload, Refusal, ToAgent, ToRouter};

use super::admission::AdmissionDecision;
use super::attempt::{AttemptEntry, Event, State};
use super::report::{data_message, finished_message, head_message};
use super::{ConnectionId, Gate, GateOutput};
use crate::configuration::change::{encode, Change};
use crate::protection::Protection;
use crate::time::Time;

impl Gate {
    pub(super) fn on_message(
        &mut self,
        now: Time,
        connection: ConnectionId,
        message: ToAgent,
        outputs: &mut Vec<GateOutput>,
    ) {
        match message {
            ToAgent::Hello { .. } => {}
            ToAgent::Offer(offer) => self.on_offer(now, connection, offer, outputs),
            ToAgent::Cancel { attempt } => {
                self.ensure_entry(attempt, connection);
                self.step(now, attempt, Event::Cancel, outputs);
            }
            ToAgent::AskFate {
                attempt,
                incarnation,
            } => self.on_ask_fate(now, connection, attempt, incarnation, outputs),
            ToAgent::Resume { attempt, offset } => {
                self.on_resume(now, connection, attempt, offset, outputs);
            }
        }
    }

    pub(super) fn on_offer(
        &mut self,
        now: Time,
        connection: ConnectionId,
        offer: Box<Offer>,
        outputs: &mut Vec<GateOutput>,
    ) {
        let attempt = offer.attempt;
        if self.attempts.contains_key(&attempt) {
            self.step(now, attempt, Event::Queue, outputs);
            return;
        }
        self.attempts
            .insert(attempt, AttemptEntry::new(State::New, connection));
        match self.decide_admission(now, &offer) {
            AdmissionDecision::Refuse {
                refusal,
                retry_after_ms,
            } => {
                self.record_refusal(attempt, refusal, retry_after_ms);
                self.step(now, attempt, Event::Refuse, outputs);
                self.attach_changes(refusal, offer.version, outputs);
            }
            AdmissionDecision::Admit => {
                self.record_admission(now, offer);
                let event = if self.has_free_slot() {
                    Event::Start
                } else {
                    Event::Queue
                };
                self.step(now, attempt, event, outputs);
            }
        }
    }

    pub(super) fn record_admission(&mut self, now: Time, offer: Box<Offer>) {
        let work = self.work_of(&offer);
        let Some(entry) = self.attempts.get_mut(&offer.attempt) else {
            return;
        };
        entry.work = work;
        entry.tenant = Some(offer.tenant);
        entry.chat = offer.chat;
        entry.deadline = offer
            .deadline_ms
            .map(|remaining| now + Duration::from_millis(u64::from(remaining)));
        entry.cancellable = matches!(offer.payload, Payload::Chat { .. });
        *self.tenant_counts.entry(offer.tenant).or_insert(0) += 1;
        entry.offer = Some(offer);
        self.load.add(work);
    }

    pub(super) fn record_refusal(
        &mut self,
        attempt: AttemptId,
        refusal: Refusal,
        retry_after_ms: u32,
    ) {
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            entry.refusal = refusal;
            entry.retry_after_ms = retry_after_ms;
        }
    }

    pub(super) fn attach_changes(
        &self,
        refusal: Refusal,
        router_version: stacktack_wire::identity::ConfigurationVersion,
        outputs: &mut [GateOutput],
    ) {
        if refusal != Refusal::StaleConfiguration {
            return;
        }
        let missing: Vec<Change> = self
            .changes
            .iter()
            .filter(|change| change.version > router_version)
            .cloned()
            .collect();
        let complete = missing
            .first()
            .is_some_and(|change| change.version.0 == router_version.0 + 1);
        if let Some(GateOutput::ToRouter {
            message: ToRouter::Refused { changes, .. },
            ..
        }) = outputs.last_mut()
        {
            *changes = if complete { encode(&missing) } else { None };
        }
    }

    pub(super) fn ensure_entry(&mut self, attempt: AttemptId, connection: ConnectionId) {
        self.attempts
            .entry(attempt)
            .or_insert_with(|| AttemptEntry::new(State::New, connection));
    }

    pub(super) fn on_ask_fate(
        &mut self,
        now: Time,
        connection: ConnectionId,
        attempt: AttemptId,
        incarnation: Incarnation,
        outputs: &mut Vec<GateOutput>,
    ) {
        let seen = self.attempts.contains_key(&attempt);
        let immediate = if seen {
            None
        } else if incarnation != self.incarnation {
            Some(Fate::Unknown)
        } else if !self.protections.is_enabled(Protection::Tombstone) {
            Some(Fate::NotRun)
        } else {
            None
        };
        if let Some(fate) = immediate {
            outputs.push(GateOutput::ToRouter {
                connection,
                message: ToRouter::FateOf { attempt, fate },
            });
            return;
        }
        self.ensure_entry(attempt, connection);
        if let Some(entry) = self.attempts.get_mut(&attempt) {
            entry.connection = Some(connection);
            entry.orphaned_at = None;
        }
        self.step(now, attempt, Event::AskFate, outputs);
    }

    pub(super) fn on_resume(
        &mut self,
        now: Time,
        connection: ConnectionId,
        attempt: AttemptId,
        offset: u64,
        outputs: &mut Vec<GateOutput>,
    ) {
        let load = self.load_report(now);
        let Some(entry) = self.attempts.get_mut(&attempt) else {
            return;
        };
        entry.connection = Some(connection);
        entry.orphaned_at = None;
        let mut send = |message| {
            outputs.push(GateOutput::ToRouter {
                connection,
                message,
            })
        };
        let Some(pieces) = entry.response.pieces_from(offset) else {
            let failure = Failure::BackendBroken;
            send(ToRouter::Failed { attempt, failure });
            return;
        };
        if let Some(head) = &entry.response.head {
            send(head_message(attempt, head));
        }
        for (index, piece) in pieces.iter().enumerate() {
            let single = std::slice::from_ref(piece);
            send(data_message(attempt, offset + index as u64, single));
        }
        match entry.state {
            State::Finished => send(finished_message(attempt, entry, load)),
            State::Failed => send(ToRouter::Failed {
                attempt,
                failure: entry.failure,
            }),
            State::New | State::Queued | State::Running | State::Refused => {}
        }
    }

    pub(super) fn on_connection_lost(&mut self, now: Time, connection: ConnectionId) {
        for entry in self.attempts.values_mut() {
            if entry.connection == Some(connection) {
                entry.connection = None;
                entry.orphaned_at = Some(now);
            }
        }
    }
}
