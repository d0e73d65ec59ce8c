//! Simulation, on virtual time, of routers and of back ends that report their loads in response
//! heads; routers gossip these reports within their byte budget.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::admission::pool_load::{LoadReport, PoolLoad};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::load::BackEndLoad;
use stacktack_core::direct::choice::part_shares::{PartShares, PoolStats};
use stacktack_core::direct::choice::select::{select_by_affinity, DirectCandidate, SelectBounds};
use stacktack_core::direct::peers::peer_gossip::{
    LoadGossip, ShortId, MAX_REPORTED_LOADS_PER_DATAGRAM,
};
use stacktack_core::time::Time;

use crate::event_queue::{random_time, EventQueue};

/// Time from a request to the head of its response.
const FIRST_BYTE: Duration = Duration::from_millis(40);

/// Mean time for which a request is held.
const HOLD: Duration = Duration::from_millis(360);

/// Number of requests for each long one, where requests are held for different times.
const ONE_LONG_IN: u32 = 10;

/// Mean time for which a long request is held.
const LONG_HOLD: Duration = Duration::from_millis(1980);

/// Mean time for which a short request is held.
const SHORT_HOLD: Duration = Duration::from_millis(180);

/// Time from which one part is hot.
const HOT_FROM: Duration = Duration::from_secs(10);

/// Time until which one part is hot.
const HOT_UNTIL: Duration = Duration::from_secs(15);

/// The hot part.
const HOT_PART: u64 = 0;

/// Time between two gossip datagrams of a router.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Duration of the simulation.
const DURATION: Duration = Duration::from_secs(30);

/// Time from the start in which nothing is measured, since routers do not know the loads yet.
const WARM_UP: Duration = Duration::from_secs(2);

/// Slots of a back end: more than it ever holds, so that it runs all its requests at once.
const SLOTS: u32 = 64;

const START: Time = Time(1_000_000_000);

/// Load bound of a back end when a request reaches it, as a multiple of the mean load; the slack is
/// added.
const LOAD_CAP: f64 = 2.0;

/// Requests that the load bound allows in addition to the multiple of the mean load.
const LOAD_SLACK: f64 = 3.0;

/// Fleet, pool and requests of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub back_ends: usize,
    /// Number of prompt parts, each with its own home.
    pub parts: u64,
    /// Mean number of requests that a back end holds.
    pub mean_load: f64,
    pub hold_times: HoldTimes,
    /// Share of the requests that have the hot part from [`HOT_FROM`] to [`HOT_UNTIL`].
    pub hot_share: f64,
}

/// Times for which requests are held; their mean is [`HOLD`].
#[derive(Clone, Copy, Debug)]
pub enum HoldTimes {
    Equal,
    /// One in [`ONE_LONG_IN`] is held for [`LONG_HOLD`], the others for [`SHORT_HOLD`], each varied
    /// by up to a half.
    LongAndShort,
}

impl HoldTimes {
    fn draw(self, random: &mut ChaCha8Rng) -> Duration {
        let mean = match self {
            HoldTimes::Equal => return HOLD,
            HoldTimes::LongAndShort if random.random_ratio(1, ONE_LONG_IN) => LONG_HOLD,
            HoldTimes::LongAndShort => SHORT_HOLD,
        };
        mean.mul_f64(random.random_range(0.5..1.5)).max(FIRST_BYTE)
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Measured {
    /// Requests after the warm-up.
    pub requests: usize,
    /// Requests that reached a back end above its bound.
    pub above_bound: usize,
    /// Longest time for which a back end held no request.
    pub longest_idle: Duration,
    /// Requests that spilled from their home.
    pub spilled: usize,
    /// Requests that spilled although their home held less than the mean.
    pub spilled_wrongly: usize,
    /// Ratio of the mean load that routers estimated to the true one, averaged over all choices.
    pub mean_ratio: f64,
    /// Requests from [`HOT_FROM`] to [`HOT_UNTIL`].
    pub hot_requests: usize,
    /// Requests among these that reached a back end above its bound.
    pub hot_above_bound: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Head { router: usize, back_end: usize },
    End { router: usize, back_end: usize },
    Tick,
}

/// A fleet with its back ends and requests.
pub struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    /// Random numbers for the replica of a part that is tried first.
    replica_random: ChaCha8Rng,
    queue: EventQueue<Event>,
    /// Load of each back end as each router knows it.
    known_loads: Vec<Vec<BackEndLoad>>,
    /// Parts of the recent requests of each router.
    shares: Vec<PartShares>,
    /// Requests that each back end holds.
    held: Vec<u32>,
    /// Time since which each back end holds no request; `None` while it holds one, or if it became
    /// idle in the warm-up.
    idle_since: Vec<Option<Time>>,
    measured: Measured,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut simulation = Simulation {
            scenario,
            random: ChaCha8Rng::seed_from_u64(11),
            replica_random: ChaCha8Rng::seed_from_u64(7),
            queue: EventQueue::new(START),
            known_loads: vec![vec![BackEndLoad::default(); scenario.back_ends]; scenario.routers],
            shares: vec![PartShares::default(); scenario.routers],
            held: vec![0; scenario.back_ends],
            idle_since: vec![None; scenario.back_ends],
            measured: Measured::default(),
        };
        simulation.queue.schedule(Duration::ZERO, Event::Arrival);
        simulation.queue.schedule(Duration::ZERO, Event::Tick);
        simulation
    }

    pub fn run(mut self) -> Measured {
        while let Some(event) = self.queue.next() {
            if self.queue.now.since(START) > DURATION {
                break;
            }
            match event {
                Event::Arrival => self.arrive(),
                Event::Head { router, back_end } => {
                    let now = self.queue.now;
                    self.known_loads[router][back_end].on_report(self.held[back_end], now);
                }
                Event::End { router, back_end } => self.end(router, back_end),
                Event::Tick => self.gossip_loads(),
            }
        }
        let now = self.queue.now;
        for since in self.idle_since.iter().flatten() {
            self.measured.longest_idle = self.measured.longest_idle.max(now.since(*since));
        }
        self.measured.mean_ratio /= self.measured.requests as f64;
        println!("{:?} {:?}", self.scenario, self.measured);
        self.measured
    }

    fn arrive(&mut self) {
        let per_second =
            self.scenario.mean_load * self.scenario.back_ends as f64 / HOLD.as_secs_f64();
        let next = random_time(&mut self.random, 1.0 / per_second);
        self.queue.schedule(next, Event::Arrival);
        let now = self.queue.now;
        let router = self.random.random_range(0..self.scenario.routers);
        let part = self.random_part();
        let back_end = self.choose(router, part);
        self.known_loads[router][back_end].on_send(now);
        self.held[back_end] += 1;
        if let Some(since) = self.idle_since[back_end].take() {
            let idle = now.since(since);
            self.measured.longest_idle = self.measured.longest_idle.max(idle);
        }
        self.queue
            .schedule(FIRST_BYTE, Event::Head { router, back_end });
        let hold = self.scenario.hold_times.draw(&mut self.random);
        self.queue.schedule(hold, Event::End { router, back_end });
    }

    fn is_hot(&self) -> bool {
        let since = self.queue.now.since(START);
        self.scenario.hot_share > 0.0 && (HOT_FROM..HOT_UNTIL).contains(&since)
    }

    fn random_part(&mut self) -> u64 {
        let part = self.random.random_range(0..self.scenario.parts);
        if self.is_hot() && self.random.random_bool(self.scenario.hot_share) {
            return HOT_PART;
        }
        part
    }

    fn spread_bounds(&mut self, router: usize, part: u64, mean_load: f64) -> SelectBounds {
        let bounds = SelectBounds::for_load_cap(LOAD_CAP);
        let pool = PoolStats {
            members: self.scenario.back_ends,
            mean_load,
            spill_headroom: bounds.spill_headroom(mean_load),
        };
        let shares = &mut self.shares[router];
        shares.record(part, self.queue.now);
        let replicas = shares.replicas(part, &pool);
        bounds.spread_over(replicas, self.replica_random.random_range(0..replicas))
    }

    fn choose(&mut self, router: usize, part: u64) -> usize {
        let now = self.queue.now;
        let reports: Vec<LoadReport> = self.known_loads[router]
            .iter()
            .map(|load| LoadReport {
                load: load.estimate(now),
                slots: SLOTS,
                age: load.estimate_age(now),
            })
            .collect();
        let pool = PoolLoad::from_reports(&reports);
        let hold = HOLD.as_secs_f64();
        let candidates: Vec<DirectCandidate> = reports
            .iter()
            .enumerate()
            .map(|(index, report)| DirectCandidate {
                index,
                id_hash: index as u64,
                load: pool.map_or(report.load, |pool| pool.expected_load(report, hold)),
                limit: f64::INFINITY,
                same_zone: true,
                health: Health::Good,
                eligible: true,
            })
            .collect();
        let load_sum = candidates
            .iter()
            .map(|candidate| candidate.load)
            .sum::<f64>();
        let bounds = self.spread_bounds(router, part, load_sum / candidates.len() as f64);
        let chosen = select_by_affinity(&candidates, part, &bounds).expect("chosen");
        if let (Some(home), true) = (chosen.start_index, chosen.rank > 0) {
            let mean = f64::from(self.held.iter().sum::<u32>()) / self.scenario.back_ends as f64;
            self.measured.spilled += 1;
            self.measured.spilled_wrongly += usize::from(f64::from(self.held[home]) < mean);
        }
        self.record_choice(chosen.index, chosen.mean);
        chosen.index
    }

    fn record_choice(&mut self, back_end: usize, estimated_mean: f64) {
        if self.queue.now.since(START) < WARM_UP {
            return;
        }
        let mean = f64::from(self.held.iter().sum::<u32>()) / self.scenario.back_ends as f64;
        let bound = LOAD_CAP * mean + LOAD_SLACK;
        self.measured.requests += 1;
        let is_above = f64::from(self.held[back_end]) > bound;
        self.measured.above_bound += usize::from(is_above);
        if self.is_hot() {
            self.measured.hot_requests += 1;
            self.measured.hot_above_bound += usize::from(is_above);
        }
        self.measured.mean_ratio += estimated_mean / mean.max(1.0);
    }

    fn end(&mut self, router: usize, back_end: usize) {
        let now = self.queue.now;
        self.known_loads[router][back_end].on_end(now);
        self.held[back_end] -= 1;
        if self.held[back_end] == 0 && now.since(START) > WARM_UP {
            self.idle_since[back_end] = Some(now);
        }
    }

    /// Each router gossips the newest loads that it knows to another router.
    fn gossip_loads(&mut self) {
        self.queue.schedule(GOSSIP_INTERVAL, Event::Tick);
        let now = self.queue.now;
        for from in 0..self.scenario.routers {
            let to = self.random.random_range(0..self.scenario.routers);
            let mut loads: Vec<(usize, LoadGossip)> = self.known_loads[from]
                .iter()
                .enumerate()
                .filter_map(|(back_end, load)| {
                    let report = load.reported(now)?;
                    let short = ShortId([0, 0, 0]);
                    Some((
                        back_end,
                        LoadGossip::new(short, report.requests, report.at, now)?,
                    ))
                })
                .collect();
            loads.sort_by_key(|(_, load)| load.age());
            loads.truncate(MAX_REPORTED_LOADS_PER_DATAGRAM);
            for (back_end, load) in loads {
                let reported_at = load.reported_at(now);
                self.known_loads[to][back_end].on_report(u32::from(load.requests), reported_at);
            }
        }
    }
}
