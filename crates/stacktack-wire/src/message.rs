//! Messages on a traffic connection between a router and an agent.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identity::{AttemptId, ChatId, ConfigurationVersion, Incarnation, NodeId, TenantId};

/// Priority of a request within its tenant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Queued behind the other two.
    Low,
    /// Used when the caller gives none.
    #[default]
    Normal,
    /// Queued ahead of the other two.
    High,
}

/// Work in flight at one back end, as its agent counts it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The reporting agent.
    pub node: NodeId,
    /// Work units in flight, divided by the back end's capacity.
    pub load: f32,
    /// Mean load of all back ends, as the reporting agent estimates it.
    pub mean: f32,
}

/// Request to a back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A chat completion: the caller's JSON body.
    Chat {
        /// Model that the body names.
        model: String,
        /// Whether the response is a stream of events.
        stream: bool,
        /// The body, forwarded unchanged.
        body: Bytes,
    },
    /// A call of a plain service.
    Service {
        /// Configured name of the service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path and query after the prefix of the service.
        path: String,
        /// Content type of the body, if the caller gave one.
        content_type: Option<String>,
        /// Idempotency key of the caller, forwarded to the service.
        idempotency_key: Option<String>,
        /// The body, forwarded unchanged.
        body: Bytes,
    },
}

/// Offer of an attempt by a router to an agent, which starts, queues or refuses
/// it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The offered attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the offer is for; any other refuses it.
    pub incarnation: Incarnation,
    /// Configuration version with which the router chose the back end.
    pub version: ConfigurationVersion,
    /// The tenant that the request counts against.
    pub tenant: TenantId,
    /// The chat that the request continues, if any.
    pub chat: Option<ChatId>,
    /// Priority within the tenant.
    pub priority: Priority,
    /// Milliseconds left until the caller's deadline, if the caller set one.
    pub deadline_ms: Option<u32>,
    /// Whether a failed attempt may be retried at another back end.
    pub repeatable: bool,
    /// Tokens of the prompt, estimated by the router.
    pub prompt_tokens: u32,
    /// Maximum tokens of the response, set by the caller or by default.
    pub decode_tokens: u32,
    /// Loads that the router collected from refusals of this request.
    pub collected: Vec<LoadReport>,
    /// Whether the request has no ordinary offer left. Of the agents that refused
    /// it with [`Refusal::OverCap`], this one has the lowest known load.
    pub last_resort: bool,
    /// The request to run.
    pub payload: Payload,
}

/// Why an agent did not run an offered attempt. Every reason guarantees that the
/// attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The load with the attempt would exceed the cap, a multiple of the mean
    /// load.
    OverCap,
    /// The queue of the back end is full.
    QueueFull,
    /// The predicted start is after the caller's deadline, or the deadline passed
    /// in the queue.
    DeadlineUnreachable,
    /// The tenant has reached its configured limit at this back end.
    TenantLimit,
    /// The back end is draining.
    Draining,
    /// The router's configuration is older than the agent's.
    StaleConfiguration,
    /// The offer was for an earlier incarnation of the agent.
    StaleIncarnation,
    /// The agent had declared the attempt not run before the offer arrived.
    Tombstoned,
    /// The back end does not have the model.
    ModelMissing,
    /// The back end refused the attempt before it ran anything.
    BackendRefused,
    /// The back end could not be reached; nothing was sent to it.
    BackendUnreachable,
    /// The router withdrew the attempt while it was queued.
    Withdrawn,
}

/// Why an attempt that may have run ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The connection to the back end broke before the response was complete.
    BackendBroken,
    /// The response of the back end was invalid.
    BackendInvalid,
    /// The attempt was cancelled after it had started.
    Cancelled,
}

/// What an agent knows of an attempt. [`Fate::NotRun`] guarantees that the
/// attempt never runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Not run; a tombstone makes the agent refuse offers that still arrive.
    NotRun,
    /// Waiting in the agent's queue.
    Queued,
    /// Running; pieces up to `next_offset` can be resumed.
    Running {
        /// Number of pieces that the agent holds.
        next_offset: u64,
    },
    /// Ended with a complete response.
    Finished {
        /// Number of pieces of the response.
        pieces: u64,
    },
    /// Ended without a complete response; it may have run.
    Failed(Failure),
    /// The offer was for an earlier incarnation of the agent; this one cannot
    /// tell.
    Unknown,
}

/// Token counts of a response, as the engine reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Consecutive accepted configuration changes, encoded by the configuration
/// code and opaque to this crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedChanges {
    /// Version before the first change.
    pub base: ConfigurationVersion,
    /// Version after the last change.
    pub target: ConfigurationVersion,
    /// Encoded changes.
    pub bytes: Vec<u8>,
}

/// Message from a router to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// First message on a connection.
    Hello {
        /// The router.
        router: NodeId,
        /// Configuration version of the router.
        version: ConfigurationVersion,
    },
    /// Offer of an attempt.
    Offer(Box<Offer>),
    /// The response of the attempt is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Asks for the [`Fate`] of an attempt. The agent first leaves a tombstone
    /// for an attempt that it has not seen.
    AskFate {
        /// The attempt.
        attempt: AttemptId,
        /// Incarnation of the agent that the offer was for.
        incarnation: Incarnation,
    },
    /// Asks for the response of the attempt on this connection, from a given
    /// piece on.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first wanted piece.
        offset: u64,
    },
}

/// Message from an agent to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToRouter {
    /// First message on a connection.
    Hello {
        /// The agent.
        agent: NodeId,
        /// Current incarnation of the agent.
        incarnation: Incarnation,
    },
    /// The attempt is queued.
    Queued {
        /// The attempt.
        attempt: AttemptId,
        /// Load of the agent, including the attempt.
        load: LoadReport,
    },
    /// The attempt was sent to the back end.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Load of the agent, including the attempt.
        load: LoadReport,
    },
    /// The attempt did not run.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Reason.
        refusal: Refusal,
        /// Load of the agent.
        load: LoadReport,
        /// Milliseconds after which the agent expects to admit the same offer.
        retry_after_ms: u32,
        /// Changes that update a router with a stale configuration.
        changes: Option<EncodedChanges>,
    },
    /// Status and content type of the response, sent before its first piece.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// Pieces of the response: stream events, or one complete body.
    Data {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first piece in `bytes`.
        offset: u64,
        /// Number of pieces in `bytes`.
        count: u32,
        /// The pieces, concatenated.
        bytes: Bytes,
    },
    /// The response is complete.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Number of pieces of the response.
        pieces: u64,
        /// Token counts.
        usage: Usage,
        /// Load of the agent, without the attempt.
        load: LoadReport,
    },
    /// Ended without a complete response; it may have run.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Reason.
        failure: Failure,
    },
    /// Reply to [`ToAgent::AskFate`].
    FateOf {
        /// The attempt.
        attempt: AttemptId,
        /// Fate of the attempt.
        fate: Fate,
    },
}

impl ToRouter {
    /// The attempt that the message is about, if any.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            ToRouter::Hello { .. } => None,
            ToRouter::Queued { attempt, .. }
            | ToRouter::Started { attempt, .. }
            | ToRouter::Refused { attempt, .. }
            | ToRouter::Head { attempt, .. }
            | ToRouter::Data { attempt, .. }
            | ToRouter::Finished { attempt, .. }
            | ToRouter::Failed { attempt, .. }
            | ToRouter::FateOf { attempt, .. } => Some(*attempt),
        }
    }
}
