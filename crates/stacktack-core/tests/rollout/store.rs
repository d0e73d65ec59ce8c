//! Simulated store. It holds one order and the status of its roll-out, and applies a write if the
//! condition of the write holds.

use std::time::Duration;

use stacktack_core::direct::rollout::order::RolloutOrder;
use stacktack_core::direct::rollout::status::{
    StatusWrite, StatusWriteResult, StoredState, StoredStatus,
};
use stacktack_core::time::Time;

/// Contents of the store, and the outcomes that were written to it.
pub struct Store {
    order: Option<(RolloutOrder, Time)>,
    revision: u64,
    status: Option<StoredStatus>,
    /// Outcomes that were stored, in order.
    pub outcomes: Vec<StoredState>,
    /// Time from the order to the last of these outcomes.
    pub decided_after: Option<Duration>,
}

impl Store {
    /// Creates a store without an order.
    pub fn new() -> Self {
        Store {
            order: None,
            revision: 100,
            status: None,
            outcomes: Vec::new(),
            decided_after: None,
        }
    }

    /// Stores an order of the operator.
    pub fn give_order(&mut self, service: &str, version: &str, duration: Duration, now: Time) {
        self.revision += 1;
        let seconds = duration.as_secs_f64();
        let order = RolloutOrder::new(service.into(), version.into(), seconds, self.revision);
        self.order = Some((order.expect("an order"), now));
    }

    /// The order, if there is one.
    pub fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref().map(|(order, _)| order)
    }

    /// Time since the order; zero without one.
    pub fn since_order(&self, now: Time) -> Duration {
        let ordered_at = self.order.as_ref().map(|(_, at)| *at);
        now.since(ordered_at.unwrap_or(now))
    }

    /// Applies a write if its condition holds.
    pub fn apply(&mut self, write: &StatusWrite, now: Time) -> StatusWriteResult {
        let order_revision = self.order().map_or(0, |order| order.revision);
        let status_revision = self.status.as_ref().map_or(0, |status| status.revision);
        if write.order_revision != order_revision || write.status_revision != status_revision {
            return StatusWriteResult::Conflict {
                order_revision,
                status: self.status.clone(),
            };
        }
        self.revision += 1;
        self.status = Some(StoredStatus {
            state: write.state,
            version: write.version.clone(),
            revision: self.revision,
        });
        if write.state != StoredState::Running {
            self.outcomes.push(write.state);
            self.decided_after = Some(self.since_order(now));
        }
        StatusWriteResult::Stored(self.revision)
    }
}
