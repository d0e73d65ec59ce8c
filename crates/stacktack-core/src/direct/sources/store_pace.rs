//! How often one of many routers asks the store for news.
//!
//! What one router reads all others hear of from each other, within about a second
//! and at a small price. So the more routers share the store, the less often each
//! of them asks it; but never so seldom that it would miss a bound if it heard of
//! nothing else ([`super::news_budget`]).

use std::time::Duration;

use super::news_budget::NewsBudget;

/// Answers a second from the store to all routers while nothing changes: each shows all of
/// them that nothing did.
const ANSWERS_PER_SECOND: f64 = 5.0;

/// Mean wait for news in one call, at least and at most. A store that lets calls wait
/// does so for 30 s.
const SHORTEST_WAIT: Duration = Duration::from_secs(2);
const LONGEST_WAIT: Duration = Duration::from_secs(15);

/// Time after news in which more is left to gather, for each router that shares the
/// directory, and at least.
const GATHER_PER_ROUTER: Duration = Duration::from_millis(100);
const SHORTEST_GATHER: Duration = Duration::from_millis(500);

/// Wait for news in one call when so many routers share the store; `draw` is even in 0..1.
///
/// The same news ends the waits of all routers, so that equal ones would end in step again:
/// nobody would look while they last, and one silent moment would take all of them at once.
pub fn wait(routers: usize, draw: f64) -> Duration {
    let mean = Duration::from_secs_f64(routers as f64 / ANSWERS_PER_SECOND);
    mean.clamp(SHORTEST_WAIT, LONGEST_WAIT).mul_f64(2.0 * draw)
}

/// Time after news in which more is left to gather when so many routers share the
/// directory.
pub fn gather(routers: usize, budget: &NewsBudget) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let wanted = GATHER_PER_ROUTER.saturating_mul(routers);
    wanted.max(SHORTEST_GATHER).min(budget.gather())
}
