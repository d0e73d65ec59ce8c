//! Routers without sockets, for tests on virtual time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, Response, StatusCode};
use stacktack_core::direct::memory::MemoryBudget;
use stacktack_core::direct::request::budget::BudgetBound;
use stacktack_direct::clock::{Clock, RuntimeClock};
use stacktack_direct::metrics::DirectMetrics;
use stacktack_direct::ports::{
    BackEndResponseHead, CallerRequest, ForwardMetadata, Protocol, Refusal,
};
use stacktack_direct::router::Router;
use stacktack_direct::settings::{Bounds, DirectSettings, PeerSettings};
use stacktack_direct::store_monitor::StoreMonitor;
use stacktack_node::metrics::Metrics;
use tokio::time::sleep;

/// A protocol for a router that gets no requests, or refuses all of them with the same body.
#[derive(Default)]
struct RefusingProtocol {
    refusal: Bytes,
}

impl Protocol for RefusingProtocol {
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

/// Creates a router without configuration and directory.
#[allow(
    dead_code,
    reason = "not all tests that share this module use this one"
)]
pub fn router() -> Rc<Router> {
    router_with(Rc::new(RuntimeClock::start()))
}

/// Creates a router without configuration and directory that reads the given clock.
#[allow(
    dead_code,
    reason = "not all tests that share this module use this one"
)]
pub fn router_with(clock: Rc<dyn Clock>) -> Rc<Router> {
    router_from(clock, &[], RefusingProtocol::default(), None)
}

/// Creates a router without configuration and directory whose peers reach it at `address`.
#[allow(
    dead_code,
    reason = "not all tests that share this module have several routers"
)]
pub fn router_at(address: SocketAddr) -> Rc<Router> {
    router_in_zone(address, "zone")
}

/// Creates a router in a zone, without configuration and directory, whose peers reach it at
/// `address`.
#[allow(
    dead_code,
    reason = "not all tests that share this module have several zones"
)]
pub fn router_in_zone(address: SocketAddr, zone: &str) -> Rc<Router> {
    let mut settings = settings(&[], None);
    settings.peers.listen = address;
    settings.zone = zone.to_owned();
    let metrics = Metrics::new().expect("metrics");
    let instruments = DirectMetrics::new(&metrics.meter());
    let protocol = Rc::new(RefusingProtocol::default());
    let clock = Rc::new(RuntimeClock::start());
    Rc::new(Router::new(settings, protocol, instruments, clock, store()))
}

/// Sets the time within which a router has to act on a departure.
#[allow(
    dead_code,
    reason = "not all tests that share this module set the bound"
)]
pub fn set_drain_timeout(router: &Router, drain_timeout: Duration) {
    let mut changed = router.settings.clone();
    changed.bounds.drain_timeout = drain_timeout;
    router.reload(&changed);
}

/// Creates a router whose settings contain the given seed routers.
#[allow(dead_code, reason = "not all tests that share this module use seeds")]
pub fn router_with_seeds(seeds: &[SocketAddr]) -> Rc<Router> {
    router_from(
        Rc::new(RuntimeClock::start()),
        seeds,
        RefusingProtocol::default(),
        None,
    )
}

/// Creates a router without configuration and directory that refuses all requests with `refusal` as
/// body.
#[allow(
    dead_code,
    reason = "not all tests that share this module send requests"
)]
pub fn router_that_refuses_with(refusal: Bytes) -> Rc<Router> {
    let clock = Rc::new(RuntimeClock::start());
    router_from(clock, &[], RefusingProtocol { refusal }, None)
}

/// Creates a router without configuration and directory that speaks the given protocol.
#[allow(
    dead_code,
    reason = "not all tests that share this module forward requests"
)]
pub fn router_that_speaks(
    protocol: impl Protocol + 'static,
    memory: Option<MemoryBudget>,
) -> Rc<Router> {
    router_from(Rc::new(RuntimeClock::start()), &[], protocol, memory)
}

fn router_from(
    clock: Rc<dyn Clock>,
    seeds: &[SocketAddr],
    protocol: impl Protocol + 'static,
    memory: Option<MemoryBudget>,
) -> Rc<Router> {
    let settings = settings(seeds, memory);
    let metrics = Metrics::new().expect("metrics");
    let instruments = DirectMetrics::new(&metrics.meter());
    let protocol = Rc::new(protocol);
    Rc::new(Router::new(settings, protocol, instruments, clock, store()))
}

fn store() -> StoreMonitor {
    StoreMonitor::new().expect("chart")
}

fn settings(seeds: &[SocketAddr], memory: Option<MemoryBudget>) -> DirectSettings {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    DirectSettings {
        name: "router".to_owned(),
        zone: "zone".to_owned(),
        callers: unused_address,
        readiness: unused_address,
        metrics: unused_address,
        peers: PeerSettings {
            listen: unused_address,
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
        memory,
    }
}

/// Sleeps for a number of milliseconds.
#[allow(dead_code, reason = "not all tests that share this module wait")]
pub async fn after(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds)).await;
}
