//! One attempt as the gate sees it, and its state chart.

use serde::Deserialize;
use stacktack_wire::identity::{ChatId, TenantId};
use stacktack_wire::message::{Failure, Offer, Refusal};

use super::response::ResponseBuffer;
use super::ConnectionId;
use crate::chart::Chart;
use crate::time::Time;

/// The chart of an attempt at an agent.
pub const CHART: &str = include_str!("../../../../charts/gate_attempt.toml");

/// States of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not heard of.
    New,
    /// Waiting.
    Queued,
    /// Sent to the back end.
    Running,
    /// Whole answer.
    Finished,
    /// Ended without a whole answer; it may have run.
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
    /// Its turn.
    Start,
    /// Not admitted, or given up while it waited.
    Refuse,
    /// Withdrawn by the router.
    Cancel,
    /// The back end's answer is whole.
    Finish,
    /// The back end's answer broke.
    Break,
    /// The back end certainly did not run it.
    BackendRefuse,
    /// A router asks what became of it.
    AskFate,
}

/// Actions on transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Put the attempt into the queue.
    Enqueue,
    /// Tell the router that it waits.
    ReportQueued,
    /// Send it to the back end.
    StartBackend,
    /// Tell the router that it started.
    ReportStarted,
    /// Take its work off the load and fill its place.
    Release,
    /// Tell the router that it did not run.
    ReportRefused,
    /// Tell the router that its answer is whole.
    ReportFinished,
    /// Tell the router that it ended without a whole answer.
    ReportFailed,
    /// Stop the back end's work on it.
    CancelBackend,
    /// Answer a question about its fate.
    ReportFate,
}

/// Chart type of an attempt at an agent.
pub type AttemptChart = Chart<State, Event, Action>;

/// One attempt.
#[derive(Debug)]
pub struct AttemptEntry {
    /// Its state.
    pub state: State,
    /// Connection that gets its messages; none after that was lost.
    pub connection: Option<ConnectionId>,
    /// When the connection was lost.
    pub orphaned_at: Option<Time>,
    /// The offer, until it is started.
    pub offer: Option<Box<Offer>>,
    /// The tenant.
    pub tenant: Option<TenantId>,
    /// The chat.
    pub chat: Option<ChatId>,
    /// Work units it adds to the load; 0 once released.
    pub work: f64,
    /// Time after which it is no use to start.
    pub deadline: Option<Time>,
    /// Whether its back end work is stopped when nobody wants the answer.
    pub cancellable: bool,
    /// Why it was refused.
    pub refusal: Refusal,
    /// How it failed.
    pub failure: Failure,
    /// Milliseconds after which a refused offer may be repeated.
    pub retry_after_ms: u32,
    /// The answer so far.
    pub response: ResponseBuffer,
    /// Times the back end's stream was resumed.
    pub resumes: u32,
}

impl AttemptEntry {
    /// An attempt not heard of before.
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

    /// Whether it has ended in any way.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Finished | State::Failed | State::Refused)
    }
}
