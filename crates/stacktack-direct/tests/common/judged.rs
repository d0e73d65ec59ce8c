//! The load bound, as back ends see it.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which the load bound is judged.
const WINDOW: Duration = Duration::from_secs(5);

/// Load bound: multiple of the mean load, requests beyond it, and the share of the requests that may
/// reach a back end above it.
const LOAD_CAP: f64 = 2.0;
const LOAD_SLACK: f64 = 3.0;
const MAX_SHARE_ABOVE: f64 = 0.03;

/// Number of requests above the bound in a window up to which the window does not count.
const MIN_ABOVE: usize = 20;

/// Requests that reached back ends, and those above the load bound.
#[derive(Default)]
pub struct Judged {
    pub requests: usize,
    pub above: usize,
    /// Requests above the bound and all requests, in the window with the largest share of the former.
    pub worst: (usize, usize),
    /// Whether the share was too large in some window.
    pub is_broken: bool,
    recent: VecDeque<(Instant, bool)>,
    recent_above: usize,
}

impl fmt::Debug for Judged {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (above, requests) = self.worst;
        write!(
            formatter,
            "{} of {}, {above} of {requests} in the worst window",
            self.above, self.requests
        )
    }
}

impl Judged {
    /// Takes a request that reaches a back end with `held` requests.
    pub fn record(&mut self, held: u32, mean: f64, now: Instant) {
        let is_above = f64::from(held) > LOAD_CAP * mean + LOAD_SLACK;
        self.requests += 1;
        self.above += usize::from(is_above);
        self.recent.push_back((now, is_above));
        self.recent_above += usize::from(is_above);
        while let Some((_, was_above)) = self.recent.front().filter(|(at, _)| now - *at > WINDOW) {
            self.recent_above -= usize::from(*was_above);
            self.recent.pop_front();
        }
        let (above, requests) = (self.recent_above, self.recent.len());
        if above * self.worst.1.max(1) > self.worst.0 * requests {
            self.worst = (above, requests);
        }
        let share = above as f64 / requests as f64;
        self.is_broken |= above >= MIN_ABOVE && share > MAX_SHARE_ABOVE;
    }
}
