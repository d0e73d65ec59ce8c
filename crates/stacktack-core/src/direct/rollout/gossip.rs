//! What routers tell each other of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::order::RolloutOrder;
use super::response_counts::RouterCounts;
use super::status::StoredState;

/// What one router tells of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGossip {
    /// The order.
    pub order: RolloutOrder,
    /// Time since it was first heard of.
    pub age: Duration,
    /// What the store holds of it, and at which revision.
    pub stored: Option<(StoredState, u64)>,
    /// Whether the new version does harm.
    pub regressed: bool,
    /// Whether its answers are good so far.
    pub proved: bool,
    /// Whether they are good under the whole traffic too.
    pub passed: bool,
    /// How answers went; counts of other routers too.
    pub counts: Vec<RouterCounts>,
}
