//! How full a pool is as a whole, from load reports of different ages.

use std::time::Duration;

/// Number of newest reports that weigh most: enough for a mean with an error of a tenth.
const FRESH_REPORTS: usize = 12;

/// Minimum age over which a report loses most of its weight. The age is that of the report
/// after the [`FRESH_REPORTS`] newest ones, or of the oldest where there are fewer, but not
/// below this minimum.
const MIN_DECAY_AGE: Duration = Duration::from_millis(50);

/// Maximum age over which a report loses most of its weight: under overload a pool's load
/// changes by a quarter within this age.
const MAX_DECAY_AGE: Duration = Duration::from_millis(600);

/// Minimum weight of a report, so that a pool with only old reports has a mean too.
const MIN_WEIGHT: f64 = 0.02;

/// Minimum share of the back ends whose load and slots have to be known for a load of the
/// pool.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Fill of a pool, as a multiple of its slots, from which the pool is full; the random error
/// of the fill is added.
const FULL_FILL: f64 = 0.9;

/// Load of a back end in a full pool, as a multiple of the mean, from which the back end is
/// full where reports are stale. Most back ends have free capacity then: how much the pool
/// admits is decided for the pool as a whole.
const FULL_LOAD_OVER_MEAN: f64 = 1.25;

/// Multiple of the mean load that, plus [`SPILL_SLACK`], is about the load from which routers send
/// requests elsewhere.
const SPILL_OVER_MEAN: f64 = 1.5;

/// Requests that are added to [`SPILL_OVER_MEAN`] times the mean load.
const SPILL_SLACK: f64 = 2.0;

/// Multiple of that load from which all routers send requests elsewhere, however old their reports
/// are.
const AVOIDED_OVER_SPILL: f64 = 2.0;

/// Mean age of a pool's reports from which they are fully stale.
const STALE_AGE: Duration = Duration::from_millis(100);

/// Known load of one back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that the back end holds, from all routers.
    pub load: f64,
    /// Requests that the back end runs at a time; 0 where that is unknown.
    pub slots: u32,
    /// Age of the report; `None` where only this router's own requests are known.
    pub age: Option<Duration>,
}

impl LoadReport {
    /// Load that is left at a back end that gets no new requests, as those that it held end.
    ///
    /// The last report of such a back end stays known for seconds, since no router gets a
    /// newer one. Counted in full, that load makes the mean of the pool look higher than it
    /// is, and other back ends get more than their bound: with a quarter of 42 back ends
    /// drained, 3.4 to 6.3 in 100 requests went to one that held over twice the mean.
    pub fn residual_load(&self, hold_seconds: f64) -> f64 {
        let Some(age) = self.age else {
            return self.load;
        };
        self.load * (-age.as_secs_f64() / hold_seconds).exp()
    }
}

/// Load of a pool, as means over its back ends' reports; newer reports weigh more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLoad {
    /// Number of back ends.
    pub back_ends: usize,
    /// Mean number of requests that a back end holds.
    pub mean_load: f64,
    /// Mean number of requests that a back end runs at a time.
    pub mean_slots: f64,
    /// Mean age of the reports.
    pub mean_age: Duration,
    /// Number of equally weighted reports whose mean would be as precise.
    effective_reports: f64,
}

impl PoolLoad {
    /// The load of a pool with one report for each back end; newer reports weigh more.
    /// `None` where the load and slots of fewer than half of the back ends are known: then
    /// the back ends' own rejections show whether there is free capacity.
    pub fn from_reports(reports: &[LoadReport]) -> Option<Self> {
        let decay_age = decay_age(reports);
        let known: Vec<(f64, &LoadReport)> = reports
            .iter()
            .filter(|report| report.slots > 0)
            .filter_map(|report| Some((weight(report.age?, decay_age), report)))
            .collect();
        if known.is_empty() || (known.len() as f64) < MIN_KNOWN_SHARE * reports.len() as f64 {
            return None;
        }
        let sum: f64 = known.iter().map(|(weight, _)| weight).sum();
        let mean = |of: fn(&LoadReport) -> f64| {
            let weighted: f64 = known
                .iter()
                .map(|(weight, report)| weight * of(report))
                .sum();
            weighted / sum
        };
        let squares: f64 = known.iter().map(|(weight, _)| weight * weight).sum();
        Some(PoolLoad {
            effective_reports: sum * sum / squares,
            back_ends: reports.len(),
            mean_load: mean(|report| report.load),
            mean_slots: mean(|report| f64::from(report.slots)),
            mean_age: Duration::from_secs_f64(mean(|report| {
                report.age.unwrap_or_default().as_secs_f64()
            })),
        })
    }

    /// Load as a multiple of the slots.
    pub fn fill(&self) -> f64 {
        self.mean_load / self.mean_slots
    }

    /// Limit of a back end's load in this pool, from the back end's own limit.
    ///
    /// Where reports are current, each back end's own limit holds: a request whose home is
    /// full goes to a back end with free capacity, where it need not wait. In a full pool the
    /// limit rises with the staleness of the reports to `FULL_LOAD_OVER_MEAN` times the mean,
    /// unless the own limit is higher.
    pub fn back_end_limit(&self, own_limit: f64) -> f64 {
        if self.is_full() {
            own_limit.max(FULL_LOAD_OVER_MEAN * self.mean_load * self.staleness())
        } else {
            own_limit
        }
    }

    /// How stale the reports are: from 0 for current ones to 1 for stale ones.
    pub fn staleness(&self) -> f64 {
        (self.mean_age.as_secs_f64() / STALE_AGE.as_secs_f64()).min(1.0)
    }

    /// Whether the fill has reached [`Self::full_threshold`].
    pub fn is_full(&self) -> bool {
        self.fill() >= self.full_threshold()
    }

    /// Fill from which the pool is full.
    pub fn full_threshold(&self) -> f64 {
        FULL_FILL + self.fill_error()
    }

    /// Random error of the fill: the number of requests in the reports varies by its square
    /// root.
    pub fn fill_error(&self) -> f64 {
        1.0 / (self.mean_slots * self.effective_reports).sqrt()
    }

    /// Expected present load of a back end. A report says less the more requests began and
    /// ended since, so that a load below the mean approaches the mean with the age of the
    /// report; a load above the mean stays as reported. Without this, back ends with stale
    /// reports of low loads get what all routers send at once. A load so far above the mean that
    /// no router sends anything falls as requests end, down to where some may send again.
    pub fn expected_load(&self, report: &LoadReport, hold_seconds: f64) -> f64 {
        let spill_load = SPILL_OVER_MEAN * self.mean_load + SPILL_SLACK;
        if report.load > AVOIDED_OVER_SPILL * spill_load {
            return report.residual_load(hold_seconds).max(spill_load);
        }
        let Some(age) = report.age.filter(|_| report.load < self.mean_load) else {
            return report.load;
        };
        let kept = (-age.as_secs_f64() / hold_seconds).exp();
        self.mean_load + (report.load - self.mean_load) * kept
    }
}

fn weight(age: Duration, decay_age: Duration) -> f64 {
    let ratio = age.as_secs_f64() / decay_age.as_secs_f64();
    (-ratio).exp().max(MIN_WEIGHT)
}

/// Age over which a report loses most of its weight.
fn decay_age(reports: &[LoadReport]) -> Duration {
    let mut ages: Vec<Duration> = reports.iter().filter_map(|report| report.age).collect();
    let Some(last) = ages.len().checked_sub(1) else {
        return MAX_DECAY_AGE;
    };
    let (_, age, _) = ages.select_nth_unstable(last.min(FRESH_REPORTS));
    (*age).clamp(MIN_DECAY_AGE, MAX_DECAY_AGE)
}
