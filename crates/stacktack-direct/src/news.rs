//! News between routers: datagrams both ways.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use stacktack_core::direct::peers::peer_gossip::{OwnGossip, PeerGossip};
use stacktack_core::direct::peers::{OutgoingDatagram, MAX_DATAGRAM_BYTES};
use stacktack_core::direct::quarantine::record::RecordGossip;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::datagram::{decode, encode_with_rollouts};
use crate::followers::StoreMonitor;
use crate::router::Router;

/// Time between rounds of news.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time between two pushes: what came meanwhile goes with the second one.
const BETWEEN_PUSHES: Duration = Duration::from_millis(20);

/// Suspected back ends that are told to peers.
const SUSPECTS_TOLD: usize = 24;

/// Takes datagrams of peers for ever.
pub async fn receive(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(INTERVAL).await;
            continue;
        };
        match decode(&buffer[..length]) {
            Ok(datagram) => {
                router.note_running();
                take(&router, &datagram.news);
                if router.reads_in_time() {
                    router.apply_source_ages(&datagram.news, &datagram.ages, &datagram.reads);
                }
                take_records(&router, &datagram.records);
                router.take_rollout_news(&datagram.rollouts);
            }
            Err(error) => log::debug!(target: "peers", "a datagram does not parse: {error}"),
        }
    }
}

/// Takes what a peer tells of itself and of others.
pub fn take(router: &Router, news: &PeerGossip) {
    let now = router.now();
    router.note_heard();
    let joined = router.peers.borrow_mut().receive(news, now);
    let has_all = router.version() > 0 && router.directory_revision() > 0;
    if has_all && router.peers.borrow().has_uninitialized_peers() {
        router.newcomer_waits.notify_one();
    }
    if news.configuration > router.version() || news.directory > router.directory_revision() {
        router.peer_knows_more.notify_waiters();
    }
    if joined {
        log::info!(
            target: "peers",
            "peer={} joined=true incarnation={} configuration={} directory={}",
            news.from,
            news.incarnation,
            news.configuration,
            news.directory,
        );
    }
    let mut back_ends = router.back_ends.borrow_mut();
    back_ends.merge_reported_loads(&news.reported_loads, now);
    drop(back_ends);
    for drain in &news.zone_drains {
        router.take_zone_drain(drain, "peer");
    }
    if !news.suspects.is_empty() {
        router.take_accusations(news.from, &news.suspects);
    }
    if news.prefix_locations.is_empty() {
        return;
    }
    let back_ends = router.back_ends.borrow();
    let mut places = router.places.borrow_mut();
    for (part, short) in &news.prefix_locations {
        if let Some(id) = back_ends.resolve_short_id(*short) {
            places.record(*part, id, now);
        }
    }
}

/// Takes what a peer knows of requests that end back ends.
fn take_records(router: &Router, records: &[RecordGossip]) {
    if records.is_empty() {
        return;
    }
    let now = router.now();
    let draw = rand::rng().random();
    let changes = router.quarantine.borrow_mut().merge(records, draw, now);
    for change in changes {
        router.note_treatment(Some(change), "peer");
    }
}

/// Tells peers, and takes over what they told, for ever.
pub async fn exchange(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<StoreMonitor>) {
    tell(&router, &socket, &store).await;
    loop {
        let due = Instant::now() + INTERVAL;
        sleep(INTERVAL).await;
        router.note_lag(due.elapsed());
        router.note_running();
        router.look_for_suspension();
        tell(&router, &socket, &store).await;
        router.take_peer_loads();
        router.update_cold();
        router.judge_rollouts();
    }
}

/// Tells a few peers at once what is new here, for ever.
pub async fn push(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<StoreMonitor>) {
    loop {
        let spread = tokio::select! {
            () = router.push_due.notified() => true,
            () = router.newcomer_waits.notified() => false,
        };
        let own = own_news(&router, &store);
        let outgoing = {
            let mut peers = router.peers.borrow_mut();
            peers.push(&own, spread, &mut rand::rng())
        };
        send(&router, &socket, outgoing).await;
        sleep(BETWEEN_PUSHES).await;
    }
}

fn own_news(router: &Router, store: &StoreMonitor) -> OwnGossip {
    let now = router.now();
    let all_loads = router.peers.borrow().has_short_round();
    OwnGossip {
        configuration: router.version(),
        directory: router.directory_revision(),
        serving: router.is_ready(),
        directory_steady: store.is_steady(now) && router.directory_is_watched(),
        in_flight: router.back_ends.borrow().own_loads(all_loads, now),
        reported_loads: if all_loads {
            Vec::new()
        } else {
            router.back_ends.borrow().reported_loads(now)
        },
        suspects: router.back_ends.borrow().suspects(SUSPECTS_TOLD),
        zone_drains: router.zone_drains.borrow().gossip(),
    }
}

async fn tell(router: &Router, socket: &UdpSocket, store: &StoreMonitor) {
    let own = own_news(router, store);
    let outgoing = router.peers.borrow_mut().tick(&own, router.now());
    send(router, socket, outgoing).await;
}

async fn send(router: &Router, socket: &UdpSocket, outgoing: Vec<OutgoingDatagram>) {
    let ages = router.source_ages();
    let reads = router.source_reads();
    let records = router.quarantine.borrow_mut().gossip(router.now());
    for datagram in outgoing {
        let rollouts = router.told_rollouts();
        let bytes = encode_with_rollouts(&datagram.gossip, &records, &ages, &reads, &rollouts);
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", "a datagram cannot be written: {error}");
                continue;
            }
        };
        router.peers.borrow_mut().on_sent(bytes.len());
        // A datagram that cannot be sent is one that is lost.
        let _ = socket.send_to(&bytes, datagram.to).await;
    }
}
