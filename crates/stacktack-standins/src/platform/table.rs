//! Transactional table: rows with versions and conditional writes.

use std::collections::BTreeMap;

use stacktack_core::ledger::{Row, RowVersion, TableOperation, TableReply};

/// The rows by key, and the numbers of operations on them.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    last_version: u64,
    writes: u64,
    reads: u64,
}

impl Table {
    /// Carries out an operation and returns its reply.
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

    /// Number of writes, conflicts included, and number of reads.
    pub fn operation_counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    fn put(&mut self, key: &str, value: &str, expected: Option<RowVersion>) -> TableReply {
        self.writes += 1;
        let current = self.rows.get(key);
        if current.map(|row| row.version) != expected {
            return TableReply::Conflict(current.cloned());
        }
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        let row = Row {
            version,
            value: value.to_string(),
        };
        self.rows.insert(key.to_string(), row);
        TableReply::Written(version)
    }
}
