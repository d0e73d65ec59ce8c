//! Acceptance of a change by conditional writes, without guessing.
//!
//! The change's row is written first, then the head is moved on the condition
//! that it is still the one the change was made for. A lost reply is settled
//! by reading: the head, and when others have moved it on since, the chain of
//! changes behind it.

use super::change::Change;
use super::store::{change_key, ChangeRow, HeadRow, HEAD_KEY};
use crate::ledger::{Row, RowVersion, TableOperation, TableReply};
use crate::protection::{Protection, Protections};

/// Operations sent before the result is called unknown.
const MAXIMUM_OPERATIONS: u32 = 40;

/// Where an application stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Send this operation and hand in its reply.
    Send(TableOperation),
    /// The change is accepted.
    Accepted,
    /// Another change was accepted first; nothing of this one is in force.
    LostRace,
    /// The table does not answer; the change may or may not be accepted.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    WriteChange,
    MoveHead,
    ReadHead,
    Walk(String),
}

/// One application of a change.
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
    /// Application of a change onto the head that was read with a row version
    /// (none where there is no head yet).
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

    /// First step.
    pub fn begin(&mut self) -> ApplyStep {
        self.send_phase()
    }

    /// Next step after the reply to the operation sent last.
    pub fn on_reply(&mut self, reply: TableReply) -> ApplyStep {
        match (self.phase.clone(), reply) {
            (Phase::WriteChange, TableReply::Written(_) | TableReply::Conflict(Some(_))) => {
                self.enter(Phase::MoveHead)
            }
            (Phase::WriteChange, _) => self.enter(Phase::WriteChange),
            (Phase::MoveHead, TableReply::Written(_)) => ApplyStep::Accepted,
            (Phase::MoveHead, TableReply::Conflict(row)) => self.judge_head(row),
            (Phase::MoveHead, _) => self.enter(Phase::ReadHead),
            (Phase::ReadHead, TableReply::Read(row)) => self.judge_head(row),
            (Phase::ReadHead, _) => self.enter(Phase::ReadHead),
            (Phase::Walk(_), TableReply::Read(Some(row))) => self.judge_change(&row),
            (Phase::Walk(_), TableReply::Read(None)) => ApplyStep::Unknown,
            (Phase::Walk(id), _) => self.enter(Phase::Walk(id)),
        }
    }

    /// The change that is applied.
    pub fn change(&self) -> &Change {
        &self.row.change
    }

    fn own_id(&self) -> &str {
        &self.row.change.change_id
    }

    /// The head as it is now: unmoved, moved to this change, or moved on.
    fn judge_head(&mut self, row: Option<Row>) -> ApplyStep {
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
        self.enter(Phase::Walk(head.change_id))
    }

    /// A change behind the head: the one of this version decides.
    fn judge_change(&mut self, row: &Row) -> ApplyStep {
        let Ok(other) = serde_json::from_str::<ChangeRow>(&row.value) else {
            return ApplyStep::Unknown;
        };
        if other.change.change_id == self.own_id() {
            return ApplyStep::Accepted;
        }
        match other.previous {
            Some(previous) if other.change.version > self.row.change.version => {
                self.enter(Phase::Walk(previous))
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
        if self.operations > MAXIMUM_OPERATIONS {
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
            Phase::Walk(id) => TableOperation::Get {
                key: change_key(id),
            },
        })
    }
}
