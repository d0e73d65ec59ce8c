//! Runs that broke off, until it is known whether their back end ended.
//!
//! A run that broke off is no end of its back end yet: lost answers, garbled or cut streams
//! and cut links look the same at first. It counts as one once connections to the back end
//! are refused, or its entry vanished without a planned end. Until then it is kept here.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::digest::RequestDigest;
use crate::time::Time;

/// Time for which a broken run waits for what explains it: entries vanish 3.6 s after
/// the end at deployments, and the store may be late.
const KEEP: Duration = Duration::from_secs(8);

/// Broken runs of one back end that are kept: more than routers have there at once.
const MOST_PER_BACK_END: usize = 256;

/// A run that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedRun {
    /// Which request.
    pub digest: RequestDigest,
    /// Id of the try, for logs.
    pub id: String,
    /// Whether the back end ran it as a suspect, apart from other suspects.
    pub on_probation: bool,
    /// When it broke off.
    pub at: Time,
}

/// Broken runs by the life of a back end.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRuns {
    waiting: HashMap<InstanceId, Vec<InterruptedRun>>,
    /// Lives that ended, and when that showed.
    ended: HashMap<InstanceId, Time>,
}

impl InterruptedRuns {
    /// A run broke off.
    pub fn add(&mut self, life: InstanceId, run: InterruptedRun) {
        let runs = self.waiting.entry(life).or_default();
        if runs.len() < MOST_PER_BACK_END {
            runs.push(run);
        }
    }

    /// It showed that a life ended. Returns the runs that broke off there.
    pub fn on_back_end_ended(&mut self, life: InstanceId, now: Time) -> Vec<InterruptedRun> {
        self.ended.insert(life, now);
        let runs = self.waiting.remove(&life).unwrap_or_default();
        let fresh = |run: &InterruptedRun| now.since(run.at) < KEEP;
        runs.into_iter().filter(fresh).collect()
    }

    /// Whether a life is known to have ended.
    pub fn has_ended(&self, life: InstanceId) -> bool {
        self.ended.contains_key(&life)
    }

    /// Whether runs broke off there that nothing explains yet.
    pub fn has_unexplained(&self, life: InstanceId) -> bool {
        self.waiting.contains_key(&life)
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Time) {
        self.ended.retain(|_, at| now.since(*at) < KEEP);
        self.waiting.retain(|_, runs| {
            runs.retain(|run| now.since(run.at) < KEEP);
            !runs.is_empty()
        });
    }
}
