//! One router's share of a pool that is full, as a rate of requests.
//!
//! Routers that each look at the same news and send wherever it shows room exceed a
//! limit together by what all of them send within the age of the news, and then all
//! hold back: the load swings. So a full pool is shared by rate. A router knows its
//! share without being told: by Little's law requests in a pool grow with the rate at
//! which they arrive, so that a router whose own `a` requests a second go to a pool
//! that is `f` full may send `a / f`. What others send need not be known, and an uneven
//! load keeps its proportions; the number of routers only bounds a share from below. The
//! rate is corrected by how far the pool's load is from its target.

use std::time::Duration;

use crate::direct::admission::pool_load::PoolLoad;
use crate::direct::admission::rate::{DecayingMean, DecayingRate};
use crate::time::Time;

/// Share of the fill that is aimed at from which a pool is full: below it nobody is
/// refused. With the usual target of 1.06 it is the 0.9 that holds without one.
const FULL_SHARE_OF_TARGET: f64 = 0.85;

/// Time over which a router's share is learned: longer than the swings of its own
/// arrivals, shorter than those of the traffic.
const LEARN: Duration = Duration::from_secs(2);

/// Time in which a load that is off its target is brought back there. News of the
/// load is up to half a second old; correcting faster than that swings.
const CORRECT: Duration = Duration::from_millis(600);

/// Time by which a rise or a fall of the load is drawn on where what is known of it is
/// old: a burst fills a pool within a second.
const LEAD: Duration = Duration::from_millis(500);

/// Share of what Little's law gives that is left unused where what is known is old:
/// requests hold slots longer the fuller a pool is (0.45 s at a third of the slots,
/// 0.65 s at all, 180 engines). Less than could be sent costs little, since a pool with
/// room takes all.
const HEADROOM: f64 = 0.25;

/// Bounds of the correction, as a multiple of the share: a pool that is far too full
/// still takes some, so that its load is still told. Chosen.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.2..=1.3;

/// Bounds of the correction within which the share itself is learned from what was
/// sent, so that a short swing of the load leaves it as it was.
const LEARNED: std::ops::RangeInclusive<f64> = 0.85..=1.15;

/// Hold that is assumed until one is measured, in seconds. Chosen.
const ASSUMED_HOLD: f64 = 0.3;

/// Least share of a router, in equal shares: one that sent little of late is not
/// starved by those who sent much. Chosen.
const LEAST_SHARE: f64 = 0.25;

/// Requests that may be saved up: time at the router's rate, and at least. With 0.1 s and
/// 1.2 requests, who goes behind is hardly told from others: 0.66 of the capacity in time
/// in place of 0.73 (330 routers, four times the capacity, virtual time).
const SAVE: Duration = Duration::from_millis(250);
const LEAST_SAVED: f64 = 1.5;

/// What a router may send to a pool that is full.
#[derive(Clone, Debug)]
pub struct PoolShare {
    admitted: DecayingRate,
    fill: DecayingMean,
    recent_fill: DecayingMean,
    /// Requests that may be sent at once.
    saved: f64,
    /// Requests a second that may be sent while the pool is full.
    rate: f64,
    /// Requests that may be saved up.
    most_saved: f64,
    /// How the share was corrected of late.
    correction: f64,
    refilled: Option<Time>,
}

/// What the share follows from.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs {
    /// Load of the pool.
    pub pool: PoolLoad,
    /// Fill of the pool that is aimed at, in slots.
    pub target_fill: f64,
    /// Time that a request holds a slot, in seconds, where it is known.
    pub hold_seconds: Option<f64>,
    /// Routers that send to the pool, this one among them.
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
            admitted: DecayingRate::new(LEARN),
            fill: DecayingMean::new(LEARN),
            recent_fill: DecayingMean::new(LEAD),
            saved: LEAST_SAVED,
            rate: 0.0,
            most_saved: LEAST_SAVED,
            correction: 1.0,
            refilled: None,
        }
    }
}

impl PoolShare {
    /// Whether one more request needs a part of the share: the pool is full. One with room
    /// takes all.
    pub fn is_enforced(&mut self, inputs: &ShareInputs, now: Time) -> bool {
        let fill = inputs.pool.fill();
        let usual_fill = self.fill.update(fill, now);
        let expected_fill = fill + self.change_since(inputs, now);
        self.rate = self.rate(inputs, usual_fill, expected_fill, now);
        self.most_saved = (self.rate * SAVE.as_secs_f64()).max(LEAST_SAVED);
        let elapsed = self.refilled.map_or(Duration::ZERO, |at| now.since(at));
        self.refilled = Some(now);
        self.saved = (self.saved + self.rate * elapsed.as_secs_f64()).min(self.most_saved);
        if expected_fill < inputs.full_threshold() {
            self.correction = 1.0;
            return false;
        }
        true
    }

    /// Whether something of the share is left. Who goes behind others is taken where those
    /// leave part of it.
    pub fn has_permit(&self, goes_behind: bool) -> bool {
        let needed = if goes_behind { self.most_saved } else { 1.0 };
        self.saved >= needed
    }

    /// A request was sent to the pool.
    pub fn on_admitted(&mut self, now: Time) {
        self.saved = (self.saved - 1.0).max(0.0);
        let learned = self.correction.clamp(*LEARNED.start(), *LEARNED.end());
        self.admitted.count(learned / self.correction, now);
    }

    /// Requests a second that this router may send while the pool is full.
    pub fn per_second(&self) -> f64 {
        self.rate
    }

    /// Requests a second that this router sent of late.
    pub fn admission_rate(&self) -> &DecayingRate {
        &self.admitted
    }

    /// Change of the fill that is to be expected since it was told; what may be chance
    /// is left out.
    fn change_since(&mut self, inputs: &ShareInputs, now: Time) -> f64 {
        let fill = inputs.pool.fill();
        let lately = fill - self.recent_fill.update(fill, now);
        let beyond_chance = (lately.abs() - inputs.pool.fill_error()).max(0.0);
        beyond_chance.copysign(lately) * inputs.pool.staleness()
    }

    /// Requests a second that this router may send while the pool is full.
    fn rate(
        &mut self,
        inputs: &ShareInputs,
        usual_fill: f64,
        expected_fill: f64,
        now: Time,
    ) -> f64 {
        let hold = inputs.hold_seconds.unwrap_or(ASSUMED_HOLD);
        let sent = self.admitted.per_second(now);
        let own = if usual_fill < inputs.full_threshold() {
            let unused = 1.0 - HEADROOM * inputs.pool.staleness();
            unused * sent / usual_fill.max(f64::MIN_POSITIVE)
        } else {
            sent
        };
        let capacity = inputs.pool.mean_slots * inputs.pool.back_ends as f64 / hold;
        let least = LEAST_SHARE * capacity / inputs.routers.max(1) as f64;
        let excess = expected_fill - inputs.target_fill;
        let correction = 1.0 - excess * hold / CORRECT.as_secs_f64();
        self.correction = correction.clamp(*CORRECTION.start(), *CORRECTION.end());
        own.max(least) * self.correction
    }
}
