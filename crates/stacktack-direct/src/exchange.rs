//! One caller's request, from its head to the head of its response.

use std::cell::OnceCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::request;
use hyper::Response;
use stacktack_core::configuration::selector::Requirement;
use stacktack_core::direct::admission::contention::prediction_error::Expectation;
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::quarantine::digest::SuspectDigest;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::suspects::SuspectPart;
use stacktack_core::direct::request::attempt::{AttemptFailure, AttemptHistory};
use stacktack_core::direct::request::budget::ReservedPermit;
use stacktack_core::direct::request::run_times::RunId;
use stacktack_core::direct::stream_versions::software_version::SoftwareVersion;
use stacktack_core::direct::traffic::route::{Route, RouteKind, Tenant};
use stacktack_core::time::Time;

use crate::attempt::{Attempt, AttemptOutcome, FailedResponse};
use crate::choice::Choice;
use crate::crash_detection::CrashProbeDone;
use crate::memory::ResponseAccount;
use crate::ports::{CallerRequest, RefusalKind};
use crate::request_body::RequestBody;
use crate::response_buffering::ForwardedResponse;
use crate::router::{pool_name, Phase, Router};

/// Outcome of a request, for its log line and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not ended; when the exchange is dropped, the caller has left.
    Open,
    /// A back end's complete response was passed on, with this status.
    Answered(u16),
    /// The router responded itself.
    Refused(RefusalKind),
    /// The response broke off midway.
    BrokenOff,
    /// The process ended before the response did.
    CutByStop,
}

impl Outcome {
    fn as_str(self) -> &'static str {
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
    /// A back end's response, and the attempt that it came from.
    Response(ForwardedResponse, Box<Attempt>),
    /// A back end's error response; no attempt got a better one.
    FailedResponse(FailedResponse),
    /// No back end responded.
    Refused(RefusalKind),
}

/// One caller's request.
pub struct Exchange {
    pub(crate) router: Rc<Router>,
    pub(crate) route: Arc<Route>,
    /// Index of the request's target in its route.
    pub(crate) target: usize,
    pub(crate) id: String,
    pub(crate) tenant: Option<Arc<Tenant>>,
    pub(crate) head: request::Parts,
    pub(crate) body: RequestBody,
    /// Account of what is kept of the response, if that is bounded.
    pub(crate) account: Option<Rc<ResponseAccount>>,
    pub(crate) caller: CallerRequest,
    /// Version of the configuration that the request is served by.
    pub(crate) version: u64,
    pub(crate) started: Time,
    /// Entry in the run times of the route.
    pub(crate) run: RunId,
    /// Whether the router admitted the request during its stop, after its deregistration.
    pub(crate) admitted_after_deregistration: bool,
    /// When the request has to be over.
    pub(crate) deadline: Time,
    /// Digest of the request; computed when first needed.
    pub(crate) digest: OnceCell<SuspectDigest>,
    /// Parts of the prompt that may be blamed for a crash; computed when first needed.
    pub(crate) suspect_parts: OnceCell<Rc<[SuspectPart]>>,
    pub(crate) history: AttemptHistory,
    /// Crash probe of the last attempt's back end, until it is awaited.
    pub(crate) crash_probe: Option<CrashProbeDone>,
    /// Whether the current attempt may run: its request may have been written.
    pub(crate) attempt_in_flight: bool,
    /// Whether the retry budget granted a retry that has not been written yet.
    pub(crate) is_retry_granted: bool,
    /// Permit for a retry, reserved while the current attempt is a trial of a back end in bad health.
    pub(crate) reserved_permit: Option<ReservedPermit>,
    /// Version of the back end that began the stream; `None` for any other request, and until the
    /// stream begins.
    pub(crate) began_at: Option<Rc<SoftwareVersion>>,
    /// Ids of the back ends that were tried, in order.
    pub(crate) tried: Vec<String>,
    /// Whether the pool admitted the request.
    pub(crate) admitted: bool,
    /// Hash by which the pool draws whom it admits; computed when first needed.
    pub(crate) admission_key: OnceCell<u64>,
    /// Whether the request got no further attempt because the process ends too soon.
    pub(crate) no_time_before_stop: bool,
    /// Time after which the caller may come back; set when its pool refused the request.
    pub(crate) retry_after: Option<Duration>,
    /// Whether all back ends that the request may go to want a pause.
    pub(crate) is_pool_paused: bool,
    /// Whether too many bytes were under way to a back end that was chosen.
    pub(crate) is_back_end_behind: bool,
    /// The attempt whose first event is awaited; `None` in pools that do not count work.
    pub(crate) expected_first_event: Option<Expectation>,
    pub(crate) outcome: Outcome,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.forget_expectation();
        self.release_reserved_permit();
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
            .count_request(self.outcome.as_str(), seconds);
        let status = match self.outcome {
            Outcome::Answered(status) => status,
            _ => 0,
        };
        log::info!(
            target: "request",
            "id={} route={} tenant={} config={} back_ends={} sends={} unreached={} patience_ms={} outcome={} status={} ms={:.0}",
            self.id,
            self.route.name,
            self.tenant.as_ref().map_or("-", |tenant| tenant.name.as_str()),
            self.version,
            self.tried.join(","),
            self.history.sends,
            self.history.unreached,
            self.caller.timeout.map_or(0, |timeout| timeout.as_millis()),
            self.outcome.as_str(),
            status,
            seconds * 1000.0,
        );
    }
}

impl Exchange {
    /// Conditions that a back end must meet to serve the request.
    pub(crate) fn pool(&self) -> &[Requirement] {
        &self.route.targets[self.target].back_ends
    }

    /// Time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.router.now().since(self.started)
    }

    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(self.router.now())
    }

    /// Time for which the caller waits for the next event of a stream, or for its response.
    pub(crate) fn event_patience(&self) -> Duration {
        let (route, protocol) = (&self.route, &self.router.protocol);
        let is_stream = route.kind.is_stream();
        let patience = protocol.stream_patience(route.objective, route.event_gap);
        let timeout = self.deadline.since(self.started);
        patience.filter(|_| is_stream).unwrap_or(timeout)
    }

    /// Priority among requests to the same pool; a tenant's takes precedence over its route's.
    pub(crate) fn priority(&self) -> u8 {
        let tenant = self.tenant.as_deref();
        tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(self.route.priority)
    }

    /// Sends the request until a response can go to the caller.
    pub(crate) async fn run(&mut self) -> ExchangeResult {
        if !self.find_version().await {
            return ExchangeResult::Refused(RefusalKind::UnknownStream);
        }
        let deadline = self.deadline;
        let set_aside = self.until_set_aside();
        let router = self.router.clone();
        let result = tokio::select! {
            biased;
            result = self.run_attempts() => Some(result),
            () = router.until_response_due(deadline) => None,
            () = set_aside => return ExchangeResult::Refused(self.refusal_kind()),
        };
        match result {
            Some(Ok((response, attempt))) => ExchangeResult::Response(response, Box::new(attempt)),
            Some(Err(Some(failed))) => ExchangeResult::FailedResponse(failed),
            Some(Err(None)) => ExchangeResult::Refused(self.refusal_kind()),
            None if self.attempt_in_flight || self.history.may_have_run => {
                ExchangeResult::Refused(RefusalKind::DeadlineExceeded)
            }
            None if router.now() < deadline => ExchangeResult::Refused(RefusalKind::Stopping),
            None => ExchangeResult::Refused(RefusalKind::NoBackEnd),
        }
    }

    /// Resolves when the request is set aside, so that a run that waits in a back end's queue is
    /// cancelled before it starts. Considers only its prompt if the quarantine has no record yet:
    /// the request itself cannot be set aside before it was tried again.
    fn until_set_aside(&self) -> impl Future<Output = ()> {
        let suspects = match self.router.quarantine.borrow().is_empty() {
            true => self.prompt_suspects(),
            false => self.suspects(),
        };
        let router = self.router.clone();
        async move { router.until_set_aside(suspects).await }
    }

    /// Makes attempts until one gets a response; else returns the last failed response.
    async fn run_attempts(
        &mut self,
    ) -> Result<(ForwardedResponse, Attempt), Option<FailedResponse>> {
        let mut last_failed_response = None;
        loop {
            match self.attempt(None).await {
                AttemptOutcome::Response(response, attempt) => {
                    match self.buffer_response(response, attempt).await {
                        Ok(response) => return Ok(response),
                        Err(failure) => self.record_failure(failure, "-"),
                    }
                }
                AttemptOutcome::Failure(failure, failed_response) => {
                    self.record_failure(failure, "-");
                    last_failed_response = failed_response.or(last_failed_response);
                }
                AttemptOutcome::NoBackEnd | AttemptOutcome::NotAdmitted => {
                    return Err(last_failed_response)
                }
            }
            if !self.has_time_for_retry() || !self.may_retry().await {
                return Err(last_failed_response);
            }
        }
    }

    /// Whether the response to another attempt can be complete before the process ends.
    pub(crate) fn has_time_for_retry(&mut self) -> bool {
        self.no_time_before_stop = !self.router.has_time_for_retry(&self.route, self.deadline);
        if self.no_time_before_stop {
            log::info!(target: "stop", "id={} another_attempt=false sends={}", self.id, self.history.sends);
        }
        !self.no_time_before_stop
    }

    /// Counts and logs a failed attempt.
    pub(crate) fn record_failure(&mut self, failure: AttemptFailure, after: &str) {
        self.attempt_in_flight = false;
        self.forget_expectation();
        self.history.record(failure);
        self.is_back_end_behind |= failure == AttemptFailure::BytesUnderWay;
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

    /// Whether attempt history and retry budget allow one more send, which takes a permit of the
    /// budget only if the request reached a back end before. A request on probation that reached
    /// a back end gets none: the budget is earned by all requests, and one more run may crash one
    /// more back end.
    async fn may_retry(&mut self) -> bool {
        if !self
            .history
            .may_send_again(self.route.kind, self.route.max_attempts)
        {
            return false;
        }
        if let Some(crash_probe) = self.crash_probe.take() {
            // Awaited before the treatment is read, since a crash changes it. The refusal of a
            // connection, which shows a crash, takes 3 ms between zones of a region.
            crash_probe.await;
        }
        if self.history.has_arrived() && self.treatment() >= Treatment::Probation {
            return false;
        }
        if !self.history.has_arrived() {
            self.release_reserved_permit();
            return true;
        }
        if !self.is_retry_granted {
            self.is_retry_granted = self.take_retry_permit();
        }
        self.is_retry_granted
    }

    /// Takes the permit for one retry: the reserved one, or one of the budget.
    pub(crate) fn take_retry_permit(&mut self) -> bool {
        let reserved = self.reserved_permit.take();
        if !reserved.is_some_and(|permit| self.router.redeem(self.pool(), permit)) {
            return self.router.take_retry(&self.id, self.pool());
        }
        self.router.metrics.count_retry(true);
        log::info!(
            target: "retry",
            "id={} pool={} allowed=true reserved=true",
            self.id,
            pool_name(self.pool()),
        );
        true
    }

    /// Makes the attempt at a back end in bad health a trial, if a permit can be reserved for its
    /// retry.
    pub(crate) fn reserve_retry_permit(&mut self, choice: &Choice) {
        let is_in_bad_health =
            choice.health != Health::Good || self.router.suspects(&choice.back_end);
        if is_in_bad_health && self.tried.is_empty() && self.may_retry_after_next() {
            self.reserved_permit = self.router.reserve_for_trial(self.pool());
        }
    }

    /// Returns a reserved permit that is not needed.
    pub(crate) fn release_reserved_permit(&mut self) {
        if let Some(permit) = self.reserved_permit.take() {
            self.router.give_back(self.pool(), permit);
        }
    }

    /// Buffers a response until it is complete; streams are passed on at once.
    async fn buffer_response(
        &mut self,
        response: Response<Incoming>,
        attempt: Attempt,
    ) -> Result<(ForwardedResponse, Attempt), AttemptFailure> {
        let is_stream = self.route.kind.is_stream() && response.status().is_success();
        let is_final = is_stream && self.route.kind != RouteKind::ResumableStream;
        if is_final || !self.may_retry_after_next() {
            self.release_body();
        }
        if is_stream {
            return Ok((ForwardedResponse::streaming(response), attempt));
        }
        match ForwardedResponse::read(response, &attempt, self.account.as_ref()).await {
            Ok(response) => Ok((response, attempt)),
            Err(failure) => {
                attempt.on_failure();
                self.crash_probe = self.record_interrupted_run(&attempt, failure);
                Err(failure)
            }
        }
    }

    /// Releases the request's body while memory for bodies is short: no further attempt follows.
    fn release_body(&mut self) {
        let memory = self.router.memory.as_ref();
        if memory.is_some_and(|memory| memory.should_release_bodies_early()) {
            // The digest may still be needed, and cannot be computed later.
            self.digest();
            self.body.release();
        }
    }

    /// Why the request got no response.
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
        } else if self.is_pool_paused {
            RefusalKind::Paused
        } else if self.retry_after.is_some() {
            RefusalKind::Busy
        } else if self.history.sends > 0 {
            RefusalKind::Rejected
        } else if self.is_back_end_behind {
            RefusalKind::MemorySpent
        } else if self.router.is_pool_drained(self.pool()) {
            RefusalKind::Drained
        } else {
            RefusalKind::NoBackEnd
        }
    }

    /// Resumes a stream at another back end after an event; `None` if the request is not sent
    /// again.
    pub(crate) async fn resume(
        &mut self,
        after: Option<&str>,
        failure: AttemptFailure,
    ) -> Option<(Incoming, Attempt)> {
        let mut failure = failure;
        loop {
            self.record_failure(failure, after.unwrap_or("-"));
            if !self.may_retry().await {
                return None;
            }
            match self.attempt(after).await {
                AttemptOutcome::Response(response, attempt) if response.status().is_success() => {
                    return Some((response.into_body(), attempt));
                }
                AttemptOutcome::Response(..) => failure = AttemptFailure::Failed,
                AttemptOutcome::Failure(next, _) => failure = next,
                AttemptOutcome::NoBackEnd | AttemptOutcome::NotAdmitted => {
                    self.log_not_resumed();
                    return None;
                }
            }
        }
    }

    /// Logs that no back end of the version that began the stream can resume it.
    fn log_not_resumed(&self) {
        log::info!(
            target: "resume",
            "id={} began_at={} resumed=false cause=no_back_end ms={}",
            self.id,
            self.began_at.as_deref().map_or_else(|| "-".to_owned(), ToString::to_string),
            self.elapsed().as_millis(),
        );
    }
}
