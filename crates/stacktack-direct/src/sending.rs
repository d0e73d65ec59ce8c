//! One attempt of a request: choice, connection, request, head of the answer.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::request::attempt::{AttemptFailure, AttemptHistory};
use tokio::time::timeout;

use crate::attempt::{Attempt, AttemptOutcome, FailedResponse};
use crate::attempt_timeout::ResponseProgress;
use crate::choice::Choice;
use crate::client::{ClientConnection, ConnectError, SendError};
use crate::exchange::Exchange;
use crate::ports::ForwardMetadata;
use crate::router::pool_name;

/// Longest time for a connection to a back end to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Time in which an overloaded back end turns a new connection away.
const TURN_AWAY: Duration = Duration::from_millis(3);

/// Objectives after which an attempt without an answer is left for another one, where the
/// request may be repeated.
const SILENCE_OBJECTIVES: u32 = 2;

/// Time after which it is left at the earliest: objectives may be of no time.
const SHORTEST_SILENCE: Duration = Duration::from_millis(100);

/// Largest body of a failed answer that is kept, in bytes.
const STORED_ANSWER: usize = 1024 * 1024;

impl Exchange {
    /// One attempt: choice, connection, request, head of the answer.
    pub(crate) async fn attempt(&mut self, resume_after: Option<&str>) -> AttemptOutcome {
        let under_way = self.is_under_way(ResponseProgress::of(resume_after));
        let treatment = self.treatment();
        if treatment == Treatment::SetAside {
            return AttemptOutcome::NoBackEnd;
        }
        let probation = match treatment {
            Treatment::Usual => None,
            _ => self.select_for_probation(treatment),
        };
        let on_probation = probation.is_some();
        if treatment == Treatment::Probation && !on_probation {
            return AttemptOutcome::NoBackEnd;
        }
        let limit = (!under_way).then(|| self.slot_limit());
        let Some(choice) = probation.or_else(|| self.select(limit)) else {
            return AttemptOutcome::NoBackEnd;
        };
        if let Some(cause) = self.lacks_room(&choice, under_way) {
            self.turn_away(&choice, cause);
            return AttemptOutcome::NoRoom;
        }
        self.take_in();
        let back_end = choice.back_end.clone();
        let fetch_from = self.fetch_source(&back_end);
        self.tried.push(back_end.clone());
        let pool = pool_name(self.pool());
        let load = choice.selection.load;
        let Some(mut attempt) = Attempt::begin(self.router.clone(), &back_end, pool, load) else {
            return AttemptOutcome::Failure(AttemptFailure::Unreached, None);
        };
        attempt.watch_version(&self.route);
        if on_probation {
            attempt.put_on_probation();
        }
        self.note_choice(&choice, on_probation, fetch_from);
        let end = self
            .exchange_head(&mut attempt, resume_after, fetch_from)
            .await;
        match end {
            Ok(response) => self.classify(response, attempt).await,
            Err(failure) => {
                match failure {
                    AttemptFailure::Broken => attempt.on_failure(),
                    // It says nothing of how it serves.
                    AttemptFailure::BackEndLeft => {}
                    _ => attempt.on_unreachable(),
                }
                self.crash_probe = self.note_broken_run(&attempt, failure);
                AttemptOutcome::Failure(failure, None)
            }
        }
    }

    fn note_choice(&self, choice: &Choice, on_probation: bool, fetch_from: Option<SocketAddr>) {
        if let Some(age) = choice.load_age {
            self.router.metrics.record_load_age(age.as_secs_f64());
        }
        if let Some(age) = self.router.directory_age() {
            self.router.metrics.record_directory_age(age.as_secs_f64());
        }
        log::info!(
            target: "choice",
            "id={} part={:x} tokens={} back_end={} probation={on_probation} load={:.1} load_age_ms={} mean={:.1} pool_fill={} rank={} standing={} fetch={} config={} directory={} directory_age_ms={} peers={}",
            self.id,
            self.caller.prompt.affinity_part().map_or(0, |part| part.id),
            self.caller.prompt.shared_tokens(),
            choice.back_end,
            choice.selection.load,
            choice.load_age_text(),
            choice.selection.mean,
            choice.pool_fill_text(),
            choice.selection.rank,
            choice.standing.as_str(),
            fetch_from.map_or_else(|| "-".to_owned(), |holder| holder.to_string()),
            self.version,
            self.router.received_directory_revision.get(),
            self.router.directory_age_text(),
            self.router.peers.borrow().live_count(),
        );
    }

    /// Opens or takes a connection, sends, waits for the head.
    async fn exchange_head(
        &mut self,
        attempt: &mut Attempt,
        resume_after: Option<&str>,
        fetch_from: Option<SocketAddr>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let address = attempt.address;
        // A second try takes no chances: the resting connection there may be stale, or
        // have a surplus answer to come, like the one that spoiled the first. Both
        // tries crossed, and callers got 502, where all back ends sent surplus answers.
        let may_rest = self.route.kind.is_idempotent() && self.history.sends == 0;
        let mut resting = if may_rest {
            let mut connections = self.router.connections.borrow_mut();
            connections.take(address, Instant::now())
        } else {
            None
        };
        let progress = ResponseProgress::of(resume_after);
        loop {
            let (mut connection, rested) = match resting.take() {
                Some(connection) => (connection, true),
                None => match self.open_connection(address).await {
                    Ok(connection) => (connection, false),
                    Err(error) => {
                        if error.is_refused() {
                            self.router.on_refused(&attempt.back_end, attempt.life);
                        }
                        return Err(AttemptFailure::Unreached);
                    }
                },
            };
            // A connection takes up to 150 ms: news that came meanwhile counts.
            if !self.router.may_send(&attempt.back_end, attempt.life) {
                return Err(AttemptFailure::BackEndLeft);
            }
            let request = self.back_end_request(attempt, resume_after, fetch_from);
            self.attempt_in_flight = true;
            self.is_retry_granted = false;
            attempt.on_write();
            let sent = self.await_head(connection.send(request), progress).await;
            match sent {
                Ok(response) => {
                    attempt.connection = Some(connection);
                    return Ok(response);
                }
                Err(SendError::NotWritten) => {
                    self.attempt_in_flight = false;
                    if !rested {
                        return Err(AttemptFailure::Unreached);
                    }
                }
                Err(SendError::Broken(_)) => return Err(AttemptFailure::Broken),
                Err(SendError::TimedOut) => return Err(AttemptFailure::TimedOut),
            }
        }
    }

    /// What may run once waits a moment for the connection to be turned away.
    async fn open_connection(&self, address: SocketAddr) -> Result<ClientConnection, ConnectError> {
        if self.route.kind.is_idempotent() {
            ClientConnection::open(address, CONNECT_LIMIT).await
        } else {
            ClientConnection::open_with_reset_check(address, CONNECT_LIMIT, TURN_AWAY).await
        }
    }

    /// Whether the request may be sent again when the next attempt fails.
    pub(crate) fn may_repeat_next(&self) -> bool {
        let next = AttemptHistory {
            sends: self.history.sends + 1,
            may_have_run: true,
            ..self.history
        };
        next.may_send_again(self.route.kind, self.route.max_attempts)
    }

    /// Waits for the head of an answer, until that takes so long that the attempt is left for another
    /// one or the request's time is over.
    async fn await_head(
        &mut self,
        head: impl Future<Output = Result<Response<Incoming>, SendError>>,
        progress: ResponseProgress,
    ) -> Result<Response<Incoming>, SendError> {
        let mut head = pin!(head);
        loop {
            if let Ok(ended) = timeout(self.head_patience(), &mut head).await {
                return ended;
            }
            if self.remaining().is_zero() || self.leaves_silent_attempt(progress) {
                return Err(SendError::TimedOut);
            }
        }
    }

    /// Time without the head of an answer after which its attempt may be left.
    fn head_patience(&self) -> Duration {
        let remaining = self.remaining();
        if self.may_repeat_next() {
            let silence = self.route.objective * SILENCE_OBJECTIVES;
            remaining.min(silence.max(SHORTEST_SILENCE))
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
        let order = ForwardMetadata {
            instance: &attempt.back_end,
            remaining: self.remaining(),
            tenant: tenant.map(|tenant| tenant.name.as_str()),
            resume_after: resume_after.or(self.caller.resume_after.as_deref()),
            fetch_from,
            priority: self.priority(),
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
    async fn classify(
        &mut self,
        response: Response<Incoming>,
        mut attempt: Attempt,
    ) -> AttemptOutcome {
        let (head, body) = response.into_parts();
        let told = self.router.protocol.read_response(&head);
        attempt.on_head(&told);
        let own = told.id.as_deref() == Some(self.id.as_str());
        let missing = told.id.is_none() && !head.status.is_success();
        if !own && !missing {
            attempt.on_failure();
            return AttemptOutcome::Failure(AttemptFailure::MismatchedResponse, None);
        }
        if told.other_instance || head.status == StatusCode::MISDIRECTED_REQUEST {
            attempt.on_other_instance();
            return AttemptOutcome::Failure(AttemptFailure::OtherInstance, None);
        }
        attempt.note_taken(!told.not_run);
        if told.not_run {
            return AttemptOutcome::Failure(AttemptFailure::Rejected, None);
        }
        if head.status.is_server_error() {
            attempt.on_failure();
            let collected = Limited::new(body, STORED_ANSWER).collect().await;
            return match collected {
                Ok(body) => {
                    let stored = FailedResponse {
                        head,
                        body: body.to_bytes(),
                    };
                    attempt.finish();
                    self.on_successful_run();
                    AttemptOutcome::Failure(AttemptFailure::Failed, Some(stored))
                }
                Err(_) => {
                    self.crash_probe = self.note_broken_run(&attempt, AttemptFailure::Broken);
                    AttemptOutcome::Failure(AttemptFailure::Broken, None)
                }
            };
        }
        attempt.on_good_answer();
        self.record_place(&attempt.back_end);
        AttemptOutcome::Answer(Response::from_parts(head, body), attempt)
    }
}

/// Path and query as the caller sent them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => uri.clone(),
    }
}
