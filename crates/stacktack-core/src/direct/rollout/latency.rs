//! Decides whether a response is slow: whether it takes several times the baseline latency of
//! its route.
//!
//! The baseline latency is the geometric mean of the old version's times to first byte over the
//! whole fleet: a single router of a large fleet gets too few responses to know it in time.

use std::time::Duration;

use super::response_counts::ResponseCounts;

/// Units of the logarithm of a latency per doubling of the latency.
const UNITS_PER_DOUBLING: f64 = 8.0;

/// Maximum number of units that one response counts; it stands for 1,000 s.
const MAX_UNITS: f64 = 160.0;

/// Minimum number of successful responses from which the baseline latency of a route is known.
const MIN_BASELINE_RESPONSES: u32 = 20;

/// Multiple of the baseline latency above which a response is slow.
const SLOW_FACTOR: f64 = 2.5;

/// Latency that a route expects of its responses.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTarget {
    /// Time within which the first byte is wanted.
    pub objective: Duration,
    /// Whether a response starts with the prefill of a prompt. A version that has just started
    /// has no prompts in its caches, so its responses may take several times the baseline latency
    /// as long as they meet the objective.
    pub needs_prefill: bool,
}

/// Logarithm of a time to first byte, in the units that [`baseline_latency`] expects.
pub fn log_latency_units(latency: Duration) -> u32 {
    let milliseconds = (latency.as_secs_f64() * 1000.0).max(1.0);
    (milliseconds.log2() * UNITS_PER_DOUBLING).min(MAX_UNITS) as u32
}

/// Geometric mean of the times to first byte of successful responses; `None` if there are too
/// few.
pub fn baseline_latency(counts: &ResponseCounts) -> Option<Duration> {
    let succeeded = counts.responses.saturating_sub(counts.failed);
    if succeeded < MIN_BASELINE_RESPONSES {
        return None;
    }
    let units = f64::from(counts.log_latency_sum) / f64::from(succeeded);
    let milliseconds = (units.min(MAX_UNITS) / UNITS_PER_DOUBLING).exp2();
    Some(Duration::from_secs_f64(milliseconds / 1000.0))
}

/// Whether a response with this time to first byte is slow. Without a baseline latency, a
/// response is slow if it misses the objective.
pub fn is_slow(latency: Duration, baseline: Option<Duration>, target: LatencyTarget) -> bool {
    let is_late = latency > target.objective;
    match baseline {
        Some(baseline) if target.needs_prefill => {
            is_late && latency > baseline.mul_f64(SLOW_FACTOR)
        }
        Some(baseline) => latency > baseline.mul_f64(SLOW_FACTOR),
        None => is_late,
    }
}
