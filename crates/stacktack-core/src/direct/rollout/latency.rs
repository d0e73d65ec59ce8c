//! What counts as a slow answer of a route: several times what the old version takes there.
//!
//! What it takes is the geometric mean over the fleet: a router of a large one gets too few
//! answers to know it by itself in time.

use std::time::Duration;

use super::response_counts::ResponseCounts;

/// Units of the logarithm of a time to the first byte, for each doubling.
const UNITS_PER_DOUBLING: f64 = 8.0;

/// Most units that one answer counts: up to 1,000 s.
const MOST_UNITS: f64 = 160.0;

/// Answers from which the usual time of a route is known.
const LEAST_ANSWERS: u32 = 20;

/// An answer is slow above this multiple of the usual time.
const SLOW_FACTOR: f64 = 2.5;

/// What a route wants of an answer's speed.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTarget {
    /// Time within which the first byte is wanted.
    pub objective: Duration,
    /// Whether answers read a prompt first. A version that has just begun has none in its
    /// caches, so that its answers may take several times as long up to the objective.
    pub needs_prefill: bool,
}

/// Logarithm of a time to the first byte, in the units that [`baseline_latency`] takes.
pub fn log_latency_units(took: Duration) -> u32 {
    let milliseconds = (took.as_secs_f64() * 1000.0).max(1.0);
    (milliseconds.log2() * UNITS_PER_DOUBLING).min(MOST_UNITS) as u32
}

/// Geometric mean of the times that answers took; `None` for too few.
pub fn baseline_latency(counts: &ResponseCounts) -> Option<Duration> {
    let ran = counts.responses.saturating_sub(counts.failed);
    if ran < LEAST_ANSWERS {
        return None;
    }
    let units = f64::from(counts.log_latency_sum) / f64::from(ran);
    let milliseconds = (units.min(MOST_UNITS) / UNITS_PER_DOUBLING).exp2();
    Some(Duration::from_secs_f64(milliseconds / 1000.0))
}

/// Whether an answer that took so long is slow, where the old version takes a usual time.
pub fn is_slow(took: Duration, usual: Option<Duration>, wanted: LatencyTarget) -> bool {
    let late = took > wanted.objective;
    match usual {
        Some(usual) if wanted.needs_prefill => late && took > usual.mul_f64(SLOW_FACTOR),
        Some(usual) => took > usual.mul_f64(SLOW_FACTOR),
        None => late,
    }
}
