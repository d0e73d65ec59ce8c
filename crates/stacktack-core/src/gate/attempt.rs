//! State of one attempt at a gate, and the state chart that governs it.

use serde::Deserialize;
use stacktack_wire::identity::{ChatId, TenantId};
use stacktack_wire::message::{Failure, Offer, Refusal};

use super::response::ResponseBuffer;
use super::ConnectionId;
use crate::chart::Chart;
use crate::time::Time;

/// Source text of the attempt's state chart, from `charts/`.
pub const CHART: &str = include_str!("../../../../charts/gate_attempt.toml");

/// States of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No message about the attempt has been handled.
    New,
    /// Waiting in the queue.
    Queued,
    /// Sent to the back end.
    Running,
    /// Ended with a complete response.
    Finished,
    /// Ended without a complete response; it may have run.
    Failed,
    /// Certainly not run; copies of the offer are refused.
    Refused,
}

/// Events of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Admitted to the queue.
    Queue,
    /// The attempt gets a free slot of the back end.
    Start,
    /// Not admitted, or its deadline passed in the queue.
    Refuse,
    /// Withdrawn by the router.
    Cancel,
    /// The back end's response is complete.
    Finish,
    /// The back end's response broke off or is invalid.
    Break,
    /// The back end certainly did not run the attempt.
    BackendRefuse,
    /// A router asks for the fate of the attempt.
    AskFate,
}

/// Actions of the chart's transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Put the attempt into the queue.
    Enqueue,
    /// Tell the router that the attempt waits.
    ReportQueued,
    /// Send the attempt to the back end.
    StartBackend,
    /// Tell the router that the attempt started.
    ReportStarted,
    /// Subtract the attempt's work from the load and free its slot or queue
    /// position.
    Release,
    /// Tell the router that the attempt did not run.
    ReportRefused,
    /// Tell the router that the response is complete.
    ReportFinished,
    /// Tell the router that the attempt ended without a complete response.
    ReportFailed,
    /// Stop the back end's work on the attempt.
    CancelBackend,
    /// Tell the router the fate of the attempt.
    ReportFate,
}

/// Chart type of an attempt at an agent.
pub type AttemptChart = Chart<State, Event, Action>;

/// What a gate holds about one attempt.
#[derive(Debug)]
pub struct AttemptEntry {
    /// State in the chart.
    pub state: State,
    /// Connection that gets messages about the attempt; none after it was lost.
    pub connection: Option<ConnectionId>,
    /// When the connection was lost; none while there is one.
    pub orphaned_at: Option<Time>,
    /// The offer; none once the attempt has started or ended.
    pub offer: Option<Box<Offer>>,
    /// Tenant of the request; none before admission.
    pub tenant: Option<TenantId>,
    /// Chat that the request continues, if any.
    pub chat: Option<ChatId>,
    /// Work units that count in the load; 0 before admission and once released.
    pub work: f64,
    /// Caller's deadline, after which a queued attempt is refused.
    pub deadline: Option<Time>,
    /// Whether a running attempt is cancelled when its router stays away, and
    /// its broken stream is resumed: true for chats, false for calls of a
    /// service.
    pub cancellable: bool,
    /// Reason to report if the attempt is refused.
    pub refusal: Refusal,
    /// Reason to report if the attempt failed.
    pub failure: Failure,
    /// Milliseconds after which a refused offer may be retried.
    pub retry_after_ms: u32,
    /// Response received from the back end so far.
    pub response: ResponseBuffer,
    /// Number of times that the back end's stream was resumed.
    pub resumes: u32,
}

impl AttemptEntry {
    /// Creates the entry of an attempt that was not known before.
    pub fn new(state: State, connection: ConnectionId) -> Self {
        AttemptEntry {
            state,
            connection: Some(connection),
            orphaned_at: None,
            offer: None,
            tenant: None,
            chat: None,
            work: 0.0,
            deadline: None,
            cancellable: false,
            refusal: Refusal::Tombstoned,
            failure: Failure::BackendBroken,
            retry_after_ms: 0,
            response: ResponseBuffer::default(),
            resumes: 0,
        }
    }

    /// Whether the attempt finished, failed or was refused.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Finished | State::Failed | State::Refused)
    }
}
