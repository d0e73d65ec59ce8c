//! What a dispatcher is told and what it wants done.

use std::sync::Arc;

use bytes::Bytes;
use stacktack_wire::identity::{Incarnation, NodeId, RequestId};
use stacktack_wire::message::{EncodedChanges, ToAgent, ToRouter};

use super::request::Request;
use super::view::RouterView;
use crate::ledger::{TableOperation, TableReply};
use crate::problem::Problem;

/// What the dispatcher is told.
#[derive(Debug)]
pub enum DispatchInput {
    /// A caller's request came.
    Arrived(Box<Request>),
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// An agent's connection is up.
    Connected {
        /// The agent.
        agent: NodeId,
        /// Its life, as its hello says.
        incarnation: Incarnation,
    },
    /// An agent could not be connected; nothing was sent.
    ConnectFailed(NodeId),
    /// An agent's connection is gone.
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
    /// A later view.
    View(Arc<RouterView>),
    /// Time passed.
    Tick,
}

/// What the dispatcher wants done.
#[derive(Debug)]
pub enum DispatchOutput {
    /// Connect to an agent.
    Connect(NodeId),
    /// Close an agent's connection, without a report of its loss.
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
        /// The request; none when the reply does not matter.
        request: Option<RequestId>,
        /// The operation.
        operation: TableOperation,
    },
    /// Send the head of the answer to the caller.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Back end that answers.
        agent: NodeId,
    },
    /// Send part of the answer's body to the caller.
    Body {
        /// The request.
        request: RequestId,
        /// Bytes.
        bytes: Bytes,
    },
    /// The answer to the caller is whole.
    End {
        /// The request.
        request: RequestId,
    },
    /// Answer the caller with a problem.
    Problem {
        /// The request.
        request: RequestId,
        /// The problem.
        problem: Problem,
    },
    /// End the caller's answer, part of which was sent, with a problem.
    Abort {
        /// The request.
        request: RequestId,
        /// The problem.
        problem: Problem,
    },
    /// Changes that an agent handed over, for the control thread.
    Changes(EncodedChanges),
    /// The configuration is older than an agent's; fetch it.
    FetchConfiguration,
}

/// Counts of what the dispatcher did, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Requests taken in.
    pub requests: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests that ended in any other problem.
    pub failed: u64,
    /// Offers sent.
    pub offers: u64,
    /// Retries of attempts that may have run.
    pub retries: u64,
    /// Messages about attempts that are no longer current.
    pub late_messages: u64,
    /// Fates asked.
    pub fate_queries: u64,
}

impl DispatchCounters {
    /// Adds another thread's counts.
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
