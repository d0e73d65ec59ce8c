//! An emulated process: a router, or an agent with its back end.

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

/// Place of a process in the fleet.
pub type ProcessId = usize;

/// Time between a process's ticks.
pub const TICK: Duration = Duration::from_millis(20);

/// The traffic side of a process.
pub enum Traffic {
    /// A router: its dispatcher and its connections by agent.
    Router {
        /// The dispatcher.
        dispatcher: Box<Dispatcher>,
        /// Connections by agent.
        links: HashMap<NodeId, LinkId>,
    },
    /// An agent: its gate and its connections.
    Agent {
        /// The gate.
        gate: Box<Gate>,
        /// Connections by the gate's numbers.
        links: HashMap<ConnectionId, LinkId>,
    },
}

/// A process.
pub struct Process {
    /// Name.
    pub name: String,
    /// Identifier.
    pub node: NodeId,
    /// What it does.
    pub role: MemberRole,
    /// Who it is, with its life.
    pub information: MemberInformation,
    /// Control state.
    pub control: Control,
    /// Traffic side.
    pub traffic: Traffic,
    /// Back end of an agent; it has a life of its own.
    pub back_end: Option<BackEndModel>,
    /// An agent's part in orders.
    pub orders: Option<OrderParticipant>,
    /// What an agent's back end did with orders; it outlives the agent.
    pub order_target: Option<OrderTarget>,
    /// Configuration in force at the traffic side.
    pub configuration: Arc<Configuration>,
    /// Highest version that was in force in this life.
    pub highest_version: ConfigurationVersion,
    /// Whether it is up.
    pub alive: bool,
    /// Whether it is paused.
    pub frozen: bool,
    /// Whether it is stopping: no new work, what is in flight ends.
    pub stopping: bool,
    /// Events that wait for a paused process.
    pub inbox: Vec<Event>,
}

impl Process {
    /// Work units in flight at an agent divided by capacity.
    pub fn load(&self) -> f64 {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.normalised_load(),
            Traffic::Router { .. } => 0.0,
        }
    }

    /// Whether no new work is taken.
    pub fn is_draining(&self) -> bool {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.is_draining(),
            Traffic::Router { .. } => self.stopping,
        }
    }

    /// Attempts or requests under way.
    pub fn in_flight(&self) -> usize {
        match &self.traffic {
            Traffic::Agent { gate, .. } => gate.in_flight(),
            Traffic::Router { dispatcher, .. } => dispatcher.in_flight(),
        }
    }
}

impl Emulator {
    /// A process in a new life.
    pub(super) fn make_process(
        &mut self,
        id: ProcessId,
        name: &str,
        zone: &str,
        role: MemberRole,
    ) -> Result<Process, ChartError> {
        self.lives += 1;
        let information = MemberInformation {
            name: name.to_string(),
            incarnation: Incarnation(self.lives),
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
            .wrapping_add(self.lives);
        let control = Control::new(
            information.clone(),
            self.plan.control_bytes_per_second,
            self.plan.protections,
            seed,
            self.now,
        );
        let traffic = match role {
            MemberRole::Router => Traffic::Router {
                dispatcher: Box::new(Dispatcher::new(
                    self.plan.policy,
                    self.plan.protections,
                    seed,
                )?),
                links: HashMap::new(),
            },
            MemberRole::Agent => Traffic::Agent {
                gate: Box::new(Gate::new(
                    node,
                    information.incarnation,
                    self.plan.protections,
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
        let participant = OrderParticipant::new(holder, self.plan.protections);
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

/// Loopback address of a process, unique by its place.
fn address(id: ProcessId, port: u16) -> SocketAddr {
    let [_, _, high, low] = (id as u32).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], port))
}
