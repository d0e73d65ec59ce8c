//! The share of a service's requests that may go to a version that is not proved good.
//!
//! Each router sends no more than the share of its own requests there, rounded up or down by
//! a draw of its own. The bound of the fleet follows by sums, whatever routers know of each
//! other: those that have just begun or are cut off included. Rounding cancels out: of 103
//! routers the sum is off by three requests (standard deviation), and the slack covers that.

/// How much of a service's traffic an unproved version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of the requests to the service.
    pub share: f64,
    /// Requests beyond that share, of the whole fleet. They are nobody's, so that the bound
    /// needs no number of routers: they cover rounding.
    pub slack: f64,
}

/// Part of the share that is spent on single requests. The rest is saved for a short time with the
/// whole traffic, in which harm shows that comes with load only.
const CANARY_PART: f64 = 0.6;

/// Part of the share that may be spent by the end of that time.
const TRIAL_PART: f64 = 0.95;

/// Requests of one router since an order.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// Part of a request that is rounded away, from 0 to below 1.
    rounding: f64,
    /// Requests that reached the service.
    requests: u64,
    /// Those of them that went to the new version.
    exposed: u64,
}

/// Requests of which one goes to the old version while the new one has the whole traffic:
/// what strikes both shows there.
const CONTROL_EVERY: u64 = 10;

impl Exposure {
    /// No request yet; `router` is the incarnation of this router.
    pub fn new(router: u32) -> Self {
        Exposure {
            rounding: f64::from(router) / (f64::from(u32::MAX) + 1.0),
            requests: 0,
            exposed: 0,
        }
    }

    /// Whether the next request is one of the few that go to the old version still.
    pub fn is_control(&self) -> bool {
        self.requests.is_multiple_of(CONTROL_EVERY)
    }

    /// Whether one more request may go to the new version while single ones do.
    pub fn allows_canary(&self, bound: &ExposureBound) -> bool {
        self.allows(bound.share * CANARY_PART)
    }

    /// Whether one more request may go to the new version while the whole traffic does for a short time.
    pub fn allows_trial(&self, bound: &ExposureBound) -> bool {
        self.allows(bound.share * TRIAL_PART)
    }

    fn allows(&self, share: f64) -> bool {
        self.exposed as f64 + self.rounding < share * (self.requests + 1) as f64
    }

    /// A request goes to the new version.
    pub fn on_new(&mut self) {
        self.requests += 1;
        self.exposed += 1;
    }

    /// A request reached another version.
    pub fn on_old(&mut self) {
        self.requests += 1;
    }

    /// Requests that reached the service.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Requests that went to the new version.
    pub fn exposed(&self) -> u64 {
        self.exposed
    }
}
