//! A pool of back ends, a fleet of routers and their callers on virtual time.
//!
//! In a fleet of up to four, routers know each other's requests every quarter of a
//! second. In a larger one they know the loads that back ends told them, in the heads of
//! their own answers and by news from each other, as old as `tests/load_news`
//! measures.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::admission::pool_load::{LoadReport, PoolLoad};
use stacktack_core::direct::admission::{AdmissionRequest, PoolAdmission, PoolDecision};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::back_ends::load::BackEndLoad;
use stacktack_core::direct::choice::select::{select_by_affinity, DirectCandidate, SelectBounds};
use stacktack_core::time::Time;

use crate::event_queue::{random_time, EventQueue};

pub const HOLD_SECONDS: f64 = 0.4;
pub const OBJECTIVE: Duration = Duration::from_millis(400);
pub const PATIENCE: Duration = Duration::from_secs(8);

/// Time between two exchanges of news between routers.
const TICK: Duration = Duration::from_millis(100);

/// Age of the counts that routers of a small fleet have of each other.
const COUNTS_AGE: Duration = Duration::from_millis(250);

/// Largest fleet whose routers tell each other all their requests.
const SMALL_FLEET: usize = 4;

/// From here to here arrivals are a multiple of the capacity.
pub const OVERLOAD_FROM: Duration = Duration::from_secs(3);
pub const OVERLOAD_UNTIL: Duration = Duration::from_secs(8);
const LAST_ARRIVAL: Duration = Duration::from_secs(14);

/// Arrivals otherwise, as a share of the capacity.
const CALM: f64 = 0.5;

/// Width of the windows that are counted.
pub const WINDOW: Duration = Duration::from_millis(500);

/// Callers of one route and tenant.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub route: &'static str,
    /// Share of the arrivals.
    pub share: f64,
    /// Arrivals during the overload as a multiple of its share.
    pub surge: f64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub back_ends: usize,
    pub slots: u32,
    /// Arrivals during the overload as a multiple of the pool's capacity.
    pub overload: f64,
    pub kinds: Vec<Kind>,
    /// Whether routers refuse at all.
    pub admission: bool,
    /// Routers that get no news from others, the first ones.
    pub alone: usize,
    /// Time from which the second half of the routers is there.
    pub half_starts: Option<Duration>,
    /// Share of its slots above which a back end works slower the more it runs.
    pub knee: Option<f64>,
    /// Whether routers hear which answers to first tries are late.
    pub hears_late: bool,
}

impl Plan {
    /// Requests a second that the pool can run.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) * self.back_ends as f64 / HOLD_SECONDS
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Return { kind: usize },
    End { back_end: usize },
    News,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    router: usize,
    kind: usize,
    at: Time,
    load: f64,
    returned: bool,
}

/// What became of one kind's requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused_first: usize,
    pub refused_for_good: usize,
}

impl Tally {
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.asked as f64
    }
}

/// What happened within one window, by the time of the event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// First tries that got their answer in time.
    pub first_in_time: usize,
    pub started: usize,
    pub refused: usize,
    /// Refusals while fewer than nine of ten slots of the pool were taken.
    pub refused_beside_room: usize,
}

struct Router {
    admission: PoolAdmission,
    loads: Vec<BackEndLoad>,
}

pub struct World {
    pub plan: Plan,
    draw: ChaCha8Rng,
    queue: EventQueue<Event>,
    start: Time,
    routers: Vec<Router>,
    running: Vec<VecDeque<Sent>>,
    line: Vec<VecDeque<Sent>>,
    /// Loads of the back ends of late, the newest last, one for each tick.
    history: VecDeque<Vec<u32>>,
    pub tallies: Vec<Tally>,
    pub windows: BTreeMap<u64, Window>,
    /// Most requests at one back end, at any time and in the first second of overload.
    pub most_load: u32,
    pub most_load_at_first: u32,
    /// When refused callers were told to come back, by half second.
    pub returns: BTreeMap<u64, usize>,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let start = Time(50_000_000);
        let router = || Router {
            admission: PoolAdmission::default(),
            loads: vec![BackEndLoad::default(); plan.back_ends],
        };
        let mut world = World {
            draw: ChaCha8Rng::seed_from_u64(5),
            queue: EventQueue::new(start),
            start,
            routers: (0..plan.routers).map(|_| router()).collect(),
            running: vec![VecDeque::new(); plan.back_ends],
            line: vec![VecDeque::new(); plan.back_ends],
            history: VecDeque::new(),
            tallies: vec![Tally::default(); plan.kinds.len()],
            windows: BTreeMap::new(),
            most_load: 0,
            most_load_at_first: 0,
            returns: BTreeMap::new(),
            plan,
        };
        world.queue.schedule(Duration::ZERO, Event::Arrival);
        world.queue.schedule(Duration::ZERO, Event::News);
        world
    }

    pub fn run(mut self) -> Self {
        while let Some(event) = self.queue.next() {
            match event {
                Event::Arrival => self.arrive(),
                Event::Return { kind } => self.offer(kind, true),
                Event::End { back_end } => self.end(back_end),
                Event::News => self.spread(),
            }
        }
        self
    }

    fn since_start(&self) -> Duration {
        self.queue.now.since(self.start)
    }

    fn window(&mut self) -> &mut Window {
        let number = self.since_start().as_millis() / WINDOW.as_millis();
        self.windows.entry(number as u64).or_default()
    }

    fn arrive(&mut self) {
        let since = self.since_start();
        if since > LAST_ARRIVAL {
            return;
        }
        let overloaded = since >= OVERLOAD_FROM && since < OVERLOAD_UNTIL;
        let multiple = if overloaded { self.plan.overload } else { CALM };
        let shares: Vec<f64> = self
            .plan
            .kinds
            .iter()
            .map(|kind| kind.share * if overloaded { kind.surge } else { 1.0 })
            .collect();
        let whole: f64 = shares.iter().sum();
        let rate = self.plan.capacity() * multiple * whole;
        let next = random_time(&mut self.draw, 1.0 / rate);
        self.queue.schedule(next, Event::Arrival);
        let mut draw: f64 = self.draw.random::<f64>() * whole;
        let mut kind = 0;
        while kind + 1 < shares.len() && draw >= shares[kind] {
            draw -= shares[kind];
            kind += 1;
        }
        self.tallies[kind].asked += 1;
        self.offer(kind, false);
    }

    /// A router that takes callers now; some get three times as many as others.
    fn draw_router(&mut self) -> usize {
        let since = self.since_start();
        let half = self.plan.half_starts.is_some_and(|at| since < at);
        let routers = if half {
            self.plan.routers.div_ceil(2)
        } else {
            self.plan.routers
        };
        let first = self.draw.random_range(0..routers);
        let other = self.draw.random_range(0..routers * 2);
        first.min(other)
    }

    fn offer(&mut self, kind: usize, returned: bool) {
        let router = self.draw_router();
        let now = self.queue.now;
        let patience = if returned { PATIENCE / 2 } else { PATIENCE };
        let request = AdmissionRequest {
            route: self.plan.kinds[kind].route,
            tenant: Some(kind as u64),
            objective: OBJECTIVE,
            caller_timeout: patience,
            remaining_timeout: patience,
            is_retry: false,
        };
        let part: u64 = self.draw.random();
        let Some((back_end, load)) = self.choose(router, &request, part) else {
            self.refuse(router, kind, &request, returned);
            return;
        };
        let at_router = &mut self.routers[router];
        at_router.admission.on_admitted(&request, now);
        at_router.loads[back_end].on_send(now);
        self.line[back_end].push_back(Sent {
            router,
            kind,
            at: now,
            load,
            returned,
        });
        self.note_load(back_end);
        self.start_next(back_end);
    }

    /// The chosen back end and its load as the router believes; `None` when the request
    /// is refused.
    fn choose(
        &mut self,
        router: usize,
        request: &AdmissionRequest<'_>,
        part: u64,
    ) -> Option<(usize, f64)> {
        let now = self.queue.now;
        let fleet = self.plan.routers;
        let slots = self.plan.slots;
        let Router { admission, loads } = &mut self.routers[router];
        let limit = admission.slot_limit(request, now);
        let reports: Vec<LoadReport> = loads
            .iter()
            .map(|load| LoadReport {
                load: load.estimate(now),
                slots,
                age: load.estimate_age(now),
            })
            .collect();
        let pool = PoolLoad::from_reports(&reports).filter(|_| self.plan.admission);
        let hold = admission.hold_seconds().unwrap_or(HOLD_SECONDS);
        let expected =
            |report: &LoadReport| pool.map_or(report.load, |pool| pool.expected_load(report, hold));
        let candidate = |(index, report): (usize, &LoadReport)| DirectCandidate {
            index,
            id_hash: index as u64,
            load: expected(report),
            limit: if self.plan.admission && report.age.is_some() {
                pool.map_or(f64::INFINITY, |pool| {
                    pool.back_end_limit(limit.requests(slots))
                })
            } else {
                f64::INFINITY
            },
            same_zone: true,
            health: Health::Good,
            eligible: true,
        };
        let candidates: Vec<DirectCandidate> = reports.iter().enumerate().map(candidate).collect();
        let mut bounds = SelectBounds::for_load_cap(2.0);
        if pool.is_some_and(|pool| pool.is_full()) {
            bounds = bounds.for_full_pool();
        }
        let chosen = select_by_affinity(&candidates, part, &bounds).expect("chosen");
        let answer = pool.map(|pool| admission.decide(request, pool, fleet, now));
        let taken = answer.is_none_or(|answer| answer == PoolDecision::Admitted);
        (taken && chosen.has_room()).then_some((chosen.index, chosen.load))
    }

    fn refuse(
        &mut self,
        router: usize,
        kind: usize,
        request: &AdmissionRequest<'_>,
        returned: bool,
    ) {
        let now = self.queue.now;
        let draw: f64 = self.draw.random();
        let admission = &mut self.routers[router].admission;
        let come_back = admission.on_refused(request, draw, now);
        assert!(come_back <= request.remaining_timeout / 3, "{come_back:?}");
        let held: u32 = (0..self.plan.back_ends).map(|index| self.held(index)).sum();
        let slots = self.plan.slots * self.plan.back_ends as u32;
        let beside_room = f64::from(held) < 0.9 * f64::from(slots);
        let window = self.window();
        window.refused += 1;
        window.refused_beside_room += usize::from(beside_room);
        let tally = &mut self.tallies[kind];
        if returned {
            tally.refused_for_good += 1;
            return;
        }
        tally.refused_first += 1;
        *self
            .returns
            .entry((now + come_back).0 / 500_000)
            .or_insert(0) += 1;
        self.queue.schedule(come_back, Event::Return { kind });
    }

    fn held(&self, back_end: usize) -> u32 {
        (self.line[back_end].len() + self.running[back_end].len()) as u32
    }

    fn note_load(&mut self, back_end: usize) {
        let held = self.held(back_end);
        self.most_load = self.most_load.max(held);
        let first_second = OVERLOAD_FROM..OVERLOAD_FROM + Duration::from_secs(1);
        if first_second.contains(&self.since_start()) {
            self.most_load_at_first = self.most_load_at_first.max(held);
        }
    }

    fn start_next(&mut self, back_end: usize) {
        while self.running[back_end].len() < self.plan.slots as usize {
            let Some(next) = self.line[back_end].pop_front() else {
                return;
            };
            let now = self.queue.now;
            let waited = now.since(next.at);
            let held = self.held(back_end) + 1;
            let router = &mut self.routers[next.router];
            router.loads[back_end].on_report(held, now);
            let slowness = self.slowness(back_end);
            let first = Duration::from_secs_f64(HOLD_SECONDS * (slowness - 1.0));
            let in_time = waited + first <= OBJECTIVE;
            if self.plan.hears_late && !next.returned {
                let router = &mut self.routers[next.router];
                router.admission.on_first_try_response(!in_time);
            }
            let tally = &mut self.tallies[next.kind];
            tally.in_time += usize::from(in_time);
            tally.late += usize::from(!in_time);
            let window = self.window();
            window.started += 1;
            window.first_in_time += usize::from(in_time && !next.returned);
            self.running[back_end].push_back(next);
            let hold = Duration::from_secs_f64(HOLD_SECONDS * slowness);
            self.queue.schedule(hold, Event::End { back_end });
        }
    }

    /// By how much a request takes longer that starts now: past the knee a back end gives
    /// less the more it runs.
    fn slowness(&self, back_end: usize) -> f64 {
        let Some(knee) = self.plan.knee else {
            return 1.0;
        };
        let fill = (self.running[back_end].len() + 1) as f64 / f64::from(self.plan.slots);
        1.0 + 6.0 * (fill - knee).max(0.0)
    }

    fn end(&mut self, back_end: usize) {
        let now = self.queue.now;
        let done = self.running[back_end].pop_front().expect("running");
        let router = &mut self.routers[done.router];
        let slots = self.plan.slots;
        router
            .admission
            .on_complete_response(now.since(done.at), done.load, slots);
        router.loads[back_end].on_end(now);
        self.start_next(back_end);
    }

    fn spread(&mut self) {
        let loads = (0..self.plan.back_ends).map(|index| self.held(index));
        self.history.push_back(loads.collect());
        if self.history.len() > 40 {
            self.history.pop_front();
        }
        if self.plan.routers <= SMALL_FLEET {
            self.spread_counts();
        } else {
            self.spread_told();
        }
        if self.since_start() < Duration::from_secs(25) {
            self.queue.schedule(TICK, Event::News);
        }
    }

    /// Routers of a small fleet count each other's requests.
    fn spread_counts(&mut self) {
        let ticks = (COUNTS_AGE.as_millis() / TICK.as_millis()) as usize;
        let Some(loads) = self.history.iter().rev().nth(ticks) else {
            return;
        };
        for router in self.routers.iter_mut().skip(self.plan.alone) {
            for (load, held) in router.loads.iter_mut().zip(loads) {
                let elsewhere = f64::from(*held) - f64::from(load.in_flight);
                load.in_flight_from_peers = elsewhere.max(0.0);
                load.peer_counts_are_fresh = true;
            }
        }
    }

    /// Each router of a large fleet hears some loads that back ends told of late.
    fn spread_told(&mut self) {
        let now = self.queue.now;
        let mean_age = 0.25 + 0.12 * (self.plan.routers as f64).ln();
        let each = self.plan.back_ends as f64 * TICK.as_secs_f64() / mean_age;
        for router in self.routers.iter_mut().skip(self.plan.alone) {
            let whole = each as usize;
            let one_more = self.draw.random::<f64>() < each.fract();
            for _ in 0..whole + usize::from(one_more) {
                let back_end = self.draw.random_range(0..self.plan.back_ends);
                let age = random_time(&mut self.draw, mean_age / 2.0);
                let ticks = (age.as_millis() / TICK.as_millis()) as usize;
                let Some(loads) = self.history.iter().rev().nth(ticks) else {
                    continue;
                };
                let told_at = now - TICK * ticks as u32;
                router.loads[back_end].on_report(loads[back_end], told_at);
            }
        }
    }

    pub fn sum(&self, of: impl Fn(&Tally) -> usize) -> usize {
        self.tallies.iter().map(of).sum()
    }

    /// Sum over windows from one time to another.
    pub fn count(&self, from: Duration, until: Duration, of: impl Fn(&Window) -> usize) -> usize {
        let number = |at: Duration| (at.as_millis() / WINDOW.as_millis()) as u64;
        let windows = self.windows.range(number(from)..number(until));
        windows.map(|(_, window)| of(window)).sum()
    }
}
