//! Stand-in of a plain service, some of whose calls must not run twice. It counts the calls that
//! really ran, by idempotency key and by attempt.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use stacktack_node::http::{json_response, problem_response, read_body, serve};

use crate::response::service_response;

/// Largest request body accepted.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Time within which a request body must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts of the calls that ran, for checks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    /// Number of calls that ran.
    pub calls: u64,
    /// Number of runs by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Number of runs by attempt.
    pub by_attempt: BTreeMap<String, u32>,
}

impl Observed {
    /// Counts a call, also under its idempotency key and its attempt where these are given.
    pub fn count_call(&mut self, key: Option<&str>, attempt: Option<&str>) {
        self.calls += 1;
        if let Some(key) = key {
            *self.by_key.entry(key.to_string()).or_insert(0) += 1;
        }
        if let Some(attempt) = attempt {
            *self.by_attempt.entry(attempt.to_string()).or_insert(0) += 1;
        }
    }
}

/// Serves calls on the current thread; each call takes `duration`.
pub async fn run(listener: std::net::TcpListener, duration: Duration) -> std::io::Result<()> {
    let observed = Rc::new(RefCell::new(Observed::default()));
    serve(listener, move |request| {
        handle_request(observed.clone(), duration, request)
    })
    .await
}

async fn handle_request(
    observed: Rc<RefCell<Observed>>,
    duration: Duration,
    mut request: Request,
) -> Response<BoxBody> {
    if request.method() == Method::GET && request.path() == "/observed" {
        return json_response(StatusCode::OK, &*observed.borrow());
    }
    let body = match read_body(&mut request, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return problem_response(&error.problem()),
    };
    let header = |name: &str| {
        let value = request.head().headers().get(name)?;
        value.to_str().ok().map(String::from)
    };
    observed.borrow_mut().count_call(
        header("idempotency-key").as_deref(),
        header("x-request-id").as_deref(),
    );
    if !duration.is_zero() {
        actix_rt::time::sleep(duration).await;
    }
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let text = service_response(request.method().as_str(), target, &body);
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/plain"))
        .body(text)
        .map_into_boxed_body()
}
