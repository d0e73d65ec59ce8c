//! What independent observers see: runs, versions, loads.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_wire::gossip::MemberRole;
use stacktack_wire::identity::{AttemptId, ConfigurationVersion, RequestId};

use super::process::{Process, ProcessId};

/// Looks of 20 ms that the load bound reaches back: the three seconds in which
/// news of loads spreads.
pub const LOAD_WINDOW: usize = 150;

/// One run at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Time,
    /// Agent of the back end.
    pub agent: ProcessId,
    /// Configuration under which the router chose.
    pub version: ConfigurationVersion,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Observer {
    /// Runs by request.
    pub runs: HashMap<RequestId, Vec<Run>>,
    /// Runs by idempotency key.
    pub key_runs: HashMap<String, u32>,
    /// When a process began to leave.
    pub leaving: BTreeMap<ProcessId, Time>,
    /// When each version was first in force at each process, in its life.
    pub in_force: HashMap<ProcessId, BTreeMap<ConfigurationVersion, Time>>,
    /// When processes that were started again began their present lives.
    pub restarted_at: HashMap<ProcessId, Time>,
    /// Versions that fell within a life.
    pub version_decreases: Vec<(ProcessId, ConfigurationVersion, ConfigurationVersion)>,
    /// Accepted versions, when and by which change.
    pub accepted: Vec<(ConfigurationVersion, Time, String)>,
    /// Operators who lost a race and know it.
    pub lost_races: u32,
    /// Operators who do not know whether their change was accepted.
    pub unknown_applies: u32,
    holders: BTreeMap<u64, ProcessId>,
    /// Times that two processes thought at once that they hold the lease, or
    /// that an epoch had two holders.
    pub lease_conflicts: usize,
    load_windows: BTreeMap<ProcessId, VecDeque<f64>>,
    /// Highest load seen as a share of the bound `max(cap * mean, mean +
    /// largest request)`, where the mean is that of each engine's highest load
    /// of the last [`LOAD_WINDOW`] looks, with one request more.
    pub max_load_bound_ratio: f64,
    /// Largest work of a single request, for the bound.
    pub largest_work: f64,
    /// Load cap, for the bound.
    pub load_cap: f64,
}

impl Observer {
    /// Observers of a fleet with a load cap.
    pub fn new(load_cap: f64) -> Self {
        Observer {
            load_cap,
            ..Observer::default()
        }
    }

    pub(super) fn note_run(
        &mut self,
        at: Time,
        agent: ProcessId,
        (attempt, version): (AttemptId, ConfigurationVersion),
        key: Option<&str>,
    ) {
        let runs = self.runs.entry(attempt.request).or_default();
        runs.push(Run { at, agent, version });
        if let Some(key) = key {
            *self.key_runs.entry(key.to_string()).or_insert(0) += 1;
        }
    }

    /// A process acts as the holder of the controller lease.
    pub(super) fn note_holder(&mut self, id: ProcessId, epoch: u64) {
        let first = *self.holders.entry(epoch).or_insert(id);
        let newest = self.holders.keys().next_back().copied();
        let superseded = newest.is_some_and(|newest| newest > epoch);
        self.lease_conflicts += usize::from(first != id || superseded);
    }

    /// Epochs of the controller lease that had a holder.
    pub fn epochs(&self) -> usize {
        self.holders.len()
    }

    pub(super) fn note_leaving(&mut self, now: Time, id: ProcessId) {
        self.leaving.entry(id).or_insert(now);
    }

    /// A process begins a new life.
    pub(super) fn note_start(&mut self, now: Time, id: ProcessId) {
        self.leaving.remove(&id);
        self.restarted_at.insert(id, now);
        self.in_force.remove(&id);
    }

    pub(super) fn note_version(&mut self, now: Time, id: ProcessId, version: ConfigurationVersion) {
        let versions = self.in_force.entry(id).or_default();
        versions.entry(version).or_insert(now);
    }

    pub(super) fn note_fall(
        &mut self,
        id: ProcessId,
        from: ConfigurationVersion,
        to: ConfigurationVersion,
    ) {
        self.version_decreases.push((id, from, to));
    }

    pub(super) fn note_accepted(&mut self, now: Time, version: ConfigurationVersion, id: &str) {
        self.accepted.push((version, now, id.to_string()));
    }

    /// Looks at all loads. What an agent believes of a peer was true at some
    /// time in the window, so its mean is at most the mean of the peaks.
    pub(super) fn sample(&mut self, processes: &[Process]) {
        let mut busiest = 0.0f64;
        let mut peaks = 0.0;
        let mut engines = 0;
        for (id, process) in processes.iter().enumerate() {
            let serves = process.role == MemberRole::Agent
                && process.alive
                && process.name.starts_with("engine")
                && !process.is_draining();
            let load = if serves { process.load() } else { 0.0 };
            let window = self.load_windows.entry(id).or_default();
            window.push_back(load);
            if window.len() > LOAD_WINDOW {
                window.pop_front();
            }
            if serves {
                busiest = busiest.max(load);
                peaks += window.iter().copied().fold(0.0, f64::max);
                engines += 1;
            }
        }
        let mean = (peaks + self.largest_work) / f64::from(engines.max(1));
        let bound = (self.load_cap * mean).max(mean + self.largest_work);
        if bound > 0.0 {
            self.max_load_bound_ratio = self.max_load_bound_ratio.max(busiest / bound);
        }
    }

    /// When every process that was up at acceptance, and still is, had a
    /// version or a later one; none when some do not.
    pub fn in_force_everywhere(
        &self,
        version: ConfigurationVersion,
        accepted_at: Time,
        processes: &[Process],
    ) -> Option<Time> {
        let mut last = Time::default();
        for (id, process) in processes.iter().enumerate() {
            let later_life = self
                .restarted_at
                .get(&id)
                .is_some_and(|at| *at > accepted_at);
            if !process.alive || later_life {
                continue;
            }
            let versions = self.in_force.get(&id)?;
            let (_, at) = versions.range(version..).min_by_key(|(_, at)| **at)?;
            last = last.max(*at);
        }
        Some(last)
    }

    /// Runs under a configuration older than one accepted more than `grace`
    /// before.
    pub fn stale_runs(&self, grace: Duration) -> usize {
        let stale = |run: &&Run| {
            let mut accepted = self.accepted.iter();
            accepted.any(|(version, at, _)| *version > run.version && run.at > *at + grace)
        };
        self.runs.values().flatten().filter(stale).count()
    }

    /// Runs that began at a process more than `grace` after it began to leave.
    pub fn late_runs(&self, grace: Duration) -> usize {
        let late = |run: &&Run| {
            let left = self.leaving.get(&run.agent);
            left.is_some_and(|at| run.at > *at + grace)
        };
        self.runs.values().flatten().filter(late).count()
    }
}
