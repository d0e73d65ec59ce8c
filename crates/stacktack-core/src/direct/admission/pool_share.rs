//! One router's share of a full pool, as a rate of requests.
//!
//! Routers that each look at the same load reports and send wherever those show free
//! capacity together exceed a limit by what all of them send within the age of the reports;
//! then all hold back, and the load oscillates. So a full pool is shared by rate. A router
//! derives its share without coordination: by Little's law the requests in a pool grow with
//! the rate at which they arrive, so that a router that sends `a` requests per second to a
//! pool with fill `f` may send `a / f`. The rates of other routers need not be known, and
//! uneven loads keep their proportions; the number of routers only bounds a share from
//! below. The rate is corrected by the distance of the pool's fill from its target.

use std::time::Duration;

use crate::direct::admission::pool_load::PoolLoad;
use crate::direct::admission::rate::{DecayingMean, DecayingRate};
use crate::time::Time;

/// Share of the target fill from which a pool is full; below that fill nobody is refused for
/// the router's share. With the usual target of 1.06 the pool is full from a fill of 0.9, as
/// without a target.
const FULL_SHARE_OF_TARGET: f64 = 0.85;

/// Time constant over which a router's share is learned: longer than the fluctuations of
/// its own arrivals, shorter than those of the traffic.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Time in which a fill that is off its target is brought back. Load reports are up to half
/// a second old; correcting faster than that oscillates.
const CORRECTION_TIME: Duration = Duration::from_millis(600);

/// Time by which a rise or a fall of the load is extrapolated where reports are stale: a
/// burst fills a pool within a second.
const EXTRAPOLATION_TIME: Duration = Duration::from_millis(500);

/// Share of the rate by Little's law that is left unused where reports are stale: requests
/// hold slots longer the fuller a pool is (0.45 s at a third of the slots, 0.65 s at all,
/// 180 engines). An unused rate costs little, since a pool with free capacity admits all
/// requests.
const HEADROOM_SHARE: f64 = 0.25;

/// Bounds of the correction, as a multiple of the share: a pool that is far too full still
/// gets some requests, so that its load is still reported.
const CORRECTION_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=1.3;

/// Bounds of the correction that the learned share follows. What a correction exceeds them
/// by is left out of the learned share, so that a short swing of the load does not change
/// it.
const LEARNED_CORRECTION_BOUNDS: std::ops::RangeInclusive<f64> = 0.85..=1.15;

/// Time for which a request is assumed to hold a slot until it is measured, in seconds.
pub(super) const DEFAULT_HOLD_SECONDS: f64 = 0.3;

/// Minimum share of a router, as a share of the capacity divided equally between routers: a
/// router that sent little recently is not starved by those that sent much.
const MIN_SHARE: f64 = 0.25;

/// Maximum number of saved permits, as time at the router's rate. With 0.1 s, and 1.2 for
/// [`MIN_BURST`], deprioritized requests are hardly set apart from others: 0.66 of the
/// capacity is answered in time instead of 0.73 (330 routers, four times the capacity).
const BURST_TIME: Duration = Duration::from_millis(250);

/// Time constant over which the tries that compete for a router's share are counted.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Lower bound of the maximum number of saved permits, for routers with a low rate.
const MIN_BURST: f64 = 1.5;

/// A token bucket for the requests that one router may send to a full pool.
#[derive(Clone, Debug)]
pub struct PoolShare {
    admitted: DecayingRate,
    /// Tries that needed a permit.
    demand: DecayingRate,
    usual_fill: DecayingMean,
    recent_fill: DecayingMean,
    /// Requests that may be sent at once.
    permits: f64,
    /// Requests per second that may be sent while the pool is full.
    rate: f64,
    /// Maximum of `permits`.
    burst: f64,
    /// Factor that the latest `rate` contains to bring the fill to its target; 1 after a
    /// check that found free capacity.
    correction: f64,
    refilled_at: Option<Time>,
}

/// State of a pool from which a router's share follows.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs {
    /// Load of the pool.
    pub pool: PoolLoad,
    /// Fill at which the pool is to be kept, as a multiple of its slots.
    pub target_fill: f64,
    /// Mean time for which a request holds a slot, in seconds; `None` until it is measured.
    pub hold_seconds: Option<f64>,
    /// Number of routers that send to the pool, this one included.
    pub routers: usize,
}

impl ShareInputs {
    /// Fill from which the pool is full.
    fn full_threshold(&self) -> f64 {
        let usual = self.pool.full_threshold();
        usual.min(FULL_SHARE_OF_TARGET * self.target_fill + self.pool.fill_error())
    }
}

impl Default for PoolShare {
    fn default() -> Self {
        PoolShare {
            admitted: DecayingRate::new(LEARNING_TIME),
            demand: DecayingRate::new(DEMAND_TIME),
            usual_fill: DecayingMean::new(LEARNING_TIME),
            recent_fill: DecayingMean::new(EXTRAPOLATION_TIME),
            permits: MIN_BURST,
            rate: 0.0,
            burst: MIN_BURST,
            correction: 1.0,
            refilled_at: None,
        }
    }
}

impl PoolShare {
    /// Updates the share and its permits from the state of the pool. Returns whether the
    /// pool is full, so that a request needs a permit; a pool with free capacity admits all
    /// requests.
    pub fn is_enforced(&mut self, inputs: &ShareInputs, now: Time) -> bool {
        let fill = inputs.pool.fill();
        let usual_fill = self.usual_fill.update(fill, now);
        let expected_fill = fill + self.expected_change(inputs, now);
        self.rate = self.rate(inputs, usual_fill, expected_fill, now);
        self.burst = (self.rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.refilled_at = Some(now);
        self.permits = (self.permits + self.rate * elapsed.as_secs_f64()).min(self.burst);
        if expected_fill < inputs.full_threshold() {
            self.correction = 1.0;
            return false;
        }
        true
    }

    /// Whether a request with this draw may be sent to the full pool. A deprioritized request
    /// needs all permits that can be saved: it is admitted only where other requests leave part
    /// of the share unused.
    pub fn has_permit(&mut self, draw: f64, deprioritized: bool, now: Time) -> bool {
        self.demand.count(1.0, now);
        let needed = if deprioritized { self.burst } else { 1.0 };
        self.permits >= needed && draw < self.admitted_draws(now)
    }

    /// Draw below which requests are admitted: the share of the tries for which there are permits,
    /// less while few permits are saved and more while many are, so that the permits are used.
    fn admitted_draws(&self, now: Time) -> f64 {
        let share = self.rate / self.demand.per_second(now).max(f64::MIN_POSITIVE);
        let unused = (self.burst - self.permits).max(f64::MIN_POSITIVE);
        share * self.permits / unused
    }

    /// A request was admitted to the pool. It is counted without the part of the correction
    /// that lies beyond `LEARNED_CORRECTION_BOUNDS`.
    pub fn on_admitted(&mut self, now: Time) {
        self.permits = (self.permits - 1.0).max(0.0);
        let learned = self.correction.clamp(
            *LEARNED_CORRECTION_BOUNDS.start(),
            *LEARNED_CORRECTION_BOUNDS.end(),
        );
        self.admitted.count(learned / self.correction, now);
    }

    /// Requests per second that this router may send while the pool is full.
    pub fn per_second(&self) -> f64 {
        self.rate
    }

    /// Rate of the requests that this router admitted recently, without the part of the
    /// corrections that lies beyond `LEARNED_CORRECTION_BOUNDS`.
    pub fn admission_rate(&self) -> &DecayingRate {
        &self.admitted
    }

    /// Expected change of the fill since it was reported; a change that may be random error
    /// is left out.
    fn expected_change(&mut self, inputs: &ShareInputs, now: Time) -> f64 {
        let fill = inputs.pool.fill();
        let recent_change = fill - self.recent_fill.update(fill, now);
        let beyond_error = (recent_change.abs() - inputs.pool.fill_error()).max(0.0);
        beyond_error.copysign(recent_change) * inputs.pool.staleness()
    }

    /// Computes the requests per second that this router may send while the pool is full, and
    /// stores the correction that they contain.
    fn rate(
        &mut self,
        inputs: &ShareInputs,
        usual_fill: f64,
        expected_fill: f64,
        now: Time,
    ) -> f64 {
        let hold = inputs.hold_seconds.unwrap_or(DEFAULT_HOLD_SECONDS);
        let sent = self.admitted.per_second(now);
        let own = if usual_fill < inputs.full_threshold() {
            let used_share = 1.0 - HEADROOM_SHARE * inputs.pool.staleness();
            used_share * sent / usual_fill.max(f64::MIN_POSITIVE)
        } else {
            sent
        };
        let capacity = inputs.pool.mean_slots * inputs.pool.back_ends as f64 / hold;
        let min = MIN_SHARE * capacity / inputs.routers.max(1) as f64;
        let excess = expected_fill - inputs.target_fill;
        let correction = 1.0 - excess * hold / CORRECTION_TIME.as_secs_f64();
        self.correction = correction.clamp(*CORRECTION_BOUNDS.start(), *CORRECTION_BOUNDS.end());
        own.max(min) * self.correction
    }
}
