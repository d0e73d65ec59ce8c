//! Graceful shutdown: which requests are admitted after the stop signal, and when the process ends.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::request::planned_stop::{PlannedStop, RequestTiming};
use stacktack_core::direct::request::run_times::RunId;
use stacktack_core::direct::traffic::route::Route;
use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::respond::{spread_latest_return, RETRY_AFTER};
use crate::router::{Phase, Router};

/// Time without any request or response in flight after which a draining process ends although
/// callers' connections are open. Callers may have sent requests before they learned that the
/// connection closes.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Time between two checks of what is in flight during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Announces the stop, serves requests that still arrive, then waits for those in flight.
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
    router.until_stop_moment(PlannedStop::deregistered_at).await;
    serve_while_alone(router).await;
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

/// While no other router serves, goes on serving short requests for as long as requests from before
/// the deregistration are in flight. Requests that are admitted meanwhile do not prolong this; only
/// their own responses are waited for afterwards.
async fn serve_while_alone(router: &Router) {
    while !router.peers.borrow().any_serving()
        && router.requests_in_flight.get() > router.admitted_after_deregistration.get()
        && router.now() < router.stop_end()
    {
        router.sleep_until_stop_poll().await;
    }
}

/// Waits for requests that are being read and for responses in flight: until no connection of a
/// caller is open, nothing was in flight for [`QUIET_TIME`], or the process has to end.
async fn drain(router: &Router) {
    let mut quiet_since = None;
    while router.open_connections.get() > 0 && router.now() < router.stop_end() {
        router.sleep_until_stop_poll().await;
        quiet_since = match router.requests_in_flight.get()
            + router.requests_being_read.get()
            + router.connections_flushing.get()
        {
            0 => quiet_since.or(Some(router.now())),
            _ => None,
        };
        if quiet_since.is_some_and(|since| router.now().since(since) >= QUIET_TIME) {
            return;
        }
    }
}

/// A time that is never reached.
const NEVER: Time = Time(u64::MAX);

impl Router {
    /// When the process ends by itself; [`NEVER`] before a stop signal.
    fn stop_end(&self) -> Time {
        self.planned_stop.get().map_or(NEVER, |stop| stop.end())
    }

    /// Applies a changed grace period to a stop in progress; only a shorter one has an effect.
    pub(crate) fn shorten_grace(&self, grace: Duration) {
        if let Some(mut stop) = self.planned_stop.get() {
            stop.shorten_grace(grace);
            self.planned_stop.set(Some(stop));
            // Wakes tasks that wait for a moment of the stop.
            self.phase.send_modify(|_| ());
        }
    }

    /// Whether a request may be admitted; checked when its head has arrived and again when its body
    /// is complete. After a stop signal the request is admitted only if its response is expected to
    /// be complete before the process ends.
    pub(crate) fn may_admit(&self, id: &str, route: &Route, deadline: Time) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let now = self.now();
        let request = self.request_timing(route, deadline);
        let decision = stop.decide(&request, now);
        log::info!(
            target: "stop",
            "id={id} taken={} by={} after_ms={} left_ms={} limit_ms={} longest_run_ms={} others_serve={}",
            decision.is_admitted(),
            decision.as_str(),
            stop.age(now).as_millis(),
            stop.end().since(now).as_millis(),
            deadline.since(now).as_millis(),
            request.longest_run.map_or_else(|| "-".to_owned(), |longest| longest.as_millis().to_string()),
            self.peers.borrow().any_serving(),
        );
        decision.is_admitted()
    }

    /// Counts the request that is now admitted if [`PlannedStop::deregistered_at`] has passed.
    /// Returns whether it was counted.
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

    /// Whether the response to another attempt of an admitted request has time to be completed
    /// before the process ends.
    pub(crate) fn has_time_for_retry(&self, route: &Route, deadline: Time) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        stop.may_retry(&self.request_timing(route, deadline), self.now())
    }

    fn request_timing(&self, route: &Route, deadline: Time) -> RequestTiming {
        RequestTiming {
            deadline,
            longest_run: self.longest_run(&route.name),
        }
    }

    /// Waits until a request has to be answered: at its deadline, or before the process ends if
    /// that is sooner.
    pub(crate) async fn until_response_due(&self, deadline: Time) {
        tokio::select! {
            () = self.sleep_until(deadline) => {}
            () = self.until_stop_moment(PlannedStop::response_deadline) => {}
        }
    }

    /// Waits for a moment of the stop, also if a shorter grace period brings it forward meanwhile;
    /// does not return before a stop signal.
    async fn until_stop_moment(&self, moment: fn(&PlannedStop) -> Time) {
        let mut phase = self.phase.subscribe();
        loop {
            let stop = self.planned_stop.get();
            let at = stop.as_ref().map_or(NEVER, moment);
            tokio::select! {
                () = self.sleep_until(at) => return,
                // Fails only if the router is dropped, and this future with it.
                _ = phase.changed() => {}
            }
        }
    }

    /// Waits until the next check of what is in flight, at most until the process ends.
    async fn sleep_until_stop_poll(&self) {
        let left = self.stop_end().since(self.now());
        sleep(STOP_POLL_INTERVAL.min(left)).await;
    }

    /// Time after which a refused caller should return: when some router is expected to admit all
    /// requests again, or late in `max`, the longest time for which it waits, if that is sooner. If
    /// none does now, callers are spread over the rest of `max`, because the first router that serves
    /// again serves all of them alone.
    pub(crate) fn time_until_serving(&self, max: Duration) -> Duration {
        let peers = self.peers.borrow();
        if peers.any_serving() {
            return RETRY_AFTER.min(max);
        }
        let grace = self.bounds().grace;
        let stop_of_peer = peers
            .first_stop_time()
            .map(|signaled| PlannedStop::new(signaled, grace));
        let longest_run = self.longest_run_of_all();
        let stops = self.planned_stop.get().into_iter().chain(stop_of_peer);
        let ready_at = stops.map(|stop| stop.successor_ready_at(longest_run)).min();
        let wait = ready_at.map_or(Duration::ZERO, |ready_at| ready_at.since(self.now()));
        let wait = wait.max(RETRY_AFTER);
        match max.checked_sub(wait) {
            Some(rest) => wait + rest.mul_f64(rand::rng().random()),
            None => spread_latest_return(max),
        }
    }

    /// Adds a request that was admitted to the run times of its route.
    pub(crate) fn begin_run(&self, route: &str) -> RunId {
        let now = self.now();
        let mut run_times = self.run_times.borrow_mut();
        run_times.entry(route.to_owned()).or_default().begin(now)
    }

    /// Ends a run; for `ran` see [`stacktack_core::direct::request::run_times::RunTimes::end`].
    pub(crate) fn end_run(&self, route: &str, run: RunId, ran: bool) {
        let now = self.now();
        if let Some(times) = self.run_times.borrow_mut().get_mut(route) {
            times.end(run, ran, now);
        }
    }

    /// Longest recent run of a route.
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

    /// Removes the run times of routes without recent requests.
    pub(crate) fn remove_idle_run_times(&self, now: Time) {
        let mut run_times = self.run_times.borrow_mut();
        run_times.retain(|_, times| !times.is_idle(now));
    }
}
