//! A router that starts must soon hear of a peer that has the configuration and the directory,
//! since it refuses all requests until then.
//!
//! When twenty routers started within 50 ms, the seeds read the store after 1 ms and pushed to
//! the others, all in the same order, until the byte budget of a second was spent. The last
//! routers heard of it only after 160 to 310 ms. A router that joined a running fleet waited 80 to
//! 160 ms, until the others had saved enough bytes for a push.
//!
//! The fleets are simulated on virtual time.

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

/// Minimum time between two pushes of one router.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a router takes to read the store, or the snapshot of a peer.
const READ_TIME: Duration = Duration::from_millis(2);

/// Mean time after which a router of a starting fleet starts, in seconds.
const MEAN_START_SECONDS: f64 = 0.02;

/// Bytes of the source ages in a datagram, which is all that pushes and uninitialized routers
/// send besides the gossip.
const AGES_BYTES: usize = 20;

/// Number of routers that all others know from the settings.
const SEEDS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Tick { router: usize, incarnation: u32 },
    Push { router: usize, incarnation: u32 },
    Arrive { to: usize, datagram: u64 },
    Read { router: usize, incarnation: u32 },
}

struct Router {
    peers: Peers,
    /// Number of starts so far; 0 before the first one.
    incarnation: u32,
    started: Time,
    /// When the router had read the configuration and the directory.
    initialized_at: Option<Time>,
    is_reading: bool,
    /// Never reads the store or a snapshot.
    is_cut_off: bool,
    spread_is_due: bool,
    last_push: Option<Time>,
    is_push_scheduled: bool,
}

impl Router {
    fn new(peers: Peers, incarnation: u32, now: Time) -> Self {
        Router {
            peers,
            incarnation,
            started: now,
            initialized_at: None,
            is_reading: false,
            is_cut_off: false,
            spread_is_due: false,
            last_push: None,
            is_push_scheduled: false,
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
    /// Creates a fleet whose routers all start at about the same time.
    fn starting(count: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = EventQueue::new(Time(1_000_000));
        let routers = (0..count)
            .map(|number| {
                queue.schedule(
                    random_time(&mut random, MEAN_START_SECONDS),
                    Event::Start(number),
                );
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
                Event::Tick {
                    router,
                    incarnation,
                } if self.is_current(router, incarnation) => self.tick(router),
                Event::Push {
                    router,
                    incarnation,
                } if self.is_current(router, incarnation) => self.push(router),
                Event::Read {
                    router,
                    incarnation,
                } if self.is_current(router, incarnation) => self.on_read(router),
                Event::Arrive { to, datagram } => self.receive(to, datagram),
                Event::Tick { .. } | Event::Push { .. } | Event::Read { .. } => {}
            }
        }
    }

    fn is_current(&self, router: usize, incarnation: u32) -> bool {
        self.routers[router].incarnation == incarnation
    }

    fn start(&mut self, number: usize) {
        let now = self.queue.now;
        let fleet = self.routers.len();
        let peers = peers(number, fleet, &mut self.random, now);
        let incarnation = self.routers[number].incarnation + 1;
        self.routers[number] = Router::new(peers, incarnation, now);
        if number < SEEDS {
            self.read(number);
        }
        self.tick(number);
    }

    fn own_gossip(&self, number: usize) -> OwnGossip {
        let is_initialized = self.routers[number].initialized_at.is_some();
        OwnGossip {
            configuration: u64::from(is_initialized),
            directory: u64::from(is_initialized),
            directory_steady: is_initialized,
            serving: is_initialized,
            ..OwnGossip::default()
        }
    }

    fn tick(&mut self, number: usize) {
        let incarnation = self.routers[number].incarnation;
        let next = Event::Tick {
            router: number,
            incarnation,
        };
        self.queue.schedule(INTERVAL, next);
        let own = self.own_gossip(number);
        let outgoing = self.routers[number].peers.tick(&own, self.queue.now);
        let other_bytes = if self.routers[number].initialized_at.is_some() {
            OTHER_BYTES
        } else {
            AGES_BYTES
        };
        self.send(number, outgoing, other_bytes);
    }

    fn schedule_push(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        if router.is_push_scheduled {
            return;
        }
        router.is_push_scheduled = true;
        let incarnation = router.incarnation;
        let elapsed = router.last_push.map(|at| now.since(at));
        let delay = elapsed.map_or(Duration::ZERO, |elapsed| {
            MIN_PUSH_INTERVAL.saturating_sub(elapsed)
        });
        let push = Event::Push {
            router: number,
            incarnation,
        };
        self.queue.schedule(delay, push);
    }

    fn push(&mut self, number: usize) {
        let own = self.own_gossip(number);
        let router = &mut self.routers[number];
        router.is_push_scheduled = false;
        router.last_push = Some(self.queue.now);
        let spread = std::mem::take(&mut router.spread_is_due);
        let outgoing = router.peers.push(&own, spread, &mut self.random);
        self.send(number, outgoing, AGES_BYTES);
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
        let (gossip, ()) = self.network.arrive(datagram);
        let router = &mut self.routers[to];
        if router.incarnation == 0 {
            return;
        }
        router.peers.receive(&gossip, self.queue.now);
        if router.initialized_at.is_some() && router.peers.has_uninitialized_peers() {
            self.schedule_push(to);
        } else if router.initialized_at.is_none() && gossip.configuration > 0 {
            self.read(to);
        }
    }

    fn read(&mut self, number: usize) {
        let router = &mut self.routers[number];
        if !router.is_cut_off && !std::mem::replace(&mut router.is_reading, true) {
            let incarnation = router.incarnation;
            let read = Event::Read {
                router: number,
                incarnation,
            };
            self.queue.schedule(READ_TIME, read);
        }
    }

    fn on_read(&mut self, number: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[number];
        router.initialized_at = Some(now);
        router.spread_is_due = true;
        self.schedule_push(number);
    }

    /// Time from the start of a router until it was initialized, or until now.
    fn initialization_time(&self, number: usize) -> Duration {
        let router = &self.routers[number];
        router
            .initialized_at
            .unwrap_or(self.queue.now)
            .since(router.started)
    }

    fn max_initialization_time(&self) -> Duration {
        let times = (0..self.routers.len()).map(|number| self.initialization_time(number));
        times.max().unwrap_or_default()
    }
}

#[test]
fn routers_that_start_at_once_are_all_initialized_soon() {
    for (count, bound) in [(4, 200), (20, 300), (48, 1000)] {
        for seed in 0..40 {
            let mut fleet = Fleet::starting(count, seed);
            fleet.run_for(Duration::from_millis(3000));
            let longest = fleet.max_initialization_time();
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
        let mut times = Vec::new();
        for seed in 0..10 {
            let mut fleet = Fleet::starting(count, seed);
            fleet.run_for(Duration::from_secs(9));
            for _ in 0..5 {
                let number = fleet.random.random_range(SEEDS..count);
                fleet.start(number);
                fleet.run_for(Duration::from_secs(2));
                times.push(fleet.initialization_time(number));
            }
        }
        times.sort();
        // Some take longer, since datagrams may be lost.
        assert!(times[40] < Duration::from_millis(20), "{count}: {times:?}");
    }
}

/// Cut-off routers get bootstrap pushes again and again. These must not use up the byte budget
/// that the other routers need to hear each other.
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
            let gossip = OwnGossip::default();
            router.peers.tick(&gossip, fleet.queue.now);
            assert_eq!(router.peers.live_count(), 23, "seed {seed}");
        }
    }
}
