//! Answers that their callers do not read: they end with the time of their request.
//!
//! An answer that is passed on as it comes is asked for its next bytes only when its caller has read
//! those before. While a caller reads nothing, nothing else sees that the time is over, and the answer
//! would hold its connection, its back end and its memory for as long as the caller likes.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::Response;
use stacktack_core::time::Time;
use tokio::sync::Notify;

use crate::response_body::{ResponseBody, ResponseError};
use crate::router::Router;

/// Time after the limit of an answer in which it ends by itself while its caller reads.
const SLACK: Duration = Duration::from_millis(200);

/// When an answer that is passed on as it comes has to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseDeadline(pub Time);

/// The answer of one connection that is passed on as it comes, if there is one.
#[derive(Debug, Default)]
pub(crate) struct DeadlineTracker {
    limit: Cell<Option<Time>>,
    changed: Notify,
}

impl DeadlineTracker {
    /// Follows an answer until all of it was taken, or it broke off.
    pub fn track(self: &Rc<Self>, response: Response<ResponseBody>) -> Response<TrackedBody> {
        let limit = response.extensions().get::<ResponseDeadline>().copied();
        let end = limit.map(|ResponseDeadline(limit)| {
            self.set(Some(limit));
            AnswerEnd(self.clone())
        });
        response.map(|body| TrackedBody { body, _end: end })
    }

    fn set(&self, limit: Option<Time>) {
        self.limit.set(limit);
        self.changed.notify_one();
    }

    /// Resolves when an answer is under way whose time is over.
    pub async fn overdue(&self, router: &Router) {
        loop {
            let Some(limit) = self.limit.get() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = router.sleep_until(limit + SLACK) => return,
                () = self.changed.notified() => {}
            }
        }
    }
}

/// Ends the following of an answer.
struct AnswerEnd(Rc<DeadlineTracker>);

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

/// Body of an answer that is followed.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    _end: Option<AnswerEnd>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
