//! Whether a back end ended: what broke there is then explained by one of the requests
//! that it ran, or by its machine, and not by a link or a single answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, Shared};
use futures_util::FutureExt;
use stacktack_core::direct::back_ends::directory::{InstanceId, VanishedInstance};
use stacktack_core::direct::quarantine::interrupted_runs::InterruptedRun;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::time::Time;

use crate::attempt::Attempt;
use crate::client::{connect_with_reset_check, ConnectError};
use crate::exchange::Exchange;
use crate::router::Router;

/// Longest time for a look at whether a back end still accepts connections: links of a
/// region take a few milliseconds. A look that takes longer proves nothing.
const LOOK_LIMIT: Duration = Duration::from_millis(100);

/// Time for which a living back end keeps the connection of a look. One that ends may close its
/// listener after its connections: connections came up 1 ms after they had all broken. A repeat waits
/// this long where only its connection was cut.
const KEPT_FOR: Duration = Duration::from_millis(10);

/// Connections of one look, where each is closed at once.
const LOOK_TRIES: u32 = 3;

/// Time for which one look counts for all runs that break off at the same back end: an end
/// breaks dozens at the same moment.
const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// Requests that one log line names.
const NAMED: usize = 12;

/// A look that is under way or was just done, and its end.
pub(crate) struct CrashProbe {
    begun: Time,
    done: CrashProbeDone,
}

/// Resolves when a look is over.
pub(crate) type CrashProbeDone = Shared<LocalBoxFuture<'static, ()>>;

/// A back end as a look finds it.
#[derive(Clone, Debug)]
struct Subject {
    id: String,
    life: InstanceId,
    address: SocketAddr,
}

impl Exchange {
    /// A run broke off or fell silent: what ran it may have ended. Returns the look at that,
    /// if there is one.
    pub(crate) fn note_broken_run(
        &self,
        attempt: &Attempt,
        failure: AttemptFailure,
    ) -> Option<CrashProbeDone> {
        if !matches!(failure, AttemptFailure::Broken | AttemptFailure::TimedOut) {
            return None;
        }
        let run = InterruptedRun {
            digest: self.digest(),
            id: self.id.clone(),
            on_probation: attempt.on_probation,
            at: self.router.now(),
        };
        let life = attempt.life;
        self.router.interrupted_runs.borrow_mut().add(life, run);
        let has_ended = self.router.interrupted_runs.borrow().has_ended(life);
        if has_ended {
            self.router
                .on_back_end_ended(&attempt.back_end, life, "seen_before");
            return None;
        }
        let subject = Subject {
            id: attempt.back_end.clone(),
            life,
            address: attempt.address,
        };
        (failure == AttemptFailure::Broken).then(|| look_at(&self.router, subject))
    }
}

/// Looks whether a back end still accepts connections; one look serves all who ask at
/// about the same time, and goes on when they leave.
fn look_at(router: &Rc<Router>, subject: Subject) -> CrashProbeDone {
    let now = router.now();
    let mut looks = router.crash_probes.borrow_mut();
    looks.retain(|_, look| now.since(look.begun) < LOOK_AGAIN);
    let known = looks.entry(subject.life).or_insert_with(|| {
        let done = look(router.clone(), subject).boxed_local().shared();
        actix_rt::spawn(done.clone());
        CrashProbe { begun: now, done }
    });
    known.done.clone()
}

async fn look(router: Rc<Router>, subject: Subject) {
    let id = &subject.id;
    match reach(subject.address).await {
        Ok(()) => log::info!(target: "ended", "back_end={id} ended=false cause=accepts"),
        Err(error) if error.is_refused() => {
            router.on_back_end_ended(id, subject.life, "refused");
        }
        Err(error) => {
            log::info!(target: "ended", "back_end={id} ended=unknown cause=\"{error}\"");
        }
    }
}

/// Whether somebody listens and keeps a connection. One that comes up and ends at once may be the
/// last that a closing listener took, so that it is tried again.
async fn reach(address: SocketAddr) -> Result<(), ConnectError> {
    let mut reached = Ok(());
    for _ in 0..LOOK_TRIES {
        let connected = connect_with_reset_check(address, LOOK_LIMIT, KEPT_FOR).await;
        reached = connected.map(|_| ());
        if !matches!(reached, Err(ConnectError::ClosedOnAccept)) {
            break;
        }
    }
    reached
}

impl Router {
    /// It showed that a life of a back end ended: what broke off there counts against the
    /// requests that it was running.
    pub(crate) fn on_back_end_ended(&self, back_end: &str, life: InstanceId, cause: &'static str) {
        let now = self.now();
        let runs = self
            .interrupted_runs
            .borrow_mut()
            .on_back_end_ended(life, now);
        let named: Vec<String> = runs
            .iter()
            .take(NAMED)
            .map(|run| format!("{}:{}", run.id, run.digest))
            .collect();
        log::info!(
            target: "ended",
            "back_end={back_end} ended=true cause={cause} broken={} requests={}",
            runs.len(),
            named.join(","),
        );
        self.metrics.count_crash(cause);
        if self.is_leaving(back_end) {
            // A planned end is nobody's doing.
            return;
        }
        for run in runs {
            let mut quarantine = self.quarantine.borrow_mut();
            let change = quarantine.on_crash(run.digest, life, run.on_probation, now);
            drop(quarantine);
            self.on_treatment_change(change, "own");
        }
    }

    /// A request found nobody there. Where runs had broken off and the look at that was lost on
    /// its way, this shows that the back end ended.
    pub(crate) fn on_refused(&self, back_end: &str, life: InstanceId) {
        let waiting = self.interrupted_runs.borrow().has_unexplained(life);
        if waiting {
            self.on_back_end_ended(back_end, life, "refused");
        }
    }

    fn is_leaving(&self, back_end: &str) -> bool {
        let back_ends = self.back_ends.borrow();
        let known = back_ends.get(back_end);
        known.is_some_and(|known| known.entry.leaving)
    }

    /// Entries vanished from the directory, or tell of another life: where runs had broken
    /// off, the lives that they were known under have ended.
    pub(crate) fn on_vanished(&self, vanished: &[VanishedInstance]) {
        for VanishedInstance {
            back_end,
            instance: life,
        } in vanished
        {
            let waiting = self.interrupted_runs.borrow().has_unexplained(*life);
            if waiting {
                self.on_back_end_ended(back_end, *life, "vanished");
            }
        }
    }
}
