//! Emulated processes: a router, or an agent with its back end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stacktack_core::chart::ChartError;
use stacktack_core::configuration::Configuration;
use stacktack_core::control::Control;
use stacktack_core::dispatch::Dispatcher;
use stacktack_core::gate::{ConnectionId, Gate};
use stacktack_wire::gossip::{MemberInformation, MemberRole};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};

use super::backend::BackEndModel;
use super::event::Event;
use super::network::LinkId;
use super::orders::{OrderParticipant, OrderTarget};
use super::Emulator;

/// Index of a process in the fleet; a restart keeps it.
pub type ProcessId = usize;

/// Time between two ticks of a process.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Request-handling state of a process and its connections.
pub enum Traffic {
    /// State of a router.
    Router {
        /// The dispatcher.
        dispatcher: Box<Dispatcher>,
        /// Connections by agent.
        links: HashMap<NodeId, LinkId>,
    },
    /// State of an agent.
    Agent {
        /// The gate.
        gate: Box<Gate>,
        /// Connections by the identifier that the gate uses.
        links: HashMap<ConnectionId, LinkId>,
    },
}

/// A router or agent of the fleet.
pub struct Process {
    /// Name, unique in the fleet.
    pub name: String,
    /// Identifier, derived from the name.
    pub node: NodeId,
    /// Router or agent.
    pub role: MemberRole,
    /// Name, incarnation, zone and addresses that the process announces.
    pub information: MemberInformation,
    /// Membership and configuration state.
    pub control: Control,
    /// Request-handling state.
    pub traffic: Traffic,
    /// Back end of an agent; it starts and ends independently of the agent.
    pub back_end: Option<BackEndModel>,
    /// Controller lease and fence of an agent.
    pub orders: Option<OrderParticipant>,
    /// Orders that the agent's back end followed; kept when the agent restarts.
    pub order_target: Option<OrderTarget>,
    /// Configuration that the router or agent uses for requests.
    pub configuration: Arc<Configuration>,
    /// Highest configuration version that this incarnation used.
    pub highest_version: ConfigurationVersion,
    /// Whether the process is running, possibly paused.
    pub alive: bool,
    /// Whether the process is paused; its events then wait in `inbox`.
    pub frozen: bool,
    /// Whether the process is stopping: it accepts no new work and ends when
    /// the work in flight has ended.
    pub stopping: bool,
    /// Events that wait until the paused process resumes.
    pub inbox: Vec<Event>,
}

impl Process {
    /// Work units in flight at an agent divided by its capacity; 0 for a router.
    pub fn load(&self) -> f64 {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.normalised_load(),
            Traffic::Router { .. } => 0.0,
        }
    }

    /// Whether the process refuses new work.
    pub fn is_draining(&self) -> bool {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.is_draining(),
            Traffic::Router { .. } => self.stopping,
        }
    }

    /// Number of attempts (agent) or requests (router) in flight.
    pub fn in_flight(&self) -> usize {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.in_flight(),
            Traffic::Router { dispatcher, .. } => dispatcher.in_flight(),
        }
    }
}

impl Emulator {
    /// Creates a process in a new incarnation.
    pub(super) fn make_process(
        &mut self,
        id: ProcessId,
        name: &str,
        zone: &str,
        role: MemberRole,
    ) -> Result<Process, ChartError> {
        self.last_incarnation += 1;
        let information = MemberInformation {
            name: name.to_string(),
            incarnation: Incarnation(self.last_incarnation),
            role,
            zone: zone.to_string(),
            address: address(id, 7_000),
            gossip: address(id, 8_000),
            operator: address(id, 9_000),
        };
        let node = NodeId::of(name);
        let seed = self
            .plan
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(self.last_incarnation);
        let control = Control::new(
            information.clone(),
            self.plan.control_bytes_per_second,
            self.plan.protections(),
            seed,
            self.now,
        );
        let traffic = match role {
            MemberRole::Router => Traffic::Router {
                dispatcher: Box::new(Dispatcher::new(
                    self.plan.policy,
                    self.plan.protections(),
                    seed,
                )?),
                links: HashMap::new(),
            },
            MemberRole::Agent => Traffic::Agent {
                gate: Box::new(Gate::new(
                    node,
                    information.incarnation,
                    self.plan.protections(),
                    self.now,
                )?),
                links: HashMap::new(),
            },
        };
        let back_end = match role {
            MemberRole::Router => None,
            MemberRole::Agent => Some(BackEndModel::of(name)),
        };
        let is_agent = role == MemberRole::Agent;
        let holder = format!("{name}/{}", information.incarnation.0);
        let participant = OrderParticipant::new(holder, self.plan.protections());
        Ok(Process {
            orders: is_agent.then_some(participant),
            order_target: is_agent.then(|| OrderTarget::new(id)),
            name: name.to_string(),
            node,
            role,
            information,
            control,
            traffic,
            back_end,
            configuration: Configuration::empty(),
            highest_version: ConfigurationVersion(0),
            alive: true,
            frozen: false,
            stopping: false,
            inbox: Vec::new(),
        })
    }
}

/// Loopback address of a process, unique by its index.
fn address(id: ProcessId, port: u16) -> SocketAddr {
    let [_, _, high, low] = (id as u32).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], port))
}
