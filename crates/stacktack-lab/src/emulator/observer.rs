//! Observations that are independent of the product: runs at back ends,
//! configuration versions in use, lease holders and loads.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use stacktack_core::time::Time;
use stacktack_wire::gossip::MemberRole;
use stacktack_wire::identity::{AttemptId, ConfigurationVersion, RequestId};

use super::process::{Process, ProcessId};

/// Number of samples, 20 ms apart, over which the load bound takes the highest
/// load of each engine: load gossip takes up to three seconds to spread.
pub const LOAD_WINDOW_SAMPLES: usize = 150;

/// One run of an attempt at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time at which the run began.
    pub at: Time,
    /// Agent of the back end.
    pub agent: ProcessId,
    /// Version of the configuration with which the router chose the back end.
    pub version: ConfigurationVersion,
}

/// Observations of one emulated fleet.
#[derive(Debug, Default)]
pub struct Observer {
    /// Runs by request.
    pub runs: HashMap<RequestId, Vec<Run>>,
    /// Number of runs of keyed service calls, by idempotency key.
    pub key_runs: HashMap<String, u32>,
    /// Time at which each process began to leave: it was drained or stopped, or
    /// the platform listed its machine as leaving.
    pub leaving: BTreeMap<ProcessId, Time>,
    /// Time at which the current incarnation of each process first used each
    /// configuration version.
    pub in_force: HashMap<ProcessId, BTreeMap<ConfigurationVersion, Time>>,
    /// Start time of the current incarnation of each restarted process.
    pub restarted_at: HashMap<ProcessId, Time>,
    /// Decreases of the configuration version within one incarnation: process,
    /// highest version before, lower version after.
    pub version_decreases: Vec<(ProcessId, ConfigurationVersion, ConfigurationVersion)>,
    /// Accepted configuration versions, with the time and the change
    /// identifier.
    pub accepted: Vec<(ConfigurationVersion, Time, String)>,
    /// Number of changes that operators know to have lost against a concurrent
    /// change.
    pub lost_races: u32,
    /// Number of changes of which operators do not know whether they were
    /// accepted.
    pub unknown_applies: u32,
    holders: BTreeMap<u64, ProcessId>,
    /// Number of times that a process acted as lease holder although its epoch
    /// had another holder, or a later epoch already had a holder.
    pub lease_conflicts: usize,
    load_windows: BTreeMap<ProcessId, VecDeque<f64>>,
    /// Highest load of any engine, as a fraction of the bound `max(cap * mean,
    /// mean + largest request)`. The mean is taken over the highest load of
    /// each engine in the last [`LOAD_WINDOW_SAMPLES`] samples, with the work of
    /// one largest request added to their sum.
    pub max_load_bound_ratio: f64,
    /// Largest work of a single request so far, in work units; used by the load
    /// bound.
    pub largest_work: f64,
    /// Load cap of the fleet, used by the load bound.
    pub load_cap: f64,
}

impl Observer {
    /// Creates the observer of a fleet with this load cap.
    pub fn new(load_cap: f64) -> Self {
        Observer {
            load_cap,
            ..Observer::default()
        }
    }

    pub(super) fn record_run(
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

    /// Records that a process acts as the holder of the controller lease.
    pub(super) fn record_holder(&mut self, id: ProcessId, epoch: u64) {
        let first = *self.holders.entry(epoch).or_insert(id);
        let newest = self.holders.keys().next_back().copied();
        let superseded = newest.is_some_and(|newest| newest > epoch);
        self.lease_conflicts += usize::from(first != id || superseded);
    }

    /// Number of epochs of the controller lease that had a holder.
    pub fn epochs(&self) -> usize {
        self.holders.len()
    }

    pub(super) fn record_leaving(&mut self, now: Time, id: ProcessId) {
        self.leaving.entry(id).or_insert(now);
    }

    /// Records the start of a new incarnation, and forgets when the previous one
    /// began to leave and which versions it used.
    pub(super) fn record_start(&mut self, now: Time, id: ProcessId) {
        self.leaving.remove(&id);
        self.restarted_at.insert(id, now);
        self.in_force.remove(&id);
    }

    pub(super) fn record_version(
        &mut self,
        now: Time,
        id: ProcessId,
        version: ConfigurationVersion,
    ) {
        let versions = self.in_force.entry(id).or_default();
        versions.entry(version).or_insert(now);
    }

    pub(super) fn record_version_decrease(
        &mut self,
        id: ProcessId,
        from: ConfigurationVersion,
        to: ConfigurationVersion,
    ) {
        self.version_decreases.push((id, from, to));
    }

    pub(super) fn record_accepted(&mut self, now: Time, version: ConfigurationVersion, id: &str) {
        self.accepted.push((version, now, id.to_string()));
    }

    /// Samples the load of all engines. The load that an agent knows of a peer
    /// was true at some time in the window, so the mean that the agent computes
    /// is at most the mean of the peaks.
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
            if window.len() > LOAD_WINDOW_SAMPLES {
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

    /// Time by which every process that was alive when the version was accepted,
    /// and still is, used this version or a later one; `None` while some process
    /// does not. Processes that restarted after the acceptance are left out.
    pub fn in_force_everywhere(
        &self,
        version: ConfigurationVersion,
        accepted_at: Time,
        processes: &[Process],
    ) -> Option<Time> {
        let mut last = Time::default();
        for (id, process) in processes.iter().enumerate() {
            let restarted = self
                .restarted_at
                .get(&id)
                .is_some_and(|at| *at > accepted_at);
            if !process.alive || restarted {
                continue;
            }
            let versions = self.in_force.get(&id)?;
            let (_, at) = versions.range(version..).min_by_key(|(_, at)| **at)?;
            last = last.max(*at);
        }
        Some(last)
    }

    /// Number of runs under a configuration older than one that was accepted
    /// more than `grace` before the run.
    pub fn stale_runs(&self, grace: Duration) -> usize {
        let stale = |run: &&Run| {
            let mut accepted = self.accepted.iter();
            accepted.any(|(version, at, _)| *version > run.version && run.at > *at + grace)
        };
        self.runs.values().flatten().filter(stale).count()
    }

    /// Number of runs that began at a process more than `grace` after it began
    /// to leave.
    pub fn late_runs(&self, grace: Duration) -> usize {
        let late = |run: &&Run| {
            let left = self.leaving.get(&run.agent);
            left.is_some_and(|at| run.at > *at + grace)
        };
        self.runs.values().flatten().filter(late).count()
    }
}
