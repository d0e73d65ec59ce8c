//! Discovers the other routers by fetching whole lists from peers, at the start and periodically.
//!
//! A gossip datagram carries only a few addresses, so that by gossip alone a router of a large
//! fleet knew 200 of 356 others after 24 s. One list has all of them at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use crate::peer_updates::PeerSource;
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Maximum number of peers that are asked for one list while they fail to answer.
const MAX_TRIES_PER_LIST: usize = 3;

/// Delays before the first lists, each with a jitter of 50 %. When all routers start at once, the
/// seed routers have heard from all others by then.
const INITIAL_DELAYS: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(2000),
];

/// Delay before each later list, with a jitter of 50 %. A list of 714 routers is 6 kB.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Time without any byte after which a fetch of a list fails.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Fetches lists of the fleet's routers from peers. Never returns.
pub async fn discover_routers(router: Rc<Router>, source: Rc<dyn PeerSource>) {
    let later = std::iter::repeat(REFRESH_INTERVAL);
    for delay in INITIAL_DELAYS.into_iter().chain(later) {
        sleep(delay.mul_f64(rand::rng().random_range(0.5..=1.5))).await;
        let mut failed = false;
        for _ in 0..MAX_TRIES_PER_LIST {
            let random = &mut rand::rng();
            let peer = router.peers.borrow().discovery_peer(failed, random);
            let Some(peer) = peer else { break };
            failed = !fetch_list(&router, source.as_ref(), peer).await;
            if !failed {
                break;
            }
        }
    }
}

/// Fetches a list from a peer and adds its addresses; returns whether the fetch succeeded.
async fn fetch_list(router: &Router, source: &dyn PeerSource, peer: SocketAddr) -> bool {
    let transfer = Transfer::begin();
    let call = source.routers(peer, transfer.clone());
    match with_idle_timeout(call, &transfer, IDLE_TIMEOUT).await {
        Ok(routers) => {
            let (before, now) = {
                let mut peers = router.peers.borrow_mut();
                let before = peers.known_routers();
                peers.add_addresses(&routers);
                (before, peers.known_routers())
            };
            log::info!(
                target: "peers",
                "peer={peer} fetched=routers told={} known_before={before} known={now} ms={}",
                routers.len(),
                transfer.elapsed().as_millis()
            );
            true
        }
        Err(error) => {
            log::info!(target: "peers", "peer={peer} fetched=false what=routers cause=\"{error}\"");
            false
        }
    }
}
