//! How full a pool may be, found from how late its answers begin.
//!
//! Past some fill engines give less the more they hold, and where that lies differs by
//! work: prompts that are read between the tokens of others, memory for tokens, length of
//! answers. Slots do not tell it. So the fill that a full pool is kept at falls while too
//! many first tries are answered late, and rises again while few are, by small steps.
//! The load of a pool is common: the routers of a fleet see the same and go the same way.
//! Callers that came back are left out: they are late whatever the pool does.
//!
//! At six times the usual load, in 12 s of it, 25,360 answers were in time in place of
//! 22,577 (42 engines, 23 routers), and on four other deployments 13,883 of 11,961, 24,808
//! of 23,824, 23,751 of 21,049 and, where four routers know the loads as they are, 10,561
//! of 10,946.

use std::time::Duration;

use crate::time::Time;

/// Time between two steps, and first tries that have to be answered meanwhile: the load of
/// a pool follows within about as long.
const BETWEEN_STEPS: Duration = Duration::from_millis(300);
const LEAST_ANSWERS: u32 = 6;

/// Share of the first tries that may be answered late: above the first bound the fill
/// falls, below the second it rises. A late answer is worth about a third of one in time,
/// and engines give more in all the fuller they are: with 0.10 and 0.05 fewer answers were
/// in time on four of five long overloads, and 0.007 to 0.037 of worth less was earned there.
const TOO_MANY_LATE: f64 = 0.25;
const FEW_LATE: f64 = 0.15;

/// Steps of the fill, in slots.
const FALL: f64 = 0.04;
const RISE: f64 = 0.02;

/// Least fill that is aimed at, in slots: late answers below it have other causes, which
/// refusing does not mend.
const LEAST: f64 = 0.55;

/// Distance from the target within which a pool's answers say something of it, in slots.
const NEAR: f64 = 0.15;

/// The fill of a pool that is aimed at when there is too much.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetFill {
    /// Below the most that waits allow, in slots.
    below_most: f64,
    answers: u32,
    late: u32,
    stepped: Option<Time>,
}

impl TargetFill {
    /// A first try was answered, late or not.
    pub fn on_first_try_response(&mut self, late: bool) {
        self.answers += 1;
        self.late += u32::from(late);
    }

    /// The fill that is aimed at, at most `most`, in a pool with this fill.
    pub fn target(&mut self, most: f64, fill: f64, now: Time) -> f64 {
        let stepped = *self.stepped.get_or_insert(now);
        if now.since(stepped) >= BETWEEN_STEPS {
            self.step(most, fill);
            self.stepped = Some(now);
        }
        most - self.below_most
    }

    fn step(&mut self, most: f64, fill: f64) {
        if fill + NEAR < most - self.below_most {
            self.below_most -= RISE;
        } else if self.answers >= LEAST_ANSWERS {
            let share = f64::from(self.late) / f64::from(self.answers);
            if share > TOO_MANY_LATE {
                self.below_most += FALL;
            } else if share < FEW_LATE {
                self.below_most -= RISE;
            }
        } else {
            return;
        }
        self.below_most = self.below_most.clamp(0.0, (most - LEAST).max(0.0));
        self.answers = 0;
        self.late = 0;
    }
}
