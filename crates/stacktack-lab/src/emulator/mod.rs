//! Deterministic emulation of a whole fleet: one process, virtual time, one
//! seed.
//!
//! The emulated processes run the product's own [`Dispatcher`], [`Gate`] and
//! [`Control`]; only the transport of their messages is emulated. An observer
//! counts the runs at engines and services, and the emulated callers record
//! the responses that they receive, both independently of the product.
//!
//! [`Dispatcher`]: stacktack_core::dispatch::Dispatcher
//! [`Gate`]: stacktack_core::gate::Gate
//! [`Control`]: stacktack_core::control::Control

mod agent;
mod backend;
pub mod callers;
mod control;
pub mod defect;
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
use defect::Defect;
use event::{Event, Scheduled};
use network::Network;
use observer::Observer;
use operator::Operator;
use platform::Platform;
use process::{Process, ProcessId};

/// Time between two samples of the observer.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// Time for control state and connections to settle before the load starts.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Size and settings of an emulated fleet.
#[derive(Clone, Debug)]
pub struct EmulatorPlan {
    /// Size and limits of the fleet.
    pub fleet: FleetPlan,
    /// Placement policy of the routers.
    pub policy: Policy,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Control traffic budget of each process, in bytes per second.
    pub control_bytes_per_second: f64,
    /// What the run does wrong, if anything.
    pub defect: Option<Defect>,
    /// Whether agents compete for the controller lease and send orders.
    pub orders: bool,
}

impl EmulatorPlan {
    fn protections(&self) -> Protections {
        Defect::protections(self.defect)
    }
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
    last_incarnation: u64,
}

impl Emulator {
    /// Creates a fleet whose processes start at time 0, with the first
    /// configuration in the table.
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
            last_incarnation: 0,
            plan,
        };
        emulator.add_processes()?;
        emulator.provide_machine_lists();
        emulator.schedule(OBSERVATION_INTERVAL, Event::Observe);
        Ok(emulator)
    }

    /// Current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Number of writes that the table accepted or refused as conflicts.
    pub fn table_writes(&self) -> u64 {
        self.platform.table.operation_counts().0
    }

    /// Observations of the run so far.
    pub fn observer(&self) -> &Observer {
        &self.observer
    }

    /// Requests of the callers and the responses that they received.
    pub fn callers(&self) -> &Callers {
        &self.callers
    }

    /// All processes, also those that are down, indexed by [`ProcessId`].
    pub fn processes(&self) -> &[Process] {
        &self.processes
    }

    /// Handles all events up to and including `end`.
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

    /// Schedules an event `after` the current time.
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
        let incarnation = process.information.incarnation;
        self.processes.push(process);
        self.schedule(
            Duration::ZERO,
            Event::Tick {
                process: id,
                incarnation,
            },
        );
        Ok(())
    }

    /// Passes the platform's machine list to every process, which reads it when
    /// it starts.
    fn provide_machine_lists(&mut self) {
        for id in 0..self.processes.len() {
            self.provide_machine_list(id);
        }
    }

    fn provide_machine_list(&mut self, id: ProcessId) {
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
            Event::Tick {
                process,
                incarnation,
            } => self.on_tick(process, incarnation),
            Event::Datagram {
                process,
                source,
                bytes,
                datagram,
            } => self.on_datagram(process, source, bytes, datagram),
            Event::ConnectionOpened { connection, .. } => self.on_connection_opened(connection),
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
            Event::ConnectionLostAtAgent { connection, .. } => {
                self.on_connection_lost_at_agent(connection)
            }
            Event::ConnectionLostAtRouter { connection, .. } => {
                self.on_connection_lost_at_router(connection)
            }
            Event::TableRequest {
                process,
                incarnation,
                request,
                operation,
            } => self.on_table_request(process, incarnation, request, &operation),
            Event::TableReply {
                process,
                incarnation,
                request,
                reply,
            } => self.on_table_reply(process, incarnation, request, reply),
            Event::ReadDone {
                process,
                incarnation,
                read,
            } => self.on_read_done(process, incarnation, read),
            Event::OperatorReply { operator, reply } => self.on_operator_reply(operator, reply),
            Event::EngineStep {
                agent,
                engine_incarnation,
            } => self.on_engine_step(agent, engine_incarnation),
            Event::ServiceDone { agent, attempt } => self.on_service_done(agent, attempt),
            Event::Backend {
                process,
                attempt,
                event,
            } => self.on_backend(process, attempt, event),
            Event::LeaseReply {
                process,
                incarnation,
                reply,
            } => {
                if self.processes[process].information.incarnation == incarnation {
                    self.on_lease_reply(process, reply);
                }
            }
            Event::Order { process, order } => self.on_order(process, order),
            Event::Arrival(arrival) => self.on_arrival(arrival),
            Event::HeldRefusal { request, problem } => {
                self.callers.on_problem(self.now, request, problem);
            }
            Event::Fault(fault) => return self.on_fault(fault),
            Event::Observe => self.on_observe(),
        }
        Ok(())
    }

    fn on_tick(&mut self, id: ProcessId, incarnation: stacktack_wire::identity::Incarnation) {
        if self.processes[id].information.incarnation != incarnation {
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
        let period = process::TICK_INTERVAL;
        self.schedule(
            period,
            Event::Tick {
                process: id,
                incarnation,
            },
        );
    }

    fn on_observe(&mut self) {
        self.observer.sample(&self.processes);
        self.schedule(OBSERVATION_INTERVAL, Event::Observe);
    }
}
