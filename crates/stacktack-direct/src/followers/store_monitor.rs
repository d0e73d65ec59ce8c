//! What is known of a store that followers ask.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use stacktack_core::chart::ChartError;
use stacktack_core::direct::sources::adaptive_timeout::AdaptiveTimeout;
use stacktack_core::direct::sources::directory_source::DirectorySource;
use stacktack_core::time::Time;
use tokio::sync::Notify;

use crate::ports::SourceError;

/// The store as its followers see it; tells when it comes back.
pub struct StoreMonitor {
    name: &'static str,
    source: RefCell<DirectorySource>,
    patience: Cell<AdaptiveTimeout>,
    returned: Notify,
}

impl StoreMonitor {
    /// A dependency that is taken to answer.
    pub fn new(name: &'static str) -> Result<Self, ChartError> {
        Ok(StoreMonitor {
            name,
            source: RefCell::new(DirectorySource::new()?),
            patience: Cell::default(),
            returned: Notify::new(),
        })
    }

    /// Lateness after which a call counts as unanswered.
    pub(super) fn patience(&self, at_start: bool) -> Duration {
        self.patience.get().timeout(at_start)
    }

    /// How late answers come, at most.
    pub(super) fn lateness(&self) -> Duration {
        self.patience.get().lateness()
    }

    /// A call was answered so long after it was due.
    pub(super) fn on_lateness(&self, lateness: Duration) {
        let mut patience = self.patience.get();
        patience.on_answer(lateness);
        self.patience.set(patience);
    }

    /// Waits for the store to come back.
    pub(super) async fn returned(&self) {
        self.returned.notified().await;
    }

    pub(super) fn on_answer(&self, now: Time) {
        if let Some(lost_for) = self.source.borrow_mut().on_answer(now) {
            log::info!(
                target: "dependency",
                "name={} regained=true after_ms={}",
                self.name,
                lost_for.as_millis()
            );
            self.returned.notify_waiters();
        }
    }

    pub(super) fn on_failure(&self, now: Time, error: SourceError) {
        if self.source.borrow_mut().on_failure(now) {
            log::warn!(target: "dependency", "name={} lost=true cause=\"{error}\"", self.name);
        }
    }

    /// Whether it does not answer.
    pub fn is_lost(&self) -> bool {
        self.source.borrow().is_lost()
    }

    /// Whether it answers, and all that lives had time to renew its entry.
    pub fn is_steady(&self, now: Time) -> bool {
        self.source.borrow_mut().is_steady(now)
    }
}
