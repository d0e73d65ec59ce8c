//! What a router does about a suspension of its machine.
//!
//! While it lasts nothing runs here and everything ages elsewhere: callers leave, back ends end,
//! zones are drained, keys are taken away. What is past its limit ends at once. What was believed
//! is not acted upon until the store or a peer was heard again.

use std::future::Future;
use std::time::Duration;

use stacktack_core::time::Time;
use tokio::time::sleep;

use crate::router::Router;

/// Longest time for which requests are refused after a suspension while nobody is heard: the store
/// and all peers may be away, and what was believed before is better than nothing then.
const AWAIT_NEWS: Duration = Duration::from_secs(1);

impl Router {
    /// Looks whether the machine was suspended since the last look.
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
        // Their other ends may be gone, and nothing tells so before something is sent.
        self.connections.borrow_mut().clear();
        self.back_ends.borrow_mut().on_suspended(now);
        self.no_contact_since.set(Some(now));
        self.suspensions.send_modify(|count| *count += 1);
    }

    /// The store or a peer was heard: what is believed is as new as what they tell.
    pub(crate) fn on_contact(&self) {
        if let Some(since) = self.no_contact_since.take() {
            let waited = self.now().since(since);
            log::info!(target: "process", "heard_again=true after_ms={}", waited.as_millis());
        }
    }

    /// Whether nobody was heard since a suspension.
    pub fn awaits_contact(&self) -> bool {
        let since = self.no_contact_since.get();
        since.is_some_and(|since| self.now().since(since) < AWAIT_NEWS)
    }

    /// Waits until a time, at most for a moment longer where the machine is suspended before.
    pub async fn sleep_until(&self, limit: Time) {
        let mut suspensions = self.suspensions.subscribe();
        loop {
            let left = limit.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = sleep(left) => {}
                // An error means that the router is gone, and with it who waits.
                _ = suspensions.changed() => {}
            }
        }
    }

    /// What a future gives before a time; `None` if it does not end before.
    pub async fn timeout_at<T>(&self, limit: Time, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(limit) => None,
        }
    }

    /// Waits for the next suspension to be over.
    pub(crate) async fn wait_for_resume(&self) {
        let mut suspensions = self.suspensions.subscribe();
        // An error means that the router is gone, and with it who waits.
        let _ = suspensions.changed().await;
    }
}
