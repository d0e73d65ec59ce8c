//! Records of decisions, so that an operator can ask about any of them and
//! check the answer by running the decision again.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use stacktack_wire::identity::{AttemptId, ConfigurationVersion, NodeId, RequestId};
use stacktack_wire::message::Refusal;

use crate::configuration::eligibility::{Pool, Target};
use crate::placement::{choose, Choice, ChoiceInput};
use crate::problem::Problem;

/// Requests whose records a traffic thread keeps.
const MAXIMUM_RECORDS: usize = 4_096;

/// Back ends named in all records together; about 100 bytes each, so that the
/// records of a large fleet stay within some 20 MB.
const MAXIMUM_NAMED: usize = 200_000;

/// One choice of a back end with everything it depended on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The attempt that was offered.
    pub attempt: u16,
    /// Configuration in force.
    pub version: ConfigurationVersion,
    /// What selectors left and cut.
    pub pool: Pool,
    /// Back ends that had refused the request, and why.
    pub refused: Vec<(NodeId, Refusal)>,
    /// Input of the choice.
    pub input: ChoiceInput,
    /// The choice; none when there was no candidate.
    pub choice: Option<Choice>,
}

impl DecisionRecord {
    /// Back ends that the record names.
    fn named(&self) -> usize {
        self.pool.eligible.len() + self.pool.cut.len() + self.input.candidates.len()
    }

    /// Whether the recorded input gives the recorded choice.
    pub fn verify(&self) -> bool {
        choose(&self.input) == self.choice
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Still under way.
    Open,
    /// Whole answer.
    Answered,
    /// Problem reply.
    Problem(Problem),
    /// The caller left.
    CallerGone,
}

/// All decisions about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request, in hexadecimal.
    pub request: String,
    /// Tenant's name.
    pub tenant: String,
    /// Model or service.
    pub target: Target,
    /// Choices in order.
    pub decisions: Vec<DecisionRecord>,
    /// What happened, in order: event names with the attempt they were about.
    pub events: Vec<String>,
    /// How it ended.
    pub ending: Ending,
}

/// The latest records of a router.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: VecDeque<(RequestId, RequestRecord)>,
    named: usize,
}

impl RecordRing {
    /// Opens the record of a request.
    pub fn open(&mut self, request: RequestId, tenant: String, target: Target) {
        if self.records.len() >= MAXIMUM_RECORDS {
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

    /// Number of requests whose records are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a choice.
    pub fn add_decision(&mut self, attempt: AttemptId, decision: DecisionRecord) {
        let named = decision.named();
        let Some(record) = self.get_mut(attempt.request) else {
            return;
        };
        record.decisions.push(decision);
        self.named += named;
        while self.named > MAXIMUM_NAMED && self.records.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, record)) = self.records.pop_front() {
            let named: usize = record.decisions.iter().map(DecisionRecord::named).sum();
            self.named -= named;
        }
    }

    /// Adds an event.
    pub fn add_event(&mut self, request: RequestId, event: String) {
        if let Some(record) = self.get_mut(request) {
            record.events.push(event);
        }
    }

    /// Sets the ending.
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
