//! How long one of many routers gathers news of the store.
//!
//! What one router reads all others hear of from each other, within a moment and at a small
//! price. So the more routers share the store, the longer the one that watches it gathers.

use std::time::Duration;

use super::staleness_budget::StalenessBudget;

/// Time after news in which more is left to gather, for each router that shares the
/// directory, and at least.
const GATHER_PER_ROUTER: Duration = Duration::from_millis(100);
const SHORTEST_GATHER: Duration = Duration::from_millis(500);

/// Time after news in which more is left to gather when so many routers share the
/// directory.
pub fn batch_window(routers: usize, budget: &StalenessBudget) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let wanted = GATHER_PER_ROUTER.saturating_mul(routers);
    wanted.max(SHORTEST_GATHER).min(budget.watch_period())
}
