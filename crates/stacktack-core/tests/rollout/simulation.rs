//! Simulation, on virtual time, of routers, back ends of two versions and a store.
//!
//! Callers send requests to the routes of one service. Routers gossip within their byte budget;
//! 3 in 100 datagrams are lost. A response of the store may be lost, and the write may be applied
//! up to three seconds later.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::peers::peer_gossip::OwnGossip;
use stacktack_core::direct::peers::{OutgoingDatagram, Peers};
use stacktack_core::direct::rollout::exposure::ExposureBound;
use stacktack_core::direct::rollout::gossip::RolloutGossip;
use stacktack_core::direct::rollout::latency::LatencyTarget;
use stacktack_core::direct::rollout::state::RolloutState;
use stacktack_core::direct::rollout::status::{write_rank, StatusWrite, StatusWriteResult};
use stacktack_core::direct::rollout::{RolloutChange, Rollouts, VersionSelection};
use stacktack_core::time::Time;

use crate::event_queue::{random_time, EventQueue};
use crate::gossip::{address, peers, Network, DELAY, INTERVAL, OTHER_BYTES};
use crate::scenario::{Fault, Outcome, Scenario};
use crate::store::Store;

pub const SERVICE: &str = "service";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
pub const ROUTES: [&str; 4] = ["one", "two", "three", "four"];
/// Exposure bound with which all routers are configured.
pub const BOUND: ExposureBound = ExposureBound {
    share: 0.1,
    slack: 50.0,
};

/// Time for which routers discover each other before the roll-out order is given.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time from a write call to the response of the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Time after which a router gives up a write call without a response.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of bytes of roll-out gossip in one datagram.
const MAX_ROLLOUT_BYTES: usize = 300;

/// Latency target of all routes.
const LATENCY_TARGET: LatencyTarget = LatencyTarget {
    objective: Duration::from_millis(120),
    needs_prefill: false,
};

/// Time after the 50th bad response from which requests to the new version count as late.
const MAX_ROLLBACK_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Response {
        router: usize,
        instance: u32,
        is_new: bool,
        route: usize,
        /// Time to first byte; `None` if the response failed.
        latency: Option<Duration>,
        is_retry: bool,
    },
    Tick(usize),
    Datagram(usize, u64),
    ReadOrder(usize),
    GiveOrder,
    ApplyWrite(usize),
    WriteCallEnd(usize),
    EndPartition,
    Restart(usize),
}

struct Router {
    peers: Peers,
    rollouts: Rollouts,
    /// Number of times that the router was killed. Responses and ends of write calls of an earlier
    /// instance are ignored.
    instance: u32,
    is_up: bool,
    is_partitioned: bool,
    /// Whether a write call has not ended.
    is_writing: bool,
    /// Bytes of all datagrams since the roll-out order was given, including headers.
    bytes: usize,
    /// Weight with which first tries choose this router.
    weight: f64,
    /// Requests that this router sent since it was last killed.
    sent_requests: u64,
    /// Requests to the new version, included in `sent_requests`.
    sent_exposed: u64,
}

/// A call to the store that writes a status.
struct WriteCall {
    router: usize,
    instance: u32,
    write: StatusWrite,
    gets_response: bool,
    result: Option<StatusWriteResult>,
}

pub struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    queue: EventQueue<Event>,
    network: Network<Vec<RolloutGossip>>,
    routers: Vec<Router>,
    store: Store,
    writes: Vec<WriteCall>,
    /// When the response to the 50th request that the fault affects arrives. The requests are
    /// counted when they are sent.
    fiftieth_bad_at: Option<Time>,
    outcome: Outcome,
}

fn rollouts(random: &mut ChaCha8Rng) -> Rollouts {
    Rollouts::new(random.random(), Some(BOUND)).expect("the roll-out chart is complete")
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut queue = EventQueue::new(Time(10_000_000));
        let routers: Vec<Router> = (0..scenario.routers)
            .map(|number| {
                let spread = Duration::from_micros(random.random_range(0..100_000));
                queue.schedule(spread, Event::Tick(number));
                Router {
                    peers: peers(number, scenario.routers, &mut random, queue.now),
                    rollouts: rollouts(&mut random),
                    instance: 0,
                    is_up: true,
                    is_partitioned: false,
                    is_writing: false,
                    bytes: 0,
                    weight: random.random_range(0.3..1.7),
                    sent_requests: 0,
                    sent_exposed: 0,
                }
            })
            .collect();
        queue.schedule(WARM_UP, Event::GiveOrder);
        Simulation {
            scenario,
            random,
            queue,
            network: Network::new(scenario.routers),
            routers,
            store: Store::new(),
            writes: Vec::new(),
            fiftieth_bad_at: None,
            outcome: Outcome::default(),
        }
    }

    /// Runs for the warm-up and 1.5 times the duration of the roll-out order, so that the outcome
    /// can be stored.
    pub fn run(mut self) -> Outcome {
        let end = self.queue.now + WARM_UP + self.scenario.duration.mul_f64(1.5);
        while self.queue.now < end {
            let Some(event) = self.queue.next() else {
                break;
            };
            self.handle(event);
        }
        let seconds = self.scenario.duration.mul_f64(1.5).as_secs_f64();
        let max_bytes = self.routers.iter().map(|router| router.bytes).max();
        self.outcome.bytes_per_second = max_bytes.unwrap_or(0) as f64 / seconds;
        self.outcome.stored = self.store.outcomes;
        self.outcome.decided_after = self.store.decided_after;
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::GiveOrder => self.give_order(),
            Event::ReadOrder(router) => self.read_order(router),
            Event::Tick(router) => self.tick(router),
            Event::Datagram(router, datagram) => self.receive(router, datagram),
            Event::Request => self.send_first_try(),
            Event::Response {
                router,
                instance,
                is_new,
                route,
                latency,
                is_retry,
            } => {
                if self.routers[router].instance == instance {
                    self.on_response(router, is_new, route, latency);
                    if latency.is_none() && !is_retry {
                        self.send(router, route, true);
                    }
                }
            }
            Event::ApplyWrite(write) => self.apply_write(write),
            Event::WriteCallEnd(write) => self.on_write_call_end(write),
            Event::EndPartition => {
                for router in 0..self.routers.len() {
                    if std::mem::take(&mut self.routers[router].is_partitioned) {
                        self.read_order(router);
                    }
                }
            }
            Event::Restart(router) => {
                self.routers[router].is_up = true;
                self.read_order(router);
            }
        }
    }

    fn give_order(&mut self) {
        let now = self.queue.now;
        self.store
            .give_order(SERVICE, NEW, self.scenario.duration, now);
        for router in &mut self.routers {
            router.bytes = 0;
        }
        for router in 0..self.scenario.disturbances.partitioned_routers {
            self.routers[router].is_partitioned = true;
        }
        self.queue.schedule(
            self.scenario.disturbances.partition_time,
            Event::EndPartition,
        );
        for router in 0..self.routers.len() {
            // Every third router reads the roll-out order from the store; the others get it by
            // gossip.
            if router % 3 == 0 {
                let after = Duration::from_micros(self.random.random_range(4_000..200_000));
                self.queue.schedule(after, Event::ReadOrder(router));
            }
        }
        self.queue.schedule(Duration::ZERO, Event::Request);
    }

    fn read_order(&mut self, router: usize) {
        let now = self.queue.now;
        if let Some(order) = self.store.order() {
            if !self.routers[router].is_partitioned {
                self.routers[router].rollouts.apply_order(order, now);
            }
        }
    }

    fn since_order(&self) -> Duration {
        self.store.since_order(self.queue.now)
    }

    fn send_first_try(&mut self) {
        let pause = random_time(&mut self.random, 1.0 / self.scenario.rate);
        self.queue.schedule(pause, Event::Request);
        let sum: f64 = self.routers.iter().map(|router| router.weight).sum();
        let mut left = self.random.random::<f64>() * sum;
        let chosen = self.routers.iter().position(|router| {
            left -= router.weight;
            left < 0.0
        });
        let router = chosen.unwrap_or(0);
        let route = self.random.random_range(0..ROUTES.len());
        if self.routers[router].is_up {
            self.send(router, route, false);
        }
    }

    fn send(&mut self, router: usize, route: usize, is_retry: bool) {
        let is_over = self.since_order() > self.scenario.duration;
        let fault = self.fault_on(route);
        let now = self.queue.now;
        let sender = &mut self.routers[router];
        let selection = sender.rollouts.select_version(SERVICE, !is_retry, now);
        // A request that may go to any version goes to the old one.
        let is_new = selection == VersionSelection::New
            && sender.rollouts.may_receive_requests(SERVICE, NEW);
        let version = if is_new { NEW } else { OLD };
        sender.rollouts.on_send(SERVICE, version);
        let is_undecided = !sender
            .rollouts
            .state(SERVICE)
            .is_some_and(RolloutState::is_decided);
        if !is_over && !sender.is_partitioned {
            self.outcome.requests += 1;
            self.outcome.exposed += u64::from(is_new);
            let late = |fiftieth_bad_at| now.since(fiftieth_bad_at) > MAX_ROLLBACK_TIME;
            let is_late = is_new && self.fiftieth_bad_at.is_some_and(late);
            self.outcome.late_requests += u64::from(is_late);
        }
        sender.sent_requests += 1;
        sender.sent_exposed += u64::from(is_new);
        if is_undecided && sender.rollouts.state(SERVICE) <= Some(RolloutState::Trial) {
            let excess = sender.sent_exposed as f64 - BOUND.share * sender.sent_requests as f64;
            self.outcome.own_excess = self.outcome.own_excess.max(excess);
        }
        let instance = sender.instance;
        let usual_latency = Duration::from_millis(10) + random_time(&mut self.random, 0.005);
        let failure_share = match self.since_order() > self.scenario.duration / 2 {
            true => self.scenario.disturbances.common_failure_share.max(0.005),
            false => 0.005,
        };
        let mut latency = (self.random.random::<f64>() >= failure_share).then_some(usual_latency);
        let fault = fault.filter(|fault| is_new && self.random.random::<f64>() < fault.bad_share);
        if let Some(fault) = fault {
            latency = latency.filter(|_| fault.slowdown > 0.0);
            latency = latency.map(|latency| latency.mul_f64(fault.slowdown));
            self.outcome.bad_responses += 1;
            if self.outcome.bad_responses == 50 {
                self.fiftieth_bad_at = Some(self.queue.now + latency.unwrap_or(usual_latency));
            }
        }
        self.queue.schedule(
            latency.unwrap_or(usual_latency),
            Event::Response {
                router,
                instance,
                is_new,
                route,
                latency,
                is_retry,
            },
        );
    }

    fn fault_on(&self, route: usize) -> Option<Fault> {
        let since = self.since_order();
        let fault = self
            .scenario
            .fault
            .filter(|fault| since >= fault.starts_after);
        fault.filter(|fault| fault.route.is_none_or(|affected| affected == route))
    }

    fn on_response(
        &mut self,
        router: usize,
        is_new: bool,
        route: usize,
        latency: Option<Duration>,
    ) {
        let version = if is_new { NEW } else { OLD };
        let rollouts = &mut self.routers[router].rollouts;
        rollouts.on_response(SERVICE, version, ROUTES[route], latency, LATENCY_TARGET);
    }

    fn tick(&mut self, number: usize) {
        self.queue.schedule(INTERVAL, Event::Tick(number));
        let now = self.queue.now;
        let router = &mut self.routers[number];
        if !router.is_up {
            return;
        }
        let rank = write_rank(address(number), router.peers.addresses());
        router.rollouts.configure(Some(BOUND), rank);
        let changes = router.rollouts.tick(now);
        let outgoing = router.peers.tick(&OwnGossip::default(), now);
        self.send_gossip(number, &outgoing);
        self.push_urgent(number, &changes);
        self.send_due_write(number);
    }

    fn send_gossip(&mut self, number: usize, outgoing: &[OutgoingDatagram]) {
        let now = self.queue.now;
        for datagram in outgoing {
            let sender = &mut self.routers[number];
            let gossip = truncate_counts(sender.rollouts.gossip(now));
            let bytes = if gossip.is_empty() { 0 } else { size(&gossip) };
            let datagram_bytes = size(&datagram.gossip) + OTHER_BYTES + bytes + 28;
            sender.bytes += datagram_bytes;
            let sent = self.network.send_with(
                &mut sender.peers,
                datagram,
                gossip,
                OTHER_BYTES + bytes,
                &mut self.random,
            );
            if let Some((to, id)) = sent.filter(|_| !self.routers[number].is_partitioned) {
                self.queue.schedule(DELAY, Event::Datagram(to, id));
            }
        }
    }

    fn receive(&mut self, number: usize, id: u64) {
        let (peer_gossip, rollout_gossip) = self.network.arrive(id);
        let now = self.queue.now;
        let router = &mut self.routers[number];
        if router.is_partitioned || !router.is_up {
            return;
        }
        router.peers.receive(&peer_gossip, now);
        let (_, changes) = router.rollouts.merge(&rollout_gossip, now);
        self.push_urgent(number, &changes);
    }

    /// Pushes gossip to a few peers at once if a change is urgent.
    fn push_urgent(&mut self, number: usize, changes: &[RolloutChange]) {
        if changes.iter().any(|change| change.is_urgent) {
            let router = &mut self.routers[number];
            let outgoing = router
                .peers
                .push(&OwnGossip::default(), true, &mut self.random);
            self.send_gossip(number, &outgoing);
        }
    }

    fn send_due_write(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        let due = router.rollouts.due_writes(now);
        let Some(write) = due.into_iter().next().filter(|_| !router.is_writing) else {
            return;
        };
        router.is_writing = true;
        self.outcome.writes += 1;
        let disturbances = self.scenario.disturbances;
        let is_partitioned = router.is_partitioned;
        let is_lost = self.random.random::<f64>() < disturbances.lost_responses;
        let is_applied_late = is_lost && self.random.random::<bool>();
        self.writes.push(WriteCall {
            router: number,
            instance: router.instance,
            write,
            gets_response: !is_lost && !is_partitioned,
            result: None,
        });
        let id = self.writes.len() - 1;
        if !is_partitioned {
            let late_delay = Duration::from_millis(self.random.random_range(500..3000));
            let after = if is_applied_late {
                late_delay
            } else {
                STORE_LATENCY / 2
            };
            self.queue.schedule(after, Event::ApplyWrite(id));
        }
        let call_time = if is_lost || is_partitioned {
            STORE_TIMEOUT
        } else {
            STORE_LATENCY
        };
        self.queue.schedule(call_time, Event::WriteCallEnd(id));
        if self.random.random::<f64>() < disturbances.killed_writers {
            self.kill(number);
        }
    }

    fn kill(&mut self, number: usize) {
        let new_rollouts = rollouts(&mut self.random);
        let peers = peers(
            number,
            self.scenario.routers,
            &mut self.random,
            self.queue.now,
        );
        let router = &mut self.routers[number];
        router.instance += 1;
        router.is_up = false;
        router.is_writing = false;
        router.rollouts = new_rollouts;
        router.peers = peers;
        router.sent_requests = 0;
        router.sent_exposed = 0;
        self.queue
            .schedule(Duration::from_millis(700), Event::Restart(number));
    }

    fn apply_write(&mut self, id: usize) {
        let write = &mut self.writes[id];
        write.result = Some(self.store.apply(&write.write, self.queue.now));
    }

    fn on_write_call_end(&mut self, id: usize) {
        let WriteCall {
            router,
            instance,
            write,
            gets_response,
            result,
        } = &self.writes[id];
        let number = *router;
        if self.routers[number].instance != *instance {
            return;
        }
        self.routers[number].is_writing = false;
        let now = self.queue.now;
        if let Some(result) = result.as_ref().filter(|_| *gets_response) {
            let rollouts = &mut self.routers[number].rollouts;
            let changes = rollouts.on_write_result(write, result, now);
            self.push_urgent(number, &changes);
        }
    }
}

fn size<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).expect("serializes").len()
}

/// Drops counts until the roll-out gossip has at most `MAX_ROLLOUT_BYTES` bytes or no counts are
/// left.
fn truncate_counts(mut gossip: Vec<RolloutGossip>) -> Vec<RolloutGossip> {
    while size(&gossip) > MAX_ROLLOUT_BYTES {
        let longest = gossip.iter_mut().max_by_key(|rollout| rollout.counts.len());
        if longest.is_none_or(|rollout| rollout.counts.pop().is_none()) {
            break;
        }
    }
    gossip
}
