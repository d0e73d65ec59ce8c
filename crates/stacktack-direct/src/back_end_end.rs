//! Whether a back end ended: what broke there is then explained by one of the requests
//! that it ran, or by its machine, and not by a link or a single answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, Shared};
use futures_util::FutureExt;
use stacktack_core::direct::quarantine::broken_runs::BrokenRun;
use stacktack_core::direct::request::attempt::AttemptFailure;
use stacktack_core::time::Time;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::attempt::Attempt;
use crate::exchange::Exchange;
use crate::router::Router;

/// Longest time for a look at whether a back end still accepts connections: links of a
/// region take a few milliseconds. A look that takes longer proves nothing.
const LOOK_LIMIT: Duration = Duration::from_millis(100);

/// Time for which one look counts for all runs that break off at the same back end: an end
/// breaks dozens at the same moment.
const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// Requests that one log line names.
const NAMED: usize = 12;

/// A look that is under way or was just done.
pub(crate) struct Look {
    begun: Time,
    done: Shared<LocalBoxFuture<'static, ()>>,
}

impl Exchange {
    /// A run broke off or fell silent. What ran it may have ended.
    pub(crate) fn note_broken_run(&self, attempt: &Attempt, failure: AttemptFailure) {
        if !matches!(failure, AttemptFailure::Broken | AttemptFailure::Silent) {
            return;
        }
        let run = BrokenRun {
            digest: self.digest(),
            id: self.id.clone(),
            on_trial: false,
            at: self.router.now(),
        };
        let back_end = &attempt.back_end;
        self.router.broken_runs.borrow_mut().note(back_end, run);
        if self.router.broken_runs.borrow().has_ended(back_end) {
            self.router.on_back_end_ended(back_end, "seen_before");
        } else if failure == AttemptFailure::Broken {
            actix_rt::spawn(look_at(&self.router, back_end, attempt.address));
        }
    }
}

/// Looks whether a back end still accepts connections; one look serves all who ask at
/// about the same time.
pub(crate) fn look_at(
    router: &Rc<Router>,
    back_end: &str,
    address: SocketAddr,
) -> Shared<LocalBoxFuture<'static, ()>> {
    let now = router.now();
    let mut looks = router.looks.borrow_mut();
    looks.retain(|_, look| now.since(look.begun) < LOOK_AGAIN);
    let look = looks.entry(back_end.to_owned()).or_insert_with(|| Look {
        begun: now,
        done: look(router.clone(), back_end.to_owned(), address)
            .boxed_local()
            .shared(),
    });
    look.done.clone()
}

async fn look(router: Rc<Router>, back_end: String, address: SocketAddr) {
    let connected = timeout(LOOK_LIMIT, TcpStream::connect(address)).await;
    match connected {
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            router.on_back_end_ended(&back_end, "refused");
        }
        Ok(Ok(_)) => log::info!(target: "ended", "back_end={back_end} ended=false cause=accepts"),
        Ok(Err(error)) => {
            log::info!(target: "ended", "back_end={back_end} ended=unknown cause=\"{error}\"");
        }
        Err(_) => log::info!(target: "ended", "back_end={back_end} ended=unknown cause=no_answer"),
    }
}

impl Router {
    /// It showed that a back end ended.
    pub(crate) fn on_back_end_ended(&self, back_end: &str, cause: &str) {
        let now = self.now();
        let runs = self.broken_runs.borrow_mut().on_ended(back_end, now);
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
    }

    /// Entries vanished from the directory: where runs had broken off, the back ends ended.
    pub(crate) fn on_vanished(&self, back_ends: &[String]) {
        for back_end in back_ends {
            if self.broken_runs.borrow().is_waiting(back_end) {
                self.on_back_end_ended(back_end, "vanished");
            }
        }
    }
}
