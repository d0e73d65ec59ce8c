//! Detects whether a new version responds worse than the old one, by sequential tests over the
//! counts of the fleet.
//!
//! For each route and for all routes together, errors and slow responses each move two scores
//! by the log-likelihood ratio of a regressed version to one like the old version (SPRT). One
//! score never falls below zero (CUSUM), so that a version that regresses late is detected as
//! fast as one that is bad from the start; the other score is the plain sum and accepts the
//! version. The baseline is the old version's recent share of bad responses, and its share since
//! the CUSUM score began to rise: a fault that affects both versions counts against neither.

use std::collections::BTreeMap;

use super::response_counts::{ResponseCounts, RouteCounts, RouteHash, VersionCounts};

/// CUSUM score from which a version has regressed: regressed is 10,000 times likelier than not.
const REGRESSION_SCORE: f64 = 9.2;

/// Total score up to which a version is accepted over all routes together: not regressed is 20
/// times likelier.
const ACCEPTANCE_SCORE: f64 = -3.0;

/// Total score up to which a version is accepted on a single route.
const ROUTE_ACCEPTANCE_SCORE: f64 = -2.0;

/// Minimum share of the old version's responses from which a route has to be accepted by itself.
const MIN_ROUTE_SHARE: f64 = 0.05;

/// Multiple of the baseline share of bad responses that is tolerated.
const TOLERATED_FACTOR: f64 = 1.5;

/// Minimum share of bad responses that is tolerated.
const MIN_TOLERATED_SHARE: f64 = 0.02;

/// Maximum share of bad responses that is tolerated.
const MAX_TOLERATED_SHARE: f64 = 0.6;

/// Multiple of the tolerated share of bad responses that is a regression.
const REGRESSED_FACTOR: f64 = 2.0;

/// Minimum share of bad responses that is a regression.
const MIN_REGRESSED_SHARE: f64 = 0.15;

/// Maximum share of bad responses that is required for a regression.
const MAX_REGRESSED_SHARE: f64 = 0.95;

/// Minimum number of responses of the old version, since the CUSUM score began to rise, with
/// which the versions can be compared: on the same route, or else on all routes.
const MIN_COMPARED_RESPONSES: f64 = 10.0;

/// Multiple of [`REGRESSION_SCORE`] that is required while the versions cannot be compared.
const UNCOMPARED_SCORE_FACTOR: f64 = 4.0;

/// Number of recent responses of the old version with which the new version is compared. Older
/// responses lose their weight, since a fault that affects both versions may have begun after the
/// score began to rise.
const COMPARISON_WINDOW_RESPONSES: f64 = 60.0;

/// Number of standard deviations by which the old version's share of bad responses is assumed to
/// be above the observed share.
const UPPER_BOUND_DEVIATIONS: f64 = 1.5;

/// Number of recent responses of the old version over which the baseline share is taken.
const BASELINE_WINDOW_RESPONSES: f64 = 200.0;

/// Number of good responses that are assumed before the first observed one.
const PRIOR_GOOD_RESPONSES: f64 = 10.0;

/// Way in which a version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegressionKind {
    /// More of its responses fail.
    Errors,
    /// More of its responses are slow.
    Slowness,
}

impl RegressionKind {
    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RegressionKind::Errors => "errors",
            RegressionKind::Slowness => "slowness",
        }
    }
}

/// A detected regression of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Regression {
    /// Route on which it was detected; `None` for all routes together.
    pub route: Option<RouteHash>,
    /// Way in which the new version is worse.
    pub kind: RegressionKind,
    /// Known responses of the new version, on that route or on all routes.
    pub counts: ResponseCounts,
}

/// Sequential tests of one new version.
#[derive(Clone, Debug, Default)]
pub struct RegressionDetector {
    /// Cumulative counts as of the last update.
    previous: RouteCounts,
    routes: BTreeMap<RouteHash, RouteTest>,
    all_routes: RouteTest,
}

impl RegressionDetector {
    /// Updates the tests with the cumulative counts so far; returns the regression that they show,
    /// if any.
    pub fn update(&mut self, totals: &RouteCounts) -> Option<Regression> {
        let mut deltas = RouteCounts::new();
        let mut all = VersionCounts::default();
        let mut all_delta = VersionCounts::default();
        for (route, counts) in totals {
            let previous = self.previous.get(route).copied().unwrap_or_default();
            let delta = counts.since(&previous);
            all.add(counts);
            all_delta.add(&delta);
            deltas.insert(*route, delta);
        }
        let mut found = None;
        for (route, delta) in &deltas {
            let test = self.routes.entry(*route).or_default();
            let regression = test.update(delta, &all_delta.old).map(|kind| Regression {
                route: Some(*route),
                kind,
                counts: totals.get(route).copied().unwrap_or_default().new,
            });
            found = found.or(regression);
        }
        self.previous.clone_from(totals);
        let on_all_routes = self
            .all_routes
            .update(&all_delta, &all_delta.old)
            .map(|kind| Regression {
                route: None,
                kind,
                counts: all.new,
            });
        found.or(on_all_routes)
    }

    /// Whether the counts so far accept the version: over all routes together and, if `each_route`
    /// is set, on each route with at least `MIN_ROUTE_SHARE` of the old version's responses.
    pub fn is_accepted(&self, each_route: bool) -> bool {
        let responses: u32 = self
            .previous
            .values()
            .map(|counts| counts.old.responses)
            .sum();
        let is_large = |route: &RouteHash| {
            let counts = self.previous.get(route);
            let old = counts.map_or(0, |counts| counts.old.responses);
            f64::from(old) >= MIN_ROUTE_SHARE * f64::from(responses)
        };
        let mut routes = self.routes.iter();
        self.all_routes.is_accepted(ACCEPTANCE_SCORE)
            && routes.all(|(route, test)| {
                !each_route || !is_large(route) || test.is_accepted(ROUTE_ACCEPTANCE_SCORE)
            })
    }
}

#[derive(Clone, Debug, Default)]
struct RouteTest {
    errors: ShareTest,
    slowness: ShareTest,
}

impl RouteTest {
    /// Updates the tests with new responses of both versions on this route, and of the old version
    /// on all routes.
    fn update(&mut self, delta: &VersionCounts, all: &ResponseCounts) -> Option<RegressionKind> {
        let VersionCounts { new, old } = delta;
        // Failed responses say nothing about latency.
        let succeeded = |counts: &ResponseCounts| counts.responses.saturating_sub(counts.failed);
        let (errors, all_errors) = (old.failed, all.failed);
        self.errors
            .update_baseline((errors, old.responses), (all_errors, all.responses));
        self.slowness
            .update_baseline((old.slow, succeeded(old)), (all.slow, succeeded(all)));
        if self.errors.update(new.failed, new.responses) {
            return Some(RegressionKind::Errors);
        }
        let is_slow = self.slowness.update(new.slow, succeeded(new));
        is_slow.then_some(RegressionKind::Slowness)
    }

    fn is_accepted(&self, score: f64) -> bool {
        self.errors.total_score <= score && self.slowness.total_score <= score
    }
}

/// Number of responses, and of the bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct BadShare {
    responses: f64,
    bad: f64,
}

impl BadShare {
    fn add(&mut self, bad: u32, responses: u32) {
        self.responses += f64::from(responses);
        self.bad += f64::from(bad);
    }

    /// Scales the counts down to at most `window` responses, so that older responses lose weight.
    fn limit(&mut self, window: f64) {
        if self.responses > window {
            self.bad *= window / self.responses;
            self.responses = window;
        }
    }

    /// Share of bad responses, including [`PRIOR_GOOD_RESPONSES`].
    fn value(&self) -> f64 {
        self.bad / (self.responses + PRIOR_GOOD_RESPONSES)
    }

    /// Upper bound that the true share hardly exceeds: a low share of few responses may be chance.
    fn upper_bound(&self) -> f64 {
        (self.bad + UPPER_BOUND_DEVIATIONS * (self.bad + 1.0).sqrt()) / self.responses.max(1.0)
    }

    /// Log-likelihood ratio of these responses: of a regressed version to one like the old
    /// version, whose share of bad responses is `baseline`.
    fn score(&self, baseline: f64) -> f64 {
        let tolerated =
            (baseline * TOLERATED_FACTOR).clamp(MIN_TOLERATED_SHARE, MAX_TOLERATED_SHARE);
        let regressed =
            (tolerated * REGRESSED_FACTOR).clamp(MIN_REGRESSED_SHARE, MAX_REGRESSED_SHARE);
        let good = self.responses - self.bad;
        self.bad * (regressed / tolerated).ln()
            + good * ((1.0 - regressed) / (1.0 - tolerated)).ln()
    }
}

/// Sequential test of one share of bad responses.
#[derive(Clone, Copy, Debug, Default)]
struct ShareTest {
    /// Recent responses of the old version.
    baseline: BadShare,
    /// CUSUM score, never below zero.
    cusum_score: f64,
    /// Sum of all score increments.
    total_score: f64,
    /// Responses of the new version since the CUSUM score was zero.
    rising_new: BadShare,
    /// Recent responses of the old version on this route since the CUSUM score was zero.
    rising_old: BadShare,
    /// Recent responses of the old version on all routes since the CUSUM score was zero.
    rising_old_all_routes: BadShare,
}

impl ShareTest {
    /// Adds responses of the old version, on this route and on all routes, each as the number of
    /// bad ones and of all.
    fn update_baseline(&mut self, old: (u32, u32), all: (u32, u32)) {
        self.baseline.add(old.0, old.1);
        self.baseline.limit(BASELINE_WINDOW_RESPONSES);
        self.rising_old.add(old.0, old.1);
        self.rising_old.limit(COMPARISON_WINDOW_RESPONSES);
        self.rising_old_all_routes.add(all.0, all.1);
        self.rising_old_all_routes
            .limit(COMPARISON_WINDOW_RESPONSES);
    }

    /// Adds responses of the new version; returns whether it has regressed.
    fn update(&mut self, bad: u32, responses: u32) -> bool {
        let mut delta = BadShare::default();
        delta.add(bad, responses);
        let increment = delta.score(self.baseline.value());
        self.total_score += increment;
        self.cusum_score = (self.cusum_score + increment).max(0.0);
        if self.cusum_score == 0.0 {
            self.rising_new = BadShare::default();
            self.rising_old = BadShare::default();
            self.rising_old_all_routes = BadShare::default();
            return false;
        }
        self.rising_new.add(bad, responses);
        self.cusum_score >= REGRESSION_SCORE && self.is_confirmed()
    }

    /// Whether the new version is worse than the old one was while the CUSUM score rose.
    fn is_confirmed(&self) -> bool {
        let compared = [self.rising_old, self.rising_old_all_routes]
            .into_iter()
            .find(|old| old.responses >= MIN_COMPARED_RESPONSES);
        let concurrent = compared.map_or(0.0, |old| old.upper_bound());
        let score = self.rising_new.score(self.baseline.value().max(concurrent));
        score
            >= compared.map_or(UNCOMPARED_SCORE_FACTOR * REGRESSION_SCORE, |_| {
                REGRESSION_SCORE
            })
    }
}
