//! Back ends of emulated agents, run by the models of the stand-ins.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use stacktack_core::gate::response::ResponseHead;
use stacktack_core::gate::BackendEvent;
use stacktack_standins::engine::model::{EngineEvent, EngineModel, EngineSettings, Job};
use stacktack_standins::response::{response_text, service_response, ChatRequest};
use stacktack_standins::service;
use stacktack_wire::identity::{AttemptId, ConfigurationVersion};
use stacktack_wire::message::{Offer, Payload, Usage};

use super::event::Event;
use super::process::ProcessId;
use super::Emulator;

/// Time that a service takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Delay between an agent and its back end on the same machine.
const BACK_END_DELAY: Duration = Duration::from_micros(50);

/// Stand-in that serves as the back end of an agent.
pub struct BackEndModel {
    /// Whether the back end is running.
    pub alive: bool,
    /// Incarnation of the back end; increases each time that it is killed.
    pub incarnation: u64,
    /// Engine or service, with its state.
    pub kind: BackEndState,
}

/// State of a stand-in.
pub enum BackEndState {
    /// A model engine.
    Engine {
        /// The engine.
        model: Box<EngineModel>,
        /// Attempts by the name of their stream, and whether the response is
        /// streamed to the agent piece by piece.
        streams: HashMap<String, (AttemptId, bool)>,
        /// Whether the end of a step is scheduled.
        stepping: bool,
    },
    /// A plain service.
    Service {
        /// Calls that the service ran.
        observed: service::Observed,
        /// Responses of the calls in flight.
        running: HashMap<AttemptId, String>,
    },
}

impl BackEndModel {
    /// Creates the stand-in for the agent of this name.
    pub fn of(name: &str) -> Self {
        let kind = if name.starts_with("engine") {
            BackEndState::Engine {
                model: Box::new(EngineModel::new(EngineSettings::default())),
                streams: HashMap::new(),
                stepping: false,
            }
        } else {
            BackEndState::Service {
                observed: service::Observed::default(),
                running: HashMap::new(),
            }
        };
        BackEndModel {
            alive: true,
            incarnation: 1,
            kind,
        }
    }

    /// Ends the back end and returns the attempts that were interrupted, in
    /// order.
    pub fn kill(&mut self) -> Vec<AttemptId> {
        self.alive = false;
        self.incarnation += 1;
        let mut interrupted: Vec<AttemptId> = match &mut self.kind {
            BackEndState::Engine {
                model,
                streams,
                stepping,
            } => {
                **model = EngineModel::new(EngineSettings::default());
                *stepping = false;
                streams.drain().map(|(_, (attempt, _))| attempt).collect()
            }
            BackEndState::Service { running, .. } => running.drain().map(|(id, _)| id).collect(),
        };
        interrupted.sort_unstable();
        interrupted
    }
}

impl Emulator {
    /// Starts an attempt at the back end of an agent.
    pub(super) fn start_back_end(&mut self, agent: ProcessId, attempt: AttemptId, offer: &Offer) {
        let alive = self.processes[agent]
            .back_end
            .as_ref()
            .is_some_and(|back_end| back_end.alive);
        if !alive {
            self.notify_agent(agent, attempt, BackendEvent::Unreachable);
            return;
        }
        match &offer.payload {
            Payload::Chat { stream, body, .. } => {
                self.start_engine(agent, attempt, offer, *stream, body);
            }
            Payload::Service {
                method,
                path,
                idempotency_key,
                body,
                ..
            } => {
                let response = service_response(method, path, body);
                let id = (attempt, offer.version);
                self.start_service(agent, id, idempotency_key.as_deref(), response);
            }
        }
    }

    fn start_engine(
        &mut self,
        agent: ProcessId,
        attempt: AttemptId,
        offer: &Offer,
        stream: bool,
        body: &Bytes,
    ) {
        let Ok(chat) = serde_json::from_slice::<ChatRequest>(body) else {
            self.notify_agent(agent, attempt, BackendEvent::InvalidResponse);
            return;
        };
        let now = self.now;
        let name = attempt.to_string();
        let Some(BackEndState::Engine { model, streams, .. }) = self.back_end_state(agent) else {
            return;
        };
        let job = Job {
            id: name.clone(),
            prompt: chat.prompt_tokens(),
            length: chat.response_length(),
            priority: offer.priority,
        };
        if model.submit(now, job).is_err() {
            self.notify_agent(agent, attempt, BackendEvent::Refused);
            return;
        }
        streams.insert(name, (attempt, stream));
        let version = offer.version;
        self.observer
            .record_run(now, agent, (attempt, version), None);
        let content_type = if stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let head = ResponseHead {
            status: 200,
            content_type: content_type.to_string(),
        };
        self.notify_agent(agent, attempt, BackendEvent::Head(head));
        self.schedule_step(agent);
    }

    fn start_service(
        &mut self,
        agent: ProcessId,
        (attempt, version): (AttemptId, ConfigurationVersion),
        key: Option<&str>,
        response: String,
    ) {
        let now = self.now;
        if let Some(BackEndState::Service { observed, running }) = self.back_end_state(agent) {
            observed.count_call(key, Some(&attempt.to_string()));
            running.insert(attempt, response);
        }
        self.observer
            .record_run(now, agent, (attempt, version), key);
        self.schedule(SERVICE_TIME, Event::ServiceDone { agent, attempt });
    }

    fn back_end_state(&mut self, agent: ProcessId) -> Option<&mut BackEndState> {
        let back_end = self.processes[agent].back_end.as_mut()?;
        Some(&mut back_end.kind)
    }

    fn notify_agent(&mut self, process: ProcessId, attempt: AttemptId, event: BackendEvent) {
        let event = Event::Backend {
            process,
            attempt,
            event,
        };
        self.schedule(BACK_END_DELAY, event);
    }

    fn schedule_step(&mut self, agent: ProcessId) {
        let Some(back_end) = self.processes[agent].back_end.as_mut() else {
            return;
        };
        let engine_incarnation = back_end.incarnation;
        let BackEndState::Engine {
            model, stepping, ..
        } = &mut back_end.kind
        else {
            return;
        };
        let Some(at) = model.step_end().filter(|_| !*stepping) else {
            return;
        };
        *stepping = true;
        self.schedule_at(
            at,
            Event::EngineStep {
                agent,
                engine_incarnation,
            },
        );
    }

    pub(super) fn on_engine_step(&mut self, agent: ProcessId, engine_incarnation: u64) {
        let now = self.now;
        let Some(back_end) = self.processes[agent].back_end.as_mut() else {
            return;
        };
        if back_end.incarnation != engine_incarnation {
            return;
        }
        let BackEndState::Engine {
            model,
            streams,
            stepping,
        } = &mut back_end.kind
        else {
            return;
        };
        *stepping = false;
        let mut reports = Vec::new();
        for event in model.advance(now) {
            report_engine_event(model, streams, event, &mut reports);
        }
        for (attempt, event) in reports {
            self.notify_agent(agent, attempt, event);
        }
        self.schedule_step(agent);
    }

    pub(super) fn on_service_done(&mut self, agent: ProcessId, attempt: AttemptId) {
        let Some(BackEndState::Service { running, .. }) = self.back_end_state(agent) else {
            return;
        };
        let Some(response) = running.remove(&attempt) else {
            return;
        };
        let head = ResponseHead {
            status: 200,
            content_type: String::from("text/plain"),
        };
        let pieces = vec![Bytes::from(response)];
        self.notify_agent(agent, attempt, BackendEvent::Head(head));
        self.notify_agent(agent, attempt, BackendEvent::Pieces { offset: 0, pieces });
        self.notify_agent(agent, attempt, BackendEvent::Finished(Usage::default()));
    }

    /// Resumes an attempt at the engine of an agent. A streamed response is sent
    /// again from `offset` on, as far as it is generated; any other response is
    /// sent whole if it is finished.
    pub(super) fn resume_back_end(&mut self, agent: ProcessId, attempt: AttemptId, offset: u64) {
        let name = attempt.to_string();
        let Some(BackEndState::Engine { model, streams, .. }) = self.back_end_state(agent) else {
            return;
        };
        let Some(state) = model.stream(&name).cloned() else {
            self.notify_agent(agent, attempt, BackendEvent::ConnectionBroken);
            return;
        };
        let stream = streams.get(&name).is_some_and(|(_, stream)| *stream);
        let mut reports = Vec::new();
        if stream {
            let pieces = (offset as u32..state.generated)
                .map(|index| word_piece(state.seed, index))
                .collect();
            reports.push(BackendEvent::Pieces { offset, pieces });
        }
        if let Some(usage) = state.usage {
            if !stream {
                let pieces = vec![Bytes::from(response_text(state.seed, state.length))];
                reports.push(BackendEvent::Pieces { offset: 0, pieces });
            }
            reports.push(BackendEvent::Finished(usage));
        }
        for event in reports {
            self.notify_agent(agent, attempt, event);
        }
    }

    /// Cancels an attempt at the engine of an agent. Calls of services run on.
    pub(super) fn cancel_back_end(&mut self, agent: ProcessId, attempt: AttemptId) {
        let now = self.now;
        if let Some(BackEndState::Engine { model, .. }) = self.back_end_state(agent) {
            model.cancel(now, &attempt.to_string());
        }
    }
}

fn word_piece(seed: u64, index: u32) -> Bytes {
    let word = stacktack_standins::response::response_word(seed, index);
    Bytes::from(word + " ")
}

fn report_engine_event(
    model: &EngineModel,
    streams: &HashMap<String, (AttemptId, bool)>,
    event: EngineEvent,
    reports: &mut Vec<(AttemptId, BackendEvent)>,
) {
    match event {
        EngineEvent::Token { id, index, word } => {
            if let Some((attempt, true)) = streams.get(&id) {
                let pieces = vec![Bytes::from(word + " ")];
                let offset = u64::from(index);
                reports.push((*attempt, BackendEvent::Pieces { offset, pieces }));
            }
        }
        EngineEvent::Done { id, usage } => {
            let Some((attempt, stream)) = streams.get(&id) else {
                return;
            };
            if let Some(state) = model.stream(&id).filter(|_| !stream) {
                let pieces = vec![Bytes::from(response_text(state.seed, state.length))];
                reports.push((*attempt, BackendEvent::Pieces { offset: 0, pieces }));
            }
            reports.push((*attempt, BackendEvent::Finished(usage)));
        }
    }
}
