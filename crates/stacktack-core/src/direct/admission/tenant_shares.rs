//! Fair shares of a full pool between tenants.
//!
//! Who sends clearly more than while the pool had room, compared with how much more the
//! others send, gets what the others leave of a full pool: one tenant's surge is felt by
//! that tenant. In a burst in which all send more alike, nobody surges. Each router knows
//! its own callers only.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Time over which a tenant's present requests are counted, and its usual ones.
const PRESENT: Duration = Duration::from_secs(2);
const USUAL: Duration = Duration::from_secs(20);

/// Requests of a tenant within [`PRESENT`] that are never refused for its share: single
/// requests of small tenants say nothing of a surge.
const ALWAYS: f64 = 2.0;

/// Multiple of the others' growth above which a tenant surges; counts over two seconds
/// vary.
const SURGE: f64 = 1.5;

/// Least usual rate, as a share of the mean over tenants: a new tenant has none yet.
const LEAST_USUAL: f64 = 0.2;

/// Tenants that are remembered in one pool.
const MAXIMUM_TENANTS: usize = 512;

#[derive(Clone, Debug)]
struct TenantRates {
    present: DecayingRate,
    usual: DecayingRate,
    seen: Time,
}

/// Requests of tenants to a pool at one router.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    tenants: HashMap<u64, TenantRates>,
}

impl TenantShares {
    /// A request of a tenant came, for a pool that is full or has room.
    pub fn on_request(&mut self, tenant: u64, full: bool, now: Time) {
        if self.tenants.len() >= MAXIMUM_TENANTS && !self.tenants.contains_key(&tenant) {
            self.tenants
                .retain(|_, known| now.since(known.seen) < USUAL);
            if self.tenants.len() >= MAXIMUM_TENANTS {
                return;
            }
        }
        let known = self.tenants.entry(tenant).or_insert_with(|| TenantRates {
            present: DecayingRate::new(PRESENT),
            usual: DecayingRate::new(USUAL),
            seen: now,
        });
        known.seen = now;
        known.present.count(1.0, now);
        if !full {
            known.usual.count(1.0, now);
        }
    }

    /// Whether a tenant sends clearly more beyond its usual than the others do beyond
    /// theirs.
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
        let least = LEAST_USUAL * all.1 / self.tenants.len() as f64;
        let usual = (own.1 * known.doubt(now)).max(least);
        let expected = usual * others.0 / others.1;
        own.0 > SURGE * expected + ALWAYS / PRESENT.as_secs_f64()
    }
}

impl TenantRates {
    /// By how much its usual rate may be higher than counted: two deviations of a count.
    fn doubt(&self, now: Time) -> f64 {
        1.0 + 2.0 / self.usual.decayed_count(now).max(1.0).sqrt()
    }

    /// Present and usual requests a second.
    fn rates(&self, now: Time) -> (f64, f64) {
        (self.present.per_second(now), self.usual.per_second(now))
    }
}
