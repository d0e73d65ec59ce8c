//! Handling of a suspension of the router's machine.
//!
//! While the machine is suspended, nothing runs here and everything ages elsewhere: callers leave,
//! back ends end, zones are drained, keys are revoked. Afterwards, whatever is past its deadline
//! ends at once, and requests are refused until the store or a peer was reached again, because the
//! router's knowledge may be outdated.

use std::future::Future;
use std::time::Duration;

use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::router::Router;

/// Maximum time for which requests are refused after a suspension while neither the store nor a
/// peer is reached. All of them may be down, and then knowledge from before the suspension is better
/// than none.
const MAX_CONTACT_WAIT: Duration = Duration::from_secs(1);

impl Router {
    /// Checks whether the machine was suspended since the last check.
    pub fn check_for_suspension(&self) {
        let reading = self.clock.read();
        let mut detector = self.suspension_detector.get();
        let suspended = detector.detect(&reading);
        self.suspension_detector.set(detector);
        if let Some(suspended) = suspended {
            self.on_suspended(suspended);
        }
    }

    fn on_suspended(&self, suspended: Duration) {
        let now = self.now();
        log::warn!(
            target: "process",
            "suspended_ms={} requests={} resting_connections_closed=true",
            suspended.as_millis(),
            self.requests_in_flight.get(),
        );
        self.metrics.record_suspension(suspended.as_secs_f64());
        // Back ends may have closed idle connections, which shows only when something is sent.
        self.connections.borrow_mut().clear();
        self.back_ends.borrow_mut().on_suspended(now);
        if let Some(memory) = &self.memory {
            memory.restart_unread(now);
        }
        self.no_contact_since.set(Some(now));
        self.suspensions.send_modify(|count| *count += 1);
    }

    /// The store or a peer was reached: the router's knowledge is as current as theirs.
    pub(crate) fn on_contact(&self) {
        if let Some(since) = self.no_contact_since.take() {
            let waited = self.now().since(since);
            log::info!(target: "process", "heard_again=true after_ms={}", waited.as_millis());
        }
    }

    /// Whether neither the store nor a peer was reached since a suspension; false again when the
    /// maximum wait is over.
    pub fn awaits_contact(&self) -> bool {
        let since = self.no_contact_since.get();
        since.is_some_and(|since| self.now().since(since) < MAX_CONTACT_WAIT)
    }

    /// Waits until a time. Timers stand still while the machine is suspended, so that the remaining
    /// time is computed again after each suspension; then the wait ends a moment late at most.
    pub async fn sleep_until(&self, deadline: Time) {
        let mut suspensions = self.suspensions.subscribe();
        loop {
            let left = deadline.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                // Fails only if the router is dropped, and this future with it.
                _ = suspensions.changed() => {}
            }
        }
    }

    /// Output of a future; `None` if it does not complete before a time.
    pub async fn timeout_at<T>(
        &self,
        deadline: Time,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(deadline) => None,
        }
    }

    /// Waits until the next suspension of the machine is over.
    pub(crate) async fn wait_for_resume(&self) {
        let mut suspensions = self.suspensions.subscribe();
        // Fails only if the router is dropped, and this future with it.
        let _ = suspensions.changed().await;
    }
}
