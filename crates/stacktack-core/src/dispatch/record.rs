//! Records of decisions, so that an operator can look up any recent decision and verify it by
//! running the choice again on the recorded input.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stacktack_wire::identity::{AttemptId, ConfigurationVersion, NodeId, RequestId};
use stacktack_wire::message::Refusal;

use crate::configuration::eligibility::{EligibilityResult, Target};
use crate::placement::{choose, Choice, ChoiceInput};
use crate::problem::Problem;

/// Maximum number of requests whose records a traffic thread keeps.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of back ends named in all records together. Each takes about 100 bytes, so the
/// records of a large fleet stay within about 20 MB.
const MAX_NAMED_BACK_ENDS: usize = 200_000;

/// One choice of a back end and everything that it depended on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Number of the attempt that the choice is for.
    pub attempt: u16,
    /// Version of the configuration in force.
    pub version: ConfigurationVersion,
    /// Back ends that the selectors left eligible and those that they excluded.
    pub pool: EligibilityResult,
    /// Back ends that had refused the request, with their refusals.
    pub refused: Vec<(NodeId, Refusal)>,
    /// Input of the choice.
    pub input: ChoiceInput,
    /// The choice; none when there was no candidate.
    pub choice: Option<Choice>,
}

impl DecisionRecord {
    /// Number of back ends that the record names; those named twice count twice.
    fn named_back_ends(&self) -> usize {
        self.pool.eligible.len() + self.pool.cut.len() + self.input.candidates.len()
    }

    /// Whether choosing again on the recorded input gives the recorded choice.
    pub fn verify(&self) -> bool {
        choose(&self.input) == self.choice
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Still in flight.
    Open,
    /// With a complete response.
    Answered,
    /// With a problem, sent as the response or after part of it.
    Problem(Problem),
    /// The caller closed its connection.
    CallerGone,
}

/// All decisions about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request, in hexadecimal.
    pub request: String,
    /// Tenant's name.
    pub tenant: String,
    /// Model or service that the request is for.
    pub target: Target,
    /// Choices in order.
    pub decisions: Vec<DecisionRecord>,
    /// Events in order, as text: event names with the number of the attempt, and refusals.
    pub events: Vec<String>,
    /// How the request ended.
    pub ending: Ending,
}

/// The latest records of a traffic thread; the oldest are dropped first.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: VecDeque<(RequestId, RequestRecord)>,
    named_back_ends: usize,
}

impl RecordRing {
    /// Starts the record of a request.
    pub fn open(&mut self, request: RequestId, tenant: String, target: Target) {
        if self.records.len() >= MAX_RECORDS {
            self.drop_oldest();
        }
        let record = RequestRecord {
            request: request.to_string(),
            tenant,
            target,
            decisions: Vec::new(),
            events: Vec::new(),
            ending: Ending::Open,
        };
        self.records.push_back((request, record));
    }

    /// The record of a request, if it is still kept.
    pub fn get(&self, request: RequestId) -> Option<&RequestRecord> {
        let found = self.records.iter().rev().find(|(id, _)| *id == request);
        found.map(|(_, record)| record)
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a decision to the request's record; drops the oldest records if too many back ends are
    /// named.
    pub fn add_decision(&mut self, attempt: AttemptId, decision: DecisionRecord) {
        let named_back_ends = decision.named_back_ends();
        let Some(record) = self.get_mut(attempt.request) else {
            return;
        };
        record.decisions.push(decision);
        self.named_back_ends += named_back_ends;
        while self.named_back_ends > MAX_NAMED_BACK_ENDS && self.records.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, record)) = self.records.pop_front() {
            let named_back_ends: usize = record
                .decisions
                .iter()
                .map(DecisionRecord::named_back_ends)
                .sum();
            self.named_back_ends -= named_back_ends;
        }
    }

    /// Adds an event to the request's record.
    pub fn add_event(&mut self, request: RequestId, event: String) {
        if let Some(record) = self.get_mut(request) {
            record.events.push(event);
        }
    }

    /// Sets the ending of the request's record.
    pub fn set_ending(&mut self, request: RequestId, ending: Ending) {
        if let Some(record) = self.get_mut(request) {
            record.ending = ending;
        }
    }

    fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestRecord> {
        let found = self.records.iter_mut().rev().find(|(id, _)| *id == request);
        found.map(|(_, record)| record)
    }
}
