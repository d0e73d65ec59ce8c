//! HTTP server of the engine stand-in: the OpenAI-compatible chat completion
//! call and, beside it, streams, load, cache events, KV cache and orders.

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

/// Largest body taken, in bytes.
const MAXIMUM_BODY: u64 = 16 * 1024 * 1024;

/// Time for a body to come.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Detail of a problem about a stream that is not there.
const UNKNOWN_STREAM: &str = "no stream of this name";

/// Faults of the engine, switched over HTTP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuse new requests with 503.
    pub refuse: bool,
    /// Break each stream's connection once after this many tokens; 0 for none.
    pub break_after: u32,
}

struct Stream {
    reader: Option<BodySender>,
    as_events: bool,
    broken_once: bool,
}

struct State {
    origin: Instant,
    model: EngineModel,
    streams: HashMap<String, Stream>,
    orders: OrderState,
    faults: EngineFaults,
    wake: Rc<Notify>,
}

impl State {
    fn now(&self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64)
    }
}

type Shared = Rc<RefCell<State>>;

/// Serves an engine on the current thread.
pub async fn run(
    listener: std::net::TcpListener,
    settings: EngineSettings,
    checks_fence: bool,
) -> std::io::Result<()> {
    let wake = Rc::new(Notify::new());
    let state = Rc::new(RefCell::new(State {
        origin: Instant::now(),
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
    serve(listener, move |request| answer(state.clone(), request)).await
}

/// Carries out the model's steps when they are due.
async fn run_steps(state: Shared, wake: Rc<Notify>) {
    loop {
        let (due, origin) = {
            let state = state.borrow();
            (state.model.step_end(), state.origin)
        };
        let Some(due) = due else {
            wake.notified().await;
            continue;
        };
        let at = origin + Duration::from_micros(due.0);
        actix_rt::time::sleep_until(at.into()).await;
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
                if breaks && !stream.broken_once {
                    stream.broken_once = true;
                    stream.reader = None;
                }
            }
            EngineEvent::Done { id, usage } => self.finish(&id, usage),
        }
    }

    fn finish(&mut self, id: &str, usage: Usage) {
        let Some(state) = self.model.stream(id).cloned() else {
            return;
        };
        let Some(stream) = self.streams.get_mut(id) else {
            return;
        };
        if stream.as_events {
            send(stream, final_event(id, state.length, usage));
        } else {
            let text = response_text(state.seed, state.length);
            send(stream, Bytes::from(completion(id, &text, usage)));
        }
        if let Some(reader) = stream.reader.take() {
            if reader.end().is_err() {
                log::debug!(target: "engine", "the reader of {id} left before the end");
            }
        }
    }
}

/// Sends bytes to a stream's reader, if it still has one.
fn send(stream: &mut Stream, bytes: Bytes) {
    let gone = stream
        .reader
        .as_ref()
        .is_some_and(|reader| reader.send(bytes).is_err());
    if gone {
        stream.reader = None;
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

async fn answer(state: Shared, mut request: Request) -> Response<BoxBody> {
    let body = match read_body(&mut request, MAXIMUM_BODY, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return problem_response(&error.problem()),
    };
    let path = request.path().to_string();
    let method = request.method().clone();
    if let Some(id) = path.strip_prefix("/v1/streams/") {
        return match method {
            Method::DELETE => cancel(&state, id),
            Method::GET => resume(&state, id, offset_of(&request)),
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
            let events = state.model.cache_events(state.now(), offset_of(&request));
            json_response(StatusCode::OK, &events)
        }
        (Method::POST, "/v1/kv/export") => export(&state, &body).await,
        (Method::POST, "/v1/kv/import") => import(&state, &body).await,
        (Method::POST, "/v1/orders") => order(&state, &body),
        (Method::GET, "/v1/orders") => json_response(StatusCode::OK, &state.borrow().orders),
        (Method::GET, "/observed") => {
            json_response(StatusCode::OK, state.borrow().model.observed())
        }
        (Method::POST, "/faults") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                state.borrow_mut().faults = faults;
                json_response(StatusCode::OK, &faults)
            }
            Err(error) => malformed(&error),
        },
        _ => not_found(&path),
    }
}

fn not_found(path: &str) -> Response<BoxBody> {
    problem_response(&ProblemKind::UnknownPath.problem(Outcome::NotRun, path))
}

fn malformed(error: &serde_json::Error) -> Response<BoxBody> {
    problem_response(&ProblemKind::MalformedBody.problem(Outcome::NotRun, error.to_string()))
}

/// Value of `after` or `offset` in the query; 0 when absent.
fn offset_of(request: &Request) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| matches!(*name, "after" | "offset"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn chat(state: &Shared, request: &Request, body: &[u8]) -> Response<BoxBody> {
    let chat: ChatRequest = match serde_json::from_slice(body) {
        Ok(chat) => chat,
        Err(error) => return malformed(&error),
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
    let unnamed = format!("stream-{}", state.streams.len());
    let id = header("x-request-id").unwrap_or(unnamed);
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
    let (sender, parts) = body_channel();
    state.streams.insert(
        id.clone(),
        Stream {
            reader: Some(sender),
            as_events: chat.stream,
            broken_once: false,
        },
    );
    stream_reply(chat.stream, ChannelBody::new(parts, || {}))
}

fn stream_reply(as_events: bool, body: ChannelBody) -> Response<BoxBody> {
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

fn cancel(state: &Shared, id: &str) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    let now = state.now();
    if !state.model.cancel(now, id) {
        return not_found(UNKNOWN_STREAM);
    }
    let reader = state.streams.remove(id).and_then(|stream| stream.reader);
    if reader.is_some_and(|reader| reader.end().is_err()) {
        log::debug!(target: "engine", "the reader of {id} left before the cancel");
    }
    json_response(StatusCode::OK, &())
}

/// Sends a stream again from a token onwards and goes on with it.
fn resume(state: &Shared, id: &str, offset: u64) -> Response<BoxBody> {
    let mut state = state.borrow_mut();
    let Some(known) = state.model.stream(id).cloned() else {
        return not_found(UNKNOWN_STREAM);
    };
    if known.cancelled {
        return not_found(UNKNOWN_STREAM);
    }
    let Some(stream) = state.streams.get_mut(id) else {
        return not_found(UNKNOWN_STREAM);
    };
    let (sender, parts) = body_channel();
    stream.reader = Some(sender);
    stream.broken_once = true;
    let as_events = stream.as_events;
    if as_events {
        for index in offset as u32..known.generated {
            let word = response_word(known.seed, index);
            send(stream, token_event(id, index, &word));
        }
    }
    if let Some(usage) = known.usage {
        state.finish(id, usage);
    }
    stream_reply(as_events, ChannelBody::new(parts, || {}))
}

async fn export(state: &Shared, body: &[u8]) -> Response<BoxBody> {
    let request: KvExportRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return malformed(&error),
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

async fn import(state: &Shared, body: &[u8]) -> Response<BoxBody> {
    let export: KvExport = match serde_json::from_slice(body) {
        Ok(export) => export,
        Err(error) => return malformed(&error),
    };
    let duration = {
        let mut state = state.borrow_mut();
        let now = state.now();
        state.model.import(now, &export)
    };
    actix_rt::time::sleep(duration).await;
    json_response(StatusCode::OK, &())
}

fn order(state: &Shared, body: &[u8]) -> Response<BoxBody> {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return malformed(&error),
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
