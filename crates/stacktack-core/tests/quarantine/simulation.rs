//! Simulation, on virtual time, of routers and back ends with requests of which some crash the
//! back end that runs them, by themselves or by a part of their prompts.
//!
//! Innocent requests are spread over the back ends and run for half a second on average. A crash
//! interrupts all runs of the back end. A caller whose request failed returns once. Fatal requests
//! come again and again, each time to a random router. Routers gossip within their byte budget;
//! 3 in 100 datagrams are lost.

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
use stacktack_core::direct::quarantine::digest::{RequestIdentity, SuspectDigest};
use stacktack_core::direct::quarantine::probation::select_for_probation;
use stacktack_core::direct::quarantine::record::{RecordGossip, Treatment};
use stacktack_core::direct::quarantine::{Assessment, Quarantine};
use stacktack_core::direct::stream_versions::software_version::{SoftwareVersion, VersionHash};
use stacktack_core::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::event_queue::{random_time, EventQueue};
use crate::prompts::{Content, Prompts, FATAL_PARTS};

const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const DATAGRAM_LOSS: f64 = 0.03;
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);

/// Gossip budget of a router.
const BYTES_PER_SECOND: f64 = 1800.0;

/// Time for which routers discover each other before the first fatal request.
const WARM_UP: Duration = Duration::from_secs(8);

/// Mean time from the start of a fatal run to the crash of its back end.
const CRASH_SECONDS: f64 = 0.3;

/// Mean duration of an innocent run.
const RUN_SECONDS: f64 = 0.5;

/// Time from the crash of a back end to its restart.
const DOWNTIME: Duration = Duration::from_millis(2500);

/// Time after which a caller whose request failed returns.
const RETURN_DELAY: Duration = Duration::from_millis(400);

/// Time after the third crash under a fatal request, or the fifth under a fatal part, from which
/// further sends count as late.
pub const MAX_REACTION_TIME: Duration = Duration::from_secs(3);

/// Time after the fifth crash under a fatal part from which sound requests are served as usual.
pub const MAX_DISTURBANCE: Duration = Duration::from_secs(6);

/// Time after which sound requests begin to use the part of [`FatalPrompt::AfterNew`](crate::prompts::FatalPrompt::AfterNew).
const NEW_PART_DELAY: Duration = Duration::from_secs(8);

/// Sound requests of one kind, from [`MAX_DISTURBANCE`] after the fifth crash on, or after the last
/// one if there are fewer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Neighbours {
    pub tries: usize,
    /// Tries that ran at a back end at once.
    pub begun: usize,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub routers: usize,
    pub back_ends: usize,
    /// Innocent requests per second for each back end.
    pub rate: f64,
    /// Number of different fatal requests.
    pub fatal: usize,
    /// Time between two tries of one fatal request.
    pub fatal_interval: Duration,
    pub duration: Duration,
    /// Whether routers keep a quarantine.
    pub has_quarantine: bool,
    /// Share of the innocent tries that send the same request.
    pub common_share: f64,
    /// Mean time after which a back end crashes for reasons of its own; `None` if only fatal
    /// requests crash back ends.
    pub mean_uptime: Option<Duration>,
    /// Prompts; `None` if requests have none.
    pub prompts: Option<Prompts>,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Sound requests by [`Content::neighbour_kind`].
    pub neighbours: [Neighbours; 3],
    pub crashes: usize,
    /// For each fatal request or part: sends later than [`MAX_REACTION_TIME`] after the third or
    /// fifth crash.
    pub late_sends: Vec<usize>,
    pub innocent_tries: usize,
    /// Tries of innocent requests that were refused because the request was set aside.
    pub set_aside: usize,
    /// Innocent requests that completed.
    pub served: usize,
    /// Mean number of bytes per second that the busiest router sent.
    pub bytes_per_second: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrive { to: usize, datagram: u64 },
    Innocent,
    Fatal(usize),
    Return { content: Content, returns_left: u32 },
    RunEnd { run: u64 },
    Restart(usize),
    OwnCrash { back_end: usize, instance: u64 },
}

struct Router {
    peers: Peers,
    quarantine: Quarantine,
    bytes: f64,
}

struct BackEnd {
    instance: u64,
    up: bool,
    runs: Vec<u64>,
}

#[derive(Clone)]
struct Run {
    content: Content,
    router: usize,
    back_end: usize,
    returns_left: u32,
    sends: u32,
    on_probation: bool,
}

pub struct Simulation {
    scenario: Scenario,
    queue: EventQueue<Event>,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    router_numbers: HashMap<SocketAddr, usize>,
    datagrams: HashMap<u64, (PeerGossip, Vec<RecordGossip>)>,
    datagrams_sent: u64,
    back_ends: Vec<BackEnd>,
    runs: HashMap<u64, Run>,
    run_count: u64,
    request_count: u64,
    /// Crashes and sends by fatal request, or by fatal part.
    fatal_crashes: Vec<Vec<Time>>,
    fatal_sends: Vec<Vec<Time>>,
    outcome: Outcome,
}

/// Innocent request that many callers send.
const COMMON_REQUEST: u64 = 500;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 250) as u8, (number % 250) as u8 + 1],
        7340,
    ))
}

pub fn digest(request: u64) -> SuspectDigest {
    SuspectDigest::of_request(&RequestIdentity {
        caller: "caller",
        method: "POST",
        host: "host",
        target: "/",
        body: &request.to_le_bytes(),
    })
}

pub fn version() -> VersionHash {
    let version = SoftwareVersion {
        service: "m".to_owned(),
        version: "v1".to_owned(),
    };
    version.hash()
}

fn id(back_end: usize) -> String {
    format!("b-{back_end}")
}

pub fn instance_id(back_end: usize, instance: u64) -> InstanceId {
    InstanceId::of(&BackEndEntry {
        id: id(back_end),
        born: instance + 1,
        address: address(back_end),
        labels: HashMap::new().into_iter().collect(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        revision: 1,
    })
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Outcome {
        let start = Time(1_000_000);
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut queue = EventQueue::new(start);
        let seeds: Vec<SocketAddr> = (0..scenario.routers.min(3)).map(address).collect();
        let routers = (0..scenario.routers)
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
        for fatal in 0..scenario.fatal {
            let after = WARM_UP + scenario.fatal_interval * fatal as u32 / scenario.fatal as u32;
            queue.schedule(after, Event::Fatal(fatal));
        }
        queue.schedule(WARM_UP - Duration::from_secs(2), Event::Innocent);
        let mut simulation = Simulation {
            scenario,
            queue,
            random,
            routers,
            router_numbers: (0..scenario.routers)
                .map(|number| (address(number), number))
                .collect(),
            datagrams: HashMap::new(),
            datagrams_sent: 0,
            back_ends: (0..scenario.back_ends)
                .map(|_| BackEnd {
                    instance: 0,
                    up: true,
                    runs: Vec::new(),
                })
                .collect(),
            runs: HashMap::new(),
            run_count: 0,
            request_count: 1000,
            fatal_crashes: vec![Vec::new(); scenario.fatal.max(FATAL_PARTS.len())],
            fatal_sends: vec![Vec::new(); scenario.fatal.max(FATAL_PARTS.len())],
            outcome: Outcome::default(),
        };
        for back_end in 0..scenario.back_ends {
            simulation.schedule_own_crash(back_end);
        }
        let end = start + WARM_UP + scenario.duration;
        while let Some(event) = simulation.queue.next() {
            if simulation.queue.now > end {
                break;
            }
            simulation.handle(event);
        }
        simulation.finish()
    }

    fn finish(mut self) -> Outcome {
        for (crashes, sends) in self.fatal_crashes.iter().zip(&self.fatal_sends) {
            let decisive = if self.scenario.prompts.is_some() {
                4
            } else {
                2
            };
            let late = crashes.get(decisive).map_or(0, |crash| {
                sends
                    .iter()
                    .filter(|at| **at > *crash + MAX_REACTION_TIME)
                    .count()
            });
            self.outcome.late_sends.push(late);
        }
        let seconds = (WARM_UP + self.scenario.duration).as_secs_f64();
        let bytes = self.routers.iter().map(|router| router.bytes / seconds);
        self.outcome.bytes_per_second = bytes.fold(0.0, f64::max);
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Arrive { to, datagram } => self.receive(to, datagram),
            Event::Innocent => self.send_innocent(),
            Event::Fatal(number) => {
                self.queue
                    .schedule(self.scenario.fatal_interval, Event::Fatal(number));
                let content = self.fatal_content(number as u64);
                self.try_request(content, u32::MAX);
            }
            Event::Return {
                content,
                returns_left,
            } => self.try_request(content, returns_left),
            Event::RunEnd { run } => self.on_run_end(run),
            Event::Restart(back_end) => {
                self.back_ends[back_end].up = true;
                self.schedule_own_crash(back_end);
            }
            Event::OwnCrash { back_end, instance } => {
                if self.back_ends[back_end].instance == instance {
                    self.crash_back_end(back_end);
                }
            }
        }
    }

    fn schedule_own_crash(&mut self, back_end: usize) {
        if let Some(mean_uptime) = self.scenario.mean_uptime {
            let instance = self.back_ends[back_end].instance;
            let after = random_time(&mut self.random, mean_uptime.as_secs_f64());
            self.queue
                .schedule(after, Event::OwnCrash { back_end, instance });
        }
    }

    fn tick(&mut self, number: usize) {
        self.queue.schedule(GOSSIP_INTERVAL, Event::Tick(number));
        let now = self.queue.now;
        let router = &mut self.routers[number];
        let records = router.quarantine.gossip(now);
        for datagram in router.peers.tick(&OwnGossip::default(), now) {
            let gossip_bytes = postcard::to_allocvec(&datagram.gossip).expect("gossip");
            let record_bytes = postcard::to_allocvec(&records).expect("records");
            let contexts: Vec<_> = records.iter().map(|record| &record.part).collect();
            let context_bytes = postcard::to_allocvec(&contexts).expect("contexts");
            let bytes = gossip_bytes.len() + record_bytes.len() + context_bytes.len();
            router.peers.on_sent(bytes);
            router.bytes += bytes as f64 + 28.0;
            let to = self.router_numbers.get(&datagram.to).copied();
            if let (Some(to), false) = (to, self.random.random_bool(DATAGRAM_LOSS)) {
                self.datagrams_sent += 1;
                self.datagrams
                    .insert(self.datagrams_sent, (datagram.gossip, records.clone()));
                let datagram = self.datagrams_sent;
                self.queue
                    .schedule(DATAGRAM_DELAY, Event::Arrive { to, datagram });
            }
        }
    }

    fn receive(&mut self, to: usize, datagram: u64) {
        let now = self.queue.now;
        let Some((gossip, records)) = self.datagrams.remove(&datagram) else {
            return;
        };
        let router = &mut self.routers[to];
        router.peers.receive(&gossip, now);
        router.quarantine.merge(&records, 0.5, now);
    }

    fn send_innocent(&mut self) {
        let rate = self.scenario.rate * self.scenario.back_ends as f64;
        let next = random_time(&mut self.random, 1.0 / rate);
        self.queue.schedule(next, Event::Innocent);
        let is_common = self.random.random_bool(self.scenario.common_share);
        self.request_count += 1;
        let request = if is_common {
            COMMON_REQUEST
        } else {
            self.request_count
        };
        let parts = self.sound_parts();
        let content = Content {
            request,
            parts,
            caller: 0,
        };
        self.try_request(content, 1);
    }

    /// Shared parts of a sound request.
    fn sound_parts(&mut self) -> Vec<u64> {
        let Some(prompts) = self.scenario.prompts else {
            return Vec::new();
        };
        let start = Time(1_000_000) + WARM_UP;
        let may_use_new = self.queue.now > start + NEW_PART_DELAY;
        prompts.draw_sound(self.request_count, may_use_new, &mut self.random)
    }

    /// A fatal request: always the same one without prompts, else a new one.
    fn fatal_content(&mut self, number: u64) -> Content {
        let Some(prompts) = self.scenario.prompts else {
            return Content {
                request: number,
                parts: Vec::new(),
                caller: 0,
            };
        };
        self.request_count += 1;
        Content {
            request: self.request_count,
            parts: prompts.draw_fatal(&mut self.random),
            caller: self.random.random_range(0..prompts.fatal_callers),
        }
    }

    fn is_fatal(&self, content: &Content) -> bool {
        match self.scenario.prompts {
            Some(_) => content.fatal_part().is_some(),
            None => (content.request as usize) < self.scenario.fatal,
        }
    }

    /// Index of what makes a request fatal.
    fn fatal_index(&self, content: &Content) -> usize {
        match self.scenario.prompts {
            Some(_) => content.fatal_part().unwrap_or(0),
            None => content.request as usize,
        }
    }

    /// Counts a sound try once the disturbance by fatal parts has to be over.
    fn count_neighbour(&mut self, content: &Content, has_begun: bool) {
        let decisive = self.fatal_crashes.iter();
        let decisive = decisive.filter_map(|crashes| crashes.get(4).or(crashes.last()));
        let is_over = decisive
            .max()
            .is_some_and(|crash| self.queue.now > *crash + MAX_DISTURBANCE);
        if !is_over || content.parts.is_empty() {
            return;
        }
        let kind = content.neighbour_kind();
        self.outcome.neighbours[kind].tries += 1;
        self.outcome.neighbours[kind].begun += usize::from(has_begun);
    }

    fn try_request(&mut self, content: Content, returns_left: u32) {
        let router = self.random.random_range(0..self.routers.len());
        if !self.is_fatal(&content) {
            self.outcome.innocent_tries += 1;
        }
        let run = Run {
            content,
            router,
            back_end: 0,
            returns_left,
            sends: 0,
            on_probation: false,
        };
        self.send(run);
    }

    /// Sends a request as the quarantine of its router treats it. If there is no back end for it, its
    /// caller returns, unless the request is set aside.
    fn send(&mut self, run: Run) {
        let now = self.queue.now;
        let suspects = run.content.suspects();
        let is_fatal = self.is_fatal(&run.content);
        let Assessment { treatment, suspect } = if self.scenario.has_quarantine {
            let quarantine = &mut self.routers[run.router].quarantine;
            quarantine.assess(&suspects, now)
        } else {
            Assessment::USUAL
        };
        let probation = match (treatment, suspect) {
            (Treatment::Watched | Treatment::Probation, Some(suspect)) => {
                self.probation_back_end(suspect)
            }
            _ => None,
        };
        let chosen = match treatment {
            Treatment::SetAside => None,
            Treatment::Probation => probation,
            _ => probation.or_else(|| self.random_back_end()),
        };
        if !is_fatal && run.sends == 0 {
            self.count_neighbour(&run.content, chosen.is_some());
        }
        let Some(back_end) = chosen else {
            if treatment == Treatment::SetAside {
                self.outcome.set_aside += usize::from(!is_fatal);
            } else {
                self.schedule_return(run);
            }
            return;
        };
        if is_fatal {
            let index = self.fatal_index(&run.content);
            self.fatal_sends[index].push(now);
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
        let mean = if is_fatal { CRASH_SECONDS } else { RUN_SECONDS };
        let after = random_time(&mut self.random, mean);
        self.queue.schedule(after, Event::RunEnd { run: number });
    }

    fn random_back_end(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.back_ends.len())
            .filter(|index| self.back_ends[*index].up)
            .collect();
        (!up.is_empty()).then(|| up[self.random.random_range(0..up.len())])
    }

    fn probation_back_end(&self, digest: SuspectDigest) -> Option<usize> {
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

    fn schedule_return(&mut self, run: Run) {
        if run.returns_left > 0 && !self.is_fatal(&run.content) {
            let returns_left = run.returns_left - 1;
            self.queue.schedule(
                RETURN_DELAY,
                Event::Return {
                    content: run.content,
                    returns_left,
                },
            );
        }
    }

    fn on_run_end(&mut self, number: u64) {
        let Some(run) = self.runs.get(&number).cloned() else {
            return;
        };
        if self.is_fatal(&run.content) {
            let index = self.fatal_index(&run.content);
            self.fatal_crashes[index].push(self.queue.now);
            self.crash_back_end(run.back_end);
            return;
        }
        self.runs.remove(&number);
        self.back_ends[run.back_end]
            .runs
            .retain(|other| *other != number);
        self.outcome.served += 1;
        let now = self.queue.now;
        let quarantine = &mut self.routers[run.router].quarantine;
        let suspects = run.content.suspects();
        quarantine.on_complete_response(&suspects.parts, version(), now);
        quarantine.on_successful_run(digest(run.content.request), now);
    }

    fn crash_back_end(&mut self, index: usize) {
        let now = self.queue.now;
        self.outcome.crashes += 1;
        let back_end = &mut self.back_ends[index];
        let instance = instance_id(index, back_end.instance);
        back_end.instance += 1;
        back_end.up = false;
        let interrupted = std::mem::take(&mut back_end.runs);
        self.queue.schedule(DOWNTIME, Event::Restart(index));
        let interrupted: Vec<Run> = interrupted
            .iter()
            .filter_map(|number| self.runs.remove(number))
            .collect();
        for run in &interrupted {
            let quarantine = &mut self.routers[run.router].quarantine;
            let suspects = run.content.suspects();
            quarantine.on_crash(&suspects, instance, version(), run.on_probation, now);
        }
        for run in interrupted {
            let quarantine = &mut self.routers[run.router].quarantine;
            let treatment = quarantine.assess(&run.content.suspects(), now).treatment;
            let may_retry = !self.scenario.has_quarantine || treatment < Treatment::Probation;
            if run.sends < 2 && may_retry {
                self.send(run);
            } else {
                self.schedule_return(run);
            }
        }
    }
}
