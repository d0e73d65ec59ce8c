//! How full a pool is as a whole, from news of its back ends of different age.

use std::time::Duration;

use crate::direct::admission::hold_times::HoldTimes;
use crate::direct::back_ends::load::UsualLoad;

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

/// Time for which requests go on to come to a back end that told a high load, as a multiple of the mean
/// age of what is known: until those who send there have heard of it. Without it a tenth more requests reach
/// one of 180 back ends above its bound.
const STILL_SENT_FOR: f64 = 0.3;

/// Weight of the pool's mean in what is usual at a back end, in reports: where little is heard of one,
/// a load that was high by chance should not stay. 2 in place of 0.5 hides which ones are always
/// busy: a tenth more above the bound.
const PRIOR: f64 = 0.5;

/// Age of what is known of a pool from which it is old.
const OLD: Duration = Duration::from_millis(100);

/// What is known of one back end's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds, from all routers.
    pub load: f64,
    /// Those of them that are this router's: these are known as they are now.
    pub own: f64,
    /// Requests that it holds in the mean of late.
    pub usual: UsualLoad,
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
    pub fn left(&self, holds: &HoldTimes) -> f64 {
        self.load * self.share_left(holds, Duration::ZERO)
    }

    /// Share of the requests that it told of which it holds still, when none was replaced by another
    /// from so long after it told them.
    fn share_left(&self, holds: &HoldTimes, replaced_for: Duration) -> f64 {
        let age = self.age.map(|age| age.saturating_sub(replaced_for));
        let left = age.and_then(|age| holds.share_left(age));
        left.unwrap_or(1.0)
    }
}

/// Load of a pool's back ends in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLoad {
    /// Number of back ends.
    pub back_ends: usize,
    /// Requests that one holds.
    pub mean: f64,
    /// Requests that one runs at a time.
    pub slots: f64,
    /// Age of what is known.
    pub age: Duration,
    /// Requests that one holds in the mean of late.
    usual: f64,
    /// Reports of the same weight that would give as sure a mean.
    reports: f64,
}

impl PoolLoad {
    /// The load of a pool with these back ends; newer news weighs more. `None` where
    /// the load of fewer than half is known: then the back ends themselves say whether
    /// they have room.
    pub fn of(reports: &[LoadReport]) -> Option<Self> {
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
            usual: mean(|report| report.usual.requests),
            reports: whole * whole / squares,
            back_ends: reports.len(),
            mean: mean(|report| report.load),
            slots: mean(|report| f64::from(report.slots)),
            age: Duration::from_secs_f64(mean(|report| {
                report.age.unwrap_or_default().as_secs_f64()
            })),
        })
    }

    /// Load in multiples of the slots.
    pub fn fill(&self) -> f64 {
        self.mean / self.slots
    }

    /// Limit of a back end in this pool, from its own limit.
    ///
    /// Where loads are known as they are now, each back end's own limit holds: a request
    /// that its home has no room for goes to one that has. With room up to a multiple of
    /// the mean it waited there instead (four routers, four days of overload of three
    /// seeds each: worth 0.709 in the mean, 0.744 without).
    pub fn limit(&self, own: f64) -> f64 {
        if self.is_full() {
            own.max(FULL_ABOVE_MEAN * self.mean * self.oldness())
        } else {
            own
        }
    }

    /// From 0, where the load is known as it is now, to 1, where that is old.
    pub fn oldness(&self) -> f64 {
        (self.age.as_secs_f64() / OLD.as_secs_f64()).min(1.0)
    }

    /// Whether its slots are taken; below that nobody is refused.
    pub fn is_full(&self) -> bool {
        self.fill() >= self.full_from()
    }

    /// Fill from which it is full.
    pub fn full_from(&self) -> f64 {
        FULL_FROM + self.swing()
    }

    /// Error of its fill by chance: the requests in the reports that it is taken from
    /// vary by their square root.
    pub fn swing(&self) -> f64 {
        1.0 / (self.slots * self.reports).sqrt()
    }

    /// Load of a back end that is to be expected: of the requests that it told of some have ended, and
    /// others came since, as usually do there.
    ///
    /// A back end tells its load in its answers only. Believed as it was told for as long as nothing
    /// newer comes, a low load draws what all routers send at once, and a high one raises the mean and
    /// with it everybody's bound (`tests/passed_by_members`).
    pub fn expected(&self, report: &LoadReport, holds: &HoldTimes) -> f64 {
        let usual = (self.share(report) * self.mean_between_arrivals()).max(report.own);
        let replaced_for = if report.load > usual {
            self.age.mul_f64(STILL_SENT_FOR)
        } else {
            Duration::ZERO
        };
        let left = report.share_left(holds, replaced_for);
        usual + (report.load - usual) * left
    }

    /// Requests that a back end told of and holds still.
    pub fn held_still(&self, report: &LoadReport, holds: &HoldTimes) -> f64 {
        report.load * report.share_left(holds, self.age.mul_f64(STILL_SENT_FOR))
    }

    /// What a back end usually holds, as a multiple of what all do: the pool's load may have risen
    /// or fallen since.
    fn share(&self, report: &LoadReport) -> f64 {
        if self.usual <= 0.0 {
            return 1.0;
        }
        report.usual.drawn_to(self.usual, PRIOR) / self.usual
    }

    /// Requests that a back end holds in the mean at a moment that no request chose: a load that is
    /// told counts the request that is being answered.
    pub fn mean_between_arrivals(&self) -> f64 {
        (self.mean - self.oldness()).max(0.5 * self.mean)
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
