//! The emulated platform: the table of the platform stand-in, snapshots and
//! faults.

use std::collections::HashMap;
use std::time::Duration;

use stacktack_core::configuration::change::{encode, Change, Difference};
use stacktack_core::configuration::document::Document;
use stacktack_core::configuration::store::{
    change_key, ChangeRow, HeadRow, SnapshotObject, SnapshotReference, HEAD_KEY,
};
use stacktack_core::configuration::Configuration;
use stacktack_core::ledger::{Row, TableOperation, TableReply};
use stacktack_standins::platform::faults::StoreFault;
use stacktack_standins::platform::table::Table;
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId, RequestId};
use stacktack_wire::message::EncodedChanges;

use super::event::Event;
use super::network::PLATFORM_DELAY;
use super::process::ProcessId;
use super::Emulator;

/// A read that the control state of a process requests.
#[derive(Debug)]
pub enum ReadRequest {
    /// Read the head row.
    Head,
    /// Read a snapshot.
    Snapshot(SnapshotReference),
    /// Read the changes after version `held` up to `change_id`.
    Changes {
        /// Version that the reader already has.
        held: ConfigurationVersion,
        /// Identifier of the change at the head.
        change_id: String,
    },
    /// Read the machines that are about to be taken away.
    Leaving,
}

/// Result of a read.
#[derive(Debug)]
pub enum Read {
    /// The head row.
    Head(HeadRow),
    /// A snapshot.
    Snapshot(Box<Configuration>),
    /// Encoded changes, oldest first.
    Changes(EncodedChanges),
    /// Machines about to be taken away.
    Leaving(Vec<(NodeId, Incarnation)>),
    /// The read failed.
    Failed,
}

/// State of the platform.
pub struct Platform {
    /// Table with the configuration, the ledger and the leases.
    pub table: Table,
    /// Snapshots of the configuration by object key.
    pub snapshots: HashMap<String, SnapshotObject>,
    /// Current fault of the store.
    pub fault: StoreFault,
    /// Machines about to be taken away.
    pub leaving: Vec<(NodeId, Incarnation)>,
}

impl Platform {
    /// Creates a platform whose table holds the first configuration.
    pub fn new(document: &Document) -> Self {
        let mut platform = Platform {
            table: Table::default(),
            snapshots: HashMap::new(),
            fault: StoreFault::Up,
            leaving: Vec::new(),
        };
        let version = ConfigurationVersion(1);
        let change = Change {
            version,
            author: String::from("lab"),
            change_id: String::from("first"),
            difference: Difference::between(&Document::default(), document),
        };
        let row = ChangeRow {
            change,
            previous: None,
        };
        let head = HeadRow {
            version,
            change_id: String::from("first"),
            snapshot: None,
        };
        platform.put(&change_key("first"), serde_json::to_string(&row));
        platform.put(HEAD_KEY, serde_json::to_string(&head));
        platform
    }

    fn put(&mut self, key: &str, value: Result<String, serde_json::Error>) {
        self.table.apply(&TableOperation::Put {
            key: key.to_string(),
            value: value.unwrap_or_default(),
            expected: None,
        });
    }

    fn row(&mut self, key: &str) -> Option<Row> {
        let operation = TableOperation::Get {
            key: key.to_string(),
        };
        match self.table.apply(&operation) {
            TableReply::Read(row) => row,
            _ => None,
        }
    }

    /// The head row with the version of its row, read regardless of any fault.
    pub fn head(&mut self) -> Option<(Row, HeadRow)> {
        let row = self.row(HEAD_KEY)?;
        let head = serde_json::from_str(&row.value).ok()?;
        Some((row, head))
    }

    /// The configuration at the head, read regardless of any fault.
    pub fn configuration(&mut self) -> Option<Configuration> {
        let (_, head) = self.head()?;
        let changes = self.chain(ConfigurationVersion(0), head.change_id)?;
        let (configuration, _) = Configuration::default().with_changes(&changes).ok()?;
        Some(configuration)
    }

    /// Applies an operation under the current fault and returns its reply, or
    /// [`TableReply::Lost`] if no reply reaches the caller.
    pub fn apply(&mut self, operation: &TableOperation) -> TableReply {
        match self.fault {
            StoreFault::Down => TableReply::Lost,
            StoreFault::Up | StoreFault::Slow { .. } => self.table.apply(operation),
            StoreFault::LoseReplies => {
                let reply = self.table.apply(operation);
                match operation {
                    TableOperation::Get { .. } => reply,
                    TableOperation::Put { .. } => TableReply::Lost,
                }
            }
        }
    }

    /// Performs a read for the control state and returns the result with its
    /// delay.
    pub fn read(&mut self, request: &ReadRequest) -> (Read, Duration) {
        if self.fault == StoreFault::Down {
            return (Read::Failed, Duration::from_secs(1));
        }
        let read = match request {
            ReadRequest::Head => match self.head() {
                Some((_, head)) => Read::Head(head),
                None => Read::Failed,
            },
            ReadRequest::Snapshot(reference) => match self.snapshots.get(&reference.key()) {
                Some(object) => Read::Snapshot(Box::new(object.clone().into())),
                None => Read::Failed,
            },
            ReadRequest::Changes { held, change_id } => {
                match self.chain(*held, change_id.clone()) {
                    Some(changes) => Read::Changes(changes),
                    None => Read::Failed,
                }
            }
            ReadRequest::Leaving => Read::Leaving(self.leaving.clone()),
        };
        (read, self.fault.delay())
    }

    fn chain(&mut self, held: ConfigurationVersion, change_id: String) -> Option<EncodedChanges> {
        let mut changes = Vec::new();
        let mut next = Some(change_id);
        while let Some(id) = next {
            let row = self.row(&change_key(&id))?;
            let row: ChangeRow = serde_json::from_str(&row.value).ok()?;
            if row.change.version <= held {
                break;
            }
            next = row.previous;
            changes.push(row.change);
        }
        changes.reverse();
        encode(&changes)
    }
}

impl Emulator {
    pub(super) fn on_table_request(
        &mut self,
        process: ProcessId,
        incarnation: Incarnation,
        request: Option<RequestId>,
        operation: &TableOperation,
    ) {
        let delay = PLATFORM_DELAY + self.platform.fault.delay();
        let reply = self.platform.apply(operation);
        let Some(request) = request.filter(|_| reply != TableReply::Lost) else {
            return;
        };
        let event = Event::TableReply {
            process,
            incarnation,
            request,
            reply,
        };
        if !self.network.is_cut_from_platform(process) {
            self.schedule(delay, event);
        }
    }

    pub(super) fn on_table_reply(
        &mut self,
        id: ProcessId,
        incarnation: Incarnation,
        request: RequestId,
        reply: TableReply,
    ) {
        if self.processes[id].information.incarnation == incarnation {
            let input = stacktack_core::dispatch::DispatchInput::FromTable { request, reply };
            self.handle_dispatch(id, input);
        }
    }
}
