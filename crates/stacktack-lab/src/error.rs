//! Why a command of the lab failed.

use stacktack_node::client::PlatformError;
use stacktack_node::configuration_store::StoreError;
use thiserror::Error;

/// A command of the lab failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// The command line makes no sense.
    #[error("{0}; --help lists the commands")]
    Usage(String),
    /// A program could not be started.
    #[error("{program} could not be started: {source}; build the workspace first")]
    Start {
        /// The program.
        program: String,
        /// Why.
        source: std::io::Error,
    },
    /// A process did not become ready.
    #[error("{0} did not become ready")]
    NotReady(String),
    /// A process did not stop cleanly.
    #[error("{name} ended with {status}")]
    UncleanStop {
        /// The process.
        name: String,
        /// Its exit status.
        status: String,
    },
    /// A platform call failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The configuration was not taken.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A caller's request failed.
    #[error("request failed: {0}")]
    Request(String),
    /// An answer was not the one that its request has.
    #[error("answers that are not their requests': {0}")]
    WrongResponses(usize),
    /// Scenarios or schedules did not hold.
    #[error("{0} did not hold")]
    ScenariosFailed(usize),
    /// A state chart is not usable.
    #[error(transparent)]
    Chart(#[from] stacktack_core::chart::ChartError),
    /// Input or output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}
