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

use crate::attempt::{Attempt, AttemptEnd, StoredAnswer};
use crate::back_end_end::LookEnd;
use crate::held::HeldAnswer;
use crate::ports::{CallerRequest, RefusalKind};
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
pub(crate) enum ExchangeEnd {
    /// A back end's answer, and the attempt that it came from.
    Answer(HeldAnswer, Box<Attempt>),
    /// A back end's failure: nobody gave a better answer.
    FailedAnswer(StoredAnswer),
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
    /// Whether it is one of [`Router::taken_as_last`].
    pub(crate) taken_as_last: bool,
    /// When it is over.
    pub(crate) limit: Time,
    /// Which request it is; worked out when it first matters.
    pub(crate) digest: OnceCell<RequestDigest>,
    pub(crate) ledger: AttemptHistory,
    /// The look at whether the last attempt's back end ended.
    pub(crate) look: Option<LookEnd>,
    /// Whether an attempt is under way that may run.
    pub(crate) in_doubt: bool,
    /// Whether the retry budget granted a repeat that was not written anywhere yet.
    pub(crate) is_repeat_granted: bool,
    pub(crate) tried: Vec<String>,
    /// Whether its pool took it.
    pub(crate) admitted: bool,
    /// Whether its caller came back after a refusal, as far as its patience tells.
    pub(crate) returned: bool,
    /// Whether it got no further attempt since the process ends too soon.
    pub(crate) ends_too_soon: bool,
    /// After what time the caller may come back, once its pool had no room.
    pub(crate) come_back: Option<Duration>,
    pub(crate) outcome: Outcome,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.router.exchanges.set(self.router.exchanges.get() - 1);
        if self.taken_as_last {
            let left = self.router.taken_as_last.get() - 1;
            self.router.taken_as_last.set(left);
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
        if self.returned {
            self.router.metrics.count_return(self.outcome.word());
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
            self.ledger.sends,
            self.ledger.unreached,
            self.caller.timeout.map_or(0, |patience| patience.as_millis()),
            self.returned,
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
        self.limit.since(self.router.now())
    }

    /// Rank among requests to the same pool; a tenant's goes before its route's.
    pub(crate) fn priority(&self) -> u8 {
        let tenant = self.tenant.as_deref();
        tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(self.route.priority)
    }

    /// Sends the request until an answer can go to the caller.
    pub(crate) async fn run(&mut self) -> ExchangeEnd {
        let limit = self.limit;
        let verdict = self.verdict();
        let router = self.router.clone();
        let ended = tokio::select! {
            biased;
            ended = self.attempts() => Some(ended),
            () = router.until_answer_due(limit) => None,
            () = verdict => return ExchangeEnd::Refused(self.refusal_kind()),
        };
        match ended {
            Some(Ok((answer, attempt))) => ExchangeEnd::Answer(answer, Box::new(attempt)),
            Some(Err(Some(last))) => ExchangeEnd::FailedAnswer(last),
            Some(Err(None)) => ExchangeEnd::Refused(self.refusal_kind()),
            None if self.in_doubt || self.ledger.may_have_run => {
                ExchangeEnd::Refused(RefusalKind::DeadlineExceeded)
            }
            None if router.now() < limit => ExchangeEnd::Refused(RefusalKind::Stopping),
            None => ExchangeEnd::Refused(RefusalKind::NoBackEnd),
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
    async fn attempts(&mut self) -> Result<(HeldAnswer, Attempt), Option<StoredAnswer>> {
        let mut stored = None;
        loop {
            match self.attempt(None).await {
                AttemptEnd::Answer(response, attempt) => match self.hold(response, attempt).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => self.note_failure(failure, "-"),
                },
                AttemptEnd::Failure(failure, answer) => {
                    self.note_failure(failure, "-");
                    stored = answer.or(stored);
                }
                AttemptEnd::NoBackEnd | AttemptEnd::NoRoom => return Err(stored),
            }
            if !self.has_time_for_another() || !self.may_try_again().await {
                return Err(stored);
            }
        }
    }

    /// Whether the answer to another attempt has time to become whole before the process ends.
    pub(crate) fn has_time_for_another(&mut self) -> bool {
        self.ends_too_soon = !self.router.has_time_for_another(&self.route, self.limit);
        if self.ends_too_soon {
            log::info!(target: "stop", "id={} another_attempt=false sends={}", self.id, self.ledger.sends);
        }
        !self.ends_too_soon
    }

    /// Counts and logs an attempt that failed.
    pub(crate) fn note_failure(&mut self, failure: AttemptFailure, after: &str) {
        self.in_doubt = false;
        self.ledger.record(failure);
        self.router.metrics.count_attempt(failure.as_str());
        log::info!(
            target: "attempt",
            "id={} back_end={} end={} after_event={} sends={} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            failure.as_str(),
            after,
            self.ledger.sends,
            self.elapsed().as_millis(),
        );
    }

    /// Whether ledger and budget allow one more send. A suspect that arrived gets none: repeats
    /// are earned by all, and one more run of it may end one more back end.
    async fn may_try_again(&mut self) -> bool {
        if !self
            .ledger
            .may_send_again(self.route.kind, self.route.max_attempts)
        {
            return false;
        }
        if let Some(look) = self.look.take() {
            // Whether its back end ended counts for how it is treated. A refused connection took 3 ms
            // between zones of a region.
            look.await;
        }
        if self.ledger.has_arrived() && self.treatment() >= Treatment::Probation {
            return false;
        }
        if !self.ledger.has_arrived() {
            return true;
        }
        if !self.is_repeat_granted {
            self.is_repeat_granted = self.router.take_retry(&self.id, self.pool());
        }
        self.is_repeat_granted
    }

    /// Streams are passed on at once, other answers when they are whole.
    async fn hold(
        &mut self,
        response: Response<Incoming>,
        attempt: Attempt,
    ) -> Result<(HeldAnswer, Attempt), AttemptFailure> {
        if self.route.kind.is_stream() && response.status().is_success() {
            return Ok((HeldAnswer::coming(response), attempt));
        }
        match HeldAnswer::read(response, &attempt).await {
            Ok(answer) => Ok((answer, attempt)),
            Err(failure) => {
                attempt.on_failure();
                self.look = self.note_broken_run(&attempt, failure);
                Err(failure)
            }
        }
    }

    /// Why nobody gave an answer.
    fn refusal_kind(&self) -> RefusalKind {
        if self.ledger.may_have_run && self.remaining().is_zero() {
            RefusalKind::DeadlineExceeded
        } else if self.ledger.may_have_run || self.in_doubt {
            RefusalKind::Lost
        } else if self.ends_too_soon {
            RefusalKind::Stopping
        } else if self.treatment() == Treatment::SetAside {
            RefusalKind::SetAside
        } else if self.treatment() == Treatment::Probation {
            RefusalKind::OnProbation
        } else if self.come_back.is_some() {
            RefusalKind::Busy
        } else if self.ledger.sends > 0 {
            RefusalKind::Rejected
        } else if self.router.is_drained(self.pool()) {
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
                AttemptEnd::Answer(response, attempt) if response.status().is_success() => {
                    return Some((response.into_body(), attempt));
                }
                AttemptEnd::Answer(..) => failure = AttemptFailure::Failed,
                AttemptEnd::Failure(next, _) => failure = next,
                AttemptEnd::NoBackEnd | AttemptEnd::NoRoom => return None,
            }
        }
    }
}
