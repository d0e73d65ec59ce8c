//! Interrupted runs, kept for at most 8 s while it is not known whether their back end crashed.
//!
//! An interrupted run does not yet show that its back end crashed: lost responses, garbled or
//! truncated streams and broken links look the same at first. It counts as a crash once the back
//! end refuses connections, once another instance answers at its address, or once its directory
//! entry vanished or names another instance, each without a planned stop. Until then the run is
//! kept here; after 8 s it is dropped and does not count.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::back_ends::directory::InstanceId;
use crate::direct::quarantine::suspects::{SuspectPart, Suspects};
use crate::direct::stream_versions::software_version::VersionHash;
use crate::time::Time;

/// Time for which an interrupted run is kept while its cause is not known, and for which an ended
/// instance is remembered. After a crash, the directory entry vanishes 3.6 s later in deployments,
/// and the store may be late.
const RETENTION: Duration = Duration::from_secs(8);

/// Maximum number of interrupted runs of one instance that are kept; further ones are ignored. A
/// router has fewer runs there at once.
const MAX_RUNS_PER_INSTANCE: usize = 256;

/// A run that broke off or timed out before its response was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedRun {
    /// What may be blamed for the run.
    pub suspects: Suspects,
    /// Software version of the back end.
    pub version: VersionHash,
    /// Id of the caller's try that the run belongs to, for logs.
    pub try_id: String,
    /// Whether the request ran on probation, apart from others on probation at its router.
    pub on_probation: bool,
    /// When the run broke off or timed out.
    pub at: Time,
}

/// Interrupted runs by back end instance, and the instances that recently ended.
#[derive(Clone, Debug, Default)]
pub struct InterruptedRuns {
    /// Runs whose cause is not known yet.
    unexplained: HashMap<InstanceId, Vec<InterruptedRun>>,
    /// Instances that ended, and when that was detected.
    ended: HashMap<InstanceId, Time>,
}

impl InterruptedRuns {
    /// Adds an interrupted run of an instance; ignored if `MAX_RUNS_PER_INSTANCE` are kept.
    pub fn add(&mut self, instance: InstanceId, run: InterruptedRun) {
        let runs = self.unexplained.entry(instance).or_default();
        if runs.len() < MAX_RUNS_PER_INSTANCE {
            runs.push(run);
        }
    }

    /// Removes the run of a caller's try at an instance: it was complete.
    pub fn remove(&mut self, instance: InstanceId, try_id: &str) {
        if let Some(runs) = self.unexplained.get_mut(&instance) {
            runs.retain(|run| run.try_id != try_id);
            if runs.is_empty() {
                self.unexplained.remove(&instance);
            }
        }
    }

    /// Records that an instance ended, and returns its recent interrupted runs.
    pub fn on_instance_ended(&mut self, instance: InstanceId, now: Time) -> Vec<InterruptedRun> {
        self.ended.insert(instance, now);
        let runs = self.unexplained.remove(&instance).unwrap_or_default();
        let is_recent = |run: &InterruptedRun| now.since(run.at) < RETENTION;
        runs.into_iter().filter(is_recent).collect()
    }

    /// Whether an instance is known to have ended.
    pub fn has_ended(&self, instance: InstanceId) -> bool {
        self.ended.contains_key(&instance)
    }

    /// Whether interrupted runs of an instance are kept because their cause is not known yet.
    pub fn has_unexplained(&self, instance: InstanceId) -> bool {
        self.unexplained.contains_key(&instance)
    }

    /// Drops runs and ended instances that are older than their retention.
    pub fn expire(&mut self, now: Time) {
        self.ended.retain(|_, at| now.since(*at) < RETENTION);
        self.unexplained.retain(|_, runs| {
            runs.retain(|run| now.since(run.at) < RETENTION);
            !runs.is_empty()
        });
    }
}

/// The parts that interrupted runs had in their prompts, each with the number of these runs, most
/// frequent first.
pub fn count_parts(runs: &[InterruptedRun]) -> Vec<(SuspectPart, usize)> {
    let mut counts: Vec<(SuspectPart, usize)> = Vec::new();
    for part in runs.iter().flat_map(|run| run.suspects.parts.iter()) {
        match counts.iter_mut().find(|(counted, _)| counted == part) {
            Some((_, count)) => *count += 1,
            None => counts.push((*part, 1)),
        }
    }
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts
}
