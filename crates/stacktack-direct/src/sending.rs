//! One attempt of a request: choice, connection, request, head of the response.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode};
use stacktack_core::direct::memory::responses::MIN_CHARGE;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::request::attempt::{AttemptFailure, AttemptHistory};
use stacktack_core::direct::work::back_end_work::SentWork;
use tokio::time::timeout;

use crate::attempt::{Attempt, AttemptOutcome, FailedResponse};
use crate::attempt_timeout::ResponseProgress;
use crate::choice::Choice;
use crate::client::{CheckedResponse, ClientConnection, ConnectError, SendError, MAX_BUFFER_BYTES};
use crate::exchange::Exchange;
use crate::ports::ForwardMetadata;
use crate::router::pool_name;

/// Bytes that are buffered for a connection to a back end where memory is bounded: half of what each
/// response is charged at least.
const CHARGED_BUFFER_BYTES: usize = MIN_CHARGE / 2;

/// Maximum time for connecting to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time within which an overloaded back end resets a new connection.
const OVERLOAD_RESET_WAIT: Duration = Duration::from_millis(3);

/// Time without the head of a response, in latency objectives of the route, after which an
/// attempt may be abandoned for another one, if the request may be retried.
const HEAD_TIMEOUT_OBJECTIVES: u32 = 2;

/// Minimum time before an attempt is abandoned, since a latency objective may be zero.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest body of a failed response that is kept, in bytes; with a larger body the attempt counts
/// as broken.
const MAX_FAILED_RESPONSE_BYTES: usize = 1024 * 1024;

impl Exchange {
    /// Makes one attempt: choice, connection, request, head of the response.
    pub(crate) async fn attempt(&mut self, resume_after: Option<&str>) -> AttemptOutcome {
        let stream_in_progress = self.is_stream_in_progress(ResponseProgress::of(resume_after));
        let assessment = self.assess();
        let treatment = assessment.treatment;
        if treatment == Treatment::SetAside {
            return AttemptOutcome::NoBackEnd;
        }
        let probation = match treatment {
            Treatment::Usual => None,
            _ => self.select_for_probation(assessment),
        };
        let on_probation = probation.is_some();
        if treatment == Treatment::Probation && !on_probation {
            return AttemptOutcome::NoBackEnd;
        }
        let limit = (!stream_in_progress).then(|| self.slot_limit());
        let Some(choice) = probation.or_else(|| self.select(limit)) else {
            self.note_pool_pause();
            return AttemptOutcome::NoBackEnd;
        };
        if let Some(cause) = self.admission_refusal(&choice, stream_in_progress) {
            self.refuse_admission(&choice, cause);
            return AttemptOutcome::NotAdmitted;
        }
        self.record_admission();
        if !on_probation {
            self.reserve_retry_permit(&choice);
        }
        let back_end = choice.back_end.clone();
        let fetch_from = self.fetch_source(&back_end);
        self.tried.push(back_end.clone());
        let pool = pool_name(self.pool());
        let load = choice.selection.load;
        let priority = choice.engine_priority(self.shortest_objective(), self.priority());
        let begun = Attempt::begin(self.router.clone(), &back_end, pool, load, priority);
        let Some(mut attempt) = begun else {
            return AttemptOutcome::Failure(AttemptFailure::Unreached, None);
        };
        if let Some(work) = choice.work {
            let sent = SentWork {
                may_skip_reading: fetch_from.is_some() || stream_in_progress,
                ..work.sent()
            };
            attempt.count_work(sent, &self.caller.prompt);
        }
        attempt.observe_version(&self.route);
        if on_probation {
            attempt.put_on_probation();
        }
        self.record_choice(&choice, on_probation, fetch_from);
        self.expect_first_event(&choice);
        let head = self
            .exchange_head(&mut attempt, resume_after, fetch_from)
            .await;
        match head {
            Ok(response) => self.classify(response, attempt).await,
            Err(failure) => {
                match failure {
                    AttemptFailure::Broken | AttemptFailure::InvalidResponse => {
                        attempt.on_failure();
                    }
                    // None of these says anything about how the back end serves.
                    AttemptFailure::BackEndLeft
                    | AttemptFailure::BackEndPaused
                    | AttemptFailure::BytesUnderWay => {}
                    _ => attempt.on_unreachable(),
                }
                self.crash_probe = self.record_interrupted_run(&attempt, failure);
                AttemptOutcome::Failure(failure, None)
            }
        }
    }

    fn record_choice(&self, choice: &Choice, on_probation: bool, fetch_from: Option<SocketAddr>) {
        if let Some(preference) = &choice.zone_preference {
            let pool = pool_name(self.pool());
            self.router
                .metrics
                .record_zone_share(pool, preference.zone_share);
        }
        let known = &choice.known_load;
        if let Some(age) = known.reported_age {
            self.router.metrics.record_load_age(age.as_secs_f64());
        } else if let Some(age) = known.peer_counts_age {
            self.router
                .metrics
                .record_peer_counts_age(age.as_secs_f64());
        }
        if choice.selection.load >= choice.census.bound && choice.census.members > 0 {
            let passed_by = choice.census.passes_by_avoided(choice.selection.load);
            self.router.metrics.count_send_at_bound(passed_by);
        }
        if let Some(work) = choice.work {
            let metrics = &self.router.metrics;
            metrics.record_backlog(&work.backlog);
            metrics.record_traffic(pool_name(self.pool()), &work.traffic);
        }
        if let Some(age) = self.router.directory_age() {
            self.router.metrics.record_directory_age(age.as_secs_f64());
        }
        if choice.by_first_event.is_some() {
            self.router.metrics.count_placement(choice.placement_text());
        }
        log::info!(
            target: "choice",
            "id={} part={:x} tokens={} back_end={} version={} resumes={} probation={on_probation} load={:.1} load_age_ms={} {} mean={:.1} {} pool_fill={} first_event_ms={} placement={} {} rank={} standing={} trial={} announced={} fetch={} config={} directory={} directory_age_ms={} peers={}",
            self.id,
            self.caller.prompt.affinity_part().map_or(0, |part| part.id),
            self.caller.prompt.shared_tokens(),
            choice.back_end,
            self.router.version_text(&choice.back_end),
            self.caller.resumes.as_deref().unwrap_or("-"),
            choice.selection.load,
            choice.load_age_text(),
            choice.known_load_fields(),
            choice.selection.mean,
            choice.census_fields(),
            choice.pool_fill_text(),
            choice.first_event_text(),
            choice.placement_text(),
            choice.work_fields(),
            choice.selection.rank,
            choice.health.as_str(),
            self.reserved_permit.is_some(),
            self.router.announced_text(&choice.back_end),
            fetch_from.map_or_else(|| "-".to_owned(), |holder| holder.to_string()),
            self.version,
            self.router.received_directory_revision.get(),
            self.router.directory_age_text(),
            self.router.peers.borrow().live_count(),
        );
    }

    /// Opens or reuses a connection, sends the request and waits for the head of the response.
    async fn exchange_head(
        &mut self,
        attempt: &mut Attempt,
        resume_after: Option<&str>,
        fetch_from: Option<SocketAddr>,
    ) -> Result<CheckedResponse, AttemptFailure> {
        if !attempt.count_request_bytes(self.body.bytes().len()) {
            return Err(AttemptFailure::BytesUnderWay);
        }
        let address = attempt.address;
        // A retry does not reuse an idle connection: that may be stale, or have a surplus
        // response pending, like the one that failed the first attempt. With reuse, both attempts
        // got mismatched responses, and callers a 502, when all back ends sent surplus responses.
        let may_reuse = self.route.kind.is_idempotent() && self.history.sends == 0;
        let mut idle_connection = if may_reuse {
            let mut connections = self.router.connections.borrow_mut();
            connections.take(address, Instant::now())
        } else {
            None
        };
        let progress = ResponseProgress::of(resume_after);
        loop {
            let (mut connection, is_reused) = match idle_connection.take() {
                Some(connection) => (connection, true),
                None => match self.open_connection(address).await {
                    Ok(connection) => (connection, false),
                    Err(error) => {
                        if error.is_refused() {
                            self.router
                                .on_connection_refused(&attempt.back_end, attempt.instance);
                        }
                        return Err(AttemptFailure::Unreached);
                    }
                },
            };
            // Connecting takes up to 150 ms: the back end may have stopped accepting work
            // meanwhile.
            let obstacle = self
                .router
                .send_obstacle(&attempt.back_end, attempt.instance);
            if let Some(failure) = obstacle {
                return Err(failure);
            }
            let request = self.back_end_request(attempt, resume_after, fetch_from);
            self.attempt_in_flight = true;
            self.is_retry_granted = false;
            attempt.on_write();
            let sent = self.await_head(connection.send(request), progress).await;
            match sent {
                Ok(response) => {
                    attempt.connection = Some(Box::new(connection));
                    return Ok(response);
                }
                Err(SendError::NotWritten) => {
                    self.attempt_in_flight = false;
                    if !is_reused {
                        return Err(AttemptFailure::Unreached);
                    }
                }
                Err(SendError::Broken(_)) => return Err(AttemptFailure::Broken),
                Err(SendError::TimedOut) => return Err(AttemptFailure::TimedOut),
                Err(SendError::InvalidHead(error)) => {
                    self.log_invalid_response(attempt, &error);
                    return Err(AttemptFailure::InvalidResponse);
                }
            }
        }
    }

    fn log_invalid_response(&self, attempt: &Attempt, cause: &dyn std::fmt::Display) {
        log::info!(
            target: "attempt",
            "id={} back_end={} invalid_response=true cause=\"{cause}\"",
            self.id,
            attempt.back_end,
        );
    }

    /// Connects. A request that may run only once waits briefly in case an overloaded back end
    /// resets the connection: that proves that nothing ran.
    async fn open_connection(&self, address: SocketAddr) -> Result<ClientConnection, ConnectError> {
        let buffer_bytes = match self.router.memory {
            Some(_) => CHARGED_BUFFER_BYTES,
            None => MAX_BUFFER_BYTES,
        };
        if self.route.kind.is_idempotent() {
            ClientConnection::open(address, CONNECT_TIMEOUT, buffer_bytes).await
        } else {
            ClientConnection::open_with_reset_check(
                address,
                CONNECT_TIMEOUT,
                OVERLOAD_RESET_WAIT,
                buffer_bytes,
            )
            .await
        }
    }

    /// Whether the request may be sent again if the next attempt fails.
    pub(crate) fn may_retry_after_next(&self) -> bool {
        let next = AttemptHistory {
            sends: self.history.sends + 1,
            may_have_run: true,
            ..self.history
        };
        next.may_send_again(self.route.kind, self.route.max_attempts)
    }

    /// Waits for the head of the response until the attempt is abandoned for another one, or the
    /// deadline of the request has passed.
    async fn await_head(
        &mut self,
        head: impl Future<Output = Result<CheckedResponse, SendError>>,
        progress: ResponseProgress,
    ) -> Result<CheckedResponse, SendError> {
        let mut head = pin!(head);
        loop {
            if let Ok(result) = timeout(self.head_timeout(), &mut head).await {
                return result;
            }
            if self.remaining().is_zero() || self.try_abandon_attempt(progress) {
                return Err(SendError::TimedOut);
            }
        }
    }

    /// Time without the head of a response after which the attempt may be abandoned; the remaining
    /// time of the request if that may not be retried.
    fn head_timeout(&self) -> Duration {
        let remaining = self.remaining();
        if self.may_retry_after_next() {
            let timeout_by_objective = self.route.objective * HEAD_TIMEOUT_OBJECTIVES;
            remaining.min(timeout_by_objective.max(MIN_HEAD_TIMEOUT))
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
            priority: attempt.priority,
        };
        let headers = self
            .router
            .protocol
            .forward_headers(&self.head.headers, &order);
        let mut request = Request::new(Full::new(self.body.bytes().clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Derives the outcome of an attempt from the head of its response, and reads the body of a
    /// server error.
    async fn classify(
        &mut self,
        response: CheckedResponse,
        mut attempt: Attempt,
    ) -> AttemptOutcome {
        attempt.framing = response.framing;
        let (head, body) = response.response.into_parts();
        let response_info = self.router.protocol.read_response(&head);
        if let Some(cause) = &response_info.invalid {
            self.log_invalid_response(&attempt, cause);
        }
        let is_cut = body.is_end_stream() && attempt.check_length().is_err();
        if response_info.invalid.is_some() || is_cut {
            attempt.on_failure();
            return AttemptOutcome::Failure(AttemptFailure::InvalidResponse, None);
        }
        attempt.on_head(&response_info);
        let is_own = response_info.id.as_deref() == Some(self.id.as_str());
        let is_id_missing = response_info.id.is_none() && !head.status.is_success();
        if !is_own && !is_id_missing {
            attempt.on_failure();
            return AttemptOutcome::Failure(AttemptFailure::MismatchedResponse, None);
        }
        if response_info.other_instance || head.status == StatusCode::MISDIRECTED_REQUEST {
            attempt.on_other_instance();
            return AttemptOutcome::Failure(AttemptFailure::OtherInstance, None);
        }
        attempt.on_announcements(&self.id, head.status, &response_info);
        // A pause shows neither that its pool is full nor that the back end fails: others take the
        // requests meanwhile.
        let asks_for_pause = response_info.pause.is_pause();
        if !asks_for_pause {
            attempt.record_acceptance(!response_info.not_run);
        }
        if response_info.not_run {
            return AttemptOutcome::Failure(AttemptFailure::Rejected, None);
        }
        if head.status.is_server_error() {
            self.forget_expectation();
            if !asks_for_pause {
                attempt.on_failure();
            }
            let collected = Limited::new(body, MAX_FAILED_RESPONSE_BYTES)
                .collect()
                .await;
            return match collected {
                Ok(_) if attempt.check_length().is_err() => {
                    AttemptOutcome::Failure(AttemptFailure::InvalidResponse, None)
                }
                Ok(body) => {
                    let failed_response = FailedResponse {
                        head,
                        body: body.to_bytes(),
                    };
                    attempt.finish();
                    AttemptOutcome::Failure(AttemptFailure::Failed, Some(failed_response))
                }
                Err(_) => {
                    self.crash_probe =
                        self.record_interrupted_run(&attempt, AttemptFailure::Broken);
                    AttemptOutcome::Failure(AttemptFailure::Broken, None)
                }
            };
        }
        self.release_reserved_permit();
        attempt.on_success();
        attempt.on_response_start(head.status, &response_info);
        if head.status.is_success() {
            self.record_first_event();
        } else {
            self.forget_expectation();
        }
        self.record_prefix_location(&attempt.back_end);
        AttemptOutcome::Response(Response::from_parts(head, body), attempt)
    }
}

/// Path and query as the caller sent them.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) => hyper::Uri::from(path.clone()),
        None => uri.clone(),
    }
}
