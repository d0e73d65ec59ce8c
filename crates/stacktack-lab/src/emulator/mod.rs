//! A whole fleet on virtual time, in one process, from a seed.
//!
//! The processes run the product's own [`Dispatcher`], [`Gate`] and
//! [`Control`]; only what carries their messages is emulated. Observers count
//! what engines and services really ran and what callers really got.
//!
//! [`Dispatcher`]: stacktack_core::dispatch::Dispatcher
//! [`Gate`]: stacktack_core::gate::Gate
//! [`Control`]: stacktack_core::control::Control

mod agent;
mod backend;
pub mod callers;
mod control;
pub mod event;
pub mod faults;
pub mod network;
pub mod observer;
mod operator;
pub mod orders;
mod platform;
pub mod process;
mod router;

use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stacktack_core::chart::ChartError;
use stacktack_core::placement::Policy;
use stacktack_core::protection::Protections;
use stacktack_core::time::Time;
use stacktack_wire::gossip::MemberRole;
use stacktack_wire::identity::NodeId;

use crate::fleet::{fleet_document, zone_of, FleetPlan};
use callers::Callers;
use event::{Event, Scheduled};
use network::Network;
use observer::Observer;
use operator::Operator;
use platform::Platform;
use process::{Process, ProcessId};

/// Time between looks of the observers.
const OBSERVATION: Duration = Duration::from_millis(20);

/// Time for control state and connections to settle before load begins.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// What an emulated fleet is made of.
#[derive(Clone, Debug)]
pub struct EmulatorPlan {
    /// Sizes and limits.
    pub fleet: FleetPlan,
    /// Rule of choice.
    pub policy: Policy,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Bytes a second of control traffic of each process.
    pub control_bytes_per_second: f64,
    /// Protections in force.
    pub protections: Protections,
    /// Whether agents compete for the controller lease and send orders.
    pub orders: bool,
}

/// A fleet on virtual time.
pub struct Emulator {
    plan: EmulatorPlan,
    now: Time,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    processes: Vec<Process>,
    by_node: HashMap<NodeId, ProcessId>,
    by_gossip: HashMap<std::net::SocketAddr, ProcessId>,
    network: Network,
    platform: Platform,
    operators: Vec<Operator>,
    callers: Callers,
    observer: Observer,
    random: ChaCha8Rng,
    lives: u64,
}

impl Emulator {
    /// A fleet whose processes start at time 0, with its first configuration
    /// in the table.
    pub fn new(plan: EmulatorPlan) -> Result<Self, ChartError> {
        let mut emulator = Emulator {
            now: Time::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            processes: Vec::new(),
            by_node: HashMap::new(),
            by_gossip: HashMap::new(),
            network: Network::default(),
            platform: Platform::new(&fleet_document(&plan.fleet)),
            operators: Vec::new(),
            callers: Callers::default(),
            observer: Observer::new(plan.fleet.load_cap),
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            lives: 0,
            plan,
        };
        emulator.add_processes()?;
        emulator.introduce_all();
        emulator.schedule(OBSERVATION, Event::Observe);
        Ok(emulator)
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Writes that the table took or refused as conflicts.
    pub fn table_writes(&self) -> u64 {
        self.platform.table.operation_counts().0
    }

    /// What the observers saw.
    pub fn observer(&self) -> &Observer {
        &self.observer
    }

    /// What the callers got.
    pub fn callers(&self) -> &Callers {
        &self.callers
    }

    /// All processes.
    pub fn processes(&self) -> &[Process] {
        &self.processes
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Time) -> Result<(), ChartError> {
        while let Some(next) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(scheduled) = self.queue.pop() else {
                break;
            };
            self.now = scheduled.at;
            self.dispatch(scheduled.event)?;
        }
        self.now = end;
        Ok(())
    }

    /// Schedules an event after a span.
    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled {
            at,
            sequence: self.sequence,
            event,
        });
    }

    fn add_processes(&mut self) -> Result<(), ChartError> {
        let fleet = self.plan.fleet.clone();
        for number in 1..=fleet.routers {
            self.add_process(&format!("router-{number}"), number, MemberRole::Router)?;
        }
        for number in 1..=fleet.engines {
            self.add_process(&format!("engine-{number}"), number, MemberRole::Agent)?;
        }
        for number in 1..=fleet.services {
            self.add_process(&format!("service-{number}"), number, MemberRole::Agent)?;
        }
        Ok(())
    }

    fn add_process(
        &mut self,
        name: &str,
        number: usize,
        role: MemberRole,
    ) -> Result<(), ChartError> {
        let id = self.processes.len();
        let process = self.make_process(id, name, &zone_of(number), role)?;
        self.by_node.insert(process.node, id);
        self.by_gossip.insert(process.information.gossip, id);
        let life = process.information.incarnation;
        self.processes.push(process);
        self.schedule(Duration::ZERO, Event::Tick { process: id, life });
        Ok(())
    }

    /// Every process reads the platform's machine list when it starts.
    fn introduce_all(&mut self) {
        for id in 0..self.processes.len() {
            self.introduce_to(id);
        }
    }

    fn introduce_to(&mut self, id: ProcessId) {
        let machines = self
            .processes
            .iter()
            .filter(|process| process.alive)
            .map(|process| process.information.clone())
            .collect();
        let input = stacktack_core::control::ControlInput::Machines(machines);
        self.handle_control(id, input);
    }

    fn dispatch(&mut self, event: Event) -> Result<(), ChartError> {
        if let Some(target) = event.process() {
            let process = &mut self.processes[target];
            if !process.alive {
                return Ok(());
            }
            if process.frozen {
                process.inbox.push(event);
                return Ok(());
            }
        }
        match event {
            Event::Tick { process, life } => self.on_tick(process, life),
            Event::Datagram {
                process,
                source,
                bytes,
                datagram,
            } => self.on_datagram(process, source, bytes, datagram),
            Event::Opened { connection, .. } => self.on_opened(connection),
            Event::ConnectFailed { process, agent } => self.on_connect_failed(process, agent),
            Event::ToAgent {
                connection,
                message,
                ..
            } => self.on_to_agent(connection, message),
            Event::ToRouter {
                connection,
                message,
                ..
            } => self.on_to_router(connection, message),
            Event::LostAtAgent { connection, .. } => self.on_lost_at_agent(connection),
            Event::LostAtRouter { connection, .. } => self.on_lost_at_router(connection),
            Event::Table {
                process,
                life,
                request,
                operation,
            } => self.on_table(process, life, request, &operation),
            Event::TableReply {
                process,
                life,
                request,
                reply,
            } => self.on_table_reply(process, life, request, reply),
            Event::ReadDone {
                process,
                life,
                read,
            } => self.on_read_done(process, life, read),
            Event::OperatorReply { operator, reply } => self.on_operator_reply(operator, reply),
            Event::EngineStep { agent, engine_life } => self.on_engine_step(agent, engine_life),
            Event::ServiceDone { agent, attempt } => self.on_service_done(agent, attempt),
            Event::Backend {
                process,
                attempt,
                event,
            } => self.on_backend(process, attempt, event),
            Event::LeaseReply {
                process,
                life,
                reply,
            } => {
                if self.processes[process].information.incarnation == life {
                    self.on_lease_reply(process, reply);
                }
            }
            Event::Order { process, order } => self.on_order(process, order),
            Event::Arrive(arrival) => self.on_arrive(arrival),
            Event::Fault(fault) => return self.on_fault(fault),
            Event::Observe => self.on_observe(),
        }
        Ok(())
    }

    fn on_tick(&mut self, id: ProcessId, life: stacktack_wire::identity::Incarnation) {
        if self.processes[id].information.incarnation != life {
            return;
        }
        self.tick_control(id);
        match self.processes[id].role {
            MemberRole::Router => self.tick_router(id),
            MemberRole::Agent => {
                self.tick_agent(id);
                self.tick_orders(id);
            }
        }
        let period = process::TICK;
        self.schedule(period, Event::Tick { process: id, life });
    }

    fn on_observe(&mut self) {
        self.observer.sample(&self.processes);
        self.schedule(OBSERVATION, Event::Observe);
    }
}
