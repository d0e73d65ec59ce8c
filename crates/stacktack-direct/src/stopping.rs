//! The end of a router's process: how long it takes requests after it was told to stop, and when it
//! ends.

use std::time::Duration;

use stacktack_core::direct::request::run_times::RunId;
use stacktack_core::direct::traffic::route::Route;
use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::router::{Phase, Router};

/// Time after a stop signal in which new connections are still served: whoever
/// sends callers here has to notice first.
const LOOK_AWAY: Duration = Duration::from_millis(2600);

/// Time after a stop signal for which callers are served while no other router
/// is known to take them. Answers begun then still have half of a usual grace.
const LAST_SERVING: Duration = Duration::from_millis(3800);

/// Time that the last bytes of an answer are given to leave.
const FLUSH: Duration = Duration::from_millis(200);

/// Time between looks at open connections while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Time before the end of the grace at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(100);

/// Says that it stops, serves who still comes, then waits for what is under way.
pub(crate) async fn stop(router: &Router) {
    let begun = router.now();
    router.stop_begun.set(Some(begun));
    log::info!(target: "router", "stopping open_connections={} requests={}", router.open_connections.get(), router.exchanges.get());
    router.phase.send_replace(Phase::Closing);
    sleep(LOOK_AWAY).await;
    while !router.peers.borrow().any_serving() && router.now().since(begun) < LAST_SERVING {
        sleep(STOP_POLL).await;
    }
    log::info!(
        target: "router",
        "taking=false after_ms={} others_serve={} requests={}",
        router.now().since(begun).as_millis(),
        router.peers.borrow().any_serving(),
        router.exchanges.get(),
    );
    router.phase.send_replace(Phase::Draining);
    let end = router.stop_end(begun);
    let mut quiet_since = None;
    while router.open_connections.get() > 0 && router.now() < end {
        sleep(STOP_POLL.min(end.since(router.now()))).await;
        quiet_since = match router.exchanges.get() {
            0 => quiet_since.or(Some(router.now())),
            _ => None,
        };
        if quiet_since.is_some_and(|since| router.now().since(since) >= FLUSH) {
            break;
        }
    }
    router.phase.send_replace(Phase::Ended);
    log::info!(
        target: "router",
        "stopped after_ms={} open_connections={} cut={}",
        router.now().since(begun).as_millis(),
        router.open_connections.get(),
        router.exchanges.get(),
    );
}

impl Router {
    /// When the process ends by itself after a stop signal.
    fn stop_end(&self, begun: Time) -> Time {
        begun + self.bounds().grace.saturating_sub(GRACE_MARGIN)
    }

    /// Says what decided that a request is taken after the stop signal.
    pub(crate) fn log_taken_while_stopping(&self, id: &str, route: &Route, limit: Time) {
        let Some(begun) = self.stop_begun.get() else {
            return;
        };
        let now = self.now();
        let longest = self.longest_run(&route.name);
        log::info!(
            target: "stop",
            "id={id} taken=true after_ms={} left_ms={} limit_ms={} longest_run_ms={} others_serve={}",
            now.since(begun).as_millis(),
            self.stop_end(begun).since(now).as_millis(),
            limit.since(now).as_millis(),
            longest.map_or_else(|| "-".to_owned(), |longest| longest.as_millis().to_string()),
            self.peers.borrow().any_serving(),
        );
    }

    /// A request of a route arrived at a time.
    pub(crate) fn begin_run(&self, route: &str, arrived: Time) -> RunId {
        let mut run_times = self.run_times.borrow_mut();
        run_times
            .entry(route.to_owned())
            .or_default()
            .begin(arrived)
    }

    /// It is over; `ran` as [`stacktack_core::direct::request::run_times::RunTimes::end`] has it.
    pub(crate) fn end_run(&self, route: &str, run: RunId, ran: bool) {
        let now = self.now();
        if let Some(times) = self.run_times.borrow_mut().get_mut(route) {
            times.end(run, ran, now);
        }
    }

    /// Longest time that a request of a route took of late.
    fn longest_run(&self, route: &str) -> Option<Duration> {
        let run_times = self.run_times.borrow();
        run_times.get(route)?.longest(self.now())
    }

    /// Forgets routes without requests of late.
    pub(crate) fn forget_run_times(&self, now: Time) {
        let mut run_times = self.run_times.borrow_mut();
        run_times.retain(|_, times| !times.is_idle(now));
    }
}
