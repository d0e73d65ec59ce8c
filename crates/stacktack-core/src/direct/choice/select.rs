//! Choice of a back end: a pure function of the candidates, as known at the time of the choice.
//!
//! Requests with a shared prompt part are kept together by rendezvous hashing: the hash of part
//! and back end orders the candidates, in the same order at each router. The first back end of the
//! order is the home of the part; a part that many requests share is spread over the first few
//! back ends, its replicas. The request goes to the first candidate that has free capacity and
//! whose load is below the spill bound, or to the least loaded candidate if there is none. When
//! the pool is full as a whole and the first four candidates are full, no further candidate is
//! tried. Requests without a part go to the least loaded candidate of the router's zone, unless
//! another zone has clearly less load. Only candidates with the best health among the eligible
//! ones are chosen.
//!
//! Ineligible members (cold, in a drained zone) count in the mean: the load bound of the other
//! members refers to the mean of the whole pool.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::back_end::BackEnd;
use crate::direct::back_ends::health::Health;

/// A back end to choose from, as known at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectCandidate {
    /// Index of the back end in the list of the calling code.
    pub index: usize,
    /// Hash of the back end's id.
    pub id_hash: u64,
    /// Estimated requests in flight at the back end, from all routers.
    pub load: f64,
    /// Load at which the back end is full for this request.
    pub limit: f64,
    /// Whether the back end is in the router's zone.
    pub same_zone: bool,
    /// Outlier-detection state of the back end.
    pub health: Health,
    /// Whether the back end may get requests. If not, it only counts in the mean.
    pub eligible: bool,
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectBounds {
    /// Multiple of the mean load that, plus `spill_slack`, is the spill bound: at or above that
    /// load a candidate is skipped.
    pub spill_factor: f64,
    /// Requests that the spill bound allows in addition to the multiple of the mean load.
    pub spill_slack: f64,
    /// Requests by which a candidate of another zone has to be less loaded.
    pub zone_slack: f64,
    /// Number of full candidates after which a request with a part tries no further candidate.
    pub max_full_candidates: usize,
    /// Number of replicas over which the part of the request is spread.
    pub replicas: usize,
    /// Index of the replica that is tried first.
    pub first_replica: usize,
}

/// Spill factor as a share of the load cap. The margin covers load reports that are up to half a
/// second old.
const SPILL_SHARE_OF_CAP: f64 = 0.75;

/// Maximum number of full candidates that a request tries in a full pool: the number of back ends
/// that usually have a part cached then. Reading the part at one more back end costs a full pool
/// more than refusing the request.
const FULL_POOL_MAX_FULL_CANDIDATES: usize = 4;

/// Minimum share of ineligible members at which the remaining members are taken to reach their
/// spill bound together. A rolling release makes fewer members ineligible: spilling to the least
/// loaded candidate then has a part read at one more member without need.
const MIN_INELIGIBLE_SHARE: f64 = 0.15;

/// Number of consecutive candidates in the order among which a request that spills from its home
/// goes to the least loaded, while many members are ineligible. Most homes are at their spill bound
/// then, and all routers spill from them at once. Of 8 days with one or two of four zones drained,
/// 1 broke the load bound with this rule, 2 when the first candidate below the spill bound took the
/// request, and 3 with a spill bound of 1.2 times the mean.
const SPILL_CANDIDATES: usize = 5;

/// Margin between the load cap and the spill bound, as a share of the spill factor. The margin is
/// for requests that arrive before their routers know of each other's: these arrive at the eligible
/// members only, so that the margin grows with the load by which they exceed the mean.
const MARGIN_OF_SPILL_FACTOR: f64 = 1.0 / SPILL_SHARE_OF_CAP - 1.0;

/// Minimum number of requests that the spill bound allows in addition to [`MIN_SPILL_FACTOR`] times
/// the mean load of the eligible members.
const MIN_SPILL_SLACK: f64 = 1.0;

/// Minimum spill factor. The spill bound is also at least this multiple of the mean load of the
/// eligible members.
const MIN_SPILL_FACTOR: f64 = 1.1;

impl SelectBounds {
    /// Bounds that keep the load of each member below `load_cap` times the mean.
    pub fn for_load_cap(load_cap: f64) -> Self {
        SelectBounds {
            spill_factor: (load_cap * SPILL_SHARE_OF_CAP).max(MIN_SPILL_FACTOR),
            spill_slack: 2.0,
            zone_slack: 1.5,
            max_full_candidates: usize::MAX,
            replicas: 1,
            first_replica: 0,
        }
    }

    /// The same bounds for a part that is spread over `replicas`, starting at `first_replica`.
    pub fn spread_over(self, replicas: usize, first_replica: usize) -> Self {
        SelectBounds {
            replicas,
            first_replica,
            ..self
        }
    }

    /// Requests above the mean load at which a candidate reaches the spill bound.
    pub fn spill_headroom(&self, mean: f64) -> f64 {
        (self.spill_factor - 1.0) * mean + self.spill_slack
    }

    /// The same bounds with this part of the preference for the router's zone, from 0 to 1.
    pub fn with_zone_preference(self, part: f64) -> Self {
        SelectBounds {
            zone_slack: self.zone_slack * part,
            ..self
        }
    }

    /// The same bounds for a pool that is full as a whole.
    pub fn for_full_pool(self) -> Self {
        SelectBounds {
            max_full_candidates: FULL_POOL_MAX_FULL_CANDIDATES,
            ..self
        }
    }
}

/// The candidates among which a request is placed: those of the best health, or those that are due
/// for a trial while none of the best health has room below the spill bound. Every choice takes its
/// candidates from here, so that no preference outranks the load bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// In good health.
    Good,
    /// Due for a trial.
    TrialDue,
    /// Degraded or due for a trial: no candidate is in good health.
    Degraded,
    /// All; every candidate is ejected.
    Ejected,
}

impl Tier {
    /// Tier of the best health, whatever the loads.
    pub(super) fn preferred(candidates: &[DirectCandidate]) -> Self {
        let best = eligible(candidates).map(|candidate| candidate.health).min();
        match best.unwrap_or(Health::Good) {
            Health::Good => Tier::Good,
            Health::TrialDue | Health::Degraded => Tier::Degraded,
            Health::Ejected => Tier::Ejected,
        }
    }

    /// Tier that a request is placed in, with this spill bound.
    pub(super) fn of(candidates: &[DirectCandidate], bound: f64) -> Self {
        let has_room = |tier: Tier| {
            eligible(candidates).any(|candidate| {
                tier.includes(candidate) && candidate.has_free_capacity() && candidate.load < bound
            })
        };
        let preferred = Tier::preferred(candidates);
        if preferred == Tier::Good && !has_room(Tier::Good) && has_room(Tier::TrialDue) {
            return Tier::TrialDue;
        }
        preferred
    }

    /// Whether a candidate belongs to the tier; whether it is eligible is not considered.
    pub(super) fn includes(self, candidate: &DirectCandidate) -> bool {
        match self {
            Tier::Good => candidate.health == Health::Good,
            Tier::TrialDue => candidate.health == Health::TrialDue,
            Tier::Degraded => candidate.health <= Health::Degraded,
            Tier::Ejected => true,
        }
    }
}

impl DirectCandidate {
    /// Whether the candidate is not full for this request.
    fn has_free_capacity(&self) -> bool {
        self.load < self.limit
    }
}

impl Selection {
    /// Whether the chosen back end has free capacity. If not, the request has to be refused:
    /// usually no back end that it may go to has free capacity then.
    pub fn has_free_capacity(&self) -> bool {
        self.load < self.limit
    }
}

/// The chosen back end and the values that decided the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// Index of the chosen back end in the list of the calling code.
    pub index: usize,
    /// Load of the chosen back end before this request.
    pub load: f64,
    /// Load at which the chosen back end is full for this request.
    pub limit: f64,
    /// Mean load of all candidates, with the ineligible ones.
    pub mean: f64,
    /// Position of the chosen back end in the order, where 0 is the back end that was tried first:
    /// the home, or one of the replicas of a part that is spread.
    pub rank: usize,
    /// Index of the back end that was tried first, in the list of the calling code; `None` for
    /// requests without a part.
    pub start_index: Option<usize>,
}

/// Chooses a back end for a request with a shared part.
pub fn select_by_affinity(
    candidates: &[DirectCandidate],
    part: u64,
    bounds: &SelectBounds,
) -> Option<Selection> {
    let mean = mean_load(candidates.iter())?;
    let eligible_mean = mean_load(eligible(candidates))?;
    let mut order: Vec<(u64, &DirectCandidate)> = eligible(candidates)
        .map(|candidate| (rendezvous_score(part, candidate.id_hash), candidate))
        .collect();
    order.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    let replicas = bounds.replicas.min(order.len());
    order[..replicas].rotate_left(bounds.first_replica.min(replicas));
    let start_index = order.first().map(|(_, candidate)| candidate.index);
    let bound = bound_at(mean, eligible_mean, bounds);
    let tier = Tier::of(candidates, bound);
    let ineligible = candidates.len() - order.len();
    let many_ineligible = ineligible as f64 >= MIN_INELIGIBLE_SHARE * candidates.len() as f64;
    let rank = match first_rank_below(&order, tier, bound, bounds.max_full_candidates) {
        Some(rank) if rank > 0 && many_ineligible => least_loaded_near(&order, rank, tier),
        Some(rank) => rank,
        None => rank_in_full_tier(&order, tier, bounds)?,
    };
    let chosen = order[rank].1;
    Some(Selection {
        index: chosen.index,
        load: chosen.load,
        limit: chosen.limit,
        mean,
        rank,
        start_index,
    })
}

/// Spill bound of a pool, in requests: at or above that load a candidate is skipped. Without an
/// eligible candidate, 0.
pub fn spill_bound(candidates: &[DirectCandidate], bounds: &SelectBounds) -> f64 {
    let mean = mean_load(candidates.iter());
    let eligible_mean = mean_load(eligible(candidates));
    match (mean, eligible_mean) {
        (Some(mean), Some(eligible_mean)) => bound_at(mean, eligible_mean, bounds),
        _ => 0.0,
    }
}

fn bound_at(mean: f64, eligible_mean: f64, bounds: &SelectBounds) -> f64 {
    let above_mean = (eligible_mean - mean).max(0.0);
    let margin = MARGIN_OF_SPILL_FACTOR * bounds.spill_factor * above_mean;
    let bound = bounds.spill_factor * mean + bounds.spill_slack - margin;
    bound.max(MIN_SPILL_FACTOR * eligible_mean + MIN_SPILL_SLACK)
}

/// Rank of the first candidate of a tier that is below the spill bound and not full.
/// After `max_full_candidates` full candidates, the rank of the first of these. `None` if neither
/// is found.
fn first_rank_below(
    order: &[(u64, &DirectCandidate)],
    tier: Tier,
    bound: f64,
    max_full_candidates: usize,
) -> Option<usize> {
    let mut full = 0;
    let mut first_full = None;
    for (rank, (_, candidate)) in order.iter().enumerate() {
        if !tier.includes(candidate) {
            continue;
        }
        if !candidate.has_free_capacity() {
            first_full.get_or_insert(rank);
            full += 1;
            if full >= max_full_candidates {
                return first_full;
            }
        } else if candidate.load < bound {
            return Some(rank);
        }
    }
    None
}

/// Chooses a back end for a request without a shared part. The random `draw` breaks ties.
pub fn select_by_load(
    candidates: &[DirectCandidate],
    draw: u64,
    bounds: &SelectBounds,
) -> Option<Selection> {
    let mean = mean_load(candidates.iter())?;
    let tier = Tier::of(candidates, spill_bound(candidates, bounds));
    let cost = |candidate: &DirectCandidate| {
        let zone_cost = if candidate.same_zone {
            0.0
        } else {
            bounds.zone_slack
        };
        candidate.load + zone_cost
    };
    let with_free_capacity =
        |candidate: &&DirectCandidate| tier.includes(candidate) && candidate.has_free_capacity();
    let some_has_free_capacity =
        eligible(candidates).any(|candidate| with_free_capacity(&candidate));
    let chosen = eligible(candidates)
        .filter(|candidate| tier.includes(candidate))
        .filter(|candidate| !some_has_free_capacity || with_free_capacity(candidate))
        .min_by(|a, b| {
            cost(a).total_cmp(&cost(b)).then_with(|| {
                rendezvous_score(draw, a.id_hash).cmp(&rendezvous_score(draw, b.id_hash))
            })
        })?;
    Some(Selection {
        index: chosen.index,
        load: chosen.load,
        limit: chosen.limit,
        mean,
        rank: 0,
        start_index: None,
    })
}

/// The back end other than `chosen` that most likely has a part cached: the first in the
/// rendezvous order of the part over all members, including those that are leaving.
///
/// If `chosen` is the home of the part, the likely holder is the next in the order, which was the
/// home before `chosen` joined.
pub fn likely_holder<'a>(
    members: impl Iterator<Item = &'a BackEnd>,
    part: u64,
    chosen: &str,
) -> Option<&'a BackEnd> {
    members
        .filter(|member| member.entry.id != chosen)
        .max_by_key(|member| rendezvous_score(part, member.id_hash))
}

/// Whether a back end is the home of a part: the first in the rendezvous order over all members.
/// Routers look for a part at its home without gossip that names it.
pub fn is_home<'a>(members: impl Iterator<Item = &'a BackEnd>, part: u64, back_end: &str) -> bool {
    let home = members.max_by_key(|member| rendezvous_score(part, member.id_hash));
    home.is_some_and(|home| home.entry.id == back_end)
}

/// Rendezvous score of a back end for a part; the order of a part is by descending score.
pub(super) fn rendezvous_score(part: u64, id_hash: u64) -> u64 {
    xxh3_64_with_seed(&id_hash.to_le_bytes(), part)
}

/// Candidates that may get the request.
fn eligible(candidates: &[DirectCandidate]) -> impl Iterator<Item = &DirectCandidate> {
    candidates.iter().filter(|candidate| candidate.eligible)
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a DirectCandidate>) -> Option<f64> {
    let (mut sum, mut count) = (0.0, 0_u32);
    for candidate in candidates {
        sum += candidate.load;
        count += 1;
    }
    (count > 0).then(|| sum / f64::from(count))
}

/// Rank of the least loaded candidate of a tier that is not full, among the
/// [`SPILL_CANDIDATES`] candidates from `rank` on; `rank` if there is none.
fn least_loaded_near(order: &[(u64, &DirectCandidate)], rank: usize, tier: Tier) -> usize {
    let near = order.iter().enumerate().skip(rank).take(SPILL_CANDIDATES);
    near.filter(|(_, (_, candidate))| tier.includes(candidate) && candidate.has_free_capacity())
        .min_by(|a, b| a.1 .1.load.total_cmp(&b.1 .1.load))
        .map_or(rank, |(rank, _)| rank)
}

/// Rank of a candidate of a tier in which none is below the spill bound of the pool: the first that is
/// below the bound that follows from the load of the tier alone, or the least loaded.
///
/// With the least loaded one, all routers would crowd the candidate with the lowest report.
fn rank_in_full_tier(
    order: &[(u64, &DirectCandidate)],
    tier: Tier,
    bounds: &SelectBounds,
) -> Option<usize> {
    let of_tier = order.iter().map(|(_, candidate)| *candidate);
    let mean = mean_load(of_tier.filter(|candidate| tier.includes(candidate)))?;
    let bound = bound_at(mean, mean, bounds);
    first_rank_below(order, tier, bound, usize::MAX).or_else(|| least_loaded_rank(order, tier))
}

fn least_loaded_rank(order: &[(u64, &DirectCandidate)], tier: Tier) -> Option<usize> {
    order
        .iter()
        .enumerate()
        .filter(|(_, (_, candidate))| tier.includes(candidate))
        .min_by(|a, b| a.1 .1.load.total_cmp(&b.1 .1.load))
        .map(|(rank, _)| rank)
}
