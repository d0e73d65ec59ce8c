//! Clients of the platform: table, objects, machine list.
//!
//! The protocol is HTTP with JSON bodies, as `docs/platform-protocol.md`
//! describes it. A reply that does not come is reported as lost, never as a
//! failure: the write behind it may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::Client;
use serde::{Deserialize, Serialize};
use stacktack_core::ledger::{Row, RowVersion, TableOperation, TableReply};
use thiserror::Error;

/// Time to wait for a reply of the platform.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest reply read, in bytes.
const MAXIMUM_REPLY: usize = 16 * 1024 * 1024;

/// The platform did not do what was asked.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Nothing answers at the address.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// No reply came; what was asked may have taken effect.
    #[error("the platform's reply was lost")]
    ReplyLost,
    /// The platform is down or over its rate.
    #[error("the platform refused with status {0}")]
    Refused(u16),
    /// The reply makes no sense.
    #[error("the platform's reply does not parse: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Router,
    /// Stands before a back end.
    Agent,
}

/// An entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Configured name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Zone, as the process's settings say.
    pub zone: String,
    /// Address for traffic between processes.
    pub address: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Life of the process.
    pub incarnation: u64,
    /// Whether the platform is about to take the machine away.
    #[serde(default)]
    pub leaving: bool,
}

/// Body of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRow {
    /// New value.
    pub value: String,
    /// Version that the row must have; none for an absent row.
    pub expected: Option<RowVersion>,
}

/// Client of one platform address, for one thread.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// A client for an address.
    pub fn new(address: SocketAddr) -> Self {
        PlatformClient {
            client: Client::builder().timeout(REPLY_TIMEOUT).finish(),
            base: format!("http://{address}"),
        }
    }

    /// Carries out a table operation.
    pub async fn table(&self, operation: &TableOperation) -> TableReply {
        let result = match operation {
            TableOperation::Get { key } => self.get_row(key).await.map(TableReply::Read),
            TableOperation::Put {
                key,
                value,
                expected,
            } => self.put_row(key, value, *expected).await,
        };
        result.unwrap_or_else(|error| {
            log::debug!(target: "platform", "a table operation got no reply: {error}");
            TableReply::Lost
        })
    }

    /// Reads a row.
    pub async fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let (status, body) = self.exchange("GET", &format!("/table/{key}"), None).await?;
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice(&body)?)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(PlatformError::Refused(other.as_u16())),
        }
    }

    /// Writes a row if it has the expected version.
    pub async fn put_row(
        &self,
        key: &str,
        value: &str,
        expected: Option<RowVersion>,
    ) -> Result<TableReply, PlatformError> {
        let put = PutRow {
            value: value.to_string(),
            expected,
        };
        let bytes = serde_json::to_vec(&put)?;
        let path = format!("/table/{key}");
        let (status, body) = self.exchange("PUT", &path, Some(bytes)).await?;
        match status {
            StatusCode::OK => {
                let row: Row = serde_json::from_slice(&body)?;
                Ok(TableReply::Written(row.version))
            }
            StatusCode::CONFLICT => Ok(TableReply::Conflict(serde_json::from_slice(&body)?)),
            other => Err(PlatformError::Refused(other.as_u16())),
        }
    }

    /// A machine list, `machines` for all or `machines/leaving`; it lags.
    pub async fn machines(&self, list: &str) -> Result<Vec<Machine>, PlatformError> {
        let (status, body) = self.exchange("GET", &format!("/{list}"), None).await?;
        if status != StatusCode::OK {
            return Err(PlatformError::Refused(status.as_u16()));
        }
        Ok(serde_json::from_slice(&body)?)
    }

    /// Tells the platform that this machine is up.
    pub async fn register(&self, machine: &Machine) -> Result<(), PlatformError> {
        let path = format!("/machines/{}", machine.name);
        let bytes = serde_json::to_vec(machine)?;
        let (status, _) = self.exchange("PUT", &path, Some(bytes)).await?;
        if status == StatusCode::OK {
            Ok(())
        } else {
            Err(PlatformError::Refused(status.as_u16()))
        }
    }

    /// Sends one request and reads its whole reply.
    pub async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let method = method.parse().unwrap_or(awc::http::Method::GET);
        let request = self.client.request(method, format!("{}{path}", self.base));
        let sent = match body {
            Some(bytes) => {
                request
                    .content_type("application/json")
                    .send_body(bytes)
                    .await
            }
            None => request.send().await,
        };
        let mut response = sent.map_err(|error| match error {
            SendRequestError::Connect(_) => PlatformError::Unreachable,
            _ => PlatformError::ReplyLost,
        })?;
        let body = response.body().limit(MAXIMUM_REPLY).await;
        let body = body.map_err(|_| PlatformError::ReplyLost)?;
        Ok((response.status(), body.to_vec()))
    }
}
