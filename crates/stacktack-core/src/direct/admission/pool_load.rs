//! How full a pool is as a whole, from news of its back ends of different age.

use std::time::Duration;

/// Newest reports that count most: enough for a mean whose error is a tenth.
const NEWEST: usize = 12;

/// Age over which a report loses most of its weight: that of the last of the newest
/// ones, but within these bounds. Under overload a pool's load changes by a quarter
/// within the longer one.
const SHORTEST_FRESH: Duration = Duration::from_millis(50);
const LONGEST_FRESH: Duration = Duration::from_millis(600);

/// Weight of news however old it is, so that a pool where all is old has a mean too.
const LEAST_WEIGHT: f64 = 0.02;

/// Share of the back ends whose load has to be known.
const KNOWN_SHARE: f64 = 0.5;

/// Fill of a pool, in slots, from which it is full; the error by chance comes on top.
const FULL_FROM: f64 = 0.9;

/// Load of a back end in a full pool, as a multiple of the mean, above which it is full
/// where loads are known late. Most have room then: how much the pool takes is decided for
/// the pool as a whole.
const FULL_ABOVE_MEAN: f64 = 1.25;

/// Age of what is known of a pool from which it is old.
const OLD: Duration = Duration::from_millis(100);

/// What is known of one back end's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds, from all routers.
    pub load: f64,
    /// Requests that it runs at a time; 0 where that is not known.
    pub slots: u32,
    /// Age of the news; `None` where nothing is known of it but the own requests.
    pub age: Option<Duration>,
}

impl LoadReport {
    /// Load that is left at a back end that gets no requests: those that it held end.
    ///
    /// What it told stays known for seconds, since nobody hears anew from it. Counted in
    /// full it makes the mean of a pool look higher than it is, and others get more than
    /// their bound: with a quarter of 42 back ends drained 3.4 to 6.3 in 100 requests
    /// went to one that held over twice the mean.
    pub fn residual_load(&self, hold_seconds: f64) -> f64 {
        let Some(age) = self.age else {
            return self.load;
        };
        self.load * (-age.as_secs_f64() / hold_seconds).exp()
    }
}

/// Load of a pool's back ends in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLoad {
    /// Number of back ends.
    pub back_ends: usize,
    /// Requests that one holds.
    pub mean_load: f64,
    /// Requests that one runs at a time.
    pub mean_slots: f64,
    /// Age of what is known.
    pub mean_age: Duration,
    /// Reports of the same weight that would give as sure a mean.
    reports: f64,
}

impl PoolLoad {
    /// The load of a pool with these back ends; newer news weighs more. `None` where
    /// the load of fewer than half is known: then the back ends themselves say whether
    /// they have room.
    pub fn from_reports(reports: &[LoadReport]) -> Option<Self> {
        let fresh = fresh_age(reports);
        let known: Vec<(f64, &LoadReport)> = reports
            .iter()
            .filter(|report| report.slots > 0)
            .filter_map(|report| Some((weight(report.age?, fresh), report)))
            .collect();
        if known.is_empty() || (known.len() as f64) < KNOWN_SHARE * reports.len() as f64 {
            return None;
        }
        let whole: f64 = known.iter().map(|(weight, _)| weight).sum();
        let mean = |of: fn(&LoadReport) -> f64| {
            let sum: f64 = known
                .iter()
                .map(|(weight, report)| weight * of(report))
                .sum();
            sum / whole
        };
        let squares: f64 = known.iter().map(|(weight, _)| weight * weight).sum();
        Some(PoolLoad {
            reports: whole * whole / squares,
            back_ends: reports.len(),
            mean_load: mean(|report| report.load),
            mean_slots: mean(|report| f64::from(report.slots)),
            mean_age: Duration::from_secs_f64(mean(|report| {
                report.age.unwrap_or_default().as_secs_f64()
            })),
        })
    }

    /// Load in multiples of the slots.
    pub fn fill(&self) -> f64 {
        self.mean_load / self.mean_slots
    }

    /// Limit of a back end in this pool, from its own limit.
    ///
    /// Where loads are known as they are now, each back end's own limit holds: a request
    /// that its home has no room for goes to one that has. With room up to a multiple of
    /// the mean it waited there instead (four routers, four days of overload of three
    /// seeds each: worth 0.709 in the mean, 0.744 without).
    pub fn back_end_limit(&self, own: f64) -> f64 {
        if self.is_full() {
            own.max(FULL_ABOVE_MEAN * self.mean_load * self.staleness())
        } else {
            own
        }
    }

    /// From 0, where the load is known as it is now, to 1, where that is old.
    pub fn staleness(&self) -> f64 {
        (self.mean_age.as_secs_f64() / OLD.as_secs_f64()).min(1.0)
    }

    /// Whether its slots are taken; below that nobody is refused.
    pub fn is_full(&self) -> bool {
        self.fill() >= self.full_threshold()
    }

    /// Fill from which it is full.
    pub fn full_threshold(&self) -> f64 {
        FULL_FROM + self.fill_error()
    }

    /// Error of its fill by chance: the requests in the reports that it is taken from
    /// vary by their square root.
    pub fn fill_error(&self) -> f64 {
        1.0 / (self.mean_slots * self.reports).sqrt()
    }

    /// Load of a back end that is to be expected: what was told a while ago says less
    /// the more requests began and ended since. A load above the mean stays as it was
    /// told. Without this, back ends of which the news is old and low get what all
    /// routers send at once.
    pub fn expected_load(&self, report: &LoadReport, hold_seconds: f64) -> f64 {
        let Some(age) = report.age.filter(|_| report.load < self.mean_load) else {
            return report.load;
        };
        let kept = (-age.as_secs_f64() / hold_seconds).exp();
        self.mean_load + (report.load - self.mean_load) * kept
    }
}

fn weight(age: Duration, fresh: Duration) -> f64 {
    let ratio = age.as_secs_f64() / fresh.as_secs_f64();
    (-ratio).exp().max(LEAST_WEIGHT)
}

/// Age over which a report loses most of its weight.
fn fresh_age(reports: &[LoadReport]) -> Duration {
    let mut ages: Vec<Duration> = reports.iter().filter_map(|report| report.age).collect();
    let Some(last) = ages.len().checked_sub(1) else {
        return LONGEST_FRESH;
    };
    let (_, age, _) = ages.select_nth_unstable(last.min(NEWEST));
    (*age).clamp(SHORTEST_FRESH, LONGEST_FRESH)
}
