//! Errors of the lab's commands.

use stacktack_node::client::PlatformError;
use stacktack_node::configuration_store::StoreError;
use thiserror::Error;

/// Why a command of the lab failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// The command line is invalid.
    #[error("{0}; --help lists the commands")]
    Usage(String),
    /// A program could not be started.
    #[error("{program} could not be started: {source}; build the workspace first")]
    Start {
        /// Name of the program.
        program: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A process, given by name, did not become ready in time.
    #[error("{0} did not become ready")]
    NotReady(String),
    /// A process did not exit with status 0.
    #[error("{name} ended with {status}")]
    UncleanStop {
        /// Name of the process.
        name: String,
        /// Its exit status.
        status: String,
    },
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The configuration could not be read or applied.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A request or another operation failed, for the given reason.
    #[error("request failed: {0}")]
    Request(String),
    /// Number of responses that do not belong to their requests.
    #[error("{0} responses do not match their requests")]
    WrongResponses(usize),
    /// Number of scenarios or fault schedules that failed.
    #[error("{0} scenarios or schedules failed")]
    ScenariosFailed(usize),
    /// A state chart is invalid.
    #[error(transparent)]
    Chart(#[from] stacktack_core::chart::ChartError),
    /// Input or output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}
