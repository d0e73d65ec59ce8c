//! How long work takes at one back end, relative to its pool.
//!
//! Two causes are kept apart. A machine that is always slower is learned from this router's
//! responses. A machine whose other workloads take its time at the moment reports so; an old report
//! tells little, so it fades to the mean at the rate at which reports of the pool were seen to
//! change.

use std::time::Duration;

use crate::direct::back_ends::work_time::WorkTimeFactor;
use crate::time::Time;

/// Duration of work at a back end as a multiple of the pool's usual duration.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RelativeDuration(pub f64);

impl Default for RelativeDuration {
    fn default() -> Self {
        RelativeDuration(1.0)
    }
}

impl RelativeDuration {
    /// Duration here of work that usually takes `usual`.
    pub fn apply(self, usual: Duration) -> Duration {
        usual.mul_f64(self.0)
    }
}

/// Times in seconds after which the deviation of a report may have fallen to 1/e.
const PERSISTENCES: [f64; 6] = [0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Index of the persistence that is assumed until it is learned.
const DEFAULT_PERSISTENCE: usize = 2;

/// Factor by which each report reduces the weight of earlier ones.
const DECAY: f64 = 0.99;

/// Pairs of reports after which the persistence is learned.
const MIN_PAIRS: u32 = 24;

/// Reported durations in a pool: their mean, and how fast they change.
#[derive(Clone, Debug, Default)]
pub struct PoolSpeed {
    sum: f64,
    weight: f64,
    pairs: u32,
    /// Squared errors of the prediction of a report from the one before, by persistence.
    errors: [f64; PERSISTENCES.len()],
}

impl PoolSpeed {
    /// Mean of the reported durations; 1 without reports.
    pub fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            1.0
        }
    }

    fn expected(&self, report: Report, persistence: usize, now: Time) -> f64 {
        let age = now.since(report.at).as_secs_f64();
        let weight = (-age / PERSISTENCES[persistence]).exp();
        self.mean() + (report.factor - self.mean()) * weight
    }

    fn persistence(&self) -> usize {
        if self.pairs < MIN_PAIRS {
            return DEFAULT_PERSISTENCE;
        }
        (0..PERSISTENCES.len())
            .min_by(|one, other| self.errors[*one].total_cmp(&self.errors[*other]))
            .unwrap_or(DEFAULT_PERSISTENCE)
    }

    fn observe(&mut self, report: Report, before: Option<Report>) {
        if let Some(before) = before {
            for persistence in 0..PERSISTENCES.len() {
                let error = report.factor - self.expected(before, persistence, report.at);
                let known = self.errors[persistence];
                self.errors[persistence] = known * DECAY + error * error;
            }
            self.pairs = self.pairs.saturating_add(1);
        }
        self.sum = self.sum * DECAY + report.factor;
        self.weight = self.weight * DECAY + 1.0;
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    factor: f64,
    at: Time,
}

/// Weight of the assumption that a back end is as fast as its pool, in responses.
const ASSUMED_RESPONSES: f64 = 3.0;

/// Factor by which each response reduces the weight of earlier ones.
const RESPONSE_DECAY: f64 = 0.95;

/// Bounds of the ratio of measured to expected reading time. A larger ratio is a wait and a
/// smaller one a prompt that was read before, rather than the speed of a machine.
const RATIO_BOUNDS: (f64, f64) = (0.5, 2.5);

/// Duration of work at one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkDuration {
    last_report: Option<Report>,
    /// Sum of the logarithms of the ratios of measured to expected reading times.
    log_ratios: f64,
    responses: f64,
}

impl WorkDuration {
    /// Expected duration of work that begins now.
    pub fn relative(&self, pool: &PoolSpeed, now: Time) -> RelativeDuration {
        let current = self.last_report.map_or(pool.mean(), |report| {
            pool.expected(report, pool.persistence(), now)
        });
        RelativeDuration(self.lasting_factor() * current)
    }

    /// Duration of work apart from what the back end reports, as a multiple of the pool's.
    pub fn lasting_factor(&self) -> f64 {
        (self.log_ratios / (self.responses + ASSUMED_RESPONSES)).exp()
    }

    /// Records the duration that the back end reports.
    pub fn on_report(&mut self, factor: WorkTimeFactor, pool: &mut PoolSpeed, now: Time) {
        let report = Report {
            factor: factor.factor(),
            at: now,
        };
        pool.observe(report, self.last_report);
        self.last_report = Some(report);
    }

    /// Records how long a prompt took that found the back end idle, and how long it takes at a
    /// back end of the pool's usual speed, both without the duration that the back end reports.
    pub fn on_reading(&mut self, measured: Duration, usual: Duration) {
        if usual.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / usual.as_secs_f64();
        if (RATIO_BOUNDS.0..=RATIO_BOUNDS.1).contains(&ratio) {
            self.log_ratios = self.log_ratios * RESPONSE_DECAY + ratio.ln();
            self.responses = self.responses * RESPONSE_DECAY + 1.0;
        }
    }
}
