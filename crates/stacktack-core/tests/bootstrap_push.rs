//! How soon routers that start hear of others that know, on virtual time.
//!
//! The story. Twenty routers started within 50 ms. Those that everybody knows from the settings read the
//! store after 1 ms and told the others, all in the same order, until the bytes of a second were spent: the
//! last ones heard of it after 160 to 310 ms and refused all that came meanwhile. One that started alone
//! waited until the others had saved bytes for it: 80 to 160 ms.

mod event_queue;
mod gossip;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::peers::peer_gossip::OwnGossip;
use stacktack_core::direct::peers::{OutgoingDatagram, Peers};
use stacktack_core::time::Time;

use event_queue::{random_time, EventQueue};
use gossip::{peers, Network, DELAY, INTERVAL, OTHER_BYTES};

/// Time between two pushes.
const BETWEEN_PUSHES: Duration = Duration::from_millis(20);

/// Time that a router takes to read the store or a peer's document.
const READ: Duration = Duration::from_millis(2);

/// Mean time until a router of a fleet starts, in seconds.
const STARTS: f64 = 0.02;

/// Bytes of ages beside other news.
const AGE_BYTES: usize = 20;

/// Routers that everybody knows from the settings.
const SEEDS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Tick { router: usize, life: u32 },
    Push { router: usize, life: u32 },
    Arrive { to: usize, datagram: u64 },
    Read { router: usize, life: u32 },
}

struct Router {
    peers: Peers,
    /// Starts so far; 0 before the first one.
    life: u32,
    started: Time,
    knew: Option<Time>,
    reads: bool,
    /// Learns nothing from others.
    is_cut_off: bool,
    news_is_due: bool,
    pushed: Option<Time>,
    push_is_planned: bool,
}

impl Router {
    fn new(peers: Peers, life: u32, now: Time) -> Self {
        Router {
            peers,
            life,
            started: now,
            knew: None,
            reads: false,
            is_cut_off: false,
            news_is_due: false,
            pushed: None,
            push_is_planned: false,
        }
    }
}

struct Fleet {
    queue: EventQueue<Event>,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    network: Network<()>,
}

impl Fleet {
    /// Routers that all start within a moment.
    fn starting(count: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = EventQueue::new(Time(1_000_000));
        let routers = (0..count)
            .map(|number| {
                queue.schedule(random_time(&mut random, STARTS), Event::Start(number));
                let peers = peers(number, count, &mut random, queue.now);
                Router::new(peers, 0, queue.now)
            })
            .collect();
        Fleet {
            queue,
            random,
            routers,
            network: Network::new(count),
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.queue.now + span;
        while self.queue.now < end {
            let Some(event) = self.queue.next() else {
                return;
            };
            match event {
                Event::Start(router) => self.start(router),
                Event::Tick { router, life } if self.lives(router, life) => self.tick(router),
                Event::Push { router, life } if self.lives(router, life) => self.push(router),
                Event::Read { router, life } if self.lives(router, life) => self.know(router),
                Event::Arrive { to, datagram } => self.receive(to, datagram),
                Event::Tick { .. } | Event::Push { .. } | Event::Read { .. } => {}
            }
        }
    }

    fn lives(&self, router: usize, life: u32) -> bool {
        self.routers[router].life == life
    }

    fn start(&mut self, number: usize) {
        let now = self.queue.now;
        let fleet = self.routers.len();
        let peers = peers(number, fleet, &mut self.random, now);
        let life = self.routers[number].life + 1;
        self.routers[number] = Router::new(peers, life, now);
        if number < SEEDS {
            self.read(number);
        }
        self.tick(number);
    }

    fn own_news(&self, number: usize) -> OwnGossip {
        let knows = self.routers[number].knew.is_some();
        OwnGossip {
            configuration: u64::from(knows),
            directory: u64::from(knows),
            directory_steady: knows,
            serving: knows,
            ..OwnGossip::default()
        }
    }

    fn tick(&mut self, number: usize) {
        let life = self.routers[number].life;
        let next = Event::Tick {
            router: number,
            life,
        };
        self.queue.schedule(INTERVAL, next);
        let own = self.own_news(number);
        let outgoing = self.routers[number].peers.tick(&own, self.queue.now);
        let other = if self.routers[number].knew.is_some() {
            OTHER_BYTES
        } else {
            AGE_BYTES
        };
        self.send(number, outgoing, other);
    }

    fn plan_push(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        if router.push_is_planned {
            return;
        }
        router.push_is_planned = true;
        let life = router.life;
        let since = router.pushed.map(|pushed| now.since(pushed));
        let left = since.map_or(Duration::ZERO, |since| BETWEEN_PUSHES.saturating_sub(since));
        let push = Event::Push {
            router: number,
            life,
        };
        self.queue.schedule(left, push);
    }

    fn push(&mut self, number: usize) {
        let own = self.own_news(number);
        let router = &mut self.routers[number];
        router.push_is_planned = false;
        router.pushed = Some(self.queue.now);
        let spread = std::mem::take(&mut router.news_is_due);
        let outgoing = router.peers.push(&own, spread, &mut self.random);
        self.send(number, outgoing, AGE_BYTES);
    }

    fn send(&mut self, number: usize, outgoing: Vec<OutgoingDatagram>, other_bytes: usize) {
        let peers = &mut self.routers[number].peers;
        for outgoing in outgoing {
            let random = &mut self.random;
            let sent = self
                .network
                .send_with(peers, &outgoing, (), other_bytes, random);
            if let Some((to, datagram)) = sent {
                self.queue.schedule(DELAY, Event::Arrive { to, datagram });
            }
        }
    }

    fn receive(&mut self, to: usize, datagram: u64) {
        let (news, ()) = self.network.arrive(datagram);
        let router = &mut self.routers[to];
        if router.life == 0 {
            return;
        }
        router.peers.receive(&news, self.queue.now);
        if router.knew.is_some() && router.peers.has_uninitialized_peers() {
            self.plan_push(to);
        } else if router.knew.is_none() && news.configuration > 0 {
            self.read(to);
        }
    }

    fn read(&mut self, number: usize) {
        let router = &mut self.routers[number];
        if !router.is_cut_off && !std::mem::replace(&mut router.reads, true) {
            let life = router.life;
            let read = Event::Read {
                router: number,
                life,
            };
            self.queue.schedule(READ, read);
        }
    }

    fn know(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        router.knew = Some(now);
        router.news_is_due = true;
        self.plan_push(number);
    }

    /// How long after its start a router knew.
    fn waited(&self, number: usize) -> Duration {
        let router = &self.routers[number];
        router.knew.unwrap_or(self.queue.now).since(router.started)
    }

    fn longest_wait(&self) -> Duration {
        let waits = (0..self.routers.len()).map(|number| self.waited(number));
        waits.max().unwrap_or_default()
    }
}

#[test]
fn routers_that_start_at_once_are_all_initialized_soon() {
    for (count, bound) in [(4, 200), (20, 300), (48, 1000)] {
        for seed in 0..40 {
            let mut fleet = Fleet::starting(count, seed);
            fleet.run_for(Duration::from_millis(3000));
            let longest = fleet.longest_wait();
            assert!(
                longest < Duration::from_millis(bound),
                "{count} routers, seed {seed}: {longest:?}"
            );
        }
    }
}

#[test]
fn a_router_that_joins_a_running_fleet_is_initialized_at_once() {
    for count in [4, 20, 103, 357] {
        let mut waits = Vec::new();
        for seed in 0..10 {
            let mut fleet = Fleet::starting(count, seed);
            fleet.run_for(Duration::from_secs(9));
            for _ in 0..5 {
                let number = fleet.random.random_range(SEEDS..count);
                fleet.start(number);
                fleet.run_for(Duration::from_secs(2));
                waits.push(fleet.waited(number));
            }
        }
        waits.sort();
        // A datagram may be lost.
        assert!(waits[40] < Duration::from_millis(20), "{count}: {waits:?}");
    }
}

/// They are told again and again what they do not take, and the others still hear each other.
#[test]
fn routers_that_stay_uninitialized_do_not_silence_the_others() {
    for seed in 0..5 {
        let mut fleet = Fleet::starting(24, seed);
        fleet.run_for(Duration::from_secs(9));
        for number in 12..24 {
            fleet.start(number);
            fleet.routers[number].is_cut_off = true;
        }
        fleet.run_for(Duration::from_secs(20));
        for router in &mut fleet.routers[..12] {
            let news = OwnGossip::default();
            router.peers.tick(&news, fleet.queue.now);
            assert_eq!(router.peers.live_count(), 23, "seed {seed}");
        }
    }
}
