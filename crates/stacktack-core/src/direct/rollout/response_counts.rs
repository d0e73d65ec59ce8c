//! How answers of the new version and of the old one went, counted by route, in a form that
//! routers can merge.
//!
//! Each router counts its own answers since the order; what it tells is the whole count so
//! far. The newest count of each incarnation of a router replaces the one before, so that
//! news may arrive late, twice and in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::latency::log_latency_units;

/// Incarnations of routers whose counts are kept: a fleet of some hundred routers that
/// restart several times.
const MOST_ROUTERS: usize = 2048;

/// Routes that one router counts: more of one service are counted together.
const MOST_ROUTES: usize = 24;

/// Counts of others that are told at once: those with the newest bad answers, which have to
/// arrive early, and some in turn. The tests bear that bad answers arrive before good ones.
const TOLD_NEWEST: usize = 2;
const TOLD_IN_TURN: usize = 3;

/// Short form of a route's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteHash(u16);

impl RouteHash {
    /// All further routes of a router that serves too many to count each.
    const OTHERS: RouteHash = RouteHash(0);

    /// From a route's name.
    pub fn of(name: &str) -> Self {
        RouteHash(xxh3_64(name.as_bytes()) as u16)
    }
}

/// How answers of one version went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Answers, failed ones included.
    pub responses: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that did not fail and were slow.
    pub slow: u32,
    /// Sum of the logarithms of the times that those took which did not fail.
    pub log_latency_sum: u32,
}

/// How one answer went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// It did not fail.
    Succeeded {
        /// Time to its first byte.
        latency: Duration,
        /// Whether that was slow.
        is_slow: bool,
    },
    /// It failed.
    Failed,
}

impl ResponseCounts {
    fn record(&mut self, grade: ResponseOutcome) {
        self.responses += 1;
        match grade {
            ResponseOutcome::Failed => self.failed += 1,
            ResponseOutcome::Succeeded { latency, is_slow } => {
                self.slow += u32::from(is_slow);
                self.log_latency_sum = self
                    .log_latency_sum
                    .saturating_add(log_latency_units(latency));
            }
        }
    }

    /// Adds another count.
    pub fn add(&mut self, other: &ResponseCounts) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
        self.log_latency_sum = self.log_latency_sum.saturating_add(other.log_latency_sum);
    }

    /// What was counted after an earlier count.
    pub fn since(&self, earlier: &ResponseCounts) -> ResponseCounts {
        ResponseCounts {
            responses: self.responses.saturating_sub(earlier.responses),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            log_latency_sum: self.log_latency_sum.saturating_sub(earlier.log_latency_sum),
        }
    }
}

/// How answers on one route went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Of the new version.
    pub new: ResponseCounts,
    /// Of the old one.
    pub old: ResponseCounts,
}

impl VersionCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &VersionCounts) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// What was counted after earlier counts.
    pub fn since(&self, earlier: &VersionCounts) -> VersionCounts {
        VersionCounts {
            new: self.new.since(&earlier.new),
            old: self.old.since(&earlier.old),
        }
    }
}

/// Counts by route.
pub type RouteCounts = BTreeMap<RouteHash, VersionCounts>;

/// The counts of one router as routers tell them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterCounts {
    /// Incarnation of the router that counted.
    pub router: u32,
    /// Answers that it counted in all.
    pub responses: u32,
    /// Its counts.
    pub routes: RouteCounts,
}

impl RouterCounts {
    /// Answers of the new version that failed or were slow.
    fn bad(&self) -> u32 {
        let counts = self.routes.values().map(|counts| counts.new);
        counts.map(|new| new.failed.saturating_add(new.slow)).sum()
    }
}

/// Counts of the whole fleet as far as one router knows them.
#[derive(Clone, Debug)]
pub struct FleetCounts {
    own: RouterCounts,
    others: BTreeMap<u32, RouterCounts>,
    /// Sums of all counts.
    totals: RouteCounts,
    /// Others with new bad answers, the newest last.
    newest: Vec<u32>,
    /// Place of the next one to be told in turn.
    turn: usize,
}

impl FleetCounts {
    /// Nothing is counted; `router` is the incarnation of this one.
    pub fn new(router: u32) -> Self {
        FleetCounts {
            own: RouterCounts {
                router,
                ..RouterCounts::default()
            },
            others: BTreeMap::new(),
            totals: RouteCounts::new(),
            newest: Vec::new(),
            turn: 0,
        }
    }

    /// An answer of this router's own.
    pub fn record(&mut self, route: RouteHash, is_new: bool, grade: ResponseOutcome) {
        let routes = &mut self.own.routes;
        let is_counted = routes.contains_key(&route) || routes.len() < MOST_ROUTES;
        let route = if is_counted { route } else { RouteHash::OTHERS };
        for routes in [routes, &mut self.totals] {
            let counts = routes.entry(route).or_default();
            let side = if is_new {
                &mut counts.new
            } else {
                &mut counts.old
            };
            side.record(grade);
        }
        self.own.responses += 1;
    }

    /// Takes the counts of another router. Returns whether they are news.
    pub fn merge(&mut self, news: &RouterCounts) -> bool {
        if news.router == self.own.router {
            return false;
        }
        let known = self.others.get(&news.router);
        if known.is_some_and(|known| known.responses >= news.responses) {
            return false;
        }
        if known.is_none() && self.others.len() >= MOST_ROUTERS {
            return false;
        }
        if news.bad() > known.map_or(0, RouterCounts::bad) {
            self.newest.retain(|router| *router != news.router);
            self.newest.push(news.router);
            if self.newest.len() > TOLD_NEWEST {
                self.newest.remove(0);
            }
        }
        let nothing = RouteCounts::new();
        let before = known.map_or(&nothing, |known| &known.routes);
        for (route, counts) in &news.routes {
            let before = before.get(route).copied().unwrap_or_default();
            let total = self.totals.entry(*route).or_default();
            total.add(&counts.since(&before));
        }
        self.others.insert(news.router, news.clone());
        true
    }

    /// Counts of all routers that are known.
    pub fn totals(&self) -> &RouteCounts {
        &self.totals
    }

    /// Counts to tell others: the own ones, those with the newest bad answers, and some in turn.
    pub fn gossip(&mut self) -> Vec<RouterCounts> {
        let mut told = Vec::new();
        if self.own.responses > 0 {
            told.push(self.own.clone());
        }
        let newest = self.newest.iter().rev();
        told.extend(newest.filter_map(|router| self.others.get(router).cloned()));
        let is_told = |news: &&RouterCounts| self.newest.contains(&news.router);
        let rest: Vec<&RouterCounts> = self.others.values().filter(|news| !is_told(news)).collect();
        let count = rest.len().min(TOLD_IN_TURN);
        let first = self.turn.checked_rem(rest.len()).unwrap_or(0);
        told.extend(
            rest.iter()
                .cycle()
                .skip(first)
                .take(count)
                .map(|news| (*news).clone()),
        );
        self.turn = self.turn.wrapping_add(count);
        told
    }
}
