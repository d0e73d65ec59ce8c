//! Inputs, outputs and counters of a gate.

use std::sync::Arc;

use bytes::Bytes;
use stacktack_wire::identity::{AttemptId, NodeId};
use stacktack_wire::message::{Offer, ToAgent, ToRouter, Usage};

use super::response::ResponseHead;
use crate::configuration::change::Change;
use crate::configuration::Configuration;
use crate::time::Time;

/// A traffic connection from a router, numbered by the agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Event of the back end about one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// Status and content type of the response arrived.
    Head(ResponseHead),
    /// Pieces of the response arrived.
    Pieces {
        /// Index of the first piece.
        offset: u64,
        /// Consecutive pieces of the body.
        pieces: Vec<Bytes>,
    },
    /// The response is complete.
    Finished(Usage),
    /// The back end refused the attempt, which certainly did not run.
    Refused,
    /// Nothing could be sent, so the attempt certainly did not run.
    Unreachable,
    /// The connection broke after the request was sent.
    ConnectionBroken,
    /// The response is unusable, such as a body that is too large.
    InvalidResponse,
}

/// Input of a gate.
#[derive(Debug)]
pub enum GateInput {
    /// A router sent a message.
    FromRouter {
        /// Connection that the message came on.
        connection: ConnectionId,
        /// The message.
        message: ToAgent,
    },
    /// The connection to a router was lost.
    ConnectionLost(ConnectionId),
    /// The back end reported an event.
    FromBackend {
        /// The attempt.
        attempt: AttemptId,
        /// The event.
        event: BackendEvent,
    },
    /// Loads of the other back ends that accept work, and when each was
    /// measured; the gate drops loads of back ends that are not listed.
    PeerLoads(Vec<(NodeId, f64, Time)>),
    /// A newer configuration was received.
    Configuration {
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Changes since the configuration that the gate holds, if known.
        changes: Vec<Change>,
    },
    /// Refuse new work from now on (true), or accept it again (false).
    Drain(bool),
    /// Periodic call that checks deadlines and retention times.
    Tick,
}

/// Output of a gate: what its process does next.
#[derive(Debug, PartialEq)]
pub enum GateOutput {
    /// Send a message to a router.
    ToRouter {
        /// Connection to send on.
        connection: ConnectionId,
        /// The message.
        message: ToRouter,
    },
    /// Send an attempt to the back end.
    StartBackend {
        /// The attempt.
        attempt: AttemptId,
        /// The offer with the payload to run.
        offer: Box<Offer>,
    },
    /// Resume a broken stream of the back end.
    ResumeBackend {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first piece to fetch.
        offset: u64,
    },
    /// Stop the back end's work on an attempt.
    CancelBackend {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// Counts since the start of the gate, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// Attempts sent to the back end.
    pub started: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts that ended with a complete response.
    pub finished: u64,
    /// Attempts that started and ended without a complete response.
    pub failed: u64,
    /// Resumptions of broken streams of the back end.
    pub resumed: u64,
    /// Prompt tokens of finished attempts.
    pub prompt_tokens: u64,
    /// Prompt tokens of finished attempts that came from the prefix cache.
    pub cached_tokens: u64,
}
