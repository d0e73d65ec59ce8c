//! Fair shares of a full pool between tenants.
//!
//! A tenant surges when it sends clearly more than it did while the pool had free capacity,
//! compared with how much more the others send. A surging tenant gets what the others leave
//! of a full pool, so that its surge is felt by that tenant alone. In a burst in which all
//! tenants send more alike, none surges. Each router knows its own callers only.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Time constant over which a tenant's present requests are counted.
const PRESENT_WINDOW: Duration = Duration::from_secs(2);

/// Time constant over which a tenant's usual requests are counted.
const USUAL_WINDOW: Duration = Duration::from_secs(20);

/// Requests of a tenant within [`PRESENT_WINDOW`] that are never refused for its share:
/// single requests of small tenants are no sign of a surge.
const ALLOWED_REQUESTS: f64 = 2.0;

/// Multiple of the others' growth above which a tenant surges; counts over two seconds
/// vary.
const SURGE_RATIO: f64 = 1.5;

/// Minimum usual rate of a tenant, as a share of the mean over tenants: a new tenant has no
/// usual rate yet.
const MIN_USUAL_SHARE: f64 = 0.2;

/// Maximum number of tenants that are remembered in one pool. Further tenants are not counted
/// and never surge, until a remembered one has sent nothing for [`USUAL_WINDOW`].
const MAX_TENANTS: usize = 512;

#[derive(Clone, Debug)]
struct TenantRates {
    present: DecayingRate,
    /// Counted only while the pool has free capacity.
    usual: DecayingRate,
    last_seen: Time,
}

/// Request rates of the tenants of a pool at one router.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    tenants: HashMap<u64, TenantRates>,
}

impl TenantShares {
    /// A request of a tenant came; `full` if the pool is full. It is not counted if the tenant
    /// is new and `MAX_TENANTS` others are remembered.
    pub fn on_request(&mut self, tenant: u64, full: bool, now: Time) {
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&tenant) {
            self.tenants
                .retain(|_, known| now.since(known.last_seen) < USUAL_WINDOW);
            if self.tenants.len() >= MAX_TENANTS {
                return;
            }
        }
        let known = self.tenants.entry(tenant).or_insert_with(|| TenantRates {
            present: DecayingRate::new(PRESENT_WINDOW),
            usual: DecayingRate::new(USUAL_WINDOW),
            last_seen: now,
        });
        known.last_seen = now;
        known.present.count(1.0, now);
        if !full {
            known.usual.count(1.0, now);
        }
    }

    /// Whether a tenant's rate exceeds its usual rate by clearly more than the others'
    /// rates exceed theirs; false for a tenant that is not remembered, and while the others
    /// have no usual rate.
    pub fn is_surging(&self, tenant: u64, now: Time) -> bool {
        let Some(known) = self.tenants.get(&tenant) else {
            return false;
        };
        let own = known.rates(now);
        let all = self.tenants.values().map(|known| known.rates(now));
        let all = all.fold((0.0, 0.0), |sum, rates| (sum.0 + rates.0, sum.1 + rates.1));
        let others = (all.0 - own.0, all.1 - own.1);
        if others.1 <= 0.0 {
            return false;
        }
        let min_usual = MIN_USUAL_SHARE * all.1 / self.tenants.len() as f64;
        let usual = (own.1 * known.uncertainty(now)).max(min_usual);
        let expected = usual * others.0 / others.1;
        own.0 > SURGE_RATIO * expected + ALLOWED_REQUESTS / PRESENT_WINDOW.as_secs_f64()
    }
}

impl TenantRates {
    /// Factor by which the usual rate may be higher than counted: two standard deviations of
    /// the count.
    fn uncertainty(&self, now: Time) -> f64 {
        1.0 + 2.0 / self.usual.decayed_count(now).max(1.0).sqrt()
    }

    /// Present and usual requests per second.
    fn rates(&self, now: Time) -> (f64, f64) {
        (self.present.per_second(now), self.usual.per_second(now))
    }
}
