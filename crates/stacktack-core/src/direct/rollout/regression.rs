//! Whether a new version answers worse than the old one: sequential tests over the counts
//! of the fleet.
//!
//! For each route and for all together, errors and slowness each move two scores by the
//! logarithm of how much likelier an answer is of a harmful version than of one that is
//! like the old (SPRT). One score never falls below zero (CUSUM), so that a version that
//! turns bad late is found as soon as one that is bad at once; the other adds up all that
//! speaks for the version. What is usual is the old version's share of late, and since the
//! score began to rise: what strikes both versions alike speaks against neither.

use std::collections::BTreeMap;

use super::response_counts::{ResponseCounts, RouteCounts, RouteHash, VersionCounts};

/// Score from which a version is harmful: 10,000 times likelier harmful than not.
const HARMFUL: f64 = 9.2;

/// Score from which a version is good over all routes together: 20 times likelier.
const GOOD: f64 = -3.0;

/// The same on each single route.
const GOOD_ON_ROUTE: f64 = -2.0;

/// Share of the old version's answers from which a route has to be proved by itself.
const ROUTE_SHARE: f64 = 0.05;

/// Bad share that is borne: a multiple of the usual one, within bounds.
const BORNE_FACTOR: f64 = 1.5;
const LEAST_BORNE: f64 = 0.02;
const MOST_BORNE: f64 = 0.6;

/// Bad share that is harmful: a multiple of the one that is borne, within bounds.
const HARM_FACTOR: f64 = 2.0;
const LEAST_HARM: f64 = 0.15;
const MOST_HARM: f64 = 0.95;

/// Answers of the old version, since a score began to rise, from which the versions can be
/// compared: on the same route, else on all. With fewer it takes several times the score.
const COMPARED_ANSWERS: f64 = 10.0;
const UNCOMPARED: f64 = 4.0;

/// Answers of the old version that it is compared by: the last ones, since what strikes both
/// versions may have begun after the score.
const MEANWHILE_ANSWERS: f64 = 60.0;

/// Standard deviations that the old version's share is taken to be above what shows.
const LUCK: f64 = 1.5;

/// Answers of the old version that the usual share is taken over.
const USUAL_ANSWERS: f64 = 200.0;

/// Answers without a bad one that are assumed before the first.
const ASSUMED_ANSWERS: f64 = 10.0;

/// In what a version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegressionKind {
    /// More of its answers fail.
    Errors,
    /// More of its answers are slow.
    Slowness,
}

impl RegressionKind {
    /// Fixed word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RegressionKind::Errors => "errors",
            RegressionKind::Slowness => "slowness",
        }
    }
}

/// What a version was found harmful by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Regression {
    /// The route; `None` for all together.
    pub route: Option<RouteHash>,
    /// In what it is worse.
    pub kind: RegressionKind,
    /// Answers of the new version that are known.
    pub counts: ResponseCounts,
}

/// Tests of one version.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    seen: RouteCounts,
    routes: BTreeMap<RouteHash, RouteTest>,
    together: RouteTest,
}

impl RegressionDetector {
    /// Takes the counts so far; returns the harm that they show, if any.
    pub fn take(&mut self, totals: &RouteCounts) -> Option<Regression> {
        let mut news = RouteCounts::new();
        let mut all = VersionCounts::default();
        let mut all_news = VersionCounts::default();
        for (route, counts) in totals {
            let seen = self.seen.get(route).copied().unwrap_or_default();
            let since = counts.since(&seen);
            all.add(counts);
            all_news.add(&since);
            news.insert(*route, since);
        }
        let mut found = None;
        for (route, news) in &news {
            let test = self.routes.entry(*route).or_default();
            let harm = test.take(news, &all_news.old).map(|kind| Regression {
                route: Some(*route),
                kind,
                counts: totals.get(route).copied().unwrap_or_default().new,
            });
            found = found.or(harm);
        }
        self.seen.clone_from(totals);
        let together = self
            .together
            .take(&all_news, &all_news.old)
            .map(|kind| Regression {
                route: None,
                kind,
                counts: all.new,
            });
        found.or(together)
    }

    /// Whether the counts so far speak for the version: over all routes together, and on
    /// each that gets much of the traffic if `on_each` is asked for.
    pub fn is_good(&self, on_each: bool) -> bool {
        let answers: u32 = self.seen.values().map(|counts| counts.old.responses).sum();
        let is_large = |route: &RouteHash| {
            let counts = self.seen.get(route);
            let old = counts.map_or(0, |counts| counts.old.responses);
            f64::from(old) >= ROUTE_SHARE * f64::from(answers)
        };
        let mut routes = self.routes.iter();
        self.together.is_good(GOOD)
            && routes
                .all(|(route, test)| !on_each || !is_large(route) || test.is_good(GOOD_ON_ROUTE))
    }
}

#[derive(Clone, Debug, Default)]
struct RouteTest {
    errors: ShareTest,
    slowness: ShareTest,
}

impl RouteTest {
    /// Takes news of both versions, and of the old one on all routes.
    fn take(&mut self, news: &VersionCounts, all: &ResponseCounts) -> Option<RegressionKind> {
        let VersionCounts { new, old } = news;
        // Failed answers say nothing of speed.
        let ran = |counts: &ResponseCounts| counts.responses.saturating_sub(counts.failed);
        let (errors, all_errors) = (old.failed, all.failed);
        self.errors
            .take_usual((errors, old.responses), (all_errors, all.responses));
        self.slowness
            .take_usual((old.slow, ran(old)), (all.slow, ran(all)));
        if self.errors.take(new.failed, new.responses) {
            return Some(RegressionKind::Errors);
        }
        let is_slow = self.slowness.take(new.slow, ran(new));
        is_slow.then_some(RegressionKind::Slowness)
    }

    fn is_good(&self, score: f64) -> bool {
        self.errors.sum <= score && self.slowness.sum <= score
    }
}

/// Answers and the bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    answers: f64,
    bad: f64,
}

impl Share {
    fn add(&mut self, bad: u32, answers: u32) {
        self.answers += f64::from(answers);
        self.bad += f64::from(bad);
    }

    fn keep(&mut self, answers: f64) {
        if self.answers > answers {
            self.bad *= answers / self.answers;
            self.answers = answers;
        }
    }

    /// The share of bad ones.
    fn value(&self) -> f64 {
        self.bad / (self.answers + ASSUMED_ANSWERS)
    }

    /// A share that the true one is hardly above: what few answers show may be luck.
    fn upper_value(&self) -> f64 {
        (self.bad + LUCK * (self.bad + 1.0).sqrt()) / self.answers.max(1.0)
    }

    /// Logarithm of how much likelier these answers are of a harmful version than of one
    /// that is like the old, where that has a usual share.
    fn score(&self, usual: f64) -> f64 {
        let borne = (usual * BORNE_FACTOR).clamp(LEAST_BORNE, MOST_BORNE);
        let harm = (borne * HARM_FACTOR).clamp(LEAST_HARM, MOST_HARM);
        let good = self.answers - self.bad;
        self.bad * (harm / borne).ln() + good * ((1.0 - harm) / (1.0 - borne)).ln()
    }
}

/// Test of one share of bad answers.
#[derive(Clone, Copy, Debug, Default)]
struct ShareTest {
    /// The old version's answers of late.
    usual: Share,
    score: f64,
    sum: f64,
    /// Answers of both versions since the score was zero.
    rising: Share,
    rising_old: Share,
    /// Answers of the old version on all routes since then.
    rising_all: Share,
}

impl ShareTest {
    /// Takes answers of the old version, on this route and on all.
    fn take_usual(&mut self, old: (u32, u32), all: (u32, u32)) {
        self.usual.add(old.0, old.1);
        self.usual.keep(USUAL_ANSWERS);
        self.rising_old.add(old.0, old.1);
        self.rising_old.keep(MEANWHILE_ANSWERS);
        self.rising_all.add(all.0, all.1);
        self.rising_all.keep(MEANWHILE_ANSWERS);
    }

    /// Takes answers of the new version; returns whether it is harmful.
    fn take(&mut self, bad: u32, answers: u32) -> bool {
        let mut news = Share::default();
        news.add(bad, answers);
        let step = news.score(self.usual.value());
        self.sum += step;
        self.score = (self.score + step).max(0.0);
        if self.score == 0.0 {
            self.rising = Share::default();
            self.rising_old = Share::default();
            self.rising_all = Share::default();
            return false;
        }
        self.rising.add(bad, answers);
        self.score >= HARMFUL && self.is_confirmed()
    }

    /// Whether the new version does worse than the old one did meanwhile.
    fn is_confirmed(&self) -> bool {
        let compared = [self.rising_old, self.rising_all]
            .into_iter()
            .find(|old| old.answers >= COMPARED_ANSWERS);
        let meanwhile = compared.map_or(0.0, |old| old.upper_value());
        let score = self.rising.score(self.usual.value().max(meanwhile));
        score >= compared.map_or(UNCOMPARED * HARMFUL, |_| HARMFUL)
    }
}
