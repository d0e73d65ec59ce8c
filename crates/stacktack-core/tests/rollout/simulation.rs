//! Routers, back ends of two versions and a store, on virtual time.
//!
//! Callers ask for the routes of one service. Routers tell each other within the budget of
//! bytes; 3 in 100 datagrams are lost. An answer of the store may be lost, and its write may
//! be done seconds later.

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
use crate::scenario::{Fault, Outcome, Plan};
use crate::store::Store;

pub const SERVICE: &str = "service";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
pub const ROUTES: [&str; 4] = ["one", "two", "three", "four"];
pub const BOUND: ExposureBound = ExposureBound {
    share: 0.1,
    slack: 50.0,
};

/// Time for which routers get to know each other before the order.
const WARM_UP: Duration = Duration::from_secs(8);
const STORE_ANSWER: Duration = Duration::from_millis(4);
const PATIENCE: Duration = Duration::from_millis(500);

/// Most bytes of one datagram that roll-outs get.
const ROLLOUT_BYTES: usize = 300;

const WANTED: LatencyTarget = LatencyTarget {
    objective: Duration::from_millis(120),
    needs_prefill: false,
};

/// Time after the 50th bad answer from which no request may go to the new version.
const ROLLBACK: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Answer {
        router: usize,
        life: u32,
        is_new: bool,
        route: usize,
        took: Option<Duration>,
        retry: bool,
    },
    Tick(usize),
    Datagram(usize, u64),
    Order(usize),
    Begin,
    Apply(usize),
    Written(usize),
    Heal,
    Start(usize),
}

struct Router {
    peers: Peers,
    rollouts: Rollouts,
    life: u32,
    is_up: bool,
    cut_off: bool,
    writing: bool,
    bytes: usize,
    weight: f64,
    requests: u64,
    exposed: u64,
}

struct Write {
    router: usize,
    life: u32,
    write: StatusWrite,
    is_told: bool,
    end: Option<StatusWriteResult>,
}

pub struct Simulation {
    plan: Plan,
    draw: ChaCha8Rng,
    queue: EventQueue<Event>,
    network: Network<Vec<RolloutGossip>>,
    routers: Vec<Router>,
    store: Store,
    writes: Vec<Write>,
    fiftieth: Option<Time>,
    outcome: Outcome,
}

fn rollouts(draw: &mut ChaCha8Rng) -> Rollouts {
    Rollouts::new(draw.random(), Some(BOUND)).expect("the chart is complete")
}

impl Simulation {
    pub fn new(plan: Plan) -> Self {
        let mut draw = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut queue = EventQueue::new(Time(10_000_000));
        let routers: Vec<Router> = (0..plan.routers)
            .map(|number| {
                let spread = Duration::from_micros(draw.random_range(0..100_000));
                queue.schedule(spread, Event::Tick(number));
                Router {
                    peers: peers(number, plan.routers, &mut draw, queue.now),
                    rollouts: rollouts(&mut draw),
                    life: 0,
                    is_up: true,
                    cut_off: false,
                    writing: false,
                    bytes: 0,
                    weight: draw.random_range(0.3..1.7),
                    requests: 0,
                    exposed: 0,
                }
            })
            .collect();
        queue.schedule(WARM_UP, Event::Begin);
        Simulation {
            plan,
            draw,
            queue,
            network: Network::new(plan.routers),
            routers,
            store: Store::new(),
            writes: Vec::new(),
            fiftieth: None,
            outcome: Outcome::default(),
        }
    }

    /// Plays until the store had time for the outcome; returns what happened.
    pub fn play(mut self) -> Outcome {
        let end = self.queue.now + WARM_UP + self.plan.duration.mul_f64(1.5);
        while self.queue.now < end {
            let Some(event) = self.queue.next() else {
                break;
            };
            self.take(event);
        }
        let seconds = self.plan.duration.mul_f64(1.5).as_secs_f64();
        let most = self.routers.iter().map(|router| router.bytes).max();
        self.outcome.bytes_per_second = most.unwrap_or(0) as f64 / seconds;
        self.outcome.stored = self.store.outcomes;
        self.outcome.decided_after = self.store.decided_after;
        self.outcome
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::Order(router) => self.hear_order(router),
            Event::Tick(router) => self.tick(router),
            Event::Datagram(router, datagram) => self.datagram(router, datagram),
            Event::Request => self.request(),
            Event::Answer {
                router,
                life,
                is_new,
                route,
                took,
                retry,
            } => {
                if self.routers[router].life == life {
                    self.answer(router, is_new, route, took);
                    if took.is_none() && !retry {
                        self.send(router, route, true);
                    }
                }
            }
            Event::Apply(write) => self.apply(write),
            Event::Written(write) => self.written(write),
            Event::Heal => {
                for router in 0..self.routers.len() {
                    if std::mem::take(&mut self.routers[router].cut_off) {
                        self.hear_order(router);
                    }
                }
            }
            Event::Start(router) => {
                self.routers[router].is_up = true;
                self.hear_order(router);
            }
        }
    }

    fn begin(&mut self) {
        let now = self.queue.now;
        self.store.give_order(SERVICE, NEW, self.plan.duration, now);
        for router in &mut self.routers {
            router.bytes = 0;
        }
        for router in 0..self.plan.trouble.cut_off {
            self.routers[router].cut_off = true;
        }
        self.queue.schedule(self.plan.trouble.cut_for, Event::Heal);
        for router in 0..self.routers.len() {
            // A few watch the store; the others hear of it from them.
            if router % 3 == 0 {
                let after = Duration::from_micros(self.draw.random_range(4_000..200_000));
                self.queue.schedule(after, Event::Order(router));
            }
        }
        self.queue.schedule(Duration::ZERO, Event::Request);
    }

    fn hear_order(&mut self, router: usize) {
        let now = self.queue.now;
        if let Some(order) = self.store.order() {
            if !self.routers[router].cut_off {
                self.routers[router].rollouts.apply_order(order, now);
            }
        }
    }

    fn since_order(&self) -> Duration {
        self.store.since_order(self.queue.now)
    }

    fn request(&mut self) {
        let pause = random_time(&mut self.draw, 1.0 / self.plan.rate);
        self.queue.schedule(pause, Event::Request);
        let sum: f64 = self.routers.iter().map(|router| router.weight).sum();
        let mut left = self.draw.random::<f64>() * sum;
        let chosen = self.routers.iter().position(|router| {
            left -= router.weight;
            left < 0.0
        });
        let router = chosen.unwrap_or(0);
        let route = self.draw.random_range(0..ROUTES.len());
        if self.routers[router].is_up {
            self.send(router, route, false);
        }
    }

    fn send(&mut self, router: usize, route: usize, retry: bool) {
        let is_over = self.since_order() > self.plan.duration;
        let fault = self.fault_on(route);
        let now = self.queue.now;
        let sender = &mut self.routers[router];
        let side = sender.rollouts.select_version(SERVICE, !retry, now);
        let is_new =
            side == VersionSelection::New && sender.rollouts.may_receive_requests(SERVICE, NEW);
        let version = if is_new { NEW } else { OLD };
        sender.rollouts.on_send(SERVICE, version);
        let is_open = !sender
            .rollouts
            .state(SERVICE)
            .is_some_and(RolloutState::is_decided);
        if !is_over && !sender.cut_off {
            self.outcome.requests += 1;
            self.outcome.exposed += u64::from(is_new);
            let late = |fiftieth| now.since(fiftieth) > ROLLBACK;
            let is_late = is_new && self.fiftieth.is_some_and(late);
            self.outcome.late += u64::from(is_late);
        }
        sender.requests += 1;
        sender.exposed += u64::from(is_new);
        if is_open && sender.rollouts.state(SERVICE) <= Some(RolloutState::Trial) {
            let excess = sender.exposed as f64 - BOUND.share * sender.requests as f64;
            self.outcome.own_excess = self.outcome.own_excess.max(excess);
        }
        let life = sender.life;
        let usual = Duration::from_millis(10) + random_time(&mut self.draw, 0.005);
        let failing = match self.since_order() > self.plan.duration / 2 {
            true => self.plan.trouble.failing_all.max(0.005),
            false => 0.005,
        };
        let mut took = (self.draw.random::<f64>() >= failing).then_some(usual);
        let fault = fault.filter(|fault| is_new && self.draw.random::<f64>() < fault.share);
        if let Some(fault) = fault {
            took = took.filter(|_| fault.slower > 0.0);
            took = took.map(|took| took.mul_f64(fault.slower));
            self.outcome.bad += 1;
            if self.outcome.bad == 50 {
                self.fiftieth = Some(self.queue.now + took.unwrap_or(usual));
            }
        }
        self.queue.schedule(
            took.unwrap_or(usual),
            Event::Answer {
                router,
                life,
                is_new,
                route,
                took,
                retry,
            },
        );
    }

    fn fault_on(&self, route: usize) -> Option<Fault> {
        let since = self.since_order();
        let fault = self.plan.fault.filter(|fault| since >= fault.from);
        fault.filter(|fault| fault.route.is_none_or(|bad| bad == route))
    }

    fn answer(&mut self, router: usize, is_new: bool, route: usize, took: Option<Duration>) {
        let version = if is_new { NEW } else { OLD };
        let rollouts = &mut self.routers[router].rollouts;
        rollouts.on_response(SERVICE, version, ROUTES[route], took, WANTED);
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
        self.tell(number, &outgoing);
        self.after(number, &changes);
        self.write(number);
    }

    fn tell(&mut self, number: usize, outgoing: &[OutgoingDatagram]) {
        let now = self.queue.now;
        for datagram in outgoing {
            let sender = &mut self.routers[number];
            let told = fitting(sender.rollouts.gossip(now));
            let bytes = if told.is_empty() { 0 } else { size(&told) };
            let whole = size(&datagram.gossip) + OTHER_BYTES + bytes + 28;
            sender.bytes += whole;
            let sent = self.network.send_with(
                &mut sender.peers,
                datagram,
                told,
                OTHER_BYTES + bytes,
                &mut self.draw,
            );
            if let Some((to, id)) = sent.filter(|_| !self.routers[number].cut_off) {
                self.queue.schedule(DELAY, Event::Datagram(to, id));
            }
        }
    }

    fn datagram(&mut self, number: usize, id: u64) {
        let (news, told) = self.network.arrive(id);
        let now = self.queue.now;
        let router = &mut self.routers[number];
        if router.cut_off || !router.is_up {
            return;
        }
        router.peers.receive(&news, now);
        let (_, changes) = router.rollouts.merge(&told, now);
        self.after(number, &changes);
    }

    /// What is urgent goes to a few at once.
    fn after(&mut self, number: usize, changes: &[RolloutChange]) {
        if changes.iter().any(|change| change.is_urgent) {
            let router = &mut self.routers[number];
            let outgoing = router
                .peers
                .push(&OwnGossip::default(), true, &mut self.draw);
            self.tell(number, &outgoing);
        }
    }

    fn write(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        let due = router.rollouts.due_writes(now);
        let Some(write) = due.into_iter().next().filter(|_| !router.writing) else {
            return;
        };
        router.writing = true;
        self.outcome.writes += 1;
        let trouble = self.plan.trouble;
        let is_cut = router.cut_off;
        let is_lost = self.draw.random::<f64>() < trouble.lost_answers;
        let is_late = is_lost && self.draw.random::<bool>();
        self.writes.push(Write {
            router: number,
            life: router.life,
            write,
            is_told: !is_lost && !is_cut,
            end: None,
        });
        let id = self.writes.len() - 1;
        if !is_cut {
            let late = Duration::from_millis(self.draw.random_range(500..3000));
            let after = if is_late { late } else { STORE_ANSWER / 2 };
            self.queue.schedule(after, Event::Apply(id));
        }
        let answer = if is_lost || is_cut {
            PATIENCE
        } else {
            STORE_ANSWER
        };
        self.queue.schedule(answer, Event::Written(id));
        if self.draw.random::<f64>() < trouble.killed_writers {
            self.kill(number);
        }
    }

    fn kill(&mut self, number: usize) {
        let incarnation = rollouts(&mut self.draw);
        let peers = peers(number, self.plan.routers, &mut self.draw, self.queue.now);
        let router = &mut self.routers[number];
        router.life += 1;
        router.is_up = false;
        router.writing = false;
        router.rollouts = incarnation;
        router.peers = peers;
        router.requests = 0;
        router.exposed = 0;
        self.queue
            .schedule(Duration::from_millis(700), Event::Start(number));
    }

    fn apply(&mut self, id: usize) {
        let write = &mut self.writes[id];
        write.end = Some(self.store.apply(&write.write, self.queue.now));
    }

    fn written(&mut self, id: usize) {
        let Write {
            router,
            life,
            write,
            is_told,
            end,
        } = &self.writes[id];
        let number = *router;
        if self.routers[number].life != *life {
            return;
        }
        self.routers[number].writing = false;
        let now = self.queue.now;
        if let Some(end) = end.as_ref().filter(|_| *is_told) {
            let rollouts = &mut self.routers[number].rollouts;
            let changes = rollouts.on_write_result(write, end, now);
            self.after(number, &changes);
        }
    }
}

fn size<T: serde::Serialize>(news: &T) -> usize {
    postcard::to_allocvec(news).expect("serializes").len()
}

/// As much as a datagram has room for.
fn fitting(mut told: Vec<RolloutGossip>) -> Vec<RolloutGossip> {
    while size(&told) > ROLLOUT_BYTES {
        let longest = told.iter_mut().max_by_key(|news| news.counts.len());
        if longest.is_none_or(|news| news.counts.pop().is_none()) {
            break;
        }
    }
    told
}
