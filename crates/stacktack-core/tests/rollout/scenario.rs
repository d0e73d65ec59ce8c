//! Scenarios of a simulated roll-out, and their outcome.

use std::time::Duration;

use stacktack_core::direct::rollout::status::StoredState;

/// Fault of the new version.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Share of its responses that are bad.
    pub bad_share: f64,
    /// Factor by which bad responses take longer; 0 if they fail.
    pub slowdown: f64,
    /// Time from the order to the start of the fault.
    pub starts_after: Duration,
    /// Route that the fault affects; `None` for all.
    pub route: Option<usize>,
}

/// Faults of routers and store, and of both versions together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disturbances {
    /// Share of the store writes whose responses are lost; half of these writes are applied late.
    pub lost_responses: f64,
    /// Probability that a router is killed right after it sent a write; it restarts.
    pub killed_writers: f64,
    /// Number of routers that are partitioned from peers and store from the order on.
    pub partitioned_routers: usize,
    /// Duration of the partition.
    pub partition_time: Duration,
    /// Share of the responses of both versions that fail once half of the order's time has passed.
    pub common_failure_share: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub routers: usize,
    /// Requests per second, all routers together.
    pub rate: f64,
    pub duration: Duration,
    pub fault: Option<Fault>,
    pub disturbances: Disturbances,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests to the service between order and deadline, without those of partitioned routers.
    pub requests: u64,
    /// Requests to the new version among these.
    pub exposed: u64,
    /// Requests to the new version that the fault affected, counted when they were sent.
    pub bad_responses: u64,
    /// Requests to the new version, counted as in `requests`, that were sent more than
    /// `MAX_ROLLBACK_TIME` after its 50th bad response.
    pub late_requests: u64,
    /// Outcomes that the store accepted, in order.
    pub stored: Vec<StoredState>,
    /// Time from the order to the last of these outcomes.
    pub decided_after: Option<Duration>,
    /// Write calls to the store.
    pub writes: usize,
    /// Maximum number of requests to the new version by which one router exceeded its own share,
    /// before the version was proved good.
    pub own_excess: f64,
    /// Mean number of bytes per second that the busiest router sent from the order on.
    pub bytes_per_second: f64,
}
