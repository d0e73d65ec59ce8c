//! Routers before back ends, some of whose requests end what runs them, on virtual time.
//!
//! Innocent requests are spread over the back ends and run for half a second; an end breaks all
//! that a back end was running. Callers come back once. Fatal requests come again and again, each
//! time to another router. Routers tell each other within the budget of bytes; 3 in 100 datagrams are lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, InstanceId};
use stacktack_core::direct::back_ends::health::Health;
use stacktack_core::direct::choice::select::DirectCandidate;
use stacktack_core::direct::peers::peer_gossip::{OwnGossip, PeerGossip, ZoneHash};
use stacktack_core::direct::peers::Peers;
use stacktack_core::direct::quarantine::digest::{RequestDigest, RequestIdentity};
use stacktack_core::direct::quarantine::probation::select_for_probation;
use stacktack_core::direct::quarantine::record::{RecordGossip, Treatment};
use stacktack_core::direct::quarantine::Quarantine;
use stacktack_core::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::event_queue::{random_time, EventQueue};

const INTERVAL: Duration = Duration::from_millis(100);
const LOSS: f64 = 0.03;
const DELAY: Duration = Duration::from_millis(2);
const BYTES_PER_SECOND: f64 = 1800.0;

/// Time for which routers get to know each other before the first fatal request.
const WARM_UP: Duration = Duration::from_secs(8);

/// Time from the beginning of a fatal run to the end of its back end, in the mean.
const CRASH_SECONDS: f64 = 0.3;
const RUN_SECONDS: f64 = 0.5;
const DOWN: Duration = Duration::from_millis(2500);

/// Time after which a caller comes back.
const COME_BACK: Duration = Duration::from_millis(400);

/// Time that routers may take after the third end.
pub const CONTACT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub routers: usize,
    pub back_ends: usize,
    /// Innocent requests a second for each back end.
    pub rate: f64,
    /// Fatal requests, and the time between two tries of one.
    pub fatal: usize,
    pub fatal_every: Duration,
    pub length: Duration,
    /// Whether routers keep a quarantine.
    pub protected: bool,
    /// Share of the innocent requests that are one and the same.
    pub same: f64,
    /// Whether back ends end by themselves too, each after this time in the mean.
    pub lives_for: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub ends: usize,
    /// For each fatal request: sends later than [`CONTACT`] after its third end.
    pub late: Vec<usize>,
    /// Tries of innocent requests, and those that were refused for good.
    pub innocent: usize,
    pub shut_out: usize,
    /// Innocent requests that ended well.
    pub served: usize,
    /// Bytes that the busiest router sent in a second, in the mean.
    pub bytes_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrive { to: usize, datagram: u64 },
    Innocent,
    Fatal(usize),
    Try { request: u64, tries: u32 },
    RunEnds { run: u64 },
    Back(usize),
    EndsByItself { back_end: usize, life: u64 },
}

struct Router {
    peers: Peers,
    quarantine: Quarantine,
    bytes: f64,
}

struct BackEnd {
    life: u64,
    up: bool,
    runs: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Run {
    request: u64,
    router: usize,
    back_end: usize,
    tries: u32,
    sends: u32,
    on_probation: bool,
}

pub struct Simulation {
    plan: Plan,
    queue: EventQueue<Event>,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    numbers: HashMap<SocketAddr, usize>,
    datagrams: HashMap<u64, (PeerGossip, Vec<RecordGossip>)>,
    sent: u64,
    back_ends: Vec<BackEnd>,
    runs: HashMap<u64, Run>,
    run_count: u64,
    request_count: u64,
    fatal_ends: Vec<Vec<Time>>,
    fatal_sends: Vec<Vec<Time>>,
    outcome: Outcome,
}

/// The innocent request that many callers send.
const SAME: u64 = 500;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 250) as u8, (number % 250) as u8 + 1],
        7340,
    ))
}

pub fn digest(request: u64) -> RequestDigest {
    RequestDigest::of(&RequestIdentity {
        caller: "caller",
        method: "POST",
        host: "host",
        target: "/",
        body: &request.to_le_bytes(),
    })
}

fn id(back_end: usize) -> String {
    format!("b-{back_end}")
}

pub fn life_of(back_end: usize, life: u64) -> InstanceId {
    InstanceId::of(&BackEndEntry {
        id: id(back_end),
        born: life + 1,
        address: address(back_end),
        labels: HashMap::new().into_iter().collect(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    })
}

impl Simulation {
    pub fn play(plan: Plan) -> Outcome {
        let start = Time(1_000_000);
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut queue = EventQueue::new(start);
        let seeds: Vec<SocketAddr> = (0..plan.routers.min(3)).map(address).collect();
        let routers = (0..plan.routers)
            .map(|number| {
                queue.schedule(random_time(&mut random, 0.05), Event::Tick(number));
                let zone = ZoneHash::of("zone");
                let incarnation = random.random();
                Router {
                    peers: Peers::new(
                        address(number),
                        zone,
                        incarnation,
                        &seeds,
                        BYTES_PER_SECOND,
                        start,
                    ),
                    quarantine: Quarantine::default(),
                    bytes: 0.0,
                }
            })
            .collect();
        for fatal in 0..plan.fatal {
            let after = WARM_UP + plan.fatal_every * fatal as u32 / plan.fatal as u32;
            queue.schedule(after, Event::Fatal(fatal));
        }
        queue.schedule(WARM_UP - Duration::from_secs(2), Event::Innocent);
        let mut simulation = Simulation {
            plan,
            queue,
            random,
            routers,
            numbers: (0..plan.routers)
                .map(|number| (address(number), number))
                .collect(),
            datagrams: HashMap::new(),
            sent: 0,
            back_ends: (0..plan.back_ends)
                .map(|_| BackEnd {
                    life: 0,
                    up: true,
                    runs: Vec::new(),
                })
                .collect(),
            runs: HashMap::new(),
            run_count: 0,
            request_count: 1000,
            fatal_ends: vec![Vec::new(); plan.fatal],
            fatal_sends: vec![Vec::new(); plan.fatal],
            outcome: Outcome::default(),
        };
        for back_end in 0..plan.back_ends {
            simulation.schedule_own_end(back_end);
        }
        let end = start + WARM_UP + plan.length;
        while let Some(event) = simulation.queue.next() {
            if simulation.queue.now > end {
                break;
            }
            simulation.take(event);
        }
        simulation.finish()
    }

    fn finish(mut self) -> Outcome {
        for (ends, sends) in self.fatal_ends.iter().zip(&self.fatal_sends) {
            let late = ends.get(2).map_or(0, |third| {
                sends.iter().filter(|at| **at > *third + CONTACT).count()
            });
            self.outcome.late.push(late);
        }
        let seconds = (WARM_UP + self.plan.length).as_secs_f64();
        let bytes = self.routers.iter().map(|router| router.bytes / seconds);
        self.outcome.bytes_per_second = bytes.fold(0.0, f64::max);
        self.outcome
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Arrive { to, datagram } => self.arrive(to, datagram),
            Event::Innocent => self.innocent(),
            Event::Fatal(number) => {
                self.queue
                    .schedule(self.plan.fatal_every, Event::Fatal(number));
                self.try_request(number as u64, u32::MAX);
            }
            Event::Try { request, tries } => self.try_request(request, tries),
            Event::RunEnds { run } => self.run_ends(run),
            Event::Back(back_end) => {
                self.back_ends[back_end].up = true;
                self.schedule_own_end(back_end);
            }
            Event::EndsByItself { back_end, life } => {
                if self.back_ends[back_end].life == life {
                    self.end_back_end(back_end);
                }
            }
        }
    }

    fn schedule_own_end(&mut self, back_end: usize) {
        if let Some(lives_for) = self.plan.lives_for {
            let life = self.back_ends[back_end].life;
            let after = random_time(&mut self.random, lives_for.as_secs_f64());
            self.queue
                .schedule(after, Event::EndsByItself { back_end, life });
        }
    }

    fn tick(&mut self, number: usize) {
        self.queue.schedule(INTERVAL, Event::Tick(number));
        let now = self.queue.now;
        let router = &mut self.routers[number];
        let records = router.quarantine.gossip(now);
        for datagram in router.peers.tick(&OwnGossip::default(), now) {
            let news = postcard::to_allocvec(&datagram.gossip).expect("news");
            let more = postcard::to_allocvec(&records).expect("records");
            let bytes = news.len() + more.len();
            router.peers.on_sent(bytes);
            router.bytes += bytes as f64 + 28.0;
            let to = self.numbers.get(&datagram.to).copied();
            if let (Some(to), false) = (to, self.random.random_bool(LOSS)) {
                self.sent += 1;
                self.datagrams
                    .insert(self.sent, (datagram.gossip, records.clone()));
                let datagram = self.sent;
                self.queue.schedule(DELAY, Event::Arrive { to, datagram });
            }
        }
    }

    fn arrive(&mut self, to: usize, datagram: u64) {
        let now = self.queue.now;
        let Some((news, records)) = self.datagrams.remove(&datagram) else {
            return;
        };
        let router = &mut self.routers[to];
        router.peers.receive(&news, now);
        router.quarantine.merge(&records, 0.5, now);
    }

    fn innocent(&mut self) {
        let rate = self.plan.rate * self.plan.back_ends as f64;
        let next = random_time(&mut self.random, 1.0 / rate);
        self.queue.schedule(next, Event::Innocent);
        let same = self.random.random_bool(self.plan.same);
        self.request_count += 1;
        let request = if same { SAME } else { self.request_count };
        self.try_request(request, 1);
    }

    fn is_fatal(&self, request: u64) -> bool {
        (request as usize) < self.plan.fatal
    }

    fn try_request(&mut self, request: u64, tries: u32) {
        let router = self.random.random_range(0..self.routers.len());
        if !self.is_fatal(request) {
            self.outcome.innocent += 1;
        }
        let run = Run {
            request,
            router,
            back_end: 0,
            tries,
            sends: 0,
            on_probation: false,
        };
        self.send(run);
    }

    /// Sends a request as its router treats it.
    fn send(&mut self, run: Run) {
        let now = self.queue.now;
        let digest = digest(run.request);
        let treatment = if self.plan.protected {
            self.routers[run.router].quarantine.treatment(digest, now)
        } else {
            Treatment::Usual
        };
        let probation = match treatment {
            Treatment::Usual | Treatment::SetAside => None,
            _ => self.probation_back_end(digest),
        };
        let chosen = match treatment {
            Treatment::SetAside => None,
            Treatment::Probation => probation,
            _ => probation.or_else(|| self.any_back_end()),
        };
        let Some(back_end) = chosen else {
            if treatment == Treatment::SetAside {
                self.outcome.shut_out += usize::from(!self.is_fatal(run.request));
            } else {
                self.come_back(run);
            }
            return;
        };
        if self.is_fatal(run.request) {
            self.fatal_sends[run.request as usize].push(now);
        }
        self.run_count += 1;
        let number = self.run_count;
        let on_probation = probation.is_some();
        self.runs.insert(
            number,
            Run {
                back_end,
                on_probation,
                sends: run.sends + 1,
                ..run
            },
        );
        self.back_ends[back_end].runs.push(number);
        let mean = if self.is_fatal(run.request) {
            CRASH_SECONDS
        } else {
            RUN_SECONDS
        };
        let after = random_time(&mut self.random, mean);
        self.queue.schedule(after, Event::RunEnds { run: number });
    }

    fn any_back_end(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.back_ends.len())
            .filter(|place| self.back_ends[*place].up)
            .collect();
        (!up.is_empty()).then(|| up[self.random.random_range(0..up.len())])
    }

    fn probation_back_end(&self, digest: RequestDigest) -> Option<usize> {
        let candidates: Vec<DirectCandidate> = self
            .back_ends
            .iter()
            .enumerate()
            .map(|(index, back_end)| DirectCandidate {
                index,
                id_hash: xxh3_64(id(index).as_bytes()),
                load: 0.0,
                limit: f64::INFINITY,
                same_zone: true,
                health: if back_end.up {
                    Health::Good
                } else {
                    Health::Ejected
                },
                eligible: true,
            })
            .collect();
        select_for_probation(&candidates, digest, |_| true).map(|chosen| chosen.index)
    }

    fn come_back(&mut self, run: Run) {
        if run.tries > 0 && !self.is_fatal(run.request) {
            let tries = run.tries - 1;
            self.queue.schedule(
                COME_BACK,
                Event::Try {
                    request: run.request,
                    tries,
                },
            );
        }
    }

    fn run_ends(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).copied() else {
            return;
        };
        if self.is_fatal(run.request) {
            self.fatal_ends[run.request as usize].push(self.queue.now);
            self.end_back_end(run.back_end);
            return;
        }
        self.runs.remove(&number);
        self.back_ends[run.back_end]
            .runs
            .retain(|other| *other != number);
        self.outcome.served += 1;
        let now = self.queue.now;
        self.routers[run.router]
            .quarantine
            .on_successful_run(digest(run.request), now);
    }

    fn end_back_end(&mut self, place: usize) {
        let now = self.queue.now;
        self.outcome.ends += 1;
        let back_end = &mut self.back_ends[place];
        let life = life_of(place, back_end.life);
        back_end.life += 1;
        back_end.up = false;
        let broken = std::mem::take(&mut back_end.runs);
        self.queue.schedule(DOWN, Event::Back(place));
        let broken: Vec<Run> = broken
            .iter()
            .filter_map(|number| self.runs.remove(number))
            .collect();
        for run in &broken {
            let quarantine = &mut self.routers[run.router].quarantine;
            quarantine.on_crash(digest(run.request), life, run.on_probation, now);
        }
        for run in broken {
            let quarantine = &mut self.routers[run.router].quarantine;
            let treatment = quarantine.treatment(digest(run.request), now);
            let may_repeat = !self.plan.protected || treatment < Treatment::Probation;
            if run.sends < 2 && may_repeat {
                self.send(run);
            } else {
                self.come_back(run);
            }
        }
    }
}
