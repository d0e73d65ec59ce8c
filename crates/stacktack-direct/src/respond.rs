//! Responses to callers: those of back ends, and the router's own.

use std::time::Duration;

use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use rand::RngExt;
use stacktack_core::direct::admission::retry_after::latest_return;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::direct::traffic::route::RouteKind;

use crate::attempt::{Attempt, FailedResponse};
use crate::exchange::{Exchange, ExchangeResult, Outcome};
use crate::memory::KeptBytes;
use crate::ports::{Refusal, RefusalKind};
use crate::response_body::{ResponseBody, ResponseStream};
use crate::response_buffering::{BodySource, ForwardedResponse};
use crate::response_deadline::ResponseDeadline;
use crate::router::Router;

/// Time after which a refused caller may come back where another router can serve it now.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time after which a caller may come back while the router starts: it has read the configuration
/// by then, unless the store is lost.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Runs a request and responds to its caller.
pub async fn respond(mut exchange: Box<Exchange>) -> Response<ResponseBody> {
    match exchange.run().await {
        ExchangeResult::Response(response, attempt)
            if falsely_promises_not_run(&exchange, response.head.status) =>
        {
            withhold_response(exchange, response, *attempt)
        }
        ExchangeResult::FailedResponse(failed)
            if falsely_promises_not_run(&exchange, failed.head.status) =>
        {
            refuse(&mut exchange, RefusalKind::Lost)
        }
        ExchangeResult::Response(response, attempt) => {
            forward_response(exchange, response, *attempt)
        }
        ExchangeResult::FailedResponse(failed) => forward_failed_response(&mut exchange, failed),
        ExchangeResult::Refused(kind) => refuse(&mut exchange, kind),
    }
}

/// Whether a back end's status would promise a caller that its non-idempotent request did not
/// run, though the back end did not say so.
fn falsely_promises_not_run(exchange: &Exchange, status: StatusCode) -> bool {
    !exchange.route.kind.is_idempotent() && exchange.router.protocol.proves_not_run(status)
}

/// Replaces a response by a refusal that says that it is uncertain whether the request ran.
fn withhold_response(
    mut exchange: Box<Exchange>,
    response: ForwardedResponse,
    attempt: Attempt,
) -> Response<ResponseBody> {
    exchange.record_failure(AttemptFailure::Failed, "-");
    exchange.on_successful_run(&attempt, response.head.status);
    if matches!(response.source, BodySource::Buffered(_)) {
        attempt.finish();
    }
    refuse(&mut exchange, RefusalKind::Lost)
}

fn forward_response(
    mut exchange: Box<Exchange>,
    response: ForwardedResponse,
    attempt: Attempt,
) -> Response<ResponseBody> {
    let seconds = exchange.elapsed().as_secs_f64();
    exchange.router.metrics.record_first_byte(seconds);
    exchange.record_response_start();
    let ForwardedResponse { mut head, source } = response;
    head.headers = exchange.router.protocol.response_headers(&head.headers);
    let body = match source {
        BodySource::Buffered(bytes) => {
            exchange.on_successful_run(&attempt, head.status);
            attempt.on_complete();
            attempt.finish();
            exchange.outcome = Outcome::Answered(head.status.as_u16());
            if let Some(account) = &exchange.account {
                account.on_progress();
            }
            ResponseBody::kept(bytes)
        }
        BodySource::Streaming { buffered, rest } => {
            if exchange.route.kind == RouteKind::ResumableStream {
                let router = exchange.router.clone();
                router.on_stream_begun(exchange.stream_id(), &attempt.version);
                exchange.began_at = Some(attempt.version.clone());
            }
            let deadline = ResponseDeadline(exchange.deadline);
            let stream = ResponseStream::new(exchange, buffered, rest, attempt, &head);
            if let Some(length) = stream.announced_length() {
                head.headers.insert(CONTENT_LENGTH, length.into());
            }
            head.extensions.insert(deadline);
            ResponseBody::stream(stream)
        }
    };
    Response::from_parts(head, body)
}

fn forward_failed_response(
    exchange: &mut Exchange,
    failed: FailedResponse,
) -> Response<ResponseBody> {
    exchange.outcome = Outcome::Answered(failed.head.status.as_u16());
    let mut head = failed.head;
    head.headers = exchange.router.protocol.response_headers(&head.headers);
    if let Some(account) = &exchange.account {
        account.on_progress();
    }
    let body = KeptBytes::new(failed.body, exchange.account.as_ref());
    Response::from_parts(head, ResponseBody::kept(body))
}

fn refuse(exchange: &mut Exchange, kind: RefusalKind) -> Response<ResponseBody> {
    exchange.outcome = Outcome::Refused(kind);
    let router = &exchange.router;
    let max = router.protocol.max_retry_after(exchange.remaining());
    let default_delay = match kind {
        RefusalKind::Stopping => router.time_until_serving(max),
        RefusalKind::MemorySpent => RETRY_AFTER.min(max),
        // Nobody knows when the drain ends, or when a back end may take the request.
        _ => spread_latest_return(max),
    };
    let delay = exchange.retry_after.unwrap_or(default_delay);
    let retry_after = kind.caller_may_return().then_some(delay);
    let refusal = Refusal { kind, retry_after };
    let response = exchange
        .router
        .protocol
        .refuse(&refusal, Some(&exchange.id));
    response.map(ResponseBody::full)
}

/// Refuses a request that did not become an exchange.
pub fn refuse_early(
    router: &Router,
    kind: RefusalKind,
    id: Option<&str>,
    version: u64,
    return_terms: ReturnTerms,
) -> Response<ResponseBody> {
    log::info!(
        target: "request",
        "id={} config={version} outcome={}",
        id.unwrap_or("-"),
        kind.as_str(),
    );
    router.metrics.count_request(kind.as_str(), 0.0);
    let max = return_terms
        .remaining
        .map_or(NOT_READY_RETRY_AFTER, |remaining| {
            router.protocol.max_retry_after(remaining)
        });
    let retry_after = return_terms
        .after
        .or_else(|| early_retry_after(router, kind, max));
    let refusal = Refusal { kind, retry_after };
    router.protocol.refuse(&refusal, id).map(ResponseBody::full)
}

/// When a caller that is refused early may come back.
#[derive(Clone, Copy, Debug)]
pub struct ReturnTerms {
    /// Time for which the caller still waits for a response; `None` if it does not say.
    pub remaining: Option<Duration>,
    /// Time after which it may come back, if it is not the usual one of the refusal.
    pub after: Option<Duration>,
}

/// Time after which a caller may come back whose request was refused early and that waits for `max`
/// at most; `None` if the refusal names no time.
fn early_retry_after(router: &Router, kind: RefusalKind, max: Duration) -> Option<Duration> {
    match kind {
        // Nobody knows when the store responds again.
        RefusalKind::NotReady if router.store.is_lost() => Some(spread_latest_return(max)),
        RefusalKind::NotReady => Some(NOT_READY_RETRY_AFTER.min(max)),
        RefusalKind::MemorySpent => Some(RETRY_AFTER.min(max)),
        RefusalKind::Stopping => Some(router.time_until_serving(max)),
        _ => None,
    }
}

/// Time after which a caller that waits for `max` at most comes back where nobody knows when its
/// request can be served.
pub(crate) fn spread_latest_return(max: Duration) -> Duration {
    latest_return(max, rand::rng().random())
}
