//! The operator endpoint of an agent: health, status, metrics, configuration and
//! draining over HTTP.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use opentelemetry::metrics::Meter;
use serde::Serialize;
use stacktack_core::gate::GateCounters;
use stacktack_core::problem::{Outcome, ProblemKind};
use stacktack_node::control::{
    receive_changes, serve_configuration, ControlHandle, CHANGES_PATH, CONFIGURATION_PATH,
};
use stacktack_node::http::{json_response, problem_response, text_response};
use stacktack_node::metrics::Metrics;
use tokio::sync::mpsc::UnboundedSender;

use crate::shared::{TrafficCommand, TrafficState};

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    zone: String,
    version: u64,
    load: f64,
    in_flight: usize,
    draining: bool,
    members: usize,
    control_bytes_sent: u64,
    control_bytes_received: u64,
    started: u64,
    refused: u64,
    finished: u64,
    failed: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
}

/// Handles operators' HTTP requests.
pub struct OperatorEndpoint {
    /// Name of the agent.
    pub name: String,
    /// Zone of the agent.
    pub zone: String,
    /// State that the traffic thread publishes.
    pub state: Arc<TrafficState>,
    /// Sends commands to the traffic thread.
    pub commands: UnboundedSender<TrafficCommand>,
    /// Handle to the control state.
    pub control: ControlHandle,
    /// Metrics rendered at `/metrics`.
    pub metrics: Metrics,
}

impl OperatorEndpoint {
    /// Responds to one operator request.
    pub async fn respond(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        if (request.method(), request.path()) == (&Method::POST, CHANGES_PATH) {
            return receive_changes(&self.control, request).await;
        }
        match (request.method(), request.path()) {
            (&Method::GET, CONFIGURATION_PATH) => serve_configuration(&self.control),
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, String::from("ok\n")),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => match self.metrics.render() {
                Ok(text) => text_response(StatusCode::OK, text),
                Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.status()),
            (&Method::POST, "/drain") => self.drain(true),
            (&Method::POST, "/undrain") => self.drain(false),
            (_, path) => problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, path)),
        }
    }

    fn readiness(&self) -> Response<BoxBody> {
        if self.state.version() == 0 || self.state.draining() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n"))
        } else {
            text_response(StatusCode::OK, String::from("ready\n"))
        }
    }

    fn status(&self) -> Status {
        let (sent, received) = self.control.with(|control| control.byte_totals());
        let GateCounters {
            started,
            refused,
            finished,
            failed,
            prompt_tokens,
            cached_tokens,
            ..
        } = self.state.counters();
        Status {
            name: self.name.clone(),
            zone: self.zone.clone(),
            version: self.state.version(),
            load: self.state.load(),
            in_flight: self.state.in_flight(),
            draining: self.state.draining(),
            members: self.control.with(|control| control.members().len()),
            control_bytes_sent: sent,
            control_bytes_received: received,
            started,
            refused,
            finished,
            failed,
            prompt_tokens,
            cached_tokens,
        }
    }

    fn drain(&self, draining: bool) -> Response<BoxBody> {
        if self.commands.send(TrafficCommand::Drain(draining)).is_err() {
            let problem =
                ProblemKind::NotReady.problem(Outcome::NotRun, "the traffic thread is gone");
            return problem_response(&problem);
        }
        log::info!(target: "operator", "draining is set to {draining}");
        json_response(StatusCode::OK, &draining)
    }
}

/// Selects the value of one metric.
type CounterReader = fn(&GateCounters) -> u64;

/// Registers the agent's metrics, which read the state that the traffic thread publishes.
pub fn register_metrics(meter: &Meter, state: &Arc<TrafficState>) {
    let counters: [(&'static str, &'static str, CounterReader); 7] = [
        (
            "agent_attempts_started",
            "attempts sent to the back end",
            |c| c.started,
        ),
        (
            "agent_attempts_refused",
            "attempts refused as not run",
            |c| c.refused,
        ),
        (
            "agent_attempts_finished",
            "attempts with a whole answer",
            |c| c.finished,
        ),
        (
            "agent_attempts_failed",
            "attempts that ended without one",
            |c| c.failed,
        ),
        (
            "agent_streams_resumed",
            "streams of the back end taken up again",
            |c| c.resumed,
        ),
        (
            "agent_prompt_tokens",
            "prompt tokens of finished attempts",
            |c| c.prompt_tokens,
        ),
        (
            "agent_cached_tokens",
            "prompt tokens reused from the cache",
            |c| c.cached_tokens,
        ),
    ];
    for (name, description, read) in counters {
        let state = state.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&state.counters()), &[]))
            .build();
    }
    let in_flight = state.clone();
    meter
        .u64_observable_gauge("agent_in_flight")
        .with_description("attempts that wait or run")
        .with_callback(move |observer| observer.observe(in_flight.in_flight() as u64, &[]))
        .build();
    let load = state.clone();
    meter
        .f64_observable_gauge("agent_load")
        .with_description("work units in flight divided by capacity")
        .with_callback(move |observer| observer.observe(load.load(), &[]))
        .build();
}
