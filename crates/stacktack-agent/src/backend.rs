//! HTTP calls to the back end: chat completions to an engine, plain requests to
//! a service. Each call reports its progress as [`BackendEvent`]s. An attempt is
//! reported as not run only if it was never sent, because connecting failed, or
//! if the back end refused it. A response whose head leaves its end unclear is not used.

use std::net::SocketAddr;

use actix_http::header::{
    HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING,
};
use awc::error::SendRequestError;
use awc::http::{Method, StatusCode, Version};
use awc::{Client, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use stacktack_core::gate::response::ResponseHead;
use stacktack_core::gate::BackendEvent;
use stacktack_core::response_framing::{HeadError, ResponseFraming, ResponseLine};
use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{Offer, Payload, Priority, Usage};
use thiserror::Error;

use crate::events::{parse_usage, EventSplitter};

/// Maximum size of a response body, in bytes: the gate retains it so that routers can resume it.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// HTTP client of one back end; not shared between threads.
#[derive(Clone)]
pub struct BackendClient {
    client: Client,
    base: String,
}

type Response = awc::ClientResponse;

impl BackendClient {
    /// Creates a client for the back end's address.
    pub fn new(address: SocketAddr) -> Self {
        let connector = Connector::new().limit(0);
        BackendClient {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            base: format!("http://{address}"),
        }
    }

    /// Sends an attempt to the back end and reports each event of its response.
    pub async fn run(&self, attempt: AttemptId, offer: &Offer, report: impl Fn(BackendEvent)) {
        let sent = match &offer.payload {
            Payload::Chat { body, .. } => self.send_chat(attempt, offer.priority, body).await,
            Payload::Service {
                method,
                path,
                content_type,
                idempotency_key,
                body,
                ..
            } => {
                let method = method.parse().unwrap_or(Method::GET);
                let mut request = self
                    .client
                    .request(method, format!("{}{path}", self.base))
                    .insert_header(("x-request-id", attempt.to_string()));
                if let Some(content_type) = content_type {
                    request = request.insert_header((CONTENT_TYPE, content_type.as_str()));
                }
                if let Some(key) = idempotency_key {
                    request = request.insert_header(("idempotency-key", key.as_str()));
                }
                request.send_body(body.clone()).await
            }
        };
        let kind = match &offer.payload {
            Payload::Chat { stream, .. } => RequestKind::Chat { stream: *stream },
            Payload::Service { method, .. } if method == Method::HEAD.as_str() => RequestKind::Head,
            Payload::Service { .. } => RequestKind::Service,
        };
        match sent {
            Err(SendRequestError::Connect(error)) => {
                log::warn!(target: "backend", "attempt {attempt}: connecting to the back end failed: {error}");
                report(BackendEvent::Unreachable);
            }
            Err(error) => {
                log::warn!(target: "backend", "attempt {attempt}: the call failed: {error}");
                report(BackendEvent::ConnectionBroken);
            }
            Ok(response) => forward_response(attempt, response, kind, 0, report).await,
        }
    }

    /// Resumes an engine's stream from the piece with index `offset`.
    pub async fn resume(&self, attempt: AttemptId, offset: u64, report: impl Fn(BackendEvent)) {
        let url = format!("{}/v1/streams/{attempt}?offset={offset}", self.base);
        match self.client.get(url).send().await {
            Ok(response) if response.status() == StatusCode::OK => {
                let stream = is_event_stream(&response);
                let kind = RequestKind::Chat { stream };
                forward_response(attempt, response, kind, offset, report).await;
            }
            Ok(_) => report(BackendEvent::InvalidResponse),
            Err(_) => report(BackendEvent::ConnectionBroken),
        }
    }

    /// Cancels an engine's stream.
    pub async fn cancel(&self, attempt: AttemptId) {
        let url = format!("{}/v1/streams/{attempt}", self.base);
        if let Err(error) = self.client.delete(url).send().await {
            log::warn!(target: "backend", "attempt {attempt}: the cancellation failed: {error}");
        }
    }

    async fn send_chat(
        &self,
        attempt: AttemptId,
        priority: Priority,
        body: &Bytes,
    ) -> Result<Response, SendRequestError> {
        let priority = match priority {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        };
        self.client
            .post(format!("{}/v1/chat/completions", self.base))
            .insert_header(("x-request-id", attempt.to_string()))
            .insert_header(("x-priority", priority))
            .content_type("application/json")
            .send_body(body.clone())
            .await
    }
}

/// What a request asks for, as far as its response depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// A chat completion, as a stream of events or as a whole.
    Chat { stream: bool },
    /// The head of a plain response.
    Head,
    /// A plain response.
    Service,
}

/// Why a response cannot be used, as its head shows.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum UnusableResponse {
    /// The head is rejected.
    #[error("invalid head: {0}")]
    Head(#[from] HeadError),
    /// The body ends with its connection, and the HTTP client reads none of it.
    #[error("an HTTP/1.1 body without a length and without chunks")]
    EndsWithConnection,
}

/// Checks whether all of a response can be read, as its head says.
fn check_head(response: &Response, kind: RequestKind) -> Result<(), UnusableResponse> {
    let values = |name: HeaderName| response.headers().get_all(name).map(HeaderValue::as_bytes);
    let line = ResponseLine {
        status: response.status().as_u16(),
        is_http_1_0: response.version() < Version::HTTP_11,
        answers_head_request: kind == RequestKind::Head,
    };
    match line.framing(values(TRANSFER_ENCODING), values(CONTENT_LENGTH))? {
        ResponseFraming::Close if !line.is_http_1_0 => Err(UnusableResponse::EndsWithConnection),
        _ => Ok(()),
    }
}

fn is_event_stream(response: &Response) -> bool {
    content_type_of(response).starts_with("text/event-stream")
}

fn content_type_of(response: &Response) -> String {
    response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_string()
}

/// Reports the events of a response until it ends. `offset` is the index of the
/// first piece of an event stream.
async fn forward_response(
    attempt: AttemptId,
    response: Response,
    kind: RequestKind,
    offset: u64,
    report: impl Fn(BackendEvent),
) {
    if let Err(error) = check_head(&response, kind) {
        log::warn!(target: "backend", "attempt {attempt}: the response cannot be used: {error}");
        report(BackendEvent::InvalidResponse);
        return;
    }
    let status = response.status();
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        log::info!(target: "backend", "attempt {attempt}: the back end refused with {status}");
        report(BackendEvent::Refused);
        return;
    }
    let content_type = content_type_of(&response);
    let is_stream = kind == RequestKind::Chat { stream: true };
    let events = is_stream && is_event_stream(&response);
    report(BackendEvent::Head(ResponseHead {
        status: status.as_u16(),
        content_type,
    }));
    if events {
        forward_events(attempt, response, offset, report).await;
    } else {
        forward_body(attempt, response, report).await;
    }
}

async fn forward_events(
    attempt: AttemptId,
    mut response: Response,
    mut offset: u64,
    report: impl Fn(BackendEvent),
) {
    let mut splitter = EventSplitter::default();
    let mut received = 0;
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            break;
        };
        received += chunk.len();
        if received > MAX_BODY_BYTES {
            report_too_long(attempt, report);
            return;
        }
        let pieces = splitter.push(&chunk);
        if !pieces.is_empty() {
            let count = pieces.len() as u64;
            report(BackendEvent::Pieces { offset, pieces });
            offset += count;
        }
        if splitter.done {
            report(BackendEvent::Finished(splitter.usage.unwrap_or_default()));
            return;
        }
    }
    log::info!(target: "backend", "attempt {attempt}: the stream ended early, before piece {offset}");
    report(BackendEvent::ConnectionBroken);
}

fn report_too_long(attempt: AttemptId, report: impl Fn(BackendEvent)) {
    log::error!(target: "backend", "attempt {attempt}: the response exceeds {MAX_BODY_BYTES} bytes");
    report(BackendEvent::InvalidResponse);
}

async fn forward_body(attempt: AttemptId, mut response: Response, report: impl Fn(BackendEvent)) {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Ok(_) => {
                report_too_long(attempt, report);
                return;
            }
            Err(error) => {
                log::warn!(target: "backend", "attempt {attempt}: the response ended early: {error}");
                report(BackendEvent::ConnectionBroken);
                return;
            }
        }
    }
    let usage: Usage = parse_usage(&body).unwrap_or_default();
    let pieces = vec![body.freeze()];
    report(BackendEvent::Pieces { offset: 0, pieces });
    report(BackendEvent::Finished(usage));
}
