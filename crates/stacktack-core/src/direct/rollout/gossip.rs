//! The gossip about a roll-out that routers exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::order::RolloutOrder;
use super::response_counts::RouterCounts;
use super::status::StoredState;

/// What one router knows of a roll-out, as it sends it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGossip {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order was first received by any router, as far as the sender knows.
    pub age: Duration,
    /// State in the store and the revision at which it was stored, if known.
    pub stored: Option<(StoredState, u64)>,
    /// Whether a regression of the new version was detected.
    pub regressed: bool,
    /// Whether the new version's responses are good so far.
    pub proved: bool,
    /// Whether the new version's responses are good under the full traffic too.
    pub passed: bool,
    /// Response counts of the sender and of some other routers; none once the outcome is stored.
    pub counts: Vec<RouterCounts>,
}
