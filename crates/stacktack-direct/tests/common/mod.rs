//! A router without sockets, for tests on virtual time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, Response, StatusCode};
use stacktack_core::direct::request::budget::BudgetBound;
use stacktack_direct::clock::{Clock, RuntimeClock};
use stacktack_direct::metrics::DirectMetrics;
use stacktack_direct::ports::{
    BackEndResponseHead, CallerRequest, ForwardMetadata, Protocol, Refusal,
};
use stacktack_direct::router::Router;
use stacktack_direct::settings::{Bounds, DirectSettings, PeerSettings};
use stacktack_node::metrics::Metrics;
use tokio::time::sleep;

/// A protocol for a router that gets no requests, or refuses all with a body.
#[derive(Default)]
struct NoProtocol {
    refusal: Bytes,
}

impl Protocol for NoProtocol {
    fn read_request(&self, _: &request::Parts) -> CallerRequest {
        CallerRequest::default()
    }

    fn forward_headers(&self, caller: &HeaderMap, _: &ForwardMetadata<'_>) -> HeaderMap {
        caller.clone()
    }

    fn read_response(&self, _: &response::Parts) -> BackEndResponseHead {
        BackEndResponseHead::default()
    }

    fn proves_not_run(&self, _: StatusCode) -> bool {
        false
    }

    fn response_headers(&self, back_end: &HeaderMap) -> HeaderMap {
        back_end.clone()
    }

    fn refuse(&self, _: &Refusal, _: Option<&str>) -> Response<Bytes> {
        Response::new(self.refusal.clone())
    }
}

/// A router that knows nothing yet.
pub fn router() -> Rc<Router> {
    router_with(Rc::new(RuntimeClock::start()))
}

/// The same with a clock of the test's own.
pub fn router_with(clock: Rc<dyn Clock>) -> Rc<Router> {
    router_of(clock, &[], NoProtocol::default())
}

/// A router that knows these others from its settings.
#[allow(
    dead_code,
    reason = "not all tests that share this module start beside others"
)]
pub fn router_with_seeds(seeds: &[SocketAddr]) -> Rc<Router> {
    router_of(Rc::new(RuntimeClock::start()), seeds, NoProtocol::default())
}

/// A router that knows nothing yet and refuses all with a body.
#[allow(
    dead_code,
    reason = "not all tests that share this module send requests"
)]
pub fn router_that_refuses_with(refusal: Bytes) -> Rc<Router> {
    let clock = Rc::new(RuntimeClock::start());
    router_of(clock, &[], NoProtocol { refusal })
}

fn router_of(clock: Rc<dyn Clock>, seeds: &[SocketAddr], protocol: NoProtocol) -> Rc<Router> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = DirectSettings {
        name: "router".to_owned(),
        zone: "zone".to_owned(),
        callers: nowhere,
        readiness: nowhere,
        metrics: nowhere,
        peers: PeerSettings {
            listen: nowhere,
            seeds: seeds.to_vec(),
        },
        bounds: Bounds {
            grace: Duration::from_secs(8),
            drain_timeout: Duration::from_secs(3),
            config_apply: Duration::from_secs(3),
            retry_budget: BudgetBound {
                ratio: 0.2,
                extra: 56.0,
                window: Duration::from_secs(10),
            },
            load_cap: 2.0,
            exposure: None,
        },
    };
    let metrics = Metrics::new().expect("metrics");
    let instruments = DirectMetrics::new(&metrics.meter());
    Rc::new(Router::new(settings, Rc::new(protocol), instruments, clock))
}

/// Lets time pass.
pub async fn after(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
}
