//! Inputs and outputs of a dispatcher.

use std::sync::Arc;

use bytes::Bytes;
use stacktack_wire::identity::{Incarnation, NodeId, RequestId};
use stacktack_wire::message::{EncodedChanges, ToAgent, ToRouter};

use super::request::Request;
use super::view::RouterView;
use crate::ledger::{TableOperation, TableReply};
use crate::problem::Problem;

/// Input of a dispatcher.
#[derive(Debug)]
pub enum DispatchInput {
    /// A caller's request arrived.
    Arrived(Box<Request>),
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// The connection to an agent is established.
    Connected {
        /// The agent.
        agent: NodeId,
        /// The incarnation that the agent's hello names.
        incarnation: Incarnation,
    },
    /// Connecting to an agent failed; nothing was sent.
    ConnectFailed(NodeId),
    /// The connection to an agent was lost.
    ConnectionLost(NodeId),
    /// A message from an agent.
    FromAgent {
        /// The agent.
        agent: NodeId,
        /// The message.
        message: ToRouter,
    },
    /// The table's reply to a request's last operation.
    FromTable {
        /// The request.
        request: RequestId,
        /// The reply.
        reply: TableReply,
    },
    /// A newer view.
    View(Arc<RouterView>),
    /// Time passed: run the timers that are due.
    Tick,
}

/// Output of a dispatcher, to be carried out by its owner.
#[derive(Debug)]
pub enum DispatchOutput {
    /// Connect to an agent.
    Connect(NodeId),
    /// Close the connection to an agent; its loss is not reported back.
    Disconnect(NodeId),
    /// Send a message on an agent's connection.
    ToAgent {
        /// The agent.
        agent: NodeId,
        /// The message.
        message: ToAgent,
    },
    /// Send an operation to the table.
    ToTable {
        /// The request that waits for the reply; none when the reply is not needed.
        request: Option<RequestId>,
        /// The operation.
        operation: TableOperation,
    },
    /// Send the head of the response to the caller.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Back end that sends the response.
        agent: NodeId,
    },
    /// Send part of the response body to the caller.
    Body {
        /// The request.
        request: RequestId,
        /// The part.
        bytes: Bytes,
    },
    /// End the response, which is complete.
    End {
        /// The request.
        request: RequestId,
    },
    /// Send a problem as the response to the caller.
    Problem {
        /// The request.
        request: RequestId,
        /// The problem.
        problem: Problem,
    },
    /// End with a problem a response whose head was already sent.
    Abort {
        /// The request.
        request: RequestId,
        /// The problem.
        problem: Problem,
    },
    /// Configuration changes that an agent sent, for the control thread.
    Changes(EncodedChanges),
    /// Fetch the configuration: an agent has a newer one.
    FetchConfiguration,
}

/// Counters of a dispatcher, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests that ended with a problem and certainly did not run.
    pub not_run: u64,
    /// Requests that ended with any other problem.
    pub failed: u64,
    /// Offers sent.
    pub offers: u64,
    /// Retries of attempts that may have run.
    pub retries: u64,
    /// Messages about attempts that are no longer current.
    pub late_messages: u64,
    /// Fate queries sent.
    pub fate_queries: u64,
}

impl DispatchCounters {
    /// Adds the counters of another thread.
    pub fn add(&mut self, other: &DispatchCounters) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.failed += other.failed;
        self.offers += other.offers;
        self.retries += other.retries;
        self.late_messages += other.late_messages;
        self.fate_queries += other.fate_queries;
    }
}
