//! The share of a service's requests that may go to a version that is not completed: any may
//! turn bad before.
//!
//! Each router sends no more than the share of its own requests there, rounded up or down by
//! a draw of its own. The bound of the fleet follows by sums, whatever routers know of each
//! other: those that have just begun or are cut off included. Rounding cancels out: of 103
//! routers the sum is off by three requests (standard deviation), and the slack covers that.
//! Part of the share is saved for the end, when the whole traffic goes to the new version for
//! a part of the order's time, so that what runs on the old one ends.

/// How much of a service's traffic an unproved version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of the requests to the service.
    pub share: f64,
    /// Requests beyond that share, of the whole fleet. Half of them are nobody's: they cover
    /// rounding.
    pub slack: f64,
}

/// Part of the share that single requests get before the trial with the whole traffic, ...
const EARLY_SAMPLE_PART: f64 = 0.2;

/// ... and until the version gets the whole traffic for good: most of them late, so that a
/// version that has turned bad is found before that.
const LATE_SAMPLE_PART: f64 = 0.38;

/// Part of the share that a trial with the whole traffic gets, ...
const TRIAL_PART: f64 = 0.2;

/// ... most of it that one router spends there when its traffic rises meanwhile, ...
const MOST_TRIAL_PART: f64 = 0.35;

/// ... and the part that the version gets from when the whole traffic goes there for good until
/// it is completed. The rest covers the time that the outcome takes to be stored.
const WHOLE_PART: f64 = 0.35;

/// Longest part of an order's time for which the whole traffic goes to the new version
/// before that is completed: requests of the old version end meanwhile.
const LONGEST_WHOLE: f64 = 0.13;

/// Parts of an order's time from which the whole traffic is tried, and from which a version is
/// completed.
pub(super) const TRIAL_FROM: f64 = 0.62;
pub(super) const COMPLETE_FROM: f64 = 0.88;

/// Part of the slack that routers spend: each its own part of that, early.
const SLACK_PART: f64 = 0.5;

/// Part of an order's time over which they spend it: who has begun of late does not know all.
const SLACK_UNTIL: f64 = 0.75;

/// Most requests that the slack adds, as a share of a router's own: a router that has begun
/// without knowing the fleet spends little.
const SLACK_PACE: f64 = 0.15;

impl ExposureBound {
    /// Part of an order's time for which the whole traffic goes to the new version before
    /// that is completed: what is sent meanwhile is within the bound, as if it were bad.
    pub fn whole_part(&self) -> f64 {
        (self.share * WHOLE_PART).min(LONGEST_WHOLE)
    }

    /// Part of an order's time from which the whole traffic goes there.
    pub fn whole_from(&self) -> f64 {
        COMPLETE_FROM - self.whole_part()
    }

    /// Part of an order's time that a trial with the whole traffic takes.
    pub fn trial_part(&self) -> f64 {
        self.share * TRIAL_PART
    }
}

/// Requests of one router since an order.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    /// Part of a request that is rounded away, from 0 to below 1.
    rounding: f64,
    /// Requests that reached the service.
    requests: u64,
    /// Those of them that went to the new version one by one, ...
    sampled: u64,
    /// ... and while the whole traffic went there.
    tried: u64,
    /// Most routers that were known, this one included.
    routers: Option<usize>,
}

impl Exposure {
    /// No request yet; `router` is the incarnation of this router.
    pub fn new(router: u32) -> Self {
        Exposure {
            rounding: f64::from(router) / (f64::from(u32::MAX) + 1.0),
            requests: 0,
            sampled: 0,
            tried: 0,
            routers: None,
        }
    }

    /// Sets the number of routers, this one included, as far as they are known; `None` where
    /// that is unsure.
    pub fn set_routers(&mut self, routers: Option<usize>) {
        self.routers = self.routers.max(routers);
    }

    /// Whether one more single request may go to the new version, at a part of the order's
    /// time.
    pub fn allows_sample(&self, bound: &ExposureBound, part: f64) -> bool {
        let requests = (self.requests + 1) as f64;
        let late = (part - TRIAL_FROM) / (bound.whole_from() - TRIAL_FROM);
        let late = (LATE_SAMPLE_PART - EARLY_SAMPLE_PART) * late.clamp(0.0, 1.0);
        let sampled = bound.share * (EARLY_SAMPLE_PART + late) * requests;
        let own_slack = self
            .routers
            .map_or(0.0, |routers| bound.slack * SLACK_PART / routers as f64)
            * (part / SLACK_UNTIL).min(1.0);
        let early = sampled.max(SLACK_PACE * requests);
        self.sampled as f64 + self.rounding < early.min(sampled + own_slack)
    }

    /// Whether one more request may go to the new version during a trial with the whole
    /// traffic.
    pub fn allows_trial(&self, bound: &ExposureBound) -> bool {
        let most = bound.share * MOST_TRIAL_PART * (self.requests + 1) as f64;
        (self.tried as f64) < most + 1.0
    }

    /// A single request goes to the new version, or one of many there.
    pub fn on_new(&mut self, is_sample: bool) {
        self.requests += 1;
        match is_sample {
            true => self.sampled += 1,
            false => self.tried += 1,
        }
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
        self.sampled + self.tried
    }
}
