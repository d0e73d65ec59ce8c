//! HTTP server of the platform stand-in.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stacktack_core::ledger::{TableOperation, TableReply};
use stacktack_core::problem::{Outcome, ProblemKind};
use stacktack_core::time::Time;
use stacktack_node::client::{Machine, PutRow};
use stacktack_node::http::{
    body_channel, json_response, problem_response, read_body, serve, ChannelBody,
};

use super::faults::StoreFault;
use super::machines::MachineList;
use super::rate::RateLimit;
use super::table::Table;

/// Largest request body accepted.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Time within which a request body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Largest rate of writes per second, to the table and the object store together.
    pub writes_per_second: f64,
    /// Largest rate of reads per second, from the table and the object store together.
    pub reads_per_second: f64,
    /// Largest rate of reads from the weight store, in bytes per second.
    pub weight_bytes_per_second: f64,
    /// Time after which a change becomes visible in the machine list.
    pub machine_lag: Duration,
}

/// Numbers of operations on the table, and of operations on the table or the object store that a
/// rate limit refused.
#[derive(Debug, Serialize)]
struct Observed {
    writes: u64,
    reads: u64,
    over_rate: u64,
}

/// Body of a request to read from the weight store.
#[derive(Debug, Deserialize)]
struct WeightRead {
    bytes: f64,
}

struct State {
    started_at: Instant,
    table: Table,
    objects: BTreeMap<String, Bytes>,
    machines: MachineList,
    fault: StoreFault,
    writes: RateLimit,
    reads: RateLimit,
    weights: RateLimit,
    over_rate: u64,
}

impl State {
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_micros() as u64)
    }

    fn try_acquire(&mut self, is_write: bool) -> bool {
        let now = self.now();
        let limit = if is_write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let acquired = limit.try_acquire(now, 1.0);
        self.over_rate += u64::from(!acquired);
        acquired
    }
}

/// Serves the platform on the current thread.
pub async fn run(
    listener: std::net::TcpListener,
    settings: PlatformSettings,
) -> std::io::Result<()> {
    let now = Time::default();
    let state = Rc::new(RefCell::new(State {
        started_at: Instant::now(),
        table: Table::default(),
        objects: BTreeMap::new(),
        machines: MachineList::new(settings.machine_lag),
        fault: StoreFault::Up,
        writes: RateLimit::new(settings.writes_per_second, now),
        reads: RateLimit::new(settings.reads_per_second, now),
        weights: RateLimit::new(settings.weight_bytes_per_second, now),
        over_rate: 0,
    }));
    serve(listener, move |request| {
        handle_request(state.clone(), request)
    })
    .await
}

async fn handle_request(state: Rc<RefCell<State>>, mut request: Request) -> Response<BoxBody> {
    let body = match read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return problem_response(&error.problem()),
    };
    let path = request.path().to_string();
    let (service, rest) = match path[1..].split_once('/') {
        Some((service, rest)) => (service, rest),
        None => (&path[1..], ""),
    };
    match (request.method(), service) {
        (&Method::POST, "faults") => set_fault(&state, &body),
        (&Method::GET, "observed") => observed(&state),
        (&Method::GET, "machines") => {
            let mut state = state.borrow_mut();
            let now = state.now();
            let mut machines = state.machines.list(now);
            if rest == "leaving" {
                machines.retain(|machine| machine.leaving);
            }
            json_response(StatusCode::OK, &machines)
        }
        (&Method::PUT, "machines") => register(&state, &body),
        (&Method::DELETE, "machines") => mark_leaving(&state, rest),
        (&Method::POST, "weights") => read_weights(&state, &body),
        (method, "table") | (method, "objects") => {
            access_store(&state, method.clone(), service, rest, &body).await
        }
        _ => problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, path)),
    }
}

fn malformed_body(error: &serde_json::Error) -> Response<BoxBody> {
    problem_response(&ProblemKind::MalformedBody.problem(Outcome::NotRun, error.to_string()))
}

fn set_fault(state: &Rc<RefCell<State>>, body: &[u8]) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(fault) => {
            state.borrow_mut().fault = fault;
            json_response(StatusCode::OK, &fault)
        }
        Err(error) => malformed_body(&error),
    }
}

fn observed(state: &Rc<RefCell<State>>) -> Response<BoxBody> {
    let state = state.borrow();
    let (writes, reads) = state.table.operation_counts();
    let observed = Observed {
        writes,
        reads,
        over_rate: state.over_rate,
    };
    json_response(StatusCode::OK, &observed)
}

fn register(state: &Rc<RefCell<State>>, body: &[u8]) -> Response<BoxBody> {
    match serde_json::from_slice::<Machine>(body) {
        Ok(machine) => {
            let mut state = state.borrow_mut();
            let now = state.now();
            state.machines.register(now, machine);
            json_response(StatusCode::OK, &())
        }
        Err(error) => malformed_body(&error),
    }
}

fn mark_leaving(state: &Rc<RefCell<State>>, name: &str) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    let now = state.now();
    if state.machines.mark_leaving(now, name) {
        json_response(StatusCode::OK, &())
    } else {
        problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, name))
    }
}

fn read_weights(state: &Rc<RefCell<State>>, body: &[u8]) -> Response<BoxBody> {
    let read: WeightRead = match serde_json::from_slice(body) {
        Ok(read) => read,
        Err(error) => return malformed_body(&error),
    };
    let mut state = state.borrow_mut();
    let now = state.now();
    if state.weights.try_acquire(now, read.bytes) {
        json_response(StatusCode::OK, &())
    } else {
        overloaded("the weight store's rate is used up")
    }
}

fn overloaded(detail: &str) -> Response<BoxBody> {
    let problem = ProblemKind::TenantLimit.problem(Outcome::NotRun, detail);
    problem_response(&problem.retry_after(1_000))
}

async fn access_store(
    state: &Rc<RefCell<State>>,
    method: Method,
    service: &str,
    key: &str,
    body: &Bytes,
) -> Response<BoxBody> {
    let fault = state.borrow().fault;
    if fault == StoreFault::Down {
        let problem = ProblemKind::StoreUnavailable.problem(Outcome::NotRun, "the store is down");
        return problem_response(&problem.retry_after(1_000));
    }
    if !state.borrow_mut().try_acquire(method == Method::PUT) {
        return overloaded("the store's rate is used up");
    }
    if !fault.delay().is_zero() {
        actix_rt::time::sleep(fault.delay()).await;
    }
    let response = match (service, &method) {
        ("table", &Method::GET) => get_row(state, key),
        ("table", &Method::PUT) => put_row(state, key, body),
        ("objects", &Method::GET) => get_object(state, key),
        ("objects", &Method::PUT) => put_object(state, key, body),
        _ => problem_response(
            &ProblemKind::MethodNotAllowed.problem(Outcome::NotRun, method.as_str()),
        ),
    };
    if fault == StoreFault::LoseReplies && method == Method::PUT {
        return truncated_response();
    }
    response
}

/// A response whose body breaks off, so that the client cannot tell whether its write took effect.
fn truncated_response() -> Response<BoxBody> {
    let (sender, receiver) = body_channel();
    drop(sender);
    Response::build(StatusCode::OK)
        .message_body(BoxBody::new(ChannelBody::new(receiver, || {})))
        .unwrap_or_else(|_| Response::new(StatusCode::INTERNAL_SERVER_ERROR))
}

fn get_row(state: &Rc<RefCell<State>>, key: &str) -> Response<BoxBody> {
    let operation = TableOperation::Get {
        key: key.to_string(),
    };
    match state.borrow_mut().table.apply(&operation) {
        TableReply::Read(Some(row)) => json_response(StatusCode::OK, &row),
        _ => problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, key)),
    }
}

fn put_row(state: &Rc<RefCell<State>>, key: &str, body: &[u8]) -> Response<BoxBody> {
    let put: PutRow = match serde_json::from_slice(body) {
        Ok(put) => put,
        Err(error) => return malformed_body(&error),
    };
    let operation = TableOperation::Put {
        key: key.to_string(),
        value: put.value.clone(),
        expected: put.expected,
    };
    match state.borrow_mut().table.apply(&operation) {
        TableReply::Written(version) => {
            let row = stacktack_core::ledger::Row {
                version,
                value: put.value,
            };
            json_response(StatusCode::OK, &row)
        }
        TableReply::Conflict(row) => json_response(StatusCode::CONFLICT, &row),
        TableReply::Read(_) | TableReply::Lost => {
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
        }
    }
}

fn get_object(state: &Rc<RefCell<State>>, key: &str) -> Response<BoxBody> {
    match state.borrow().objects.get(key) {
        Some(bytes) => Response::build(StatusCode::OK)
            .body(bytes.clone())
            .map_into_boxed_body(),
        None => problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, key)),
    }
}

fn put_object(state: &Rc<RefCell<State>>, key: &str, body: &Bytes) -> Response<BoxBody> {
    state
        .borrow_mut()
        .objects
        .insert(key.to_string(), body.clone());
    json_response(StatusCode::OK, &())
}
