//! Many routers that start beside one that hands over, on virtual time.
//!
//! The story. Of twenty routers that started at once those that found no room at the first peer waited 100 ms
//! before they asked another one, which knew as much all along, and refused all that came meanwhile.

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
use crate::starts::store;
use crate::steady_peer::steady_peer;

/// Time in which a whole directory gets there.
const COPY: Duration = Duration::from_millis(20);

/// Routers that start at once.
const STARTING: usize = 19;

/// The address of a router by its number.
fn address(number: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, number as u8 + 1)), 9)
}

/// Routers that hand over what they know, each over a link of its own.
struct HandingOver(Vec<Rc<Router>>);

impl PeerSource for HandingOver {
    fn fetch_update(
        &self,
        peer: SocketAddr,
        known: PeerQuery,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<PeerUpdate, SourceError>> {
        let numbers = 0..self.0.len();
        let number = numbers.into_iter().find(|number| address(*number) == peer);
        let peer = self.0[number.expect("is a router")].clone();
        Box::pin(async move {
            let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let (status, body, under_way) = serve_peer(&peer, caller, &known.path_and_query());
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(SourceError::NoCapacity);
            }
            sleep(COPY).await;
            drop(under_way);
            PeerUpdate::decode(&body)
        })
    }
}

/// Each router tells all others for ever what it knows.
async fn tell(routers: &[Rc<Router>]) {
    loop {
        for (number, from) in routers.iter().enumerate() {
            let news = steady_peer(address(number), 0, from.directory_revision());
            for (_, to) in routers.iter().enumerate().filter(|(to, _)| *to != number) {
                merge_gossip(to, &news);
            }
        }
        after(10).await;
    }
}

/// How long it takes until all know a directory of so many back ends that one of them read.
async fn time_until_all_know(back_ends: usize) -> Duration {
    let directory = Rc::new(ScriptedDirectory::default());
    for number in 0..back_ends {
        directory.set(&format!("back-end-{number}"), true);
    }
    let first = router();
    tokio::select! {
        () = follow_directory(first.clone(), directory, store()) => {}
        () = after(100) => {}
    }
    let starting = (0..STARTING).map(|_| router_with_seeds(&[address(0)]));
    let routers: Vec<Rc<Router>> = std::iter::once(first).chain(starting).collect();
    let source = Rc::new(HandingOver(routers.clone()));
    let follow =
        |router: &Rc<Router>| fetch_from_peers(router.clone(), source.clone()).boxed_local();
    let followers = select_all(routers[1..].iter().map(follow));
    let begun = Instant::now();
    let know = async {
        while !routers.iter().all(|one| one.directory_revision() > 0) {
            after(1).await;
        }
    };
    tokio::select! {
        _ = followers => {}
        () = tell(&routers) => {}
        () = know => {}
    }
    begun.elapsed()
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
