//! The other routers: whole lists from peers, at the start and now and then.
//!
//! Datagrams tell a few addresses each, so that a router of a large fleet would know all others only
//! after each address was told by chance: of 356 others 200 after 24 s. One list tells them at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use crate::peer_updates::PeerSource;
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Routers that are asked for one list, where they do not answer.
const TRIES: usize = 3;

/// Pauses before the first lists, each give or take a half: where all start at once, those that
/// everybody knows from the settings have heard all by then.
const FIRST_PAUSES: [Duration; 3] = [
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(2000),
];

/// Pause before each later list, give or take a half: a list of 714 routers is 6 kB.
const LATER_PAUSE: Duration = Duration::from_secs(30);

/// Time in which something of a list has to arrive.
const PATIENCE: Duration = Duration::from_millis(500);

/// Learns of the other routers for ever.
pub async fn discover_routers(router: Rc<Router>, source: Rc<dyn PeerSource>) {
    let later = std::iter::repeat(LATER_PAUSE);
    for pause in FIRST_PAUSES.into_iter().chain(later) {
        sleep(pause.mul_f64(rand::rng().random_range(0.5..=1.5))).await;
        let mut failed = false;
        for _ in 0..TRIES {
            let random = &mut rand::rng();
            let peer = router.peers.borrow().discovery_peer(failed, random);
            let Some(peer) = peer else { break };
            failed = !learn_from(&router, source.as_ref(), peer).await;
            if !failed {
                break;
            }
        }
    }
}

/// Takes a list from a peer; returns whether it told one.
async fn learn_from(router: &Router, source: &dyn PeerSource, peer: SocketAddr) -> bool {
    let transfer = Transfer::begin();
    let call = source.routers(peer, transfer.clone());
    match with_idle_timeout(call, &transfer, PATIENCE).await {
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
