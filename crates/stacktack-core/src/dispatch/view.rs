//! Snapshot of configuration and agents that the control thread hands to the traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stacktack_wire::identity::NodeId;

use crate::configuration::Configuration;
use crate::control::members::{Member, Members};
use crate::time::Time;

/// State of an agent according to membership.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentView {
    /// Address at which the agent accepts traffic connections.
    pub address: SocketAddr,
    /// Whether the agent is suspected to be down.
    pub suspected: bool,
    /// Whether the agent takes no new work, or its machine is about to be taken away.
    pub draining: bool,
    /// Work units in flight divided by capacity, and the time of that load, if known.
    pub load: Option<(f64, Time)>,
}

/// Immutable snapshot of the configuration and the agents.
#[derive(Clone, Debug)]
pub struct RouterView {
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Known agents.
    pub agents: HashMap<NodeId, AgentView>,
}

impl RouterView {
    /// Builds the view from the members and a configuration.
    pub fn of(members: &Members, configuration: Arc<Configuration>) -> Self {
        let agents = members
            .agents()
            .map(|(node, member)| (node, AgentView::of(member)))
            .collect();
        RouterView {
            configuration,
            agents,
        }
    }
}

impl AgentView {
    fn of(member: &Member) -> Self {
        let heartbeat = &member.heartbeat;
        let load = (f64::from(heartbeat.load), member.heartbeat_at);
        AgentView {
            address: member.information.address,
            suspected: member.suspected_at.is_some(),
            draining: heartbeat.draining || member.leaving,
            load: (heartbeat.sequence > 0).then_some(load),
        }
    }
}

impl Default for RouterView {
    fn default() -> Self {
        RouterView {
            configuration: Configuration::empty(),
            agents: HashMap::new(),
        }
    }
}
