//! Detects that a back end ended: its interrupted runs are then explained by one of the requests
//! that it ran, or by its machine, and not by a link or a single response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, Shared};
use futures_util::FutureExt;
use stacktack_core::direct::back_ends::back_end::BackEnd;
use stacktack_core::direct::back_ends::directory::{InstanceId, VanishedInstance};
use stacktack_core::direct::quarantine::interrupted_runs::{count_parts, InterruptedRun};
use stacktack_core::direct::quarantine::suspects::SuspectPart;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::time::Time;

use crate::attempt::Attempt;
use crate::client::{connect_with_reset_check, ConnectError};
use crate::exchange::Exchange;
use crate::router::Router;

/// Maximum time for connecting to a back end in a crash probe: links of a region take a few
/// milliseconds. A connection that takes longer proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a probe's connection must stay open to show that the back end lives. One that
/// ends may close its listener after its connections: connections were accepted 1 ms after all
/// others had broken. A retry waits this long if only its connection was cut.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(10);

/// Maximum number of connections of one probe, if each is closed at once.
const MAX_PROBE_CONNECTIONS: u32 = 3;

/// Time for which one probe counts for all runs that are interrupted at the same back end, since a
/// crash interrupts dozens at the same moment.
const PROBE_REUSE_TIME: Duration = Duration::from_millis(300);

/// Maximum number of interrupted runs that one log line lists.
const MAX_LOGGED_RUNS: usize = 12;

/// Maximum number of prompt parts that one log line lists.
const MAX_LOGGED_PARTS: usize = 6;

/// A crash probe that is running or recently finished.
pub(crate) struct CrashProbe {
    started: Time,
    done: CrashProbeDone,
}

/// Resolves when a crash probe has finished.
pub(crate) type CrashProbeDone = Shared<LocalBoxFuture<'static, ProbeResult>>;

/// What a crash probe found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The back end accepts connections.
    Accepts,
    /// The back end has ended.
    Ended,
    /// The probe failed, which proves nothing.
    Unknown,
}

/// The back end that a crash probe connects to.
#[derive(Clone, Debug)]
struct ProbeTarget {
    id: String,
    instance: InstanceId,
    address: SocketAddr,
}

impl Exchange {
    /// Records a run that broke off or timed out, since its back end may have ended; other failures
    /// are ignored. Returns the crash probe that checks this: only for a run that broke off at a
    /// back end that is not known to have ended.
    pub(crate) fn record_interrupted_run(
        &self,
        attempt: &Attempt,
        failure: AttemptFailure,
    ) -> Option<CrashProbeDone> {
        if !matches!(failure, AttemptFailure::Broken | AttemptFailure::TimedOut) {
            return None;
        }
        let run = InterruptedRun {
            suspects: self.suspects(),
            version: attempt.version.hash(),
            try_id: self.id.clone(),
            on_probation: attempt.on_probation,
            at: self.router.now(),
        };
        let instance = attempt.instance;
        self.router.interrupted_runs.borrow_mut().add(instance, run);
        let has_ended = self.router.interrupted_runs.borrow().has_ended(instance);
        if has_ended {
            self.router
                .on_back_end_ended(&attempt.back_end, instance, "seen_before");
            return None;
        }
        let target = ProbeTarget {
            id: attempt.back_end.clone(),
            instance,
            address: attempt.address,
        };
        (failure == AttemptFailure::Broken).then(|| probe(&self.router, target))
    }
}

/// Checks whether a back end still accepts connections. One probe serves all requests that ask at
/// about the same time, and goes on when they end.
fn probe(router: &Rc<Router>, target: ProbeTarget) -> CrashProbeDone {
    let now = router.now();
    let mut probes = router.crash_probes.borrow_mut();
    probes.retain(|_, probe| now.since(probe.started) < PROBE_REUSE_TIME);
    let known = probes.entry(target.instance).or_insert_with(|| {
        let done = run_probe(router.clone(), target).boxed_local().shared();
        actix_rt::spawn(done.clone());
        CrashProbe { started: now, done }
    });
    known.done.clone()
}

async fn run_probe(router: Rc<Router>, target: ProbeTarget) -> ProbeResult {
    let id = &target.id;
    match check_connection(target.address).await {
        Ok(()) => {
            log::info!(target: "ended", "back_end={id} ended=false cause=accepts");
            ProbeResult::Accepts
        }
        Err(error) if error.is_refused() => {
            router.on_back_end_ended(id, target.instance, "refused");
            ProbeResult::Ended
        }
        Err(error) => {
            log::info!(target: "ended", "back_end={id} ended=unknown cause=\"{error}\"");
            ProbeResult::Unknown
        }
    }
}

/// Connects, and checks that the connection stays open. One that is closed at once may be the last
/// that a closing listener accepted, so the connection is tried again.
async fn check_connection(address: SocketAddr) -> Result<(), ConnectError> {
    let mut result = Ok(());
    for _ in 0..MAX_PROBE_CONNECTIONS {
        let connected = connect_with_reset_check(address, PROBE_TIMEOUT, PROBE_HOLD_TIME).await;
        result = connected.map(|_| ());
        if !matches!(result, Err(ConnectError::ClosedOnAccept)) {
            break;
        }
    }
    result
}

impl Router {
    /// Called when an instance of a back end is known to have ended. Its interrupted runs count
    /// against their requests, unless its end was planned.
    pub(crate) fn on_back_end_ended(
        &self,
        back_end: &str,
        instance: InstanceId,
        cause: &'static str,
    ) {
        let now = self.now();
        let runs = self
            .interrupted_runs
            .borrow_mut()
            .on_instance_ended(instance, now);
        let logged_runs: Vec<String> = runs
            .iter()
            .take(MAX_LOGGED_RUNS)
            .map(|run| {
                let digest = run.suspects.request.map(|digest| digest.to_string());
                format!("{}:{}", run.try_id, digest.unwrap_or_default())
            })
            .collect();
        log::info!(
            target: "ended",
            "back_end={back_end} ended=true cause={cause} broken={} requests={} parts={}",
            runs.len(),
            logged_runs.join(","),
            self.parts_text(&runs),
        );
        self.metrics.count_crash(cause);
        if self.is_leaving(back_end) {
            // A planned end is not caused by a request.
            return;
        }
        let mut changes = Vec::new();
        let mut quarantine = self.quarantine.borrow_mut();
        for run in runs {
            let on_probation = run.on_probation;
            let blamed =
                quarantine.on_crash(&run.suspects, instance, run.version, on_probation, now);
            changes.extend(blamed);
        }
        drop(quarantine);
        self.on_treatment_changes(&changes, "own");
    }

    /// The parts that the most interrupted runs of one back end had in their prompts, each with its
    /// digest, the number of these runs, and whether a whole response on it is known.
    fn parts_text(&self, runs: &[InterruptedRun]) -> String {
        let version = runs.first().map(|run| run.version);
        let quarantine = self.quarantine.borrow();
        let text = |(part, count): &(SuspectPart, usize)| {
            let is_proven = version.is_some_and(|version| quarantine.is_proven(part, version));
            let proof = if is_proven { "proven" } else { "unproven" };
            format!("{:x}/{}:{count}:{proof}", part.id, part.digest)
        };
        let counts = count_parts(runs);
        let logged: Vec<String> = counts.iter().take(MAX_LOGGED_PARTS).map(text).collect();
        logged.join(",")
    }

    /// Called when a request's connection was refused. If runs were interrupted there whose probe
    /// was lost on its way, this shows that the back end ended.
    pub(crate) fn on_connection_refused(&self, back_end: &str, instance: InstanceId) {
        let has_unexplained = self.interrupted_runs.borrow().has_unexplained(instance);
        if has_unexplained {
            self.on_back_end_ended(back_end, instance, "refused");
        }
    }

    fn is_leaving(&self, back_end: &str) -> bool {
        let back_ends = self.back_ends.borrow();
        let known = back_ends.get(back_end);
        known.is_some_and(BackEnd::is_leaving)
    }

    /// Called when entries vanished from the directory, or name another instance: where runs were
    /// interrupted, the instances that vanished have ended.
    pub(crate) fn on_vanished(&self, vanished: &[VanishedInstance]) {
        for VanishedInstance { back_end, instance } in vanished {
            let has_unexplained = self.interrupted_runs.borrow().has_unexplained(*instance);
            if has_unexplained {
                self.on_back_end_ended(back_end, *instance, "vanished");
            }
        }
    }
}
