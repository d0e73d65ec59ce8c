//! Sends gossip to other routers and receives theirs, in datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use stacktack_core::direct::back_ends::back_end::hash_of_id;
use stacktack_core::direct::peers::peer_gossip::{OwnGossip, PeerGossip};
use stacktack_core::direct::peers::{OutgoingDatagram, MAX_DATAGRAM_BYTES};
use stacktack_core::direct::quarantine::record::RecordGossip;
use stacktack_core::direct::work::gossip::{merge_backlogs, newest_backlogs};
use tokio::time::sleep;

use crate::datagram::{decode, encode_with, OptionalContent, WorkGossip};
use crate::datagram_socket::DatagramSocket;
use crate::router::Router;
use crate::stream_versions::is_stream_datagram;

/// Interval between ticks, in each of which the next peers of a gossip round receive a datagram.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two pushes: changes that arrive meanwhile go out with the second one.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of suspected back ends in one datagram.
const MAX_SUSPECTS: usize = 24;

/// Maximum number of back ends in one datagram that were suspect and serve again.
const MAX_RECOVERIES: usize = 16;

/// Receives and applies datagrams from peers; never returns.
pub async fn receive(router: Rc<Router>, socket: Rc<impl DatagramSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.receive_datagram(&mut buffer).await else {
            sleep(TICK_INTERVAL).await;
            continue;
        };
        if is_stream_datagram(&buffer[..length]) {
            if let Some(response) = router.on_stream_datagram(from, &buffer[..length]) {
                // A response that cannot be sent counts as lost.
                let _ = socket.send_datagram(&response, from).await;
            }
            continue;
        }
        match decode(&buffer[..length]) {
            Ok(datagram) => {
                router.record_activity();
                merge_gossip(&router, &datagram.gossip);
                if router.is_caught_up() {
                    router.apply_source_ages(&datagram.gossip, &datagram.ages, &datagram.reads);
                }
                merge_records(&router, &datagram.records);
                router.merge_rollout_gossip(&datagram.rollouts);
                merge_work(&router, datagram.gossip.from, &datagram.work);
                router.merge_recoveries(datagram.gossip.from, &datagram.recoveries);
            }
            Err(error) => log::debug!(target: "peers", "cannot decode datagram: {error}"),
        }
    }
}

/// Merges a peer's gossip about itself and about other routers and back ends.
pub fn merge_gossip(router: &Router, gossip: &PeerGossip) {
    let now = router.now();
    router.on_contact();
    let joined = router.peers.borrow_mut().receive(gossip, now);
    let has_all = router.configuration_version() > 0 && router.directory_revision() > 0;
    if has_all && router.peers.borrow().has_uninitialized_peers() {
        router.bootstrap_push_due.notify_one();
    }
    if gossip.configuration > router.configuration_version()
        || gossip.directory > router.directory_revision()
    {
        router.newer_revision_announced.notify_waiters();
    }
    if joined {
        log::info!(
            target: "peers",
            "peer={} joined=true incarnation={} configuration={} directory={}",
            gossip.from,
            gossip.incarnation,
            gossip.configuration,
            gossip.directory,
        );
    }
    let mut back_ends = router.back_ends.borrow_mut();
    back_ends.merge_reported_loads(&gossip.reported_loads, now);
    drop(back_ends);
    for drain in &gossip.zone_drains {
        router.merge_zone_drain(drain, "peer");
    }
    if !gossip.suspects.is_empty() {
        router.apply_suspect_reports(gossip.from, &gossip.suspects);
    }
    if gossip.prefix_locations.is_empty() {
        return;
    }
    let back_ends = router.back_ends.borrow();
    let mut locations = router.prefix_locations.borrow_mut();
    let counts_work = router.counts_any_work();
    let mut known_parts = router.known_parts.borrow_mut();
    for (part, short_id) in &gossip.prefix_locations {
        if let Some(id) = back_ends.resolve_short_id(*short_id) {
            locations.record(*part, id, now);
            if counts_work {
                known_parts.record_part(*part, hash_of_id(id), now);
            }
        }
    }
}

/// Merges a peer's records of requests that crash back ends.
fn merge_records(router: &Router, records: &[RecordGossip]) {
    if records.is_empty() {
        return;
    }
    let now = router.now();
    let draw = rand::rng().random();
    let changes = router.quarantine.borrow_mut().merge(records, draw, now);
    router.on_treatment_changes(&changes, "peer");
}

/// Merges the work that a peer tells.
fn merge_work(router: &Router, from: SocketAddr, work: &WorkGossip) {
    if !router.counts_any_work() {
        return;
    }
    let now = router.now();
    let mut back_ends = router.back_ends.borrow_mut();
    merge_backlogs(&mut back_ends, &work.backlogs, now);
    let mut tenants = router.tenant_work.borrow_mut();
    if work.tells_idle_tenants() {
        tenants.on_idle_report(from, now);
    } else {
        tenants.on_report(from, &work.tenants, now);
    }
}

/// Work to tell peers; empty unless some pool counts work.
fn work_gossip(router: &Router) -> WorkGossip {
    if !router.counts_any_work() {
        return WorkGossip::default();
    }
    WorkGossip {
        backlogs: newest_backlogs(&router.back_ends.borrow(), router.now()),
        tenants: router.tenant_work.borrow().report(router.now()),
    }
}

/// Runs gossip rounds: sends datagrams at each tick and updates the state that depends on what
/// peers gossiped; never returns.
pub async fn run_rounds(router: Rc<Router>, socket: Rc<impl DatagramSocket>) {
    send_tick(&router, socket.as_ref()).await;
    loop {
        let due = Instant::now() + TICK_INTERVAL;
        sleep(TICK_INTERVAL).await;
        router.record_timer_lag(due.elapsed());
        router.record_activity();
        router.check_for_suspension();
        send_tick(&router, socket.as_ref()).await;
        router.apply_peer_loads();
        router.update_slow_start();
        router.evaluate_rollouts();
    }
}

/// Pushes changes to a few peers at once, and bootstrap pushes to uninitialized peers; never
/// returns.
pub async fn push_updates(router: Rc<Router>, socket: Rc<impl DatagramSocket>) {
    loop {
        let spread = tokio::select! {
            () = router.push_due.notified() => true,
            () = router.bootstrap_push_due.notified() => false,
        };
        let own = own_gossip(&router);
        let outgoing = {
            let mut peers = router.peers.borrow_mut();
            peers.push(&own, spread, &mut rand::rng())
        };
        send(&router, socket.as_ref(), outgoing).await;
        sleep(MIN_PUSH_INTERVAL).await;
    }
}

fn own_gossip(router: &Router) -> OwnGossip {
    let now = router.now();
    let has_short_round = router.peers.borrow().has_short_round();
    OwnGossip {
        configuration: router.configuration_version(),
        directory: router.directory_revision(),
        serving: router.is_ready(),
        directory_steady: router.store.is_steady(now) && router.directory_is_watched(),
        in_flight: router.back_ends.borrow().own_loads(has_short_round, now),
        reported_loads: if has_short_round {
            Vec::new()
        } else {
            router.back_ends.borrow().reported_loads(now)
        },
        suspects: router.back_ends.borrow().suspects(MAX_SUSPECTS, now),
        zone_drains: router.zone_drains.borrow().gossip(),
    }
}

async fn send_tick(router: &Router, socket: &impl DatagramSocket) {
    let own = own_gossip(router);
    let outgoing = router.peers.borrow_mut().tick(&own, router.now());
    send(router, socket, outgoing).await;
}

async fn send(router: &Router, socket: &impl DatagramSocket, outgoing: Vec<OutgoingDatagram>) {
    let ages = router.source_ages();
    let reads = router.source_reads();
    let records = router.quarantine.borrow_mut().gossip(router.now());
    let work = work_gossip(router);
    let recoveries = router
        .back_ends
        .borrow()
        .recoveries(MAX_RECOVERIES, router.now());
    for datagram in outgoing {
        let rollouts = router.rollout_gossip();
        let parts = OptionalContent {
            rollouts: &rollouts,
            work: &work,
            recoveries: &recoveries,
        };
        let bytes = encode_with(&datagram.gossip, &records, &ages, &reads, &parts);
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", "cannot encode datagram: {error}");
                continue;
            }
        };
        router.peers.borrow_mut().on_sent(bytes.len());
        // A datagram that cannot be sent counts as lost, like any other lost datagram.
        let _ = socket.send_datagram(&bytes, datagram.to).await;
    }
}
