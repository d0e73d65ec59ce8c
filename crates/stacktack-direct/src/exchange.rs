//! One caller's request, from its head to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use stacktack_core::configuration::selector::Requirement;
use stacktack_core::direct::attempt::{AttemptFailure, AttemptLedger};
use stacktack_core::direct::route::{Route, Tenant};
use tokio::time::{timeout, timeout_at};

use crate::admission::RETRY_AFTER;
use crate::answer::{AnswerBody, StreamAnswer};
use crate::attempt::{Attempt, AttemptEnd, StoredAnswer};
use crate::client::{ClientConnection, ConnectError, SendError};
use crate::ports::{CallerRequest, ForwardOrder, Refusal, RefusalKind};
use crate::router::Router;

/// Longest time for a connection to a back end to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Time in which an overloaded back end turns a new connection away.
const TURN_AWAY: Duration = Duration::from_millis(3);

/// Objectives after which an attempt without an answer is given up, where the
/// request may be repeated.
const SILENCE_OBJECTIVES: u32 = 2;

/// Largest whole answer that is held before it is passed on, in bytes.
const HELD_ANSWER: usize = 1024 * 1024;

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
}

impl Outcome {
    fn word(self) -> &'static str {
        match self {
            Outcome::Open => "caller_left",
            Outcome::Answered(_) => "answered",
            Outcome::Refused(kind) => kind.word(),
            Outcome::BrokenOff => "broken_off",
        }
    }
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
    pub(crate) started: Instant,
    pub(crate) limit: Instant,
    pub(crate) ledger: AttemptLedger,
    /// Whether an attempt is under way that may run.
    pub(crate) in_doubt: bool,
    pub(crate) tried: Vec<String>,
    pub(crate) outcome: Outcome,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.router.exchanges.set(self.router.exchanges.get() - 1);
        let seconds = self.started.elapsed().as_secs_f64();
        self.router
            .metrics
            .count_request(self.outcome.word(), seconds);
        let status = match self.outcome {
            Outcome::Answered(status) => status,
            _ => 0,
        };
        log::info!(
            target: "request",
            "id={} route={} tenant={} config={} back_ends={} sends={} unreached={} outcome={} status={} ms={:.0}",
            self.id,
            self.route.name,
            self.tenant.as_ref().map_or("-", |tenant| tenant.name.as_str()),
            self.version,
            self.tried.join(","),
            self.ledger.sends,
            self.ledger.unreached,
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

    /// Sends the request until an answer can go to the caller.
    pub(crate) async fn run(mut self: Box<Self>) -> Response<AnswerBody> {
        let limit = self.limit;
        match timeout_at(limit.into(), self.attempts()).await {
            Ok(Ok((response, attempt))) => self.pass_on(response, attempt),
            Ok(Err(last)) => self.give_up(last),
            Err(_) => {
                let sent = self.in_doubt || self.ledger.may_have_run;
                let kind = if sent {
                    RefusalKind::TimeOver
                } else {
                    RefusalKind::NoBackEnd
                };
                self.refuse(kind)
            }
        }
    }

    /// Attempts until one gives an answer; else the last failed answer.
    async fn attempts(
        &mut self,
    ) -> Result<(Response<AnswerSource>, Attempt), Option<StoredAnswer>> {
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
                AttemptEnd::NoBackEnd => return Err(stored),
            }
            if !self.may_try_again() {
                return Err(stored);
            }
        }
    }

    /// Counts and logs an attempt that failed.
    pub(crate) fn note_failure(&mut self, failure: AttemptFailure, after: &str) {
        self.in_doubt = false;
        self.ledger.count(failure);
        self.router.metrics.count_attempt(failure.word());
        log::info!(
            target: "attempt",
            "id={} back_end={} end={} after_event={} sends={} ms={}",
            self.id,
            self.tried.last().map_or("-", String::as_str),
            failure.word(),
            after,
            self.ledger.sends,
            self.started.elapsed().as_millis(),
        );
    }

    /// Whether ledger and budget allow one more send.
    fn may_try_again(&self) -> bool {
        if !self
            .ledger
            .may_send_again(self.route.kind, self.route.max_attempts)
        {
            return false;
        }
        self.ledger.sends == 0 || self.router.take_retry(&self.id, self.pool())
    }

    /// Whole answers are held until they are complete, so that one that breaks
    /// off can be repeated; streams are passed on at once. A whole answer over
    /// [`HELD_ANSWER`] is not held and counts as broken.
    async fn hold(
        &mut self,
        response: Response<Incoming>,
        attempt: Attempt,
    ) -> Result<(Response<AnswerSource>, Attempt), AttemptFailure> {
        if self.route.kind.is_stream() && response.status().is_success() {
            return Ok((response.map(AnswerSource::Incoming), attempt));
        }
        let (head, body) = response.into_parts();
        match Limited::new(body, HELD_ANSWER).collect().await {
            Ok(body) => {
                attempt.on_bytes();
                let body = AnswerSource::Whole(body.to_bytes());
                Ok((Response::from_parts(head, body), attempt))
            }
            Err(_) => {
                attempt.on_failure();
                Err(AttemptFailure::Broken)
            }
        }
    }

    /// One attempt: choice, connection, request, head of the answer.
    pub(crate) async fn attempt(&mut self, resume_after: Option<&str>) -> AttemptEnd {
        let Some((selection, back_end, standing)) = self.select() else {
            return AttemptEnd::NoBackEnd;
        };
        let fetch_from = self.fetch_source(&back_end);
        self.tried.push(back_end.clone());
        let Some(mut attempt) = Attempt::begin(self.router.clone(), &back_end) else {
            return AttemptEnd::Failure(AttemptFailure::Unreached, None);
        };
        log::info!(
            target: "choice",
            "id={} part={:x} tokens={} back_end={} load={:.1} mean={:.1} rank={} standing={} fetch={} config={} directory={} peers={}",
            self.id,
            self.caller.prompt.affinity_part().map_or(0, |part| part.id),
            self.caller.prompt.shared_tokens(),
            back_end,
            selection.load,
            selection.mean,
            selection.rank,
            standing.word(),
            fetch_from.map_or_else(|| "-".to_owned(), |holder| holder.to_string()),
            self.version,
            self.router.directory_changed.get(),
            self.router.peers.borrow().alive(),
        );
        let end = self
            .exchange_head(&mut attempt, resume_after, fetch_from)
            .await;
        match end {
            Ok(response) => self.classify(response, attempt).await,
            Err(failure) => {
                if failure == AttemptFailure::Broken {
                    attempt.on_failure();
                } else {
                    attempt.on_unreachable();
                }
                AttemptEnd::Failure(failure, None)
            }
        }
    }

    /// Opens or takes a connection, sends, waits for the head.
    async fn exchange_head(
        &mut self,
        attempt: &mut Attempt,
        resume_after: Option<&str>,
        fetch_from: Option<SocketAddr>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let address = attempt.address;
        let may_rest = self.route.kind.is_idempotent();
        let mut resting = if may_rest {
            let mut connections = self.router.connections.borrow_mut();
            connections.take(address, Instant::now())
        } else {
            None
        };
        let patience = self.attempt_patience();
        loop {
            let (mut connection, rested) = match resting.take() {
                Some(connection) => (connection, true),
                None => match self.open_connection(address).await {
                    Ok(connection) => (connection, false),
                    Err(_) => return Err(AttemptFailure::Unreached),
                },
            };
            let request = self.back_end_request(attempt, resume_after, fetch_from);
            self.in_doubt = true;
            attempt.on_write();
            let sent = timeout(patience, connection.send(request)).await;
            match sent {
                Ok(Ok(response)) => {
                    attempt.connection = Some(connection);
                    return Ok(response);
                }
                Ok(Err(SendError::NotWritten)) => {
                    self.in_doubt = false;
                    if !rested {
                        return Err(AttemptFailure::Unreached);
                    }
                }
                Ok(Err(SendError::Broken(_))) => return Err(AttemptFailure::Broken),
                Ok(Err(SendError::Silent)) | Err(_) => return Err(AttemptFailure::Silent),
            }
        }
    }

    /// What may run once waits a moment for the connection to be turned away.
    async fn open_connection(&self, address: SocketAddr) -> Result<ClientConnection, ConnectError> {
        if self.route.kind.is_idempotent() {
            ClientConnection::open(address, CONNECT_LIMIT).await
        } else {
            ClientConnection::open_accepted(address, CONNECT_LIMIT, TURN_AWAY).await
        }
    }

    /// Time that an attempt is given for the head of its answer.
    fn attempt_patience(&self) -> Duration {
        let remaining = self.limit.saturating_duration_since(Instant::now());
        let next = AttemptLedger {
            sends: self.ledger.sends + 1,
            may_have_run: true,
            ..self.ledger
        };
        if next.may_send_again(self.route.kind, self.route.max_attempts) {
            remaining.min(self.route.objective * SILENCE_OBJECTIVES)
        } else {
            remaining
        }
    }

    fn back_end_request(
        &self,
        attempt: &Attempt,
        resume_after: Option<&str>,
        fetch_from: Option<SocketAddr>,
    ) -> Request<Full<Bytes>> {
        let tenant = self.tenant.as_deref();
        let priority = tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(self.route.priority);
        let order = ForwardOrder {
            instance: &attempt.back_end,
            remaining: self.limit.saturating_duration_since(Instant::now()),
            tenant: tenant.map(|tenant| tenant.name.as_str()),
            resume_after: resume_after.or(self.caller.resume_after.as_deref()),
            fetch_from,
            priority,
        };
        let headers = self
            .router
            .protocol
            .forward_headers(&self.head.headers, &order);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// What the head of an answer proves.
    async fn classify(&mut self, response: Response<Incoming>, mut attempt: Attempt) -> AttemptEnd {
        let (head, body) = response.into_parts();
        let told = self.router.protocol.read_answer(&head);
        attempt.on_head(&told);
        let own = told.id.as_deref() == Some(self.id.as_str());
        let missing = told.id.is_none() && !head.status.is_success();
        if !own && !missing {
            attempt.on_failure();
            return AttemptEnd::Failure(AttemptFailure::Crossed, None);
        }
        if told.other_instance || head.status == StatusCode::MISDIRECTED_REQUEST {
            attempt.on_other_instance();
            return AttemptEnd::Failure(AttemptFailure::OtherInstance, None);
        }
        if told.not_run {
            return AttemptEnd::Failure(AttemptFailure::Rejected, None);
        }
        if head.status.is_server_error() {
            attempt.on_failure();
            let collected = Limited::new(body, HELD_ANSWER).collect().await;
            return match collected {
                Ok(body) => {
                    let stored = StoredAnswer {
                        head,
                        body: body.to_bytes(),
                    };
                    attempt.finish();
                    AttemptEnd::Failure(AttemptFailure::Failed, Some(stored))
                }
                Err(_) => AttemptEnd::Failure(AttemptFailure::Broken, None),
            };
        }
        self.record_place(&attempt.back_end);
        AttemptEnd::Answer(Response::from_parts(head, body), attempt)
    }

    fn pass_on(
        mut self: Box<Self>,
        response: Response<AnswerSource>,
        attempt: Attempt,
    ) -> Response<AnswerBody> {
        let seconds = self.started.elapsed().as_secs_f64();
        self.router.metrics.record_first_byte(seconds);
        let (mut head, source) = response.into_parts();
        head.headers = self.router.protocol.answer_headers(&head.headers);
        let body = match source {
            AnswerSource::Whole(bytes) => {
                attempt.finish();
                self.outcome = Outcome::Answered(head.status.as_u16());
                AnswerBody::whole(bytes)
            }
            AnswerSource::Incoming(incoming) => {
                let stream = StreamAnswer::new(self, incoming, attempt, head.status.as_u16());
                if stream.is_resumable() {
                    head.headers.remove(hyper::header::CONTENT_LENGTH);
                }
                AnswerBody::stream(stream)
            }
        };
        Response::from_parts(head, body)
    }

    fn give_up(mut self: Box<Self>, last: Option<StoredAnswer>) -> Response<AnswerBody> {
        if let Some(stored) = last {
            self.outcome = Outcome::Answered(stored.head.status.as_u16());
            let mut head = stored.head;
            head.headers = self.router.protocol.answer_headers(&head.headers);
            return Response::from_parts(head, AnswerBody::whole(stored.body));
        }
        let kind = if self.ledger.may_have_run && Instant::now() >= self.limit {
            RefusalKind::TimeOver
        } else if self.ledger.may_have_run {
            RefusalKind::Lost
        } else if self.ledger.sends > 0 {
            RefusalKind::Rejected
        } else {
            RefusalKind::NoBackEnd
        };
        self.refuse(kind)
    }

    fn refuse(&mut self, kind: RefusalKind) -> Response<AnswerBody> {
        self.outcome = Outcome::Refused(kind);
        let refusal = Refusal {
            kind,
            retry_after: kind.promises_not_run().then_some(RETRY_AFTER),
        };
        let response = self.router.protocol.refuse(&refusal, Some(&self.id));
        response.map(AnswerBody::whole)
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
            if !self.may_try_again() {
                return None;
            }
            match self.attempt(after).await {
                AttemptEnd::Answer(response, attempt) if response.status().is_success() => {
                    return Some((response.into_body(), attempt));
                }
                AttemptEnd::Answer(..) => failure = AttemptFailure::Failed,
                AttemptEnd::Failure(next, _) => failure = next,
                AttemptEnd::NoBackEnd => return None,
            }
        }
    }
}

/// Where the bytes of an answer come from.
pub enum AnswerSource {
    /// All of them are here.
    Whole(Bytes),
    /// They are still coming.
    Incoming(Incoming),
}

/// Path and query as the caller sent them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => uri.clone(),
    }
}
