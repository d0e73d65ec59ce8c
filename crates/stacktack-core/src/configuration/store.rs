//! Storage layout of the configuration in the platform's services.
//!
//! - Row `config/head`: a [`HeadRow`]. Moving the head by a conditional write
//!   accepts a change.
//! - Row `config/change/{change id}`: a [`ChangeRow`], written before the head
//!   moves. Each change names its predecessor, so readers follow the chain back
//!   from the head and never reach a change that lost the race for the head.
//! - Object `config/snapshot/{version}/{change id}`: a complete document, for
//!   processes that start.

use serde::{Deserialize, Serialize};
use stacktack_wire::identity::ConfigurationVersion;

use super::change::Change;
use super::document::Document;
use super::Configuration;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// Number of versions after which a new snapshot is written.
pub const SNAPSHOT_INTERVAL: u64 = 32;

/// Value of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Version that was accepted last.
    pub version: ConfigurationVersion,
    /// Identifier of the change that led to this version.
    pub change_id: String,
    /// Latest snapshot; none before the first.
    pub snapshot: Option<SnapshotReference>,
}

/// Reference to a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReference {
    /// Version of the document.
    pub version: ConfigurationVersion,
    /// Identifier of the change that led to the document.
    pub change_id: String,
}

impl SnapshotReference {
    /// Key of the snapshot's object. The key contains the change's identifier, so
    /// that two operators who race never write the same object.
    pub fn key(&self) -> String {
        format!("config/snapshot/{}/{}", self.version, self.change_id)
    }

    /// URL path of the object in the platform's object store.
    pub fn path(&self) -> String {
        format!("/objects/{}", self.key())
    }
}

/// Value of the row of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// The stored change.
    pub change: Change,
    /// Identifier of the preceding change; none for the first.
    pub previous: Option<String>,
}

/// Content of a snapshot's object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotObject {
    /// Version of the document.
    pub version: ConfigurationVersion,
    /// Identifier of the change that led to the document.
    pub change_id: String,
    /// The complete document.
    pub document: Document,
}

impl From<SnapshotObject> for Configuration {
    fn from(object: SnapshotObject) -> Self {
        Configuration::new(object.version, object.document)
    }
}

/// Key of the row of a change.
pub fn change_key(change_id: &str) -> String {
    format!("config/change/{change_id}")
}
