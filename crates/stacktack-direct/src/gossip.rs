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
                router.record_activity();
                merge_gossip(&router, &datagram.gossip);
                if router.is_caught_up() {
                    router.apply_source_ages(&datagram.gossip, &datagram.ages, &datagram.reads);
                }
                take_records(&router, &datagram.records);
                router.merge_rollout_gossip(&datagram.rollouts);
            }
            Err(error) => log::debug!(target: "peers", "a datagram does not parse: {error}"),
        }
    }
}

/// Takes what a peer tells of itself and of others.
pub fn merge_gossip(router: &Router, news: &PeerGossip) {
    let now = router.now();
    router.on_contact();
    let joined = router.peers.borrow_mut().receive(news, now);
    let has_all = router.configuration_version() > 0 && router.directory_revision() > 0;
    if has_all && router.peers.borrow().has_uninitialized_peers() {
        router.bootstrap_push_due.notify_one();
    }
    if news.configuration > router.configuration_version()
        || news.directory > router.directory_revision()
    {
        router.newer_revision_announced.notify_waiters();
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
        router.merge_zone_drain(drain, "peer");
    }
    if !news.suspects.is_empty() {
        router.apply_suspect_reports(news.from, &news.suspects);
    }
    if news.prefix_locations.is_empty() {
        return;
    }
    let back_ends = router.back_ends.borrow();
    let mut places = router.prefix_locations.borrow_mut();
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
        router.on_treatment_change(Some(change), "peer");
    }
}

/// Tells peers, and takes over what they told, for ever.
pub async fn run_rounds(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<StoreMonitor>) {
    tell(&router, &socket, &store).await;
    loop {
        let due = Instant::now() + INTERVAL;
        sleep(INTERVAL).await;
        router.record_timer_lag(due.elapsed());
        router.record_activity();
        router.check_for_suspension();
        tell(&router, &socket, &store).await;
        router.apply_peer_loads();
        router.update_slow_start();
        router.evaluate_rollouts();
    }
}

/// Tells a few peers at once what is new here, for ever.
pub async fn push_updates(router: Rc<Router>, socket: Rc<UdpSocket>, store: Rc<StoreMonitor>) {
    loop {
        let spread = tokio::select! {
            () = router.push_due.notified() => true,
            () = router.bootstrap_push_due.notified() => false,
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
        configuration: router.configuration_version(),
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
        let rollouts = router.rollout_gossip();
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
