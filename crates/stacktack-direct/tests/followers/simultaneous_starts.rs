//! Many routers that start at once while one router already knows the directory, on virtual time.
//!
//! These tests guard against the following failure. Of twenty routers that started at once, those
//! that the first peer refused because its transfers were at their limit waited 100 ms before they
//! asked another peer, although it had the directory as well, and refused all requests meanwhile.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select_all;
use futures_util::FutureExt;
use hyper::StatusCode;
use stacktack_direct::followers::{fetch_from_peers, follow_directory};
use stacktack_direct::gossip::merge_gossip;
use stacktack_direct::peer_updates::{serve_peer, PeerQuery, PeerSource, PeerUpdate};
use stacktack_direct::ports::{LocalBoxFuture, SourceError};
use stacktack_direct::router::Router;
use stacktack_direct::transfer::Transfer;
use tokio::time::{sleep, Instant};

use crate::common::{after, router, router_with_seeds};
use crate::scripted_directory::ScriptedDirectory;
use crate::steady_peer::steady_peer_gossip;

/// Time that the transfer of a snapshot of the directory takes.
const TRANSFER_TIME: Duration = Duration::from_millis(20);

/// Number of routers that start at once.
const STARTING: usize = 19;

/// Address of a router by its number.
fn address(number: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, number as u8 + 1)), 9)
}

/// Routers that answer queries of their peers, each over a link of its own.
struct ServingPeers(Vec<Rc<Router>>);

impl PeerSource for ServingPeers {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        query: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        let numbers = 0..self.0.len();
        let number = numbers.into_iter().find(|number| address(*number) == peer);
        let peer = self.0[number.expect("is a router")].clone();
        Box::pin(async move {
            let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let (status, body, transfer_guard) = serve_peer(&peer, caller, &query.path_and_query());
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(SourceError::NoCapacity);
            }
            sleep(TRANSFER_TIME).await;
            drop(transfer_guard);
            PeerUpdate::decode(&body)
        })
    }
}

/// Each router gossips its directory revision to all others, forever.
async fn send_gossip(routers: &[Rc<Router>]) {
    loop {
        for (number, from) in routers.iter().enumerate() {
            let gossip = steady_peer_gossip(address(number), 0, from.directory_revision());
            for (_, to) in routers.iter().enumerate().filter(|(to, _)| *to != number) {
                merge_gossip(to, &gossip);
            }
        }
        after(10).await;
    }
}

/// Time until all routers know a directory with this number of back ends, which one of them read.
async fn time_until_all_know(back_ends: usize) -> Duration {
    let directory = Rc::new(ScriptedDirectory::default());
    for number in 0..back_ends {
        directory.set(&format!("back-end-{number}"), true);
    }
    let first = router();
    tokio::select! {
        () = follow_directory(first.clone(), directory) => {}
        () = after(100) => {}
    }
    let starting = (0..STARTING).map(|_| router_with_seeds(&[address(0)]));
    let routers: Vec<Rc<Router>> = std::iter::once(first).chain(starting).collect();
    let source = Rc::new(ServingPeers(routers.clone()));
    let follow =
        |router: &Rc<Router>| fetch_from_peers(router.clone(), source.clone()).boxed_local();
    let followers = select_all(routers[1..].iter().map(follow));
    let started = Instant::now();
    let all_know = async {
        while !routers.iter().all(|router| router.directory_revision() > 0) {
            after(1).await;
        }
    };
    tokio::select! {
        _ = followers => {}
        () = send_gossip(&routers) => {}
        () = all_know => {}
    }
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_router_refused_for_lack_of_capacity_fetches_from_another_peer() {
    for _ in 0..10 {
        let took = time_until_all_know(2000).await;
        assert!(took < Duration::from_millis(150), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn small_snapshots_are_not_limited() {
    for _ in 0..10 {
        let took = time_until_all_know(6).await;
        assert!(took < Duration::from_millis(50), "{took:?}");
    }
}
