//! The transactional table: rows with versions and conditional writes.

use std::collections::BTreeMap;

use stacktack_core::ledger::{Row, RowVersion, TableOperation, TableReply};

/// All rows.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    next_version: u64,
    writes: u64,
    reads: u64,
}

impl Table {
    /// Carries out an operation.
    pub fn apply(&mut self, operation: &TableOperation) -> TableReply {
        match operation {
            TableOperation::Get { key } => {
                self.reads += 1;
                TableReply::Read(self.rows.get(key).cloned())
            }
            TableOperation::Put {
                key,
                value,
                expected,
            } => self.put(key, value, *expected),
        }
    }

    /// Writes carried out or refused as conflicts, and reads.
    pub fn operation_counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    fn put(&mut self, key: &str, value: &str, expected: Option<RowVersion>) -> TableReply {
        self.writes += 1;
        let held = self.rows.get(key);
        if held.map(|row| row.version) != expected {
            return TableReply::Conflict(held.cloned());
        }
        self.next_version += 1;
        let version = RowVersion(self.next_version);
        let row = Row {
            version,
            value: value.to_string(),
        };
        self.rows.insert(key.to_string(), row);
        TableReply::Written(version)
    }
}
