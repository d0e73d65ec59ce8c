//! Exit codes and errors of the command line.

use stacktack_core::configuration::validation::DocumentError;
use stacktack_node::client::PlatformError;
use stacktack_node::configuration_store::StoreError;
use thiserror::Error;

/// Everything went as asked.
pub const EXIT_DONE: i32 = 0;

/// Something failed that is none of the others.
pub const EXIT_FAILED: i32 = 1;

/// Flags, arguments or a document are not allowed.
pub const EXIT_INVALID: i32 = 2;

/// Another change was accepted first.
pub const EXIT_LOST_RACE: i32 = 3;

/// Nobody can tell whether the change was accepted.
pub const EXIT_UNKNOWN: i32 = 4;

/// A recorded decision does not follow from its recorded inputs.
pub const EXIT_NOT_VERIFIED: i32 = 5;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line makes no sense.
    #[error("{0}; --help lists the commands")]
    Usage(String),
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// No log line names the request.
    #[error("no line of these logs names request {0}")]
    NotLogged(String),
    /// A document is not acceptable.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The configuration could not be read or changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The platform did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A process did not answer.
    #[error("{name} does not answer: {reason}")]
    Process {
        /// The process.
        name: String,
        /// Why.
        reason: String,
    },
    /// A document could not be written as text.
    #[error("the document could not be written: {0}")]
    Encoding(#[from] toml::ser::Error),
    /// A decision does not follow from its inputs.
    #[error("decision {0} does not follow from its recorded inputs")]
    NotVerified(String),
    /// Processes did not take the configuration in time.
    #[error("version {version} is not in force at: {names}")]
    NotInForce {
        /// The version.
        version: u64,
        /// Processes that have another one.
        names: String,
    },
}

impl CommandError {
    /// Exit code of the failure.
    pub fn exit_code(&self) -> i32 {
        match self {
            CommandError::Usage(_)
            | CommandError::Document(_)
            | CommandError::File { .. }
            | CommandError::NotLogged(_) => EXIT_INVALID,
            CommandError::Store(StoreError::LostRace) => EXIT_LOST_RACE,
            CommandError::Store(StoreError::Unknown(_)) => EXIT_UNKNOWN,
            CommandError::NotVerified(_) => EXIT_NOT_VERIFIED,
            CommandError::Store(_)
            | CommandError::Platform(_)
            | CommandError::Process { .. }
            | CommandError::Encoding(_)
            | CommandError::NotInForce { .. } => EXIT_FAILED,
        }
    }
}
