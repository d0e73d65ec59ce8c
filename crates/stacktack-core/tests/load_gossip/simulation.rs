//! Simulation of a fleet of routers and back ends on virtual time, which measures the routers'
//! estimates of the back ends' loads.

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

/// Byte budget of a router for its gossip, per second.
const BYTES_PER_SECOND: f64 = 1800.0;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Duration of the measurements.
const MEASURED_TIME: Duration = Duration::from_secs(16);

/// Time from a request to the head of its response, which reports the load.
const FIRST_BYTE: Duration = Duration::from_millis(60);

/// Mean time that a request runs, in seconds.
pub const RUN_SECONDS: f64 = 1.3;

/// Requests to each back end per second on average, from all routers.
const REQUESTS_PER_BACK_END: f64 = 11.0;

/// Duration of a stall of a router.
const STALL: Duration = Duration::from_millis(1500);

/// Start of the simulation; clocks do not start at zero.
const START: Time = Time(1_000_000_000);

/// Fleet and faults of one simulation.
pub struct Scenario {
    pub routers: usize,
    pub back_ends: usize,
    /// Time before the first measurement, in which routers discover each other.
    pub warm_up: Duration,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Number of routers that neither send nor receive datagrams after the warm-up.
    pub partitioned: usize,
    /// Whether one router after the other restarts, one each second.
    pub restarts: bool,
    /// Number of routers that are stalled at any time; all routers take turns.
    pub stalled: usize,
    /// Share of the requests whose prompt part is read at a back end that the router gossips.
    pub gossiped_location_share: f64,
}

/// Results of a simulation.
#[derive(Debug)]
pub struct Measured {
    /// Median age of the known loads.
    pub age_p50: Duration,
    /// 95th percentile of the age of the known loads.
    pub age_p95: Duration,
    /// 95th percentile of the error of the estimated loads, in requests.
    pub error_p95: f64,
    pub mean_load: f64,
    /// Mean number of bytes per second that the busiest router sent.
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
    Resume { router: usize },
}

/// Input that waits at a stalled router.
enum Input {
    Head { back_end: usize, load: u32 },
    Gossip(Vec<LoadGossip>),
}

struct Router {
    peers: Peers,
    back_ends: BackEnds,
    sent_bytes: usize,
    /// Number of restarts.
    incarnation: u32,
    /// Input that waits; `None` unless the router is stalled.
    unread: Option<Vec<Input>>,
    /// End of the last stall.
    resumed_at: Time,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], 7300))
}

fn name(back_end: usize) -> String {
    format!("i-{back_end}")
}

impl Router {
    fn new(number: usize, incarnation: u32, back_ends: usize, now: Time) -> Self {
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
                number as u32 + (incarnation << 16),
                &seeds,
                BYTES_PER_SECOND,
                now,
            ),
            back_ends: known,
            sent_bytes: 0,
            incarnation,
            unread: None,
            resumed_at: START,
        }
    }

    fn read(&mut self, input: &Input, now: Time) {
        match input {
            Input::Head { back_end, load } => {
                let known = self.back_ends.get_mut(&name(*back_end));
                known.expect("known").load.on_report(*load, now);
            }
            Input::Gossip(loads) => self.back_ends.merge_reported_loads(loads, now),
        }
    }

    fn apply_peer_counts(&mut self) {
        let mut counts = self.peers.in_flight();
        let fresh = self.peers.has_short_round();
        for back_end in self.back_ends.iter_mut() {
            let short = ShortId::of(back_end.id_hash);
            back_end.load.peer_counts = counts.remove(&short).unwrap_or_default();
            back_end.load.peer_counts_are_fresh = fresh;
        }
    }
}

/// A fleet with its back ends and requests.
pub struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    queue: EventQueue<Event>,
    routers: Vec<Router>,
    /// Requests that each back end holds.
    true_loads: Vec<u32>,
    /// Number of samples by the age of the reported load, in milliseconds; 60 s if no load is
    /// known.
    ages: BTreeMap<u64, usize>,
    /// Errors of the estimated loads in all samples.
    errors: Vec<f64>,
    /// Sum and number of the true loads in all samples.
    loads: (f64, usize),
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let routers = (0..scenario.routers)
            .map(|number| Router::new(number, 0, scenario.back_ends, START))
            .collect();
        let mut simulation = Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::new(START),
            routers,
            true_loads: vec![0; scenario.back_ends],
            ages: BTreeMap::new(),
            errors: Vec::new(),
            loads: (0.0, 0),
            scenario,
        };
        simulation.queue.schedule(Duration::ZERO, Event::Arrival);
        let warm_up = simulation.scenario.warm_up;
        simulation.queue.schedule(warm_up, Event::Sample);
        if simulation.scenario.restarts {
            simulation
                .queue
                .schedule(warm_up, Event::Restart { router: 0 });
        }
        for turn in 0..simulation.scenario.stalled {
            let router = turn * simulation.scenario.routers / simulation.scenario.stalled;
            simulation.queue.schedule(warm_up, Event::Stall { router });
        }
        for router in 0..simulation.scenario.routers {
            let offset = GOSSIP_INTERVAL.mul_f64(simulation.random.random::<f64>());
            simulation.queue.schedule(offset, Event::Tick { router });
        }
        simulation
    }

    pub fn run(mut self) -> Measured {
        let end = self.queue.now + self.scenario.warm_up + MEASURED_TIME;
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
                Event::Resume { router } => self.resume(router),
            }
        }
        self.results()
    }

    /// A request arrives at a router. Back ends with lower numbers get more requests, some twice as
    /// many as others.
    fn arrive(&mut self) {
        let router = self.random.random_range(0..self.scenario.routers);
        let count = self.scenario.back_ends;
        let back_end = self
            .random
            .random_range(0..count)
            .min(self.random.random_range(0..count * 2));
        let now = self.queue.now;
        self.true_loads[back_end] += 1;
        let known = self.routers[router].back_ends.get_mut(&name(back_end));
        known.expect("known").on_send(now);
        if self
            .random
            .random_bool(self.scenario.gossiped_location_share)
        {
            let part = self.random.random();
            let location = ShortId::of(part);
            self.routers[router]
                .peers
                .announce_prefix_location(part, location);
        }
        let run = FIRST_BYTE + random_time(&mut self.random, RUN_SECONDS);
        self.queue
            .schedule(FIRST_BYTE, Event::Head { router, back_end });
        self.queue.schedule(run, Event::End { router, back_end });
        let rate = REQUESTS_PER_BACK_END * self.scenario.back_ends as f64;
        let next = random_time(&mut self.random, 1.0 / rate);
        self.queue.schedule(next, Event::Arrival);
    }

    fn head(&mut self, router: usize, back_end: usize) {
        let load = self.true_loads[back_end];
        let router = &mut self.routers[router];
        match &mut router.unread {
            Some(unread) => unread.push(Input::Head { back_end, load }),
            None => router.read(&Input::Head { back_end, load }, self.queue.now),
        }
    }

    fn stall(&mut self, router: usize) {
        self.routers[router].unread = Some(Vec::new());
        self.queue.schedule(STALL, Event::Resume { router });
        let next = (router + 1) % self.scenario.routers;
        self.queue.schedule(STALL, Event::Stall { router: next });
    }

    fn resume(&mut self, router: usize) {
        let now = self.queue.now;
        let router = &mut self.routers[router];
        router.resumed_at = now;
        for input in router.unread.take().unwrap_or_default() {
            router.read(&input, now);
        }
    }

    fn end(&mut self, router: usize, back_end: usize) {
        self.true_loads[back_end] -= 1;
        let now = self.queue.now;
        let known = self.routers[router].back_ends.get_mut(&name(back_end));
        known.expect("known").load.on_end(now);
    }

    fn is_partitioned(&self, router: usize) -> bool {
        router >= self.scenario.routers - self.scenario.partitioned
            && self.queue.now > START + self.scenario.warm_up
    }

    fn tick(&mut self, number: usize) {
        let now = self.queue.now;
        self.queue
            .schedule(GOSSIP_INTERVAL, Event::Tick { router: number });
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
            self.routers[number].sent_bytes += bytes.len() + HEADER_BYTES;
            let to = (0..self.scenario.routers).find(|to| address(*to) == datagram.to);
            let lost = self.random.random::<f64>() < self.scenario.loss;
            let Some(to) = to.filter(|to| !lost && !self.is_partitioned(*to)) else {
                continue;
            };
            if self.is_partitioned(number) {
                continue;
            }
            let receiver = &mut self.routers[to];
            receiver.peers.receive(&datagram.gossip, now);
            let input = Input::Gossip(datagram.gossip.reported_loads.clone());
            match &mut receiver.unread {
                Some(unread) => unread.push(input),
                None => receiver.read(&input, now),
            }
        }
        self.routers[number].apply_peer_counts();
    }

    /// Whether the router has been running without a stall for at least the duration of one.
    fn was_running(&self, router: usize) -> bool {
        let router = &self.routers[router];
        router.unread.is_none() && self.queue.now.since(router.resumed_at) >= STALL
    }

    fn sample(&mut self) {
        for number in 0..self.scenario.routers {
            if self.is_partitioned(number) || !self.was_running(number) {
                continue;
            }
            for back_end in 0..self.scenario.back_ends {
                let known = &self.routers[number].back_ends;
                let known = known.get(&name(back_end)).expect("known");
                let true_load = f64::from(self.true_loads[back_end]);
                self.errors
                    .push((known.load.estimate(self.queue.now) - true_load).abs());
                self.loads.0 += true_load;
                self.loads.1 += 1;
                let age = known
                    .load
                    .reported(self.queue.now)
                    .map(|report| self.queue.now.since(report.at));
                let age = age.unwrap_or(Duration::from_secs(60)).as_millis() as u64;
                *self.ages.entry(age).or_insert(0) += 1;
            }
        }
        self.queue.schedule(SAMPLE_INTERVAL, Event::Sample);
    }

    /// Restarts a router, which loses all its state; its requests in flight go on at the back ends.
    fn restart(&mut self, number: usize) {
        let incarnation = self.routers[number].incarnation + 1;
        let sent = self.routers[number].sent_bytes;
        self.routers[number] =
            Router::new(number, incarnation, self.scenario.back_ends, self.queue.now);
        self.routers[number].sent_bytes = sent;
        let router = (number + 1) % self.scenario.routers;
        self.queue
            .schedule(Duration::from_secs(1), Event::Restart { router });
    }

    /// Percentile of the age of the known loads.
    fn age(&self, percent: usize) -> Duration {
        let total: usize = self.ages.values().sum();
        let mut rest = total * percent / 100;
        let age = self.ages.iter().find(|(_, count)| {
            let reached = rest < **count;
            rest = rest.saturating_sub(**count);
            reached
        });
        Duration::from_millis(age.map_or(60_000, |(age, _)| *age))
    }

    fn results(mut self) -> Measured {
        self.errors.sort_unstable_by(f64::total_cmp);
        let bytes = self.routers.iter().map(|router| router.sent_bytes).max();
        let seconds = (self.scenario.warm_up + MEASURED_TIME).as_secs_f64();
        Measured {
            age_p50: self.age(50),
            age_p95: self.age(95),
            error_p95: self.errors[self.errors.len() * 95 / 100],
            mean_load: self.loads.0 / self.loads.1 as f64,
            bytes_per_second: bytes.unwrap_or(0) as f64 / seconds,
        }
    }
}
