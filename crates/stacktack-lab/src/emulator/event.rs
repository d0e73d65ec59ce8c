//! Events of an emulated fleet and their order in time.

use std::cmp::Ordering;
use std::net::SocketAddr;

use stacktack_core::gate::BackendEvent;
use stacktack_core::ledger::{TableOperation, TableReply};
use stacktack_core::problem::Problem;
use stacktack_core::time::Time;
use stacktack_standins::engine::orders::Order;
use stacktack_wire::gossip::Datagram;
use stacktack_wire::identity::{AttemptId, Incarnation, NodeId, RequestId};
use stacktack_wire::message::{ToAgent, ToRouter};

use super::callers::Arrival;
use super::faults::Fault;
use super::network::LinkId;
use super::platform::Read;
use super::process::ProcessId;

/// An event that the emulator handles at its scheduled time.
#[derive(Debug)]
pub enum Event {
    /// The timers of a process are due.
    Tick {
        /// The process.
        process: ProcessId,
        /// Incarnation for which the event was scheduled.
        incarnation: Incarnation,
    },
    /// A datagram arrives.
    Datagram {
        /// The receiver.
        process: ProcessId,
        /// The sender's address.
        source: SocketAddr,
        /// Encoded size of the datagram in bytes.
        bytes: usize,
        /// The datagram.
        datagram: Datagram,
    },
    /// A connection reaches an agent.
    ConnectionOpened {
        /// The agent's process.
        process: ProcessId,
        /// The connection.
        connection: LinkId,
    },
    /// A connection attempt was refused or timed out.
    ConnectFailed {
        /// The router's process.
        process: ProcessId,
        /// The agent that the router could not reach.
        agent: NodeId,
    },
    /// A message arrives at an agent.
    ToAgent {
        /// The agent's process.
        process: ProcessId,
        /// The connection.
        connection: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// A message arrives at a router.
    ToRouter {
        /// The router's process.
        process: ProcessId,
        /// The connection.
        connection: LinkId,
        /// The message.
        message: ToRouter,
    },
    /// An agent learns that a connection was closed or reset.
    ConnectionLostAtAgent {
        /// The agent's process.
        process: ProcessId,
        /// The connection.
        connection: LinkId,
    },
    /// A router learns that a connection was closed or reset.
    ConnectionLostAtRouter {
        /// The router's process.
        process: ProcessId,
        /// The connection.
        connection: LinkId,
    },
    /// A table operation arrives at the platform.
    TableRequest {
        /// The router that sent the operation.
        process: ProcessId,
        /// Incarnation for which the event was scheduled.
        incarnation: Incarnation,
        /// The request that waits for the reply, if any.
        request: Option<RequestId>,
        /// The operation.
        operation: TableOperation,
    },
    /// A table reply arrives at a router.
    TableReply {
        /// The router.
        process: ProcessId,
        /// Incarnation for which the event was scheduled.
        incarnation: Incarnation,
        /// The request that waits for the reply.
        request: RequestId,
        /// The reply.
        reply: TableReply,
    },
    /// A read by the control state of a process is complete.
    ReadDone {
        /// The process.
        process: ProcessId,
        /// Incarnation for which the event was scheduled.
        incarnation: Incarnation,
        /// Result of the read.
        read: Read,
    },
    /// A table reply arrives at an operator.
    OperatorReply {
        /// Index of the operator.
        operator: usize,
        /// The reply.
        reply: TableReply,
    },
    /// A step of an engine ends.
    EngineStep {
        /// The engine's agent.
        agent: ProcessId,
        /// Incarnation of the engine.
        engine_incarnation: u64,
    },
    /// A service completes a call.
    ServiceDone {
        /// The service's agent.
        agent: ProcessId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A message of a back end arrives at its agent.
    Backend {
        /// The agent's process.
        process: ProcessId,
        /// The attempt.
        attempt: AttemptId,
        /// The message.
        event: BackendEvent,
    },
    /// A table reply about the controller lease arrives at an agent.
    LeaseReply {
        /// The agent.
        process: ProcessId,
        /// Incarnation for which the event was scheduled.
        incarnation: Incarnation,
        /// The reply.
        reply: TableReply,
    },
    /// An order arrives at an agent.
    Order {
        /// The agent.
        process: ProcessId,
        /// The order.
        order: Order,
    },
    /// A caller sends a request.
    Arrival(Arrival),
    /// A refusal that was held reaches its caller.
    HeldRefusal {
        /// The request.
        request: RequestId,
        /// The refusal.
        problem: Problem,
    },
    /// A fault begins or ends, or an operator acts.
    Fault(Fault),
    /// The observer takes a sample.
    Observe,
}

impl Event {
    /// The process that must be alive and not paused for the event to be
    /// handled, or `None` for events of engines, services, the platform,
    /// operators, callers and the emulator itself.
    pub fn process(&self) -> Option<ProcessId> {
        match self {
            Event::Tick { process, .. }
            | Event::Datagram { process, .. }
            | Event::ConnectionOpened { process, .. }
            | Event::ConnectFailed { process, .. }
            | Event::ToAgent { process, .. }
            | Event::ToRouter { process, .. }
            | Event::ConnectionLostAtAgent { process, .. }
            | Event::ConnectionLostAtRouter { process, .. }
            | Event::TableReply { process, .. }
            | Event::ReadDone { process, .. }
            | Event::LeaseReply { process, .. }
            | Event::Order { process, .. }
            | Event::Backend { process, .. } => Some(*process),
            Event::TableRequest { .. }
            | Event::OperatorReply { .. }
            | Event::EngineStep { .. }
            | Event::ServiceDone { .. }
            | Event::Arrival(_)
            | Event::HeldRefusal { .. }
            | Event::Fault(_)
            | Event::Observe => None,
        }
    }
}

/// An event with its time. The order is reversed for a max-heap: the earliest
/// event is the greatest, and among events of one time the one scheduled first.
#[derive(Debug)]
pub struct Scheduled {
    /// Time at which the event is handled.
    pub at: Time,
    /// Order in which events were scheduled; decides among events of one time.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
