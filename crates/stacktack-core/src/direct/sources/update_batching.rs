//! How long a router lets updates collect at the store before it asks again.
//!
//! What one router reads, the others get by gossip within a moment and at a small cost.
//! Therefore the more routers share the store, the longer the one that watches it lets
//! updates collect.

use std::time::Duration;

use super::staleness_budget::StalenessBudget;

/// Batch window for each router that shares the directory.
const BATCH_WINDOW_PER_ROUTER: Duration = Duration::from_millis(100);

/// Minimum batch window.
const MIN_BATCH_WINDOW: Duration = Duration::from_millis(500);

/// Time after an update in which further updates collect at the store before the next call,
/// when `routers` routers share the directory.
pub fn batch_window(routers: usize, budget: &StalenessBudget) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let window = BATCH_WINDOW_PER_ROUTER.saturating_mul(routers);
    window.max(MIN_BATCH_WINDOW).min(budget.watch_period())
}
