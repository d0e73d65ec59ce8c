//! Client of the platform's services: table, object store and machine list.
//!
//! The protocol is HTTP with JSON bodies, as `docs/platform-protocol.md`
//! describes it. A missing reply is reported as lost, never as a failure,
//! because the write that it would confirm may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::Client;
use serde::{Deserialize, Serialize};
use stacktack_core::ledger::{Row, RowVersion, TableOperation, TableReply};
use thiserror::Error;

/// Maximum time to wait for a reply of the platform.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the body of a reply.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// A request to the platform did not succeed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection to the address could be opened.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// No reply arrived; the request may have taken effect.
    #[error("the platform's reply was lost")]
    ReplyLost,
    /// The platform replied with an unexpected status, for example because it is
    /// down or over its rate limit.
    #[error("the platform refused with status {0}")]
    Refused(u16),
    /// A JSON text, usually of the reply, does not parse.
    #[error("the platform's reply does not parse: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests of callers.
    Router,
    /// Runs beside a back end and admits its requests.
    Agent,
}

/// An entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Configured name.
    pub name: String,
    /// Role of the machine.
    pub role: Role,
    /// Zone from the settings of the process.
    pub zone: String,
    /// Address for traffic between processes.
    pub address: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Incarnation of the process.
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
    /// Version that the row must have; `None` if the row must be absent.
    pub expected: Option<RowVersion>,
}

/// Client of one platform address, for one thread.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        PlatformClient {
            client: Client::builder().timeout(REPLY_TIMEOUT).finish(),
            base: format!("http://{address}"),
        }
    }

    /// Carries out a table operation; any error counts as a lost reply.
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

    /// Reads a machine list: `machines` for all machines, or `machines/leaving`.
    /// The list lags behind the machines.
    pub async fn machines(&self, list: &str) -> Result<Vec<Machine>, PlatformError> {
        let (status, body) = self.exchange("GET", &format!("/{list}"), None).await?;
        if status != StatusCode::OK {
            return Err(PlatformError::Refused(status.as_u16()));
        }
        Ok(serde_json::from_slice(&body)?)
    }

    /// Registers this machine as running.
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

    /// Sends one request and reads the complete reply.
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
        let body = response.body().limit(MAX_REPLY_BYTES).await;
        let body = body.map_err(|_| PlatformError::ReplyLost)?;
        Ok((response.status(), body.to_vec()))
    }
}
