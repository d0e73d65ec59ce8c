//! The response path from the dispatcher to a caller.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use stacktack_core::problem::Problem;
use stacktack_node::http::{problem_response, BodyReceiver, BodySender, ChannelBody};
use stacktack_wire::identity::{NodeId, RequestId};
use tokio::sync::oneshot;

use crate::shared::SharedState;
use crate::traffic::TrafficHandle;

/// Bytes that may be buffered for a slow caller; above that its request is cancelled.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Start of a response, sent before any body bytes.
#[derive(Debug)]
pub enum ResponseStart {
    /// Status and content type; the body follows.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Agent of the back end that responds.
        agent: NodeId,
    },
    /// A problem in place of the back end's response.
    Problem(Problem),
}

/// Sends one response to its caller, on behalf of the dispatcher.
pub struct CallerSender {
    start: Option<oneshot::Sender<ResponseStart>>,
    parts: BodySender,
    is_event_stream: bool,
}

impl CallerSender {
    /// Creates a sender whose head goes to `start` and whose body goes to `parts`.
    pub fn new(start: oneshot::Sender<ResponseStart>, parts: BodySender) -> Self {
        CallerSender {
            start: Some(start),
            parts,
            is_event_stream: false,
        }
    }

    /// Sends the head or the problem; only the first call sends anything.
    pub fn start(&mut self, start: ResponseStart) {
        if let ResponseStart::Head { content_type, .. } = &start {
            self.is_event_stream = content_type.starts_with("text/event-stream");
        }
        if let Some(sender) = self.start.take() {
            if sender.send(start).is_err() {
                log::debug!(target: "caller", "a caller disconnected before its response started");
            }
        }
    }

    /// Sends part of the body. Returns false if the caller disconnected or more
    /// than `MAX_BUFFERED_BYTES` already wait to be sent.
    pub fn send_body(&mut self, bytes: Bytes) -> bool {
        let within_limit = self.parts.pending_bytes() <= MAX_BUFFERED_BYTES;
        within_limit && self.parts.send(bytes).is_ok()
    }

    /// Marks the body as complete.
    pub fn end(self) {
        if self.parts.end().is_err() {
            log::debug!(target: "caller", "a caller disconnected before its response ended");
        }
    }

    /// Ends an incomplete body: an event stream with an error event, any other
    /// body by closing the connection.
    pub fn abort(self, problem: &Problem) {
        if !self.is_event_stream {
            return;
        }
        let body = serde_json::to_string(problem).unwrap_or_default();
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        if self.parts.send(event).is_ok() {
            self.end();
        }
    }
}

/// Counts a caller as open until dropped, and cancels its request if it is still
/// in progress then.
pub struct CallerGuard {
    traffic: TrafficHandle,
    shared: Arc<SharedState>,
    request: RequestId,
}

impl CallerGuard {
    /// Counts the caller of the request as open.
    pub fn new(traffic: TrafficHandle, shared: Arc<SharedState>, request: RequestId) -> Self {
        shared.add_open_caller();
        CallerGuard {
            traffic,
            shared,
            request,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shared.remove_open_caller();
        self.traffic.on_caller_left(self.request);
    }
}

/// Builds the HTTP response to a caller; a body that is not a problem is streamed
/// from `parts`.
pub fn build_response(
    name: &str,
    request: RequestId,
    start: ResponseStart,
    parts: BodyReceiver,
    guard: CallerGuard,
) -> Response<BoxBody> {
    let decision = format!("{name}.{request}");
    match start {
        ResponseStart::Problem(problem) => {
            let mut response = problem_response(&problem);
            add_identity_headers(&mut response, request, &decision);
            response
        }
        ResponseStart::Head {
            status,
            content_type,
            agent,
        } => {
            let guard = Rc::new(guard);
            let body = ChannelBody::new(parts, move || drop(guard));
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Response::build(status)
                .insert_header(("content-type", content_type))
                .insert_header(("stacktack-request", request.to_string()))
                .insert_header(("stacktack-decision", decision))
                .insert_header(("stacktack-placement", agent.to_string()))
                .message_body(BoxBody::new(body))
                .unwrap_or_else(|_| Response::new(StatusCode::INTERNAL_SERVER_ERROR))
        }
    }
}

fn add_identity_headers(response: &mut Response<BoxBody>, request: RequestId, decision: &str) {
    use actix_http::header::{HeaderName, HeaderValue};
    let entries = [
        ("stacktack-request", request.to_string()),
        ("stacktack-decision", decision.to_string()),
    ];
    for (name, value) in entries {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
}
