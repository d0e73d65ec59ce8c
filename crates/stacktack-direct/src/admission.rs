//! Admits a caller's request as an exchange, or refuses it early.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response};
use rand::Rng;
use stacktack_core::direct::quarantine;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::suspects::Suspects;
use stacktack_core::direct::request::attempt::AttemptHistory;
use stacktack_core::direct::traffic::route::{Route, Tenant, TrafficConfiguration};
use stacktack_core::time::Time;
use tokio::sync::Notify;

use crate::count_guard::CountGuard;
use crate::exchange::{Exchange, Outcome};
use crate::memory::ResponseAccount;
use crate::ports::{CallerRequest, RefusalKind};
use crate::quarantine::{caller_hash, request_digest};
use crate::request_body::RequestBody;
use crate::respond::{refuse_early, respond, ReturnTerms};
use crate::response_body::ResponseBody;
use crate::router::{pool_name, Phase, Router};

/// Part of a route's latency objective for which a caller is not read while memory is short. After
/// more, another router could not respond in time either.
const BODY_PATIENCE_DIVISOR: u32 = 2;

/// Handles one request of a caller; `close` closes its connection.
pub async fn handle_request(
    router: Rc<Router>,
    request: Request<Incoming>,
    close: &Rc<Notify>,
) -> Response<ResponseBody> {
    router.check_for_suspension();
    let started = router.now();
    let (head, body) = request.into_parts();
    let caller = router.protocol.read_request(&head);
    match admit(&router, started, head, body, caller, close).await {
        Ok(exchange) => respond(exchange).await,
        Err(EarlyRefusal {
            kind,
            id,
            version,
            return_terms,
        }) => refuse_early(&router, kind, id.as_deref(), version, return_terms),
    }
}

/// Refusal of a request before it becomes an exchange.
struct EarlyRefusal {
    kind: RefusalKind,
    id: Option<String>,
    version: u64,
    return_terms: ReturnTerms,
}

async fn admit(
    router: &Rc<Router>,
    started: Time,
    head: request::Parts,
    body: Incoming,
    caller: CallerRequest,
    close: &Rc<Notify>,
) -> Result<Box<Exchange>, EarlyRefusal> {
    let configuration = router.configuration.borrow().clone();
    let version = configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version);
    let id = caller.id.clone();
    let refused = |kind| EarlyRefusal {
        kind,
        id: id.clone(),
        version,
        return_terms: ReturnTerms {
            remaining: caller.timeout,
            after: None,
        },
    };
    if *router.phase.borrow() >= Phase::Draining {
        return Err(refused(RefusalKind::Stopping));
    }
    if router.awaits_contact() {
        return Err(refused(RefusalKind::NotReady));
    }
    let configuration = configuration.ok_or_else(|| refused(RefusalKind::NotReady))?;
    let route = find_route(&configuration, &head).ok_or_else(|| refused(RefusalKind::NoRoute))?;
    let tenant = find_tenant(&configuration, &route, &caller)
        .map_err(|()| refused(RefusalKind::UnknownKey))?;
    let id_text = id.clone().ok_or_else(|| refused(RefusalKind::Malformed))?;
    let timeout = caller
        .timeout
        .map_or(route.timeout, |time| time.min(route.timeout));
    let deadline = started + timeout;
    if !router.may_admit(&id_text, &route, deadline) {
        return Err(refused(RefusalKind::Stopping));
    }
    let account = match &router.memory {
        Some(memory) => Some(
            ResponseAccount::open(router, memory, &id_text, close).map_err(|retry_after| {
                let mut refusal = refused(RefusalKind::MemorySpent);
                refusal.return_terms.after = Some(retry_after);
                refusal
            })?,
        ),
        None => None,
    };
    // A process that stops waits for the body.
    let being_read = CountGuard::new(router.clone(), |router| &router.requests_being_read);
    let patience = route.objective / BODY_PATIENCE_DIVISOR;
    let read = RequestBody::read(router, body, configuration.limits.body_bytes, patience);
    let read = tokio::select! {
        biased;
        read = read => Some(read),
        () = router.until_response_due(deadline) => None,
    };
    let body = match read {
        Some(Ok(body)) => body,
        Some(Err(kind)) => return Err(refused(kind)),
        None if router.now() < deadline => return Err(refused(RefusalKind::Stopping)),
        None => return Err(refused(RefusalKind::BodyTimeout)),
    };
    // The body may have arrived slowly, and too little time may be left by now.
    if !router.may_admit(&id_text, &route, deadline) {
        return Err(refused(RefusalKind::Stopping));
    }
    let target = route.draw_target(rand::rng().next_u32());
    let pool = &route.targets[target].back_ends;
    let digest = OnceCell::new();
    let suspect_parts = OnceCell::new();
    let assessment = router.assess(|| Suspects {
        request: Some(
            *digest.get_or_init(|| request_digest(&head, body.bytes(), tenant.as_deref())),
        ),
        parts: suspect_parts
            .get_or_init(|| quarantine::suspects::suspect_parts(&caller.prompt, pool_name(pool)))
            .clone(),
        caller: caller_hash(tenant.as_deref()),
    });
    let treatment = assessment.treatment;
    if let (Treatment::SetAside, Some(suspect)) = (treatment, assessment.suspect) {
        log::info!(target: "quarantine", "id={id_text} suspect={suspect} refused=true");
        return Err(refused(RefusalKind::SetAside));
    }
    if treatment < Treatment::Probation {
        // A request on probation gets no retries and earns none.
        router.count_request(pool);
    }
    router
        .requests_in_flight
        .set(router.requests_in_flight.get() + 1);
    drop(being_read);
    let admitted_after_deregistration = router.count_admission_after_deregistration();
    let run = router.begin_run(&route.name);
    Ok(Box::new(Exchange {
        router: router.clone(),
        route,
        target,
        id: id_text,
        tenant,
        head,
        body,
        account,
        caller,
        version,
        started,
        run,
        admitted_after_deregistration,
        deadline,
        digest,
        suspect_parts,
        crash_probe: None,
        history: AttemptHistory::default(),
        attempt_in_flight: false,
        is_retry_granted: false,
        reserved_permit: None,
        began_at: None,
        tried: Vec::new(),
        admitted: false,
        admission_key: OnceCell::new(),
        no_time_before_stop: false,
        retry_after: None,
        is_pool_paused: false,
        is_back_end_behind: false,
        expected_first_event: None,
        outcome: Outcome::Open,
    }))
}

fn find_route(configuration: &TrafficConfiguration, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head
        .headers
        .get(hyper::header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())?;
    configuration.routes.find(host, head.uri.path()).cloned()
}

fn find_tenant(
    configuration: &TrafficConfiguration,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<Tenant>>, ()> {
    let Some(keys) = &configuration.keys else {
        return Ok(None);
    };
    let tenant = caller.key.as_deref().and_then(|key| keys.tenant(key));
    if tenant.is_none() && !route.public {
        return Err(());
    }
    Ok(tenant.cloned())
}
