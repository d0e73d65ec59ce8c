//! Ends streamed responses that their callers do not read at the deadline of the request, and reads
//! them ahead of their callers until then.
//!
//! A streamed response is polled for its next bytes only when its caller has read the previous
//! ones. While a caller reads nothing, nothing else notices that the deadline has passed, and the
//! response would hold its connection, its back end and its memory for as long as the caller likes.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use http_body::{Body, Frame, SizeHint};
use hyper::{Response, Version};
use stacktack_core::time::Time;
use tokio::sync::Notify;

use crate::caller_stream::ResponseEnd;
use crate::memory::KeptBytes;
use crate::response_body::{ResponseBody, ResponseError, ResponseStream};
use crate::router::Router;

/// Time after the deadline within which a response ends by itself if its caller reads it.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);

/// When a streamed response has to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDeadline(pub Time);

/// The response that a connection streams, if there is one.
#[derive(Default)]
pub(crate) struct DeadlineTracker {
    deadline: Cell<Option<Time>>,
    changed: Notify,
    stream: RefCell<Weak<RefCell<ResponseStream>>>,
    /// Whether the end of the connection would be that of the response.
    pub end: Rc<ResponseEnd>,
}

impl DeadlineTracker {
    /// Tracks a response until its body is dropped: read completely, or broken off.
    /// `caller` is the version of HTTP that the caller speaks.
    pub fn track(
        self: &Rc<Self>,
        response: Response<ResponseBody>,
        caller: Version,
    ) -> Response<TrackedBody> {
        let ends_with_connection =
            caller < Version::HTTP_11 && response.size_hint().exact().is_none();
        let end = ends_with_connection.then(|| self.end.clone());
        if let Some(end) = &end {
            end.on_start();
        }
        let deadline = response.extensions().get::<ResponseDeadline>().copied();
        if let ResponseBody::Stream(stream) = response.body() {
            self.stream.replace(Rc::downgrade(stream));
        }
        let guard = deadline.map(|ResponseDeadline(deadline)| {
            self.set(Some(deadline));
            TrackingGuard(self.clone())
        });
        response.map(|body| TrackedBody {
            body,
            end,
            _guard: guard,
        })
    }

    fn set(&self, deadline: Option<Time>) {
        self.deadline.set(deadline);
        self.changed.notify_one();
    }

    /// Reads the response ahead of its caller.
    pub async fn read_ahead(&self) -> Infallible {
        poll_fn(|context| {
            let stream = self.stream.borrow().upgrade();
            if let Some(stream) = stream {
                stream.borrow_mut().poll_read_ahead(context);
            }
            Poll::Pending
        })
        .await
    }

    /// Resolves when a response is in progress whose deadline has passed.
    pub async fn overdue(&self, router: &Router) {
        loop {
            let Some(deadline) = self.deadline.get() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = router.sleep_until(deadline + DEADLINE_SLACK) => return,
                () = self.changed.notified() => {}
            }
        }
    }
}

/// Ends the tracking of a response when dropped.
struct TrackingGuard(Rc<DeadlineTracker>);

impl Drop for TrackingGuard {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

/// Body of a tracked response.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    /// Told when the body is complete; `None` if the response does not end with its connection.
    end: Option<Rc<ResponseEnd>>,
    _guard: Option<TrackingGuard>,
}

impl Body for TrackedBody {
    type Data = KeptBytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<KeptBytes>, ResponseError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let (None, Some(end)) = (&frame, &self.end) {
            end.on_complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
