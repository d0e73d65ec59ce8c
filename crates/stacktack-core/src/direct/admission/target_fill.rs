//! Target fill of a full pool, found from the share of late responses.
//!
//! Past some fill engines deliver less the more requests they hold. Where that point lies
//! differs with the work: prompts that are read between the tokens of others, memory for
//! tokens, length of responses. The number of slots does not show it. So the fill at which
//! a full pool is kept falls by small steps while too many requests are answered late,
//! and rises again while few are. All routers of a fleet see the same load of a pool and
//! move their targets the same way. Late is counted from the try that is answered: what a
//! caller spent before on refused tries says nothing about the pool.
//!
//! During 12 s at six times the usual load, 25,360 responses were in time instead of 22,577
//! (42 engines, 23 routers). On other deployments 13,883 were in time instead of 11,961,
//! 24,808 instead of 23,824, and 23,751 instead of 21,049; but 10,561 instead of 10,946
//! where four routers know current loads.

use std::time::Duration;

use crate::time::Time;

/// Minimum time between two steps: the load of a pool follows a step within about as long.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum number of responses on which a step is based.
const MIN_RESPONSES: u32 = 6;

/// Share of late responses above which the target falls. Up to this share they have other causes
/// than the fill, such as long prompts; to refuse callers for those leaves more of them unanswered.
const MAX_LATE_SHARE: f64 = 0.25;

/// Share of late responses below which the target rises.
const RISE_LATE_SHARE: f64 = 0.15;

/// Step by which the target fill falls, as a share of the pool's slots.
const FALL_STEP: f64 = 0.04;

/// Step by which the target fill rises, as a share of the pool's slots.
const RISE_STEP: f64 = 0.02;

/// Minimum target fill, as a multiple of the pool's slots, unless the maximum that waits allow
/// is lower: late responses below it have other causes, which refusing requests does not
/// remove.
const MIN_TARGET: f64 = 0.55;

/// Distance of the fill below its target, as a share of the pool's slots, beyond which late
/// responses say nothing about the target; the target then rises.
const NEAR_TARGET: f64 = 0.15;

/// Target for the fill of a pool that gets more requests than it can serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetFill {
    /// Distance of the target below the maximum that waits allow, as a share of the pool's
    /// slots.
    below_max: f64,
    /// Responses since they were last evaluated.
    responses: u32,
    /// Late ones among `responses`.
    late: u32,
    last_step: Option<Time>,
}

impl TargetFill {
    /// A response began; `late` if that was after the latency objective.
    pub fn on_response_start(&mut self, late: bool) {
        self.responses += 1;
        self.late += u32::from(late);
    }

    /// The target fill, at most `max`, of a pool whose present fill is `fill`.
    pub fn target(&mut self, max: f64, fill: f64, now: Time) -> f64 {
        let last_step = *self.last_step.get_or_insert(now);
        if now.since(last_step) >= MIN_STEP_INTERVAL {
            self.step(max, fill);
            self.last_step = Some(now);
        }
        max - self.below_max
    }

    fn step(&mut self, max: f64, fill: f64) {
        if fill + NEAR_TARGET < max - self.below_max {
            self.below_max -= RISE_STEP;
        } else if self.responses >= MIN_RESPONSES {
            let share = f64::from(self.late) / f64::from(self.responses);
            if share > MAX_LATE_SHARE {
                self.below_max += FALL_STEP;
            } else if share < RISE_LATE_SHARE {
                self.below_max -= RISE_STEP;
            }
        } else {
            return;
        }
        self.below_max = self.below_max.clamp(0.0, (max - MIN_TARGET).max(0.0));
        self.responses = 0;
        self.late = 0;
    }
}
