//! Limits the share of a service's requests that may go to an unproved version.
//!
//! Each router applies the share to its own requests and rounds the number of allowed requests
//! up or down by a fraction derived from its own incarnation. The bound of the fleet follows as
//! the sum over its routers, whatever they know of each other, including routers that have just
//! started or are partitioned. Rounding errors cancel out: over 103 routers the sum deviates by
//! three requests (standard deviation), which the slack covers.

/// Upper bound on the traffic to an unproved version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of the requests to the service, from 0 to 1.
    pub share: f64,
    /// Requests of the whole fleet beyond that share. They are not divided among the routers, so
    /// that the bound does not depend on the number of routers; they cover rounding.
    pub slack: f64,
}

/// Fraction of the allowed share that may be spent in the canary state. The rest is kept for a
/// short trial with the full traffic, which shows regressions that occur only under load.
const CANARY_FRACTION: f64 = 0.6;

/// Fraction of the allowed share that may be spent by the end of the trial.
const TRIAL_FRACTION: f64 = 0.95;

/// Requests of one router to a service since an order.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// Fraction of an allowed request that is rounded away, from 0 to below 1.
    rounding: f64,
    /// Requests to the service.
    requests: u64,
    /// Requests to the new version, included in `requests`.
    exposed: u64,
}

/// Number of requests of which one still goes to the old version while the new version has the
/// full traffic; a fault that affects both versions shows in the responses to these control
/// requests.
const CONTROL_INTERVAL_REQUESTS: u64 = 10;

impl Exposure {
    /// Creates an exposure without requests; `router` is the incarnation of this router.
    pub fn new(router: u32) -> Self {
        Exposure {
            rounding: f64::from(router) / (f64::from(u32::MAX) + 1.0),
            requests: 0,
            exposed: 0,
        }
    }

    /// Whether the next request is a control request, which goes to the old version.
    pub fn is_control(&self) -> bool {
        self.requests.is_multiple_of(CONTROL_INTERVAL_REQUESTS)
    }

    /// Whether one more request may go to the new version in the canary state.
    pub fn allows_canary(&self, bound: &ExposureBound) -> bool {
        self.allows(bound.share * CANARY_FRACTION)
    }

    /// Whether one more request may go to the new version during the trial.
    pub fn allows_trial(&self, bound: &ExposureBound) -> bool {
        self.allows(bound.share * TRIAL_FRACTION)
    }

    fn allows(&self, share: f64) -> bool {
        self.exposed as f64 + self.rounding < share * (self.requests + 1) as f64
    }

    /// Counts a request to the new version.
    pub fn on_new_version(&mut self) {
        self.requests += 1;
        self.exposed += 1;
    }

    /// Counts a request to another version.
    pub fn on_other_version(&mut self) {
        self.requests += 1;
    }

    /// Requests to the service.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Requests to the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }
}
