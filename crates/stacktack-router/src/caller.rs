//! The channel between a request and the caller that waits for its answer.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use stacktack_core::problem::Problem;
use stacktack_node::http::{problem_response, BodyReceiver, BodySender, ChannelBody};
use stacktack_wire::identity::{NodeId, RequestId};
use tokio::sync::oneshot;

use crate::shared::Shared;
use crate::traffic::Traffic;

/// Bytes that may wait for a slow caller before its request is cancelled.
const MAXIMUM_WAITING: usize = 4 * 1024 * 1024;

/// First part of an answer.
#[derive(Debug)]
pub enum AnswerStart {
    /// Status and content type; the body follows.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Back end that answers.
        agent: NodeId,
    },
    /// A problem instead of an answer.
    Problem(Problem),
}

/// The dispatcher's side of the channel.
pub struct CallerSender {
    start: Option<oneshot::Sender<AnswerStart>>,
    parts: BodySender,
    event_stream: bool,
}

impl CallerSender {
    /// The sending side for a caller.
    pub fn new(start: oneshot::Sender<AnswerStart>, parts: BodySender) -> Self {
        CallerSender {
            start: Some(start),
            parts,
            event_stream: false,
        }
    }

    /// Sends the head or the problem.
    pub fn start(&mut self, start: AnswerStart) {
        if let AnswerStart::Head { content_type, .. } = &start {
            self.event_stream = content_type.starts_with("text/event-stream");
        }
        if let Some(sender) = self.start.take() {
            if sender.send(start).is_err() {
                log::debug!(target: "caller", "a caller left before its answer began");
            }
        }
    }

    /// Sends part of the body; false when the caller is gone or too slow.
    pub fn body(&mut self, bytes: Bytes) -> bool {
        let in_time = self.parts.pending_bytes() <= MAXIMUM_WAITING;
        in_time && self.parts.send(bytes).is_ok()
    }

    /// Ends the body.
    pub fn end(self) {
        if self.parts.end().is_err() {
            log::debug!(target: "caller", "a caller left before its answer ended");
        }
    }

    /// Ends a body that is not whole: an event stream with an error event, any
    /// other body by breaking the connection.
    pub fn cut(self, problem: &Problem) {
        if !self.event_stream {
            return;
        }
        let body = serde_json::to_string(problem).unwrap_or_default();
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        if self.parts.send(event).is_ok() {
            self.end();
        }
    }
}

/// Cancels the request when the caller goes away.
pub struct CallerGuard {
    traffic: Traffic,
    shared: Arc<Shared>,
    request: RequestId,
}

impl CallerGuard {
    /// A guard for a request.
    pub fn new(traffic: Traffic, shared: Arc<Shared>, request: RequestId) -> Self {
        shared.open_caller();
        CallerGuard {
            traffic,
            shared,
            request,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shared.close_caller();
        self.traffic.caller_left(self.request);
    }
}

/// The reply to a caller, with its body still to come.
pub fn reply(
    name: &str,
    request: RequestId,
    start: AnswerStart,
    parts: BodyReceiver,
    guard: CallerGuard,
) -> Response<BoxBody> {
    let decision = format!("{name}.{request}");
    match start {
        AnswerStart::Problem(problem) => {
            let mut reply = problem_response(&problem);
            add_identity(&mut reply, request, &decision);
            reply
        }
        AnswerStart::Head {
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

fn add_identity(reply: &mut Response<BoxBody>, request: RequestId, decision: &str) {
    use actix_http::header::{HeaderName, HeaderValue};
    let entries = [
        ("stacktack-request", request.to_string()),
        ("stacktack-decision", decision.to_string()),
    ];
    for (name, value) in entries {
        if let Ok(value) = HeaderValue::from_str(&value) {
            reply
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
}
