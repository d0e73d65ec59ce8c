//! Answers to callers: of back ends, and the router's own.

use std::time::Duration;

use hyper::{Response, StatusCode};
use stacktack_core::direct::request::attempt::AttemptFailure;

use crate::attempt::{Attempt, FailedResponse};
use crate::exchange::{Exchange, ExchangeResult, Outcome};
use crate::ports::{Refusal, RefusalKind};
use crate::response_body::{ResponseBody, ResponseStream};
use crate::response_buffering::{BodySource, ForwardedResponse};
use crate::response_deadline::ResponseDeadline;
use crate::router::Router;

/// Time after which a caller may come back when nobody could take its request.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time after which a caller may come back while nothing is known yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a caller may come back while the store does not answer and
/// nothing is known: outages last seconds.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(2500);

/// Time after which a caller may come back while all that could serve it is drained:
/// drains last seconds at least, and callers shorten a time that is too long for them.
const DRAINED_RETRY_AFTER: Duration = Duration::from_millis(2500);

/// Time after which a suspect may come back whose probation nobody can take now: back ends that
/// ended are back after 2 to 3 s, others that try it are done within one.
const PROBATION_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Runs a request and answers it.
pub async fn respond(mut exchange: Box<Exchange>) -> Response<ResponseBody> {
    match exchange.run().await {
        ExchangeResult::Answer(answer, attempt)
            if promises_too_much(&exchange, answer.head.status) =>
        {
            withhold(exchange, answer, *attempt)
        }
        ExchangeResult::FailedAnswer(last) if promises_too_much(&exchange, last.head.status) => {
            refuse(&mut exchange, RefusalKind::Lost)
        }
        ExchangeResult::Answer(answer, attempt) => pass_on(exchange, answer, *attempt),
        ExchangeResult::FailedAnswer(last) => pass_failure_on(&mut exchange, last),
        ExchangeResult::Refused(kind) => refuse(&mut exchange, kind),
    }
}

/// Whether a back end's status would promise a caller that a request that may run once only did
/// not run, though the back end did not say so.
fn promises_too_much(exchange: &Exchange, status: StatusCode) -> bool {
    !exchange.route.kind.is_idempotent() && exchange.router.protocol.proves_not_run(status)
}

/// Says in the place of an answer that it is uncertain whether the request ran.
fn withhold(
    mut exchange: Box<Exchange>,
    answer: ForwardedResponse,
    attempt: Attempt,
) -> Response<ResponseBody> {
    exchange.note_failure(AttemptFailure::Failed, "-");
    exchange.on_successful_run();
    if matches!(answer.source, BodySource::Whole(_)) {
        attempt.finish();
    }
    refuse(&mut exchange, RefusalKind::Lost)
}

fn pass_on(
    mut exchange: Box<Exchange>,
    answer: ForwardedResponse,
    attempt: Attempt,
) -> Response<ResponseBody> {
    let seconds = exchange.elapsed().as_secs_f64();
    exchange.router.metrics.record_first_byte(seconds);
    exchange.note_first_answer();
    let ForwardedResponse { mut head, source } = answer;
    head.headers = exchange.router.protocol.response_headers(&head.headers);
    let body = match source {
        BodySource::Whole(bytes) => {
            exchange.on_successful_run();
            attempt.on_whole();
            attempt.finish();
            exchange.outcome = Outcome::Answered(head.status.as_u16());
            ResponseBody::whole(bytes)
        }
        BodySource::Coming { begun, rest } => {
            let status = head.status.as_u16();
            let limit = ResponseDeadline(exchange.deadline);
            let stream = ResponseStream::new(exchange, begun, rest, attempt, status);
            if stream.is_resumable() {
                head.headers.remove(hyper::header::CONTENT_LENGTH);
            }
            head.extensions.insert(limit);
            ResponseBody::stream(stream)
        }
    };
    Response::from_parts(head, body)
}

fn pass_failure_on(exchange: &mut Exchange, last: FailedResponse) -> Response<ResponseBody> {
    exchange.outcome = Outcome::Answered(last.head.status.as_u16());
    let mut head = last.head;
    head.headers = exchange.router.protocol.response_headers(&head.headers);
    Response::from_parts(head, ResponseBody::whole(last.body))
}

fn refuse(exchange: &mut Exchange, kind: RefusalKind) -> Response<ResponseBody> {
    exchange.outcome = Outcome::Refused(kind);
    let usual = match kind {
        RefusalKind::Drained => DRAINED_RETRY_AFTER,
        RefusalKind::OnProbation => PROBATION_RETRY_AFTER,
        RefusalKind::Stopping => exchange.router.time_until_serving(),
        _ => RETRY_AFTER,
    };
    let come_back = exchange.retry_after.unwrap_or(usual);
    let retry_after = kind.caller_may_return().then_some(come_back);
    let refusal = Refusal { kind, retry_after };
    let response = exchange
        .router
        .protocol
        .refuse(&refusal, Some(&exchange.id));
    response.map(ResponseBody::whole)
}

/// Refuses a request that did not become an exchange.
pub fn refuse_early(
    router: &Router,
    kind: RefusalKind,
    id: Option<&str>,
    version: u64,
) -> Response<ResponseBody> {
    log::info!(
        target: "request",
        "id={} config={version} outcome={}",
        id.unwrap_or("-"),
        kind.as_str(),
    );
    router.metrics.count_request(kind.as_str(), 0.0);
    let retry_after = early_retry_after(router, kind);
    let refusal = Refusal { kind, retry_after };
    router
        .protocol
        .refuse(&refusal, id)
        .map(ResponseBody::whole)
}

/// When a caller may come back whose request was refused early.
fn early_retry_after(router: &Router, kind: RefusalKind) -> Option<Duration> {
    match kind {
        RefusalKind::NotReady if router.store_lost.get() => Some(OUTAGE_RETRY_AFTER),
        RefusalKind::NotReady => Some(NOT_READY_RETRY_AFTER),
        RefusalKind::Stopping if router.peers.borrow().any_serving() => Some(RETRY_AFTER),
        RefusalKind::Stopping => Some(router.time_until_serving()),
        _ => None,
    }
}
