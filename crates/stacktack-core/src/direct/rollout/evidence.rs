//! How answers of the new version and of the old one went, counted by route, in a form that
//! routers can merge.
//!
//! Each router counts its own answers since the order; what it tells is the whole count so
//! far, of some of its routes. The newest count of a route by each incarnation of a router replaces
//! the one before, so that news may arrive late, twice and in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::speed::speed_units;

/// Incarnations of routers whose counts are kept: a fleet of some hundred routers that
/// restart several times.
const MOST_ROUTERS: usize = 2048;

/// Routes that one router counts: more of one service are counted together.
const MOST_ROUTES: usize = 24;

/// Counts of others that are told first: those with the newest bad answers, which have to
/// arrive early. The tests bear that bad answers arrive before good ones.
const TOLD_NEWEST: usize = 2;

/// Room of what is told at once, in bytes, and how much of it a router and a route take.
const TOLD_BYTES: usize = 230;
const ROUTER_BYTES: usize = 8;
const ROUTE_BYTES: usize = 13;

/// Most of its own routes that a router tells at once: others in turn.
const TOLD_OWN_ROUTES: usize = 8;

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
pub struct AnswerCounts {
    /// Answers, failed ones included.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that did not fail and were slow.
    pub slow: u32,
    /// Sum of the logarithms of the times that those took which did not fail.
    pub speed: u32,
}

/// How one answer went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerGrade {
    /// It did not fail.
    Whole {
        /// Time to its first byte.
        took: Duration,
        /// Whether that was slow.
        slow: bool,
    },
    /// It failed.
    Failed,
}

impl AnswerCounts {
    fn count(&mut self, grade: AnswerGrade) {
        self.answers += 1;
        match grade {
            AnswerGrade::Failed => self.failed += 1,
            AnswerGrade::Whole { took, slow } => {
                self.slow += u32::from(slow);
                self.speed = self.speed.saturating_add(speed_units(took));
            }
        }
    }

    /// Those that failed or were slow.
    fn bad(&self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// Adds another count.
    pub fn add(&mut self, other: &AnswerCounts) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
        self.speed = self.speed.saturating_add(other.speed);
    }

    /// What was counted after an earlier count.
    pub fn since(&self, earlier: &AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            speed: self.speed.saturating_sub(earlier.speed),
        }
    }
}

/// How answers on one route went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Of the new version.
    pub new: AnswerCounts,
    /// Of the old one.
    pub old: AnswerCounts,
}

impl VersionCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &VersionCounts) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Answers of both versions.
    fn answers(&self) -> u32 {
        self.new.answers.saturating_add(self.old.answers)
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
pub struct EvidenceNews {
    /// Incarnation of the router that counted.
    pub router: u32,
    /// Answers that it counted in all.
    pub counted: u32,
    /// Its counts.
    pub routes: RouteCounts,
}

impl EvidenceNews {
    /// Counts of routes that the new version answered on: others know enough of the old one.
    fn of_new(&self) -> EvidenceNews {
        let routes = self.routes.iter();
        EvidenceNews {
            routes: routes
                .filter(|(_, counts)| counts.new.answers > 0)
                .map(|(route, counts)| (*route, *counts))
                .collect(),
            ..*self
        }
    }

    /// Whether the new version answered.
    fn has_new(&self) -> bool {
        let mut routes = self.routes.values();
        routes.any(|counts| counts.new.answers > 0)
    }

    /// Bytes that it takes to tell them, about.
    fn bytes(&self) -> usize {
        ROUTER_BYTES + ROUTE_BYTES * self.routes.len()
    }

    /// Answers of the new version that failed or were slow.
    fn bad(&self) -> u32 {
        self.routes.values().map(|counts| counts.new.bad()).sum()
    }

    /// The same of the old version.
    fn bad_of_old(&self) -> u32 {
        self.routes.values().map(|counts| counts.old.bad()).sum()
    }
}

/// Counts of another router.
#[derive(Clone, Debug, Default)]
struct KnownEvidence {
    news: EvidenceNews,
    /// How often they were told since the new version answered there.
    told: u32,
}

/// Counts of the whole fleet as far as one router knows them.
#[derive(Clone, Debug)]
pub struct FleetEvidence {
    router: u32,
    /// Number of the count that is under way.
    number: u32,
    own: EvidenceNews,
    others: BTreeMap<u32, KnownEvidence>,
    /// Sums of all counts.
    totals: RouteCounts,
    /// Others with new bad answers, the newest last.
    newest: Vec<u32>,
    /// Place of the own route to be told next.
    own_turn: usize,
}

impl FleetEvidence {
    /// Nothing is counted; `router` is the incarnation of this one.
    pub fn new(router: u32) -> Self {
        FleetEvidence {
            router,
            number: 0,
            own: EvidenceNews {
                router,
                ..EvidenceNews::default()
            },
            others: BTreeMap::new(),
            totals: RouteCounts::new(),
            newest: Vec::new(),
            own_turn: 0,
        }
    }

    /// Counts anew from now on, as another router would: those who hear of this one late do not
    /// take what was long ago for what is now.
    pub fn begin_count(&mut self, number: u32) {
        if number <= self.number {
            return;
        }
        self.number = number;
        let name = [self.router.to_be_bytes(), number.to_be_bytes()].concat();
        let next = EvidenceNews {
            router: xxh3_64(&name) as u32,
            ..EvidenceNews::default()
        };
        let news = std::mem::replace(&mut self.own, next);
        self.own_turn = 0;
        if news.counted > 0 && self.others.len() < MOST_ROUTERS {
            let known = KnownEvidence { news, told: 0 };
            self.others.insert(known.news.router, known);
        }
    }

    /// An answer of this router's own.
    pub fn count(&mut self, route: RouteHash, is_new: bool, grade: AnswerGrade) {
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
            side.count(grade);
        }
        self.own.counted += 1;
    }

    /// This router's own bad answers, of the new version or of both.
    pub fn own_bad(&self, of_both: bool) -> u32 {
        match of_both {
            true => self.own.bad() + self.own.bad_of_old(),
            false => self.own.bad(),
        }
    }

    /// Takes the counts of another router. Returns whether they are news.
    pub fn merge(&mut self, news: &EvidenceNews) -> bool {
        if news.router == self.own.router {
            return false;
        }
        if !self.others.contains_key(&news.router) && self.others.len() >= MOST_ROUTERS {
            return false;
        }
        let entry = self.others.entry(news.router).or_default();
        let known = &mut entry.news;
        known.router = news.router;
        let bad = known.bad();
        let mut is_news = false;
        for (route, counts) in &news.routes {
            if !known.routes.contains_key(route) && known.routes.len() > MOST_ROUTES {
                continue;
            }
            let before = known.routes.entry(*route).or_default();
            if before.answers() >= counts.answers() {
                continue;
            }
            if counts.new.answers > before.new.answers {
                entry.told = 0;
            }
            let total = self.totals.entry(*route).or_default();
            total.add(&counts.since(before));
            *before = *counts;
            is_news = true;
        }
        known.counted = known.counted.max(news.counted);
        if known.bad() > bad {
            self.newest.retain(|router| *router != news.router);
            self.newest.push(news.router);
            if self.newest.len() > TOLD_NEWEST {
                self.newest.remove(0);
            }
        }
        is_news
    }

    /// Routers that counted, as far as is known, this one included: at least so many.
    pub fn routers(&self) -> usize {
        self.others.len() / (self.number as usize + 1) + 1
    }

    /// Counts of all routers that are known.
    pub fn totals(&self) -> &RouteCounts {
        &self.totals
    }

    /// Counts to tell others: own ones, those with the newest bad answers, and some in turn.
    pub fn told(&mut self) -> Vec<EvidenceNews> {
        let mut told = Vec::new();
        if self.own.counted > 0 {
            told.push(self.told_own());
        }
        let newest = self.newest.iter().rev();
        told.extend(newest.filter_map(|router| Some(self.others.get(router)?.news.of_new())));
        let mut room = TOLD_BYTES.saturating_sub(told.iter().map(EvidenceNews::bytes).sum());
        let newest = &self.newest;
        let rest = self.others.values_mut();
        let mut rest: Vec<&mut KnownEvidence> = rest
            .filter(|known| !newest.contains(&known.news.router))
            .collect();
        // What was told most seldom is what others know least.
        rest.sort_by_key(|known| (!known.news.has_new(), known.told));
        for known in rest {
            let news = match known.news.has_new() {
                true => known.news.of_new(),
                false => known.news.clone(),
            };
            let bytes = news.bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            known.told = known.told.saturating_add(1);
            told.push(news);
        }
        told
    }

    /// Own counts of as many routes as are told at once.
    fn told_own(&mut self) -> EvidenceNews {
        let routes = self.own.routes.iter();
        let count = self.own.routes.len();
        let told = routes
            .cycle()
            .skip(self.own_turn)
            .take(count.min(TOLD_OWN_ROUTES));
        let routes = told.map(|(route, counts)| (*route, *counts)).collect();
        if count > TOLD_OWN_ROUTES {
            self.own_turn = (self.own_turn + TOLD_OWN_ROUTES) % count;
        }
        EvidenceNews { routes, ..self.own }
    }
}
