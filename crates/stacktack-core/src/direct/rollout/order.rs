//! What an operator orders: a service's traffic is to move to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest time that a roll-out may take.
const LONGEST_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// Longest name of a service or a version, in bytes: both travel in datagrams.
const LONGEST_NAME: usize = 100;

/// An order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic is to move.
    pub service: String,
    /// Version that it is to move to.
    pub version: String,
    /// Time in which it is to be decided.
    pub duration: Duration,
    /// Revision of the operator's store at which it was given.
    pub revision: u64,
}

/// An order that cannot be taken.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OrderError {
    /// It names no service, or one with an overlong name.
    #[error("a roll-out needs a service with a name of 1 to {LONGEST_NAME} bytes")]
    Service,
    /// It names no version, or one with an overlong name.
    #[error("a roll-out needs a version with a name of 1 to {LONGEST_NAME} bytes")]
    Version,
    /// Its time is no time above 0, or too long.
    #[error("a roll-out cannot last {0} s; allowed: above 0, at most 30 days")]
    Duration(f64),
}

impl RolloutOrder {
    /// An order with a duration in seconds, as of a revision of the operator's store.
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

    /// Whether it can be taken: peers tell orders too.
    pub fn check(&self) -> Result<(), OrderError> {
        let is_name = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        if !is_name(&self.service) {
            return Err(OrderError::Service);
        }
        if !is_name(&self.version) {
            return Err(OrderError::Version);
        }
        if self.duration.is_zero() || self.duration > LONGEST_DURATION {
            return Err(OrderError::Duration(self.duration.as_secs_f64()));
        }
        Ok(())
    }
}
