//! Exit codes and errors of the command line.

use stacktack_core::configuration::validation::DocumentError;
use stacktack_node::client::PlatformError;
use stacktack_node::configuration_store::StoreError;
use thiserror::Error;

/// The command succeeded.
pub const EXIT_DONE: i32 = 0;

/// The command failed for a reason that has no exit code of its own.
pub const EXIT_FAILED: i32 = 1;

/// The flags, the arguments, a file or a log is invalid.
pub const EXIT_INVALID: i32 = 2;

/// Another change was accepted first.
pub const EXIT_LOST_RACE: i32 = 3;

/// It is unknown whether the change was accepted.
pub const EXIT_UNKNOWN: i32 = 4;

/// A recorded decision does not follow from its recorded inputs.
pub const EXIT_NOT_VERIFIED: i32 = 5;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("{0}; --help lists the commands")]
    Usage(String),
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// No log line names the request.
    #[error("no line of these logs names request {0}")]
    NotLogged(String),
    /// A document is invalid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The configuration could not be read or changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A request to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A request to a process failed.
    #[error("{name} does not answer: {reason}")]
    Process {
        /// Name of the process.
        name: String,
        /// Cause of the failure.
        reason: String,
    },
    /// A document could not be encoded as TOML.
    #[error("the document could not be written: {0}")]
    Encoding(#[from] toml::ser::Error),
    /// A recorded decision does not follow from its recorded inputs.
    #[error("decision {0} does not follow from its recorded inputs")]
    NotVerified(String),
    /// Some processes did not put the configuration in force in time.
    #[error("version {version} is not in force at: {names}")]
    NotInForce {
        /// The awaited version.
        version: u64,
        /// Names of the processes that hold an earlier version or don't report one.
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
