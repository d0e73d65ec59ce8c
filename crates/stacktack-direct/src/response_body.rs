//! Bodies of responses on their way to callers: complete ones, and streams.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::StatusCode;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::request::events::ResumePoint;
use stacktack_core::response_framing::ResponseFraming;
use thiserror::Error;
use tokio::time::{sleep, Instant, Sleep};

use crate::attempt::Attempt;
use crate::attempt_timeout::ResponseProgress;
use crate::exchange::{Exchange, Outcome};
use crate::memory::{Charge, KeptBytes, ResponseAccount};
use crate::response_events::ResponseEvents;

/// Part of the time for which a caller waits for the next event after which a resumable stream without
/// bytes is resumed at another back end, if allowed; that one has the rest to send the event.
const STALL_DIVISOR: u32 = 3;

/// Why a response broke off midway; the caller's connection is closed.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The back end's response broke off.
    #[error("the back end's response broke off")]
    BrokenOff,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    DeadlineExceeded,
}

/// Body of a response.
pub enum ResponseBody {
    /// All bytes; `None` once they are taken.
    Full(Option<KeptBytes>),
    /// A stream in progress; its connection reads it ahead of its caller.
    Stream(Rc<RefCell<ResponseStream>>),
}

impl ResponseBody {
    /// A complete body, which is not charged to an account.
    pub fn full(bytes: Bytes) -> Self {
        ResponseBody::kept(KeptBytes::charged(bytes, None))
    }

    /// A complete body.
    pub fn kept(bytes: KeptBytes) -> Self {
        ResponseBody::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// A body that is streamed.
    pub fn stream(stream: ResponseStream) -> Self {
        ResponseBody::Stream(Rc::new(RefCell::new(stream)))
    }
}

impl Body for ResponseBody {
    type Data = KeptBytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<KeptBytes>, ResponseError>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Stream(stream) => stream.borrow_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, KeptBytes::len) as u64)
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

type ResumeResult = (Box<Exchange>, Option<(Incoming, Attempt)>);

enum StreamState {
    /// A back end is sending.
    Receiving {
        exchange: Box<Exchange>,
        incoming: Incoming,
        attempt: Attempt,
    },
    /// Another back end is asked to resume the stream.
    Resuming {
        resumed: LocalBoxFuture<'static, ResumeResult>,
        /// The attempt that stalled: it is continued if no other back end resumes the stream.
        stalled: Option<(Incoming, Attempt)>,
    },
    /// The stream is over.
    Ended,
}

/// A stream on its way to a caller.
pub struct ResponseStream {
    state: StreamState,
    /// Bytes that were buffered before streaming started; empty once they are taken.
    buffered: KeptBytes,
    events: ResponseEvents,
    /// Whether the current attempt has sent nothing of its body.
    is_attempt_empty: bool,
    status: StatusCode,
    deadline: LocalBoxFuture<'static, ()>,
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Time without bytes after which the stream has stalled.
    stall_timeout: Duration,
    read_ahead: ReadAhead,
}

/// What was read of a stream before its caller could take it.
struct ReadAhead {
    account: Option<Rc<ResponseAccount>>,
    bytes: BytesMut,
    charge: Option<Charge>,
    /// How the stream ended, if it has.
    end: Option<Result<(), ResponseError>>,
    /// Whether the connection waits for the stream, so that nothing has to be read ahead.
    is_awaited: bool,
}

enum StreamStep {
    Data(Bytes),
    End,
    Broken(AttemptFailure),
    DeadlineExceeded,
}

impl ResponseStream {
    /// A stream whose head has arrived.
    pub fn new(
        exchange: Box<Exchange>,
        buffered: KeptBytes,
        incoming: Incoming,
        attempt: Attempt,
        head: &response::Parts,
    ) -> Self {
        let events = ResponseEvents::of(head, exchange.route.kind);
        let is_resumable = events.is_resumable();
        let account = exchange.account.clone();
        if let Some(account) = &account {
            account.on_progress();
        }
        let stall_timeout = exchange.event_patience() / STALL_DIVISOR;
        let (router, end) = (exchange.router.clone(), exchange.deadline);
        let deadline = async move { router.sleep_until(end).await }.boxed_local();
        ResponseStream {
            state: StreamState::Receiving {
                exchange,
                incoming,
                attempt,
            },
            events,
            is_attempt_empty: buffered.is_empty(),
            buffered,
            status: head.status,
            deadline,
            stall_timer: is_resumable.then(|| Box::pin(sleep(stall_timeout))),
            stall_timeout,
            read_ahead: ReadAhead {
                account,
                bytes: BytesMut::new(),
                charge: None,
                end: None,
                is_awaited: false,
            },
        }
    }

    /// Length of the whole body, if the caller can be told it: where the stream has events, the router
    /// decides where it ends.
    pub fn announced_length(&self) -> Option<u64> {
        match &self.state {
            StreamState::Receiving { attempt, .. } if !self.events.is_event_stream() => {
                attempt.framing.length()
            }
            _ => None,
        }
    }

    /// Next bytes for the caller.
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<KeptBytes>, ResponseError>>> {
        self.read_ahead.is_awaited = false;
        if !self.read_ahead.bytes.is_empty() {
            let bytes = std::mem::take(&mut self.read_ahead.bytes).freeze();
            let bytes = KeptBytes::charged(bytes, self.read_ahead.charge.take());
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if !self.buffered.is_empty() && !self.events.is_event_stream() {
            let none = KeptBytes::charged(Bytes::new(), None);
            let buffered = std::mem::replace(&mut self.buffered, none);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if let Some(end) = self.read_ahead.end.take() {
            return Poll::Ready(end.err().map(Err));
        }
        let account = self.read_ahead.account.clone();
        let is_blocked =
            |account: &&Rc<ResponseAccount>| self.buffered.is_empty() && !account.may_keep_more();
        if let Some(account) = account.as_ref().filter(is_blocked) {
            account.wake_on_release(context.waker());
            // The back end is not read meanwhile, which is no stall.
            self.reset_stall_timer();
            return Poll::Pending;
        }
        let polled = self.poll_next(context);
        self.read_ahead.is_awaited = polled.is_pending();
        polled.map(|next| {
            next.map(|read| read.map(|bytes| Frame::data(KeptBytes::new(bytes, account.as_ref()))))
        })
    }

    /// Reads ahead of the caller as far as memory allows.
    pub(crate) fn poll_read_ahead(&mut self, context: &mut Context<'_>) {
        let Some(account) = self.read_ahead.account.clone() else {
            return;
        };
        while !self.read_ahead.is_awaited && self.read_ahead.end.is_none() {
            if !account.may_read_ahead() {
                account.wake_when_relieved(context.waker());
                return;
            }
            match self.poll_next(context) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(bytes))) => self.read_ahead.push(&bytes, &account),
                Poll::Ready(Some(Err(error))) => self.read_ahead.end = Some(Err(error)),
                Poll::Ready(None) => self.read_ahead.end = Some(Ok(())),
            }
        }
    }

    /// Next bytes from the back end.
    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseError>>> {
        loop {
            if let StreamState::Resuming { resumed, stalled } = &mut self.state {
                let (exchange, resumed) = match resumed.poll_unpin(context) {
                    Poll::Ready(resumed) => resumed,
                    Poll::Pending => {
                        ready!(self.deadline.as_mut().poll(context));
                        self.state = StreamState::Ended;
                        return Poll::Ready(Some(Err(ResponseError::DeadlineExceeded)));
                    }
                };
                let stalled = stalled.take();
                if !self.continue_with(exchange, resumed, stalled) {
                    return Poll::Ready(Some(Err(ResponseError::BrokenOff)));
                }
            }
            match ready!(self.poll_step(context)) {
                StreamStep::Data(bytes) => {
                    let bytes = self.events.push(bytes);
                    if !bytes.is_empty() {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                }
                StreamStep::End => return Poll::Ready(self.complete()),
                StreamStep::Broken(failure) => {
                    if !self.try_resume(failure) {
                        return Poll::Ready(Some(Err(ResponseError::BrokenOff)));
                    }
                }
                StreamStep::DeadlineExceeded => {
                    self.finish(Outcome::BrokenOff);
                    return Poll::Ready(Some(Err(ResponseError::DeadlineExceeded)));
                }
            }
        }
    }

    /// Continues with the attempt that resumes the stream, else with the one that stalled; false
    /// if there is neither.
    fn continue_with(
        &mut self,
        mut exchange: Box<Exchange>,
        resumed: Option<(Incoming, Attempt)>,
        stalled: Option<(Incoming, Attempt)>,
    ) -> bool {
        if resumed.is_some() {
            self.is_attempt_empty = true;
            self.events.on_resumed();
        }
        if let (None, Some((_, attempt))) = (&resumed, &stalled) {
            exchange.log_awaited_again(&attempt.back_end);
        }
        let Some((incoming, attempt)) = resumed.or(stalled) else {
            exchange.outcome = Outcome::BrokenOff;
            self.state = StreamState::Ended;
            return false;
        };
        self.state = StreamState::Receiving {
            exchange,
            incoming,
            attempt,
        };
        self.reset_stall_timer();
        true
    }

    fn poll_step(&mut self, context: &mut Context<'_>) -> Poll<StreamStep> {
        if !self.buffered.is_empty() {
            let none = KeptBytes::charged(Bytes::new(), None);
            let buffered = std::mem::replace(&mut self.buffered, none);
            return Poll::Ready(StreamStep::Data(buffered.into_bytes()));
        }
        let StreamState::Receiving {
            exchange,
            incoming,
            attempt,
        } = &mut self.state
        else {
            return Poll::Ready(StreamStep::End);
        };
        match Pin::new(&mut *incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                attempt.on_bytes();
                if incoming.is_end_stream() {
                    if let Err(failure) = attempt.check_length() {
                        return Poll::Ready(StreamStep::Broken(failure));
                    }
                }
                self.reset_stall_timer();
                let bytes = frame.into_data().unwrap_or_default();
                self.is_attempt_empty &= bytes.is_empty();
                return Poll::Ready(StreamStep::Data(bytes));
            }
            Poll::Ready(Some(Err(_))) => {
                return Poll::Ready(StreamStep::Broken(AttemptFailure::Broken))
            }
            Poll::Ready(None) => {
                return Poll::Ready(if self.is_cut_off() {
                    StreamStep::Broken(AttemptFailure::Broken)
                } else {
                    StreamStep::End
                });
            }
            Poll::Pending => {}
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(StreamStep::DeadlineExceeded);
        }
        if let Some(stall_timer) = &mut self.stall_timer {
            while stall_timer.as_mut().poll(context).is_ready() {
                if self.events.is_resumable()
                    && exchange.try_abandon_attempt(ResponseProgress::Started)
                {
                    return Poll::Ready(StreamStep::Broken(AttemptFailure::TimedOut));
                }
                stall_timer
                    .as_mut()
                    .reset(Instant::now() + self.stall_timeout);
            }
        }
        Poll::Pending
    }

    /// Whether a response that has ended as its framing says was cut off: inside an event, or before
    /// its first one where the end of the connection is all that marks the end.
    fn is_cut_off(&self) -> bool {
        let StreamState::Receiving {
            exchange, attempt, ..
        } = &self.state
        else {
            return false;
        };
        let is_inside_event = self.events.is_inside_event();
        let ends_with_connection =
            self.events.is_event_stream() && attempt.framing == ResponseFraming::Close;
        if is_inside_event || ends_with_connection {
            log::info!(
                target: "attempt",
                "id={} back_end={} stream_end={} inside_event={is_inside_event} empty={}",
                exchange.id,
                attempt.back_end,
                attempt.framing.as_str(),
                self.is_attempt_empty,
            );
        }
        is_inside_event || (ends_with_connection && self.is_attempt_empty)
    }

    fn reset_stall_timer(&mut self) {
        if let Some(stall_timer) = &mut self.stall_timer {
            stall_timer
                .as_mut()
                .reset(Instant::now() + self.stall_timeout);
        }
    }

    /// Records the failure of the attempt and starts to resume the stream at another back end;
    /// false if the stream is not resumable.
    fn try_resume(&mut self, failure: AttemptFailure) -> bool {
        let StreamState::Receiving {
            mut exchange,
            incoming,
            attempt,
        } = std::mem::replace(&mut self.state, StreamState::Ended)
        else {
            return false;
        };
        let is_stalled = failure == AttemptFailure::TimedOut;
        if is_stalled {
            attempt.on_unreachable();
        } else {
            attempt.on_failure();
        }
        exchange.crash_probe = exchange.record_interrupted_run(&attempt, failure);
        let stalled = is_stalled.then_some((incoming, attempt));
        let after = match self.events.resume_point() {
            ResumePoint::Start => None,
            ResumePoint::After(id) => Some(id.clone()),
            ResumePoint::Nowhere => {
                exchange.record_failure(failure, "-");
                exchange.outcome = Outcome::BrokenOff;
                return false;
            }
        };
        let resumed = async move {
            let resumed = exchange.resume(after.as_deref(), failure).await;
            (exchange, resumed)
        };
        self.state = StreamState::Resuming {
            resumed: resumed.boxed_local(),
            stalled,
        };
        true
    }

    fn complete(&mut self) -> Option<Result<Bytes, ResponseError>> {
        let status = self.status.as_u16();
        self.finish(Outcome::Answered(status));
        None
    }

    fn finish(&mut self, outcome: Outcome) {
        if let StreamState::Receiving {
            mut exchange,
            attempt,
            ..
        } = std::mem::replace(&mut self.state, StreamState::Ended)
        {
            exchange.outcome = outcome;
            if matches!(outcome, Outcome::Answered(_)) {
                exchange.on_successful_run(&attempt, self.status);
                attempt.on_complete();
                attempt.finish();
            }
        }
    }
}

impl ReadAhead {
    fn push(&mut self, bytes: &[u8], account: &Rc<ResponseAccount>) {
        self.bytes.extend_from_slice(bytes);
        let capacity = self.bytes.capacity();
        match &mut self.charge {
            Some(charge) => charge.resize(capacity),
            None => self.charge = Some(account.charge(capacity)),
        }
    }
}
