//! Routers before back ends that tell their loads in the heads of answers, on virtual time; what they
//! heard is handed on within the byte budget of a router.

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

/// Time from a request to the head of its answer, and to its end.
const FIRST_BYTE: Duration = Duration::from_millis(40);
const HOLD: Duration = Duration::from_millis(360);

/// Of requests that are held for different times.
const ONE_LONG_IN: u32 = 10;
const LONG_HOLD: Duration = Duration::from_millis(1980);
const SHORT_HOLD: Duration = Duration::from_millis(180);

/// Span in which one part is hot.
const HOT_FROM: Duration = Duration::from_secs(10);
const HOT_UNTIL: Duration = Duration::from_secs(15);

/// The part that is hot then.
const HOT_PART: u64 = 0;

/// Time between two datagrams of a router.
const TICK: Duration = Duration::from_millis(100);

const LENGTH: Duration = Duration::from_secs(30);

/// Time in which routers get to know loads.
const WARM_UP: Duration = Duration::from_secs(2);

/// More than a back end ever holds: it runs all of that at once.
const SLOTS: u32 = 64;
const START: Time = Time(1_000_000_000);

/// Most that a back end may hold when a request reaches it: this multiple of the mean ...
const MULTIPLE: f64 = 2.0;

/// ... and this many.
const SLACK: f64 = 3.0;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub routers: usize,
    pub back_ends: usize,
    /// Prompt parts: each has its home.
    pub parts: u64,
    /// Requests that a back end holds in the mean.
    pub mean_load: f64,
    pub holds: Holds,
    /// Share of the requests that have one and the same part from [`HOT_FROM`] to [`HOT_UNTIL`].
    pub hot_share: f64,
}

/// For how long requests are held; [`HOLD`] in the mean.
#[derive(Clone, Copy, Debug)]
pub enum Holds {
    Alike,
    /// One in [`ONE_LONG_IN`] [`LONG_HOLD`], the others [`SHORT_HOLD`], each give or take a half.
    LongAndShort,
}

impl Holds {
    fn draw(self, draw: &mut ChaCha8Rng) -> Duration {
        let mean = match self {
            Holds::Alike => return HOLD,
            Holds::LongAndShort if draw.random_ratio(1, ONE_LONG_IN) => LONG_HOLD,
            Holds::LongAndShort => SHORT_HOLD,
        };
        mean.mul_f64(draw.random_range(0.5..1.5)).max(FIRST_BYTE)
    }
}

/// What happened.
#[derive(Debug, Default)]
pub struct Measured {
    pub requests: usize,
    /// Requests that reached a back end above its bound.
    pub above: usize,
    /// Longest time for which a back end held nothing.
    pub longest_idle: Duration,
    /// Requests whose home was passed by, and those of them whose home held less than the mean.
    pub passed: usize,
    pub wrongly: usize,
    /// Mean load that routers believed over the true one, in the mean of all choices.
    pub believed_mean: f64,
    /// Requests from [`HOT_FROM`] to [`HOT_UNTIL`], and those of them that reached a back end above its
    /// bound.
    pub hot_requests: usize,
    pub hot_above: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Head { router: usize, back_end: usize },
    End { router: usize, back_end: usize },
    Tick,
}

/// A fleet, its back ends and callers.
pub struct World {
    plan: Plan,
    draw: ChaCha8Rng,
    /// Draws at which of its places a part begins.
    place_draw: ChaCha8Rng,
    queue: EventQueue<Event>,
    /// What each router believes of each back end.
    routers: Vec<Vec<BackEndLoad>>,
    /// Parts of the requests of each router.
    shares: Vec<PartShares>,
    held: Vec<u32>,
    idle_since: Vec<Option<Time>>,
    measured: Measured,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut world = World {
            plan,
            draw: ChaCha8Rng::seed_from_u64(11),
            place_draw: ChaCha8Rng::seed_from_u64(7),
            queue: EventQueue::new(START),
            routers: vec![vec![BackEndLoad::default(); plan.back_ends]; plan.routers],
            shares: vec![PartShares::default(); plan.routers],
            held: vec![0; plan.back_ends],
            idle_since: vec![None; plan.back_ends],
            measured: Measured::default(),
        };
        world.queue.schedule(Duration::ZERO, Event::Arrival);
        world.queue.schedule(Duration::ZERO, Event::Tick);
        world
    }

    pub fn run(mut self) -> Measured {
        while let Some(event) = self.queue.next() {
            if self.queue.now.since(START) > LENGTH {
                break;
            }
            match event {
                Event::Arrival => self.arrive(),
                Event::Head { router, back_end } => {
                    let now = self.queue.now;
                    self.routers[router][back_end].on_report(self.held[back_end], now);
                }
                Event::End { router, back_end } => self.end(router, back_end),
                Event::Tick => self.hand_on(),
            }
        }
        let now = self.queue.now;
        for since in self.idle_since.iter().flatten() {
            self.measured.longest_idle = self.measured.longest_idle.max(now.since(*since));
        }
        self.measured.believed_mean /= self.measured.requests as f64;
        println!("{:?} {:?}", self.plan, self.measured);
        self.measured
    }

    fn arrive(&mut self) {
        let per_second = self.plan.mean_load * self.plan.back_ends as f64 / HOLD.as_secs_f64();
        let next = random_time(&mut self.draw, 1.0 / per_second);
        self.queue.schedule(next, Event::Arrival);
        let now = self.queue.now;
        let router = self.draw.random_range(0..self.plan.routers);
        let part = self.draw_part();
        let back_end = self.choose(router, part);
        self.routers[router][back_end].on_send(now);
        self.held[back_end] += 1;
        if let Some(since) = self.idle_since[back_end].take() {
            let idle = now.since(since);
            self.measured.longest_idle = self.measured.longest_idle.max(idle);
        }
        self.queue
            .schedule(FIRST_BYTE, Event::Head { router, back_end });
        let hold = self.plan.holds.draw(&mut self.draw);
        self.queue.schedule(hold, Event::End { router, back_end });
    }

    fn is_hot(&self) -> bool {
        let since = self.queue.now.since(START);
        self.plan.hot_share > 0.0 && (HOT_FROM..HOT_UNTIL).contains(&since)
    }

    fn draw_part(&mut self) -> u64 {
        let part = self.draw.random_range(0..self.plan.parts);
        if self.is_hot() && self.draw.random_bool(self.plan.hot_share) {
            return HOT_PART;
        }
        part
    }

    fn spread(&mut self, router: usize, part: u64, mean_load: f64) -> SelectBounds {
        let bounds = SelectBounds::for_load_cap(MULTIPLE);
        let pool = PoolStats {
            members: self.plan.back_ends,
            mean_load,
            spill_headroom: bounds.spill_headroom(mean_load),
        };
        let shares = &mut self.shares[router];
        shares.record(part, self.queue.now);
        let places = shares.replicas(part, &pool);
        bounds.spread_over(places, self.place_draw.random_range(0..places))
    }

    fn choose(&mut self, router: usize, part: u64) -> usize {
        let now = self.queue.now;
        let reports: Vec<LoadReport> = self.routers[router]
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
        let mean = candidates
            .iter()
            .map(|candidate| candidate.load)
            .sum::<f64>();
        let bounds = self.spread(router, part, mean / candidates.len() as f64);
        let chosen = select_by_affinity(&candidates, part, &bounds).expect("chosen");
        if let (Some(home), true) = (chosen.start_index, chosen.rank > 0) {
            let mean = f64::from(self.held.iter().sum::<u32>()) / self.plan.back_ends as f64;
            self.measured.passed += 1;
            self.measured.wrongly += usize::from(f64::from(self.held[home]) < mean);
        }
        self.judge(chosen.index, chosen.mean);
        chosen.index
    }

    fn judge(&mut self, back_end: usize, believed_mean: f64) {
        if self.queue.now.since(START) < WARM_UP {
            return;
        }
        let mean = f64::from(self.held.iter().sum::<u32>()) / self.plan.back_ends as f64;
        let bound = MULTIPLE * mean + SLACK;
        self.measured.requests += 1;
        let is_above = f64::from(self.held[back_end]) > bound;
        self.measured.above += usize::from(is_above);
        if self.is_hot() {
            self.measured.hot_requests += 1;
            self.measured.hot_above += usize::from(is_above);
        }
        self.measured.believed_mean += believed_mean / mean.max(1.0);
    }

    fn end(&mut self, router: usize, back_end: usize) {
        let now = self.queue.now;
        self.routers[router][back_end].on_end(now);
        self.held[back_end] -= 1;
        if self.held[back_end] == 0 && now.since(START) > WARM_UP {
            self.idle_since[back_end] = Some(now);
        }
    }

    /// Each router hands the newest loads that it knows on to another one.
    fn hand_on(&mut self) {
        self.queue.schedule(TICK, Event::Tick);
        let now = self.queue.now;
        for from in 0..self.plan.routers {
            let to = self.draw.random_range(0..self.plan.routers);
            let mut news: Vec<(usize, LoadGossip)> = self.routers[from]
                .iter()
                .enumerate()
                .filter_map(|(back_end, load)| {
                    let told = load.reported(now)?;
                    let short = ShortId([0, 0, 0]);
                    Some((
                        back_end,
                        LoadGossip::new(short, told.requests, told.at, now)?,
                    ))
                })
                .collect();
            news.sort_by_key(|(_, load)| load.age());
            news.truncate(MAX_REPORTED_LOADS_PER_DATAGRAM);
            for (back_end, load) in news {
                let told_at = load.reported_at(now);
                self.routers[to][back_end].on_report(u32::from(load.requests), told_at);
            }
        }
    }
}
