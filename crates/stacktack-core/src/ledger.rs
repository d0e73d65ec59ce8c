//! Claims of idempotency keys by conditional writes to the platform's table.
//!
//! Each key has one row. A claim is a write on the condition that the row is
//! absent or released. A request that reads the claim of another request does
//! not run. A lost reply is never guessed but resolved by reading the row.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stacktack_wire::identity::{RequestId, TenantId};

use crate::protection::{Protection, Protections};

/// Maximum number of table operations for one claim.
const MAX_OPERATIONS: u32 = 6;

/// Version of a table row, which rises with each write to the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row.
    pub version: RowVersion,
    /// Value of the row, as JSON text.
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
    /// Write a row if its version is the expected one.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: String,
        /// Version that the row must have; none if the row must be absent.
        expected: Option<RowVersion>,
    },
}

/// Reply of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableReply {
    /// The row that was read; none if it is absent.
    Read(Option<Row>),
    /// The write took effect and gave the row this version.
    Written(RowVersion),
    /// The row did not have the expected version; holds the present row.
    Conflict(Option<Row>),
    /// No reply: the operation may or may not have taken effect.
    Lost,
}

/// State of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// A request claimed the key and may be running.
    Claimed,
    /// A request with the key has run.
    Ran,
    /// The request that claimed the key certainly did not run.
    Released,
}

/// Value of the row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Request that wrote the row last.
    pub request: String,
    /// State that the request wrote.
    pub state: KeyState,
}

/// Next step of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send this operation and pass its reply to [`Claim::on_reply`].
    Send(TableOperation),
    /// This request holds the key.
    Claimed,
    /// Another request holds the key and may be running.
    InUse,
    /// A request with the key has already run.
    Used,
    /// The claim could not be decided, mostly because the table does not answer;
    /// the request must not run.
    Unavailable,
}

/// Table key of the row of a tenant's idempotency key.
pub fn row_key(tenant: TenantId, idempotency_key: &str) -> String {
    let digest = Sha256::digest(idempotency_key.as_bytes());
    let hash: String = digest
        .iter()
        .take(16)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("ledger/{tenant}/{hash}")
}

/// State machine by which one request claims a key and later ends the claim.
#[derive(Clone, Debug)]
pub struct Claim {
    key: String,
    request: RequestId,
    version: Option<RowVersion>,
    protections: Protections,
    operations: u32,
}

impl Claim {
    /// Creates the claim of a request on the row key `key`.
    pub fn new(key: String, request: RequestId, protections: Protections) -> Self {
        Claim {
            key,
            request,
            version: None,
            protections,
            operations: 0,
        }
    }

    /// Returns the first step.
    pub fn begin(&mut self) -> ClaimStep {
        if !self.protections.is_enabled(Protection::KeyClaim) {
            return ClaimStep::Claimed;
        }
        self.write()
    }

    /// Returns the next step after the reply to the last operation.
    pub fn on_reply(&mut self, reply: TableReply) -> ClaimStep {
        match reply {
            TableReply::Written(version) => {
                self.version = Some(version);
                ClaimStep::Claimed
            }
            TableReply::Conflict(Some(row)) | TableReply::Read(Some(row)) => self.evaluate(row),
            TableReply::Conflict(None) | TableReply::Read(None) => {
                self.version = None;
                self.write()
            }
            TableReply::Lost if self.protections.is_enabled(Protection::ClaimReread) => self.read(),
            TableReply::Lost => ClaimStep::Claimed,
        }
    }

    /// Returns the write that ends the claim; none if the key was not claimed.
    pub fn end(&self, state: KeyState) -> Option<TableOperation> {
        self.version?;
        Some(self.put(state))
    }

    fn evaluate(&mut self, row: Row) -> ClaimStep {
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
        if self.operations > MAX_OPERATIONS {
            return ClaimStep::Unavailable;
        }
        ClaimStep::Send(operation)
    }
}
