//! One caller's request, from its head to the head of its answer.

use std::cell::OnceCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request;
use hyper::Response;
use stacktack_core::configuration::selector::Requirement;
use stacktack_core::direct::quarantine::digest::RequestDigest;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::request::attempt::{AttemptFailure, AttemptHistory};
use stacktack_core::direct::request::run_times::RunId;
use stacktack_core::direct::traffic::route::{Route, Tenant};
use stacktack_core::time::Time;

use crate::attempt::{Attempt, AttemptOutcome, FailedResponse};
use crate::crash_detection::CrashProbeDone;
use crate::ports::{CallerRequest, RefusalKind};
use crate::response_buffering::ForwardedResponse;
use crate::router::{Phase, Router};

/// How a request ended, for its log line and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not over yet; at its end this means that the caller left.
    Open,
    /// A back end's answer was passed on whole.
    Answered(u16),
    /// The router answered itself.
    Refused(RefusalKind),
    /// The answer broke off midway.
    BrokenOff,
    /// The process ended before the answer did.
    CutByStop,
}

impl Outcome {
    fn word(self) -> &'static str {
        match self {
            Outcome::Open => "caller_left",
            Outcome::CutByStop => "cut_by_stop",
            Outcome::Answered(_) => "answered",
            Outcome::Refused(kind) => kind.as_str(),
            Outcome::BrokenOff => "broken_off",
        }
    }
}

/// What can go to the caller.
pub(crate) enum ExchangeResult {
    /// A back end's answer, and the attempt that it came from.
    Answer(ForwardedResponse, Box<Attempt>),
    /// A back end's failure: nobody gave a better answer.
    FailedAnswer(FailedResponse),
    /// Nobody gave an answer.
    Refused(RefusalKind),
}

/// One caller's request.
pub struct Exchange {
    pub(crate) router: Rc<Router>,
    pub(crate) route: Arc<Route>,
    pub(crate) target: usize,
    pub(crate) id: String,
    pub(crate) tenant: Option<Arc<Tenant>>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: CallerRequest,
    pub(crate) version: u64,
    pub(crate) started: Time,
    /// Its entry in the run times of its route.
    pub(crate) run: RunId,
    /// Whether it is one of [`Router::admitted_after_deregistration`].
    pub(crate) admitted_after_deregistration: bool,
    /// When it is over.
    pub(crate) deadline: Time,
    /// Which request it is; worked out when it first matters.
    pub(crate) digest: OnceCell<RequestDigest>,
    pub(crate) history: AttemptHistory,
    /// The look at whether the last attempt's back end ended.
    pub(crate) crash_probe: Option<CrashProbeDone>,
    /// Whether an attempt is under way that may run.
    pub(crate) attempt_in_flight: bool,
    /// Whether the retry budget granted a repeat that was not written anywhere yet.
    pub(crate) is_retry_granted: bool,
    pub(crate) tried: Vec<String>,
    /// Whether its pool took it.
    pub(crate) admitted: bool,
    /// Whether its caller came back after a refusal, as far as its patience tells.
    pub(crate) has_returned: bool,
    /// Whether it got no further attempt since the process ends too soon.
    pub(crate) no_time_before_stop: bool,
    /// After what time the caller may come back, once its pool had no room.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) outcome: Outcome,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.router
            .requests_in_flight
            .set(self.router.requests_in_flight.get() - 1);
        if self.admitted_after_deregistration {
            let left = self.router.admitted_after_deregistration.get() - 1;
            self.router.admitted_after_deregistration.set(left);
        }
        if self.outcome == Outcome::Open && *self.router.phase.borrow() == Phase::Ended {
            self.outcome = Outcome::CutByStop;
        }
        let ran = !matches!(self.outcome, Outcome::Refused(kind) if kind.proves_not_run());
        self.router.end_run(&self.route.name, self.run, ran);
        let seconds = self.elapsed().as_secs_f64();
        self.router
            .metrics
            .count_request(self.outcome.word(), seconds);
        if self.has_returned {
            self.router
                .metrics
                .count_returning_caller(self.outcome.word());
        }
        let status = match self.outcome {
            Outcome::Answered(status) => status,
            _ => 0,
        };
        log::info!(
            target: "request",
            "id={} route={} tenant={} config={} back_ends={} sends={} unreached={} patience_ms={} returned={} outcome={} status={} ms={:.0}",
            self.id,
            self.route.name,
            self.tenant.as_ref().map_or("-", |tenant| tenant.name.as_str()),
            self.version,
            self.tried.join(","),
            self.history.sends,
            self.history.unreached,
            self.caller.timeout.map_or(0, |patience| patience.as_millis()),
            self.has_returned,
            self.outcome.word(),
            status,
            seconds * 1000.0,
        );
    }
}

impl Exchange {
    /// Conditions on the back ends that may serve the request.
    pub(crate) fn pool(&self) -> &[Requirement] {
        &self.route.targets[self.target].back_ends
    }

    /// Time since it came.
    pub(crate) fn elapsed(&self) -> Duration {
        self.router.now().since(self.started)
    }

    /// Time that it has left.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(self.router.now())
    }

    /// Rank among requests to the same pool; a tenant's goes before its route's.
    pub(crate) fn priority(&self) -> u8 {
        let tenant = self.tenant.as_deref();
        tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(self.route.priority)
    }

    /// Sends the request until an answer can go to the caller.
    pub(crate) async fn run(&mut self) -> ExchangeResult {
        let limit = self.deadline;
        let verdict = self.verdict();
        let router = self.router.clone();
        let ended = tokio::select! {
            biased;
            ended = self.attempts() => Some(ended),
            () = router.until_response_due(limit) => None,
            () = verdict => return ExchangeResult::Refused(self.refusal_kind()),
        };
        match ended {
            Some(Ok((answer, attempt))) => ExchangeResult::Answer(answer, Box::new(attempt)),
            Some(Err(Some(last))) => ExchangeResult::FailedAnswer(last),
            Some(Err(None)) => ExchangeResult::Refused(self.refusal_kind()),
            None if self.attempt_in_flight || self.history.may_have_run => {
                ExchangeResult::Refused(RefusalKind::DeadlineExceeded)
            }
            None if router.now() < limit => ExchangeResult::Refused(RefusalKind::Stopping),
            None => ExchangeResult::Refused(RefusalKind::NoBackEnd),
        }
    }

    /// Resolves when the request is set aside: a run that waits in a back end's queue is
    /// withdrawn before it begins. Does not look while nothing speaks against any request.
    fn verdict(&self) -> impl Future<Output = ()> {
        let is_empty = self.router.quarantine.borrow().is_empty();
        let watched = (!is_empty).then(|| (self.router.clone(), self.digest()));
        async move {
            match watched {
                Some((router, digest)) => router.until_set_aside(digest).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Attempts until one gives an answer; else the last failed answer.
    async fn attempts(&mut self) -> Result<(ForwardedResponse, Attempt), Option<FailedResponse>> {
        let mut stored = None;
        loop {
            match self.attempt(None).await {
                AttemptOutcome::Answer(response, attempt) => {
                    match self.hold(response, attempt).await {
                        Ok(answer) => return Ok(answer),
                        Err(failure) => self.note_failure(failure, "-"),
                    }
                }
                AttemptOutcome::Failure(failure, answer) => {
                    self.note_failure(failure, "-");
                    stored = answer.or(stored);
                }
                AttemptOutcome::NoBackEnd | AttemptOutcome::NoRoom => return Err(stored),
            }
            if !self.has_time_for_another() || !self.may_try_again().await {
                return Err(stored);
            }
        }
    }

    /// Whether the answer to another attempt has time to become whole before the process ends.
    pub(crate) fn has_time_for_another(&mut self) -> bool {
        self.no_time_before_stop = !self.router.has_time_for_retry(&self.route, self.deadline);
        if self.no_time_before_stop {
            log::info!(target: "stop", "id={} another_attempt=false sends={}", self.id, self.history.sends);
        }
        !self.no_time_before_stop
    }

    /// Counts and logs an attempt that failed.
    pub(crate) fn note_failure(&mut self, failure: AttemptFailure, after: &str) {
        self.attempt_in_flight = false;
        self.history.record(failure);
        self.router.metrics.count_attempt(failure.as_str());
        log::info!(
            target: "attempt",
            "id={} back_end={} end={} after_event={} sends={} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            failure.as_str(),
            after,
            self.history.sends,
            self.elapsed().as_millis(),
        );
    }

    /// Whether history and budget allow one more send. A suspect that arrived gets none: repeats
    /// are earned by all, and one more run of it may end one more back end.
    async fn may_try_again(&mut self) -> bool {
        if !self
            .history
            .may_send_again(self.route.kind, self.route.max_attempts)
        {
            return false;
        }
        if let Some(look) = self.crash_probe.take() {
            // Whether its back end ended counts for how it is treated. A refused connection took 3 ms
            // between zones of a region.
            look.await;
        }
        if self.history.has_arrived() && self.treatment() >= Treatment::Probation {
            return false;
        }
        if !self.history.has_arrived() {
            return true;
        }
        if !self.is_retry_granted {
            self.is_retry_granted = self.router.take_retry(&self.id, self.pool());
        }
        self.is_retry_granted
    }

    /// Streams are passed on at once, other answers when they are whole.
    async fn hold(
        &mut self,
        response: Response<Incoming>,
        attempt: Attempt,
    ) -> Result<(ForwardedResponse, Attempt), AttemptFailure> {
        if self.route.kind.is_stream() && response.status().is_success() {
            return Ok((ForwardedResponse::coming(response), attempt));
        }
        match ForwardedResponse::read(response, &attempt).await {
            Ok(answer) => Ok((answer, attempt)),
            Err(failure) => {
                attempt.on_failure();
                self.crash_probe = self.note_broken_run(&attempt, failure);
                Err(failure)
            }
        }
    }

    /// Why nobody gave an answer.
    fn refusal_kind(&self) -> RefusalKind {
        if self.history.may_have_run && self.remaining().is_zero() {
            RefusalKind::DeadlineExceeded
        } else if self.history.may_have_run || self.attempt_in_flight {
            RefusalKind::Lost
        } else if self.no_time_before_stop {
            RefusalKind::Stopping
        } else if self.treatment() == Treatment::SetAside {
            RefusalKind::SetAside
        } else if self.treatment() == Treatment::Probation {
            RefusalKind::OnProbation
        } else if self.retry_after.is_some() {
            RefusalKind::Busy
        } else if self.history.sends > 0 {
            RefusalKind::Rejected
        } else if self.router.is_pool_drained(self.pool()) {
            RefusalKind::Drained
        } else {
            RefusalKind::NoBackEnd
        }
    }

    /// Continues a stream at another back end after an event; `None` when the
    /// request is not sent again.
    pub(crate) async fn resume(
        &mut self,
        after: Option<&str>,
        failure: AttemptFailure,
    ) -> Option<(Incoming, Attempt)> {
        let mut failure = failure;
        loop {
            self.note_failure(failure, after.unwrap_or("-"));
            if !self.may_try_again().await {
                return None;
            }
            match self.attempt(after).await {
                AttemptOutcome::Answer(response, attempt) if response.status().is_success() => {
                    return Some((response.into_body(), attempt));
                }
                AttemptOutcome::Answer(..) => failure = AttemptFailure::Failed,
                AttemptOutcome::Failure(next, _) => failure = next,
                AttemptOutcome::NoBackEnd | AttemptOutcome::NoRoom => return None,
            }
        }
    }
}
