//! State of one request at its router, and its state chart.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use stacktack_wire::identity::{AttemptId, ChatId, Incarnation, NodeId, RequestId, TenantId};
use stacktack_wire::message::{LoadReport, Payload, Priority, Refusal, Usage};

use crate::chart::Chart;
use crate::configuration::eligibility::Target;
use crate::ledger::Claim;
use crate::problem::Problem;
use crate::time::Time;

/// Text of the state chart of a request at a router.
pub const CHART: &str = include_str!("../../../../charts/router_request.toml");

/// Part of the time that a caller has left for which its request waits for one router or back end;
/// the rest is for two others.
const WAIT_DIVISOR: u32 = 3;

/// States of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waits until its idempotency key is claimed.
    Claiming,
    /// Offered to an agent that has not replied yet.
    Offered,
    /// Waits in the queue of an agent.
    Queued,
    /// Runs at a back end.
    Running,
    /// The fate of its attempt was queried.
    Asking,
    /// The fate of its attempt was queried on a new connection.
    AskingFresh,
    /// Waits before a retry.
    Pausing,
    /// Ended.
    Done,
}

/// Events of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The request holds its idempotency key, or has none.
    Claimed,
    /// The idempotency key cannot be claimed.
    ClaimRefused,
    /// The agent queued the attempt.
    Queued,
    /// The attempt was sent to the back end.
    Started,
    /// The agent refused the attempt, which certainly did not run.
    Refused,
    /// Nothing could be sent to the agent.
    Unsent,
    /// The agent refused the attempt because it has a newer configuration.
    Stale,
    /// Pieces of the response arrived.
    Data,
    /// The response is complete.
    Finished,
    /// The attempt ended without a complete response; it may have run.
    Failed,
    /// The connection to the agent was lost.
    Lost,
    /// Nothing was received within the timeout of the current state.
    Silent,
    /// Fate reply: the attempt certainly did not run.
    FateNotRun,
    /// Fate reply: the attempt waits in the queue of the agent.
    FateQueued,
    /// Fate reply: the attempt runs or has finished, and its response can be resumed.
    FateRunning,
    /// Fate reply: the attempt ended without a complete response; it may have run.
    FateFailed,
    /// Fate reply: the fate of the attempt cannot be known.
    FateUnknown,
    /// The next offer has to wait.
    Pause,
    /// The pause before the next offer is over.
    PauseOver,
    /// The request is given up: no further offer is made.
    GiveUp,
    /// The caller's deadline passed.
    Deadline,
    /// The caller closed its connection.
    CallerGone,
}

/// Actions of transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Offer the request to the next back end, or give up.
    OfferNext,
    /// Offer the request again under the newer configuration.
    OfferAgain,
    /// Retry if that is safe and within the retry budget, otherwise give up.
    RetryOrSettle,
    /// Query the fate of the attempt.
    AskFate,
    /// Close the connection to the agent, so that the next message uses a new one.
    ResetLink,
    /// Ask the agent for the rest of the response.
    Resume,
    /// Send the received pieces to the caller.
    Deliver,
    /// End the response to the caller.
    Complete,
    /// Tell the agent that the response is no longer wanted.
    Cancel,
    /// Release the idempotency key if the request certainly did not run.
    ReleaseKey,
    /// Respond with the stored problem.
    AnswerProblem,
    /// Respond that the table is unavailable.
    AnswerStoreUnavailable,
    /// Respond that the deadline passed.
    AnswerDeadline,
    /// Respond that the deadline passed before the request was offered to any agent.
    AnswerDeadlineNotRun,
}

/// State chart of a request at a router.
pub type RequestChart = Chart<State, Event, Action>;

/// A caller's request, parsed and attributed to its tenant.
#[derive(Clone, Debug)]
pub struct Request {
    /// Random id that the router assigned.
    pub id: RequestId,
    /// The tenant.
    pub tenant: TenantId,
    /// The chat that the request continues.
    pub chat: Option<ChatId>,
    /// Priority within the tenant.
    pub priority: Priority,
    /// Milliseconds from arrival to the caller's deadline.
    pub deadline_ms: Option<u32>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may be retried after an attempt that may have run.
    pub repeatable: bool,
    /// Back end that the caller's placement names.
    pub preferred: Option<NodeId>,
    /// Model or service that the request is for.
    pub target: Target,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the response.
    pub decode_tokens: u32,
    /// The work to run at a back end.
    pub payload: Payload,
}

impl Request {
    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.payload, Payload::Chat { stream: true, .. })
    }
}

/// Pieces of a response as they arrived in one message.
#[derive(Clone, Debug, Default)]
pub(super) struct Pieces {
    pub offset: u64,
    pub count: u32,
    pub bytes: Bytes,
}

/// A request in flight and what its router knows about it.
#[derive(Debug)]
pub(super) struct Entry {
    pub request: Request,
    pub state: State,
    pub deadline: Option<Time>,
    pub timer: Option<Time>,
    pub claim: Option<Claim>,
    /// Number of attempts so far, which is also the number of the current attempt.
    pub attempts: u16,
    /// Agent of the current attempt.
    pub agent: Option<NodeId>,
    /// Incarnation of the agent that the current attempt was offered to; none until the offer was
    /// sent.
    pub incarnation: Option<Incarnation>,
    pub refusals: HashMap<NodeId, Refusal>,
    pub collected_loads: Vec<LoadReport>,
    pub counted_refusals: u32,
    pub last_resort_offers: u32,
    /// Time until which the request waits for a newer configuration; none until an agent has one.
    pub stale_until: Option<Time>,
    pub retries: u32,
    /// Shortest retry-after time that a refusal named, in milliseconds.
    pub named_retry_after_ms: Option<u64>,
    /// Whether an attempt may have run without delivering a complete response.
    pub may_have_run: bool,
    pub head_sent: bool,
    pub head: Option<(u16, String)>,
    pub delivered_pieces: u64,
    pub received_pieces: Pieces,
    pub total_pieces: u64,
    pub usage: Usage,
    pub problem: Option<Problem>,
}

impl Entry {
    pub(super) fn new(request: Request, now: Time) -> Self {
        let deadline = request
            .deadline_ms
            .map(|left| now + std::time::Duration::from_millis(u64::from(left)));
        Entry {
            request,
            state: State::Claiming,
            deadline,
            timer: None,
            claim: None,
            attempts: 0,
            agent: None,
            incarnation: None,
            refusals: HashMap::new(),
            collected_loads: Vec::new(),
            counted_refusals: 0,
            last_resort_offers: 0,
            stale_until: None,
            retries: 0,
            named_retry_after_ms: None,
            may_have_run: false,
            head_sent: false,
            head: None,
            delivered_pieces: 0,
            received_pieces: Pieces::default(),
            total_pieces: 0,
            usage: Usage::default(),
            problem: None,
        }
    }

    /// The current attempt.
    pub(super) fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request.id,
            number: self.attempts,
        }
    }

    /// Milliseconds until the caller's deadline.
    pub(super) fn remaining_deadline_ms(&self, now: Time) -> Option<u32> {
        self.deadline
            .map(|at| at.since(now).as_millis().min(u128::from(u32::MAX)) as u32)
    }

    /// Part of the caller's time for which the request waits for one router or back end, at most
    /// `max`; the rest is for another one.
    pub(super) fn share_of_time_left(&self, max: Duration, now: Time) -> Duration {
        let left = self.deadline.map(|deadline| deadline.since(now));
        left.map_or(max, |left| max.min(left / WAIT_DIVISOR))
    }

    /// Milliseconds after which the caller may come back where nobody knows when it can be served:
    /// `usual_ms`, but at most half of what the caller has left, so that the other half is left for
    /// its next try.
    pub(super) fn retry_after_ms(&self, usual_ms: u64, now: Time) -> u64 {
        let half = self
            .remaining_deadline_ms(now)
            .map(|left| u64::from(left) / 2);
        half.map_or(usual_ms, |half| usual_ms.min(half))
    }

    /// Adds a load, which replaces an earlier one of the same back end.
    pub(super) fn collect_load(&mut self, load: LoadReport) {
        self.collected_loads.retain(|held| held.node != load.node);
        self.collected_loads.push(load);
    }

    /// Keeps the shortest retry-after time that any refusal named, in milliseconds.
    pub(super) fn record_retry_after(&mut self, milliseconds: u64) {
        let known = self.named_retry_after_ms.unwrap_or(u64::MAX);
        self.named_retry_after_ms = Some(known.min(milliseconds));
    }
}
