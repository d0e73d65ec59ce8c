//! Availability and response latency of the store, as this router believes them.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use stacktack_core::chart::ChartError;
use stacktack_core::direct::sources::adaptive_timeout::AdaptiveTimeout;
use stacktack_core::direct::sources::directory_source::DirectorySource;
use stacktack_core::time::Time;
use tokio::sync::Notify;

use crate::ports::SourceError;

/// Minimum change of the lateness for which tasks that wait compute their times again.
const MIN_LATENESS_CHANGE: Duration = Duration::from_millis(20);

/// Tracks whether the store answers and how late, and notifies waiting tasks when it recovers.
pub struct StoreMonitor {
    availability: RefCell<DirectorySource>,
    timeout: Cell<AdaptiveTimeout>,
    /// Time of the newest answer that a peer reported, in milliseconds on the clock of the store.
    newest_peer_answer_ms: Cell<u64>,
    recovered: Notify,
    changed: Notify,
}

impl StoreMonitor {
    /// Monitor of a store that is assumed to answer.
    pub fn new() -> Result<Self, ChartError> {
        Ok(StoreMonitor {
            availability: RefCell::new(DirectorySource::new()?),
            timeout: Cell::default(),
            newest_peer_answer_ms: Cell::default(),
            recovered: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Lateness after which a call counts as unanswered. `at_start` selects the shorter minimum for
    /// a router that knows nothing yet.
    pub(crate) fn timeout(&self, at_start: bool) -> Duration {
        self.timeout.get().timeout(at_start)
    }

    /// Largest recent lateness of responses, decaying with each response that is less late.
    pub(crate) fn lateness(&self) -> Duration {
        self.timeout.get().lateness()
    }

    /// Records how long after it was due a call of this router was answered.
    pub fn record_lateness(&self, lateness: Duration, now: Time) {
        let mut timeout = self.timeout.get();
        if self.availability.borrow().was_lost_within(lateness, now) {
            timeout.on_answer_after_loss(lateness);
        } else {
            timeout.on_answer(lateness);
        }
        self.set_timeout(timeout);
    }

    /// Records an answer of the store to a peer, made at most `age` ago and at `answered_at_ms` on
    /// the clock of the store. Each answer counts once, however many peers report it.
    pub(crate) fn record_peer_lateness(&self, age: Duration, answered_at_ms: u64) {
        if answered_at_ms <= self.newest_peer_answer_ms.get() {
            return;
        }
        self.newest_peer_answer_ms.set(answered_at_ms);
        let mut timeout = self.timeout.get();
        timeout.on_peer_answer(age);
        self.set_timeout(timeout);
    }

    fn set_timeout(&self, timeout: AdaptiveTimeout) {
        let before = self.timeout.replace(timeout);
        let change = timeout.timeout(false).abs_diff(before.timeout(false));
        let lateness_change = timeout.lateness().abs_diff(before.lateness());
        if change.max(lateness_change) >= MIN_LATENESS_CHANGE {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the store is lost or has returned, or its lateness has changed.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the store answers this router again after it was lost.
    pub(crate) async fn recovered(&self) {
        self.recovered.notified().await;
    }

    /// Records an answer about the directory to this router.
    pub(crate) fn on_answer(&self, now: Time) {
        let lost_for = self.availability.borrow_mut().on_answer(now);
        if let Some(lost_for) = lost_for {
            self.on_returned(lost_for, "own_call");
            self.recovered.notify_waiters();
        }
    }

    /// Records that the store answered a peer about the directory, at `answered_at_ms` on its clock.
    pub(crate) fn on_peer_answer(&self, answered_at_ms: u64, now: Time) {
        let mut availability = self.availability.borrow_mut();
        let lost_for = availability.on_peer_answer(answered_at_ms, now);
        drop(availability);
        if let Some(lost_for) = lost_for {
            self.on_returned(lost_for, "peer");
        }
    }

    fn on_returned(&self, lost_for: Duration, shown_by: &str) {
        log::info!(
            target: "dependency",
            "name=store regained=true after_ms={} shown_by={shown_by}",
            lost_for.as_millis()
        );
        self.changed.notify_waiters();
    }

    /// Records a call of this router about the directory that failed or was not answered in time;
    /// `store_clock_ms` is the time on the clock of the store, or somewhat later, as far as known.
    /// Returns whether the store was not lost before.
    pub(crate) fn on_failure(
        &self,
        error: SourceError,
        store_clock_ms: Option<u64>,
        now: Time,
    ) -> bool {
        let mut availability = self.availability.borrow_mut();
        let is_new_loss = availability.on_failure(store_clock_ms, now);
        drop(availability);
        if is_new_loss {
            log::warn!(target: "dependency", "name=store lost=true cause=\"{error}\"");
            self.changed.notify_waiters();
        }
        is_new_loss
    }

    /// Whether the store does not answer.
    pub fn is_lost(&self) -> bool {
        self.availability.borrow().is_lost()
    }

    /// When live back ends have renewed their entries after the last loss; `None` without one.
    pub(crate) fn renewal_end(&self) -> Option<Time> {
        self.availability.borrow().renewal_end()
    }

    /// Whether the store answers and, since its last outage, all live back ends had time to renew
    /// their entries.
    pub fn is_steady(&self, now: Time) -> bool {
        self.availability.borrow_mut().is_steady(now)
    }
}
