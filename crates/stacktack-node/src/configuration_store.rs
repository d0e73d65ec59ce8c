//! Reads and changes the configuration in the platform's services.

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use rand::Rng;
use stacktack_core::configuration::apply::{ApplyStep, ChangeApplication};
use stacktack_core::configuration::change::{encode, Change, Difference};
use stacktack_core::configuration::document::Document;
use stacktack_core::configuration::store::{
    change_key, ChangeRow, HeadRow, SnapshotObject, SnapshotReference, HEAD_KEY, SNAPSHOT_INTERVAL,
};
use stacktack_core::configuration::Configuration;
use stacktack_core::ledger::RowVersion;
use stacktack_core::protection::Protections;
use stacktack_wire::identity::ConfigurationVersion;
use stacktack_wire::message::EncodedChanges;
use thiserror::Error;

use crate::client::{PlatformClient, PlatformError};
use crate::control::CHANGES_PATH;

/// Number of processes to which an accepted change is sent directly.
const CHANGE_RECIPIENTS: usize = 5;

/// A configuration could not be read or changed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A request to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A change row that the head refers to is missing, or the changes don't apply.
    #[error("the stored configuration is broken behind change {0}")]
    Broken(String),
    /// Another change was accepted first.
    #[error("another change was accepted first; nothing of this one is in force")]
    LostRace,
    /// It is unknown whether the change was accepted.
    #[error("the platform does not answer; change {0} may or may not be accepted")]
    Unknown(String),
    /// The document equals the one in force.
    #[error("nothing differs from the configuration in force")]
    NothingDiffers,
}

/// The configuration at the head, and the head row on which the next change
/// builds.
#[derive(Debug)]
pub struct Head {
    /// Version of the head row; `None` before the first change.
    pub row_version: Option<RowVersion>,
    /// The head row; `None` before the first change.
    pub row: Option<HeadRow>,
    /// The configuration at the head.
    pub configuration: Configuration,
}

/// Reads the configuration at the head.
pub async fn read_head(platform: &PlatformClient) -> Result<Head, StoreError> {
    let Some(row) = platform.get_row(HEAD_KEY).await? else {
        return Ok(Head {
            row_version: None,
            row: None,
            configuration: Configuration::default(),
        });
    };
    let head: HeadRow = serde_json::from_str(&row.value).map_err(PlatformError::from)?;
    let base = match &head.snapshot {
        Some(snapshot) => read_snapshot(platform, &snapshot.path()).await?.into(),
        None => Configuration::default(),
    };
    let configuration = if base.version == head.version {
        base
    } else {
        let stored = read_changes(platform, base.version, head.change_id.clone()).await?;
        let broken = || StoreError::Broken(head.change_id.clone());
        let changes = stored.ok_or_else(broken)?;
        let (configuration, _) = base.with_changes(&changes).map_err(|_| broken())?;
        configuration
    };
    Ok(Head {
        row_version: Some(row.version),
        row: Some(head),
        configuration,
    })
}

/// Reads a snapshot, from the object store or from a peer.
pub async fn read_snapshot(
    source: &PlatformClient,
    path: &str,
) -> Result<SnapshotObject, PlatformError> {
    let (status, body) = source.exchange("GET", path, None).await?;
    if !status.is_success() {
        return Err(PlatformError::Refused(status.as_u16()));
    }
    Ok(serde_json::from_slice(&body)?)
}

/// Reads the changes after version `held`, walking back from the change at the
/// head; `None` if a row is missing or there is no change after `held`.
pub async fn read_changes(
    platform: &PlatformClient,
    held: ConfigurationVersion,
    change_id: String,
) -> Result<Option<EncodedChanges>, PlatformError> {
    let mut changes = Vec::new();
    let mut next = Some(change_id);
    while let Some(id) = next {
        let Some(row) = platform.get_row(&change_key(&id)).await? else {
            return Ok(None);
        };
        let row: ChangeRow = serde_json::from_str(&row.value)?;
        if row.change.version <= held {
            break;
        }
        next = row.previous;
        changes.push(row.change);
    }
    changes.reverse();
    Ok(encode(&changes))
}

/// Applies a document as the next change after `head`; returns the version
/// under which it was accepted.
pub async fn apply_document(
    platform: &PlatformClient,
    head: &Head,
    author: &str,
    document: &Document,
) -> Result<ConfigurationVersion, StoreError> {
    let difference = Difference::between(&head.configuration.document, document);
    if difference.is_empty() {
        return Err(StoreError::NothingDiffers);
    }
    let version = ConfigurationVersion(head.configuration.version.0 + 1);
    let change_id = format!("{version}-{:016x}", rand::rng().next_u64());
    let row = ChangeRow {
        change: Change {
            version,
            author: author.to_string(),
            change_id: change_id.clone(),
            difference,
        },
        previous: head.row.as_ref().map(|row| row.change_id.clone()),
    };
    let snapshot = write_due_snapshot(platform, head, version, &change_id, document).await;
    let next_head = HeadRow {
        version,
        change_id: change_id.clone(),
        snapshot,
    };
    let mut apply =
        ChangeApplication::new(row, next_head, head.row_version, Protections::default());
    let mut step = apply.begin();
    loop {
        match step {
            ApplyStep::Send(operation) => {
                let reply = platform.table(&operation).await;
                step = apply.on_reply(reply);
            }
            ApplyStep::Accepted => {
                send_to_processes(platform, apply.change()).await;
                return Ok(version);
            }
            ApplyStep::LostRace => return Err(StoreError::LostRace),
            ApplyStep::Unknown => return Err(StoreError::Unknown(change_id)),
        }
    }
}

/// Sends an accepted change to a few processes, so that it spreads by gossip even
/// if the table goes down right after. Nothing depends on their responses.
async fn send_to_processes(platform: &PlatformClient, change: &Change) {
    let Some(changes) = encode(std::slice::from_ref(change)) else {
        return;
    };
    let Ok(body) = serde_json::to_vec(&changes) else {
        return;
    };
    let machines = platform.machines("machines").await.unwrap_or_default();
    let chosen = machines.sample(&mut rand::rng(), CHANGE_RECIPIENTS);
    let calls = chosen.map(|machine| {
        let client = PlatformClient::new(machine.operator);
        let body = body.clone();
        async move { client.exchange("POST", CHANGES_PATH, Some(body)).await }
    });
    for result in join_all(calls).await {
        if let Err(error) = result {
            log::debug!(target: "configuration", "a process did not receive the change: {error}");
        }
    }
}

/// Writes a snapshot if one is due. Returns the latest snapshot: the previous one
/// if none was due or the write failed.
async fn write_due_snapshot(
    platform: &PlatformClient,
    head: &Head,
    version: ConfigurationVersion,
    change_id: &str,
    document: &Document,
) -> Option<SnapshotReference> {
    let previous = head.row.as_ref().and_then(|row| row.snapshot.clone());
    let previous_version = previous.as_ref().map_or(0, |snapshot| snapshot.version.0);
    if version.0 - previous_version < SNAPSHOT_INTERVAL {
        return previous;
    }
    let reference = SnapshotReference {
        version,
        change_id: change_id.to_string(),
    };
    let object = SnapshotObject {
        version,
        change_id: change_id.to_string(),
        document: document.clone(),
    };
    let bytes = serde_json::to_vec(&object).ok()?;
    match platform
        .exchange("PUT", &reference.path(), Some(bytes))
        .await
    {
        Ok((status, _)) if status.is_success() => Some(reference),
        _ => previous,
    }
}
