//! A fleet of routers and back ends on virtual time, and what its routers believe of loads.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryChange};
use stacktack_core::direct::back_ends::BackEnds;
use stacktack_core::direct::peers::peer_gossip::{LoadGossip, OwnGossip, ShortId, ZoneHash};
use stacktack_core::direct::peers::Peers;
use stacktack_core::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::event_queue::{random_time, EventQueue};

const BYTES_PER_SECOND: f64 = 1800.0;
const HEADERS: usize = 28;
const TICK: Duration = Duration::from_millis(100);
const SAMPLE: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(16);

/// Time from a request to the head of its answer, which tells the load.
const FIRST_BYTE: Duration = Duration::from_millis(60);

/// Mean time that a request runs.
pub const RUN_SECONDS: f64 = 1.3;

/// Requests to each back end a second, from all routers.
const REQUESTS_PER_BACK_END: f64 = 11.0;

/// How long a router stands still.
const STALL: Duration = Duration::from_millis(1500);

/// Clocks do not begin at zero.
const START: Time = Time(1_000_000_000);

/// A play.
pub struct Plan {
    pub routers: usize,
    pub back_ends: usize,
    /// Time before the first measurement, in which routers get to know each other.
    pub warm_up: Duration,
    pub loss: f64,
    /// Routers that neither send nor get datagrams from the warm-up on.
    pub cut_off: usize,
    /// A router that starts anew each second, in turn.
    pub restarts: bool,
    /// Routers that stand still at a time, others by turns.
    pub stalled: usize,
    /// Chance with which a request is read at a place that its router tells the others of.
    pub told_places: f64,
}

/// What a play showed.
#[derive(Debug)]
pub struct Measured {
    pub age_p50: Duration,
    pub age_p95: Duration,
    pub error_p95: f64,
    pub mean_load: f64,
    pub bytes_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Head { router: usize, back_end: usize },
    End { router: usize, back_end: usize },
    Tick { router: usize },
    Sample,
    Restart { router: usize },
    Stall { router: usize },
    GoOn { router: usize },
}

/// What waits at a router that stands still.
enum Waiting {
    Head { back_end: usize, load: u32 },
    News(Vec<LoadGossip>),
}

struct Router {
    peers: Peers,
    back_ends: BackEnds,
    sent_bytes: usize,
    lives: u32,
    /// While it stands still: what it has not read.
    unread: Option<Vec<Waiting>>,
    went_on: Time,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], 7300))
}

fn name(back_end: usize) -> String {
    format!("i-{back_end}")
}

impl Router {
    fn new(number: usize, lives: u32, back_ends: usize, now: Time) -> Self {
        let seeds = [address(0), address(1), address(2)];
        let mut known = BackEnds::default();
        for back_end in 0..back_ends {
            let entry = BackEndEntry {
                id: name(back_end),
                born: 0,
                address: address(back_end),
                labels: Labels::default(),
                slots: 48,
                leaving: false,
                cold_for: Duration::ZERO,
                revision: 1,
            };
            known.upsert(entry, now, &mut DirectoryChange::default());
        }
        Router {
            peers: Peers::new(
                address(number),
                ZoneHash::of("zone"),
                number as u32 + (lives << 16),
                &seeds,
                BYTES_PER_SECOND,
                now,
            ),
            back_ends: known,
            sent_bytes: 0,
            lives,
            unread: None,
            went_on: START,
        }
    }

    fn read(&mut self, waiting: &Waiting, now: Time) {
        match waiting {
            Waiting::Head { back_end, load } => {
                let known = self.back_ends.get_mut(&name(*back_end));
                known.expect("known").load.on_report(*load, now);
            }
            Waiting::News(loads) => self.back_ends.merge_reported_loads(loads, now),
        }
    }

    fn take_peer_loads(&mut self) {
        let loads = self.peers.in_flight();
        let fresh = self.peers.has_short_round();
        for back_end in self.back_ends.iter_mut() {
            let short = ShortId::of(back_end.id_hash);
            back_end.load.in_flight_from_peers = f64::from(loads.get(&short).copied().unwrap_or(0));
            back_end.load.peer_counts_are_fresh = fresh;
        }
    }
}

/// The fleet of a play.
pub struct World {
    plan: Plan,
    draw: ChaCha8Rng,
    queue: EventQueue<Event>,
    routers: Vec<Router>,
    /// Requests that each back end holds.
    truth: Vec<u32>,
    ages: BTreeMap<u64, usize>,
    errors: Vec<f64>,
    loads: (f64, usize),
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let routers = (0..plan.routers)
            .map(|number| Router::new(number, 0, plan.back_ends, START))
            .collect();
        let mut world = World {
            draw: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::new(START),
            routers,
            truth: vec![0; plan.back_ends],
            ages: BTreeMap::new(),
            errors: Vec::new(),
            loads: (0.0, 0),
            plan,
        };
        world.queue.schedule(Duration::ZERO, Event::Arrival);
        let warm_up = world.plan.warm_up;
        world.queue.schedule(warm_up, Event::Sample);
        if world.plan.restarts {
            world.queue.schedule(warm_up, Event::Restart { router: 0 });
        }
        for turn in 0..world.plan.stalled {
            let router = turn * world.plan.routers / world.plan.stalled;
            world.queue.schedule(warm_up, Event::Stall { router });
        }
        for router in 0..world.plan.routers {
            let offset = TICK.mul_f64(world.draw.random::<f64>());
            world.queue.schedule(offset, Event::Tick { router });
        }
        world
    }

    pub fn run(mut self) -> Measured {
        let end = self.queue.now + self.plan.warm_up + LENGTH;
        while let Some(event) = self.queue.next() {
            if self.queue.now > end {
                break;
            }
            match event {
                Event::Arrival => self.arrive(),
                Event::Head { router, back_end } => self.head(router, back_end),
                Event::End { router, back_end } => self.end(router, back_end),
                Event::Tick { router } => self.tick(router),
                Event::Sample => self.sample(),
                Event::Restart { router } => self.restart(router),
                Event::Stall { router } => self.stall(router),
                Event::GoOn { router } => self.go_on(router),
            }
        }
        self.measured()
    }

    /// A request at a router; some back ends get twice as many as others.
    fn arrive(&mut self) {
        let router = self.draw.random_range(0..self.plan.routers);
        let most = self.plan.back_ends;
        let back_end = self
            .draw
            .random_range(0..most)
            .min(self.draw.random_range(0..most * 2));
        let now = self.queue.now;
        self.truth[back_end] += 1;
        let known = self.routers[router].back_ends.get_mut(&name(back_end));
        known.expect("known").on_send(now);
        if self.draw.random_bool(self.plan.told_places) {
            let part = self.draw.random();
            let place = ShortId::of(part);
            self.routers[router]
                .peers
                .announce_prefix_location(part, place);
        }
        let run = FIRST_BYTE + random_time(&mut self.draw, RUN_SECONDS);
        self.queue
            .schedule(FIRST_BYTE, Event::Head { router, back_end });
        self.queue.schedule(run, Event::End { router, back_end });
        let rate = REQUESTS_PER_BACK_END * self.plan.back_ends as f64;
        let next = random_time(&mut self.draw, 1.0 / rate);
        self.queue.schedule(next, Event::Arrival);
    }

    fn head(&mut self, router: usize, back_end: usize) {
        let load = self.truth[back_end];
        let router = &mut self.routers[router];
        match &mut router.unread {
            Some(unread) => unread.push(Waiting::Head { back_end, load }),
            None => router.read(&Waiting::Head { back_end, load }, self.queue.now),
        }
    }

    fn stall(&mut self, router: usize) {
        self.routers[router].unread = Some(Vec::new());
        self.queue.schedule(STALL, Event::GoOn { router });
        let next = (router + 1) % self.plan.routers;
        self.queue.schedule(STALL, Event::Stall { router: next });
    }

    fn go_on(&mut self, router: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[router];
        router.went_on = now;
        for waiting in router.unread.take().unwrap_or_default() {
            router.read(&waiting, now);
        }
    }

    fn end(&mut self, router: usize, back_end: usize) {
        self.truth[back_end] -= 1;
        let now = self.queue.now;
        let known = self.routers[router].back_ends.get_mut(&name(back_end));
        known.expect("known").load.on_end(now);
    }

    fn is_cut_off(&self, router: usize) -> bool {
        router >= self.plan.routers - self.plan.cut_off
            && self.queue.now > START + self.plan.warm_up
    }

    fn tick(&mut self, number: usize) {
        let now = self.queue.now;
        self.queue.schedule(TICK, Event::Tick { router: number });
        let router = &mut self.routers[number];
        if router.unread.is_some() {
            return;
        }
        let all_loads = router.peers.has_short_round();
        let own = OwnGossip {
            configuration: 1,
            directory: 1,
            directory_steady: true,
            serving: true,
            in_flight: router.back_ends.own_loads(all_loads, now),
            reported_loads: if all_loads {
                Vec::new()
            } else {
                router.back_ends.reported_loads(now)
            },
            suspects: Vec::new(),
            zone_drains: Vec::new(),
        };
        let outgoing = router.peers.tick(&own, now);
        for datagram in outgoing {
            let bytes = postcard::to_allocvec(&datagram.gossip).expect("serializes");
            self.routers[number].peers.on_sent(bytes.len());
            self.routers[number].sent_bytes += bytes.len() + HEADERS;
            let to = (0..self.plan.routers).find(|to| address(*to) == datagram.to);
            let lost = self.draw.random::<f64>() < self.plan.loss;
            let Some(to) = to.filter(|to| !lost && !self.is_cut_off(*to)) else {
                continue;
            };
            if self.is_cut_off(number) {
                continue;
            }
            let receiver = &mut self.routers[to];
            receiver.peers.receive(&datagram.gossip, now);
            let told = Waiting::News(datagram.gossip.reported_loads.clone());
            match &mut receiver.unread {
                Some(unread) => unread.push(told),
                None => receiver.read(&told, now),
            }
        }
        self.routers[number].take_peer_loads();
    }

    /// Whether it did not stand still of late.
    fn was_on_time(&self, router: usize) -> bool {
        let router = &self.routers[router];
        router.unread.is_none() && self.queue.now.since(router.went_on) >= STALL
    }

    fn sample(&mut self) {
        for number in 0..self.plan.routers {
            if self.is_cut_off(number) || !self.was_on_time(number) {
                continue;
            }
            for back_end in 0..self.plan.back_ends {
                let known = &self.routers[number].back_ends;
                let known = known.get(&name(back_end)).expect("known");
                let truth = f64::from(self.truth[back_end]);
                self.errors
                    .push((known.load.estimate(self.queue.now) - truth).abs());
                self.loads.0 += truth;
                self.loads.1 += 1;
                let age = known
                    .load
                    .reported(self.queue.now)
                    .map(|told| self.queue.now.since(told.at));
                let age = age.unwrap_or(Duration::from_secs(60)).as_millis() as u64;
                *self.ages.entry(age).or_insert(0) += 1;
            }
        }
        self.queue.schedule(SAMPLE, Event::Sample);
    }

    /// The router forgets all; what it had in flight goes on at the back ends.
    fn restart(&mut self, number: usize) {
        let lives = self.routers[number].lives + 1;
        let sent = self.routers[number].sent_bytes;
        self.routers[number] = Router::new(number, lives, self.plan.back_ends, self.queue.now);
        self.routers[number].sent_bytes = sent;
        let router = (number + 1) % self.plan.routers;
        self.queue
            .schedule(Duration::from_secs(1), Event::Restart { router });
    }

    /// The age that so many of 100 known loads do not exceed.
    fn age(&self, percent: usize) -> Duration {
        let all: usize = self.ages.values().sum();
        let mut left = all * percent / 100;
        let age = self.ages.iter().find(|(_, count)| {
            let reached = left < **count;
            left = left.saturating_sub(**count);
            reached
        });
        Duration::from_millis(age.map_or(60_000, |(age, _)| *age))
    }

    fn measured(mut self) -> Measured {
        self.errors.sort_unstable_by(f64::total_cmp);
        let bytes = self.routers.iter().map(|router| router.sent_bytes).max();
        let seconds = (self.plan.warm_up + LENGTH).as_secs_f64();
        Measured {
            age_p50: self.age(50),
            age_p95: self.age(95),
            error_p95: self.errors[self.errors.len() * 95 / 100],
            mean_load: self.loads.0 / self.loads.1 as f64,
            bytes_per_second: bytes.unwrap_or(0) as f64 / seconds,
        }
    }
}
