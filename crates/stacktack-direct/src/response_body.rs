//! Bodies on their way to callers: whole ones, and those still coming.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::request::events::EventSplitter;
use stacktack_core::direct::traffic::route::RouteKind;
use thiserror::Error;
use tokio::time::{sleep_until, Instant, Sleep};

use crate::attempt::Attempt;
use crate::attempt_timeout::ResponseProgress;
use crate::exchange::{Exchange, Outcome};

/// Time without bytes after which a resumable stream is continued elsewhere, if it may be.
const STALL: Duration = Duration::from_millis(800);

/// Why an answer broke off midway; the caller's connection is closed.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The back end's answer broke off.
    #[error("the back end's answer broke off")]
    BrokenOff,
    /// The time that the request had is over.
    #[error("the time that the request had is over")]
    TimeOver,
}

/// Body of an answer.
pub enum ResponseBody {
    /// All bytes are here; `None` once they are taken.
    Whole(Option<Bytes>),
    /// A stream under way.
    Stream(Box<ResponseStream>),
}

impl ResponseBody {
    /// A body of bytes.
    pub fn whole(bytes: Bytes) -> Self {
        ResponseBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// A stream under way.
    pub fn stream(stream: ResponseStream) -> Self {
        ResponseBody::Stream(Box::new(stream))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        match &mut *self {
            ResponseBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Stream(stream) => stream.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

type Resumed = (Box<Exchange>, Option<(Incoming, Attempt)>);

enum Source {
    /// A back end is sending.
    Sending {
        exchange: Box<Exchange>,
        incoming: Incoming,
        attempt: Attempt,
    },
    /// Another back end is asked to continue.
    Resuming {
        resumed: LocalBoxFuture<'static, Resumed>,
        /// The attempt that fell silent: it goes on if nobody else continues.
        silent: Option<(Incoming, Attempt)>,
    },
    /// Nothing more comes.
    Ended,
}

/// A stream on its way to a caller.
pub struct ResponseStream {
    source: Source,
    /// Bytes that came before the stream began; empty once they are taken.
    begun: Bytes,
    /// Cuts resumable streams into whole events.
    splitter: Option<EventSplitter>,
    status: u16,
    deadline: LocalBoxFuture<'static, ()>,
    stall: Option<Pin<Box<Sleep>>>,
}

enum Step {
    Data(Bytes),
    End,
    Broken(AttemptFailure),
    TimeOver,
}

impl ResponseStream {
    /// A stream whose head is there.
    pub fn new(
        exchange: Box<Exchange>,
        begun: Bytes,
        incoming: Incoming,
        attempt: Attempt,
        status: u16,
    ) -> Self {
        let resumable = exchange.route.kind == RouteKind::ResumableStream;
        let (router, end) = (exchange.router.clone(), exchange.deadline);
        let deadline = async move { router.sleep_until(end).await }.boxed_local();
        ResponseStream {
            source: Source::Sending {
                exchange,
                incoming,
                attempt,
            },
            begun,
            splitter: resumable.then(EventSplitter::default),
            status,
            deadline,
            stall: resumable.then(|| Box::pin(sleep_until(next_stall()))),
        }
    }

    /// Whether another back end may continue the stream.
    pub fn is_resumable(&self) -> bool {
        self.splitter.is_some()
    }

    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        loop {
            if let Source::Resuming { resumed, silent } = &mut self.source {
                let (exchange, resumed) = match resumed.poll_unpin(context) {
                    Poll::Ready(resumed) => resumed,
                    Poll::Pending => {
                        ready!(self.deadline.as_mut().poll(context));
                        self.source = Source::Ended;
                        return Poll::Ready(Some(Err(ResponseError::TimeOver)));
                    }
                };
                let silent = silent.take();
                if !self.go_on(exchange, resumed, silent) {
                    return Poll::Ready(Some(Err(ResponseError::BrokenOff)));
                }
            }
            match ready!(self.poll_step(context)) {
                Step::Data(bytes) => {
                    let bytes = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => bytes,
                    };
                    if !bytes.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(bytes))));
                    }
                }
                Step::End => return Poll::Ready(self.end()),
                Step::Broken(failure) => {
                    if !self.try_resume(failure) {
                        return Poll::Ready(Some(Err(ResponseError::BrokenOff)));
                    }
                }
                Step::TimeOver => {
                    self.finish(Outcome::BrokenOff);
                    return Poll::Ready(Some(Err(ResponseError::TimeOver)));
                }
            }
        }
    }

    /// Goes on with the attempt that continues the stream, else with the one that fell silent; false if
    /// there is neither.
    fn go_on(
        &mut self,
        mut exchange: Box<Exchange>,
        resumed: Option<(Incoming, Attempt)>,
        silent: Option<(Incoming, Attempt)>,
    ) -> bool {
        if let (Some(splitter), Some(_)) = (&mut self.splitter, &resumed) {
            splitter.discard();
        }
        if let (None, Some((_, attempt))) = (&resumed, &silent) {
            exchange.note_awaited_again(&attempt.back_end);
        }
        let Some((incoming, attempt)) = resumed.or(silent) else {
            exchange.outcome = Outcome::BrokenOff;
            self.source = Source::Ended;
            return false;
        };
        self.source = Source::Sending {
            exchange,
            incoming,
            attempt,
        };
        self.reset_stall();
        true
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        if !self.begun.is_empty() {
            return Poll::Ready(Step::Data(std::mem::take(&mut self.begun)));
        }
        let Source::Sending {
            exchange,
            incoming,
            attempt,
        } = &mut self.source
        else {
            return Poll::Ready(Step::End);
        };
        match Pin::new(incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                attempt.on_bytes();
                self.reset_stall();
                let bytes = frame.into_data().unwrap_or_default();
                return Poll::Ready(Step::Data(bytes));
            }
            Poll::Ready(Some(Err(_))) => return Poll::Ready(Step::Broken(AttemptFailure::Broken)),
            Poll::Ready(None) => {
                let torn = self
                    .splitter
                    .as_ref()
                    .is_some_and(EventSplitter::has_partial_event);
                return Poll::Ready(if torn {
                    Step::Broken(AttemptFailure::Broken)
                } else {
                    Step::End
                });
            }
            Poll::Pending => {}
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Step::TimeOver);
        }
        if let Some(stall) = &mut self.stall {
            while stall.as_mut().poll(context).is_ready() {
                if exchange.leaves_silent_attempt(ResponseProgress::Begun) {
                    return Poll::Ready(Step::Broken(AttemptFailure::TimedOut));
                }
                stall.as_mut().reset(next_stall());
            }
        }
        Poll::Pending
    }

    fn reset_stall(&mut self) {
        if let Some(stall) = &mut self.stall {
            stall.as_mut().reset(next_stall());
        }
    }

    /// Continues elsewhere; false if that is not allowed.
    fn try_resume(&mut self, failure: AttemptFailure) -> bool {
        let Source::Sending {
            mut exchange,
            incoming,
            attempt,
        } = std::mem::replace(&mut self.source, Source::Ended)
        else {
            return false;
        };
        let is_silent = failure == AttemptFailure::TimedOut;
        if is_silent {
            attempt.on_unreachable();
        } else {
            attempt.on_failure();
        }
        exchange.crash_probe = exchange.note_broken_run(&attempt, failure);
        let silent = is_silent.then_some((incoming, attempt));
        let Some(splitter) = &self.splitter else {
            exchange.note_failure(failure, "-");
            exchange.outcome = Outcome::BrokenOff;
            return false;
        };
        let after = splitter.last_id().map(str::to_owned);
        let resumed = async move {
            let resumed = exchange.resume(after.as_deref(), failure).await;
            (exchange, resumed)
        };
        self.source = Source::Resuming {
            resumed: resumed.boxed_local(),
            silent,
        };
        true
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, ResponseError>> {
        let status = self.status;
        self.finish(Outcome::Answered(status));
        None
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Source::Sending {
            mut exchange,
            attempt,
            ..
        } = std::mem::replace(&mut self.source, Source::Ended)
        {
            exchange.outcome = outcome;
            if matches!(outcome, Outcome::Answered(_)) {
                exchange.on_successful_run();
                attempt.on_whole();
                attempt.finish();
            }
        }
    }
}

/// When a stream that says nothing from now on is silent for too long.
fn next_stall() -> Instant {
    Instant::now() + STALL
}
