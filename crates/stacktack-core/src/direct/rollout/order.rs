//! An operator's order to move the traffic of a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum duration of a roll-out.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// Maximum length of the name of a service or a version, which must fit into a datagram.
const MAX_NAME_BYTES: usize = 100;

/// An order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: String,
    /// Version that gets the traffic.
    pub version: String,
    /// Time within which the roll-out is decided.
    pub duration: Duration,
    /// Revision of the operator's store at which the order was written.
    pub revision: u64,
}

/// Reason why an order is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OrderError {
    /// The name of the service is empty or too long.
    #[error("a roll-out needs a service with a name of 1 to {MAX_NAME_BYTES} bytes")]
    Service,
    /// The name of the version is empty or too long.
    #[error("a roll-out needs a version with a name of 1 to {MAX_NAME_BYTES} bytes")]
    Version,
    /// The duration in seconds is not a number, not above 0, or too long.
    #[error("a roll-out cannot last {0} s; allowed: above 0, at most 30 days")]
    Duration(f64),
}

impl RolloutOrder {
    /// Creates and validates an order that was written at a revision of the operator's store.
    pub fn new(
        service: String,
        version: String,
        duration_seconds: f64,
        revision: u64,
    ) -> Result<Self, OrderError> {
        let duration = Duration::try_from_secs_f64(duration_seconds)
            .map_err(|_| OrderError::Duration(duration_seconds))?;
        let order = RolloutOrder {
            service,
            version,
            duration,
            revision,
        };
        order.check()?;
        Ok(order)
    }

    /// Validates the order; orders also arrive unvalidated from peers.
    pub fn check(&self) -> Result<(), OrderError> {
        let is_valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !is_valid_name(&self.service) {
            return Err(OrderError::Service);
        }
        if !is_valid_name(&self.version) {
            return Err(OrderError::Version);
        }
        if self.duration.is_zero() || self.duration > MAX_DURATION {
            return Err(OrderError::Duration(self.duration.as_secs_f64()));
        }
        Ok(())
    }
}
