//! Claims of idempotency keys by conditional writes to the platform's table.
//!
//! One row per key. A claim is a write that expects the row to be absent (or
//! released); who reads another request's claim does not run. A reply that is
//! lost is settled by reading the row, never guessed.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stacktack_wire::identity::{RequestId, TenantId};

use crate::protection::{Protection, Protections};

/// Table operations sent for one claim before it is given up.
const MAXIMUM_OPERATIONS: u32 = 6;

/// Version of a table row; rises with each write to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row.
    pub version: RowVersion,
    /// Its value, a JSON text.
    pub value: String,
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableOperation {
    /// Read a row.
    Get {
        /// Key of the row.
        key: String,
    },
    /// Write a row if it is as expected.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: String,
        /// Version that the row must have; none for an absent row.
        expected: Option<RowVersion>,
    },
}

/// Reply of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableReply {
    /// The row as read, if there is one.
    Read(Option<Row>),
    /// The write took effect.
    Written(RowVersion),
    /// The row was not as expected; as it is now.
    Conflict(Option<Row>),
    /// No reply: it may or may not have taken effect.
    Lost,
}

/// State of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// A request may run under it.
    Claimed,
    /// A request ran under it.
    Ran,
    /// The request that claimed it certainly did not run.
    Released,
}

/// Value of a key's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Request that wrote the row last.
    pub request: String,
    /// State of the key.
    pub state: KeyState,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send this operation and hand in its reply.
    Send(TableOperation),
    /// This request holds the key.
    Claimed,
    /// Another request holds it and may be running.
    InUse,
    /// Another request ran under it.
    Used,
    /// The table does not answer; the request must not run.
    Unavailable,
}

/// Row key of an idempotency key.
pub fn row_key(tenant: TenantId, idempotency_key: &str) -> String {
    let digest = Sha256::digest(idempotency_key.as_bytes());
    let hash: String = digest
        .iter()
        .take(16)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("ledger/{tenant}/{hash}")
}

/// One request's hold on a key, from the first write to the last.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    request: RequestId,
    version: Option<RowVersion>,
    protections: Protections,
    operations: u32,
}

impl Claim {
    /// A claim for a request.
    pub fn new(key: String, request: RequestId, protections: Protections) -> Self {
        Claim {
            key,
            request,
            version: None,
            protections,
            operations: 0,
        }
    }

    /// First step.
    pub fn begin(&mut self) -> ClaimStep {
        if !self.protections.is_enabled(Protection::KeyClaim) {
            return ClaimStep::Claimed;
        }
        self.write()
    }

    /// Next step after the reply to the operation sent last.
    pub fn on_reply(&mut self, reply: TableReply) -> ClaimStep {
        match reply {
            TableReply::Written(version) => {
                self.version = Some(version);
                ClaimStep::Claimed
            }
            TableReply::Conflict(Some(row)) | TableReply::Read(Some(row)) => self.judge(row),
            TableReply::Conflict(None) | TableReply::Read(None) => {
                self.version = None;
                self.write()
            }
            TableReply::Lost if self.protections.is_enabled(Protection::ClaimReread) => self.read(),
            TableReply::Lost => ClaimStep::Claimed,
        }
    }

    /// Write that ends the hold; none when nothing is held.
    pub fn end(&self, state: KeyState) -> Option<TableOperation> {
        self.version?;
        Some(self.put(state))
    }

    fn judge(&mut self, row: Row) -> ClaimStep {
        let Ok(held) = serde_json::from_str::<KeyRow>(&row.value) else {
            return ClaimStep::InUse;
        };
        let own = held.request == self.request.to_string();
        match held.state {
            KeyState::Claimed if own => {
                self.version = Some(row.version);
                ClaimStep::Claimed
            }
            KeyState::Claimed => ClaimStep::InUse,
            KeyState::Ran => ClaimStep::Used,
            KeyState::Released => {
                self.version = Some(row.version);
                self.write()
            }
        }
    }

    fn put(&self, state: KeyState) -> TableOperation {
        let row = KeyRow {
            request: self.request.to_string(),
            state,
        };
        TableOperation::Put {
            key: self.key.clone(),
            value: serde_json::to_string(&row).unwrap_or_default(),
            expected: self.version,
        }
    }

    fn write(&mut self) -> ClaimStep {
        let operation = self.put(KeyState::Claimed);
        self.send(operation)
    }

    fn read(&mut self) -> ClaimStep {
        let key = self.key.clone();
        self.send(TableOperation::Get { key })
    }

    fn send(&mut self, operation: TableOperation) -> ClaimStep {
        self.operations += 1;
        if self.operations > MAXIMUM_OPERATIONS {
            return ClaimStep::Unavailable;
        }
        ClaimStep::Send(operation)
    }
}
