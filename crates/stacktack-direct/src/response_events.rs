//! Events of a streamed response: which bytes may go to the caller, and whether the response may
//! end where it is.

use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use stacktack_core::direct::request::events::{EventScanner, EventSplitter, ResumePoint};
use stacktack_core::direct::traffic::route::RouteKind;

const EVENT_STREAM: &str = "text/event-stream";

/// What is known of the events of a response.
pub enum ResponseEvents {
    /// The response is no event stream.
    None,
    /// Bytes pass on as they arrive.
    Watched(EventScanner),
    /// Whole events pass on, so that another back end may resume the stream.
    Split(EventSplitter),
}

impl ResponseEvents {
    /// Events of a response on a route of this kind.
    pub fn of(head: &response::Parts, kind: RouteKind) -> Self {
        if !head.status.is_success() || !may_be_event_stream(head) {
            return ResponseEvents::None;
        }
        match kind {
            RouteKind::ResumableStream => ResponseEvents::Split(EventSplitter::default()),
            RouteKind::Stream => ResponseEvents::Watched(EventScanner::default()),
            RouteKind::Repeatable | RouteKind::Once => ResponseEvents::None,
        }
    }

    /// Adds bytes from the back end and returns those that may pass on.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        match self {
            ResponseEvents::None => bytes,
            ResponseEvents::Watched(scanner) => {
                scanner.scan(&bytes);
                bytes
            }
            ResponseEvents::Split(splitter) => splitter.push(&bytes),
        }
    }

    /// Whether the response would end inside an event if it ended now.
    pub fn is_inside_event(&self) -> bool {
        match self {
            ResponseEvents::None => false,
            ResponseEvents::Watched(scanner) => scanner.is_inside_event(),
            ResponseEvents::Split(splitter) => splitter.is_inside_event(),
        }
    }

    /// Whether the response is an event stream.
    pub fn is_event_stream(&self) -> bool {
        !matches!(self, ResponseEvents::None)
    }

    /// Where another back end may resume the stream.
    pub fn resume_point(&self) -> &ResumePoint {
        match self {
            ResponseEvents::Split(splitter) => splitter.resume_point(),
            _ => &ResumePoint::Nowhere,
        }
    }

    /// Whether another back end may resume the stream.
    pub fn is_resumable(&self) -> bool {
        *self.resume_point() != ResumePoint::Nowhere
    }

    /// Drops what has arrived of an event that another back end sends anew.
    pub fn on_resumed(&mut self) {
        if let ResponseEvents::Split(splitter) = self {
            splitter.discard();
        }
    }
}

/// Whether a response on a route of streams has events: it names their type, or none.
fn may_be_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_none_or(|value| {
        let media_type = value.split(';').next().unwrap_or_default().trim();
        media_type.eq_ignore_ascii_case(EVENT_STREAM)
    })
}
