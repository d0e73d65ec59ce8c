//! Counts of the responses of the new and the old version by route, in a form that routers can
//! merge.
//!
//! Each router counts its own responses since the order and gossips its cumulative counts. The
//! newest counts of each incarnation of a router replace the previous ones, so that gossip may
//! arrive late, twice and in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::latency::log_latency_units;

/// Maximum number of router incarnations whose counts are kept; it suffices for a fleet of some
/// hundred routers that restart several times.
const MAX_INCARNATIONS: usize = 2048;

/// Maximum number of routes of a service that one router counts separately; it counts any
/// further routes together.
const MAX_ROUTES: usize = 24;

/// Maximum number of other routers with recent bad responses whose counts each gossip contains.
/// Bad responses have to spread early; the sequential tests tolerate that they arrive before
/// good ones.
const MAX_GOSSIPED_RECENT_BAD: usize = 2;

/// Maximum number of further routers whose counts each gossip contains, in turn.
const MAX_GOSSIPED_IN_TURN: usize = 3;

/// 16-bit hash of a route's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteHash(u16);

impl RouteHash {
    /// All routes of a router beyond the first [`MAX_ROUTES`].
    const OTHERS: RouteHash = RouteHash(0);

    /// Hashes a route's name.
    pub fn of(name: &str) -> Self {
        RouteHash(xxh3_64(name.as_bytes()) as u16)
    }
}

/// Counts of the responses of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Responses, failed ones included.
    pub responses: u32,
    /// Responses that failed.
    pub failed: u32,
    /// Responses that succeeded and were slow.
    pub slow: u32,
    /// Sum of the logarithms of the times to first byte of the responses that succeeded, in the
    /// units of [`log_latency_units`].
    pub log_latency_sum: u32,
}

/// Outcome of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The response did not fail.
    Succeeded {
        /// Time to first byte.
        latency: Duration,
        /// Whether the response counts as slow.
        is_slow: bool,
    },
    /// The response failed.
    Failed,
}

impl ResponseCounts {
    fn record(&mut self, outcome: ResponseOutcome) {
        self.responses += 1;
        match outcome {
            ResponseOutcome::Failed => self.failed += 1,
            ResponseOutcome::Succeeded { latency, is_slow } => {
                self.slow += u32::from(is_slow);
                self.log_latency_sum = self
                    .log_latency_sum
                    .saturating_add(log_latency_units(latency));
            }
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &ResponseCounts) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
        self.log_latency_sum = self.log_latency_sum.saturating_add(other.log_latency_sum);
    }

    /// Difference to earlier counts.
    pub fn since(&self, earlier: &ResponseCounts) -> ResponseCounts {
        ResponseCounts {
            responses: self.responses.saturating_sub(earlier.responses),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            log_latency_sum: self.log_latency_sum.saturating_sub(earlier.log_latency_sum),
        }
    }
}

/// Counts of responses by version, on one route or on all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Responses of the new version.
    pub new: ResponseCounts,
    /// Responses of the old version.
    pub old: ResponseCounts,
}

impl VersionCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &VersionCounts) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Difference to earlier counts.
    pub fn since(&self, earlier: &VersionCounts) -> VersionCounts {
        VersionCounts {
            new: self.new.since(&earlier.new),
            old: self.old.since(&earlier.old),
        }
    }
}

/// Response counts by route.
pub type RouteCounts = BTreeMap<RouteHash, VersionCounts>;

/// Cumulative counts of one router, as routers gossip them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterCounts {
    /// Incarnation of the router that counted the responses.
    pub router: u32,
    /// Total number of responses that the router counted.
    pub responses: u32,
    /// Counts of the router by route.
    pub routes: RouteCounts,
}

impl RouterCounts {
    /// Number of responses of the new version that failed or were slow.
    fn bad_responses(&self) -> u32 {
        let counts = self.routes.values().map(|counts| counts.new);
        counts.map(|new| new.failed.saturating_add(new.slow)).sum()
    }
}

/// Counts of the whole fleet, as far as one router knows them.
#[derive(Clone, Debug)]
pub struct FleetCounts {
    own: RouterCounts,
    others: BTreeMap<u32, RouterCounts>,
    /// Sums over all routers.
    totals: RouteCounts,
    /// Other routers with the most recent bad responses of the new version, the latest last.
    recent_bad: Vec<u32>,
    /// Offset of the next router whose counts are gossiped in turn, modulo their number.
    next_in_turn: usize,
}

impl FleetCounts {
    /// Creates empty counts; `router` is the incarnation of this router.
    pub fn new(router: u32) -> Self {
        FleetCounts {
            own: RouterCounts {
                router,
                ..RouterCounts::default()
            },
            others: BTreeMap::new(),
            totals: RouteCounts::new(),
            recent_bad: Vec::new(),
            next_in_turn: 0,
        }
    }

    /// Counts a response to one of this router's own requests.
    pub fn record(&mut self, route: RouteHash, is_new: bool, outcome: ResponseOutcome) {
        let routes = &mut self.own.routes;
        let is_separate = routes.contains_key(&route) || routes.len() < MAX_ROUTES;
        let route = if is_separate {
            route
        } else {
            RouteHash::OTHERS
        };
        for routes in [routes, &mut self.totals] {
            let counts = routes.entry(route).or_default();
            let version_counts = if is_new {
                &mut counts.new
            } else {
                &mut counts.old
            };
            version_counts.record(outcome);
        }
        self.own.responses += 1;
    }

    /// Merges the counts of another router. Returns whether they were new and are kept.
    pub fn merge(&mut self, received: &RouterCounts) -> bool {
        if received.router == self.own.router {
            return false;
        }
        let known = self.others.get(&received.router);
        if known.is_some_and(|known| known.responses >= received.responses) {
            return false;
        }
        if known.is_none() && self.others.len() >= MAX_INCARNATIONS {
            return false;
        }
        if received.bad_responses() > known.map_or(0, RouterCounts::bad_responses) {
            self.recent_bad.retain(|router| *router != received.router);
            self.recent_bad.push(received.router);
            if self.recent_bad.len() > MAX_GOSSIPED_RECENT_BAD {
                self.recent_bad.remove(0);
            }
        }
        let empty = RouteCounts::new();
        let before = known.map_or(&empty, |known| &known.routes);
        for (route, counts) in &received.routes {
            let before = before.get(route).copied().unwrap_or_default();
            let total = self.totals.entry(*route).or_default();
            total.add(&counts.since(&before));
        }
        self.others.insert(received.router, received.clone());
        true
    }

    /// Sums of the counts of all known routers.
    pub fn totals(&self) -> &RouteCounts {
        &self.totals
    }

    /// Counts to send to peers: those of this router, those of the routers with the most recent
    /// bad responses, and some of the others in turn.
    pub fn gossip(&mut self) -> Vec<RouterCounts> {
        let mut gossip = Vec::new();
        if self.own.responses > 0 {
            gossip.push(self.own.clone());
        }
        let recent_bad = self.recent_bad.iter().rev();
        gossip.extend(recent_bad.filter_map(|router| self.others.get(router).cloned()));
        let is_recent_bad = |counts: &&RouterCounts| self.recent_bad.contains(&counts.router);
        let rest: Vec<&RouterCounts> = self
            .others
            .values()
            .filter(|counts| !is_recent_bad(counts))
            .collect();
        let count = rest.len().min(MAX_GOSSIPED_IN_TURN);
        let first = self.next_in_turn.checked_rem(rest.len()).unwrap_or(0);
        gossip.extend(
            rest.iter()
                .cycle()
                .skip(first)
                .take(count)
                .map(|counts| (*counts).clone()),
        );
        self.next_in_turn = self.next_in_turn.wrapping_add(count);
        gossip
    }
}
