//! Acceptance of a configuration change by conditional writes.
//!
//! The change's row is written first; then the head is moved on the condition
//! that it is still the one that the change is based on. A lost reply is never
//! guessed but resolved by reading the head and, if other changes have moved
//! the head on since, the chain of changes behind it.

use super::change::Change;
use super::store::{change_key, ChangeRow, HeadRow, HEAD_KEY};
use crate::ledger::{Row, RowVersion, TableOperation, TableReply};
use crate::protection::{Protection, Protections};

/// Maximum number of table operations, after which the result is unknown.
const MAX_OPERATIONS: u32 = 40;

/// Next step of a change's application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Send this operation and pass its reply to [`ChangeApplication::on_reply`].
    Send(TableOperation),
    /// The change is accepted.
    Accepted,
    /// Another change of this version was accepted first; nothing of this one is
    /// in force.
    LostRace,
    /// The result could not be determined, mostly because the table does not
    /// answer; the change may or may not be accepted.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    WriteChange,
    MoveHead,
    ReadHead,
    /// Reads the change with this id in the chain behind the head.
    FollowChain(String),
}

/// State machine that gets one change accepted.
#[derive(Debug)]
pub struct ChangeApplication {
    row: ChangeRow,
    head: HeadRow,
    head_version: Option<RowVersion>,
    protections: Protections,
    phase: Phase,
    operations: u32,
}

impl ChangeApplication {
    /// Creates the application of a change that moves the head to `head`.
    /// `head_version` is the row version of the current head; none if there is
    /// no head yet.
    pub fn new(
        row: ChangeRow,
        head: HeadRow,
        head_version: Option<RowVersion>,
        protections: Protections,
    ) -> Self {
        ChangeApplication {
            row,
            head,
            head_version,
            protections,
            phase: Phase::WriteChange,
            operations: 0,
        }
    }

    /// Returns the first step.
    pub fn begin(&mut self) -> ApplyStep {
        self.send_phase()
    }

    /// Returns the next step after the reply to the last operation.
    pub fn on_reply(&mut self, reply: TableReply) -> ApplyStep {
        match (self.phase.clone(), reply) {
            (Phase::WriteChange, TableReply::Written(_) | TableReply::Conflict(Some(_))) => {
                self.enter(Phase::MoveHead)
            }
            (Phase::WriteChange, _) => self.enter(Phase::WriteChange),
            (Phase::MoveHead, TableReply::Written(_)) => ApplyStep::Accepted,
            (Phase::MoveHead, TableReply::Conflict(row)) => self.evaluate_head(row),
            (Phase::MoveHead, _) => self.enter(Phase::ReadHead),
            (Phase::ReadHead, TableReply::Read(row)) => self.evaluate_head(row),
            (Phase::ReadHead, _) => self.enter(Phase::ReadHead),
            (Phase::FollowChain(_), TableReply::Read(Some(row))) => self.evaluate_change(&row),
            (Phase::FollowChain(_), TableReply::Read(None)) => ApplyStep::Unknown,
            (Phase::FollowChain(id), _) => self.enter(Phase::FollowChain(id)),
        }
    }

    /// The change that this application gets accepted.
    pub fn change(&self) -> &Change {
        &self.row.change
    }

    fn own_id(&self) -> &str {
        &self.row.change.change_id
    }

    /// Decides by the current head, which has not moved yet, was moved to this
    /// change, or was moved on by others.
    fn evaluate_head(&mut self, row: Option<Row>) -> ApplyStep {
        let Some(row) = row else {
            self.head_version = None;
            return self.enter(Phase::MoveHead);
        };
        let Ok(head) = serde_json::from_str::<HeadRow>(&row.value) else {
            return ApplyStep::Unknown;
        };
        if head.change_id == self.own_id() {
            return ApplyStep::Accepted;
        }
        if head.version < self.row.change.version
            || !self.protections.is_enabled(Protection::ConditionalHead)
        {
            self.head_version = Some(row.version);
            return self.enter(Phase::MoveHead);
        }
        self.enter(Phase::FollowChain(head.change_id))
    }

    /// Decides by a change in the chain behind the head: the accepted change of
    /// this version is either this change or a competing one.
    fn evaluate_change(&mut self, row: &Row) -> ApplyStep {
        let Ok(other) = serde_json::from_str::<ChangeRow>(&row.value) else {
            return ApplyStep::Unknown;
        };
        if other.change.change_id == self.own_id() {
            return ApplyStep::Accepted;
        }
        match other.previous {
            Some(previous) if other.change.version > self.row.change.version => {
                self.enter(Phase::FollowChain(previous))
            }
            _ => ApplyStep::LostRace,
        }
    }

    fn enter(&mut self, phase: Phase) -> ApplyStep {
        self.phase = phase;
        self.send_phase()
    }

    fn send_phase(&mut self) -> ApplyStep {
        self.operations += 1;
        if self.operations > MAX_OPERATIONS {
            return ApplyStep::Unknown;
        }
        ApplyStep::Send(match &self.phase {
            Phase::WriteChange => TableOperation::Put {
                key: change_key(self.own_id()),
                value: serde_json::to_string(&self.row).unwrap_or_default(),
                expected: None,
            },
            Phase::MoveHead => TableOperation::Put {
                key: HEAD_KEY.to_string(),
                value: serde_json::to_string(&self.head).unwrap_or_default(),
                expected: self.head_version,
            },
            Phase::ReadHead => TableOperation::Get {
                key: HEAD_KEY.to_string(),
            },
            Phase::FollowChain(id) => TableOperation::Get {
                key: change_key(id),
            },
        })
    }
}
