//! What a gate is told and what it wants done.

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

/// What the back end did about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// Status and content type.
    Head(ResponseHead),
    /// Pieces of the answer from `offset` onwards.
    Pieces {
        /// Index of the first piece.
        offset: u64,
        /// The pieces.
        pieces: Vec<Bytes>,
    },
    /// The answer is whole.
    Finished(Usage),
    /// It certainly did not run: refused by the back end.
    Refused,
    /// It certainly did not run: nothing could be sent.
    Unreachable,
    /// The connection broke after the request was sent.
    ConnectionBroken,
    /// The answer makes no sense.
    InvalidResponse,
}

/// What the gate is told.
#[derive(Debug)]
pub enum GateInput {
    /// A message from a router.
    FromRouter {
        /// Connection that it came on.
        connection: ConnectionId,
        /// The message.
        message: ToAgent,
    },
    /// A router's connection is gone.
    ConnectionLost(ConnectionId),
    /// The back end did something.
    FromBackend {
        /// The attempt.
        attempt: AttemptId,
        /// What it did.
        event: BackendEvent,
    },
    /// Loads of the other back ends that take work, and when each was true;
    /// those not named are forgotten.
    PeerLoads(Vec<(NodeId, f64, Time)>),
    /// A later configuration, with the changes that led to it if known.
    Configuration {
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Changes since the one held.
        changes: Vec<Change>,
    },
    /// Take no new work from now on, or take it again.
    Drain(bool),
    /// Time passed.
    Tick,
}

/// What the gate wants done.
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
        /// What to run.
        offer: Box<Offer>,
    },
    /// Take up a broken stream of the back end.
    ResumeBackend {
        /// The attempt.
        attempt: AttemptId,
        /// First piece wanted.
        offset: u64,
    },
    /// Stop the back end's work.
    CancelBackend {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// Counts of what the gate did, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// Attempts sent to the back end.
    pub started: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts with a whole answer.
    pub finished: u64,
    /// Attempts that ended without one after they started.
    pub failed: u64,
    /// Streams of the back end taken up again.
    pub resumed: u64,
    /// Prompt tokens of finished attempts.
    pub prompt_tokens: u64,
    /// Those of them that were reused from the cache.
    pub cached_tokens: u64,
}
