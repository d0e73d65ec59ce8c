//! Max-min shares of the fleet's work between tenants.
//!
//! Routers tell each other how much work their largest tenants ask for. A tenant that asks for
//! less than an equal share, over the fleet, gets what it asks for; what it leaves goes to the
//! larger ones, which are all cut to one level. Each router admits the same share of a tenant's
//! requests, so that the tenant's callers are treated alike wherever they are connected.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::direct::work::gossip::TenantWorkGossip;
use crate::time::Time;

/// Time constant over which the work of own callers is counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Age over which a peer's report loses most of its weight.
const REPORT_DECAY_AGE: Duration = Duration::from_secs(8);

/// Age from which a peer's report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(20);

/// Maximum number of tenants in a report.
const MAX_REPORTED_TENANTS: usize = 24;

/// Maximum number of tenants whose work is counted; further ones are never cut.
const MAX_TENANTS: usize = 512;

/// Time after which a tenant without requests is forgotten.
const TENANT_TTL: Duration = Duration::from_secs(20);

/// Time for which the largest known fleet counts: a router that hears nobody may be cut off from
/// peers that still send to the same engines.
const FLEET_TTL: Duration = Duration::from_secs(60);

/// Share of the engines' time that is shared out. Prompts that come at random moments wait ever
/// longer as the engines' free time ends.
const USABLE_SHARE: f64 = 0.9;

/// Multiple of the level above which a tenant is cut. What small tenants ask for is known from few
/// requests.
const CUT_ABOVE: f64 = 2.0;

/// Number of own requests from which a router that hears nobody takes the fleet to ask in its own
/// proportions.
const MIN_OWN_REQUESTS: u32 = 10;

/// Minimum time between two computations of the level.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Short form of a tenant's name hash, as in reports.
type TenantKey = [u8; 3];

#[derive(Clone, Copy, Debug)]
struct OwnWork {
    /// Milliseconds of work asked for.
    asked: DecayingRate,
    last_seen: Time,
}

#[derive(Clone, Debug)]
struct PeerReport {
    received_at: Time,
    tenants: Vec<TenantWorkGossip>,
}

/// Work that tenants ask for, in the fleet as far as one router knows.
#[derive(Clone, Debug, Default)]
pub struct TenantWork {
    own: HashMap<TenantKey, OwnWork>,
    own_requests: u32,
    peers: HashMap<SocketAddr, PeerReport>,
    largest_fleet: Option<(usize, Time)>,
    /// Share of each tenant's requests that is admitted, and when it was computed.
    shares: Option<(HashMap<TenantKey, f64>, Time)>,
}

/// What the tenants share.
#[derive(Clone, Copy, Debug)]
pub struct SharedEngines {
    /// Engines of the pools, over the fleet.
    pub engines: usize,
    /// Number of live routers, this one included.
    pub routers: usize,
}

impl TenantWork {
    /// A request of a tenant asks for work.
    pub fn on_asked(&mut self, tenant: u64, work: Duration, now: Time) {
        self.own_requests = self.own_requests.saturating_add(1);
        let key = key_of(tenant);
        if self.own.len() >= MAX_TENANTS && !self.own.contains_key(&key) {
            self.own
                .retain(|_, known| now.since(known.last_seen) < TENANT_TTL);
            if self.own.len() >= MAX_TENANTS {
                return;
            }
        }
        let known = self.own.entry(key).or_insert_with(|| OwnWork {
            asked: DecayingRate::new(WINDOW),
            last_seen: now,
        });
        known.asked.count(work.as_secs_f64() * 1000.0, now);
        known.last_seen = now;
    }

    /// The largest tenants of this router's callers, for its peers.
    pub fn report(&self, now: Time) -> Vec<TenantWorkGossip> {
        let mut tenants: Vec<TenantWorkGossip> = self
            .own
            .iter()
            .map(|(tenant, known)| TenantWorkGossip {
                tenant: *tenant,
                work_ms_per_second: known.asked.per_second(now) as u16,
            })
            .filter(|report| report.work_ms_per_second > 0)
            .collect();
        tenants.sort_unstable_by_key(|report| std::cmp::Reverse(report.work_ms_per_second));
        tenants.truncate(MAX_REPORTED_TENANTS);
        tenants
    }

    /// A peer reported its largest tenants. An empty report says nothing: the part is left out of
    /// datagrams in which it has no room, and by earlier releases.
    pub fn on_report(&mut self, peer: SocketAddr, tenants: &[TenantWorkGossip], now: Time) {
        if !tenants.is_empty() {
            self.insert_report(peer, tenants, now);
        }
    }

    /// A peer reported that its callers ask for no work.
    pub fn on_idle_report(&mut self, peer: SocketAddr, now: Time) {
        self.insert_report(peer, &[], now);
    }

    fn insert_report(&mut self, peer: SocketAddr, tenants: &[TenantWorkGossip], now: Time) {
        self.peers
            .retain(|_, report| now.since(report.received_at) < REPORT_TTL);
        let report = PeerReport {
            received_at: now,
            tenants: first_of_each(tenants),
        };
        self.peers.insert(peer, report);
    }

    /// Share of a tenant's requests that is within its share of the work, from 0 to 1.
    /// `shared` is called where shares are computed anew.
    pub fn admitted_share(
        &mut self,
        tenant: u64,
        shared: impl FnOnce() -> SharedEngines,
        now: Time,
    ) -> f64 {
        let is_due = self
            .shares
            .as_ref()
            .is_none_or(|(_, computed_at)| now.since(*computed_at) >= LEVEL_INTERVAL);
        if is_due {
            let shared = shared();
            self.note_fleet(shared.routers, now);
            self.shares = Some((self.compute_shares(shared.engines, now), now));
        }
        let shares = self.shares.as_ref();
        shares
            .and_then(|(shares, _)| shares.get(&key_of(tenant)))
            .map_or(1.0, |share| *share)
    }

    /// Number of peers whose reports count.
    pub fn peers_heard(&self, now: Time) -> usize {
        self.fresh_reports(now).count()
    }

    fn note_fleet(&mut self, routers: usize, now: Time) {
        let keeps = self
            .largest_fleet
            .is_some_and(|(largest, seen)| largest > routers && now.since(seen) < FLEET_TTL);
        if !keeps {
            self.largest_fleet = Some((routers, now));
        }
    }

    fn fresh_reports(&self, now: Time) -> impl Iterator<Item = &PeerReport> {
        self.peers
            .values()
            .filter(move |report| now.since(report.received_at) < REPORT_TTL)
    }

    fn compute_shares(&self, engines: usize, now: Time) -> HashMap<TenantKey, f64> {
        if engines == 0 {
            return HashMap::new();
        }
        let asked = self.asked_in_fleet(engines, now);
        let capacity = engines as f64 * 1000.0 * USABLE_SHARE;
        let level = max_min_level(asked.values().copied().collect(), capacity);
        let shares: HashMap<TenantKey, f64> = asked
            .into_iter()
            .map(|(tenant, asked)| {
                let is_cut = asked > CUT_ABOVE * level;
                (tenant, if is_cut { level / asked } else { 1.0 })
            })
            .collect();
        // What all tenants exceed their shares by is no tenant's excess over the others.
        let largest = shares.values().copied().fold(f64::MIN_POSITIVE, f64::max);
        shares
            .into_iter()
            .map(|(tenant, share)| (tenant, share / largest))
            .collect()
    }

    /// Milliseconds of work per second that each tenant asks for in the whole fleet. Peers that
    /// were not heard are taken to ask for the mean of those heard, or for what the own callers
    /// ask if none was heard. No peer's callers count for more than all engines can do.
    fn asked_in_fleet(&self, engines: usize, now: Time) -> HashMap<TenantKey, f64> {
        let routers = self.largest_fleet.map_or(1, |(routers, _)| routers);
        let peers = routers.saturating_sub(1) as f64;
        let own = self
            .own
            .iter()
            .map(|(tenant, known)| (*tenant, known.asked.per_second(now)));
        let max_asked = engines as f64 * 1000.0;
        let mut weights = 0.0;
        let mut heard: HashMap<TenantKey, f64> = HashMap::new();
        for report in self.fresh_reports(now) {
            let age = now.since(report.received_at).as_secs_f64();
            let weight = (-age / REPORT_DECAY_AGE.as_secs_f64()).exp();
            weights += weight;
            for tenant in &report.tenants {
                *heard.entry(tenant.tenant).or_insert(0.0) +=
                    weight * f64::from(tenant.work_ms_per_second).min(max_asked);
            }
        }
        if weights == 0.0 && self.own_requests < MIN_OWN_REQUESTS {
            return HashMap::new();
        }
        if weights == 0.0 {
            return own
                .map(|(tenant, asked)| (tenant, asked * routers as f64))
                .collect();
        }
        for asked in heard.values_mut() {
            *asked *= peers / weights;
        }
        for (tenant, asked) in own {
            *heard.entry(tenant).or_insert(0.0) += asked;
        }
        heard
    }
}

/// Level to which demands are cut so that together they make up the capacity; infinite where they
/// do not exceed it.
pub fn max_min_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    let count = demands.len();
    for (index, demand) in demands.into_iter().enumerate() {
        let level = left / (count - index) as f64;
        if demand > level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}

/// The tenants of a report as far as it may be long, each once.
fn first_of_each(tenants: &[TenantWorkGossip]) -> Vec<TenantWorkGossip> {
    let mut known = HashSet::new();
    let first = tenants.iter().take(MAX_REPORTED_TENANTS);
    let first = first.filter(|report| known.insert(report.tenant));
    first.copied().collect()
}

fn key_of(tenant: u64) -> TenantKey {
    let [first, second, third, ..] = tenant.to_le_bytes();
    [first, second, third]
}
