//! The members of a pool as candidates of one request, with what is known of their loads.

use crate::direct::admission::pool_load::{LoadReport, PoolLoad};
use crate::direct::admission::SlotLimit;
use crate::direct::back_ends::back_end::BackEnd;
use crate::direct::back_ends::health::Health;
use crate::direct::back_ends::load::FromPeers;
use crate::direct::back_ends::survival::Survival;
use crate::direct::back_ends::traffic_share::PoolInFlight;
use crate::direct::back_ends::zone_share::ZoneTraffic;
use crate::direct::choice::select::{spill_bound, DirectCandidate, SelectBounds, Tier};
use crate::time::Time;

/// Place of a member in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberPlace {
    /// Whether it is in the router's zone.
    pub same_zone: bool,
    /// Whether its zone is drained.
    pub is_drained: bool,
}

/// A member of a pool at the time of a request.
#[derive(Clone, Copy, Debug)]
pub struct PoolMember<'a> {
    /// State of the back end.
    pub back_end: &'a BackEnd,
    /// Its health for the request.
    pub health: Health,
    /// Its place in the pool.
    pub place: MemberPlace,
}

impl PoolMember<'_> {
    fn is_eligible(&self, now: Time) -> bool {
        !self.place.is_drained && self.back_end.may_get_requests(now)
    }
}

/// How the members of a pool stand to the spill bound of a request, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolCensus {
    /// Spill bound, in requests.
    pub bound: f64,
    /// Members over which the mean load was taken.
    pub members: usize,
    /// Eligible members in bad health.
    pub avoided: usize,
    /// Eligible members in good health whose load is below the bound.
    pub good_below: usize,
    /// Eligible members in bad health whose load is below the bound.
    pub avoided_below: usize,
}

impl PoolCensus {
    /// Whether a back end with this load is at its bound although some avoided member is below it.
    pub fn passes_by_avoided(&self, load: f64) -> bool {
        load >= self.bound && self.avoided_below > 0
    }
}

/// Members of a pool at the time of a request.
#[derive(Clone, Debug, Default)]
pub struct PoolCandidates {
    /// The members as candidates of the choice.
    pub list: Vec<DirectCandidate>,
    /// What is known of their loads, in the same order.
    reports: Vec<LoadReport>,
    in_flight: PoolInFlight,
    zone_traffic: ZoneTraffic,
}

impl PoolCandidates {
    /// The members of a pool. Without a limit none counts as full; `survival` is that of its requests.
    pub fn new(
        members: &[PoolMember<'_>],
        limit: Option<SlotLimit>,
        survival: &Survival,
        now: Time,
    ) -> Self {
        let loads = expected_loads(members, survival, now);
        let mut candidates = PoolCandidates::default();
        for (member, load) in members.iter().zip(loads) {
            candidates.push(member, load, limit, now);
        }
        candidates
    }

    fn push(&mut self, listed: &PoolMember<'_>, load: f64, limit: Option<SlotLimit>, now: Time) {
        let member = listed.back_end;
        let age = member.load.estimate_age(now);
        let slots = member.entry.slots;
        // While the requests of other routers are not known, only this router's own count
        // against the limit.
        let load_beyond_own = match age {
            Some(_) => 0.0,
            None => load - f64::from(member.load.in_flight),
        };
        self.list.push(DirectCandidate {
            index: self.list.len(),
            id_hash: member.id_hash,
            load,
            limit: limit.map_or(f64::INFINITY, |limit| {
                limit.requests(slots) + load_beyond_own
            }),
            same_zone: listed.place.same_zone,
            health: listed.health,
            eligible: listed.is_eligible(now),
        });
        self.reports.push(LoadReport { load, slots, age });
        let own = f64::from(member.load.in_flight);
        self.in_flight.add(own, member.load.usual_from_peers(now));
        if member.load.reported(now).is_none() {
            let counts = &member.load.peer_counts;
            self.zone_traffic
                .add(own, counts.told_in_zone(), counts.told());
        }
    }

    /// Whether some candidate is eligible and not full.
    pub fn any_has_capacity(&self) -> bool {
        let mut eligible = self.list.iter().filter(|candidate| candidate.eligible);
        eligible.any(|candidate| candidate.load < candidate.limit)
    }

    /// Requests in flight at the members.
    pub fn in_flight(&self) -> &PoolInFlight {
        &self.in_flight
    }

    /// Requests in flight at the members that report no load, by the zone of their routers.
    pub fn zone_traffic(&self) -> &ZoneTraffic {
        &self.zone_traffic
    }

    /// Share of the eligible members that are in the router's zone.
    pub fn local_share(&self) -> f64 {
        let eligible = || self.list.iter().filter(|candidate| candidate.eligible);
        let local = eligible().filter(|candidate| candidate.same_zone).count();
        local as f64 / eligible().count().max(1) as f64
    }

    /// Load of the pool over its eligible members of the best health; `None` if not known.
    pub fn pool_load(&self) -> Option<PoolLoad> {
        let tier = Tier::preferred(&self.list);
        let is_best =
            |(candidate, _): &(&DirectCandidate, _)| candidate.eligible && tier.includes(candidate);
        let pairs = self.list.iter().zip(&self.reports).filter(is_best);
        let reports: Vec<LoadReport> = pairs.map(|(_, report)| *report).collect();
        PoolLoad::from_reports(&reports)
    }

    /// How the members stand to the spill bound of a request.
    pub fn census(&self, bounds: &SelectBounds) -> PoolCensus {
        let bound = spill_bound(&self.list, bounds);
        let eligible = self.list.iter().filter(|candidate| candidate.eligible);
        let (good, avoided): (Vec<_>, Vec<_>) =
            eligible.partition(|candidate| candidate.health == Health::Good);
        let below = |members: &[&DirectCandidate]| {
            let below = members.iter().filter(|candidate| candidate.load < bound);
            below.count()
        };
        PoolCensus {
            bound,
            members: self.list.len(),
            avoided: avoided.len(),
            good_below: below(&good),
            avoided_below: below(&avoided),
        }
    }

    /// Mean of the loads; 0 without members.
    pub fn mean_load(&self) -> f64 {
        let sum: f64 = self.list.iter().map(|candidate| candidate.load).sum();
        sum / self.list.len().max(1) as f64
    }

    /// Sets the load of each member that gets requests to what is expected from the age of its report,
    /// that of each other member to its residual load, and each limit to what follows from the load
    /// of the pool.
    pub fn apply_pool_load(&mut self, pool: &PoolLoad, hold_seconds: f64) {
        let tier = Tier::preferred(&self.list);
        for (candidate, report) in self.list.iter_mut().zip(&self.reports) {
            candidate.load = if candidate.eligible && tier.includes(candidate) {
                pool.expected_load(report, hold_seconds)
            } else {
                report.residual_load(hold_seconds)
            };
            candidate.limit = pool.back_end_limit(candidate.limit);
        }
    }
}

/// Expected requests in flight at each member, from all routers.
///
/// What peers told is older than short requests take. The counted requests that have ended since are
/// followed by others, which any eligible member may have got: each is taken to have an even part of
/// them. Taken where they were told, they would send all routers to the members that were idle then.
fn expected_loads(
    members: &[PoolMember<'_>],
    survival: &Survival,
    now: Time,
) -> impl Iterator<Item = f64> {
    let known: Vec<KnownRequests> = members
        .iter()
        .map(|member| KnownRequests::of(member, survival, now))
        .collect();
    let ended: f64 = known
        .iter()
        .map(|requests| requests.from_peers.ended())
        .sum();
    let receivers = known.iter().filter(|requests| requests.gets_followers());
    let followers = ended / receivers.count().max(1) as f64;
    known
        .into_iter()
        .map(move |requests| requests.expected(followers))
}

/// What is known of the requests in flight at a member.
struct KnownRequests {
    own: u32,
    from_peers: FromPeers,
    is_eligible: bool,
}

impl KnownRequests {
    fn of(member: &PoolMember<'_>, survival: &Survival, now: Time) -> Self {
        let load = &member.back_end.load;
        // A back end that is silent ends no requests, and one that reports its load is known better.
        let keeps_told = member.health == Health::Ejected || load.reported(now).is_some();
        let all_survive = Survival::default();
        let survival = if keeps_told { &all_survive } else { survival };
        KnownRequests {
            own: load.in_flight,
            from_peers: load.from_peers(survival, now),
            is_eligible: member.is_eligible(now),
        }
    }

    /// Whether requests that follow ended ones are expected there beside those that are known.
    fn gets_followers(&self) -> bool {
        self.is_eligible && matches!(self.from_peers, FromPeers::Counted { .. })
    }

    /// Expected requests from all routers, where a member gets this many followers.
    fn expected(&self, followers: f64) -> f64 {
        let followers = if self.gets_followers() {
            followers
        } else {
            0.0
        };
        f64::from(self.own) + self.from_peers.expected(followers)
    }
}
