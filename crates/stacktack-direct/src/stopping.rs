//! The end of a router's process: what it takes after it was told to stop, and when it ends.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::request::planned_stop::{PlannedStop, RequestTiming};
use stacktack_core::direct::request::run_times::RunId;
use stacktack_core::direct::traffic::route::Route;
use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::respond::RETRY_AFTER;
use crate::router::{Phase, Router};

/// Time without anything under way after which the process ends: requests may have been sent before their callers
/// were told that the connection closes.
const QUIET: Duration = Duration::from_millis(200);

/// Time over which refused callers come back: the first router that is back serves them alone.
const RETURN_SPREAD: Duration = Duration::from_millis(1500);

/// Time between looks at what is under way while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Says that it stops, serves who still comes, then waits for what is under way.
pub async fn stop(router: &Router) {
    let stop = PlannedStop::new(router.now(), router.bounds().grace);
    router.planned_stop.set(Some(stop));
    log::info!(
        target: "router",
        "stopping open_connections={} requests={}",
        router.open_connections.get(),
        router.requests_in_flight.get(),
    );
    router.phase.send_replace(Phase::Closing);
    router.until_in_stop(PlannedStop::deregistered_at).await;
    serve_as_the_last(router).await;
    log::info!(
        target: "router",
        "taking=false after_ms={} others_serve={} requests={}",
        stop.age(router.now()).as_millis(),
        router.peers.borrow().any_serving(),
        router.requests_in_flight.get(),
    );
    router.phase.send_replace(Phase::Draining);
    drain(router).await;
    router.phase.send_replace(Phase::Ended);
    log::info!(
        target: "router",
        "stopped after_ms={} open_connections={} cut={} unfinished={} unread={}",
        stop.age(router.now()).as_millis(),
        router.open_connections.get(),
        router.requests_in_flight.get(),
        router.requests_being_read.get(),
        router.connections_flushing.get(),
    );
}

/// While no other router serves, short requests are served for as long as requests that came before keep the
/// process. Those taken here prolong that by their own answers only.
async fn serve_as_the_last(router: &Router) {
    while !router.peers.borrow().any_serving()
        && router.requests_in_flight.get() > router.admitted_after_deregistration.get()
        && router.now() < router.stop_end()
    {
        router.poll_in_stop().await;
    }
}

/// Waits for requests that arrive and for answers under way, until their last bytes have left.
async fn drain(router: &Router) {
    let mut quiet_since = None;
    while router.open_connections.get() > 0 && router.now() < router.stop_end() {
        router.poll_in_stop().await;
        quiet_since = match router.requests_in_flight.get()
            + router.requests_being_read.get()
            + router.connections_flushing.get()
        {
            0 => quiet_since.or(Some(router.now())),
            _ => None,
        };
        if quiet_since.is_some_and(|since| router.now().since(since) >= QUIET) {
            return;
        }
    }
}

/// A time that does not come.
const NEVER: Time = Time(u64::MAX);

impl Router {
    /// When the process ends by itself; never while it was not told to stop.
    fn stop_end(&self) -> Time {
        self.planned_stop.get().map_or(NEVER, |stop| stop.end())
    }

    /// Takes over a shorter grace.
    pub(crate) fn shorten_grace(&self, grace: Duration) {
        if let Some(mut stop) = self.planned_stop.get() {
            stop.shorten_grace(grace);
            self.planned_stop.set(Some(stop));
            // Wakes those that wait for the end.
            self.phase.send_modify(|_| ());
        }
    }

    /// Whether a request is taken, asked at its head and again when its body is whole: always, unless the
    /// process may end before its answer does.
    pub(crate) fn may_admit(&self, id: &str, route: &Route, limit: Time) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let now = self.now();
        let request = self.stop_request(route, limit);
        let decision = stop.decide(&request, now);
        log::info!(
            target: "stop",
            "id={id} taken={} by={} after_ms={} left_ms={} limit_ms={} longest_run_ms={} others_serve={}",
            decision.is_admitted(),
            decision.as_str(),
            stop.age(now).as_millis(),
            stop.end().since(now).as_millis(),
            limit.since(now).as_millis(),
            request.longest_run.map_or_else(|| "-".to_owned(), |longest| longest.as_millis().to_string()),
            self.peers.borrow().any_serving(),
        );
        decision.is_admitted()
    }

    /// Counts a request that is taken after callers have looked away; returns whether this one is.
    pub(crate) fn count_admission_after_deregistration(&self) -> bool {
        let now = self.now();
        let stop = self.planned_stop.get();
        let is_late = stop.is_some_and(|stop| now >= stop.deregistered_at());
        if is_late {
            self.admitted_after_deregistration
                .set(self.admitted_after_deregistration.get() + 1);
        }
        is_late
    }

    /// Whether the answer to another attempt of a request that was taken has time to become whole.
    pub(crate) fn has_time_for_retry(&self, route: &Route, limit: Time) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        stop.may_retry(&self.stop_request(route, limit), self.now())
    }

    fn stop_request(&self, route: &Route, limit: Time) -> RequestTiming {
        RequestTiming {
            deadline: limit,
            longest_run: self.longest_run(&route.name),
        }
    }

    /// Waits until a request is answered at the latest: at its limit, or before the process ends.
    pub(crate) async fn until_response_due(&self, limit: Time) {
        tokio::select! {
            () = self.sleep_until(limit) => {}
            () = self.until_in_stop(PlannedStop::response_deadline) => {}
        }
    }

    /// Waits for a moment of the stop, also when that comes sooner than it seemed; for ever while the process
    /// is not told to stop.
    async fn until_in_stop(&self, moment: fn(&PlannedStop) -> Time) {
        let mut phase = self.phase.subscribe();
        loop {
            let stop = self.planned_stop.get();
            let at = stop.as_ref().map_or(NEVER, moment);
            tokio::select! {
                () = self.sleep_until(at) => return,
                // An error means that the router is gone, and with it who waits.
                _ = phase.changed() => {}
            }
        }
    }

    /// Waits for the next look at what is under way, never beyond the end.
    async fn poll_in_stop(&self) {
        let left = self.stop_end().since(self.now());
        sleep(STOP_POLL.min(left)).await;
    }

    /// Time until some router takes all requests again, as far as known.
    pub(crate) fn time_until_serving(&self) -> Duration {
        let peers = self.peers.borrow();
        if peers.any_serving() {
            return RETRY_AFTER;
        }
        let grace = self.bounds().grace;
        let of_peer = peers
            .first_stopped()
            .map(|begun| PlannedStop::new(begun, grace));
        let longest = self.longest_run_of_all();
        let stops = self.planned_stop.get().into_iter().chain(of_peer);
        let back = stops.map(|stop| stop.successor_ready_at(longest)).min();
        let wait = back.map_or(Duration::ZERO, |back| back.since(self.now()));
        wait.max(RETRY_AFTER) + RETURN_SPREAD.mul_f64(rand::rng().random())
    }

    /// A request of a route is taken.
    pub(crate) fn begin_run(&self, route: &str) -> RunId {
        let now = self.now();
        let mut run_times = self.run_times.borrow_mut();
        run_times.entry(route.to_owned()).or_default().begin(now)
    }

    /// It is over; `ran` as [`stacktack_core::direct::request::run_times::RunTimes::end`] has it.
    pub(crate) fn end_run(&self, route: &str, run: RunId, ran: bool) {
        let now = self.now();
        if let Some(times) = self.run_times.borrow_mut().get_mut(route) {
            times.end(run, ran, now);
        }
    }

    /// Longest run of a route of late.
    fn longest_run(&self, route: &str) -> Option<Duration> {
        let run_times = self.run_times.borrow();
        run_times.get(route)?.longest(self.now())
    }

    fn longest_run_of_all(&self) -> Option<Duration> {
        let now = self.now();
        let run_times = self.run_times.borrow();
        run_times
            .values()
            .filter_map(|times| times.longest(now))
            .max()
    }

    /// Forgets routes without requests of late.
    pub(crate) fn remove_idle_run_times(&self, now: Time) {
        let mut run_times = self.run_times.borrow_mut();
        run_times.retain(|_, times| !times.is_idle(now));
    }
}
