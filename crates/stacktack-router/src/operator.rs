//! The operator endpoint of a router: health, status, metrics, configuration and
//! decision records over HTTP.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use opentelemetry::metrics::Meter;
use serde::Serialize;
use stacktack_core::dispatch::record::RequestRecord;
use stacktack_core::dispatch::DispatchCounters;
use stacktack_core::problem::{Outcome, ProblemKind};
use stacktack_node::control::{
    receive_changes, serve_configuration, ControlHandle, CHANGES_PATH, CONFIGURATION_PATH,
};
use stacktack_node::http::{json_response, problem_response, text_response};
use stacktack_node::metrics::Metrics;
use stacktack_wire::identity::RequestId;
use tokio::sync::oneshot;

use crate::shared::{SharedState, WorkerCommand};

/// Path prefix of decision records; the request id follows.
const DECISION_PATH_PREFIX: &str = "/decisions/";

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    zone: String,
    version: u64,
    open_callers: usize,
    stopping: bool,
    members: usize,
    agents: Vec<AgentStatus>,
    control_bytes_sent: u64,
    control_bytes_received: u64,
    requests: u64,
    answered: u64,
    not_run: u64,
    failed: u64,
    offers: u64,
    retries: u64,
}

/// An agent as this router sees it.
#[derive(Debug, Serialize)]
struct AgentStatus {
    name: String,
    suspected: bool,
    draining: bool,
    load: Option<f64>,
}

/// Handles operators' HTTP requests.
pub struct OperatorEndpoint {
    /// Zone of the router.
    pub zone: String,
    /// State shared with the traffic threads.
    pub shared: Arc<SharedState>,
    /// Handle to the control state.
    pub control: ControlHandle,
    /// Metrics rendered at `/metrics`.
    pub metrics: Metrics,
}

impl OperatorEndpoint {
    /// Responds to one operator request.
    pub async fn respond(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        if let Some(id) = request.path().strip_prefix(DECISION_PATH_PREFIX) {
            return self.explain(id).await;
        }
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
            (_, path) => problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, path)),
        }
    }

    fn readiness(&self) -> Response<BoxBody> {
        let version = self.shared.view.load().configuration.version;
        if version.0 == 0 || self.shared.is_stopping() {
            text_response(StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n"))
        } else {
            text_response(StatusCode::OK, String::from("ready\n"))
        }
    }

    fn status(&self) -> Status {
        let (sent, received) = self.control.with(|control| control.byte_totals());
        let view = self.shared.view.load();
        let agents = view
            .agents
            .iter()
            .map(|(node, agent)| AgentStatus {
                name: view.configuration.node_name(*node),
                suspected: agent.suspected,
                draining: agent.draining,
                load: agent.load.map(|(load, _)| load),
            })
            .collect();
        let counters = self.shared.counters();
        Status {
            name: self.shared.name.clone(),
            zone: self.zone.clone(),
            version: view.configuration.version.0,
            open_callers: self.shared.open_callers(),
            stopping: self.shared.is_stopping(),
            members: self.control.with(|control| control.members().len()),
            agents,
            control_bytes_sent: sent,
            control_bytes_received: received,
            requests: counters.requests,
            answered: counters.answered,
            not_run: counters.not_run,
            failed: counters.failed,
            offers: counters.offers,
            retries: counters.retries,
        }
    }

    async fn explain(&self, text: &str) -> Response<BoxBody> {
        let Ok(id) = text.parse::<RequestId>() else {
            let problem =
                ProblemKind::UnknownPath.problem(Outcome::NotRun, "this is no decision id");
            return problem_response(&problem);
        };
        match self.find_record(id).await {
            Some(record) => json_response(StatusCode::OK, &record),
            None => {
                let problem =
                    ProblemKind::UnknownPath.problem(Outcome::NotRun, "no record of this decision");
                problem_response(&problem)
            }
        }
    }

    async fn find_record(&self, id: RequestId) -> Option<RequestRecord> {
        for worker in self.shared.worker_commands() {
            let (sender, record) = oneshot::channel();
            if worker.send(WorkerCommand::Explain(id, sender)).is_err() {
                continue;
            }
            if let Ok(Some(record)) = record.await {
                return Some(record);
            }
        }
        None
    }
}

/// Selects the value of one metric.
type CounterReader = fn(&DispatchCounters) -> u64;

/// Registers the router's metrics, which read the counters that the traffic threads publish.
pub fn register_metrics(meter: &Meter, shared: &Arc<SharedState>) {
    let counters: [(&'static str, &'static str, CounterReader); 8] = [
        ("router_requests", "requests taken in", |c| c.requests),
        (
            "router_requests_answered",
            "requests with a whole answer",
            |c| c.answered,
        ),
        (
            "router_requests_not_run",
            "requests refused as not run",
            |c| c.not_run,
        ),
        (
            "router_requests_failed",
            "requests that ended in another problem",
            |c| c.failed,
        ),
        ("router_offers", "offers sent to agents", |c| c.offers),
        (
            "router_retries",
            "retries of attempts that may have run",
            |c| c.retries,
        ),
        (
            "router_late_messages",
            "messages about attempts that are not current",
            |c| c.late_messages,
        ),
        (
            "router_fates_asked",
            "questions about the fate of an attempt",
            |c| c.fate_queries,
        ),
    ];
    for (name, description, read) in counters {
        let shared = shared.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&shared.counters()), &[]))
            .build();
    }
    let open = shared.clone();
    meter
        .u64_observable_gauge("router_open_callers")
        .with_description("callers that wait for their answers")
        .with_callback(move |observer| observer.observe(open.open_callers() as u64, &[]))
        .build();
}
