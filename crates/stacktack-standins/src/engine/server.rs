//! HTTP server of the engine stand-in: the OpenAI-compatible chat completion endpoint, and
//! endpoints for streams, load, cache events, KV cache and orders.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use stacktack_core::problem::{Outcome, ProblemKind};
use stacktack_core::time::Time;
use stacktack_node::http::{
    body_channel, json_response, problem_response, read_body, serve, BodySender, ChannelBody,
};
use stacktack_wire::message::{Priority, Usage};
use tokio::sync::Notify;

use super::cache::KvExportRequest;
use super::model::{EngineEvent, EngineModel, EngineSettings, Job, KvExport};
use super::orders::{Order, OrderState};
use crate::response::{response_text, response_word, ChatRequest};

/// Largest request body accepted.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Time within which a request body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Problem detail for a stream that does not exist.
const UNKNOWN_STREAM_DETAIL: &str = "no stream of this name";

/// Faults that the engine injects, set over HTTP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Reject new requests with 503.
    pub refuse: bool,
    /// Break the connection of each event stream once, after this many tokens; 0 breaks none.
    pub break_after: u32,
}

struct Stream {
    /// Sender of the response body; none once the body has ended or its connection is gone.
    sender: Option<BodySender>,
    as_events: bool,
    /// Whether `break_after` no longer applies, since the stream was broken or resumed before.
    exempt_from_break: bool,
}

struct State {
    started_at: Instant,
    model: EngineModel,
    streams: HashMap<String, Stream>,
    orders: OrderState,
    faults: EngineFaults,
    wake: Rc<Notify>,
}

impl State {
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_micros() as u64)
    }
}

type SharedState = Rc<RefCell<State>>;

/// Serves an engine on the current thread. `checks_fence` tells whether it refuses orders of an
/// older epoch.
pub async fn run(
    listener: std::net::TcpListener,
    settings: EngineSettings,
    checks_fence: bool,
) -> std::io::Result<()> {
    let wake = Rc::new(Notify::new());
    let state = Rc::new(RefCell::new(State {
        started_at: Instant::now(),
        model: EngineModel::new(settings),
        streams: HashMap::new(),
        orders: OrderState {
            checks_fence,
            ..OrderState::default()
        },
        faults: EngineFaults::default(),
        wake: wake.clone(),
    }));
    actix_rt::spawn(run_steps(state.clone(), wake));
    serve(listener, move |request| {
        handle_request(state.clone(), request)
    })
    .await
}

/// Advances the model at the end of each step and publishes the results.
async fn run_steps(state: SharedState, wake: Rc<Notify>) {
    loop {
        let (due, started_at) = {
            let state = state.borrow();
            (state.model.step_end(), state.started_at)
        };
        let Some(due) = due else {
            wake.notified().await;
            continue;
        };
        let due_at = started_at + Duration::from_micros(due.0);
        actix_rt::time::sleep_until(due_at.into()).await;
        let mut state = state.borrow_mut();
        let now = state.now();
        for event in state.model.advance(now) {
            state.publish(event);
        }
    }
}

impl State {
    fn publish(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Token { id, index, word } => {
                let break_after = self.faults.break_after;
                let Some(stream) = self.streams.get_mut(&id) else {
                    return;
                };
                if !stream.as_events {
                    return;
                }
                send(stream, token_event(&id, index, &word));
                let breaks = break_after > 0 && index + 1 == break_after;
                if breaks && !stream.exempt_from_break {
                    stream.exempt_from_break = true;
                    stream.sender = None;
                }
            }
            EngineEvent::Done { id, usage } => self.finish(&id, usage),
        }
    }

    fn finish(&mut self, id: &str, usage: Usage) {
        let Some(stream_state) = self.model.stream(id).cloned() else {
            return;
        };
        let Some(stream) = self.streams.get_mut(id) else {
            return;
        };
        if stream.as_events {
            send(stream, final_event(id, stream_state.length, usage));
        } else {
            let text = response_text(stream_state.seed, stream_state.length);
            send(stream, Bytes::from(completion(id, &text, usage)));
        }
        if let Some(sender) = stream.sender.take() {
            if sender.end().is_err() {
                log::debug!(target: "engine", "the client of {id} disconnected before the end of its response");
            }
        }
    }
}

/// Sends bytes to the client of a stream, if it is still connected.
fn send(stream: &mut Stream, bytes: Bytes) {
    let disconnected = stream
        .sender
        .as_ref()
        .is_some_and(|sender| sender.send(bytes).is_err());
    if disconnected {
        stream.sender = None;
    }
}

fn token_event(id: &str, index: u32, word: &str) -> Bytes {
    Bytes::from(format!(
        "id: {index}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{word} \"}},\"finish_reason\":null}}]}}\n\n"
    ))
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

fn final_event(id: &str, index: u32, usage: Usage) -> Bytes {
    let body = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": usage_json(usage),
    });
    Bytes::from(format!("id: {index}\ndata: {body}\n\ndata: [DONE]\n\n"))
}

fn completion(id: &str, text: &str, usage: Usage) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": usage_json(usage),
    })
    .to_string()
}

async fn handle_request(state: SharedState, mut request: Request) -> Response<BoxBody> {
    let body = match read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return problem_response(&error.problem()),
    };
    let path = request.path().to_string();
    let method = request.method().clone();
    if let Some(id) = path.strip_prefix("/v1/streams/") {
        return match method {
            Method::DELETE => cancel(&state, id),
            Method::GET => resume(&state, id, query_offset(&request)),
            _ => not_found(&path),
        };
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat(&state, &request, &body),
        (Method::GET, "/v1/load") => {
            let state = state.borrow();
            json_response(StatusCode::OK, &state.model.reported_load(state.now()))
        }
        (Method::GET, "/v1/cache/events") => {
            let state = state.borrow();
            let events = state
                .model
                .cache_events(state.now(), query_offset(&request));
            json_response(StatusCode::OK, &events)
        }
        (Method::POST, "/v1/kv/export") => export(&state, &body).await,
        (Method::POST, "/v1/kv/import") => import(&state, &body).await,
        (Method::POST, "/v1/orders") => apply_order(&state, &body),
        (Method::GET, "/v1/orders") => json_response(StatusCode::OK, &state.borrow().orders),
        (Method::GET, "/observed") => {
            json_response(StatusCode::OK, state.borrow().model.observed())
        }
        (Method::POST, "/faults") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                state.borrow_mut().faults = faults;
                json_response(StatusCode::OK, &faults)
            }
            Err(error) => malformed_body(&error),
        },
        _ => not_found(&path),
    }
}

fn not_found(path: &str) -> Response<BoxBody> {
    problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, path))
}

fn malformed_body(error: &serde_json::Error) -> Response<BoxBody> {
    problem_response(&ProblemKind::MalformedBody.problem(Outcome::NotRun, error.to_string()))
}

/// Value of `after` or `offset` in the query; 0 if there is none or it is no number.
fn query_offset(request: &Request) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| matches!(*name, "after" | "offset"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn chat(state: &SharedState, request: &Request, body: &[u8]) -> Response<BoxBody> {
    let chat: ChatRequest = match serde_json::from_slice(body) {
        Ok(chat) => chat,
        Err(error) => return malformed_body(&error),
    };
    let header = |name: &str| {
        let value = request.head().headers().get(name)?;
        value.to_str().ok().map(String::from)
    };
    let mut state = state.borrow_mut();
    if state.faults.refuse {
        let problem = ProblemKind::Overloaded.problem(Outcome::NotRun, "refused as told");
        return problem_response(&problem.retry_after(1_000));
    }
    let now = state.now();
    let default_id = format!("stream-{}", state.streams.len());
    let id = header("x-request-id").unwrap_or(default_id);
    let priority = match header("x-priority").as_deref() {
        Some("high") => Priority::High,
        Some("low") => Priority::Low,
        _ => Priority::Normal,
    };
    let job = Job {
        id: id.clone(),
        prompt: chat.prompt_tokens(),
        length: chat.response_length(),
        priority,
    };
    if let Err(refusal) = state.model.submit(now, job) {
        let problem = ProblemKind::Overloaded.problem(Outcome::NotRun, refusal.to_string());
        return problem_response(&problem.retry_after(1_000));
    }
    state.wake.notify_one();
    let (sender, receiver) = body_channel();
    state.streams.insert(
        id.clone(),
        Stream {
            sender: Some(sender),
            as_events: chat.stream,
            exempt_from_break: false,
        },
    );
    stream_response(chat.stream, ChannelBody::new(receiver, || {}))
}

fn stream_response(as_events: bool, body: ChannelBody) -> Response<BoxBody> {
    let content_type = if as_events {
        "text/event-stream"
    } else {
        "application/json"
    };
    Response::build(StatusCode::OK)
        .insert_header(("content-type", content_type))
        .message_body(BoxBody::new(body))
        .unwrap_or_else(|_| Response::new(StatusCode::INTERNAL_SERVER_ERROR))
}

fn cancel(state: &SharedState, id: &str) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    let now = state.now();
    if !state.model.cancel(now, id) {
        return not_found(UNKNOWN_STREAM_DETAIL);
    }
    let sender = state.streams.remove(id).and_then(|stream| stream.sender);
    if sender.is_some_and(|sender| sender.end().is_err()) {
        log::debug!(target: "engine", "the client of {id} disconnected before the stream was cancelled");
    }
    json_response(StatusCode::OK, &())
}

/// Sends a stream from the token at `offset` on, and continues it on this connection.
fn resume(state: &SharedState, id: &str, offset: u64) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    let Some(stream_state) = state.model.stream(id).cloned() else {
        return not_found(UNKNOWN_STREAM_DETAIL);
    };
    if stream_state.cancelled {
        return not_found(UNKNOWN_STREAM_DETAIL);
    }
    let Some(stream) = state.streams.get_mut(id) else {
        return not_found(UNKNOWN_STREAM_DETAIL);
    };
    let (sender, receiver) = body_channel();
    stream.sender = Some(sender);
    stream.exempt_from_break = true;
    let as_events = stream.as_events;
    if as_events {
        for index in offset as u32..stream_state.generated {
            let word = response_word(stream_state.seed, index);
            send(stream, token_event(id, index, &word));
        }
    }
    if let Some(usage) = stream_state.usage {
        state.finish(id, usage);
    }
    stream_response(as_events, ChannelBody::new(receiver, || {}))
}

async fn export(state: &SharedState, body: &[u8]) -> Response<BoxBody> {
    let request: KvExportRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return malformed_body(&error),
    };
    let chat = ChatRequest {
        model: request.model,
        messages: request.messages,
        stream: false,
        max_tokens: None,
    };
    let (export, duration) = state.borrow_mut().model.export(&chat.prompt_tokens());
    actix_rt::time::sleep(duration).await;
    json_response(StatusCode::OK, &export)
}

async fn import(state: &SharedState, body: &[u8]) -> Response<BoxBody> {
    let export: KvExport = match serde_json::from_slice(body) {
        Ok(export) => export,
        Err(error) => return malformed_body(&error),
    };
    let duration = {
        let mut state = state.borrow_mut();
        let now = state.now();
        state.model.import(now, &export)
    };
    actix_rt::time::sleep(duration).await;
    json_response(StatusCode::OK, &())
}

fn apply_order(state: &SharedState, body: &[u8]) -> Response<BoxBody> {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return malformed_body(&error),
    };
    let mut state = state.borrow_mut();
    match state.orders.apply(order) {
        Ok(()) => json_response(StatusCode::OK, &state.orders),
        Err(stale) => {
            let problem = ProblemKind::KeyInUse.problem(Outcome::NotRun, stale.to_string());
            problem_response(&problem)
        }
    }
}
