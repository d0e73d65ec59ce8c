//! Faults of the table and of the object store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum StoreFault {
    /// The store works normally.
    #[default]
    Up,
    /// The store refuses every operation.
    Down,
    /// The store responds late.
    Slow {
        /// Delay of each response in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect, but the connection closes before the response is complete.
    LoseReplies,
}

impl StoreFault {
    /// Delay of each response under this fault.
    pub fn delay(self) -> Duration {
        match self {
            StoreFault::Slow { delay_ms } => Duration::from_millis(delay_ms),
            StoreFault::Up | StoreFault::Down | StoreFault::LoseReplies => Duration::ZERO,
        }
    }
}
