//! Choice of a back end: a pure function over a snapshot.
//!
//! Requests with a shared prompt part are kept together by rendezvous hashing:
//! the hash of part and back end orders the candidates, the same order at each
//! router. A part that many requests share is spread over the first places of its order.
//! The first that has room and whose load is within the bound takes the request; when
//! none is, the least loaded one. When the first four are full and the
//! pool as a whole is, no further one is asked for room. Requests without a part go to
//! the least loaded candidate of their own zone unless another zone is clearly freer.
//!
//! Members that may get no request now (cold, in a drained zone) count in the mean: the
//! load that others carry is bound by the mean of the whole pool.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::back_end::BackEnd;
use crate::direct::back_ends::health::Health;

/// What is known of one candidate at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectCandidate {
    /// Place of the back end in the caller's list.
    pub index: usize,
    /// Hash of the back end's id.
    pub id_hash: u64,
    /// Requests in flight there, from all routers as far as known.
    pub load: f64,
    /// Load from which it is full for this request.
    pub limit: f64,
    /// Whether it stands in the router's zone.
    pub same_zone: bool,
    /// What the router holds of it.
    pub standing: Health,
    /// Whether it may get requests; else it only counts in the mean.
    pub eligible: bool,
}

/// Bounds of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectBounds {
    /// A candidate is passed by above this multiple of the mean load ...
    pub spill_factor: f64,
    /// ... plus this many requests.
    pub spill_slack: f64,
    /// Requests by which another zone has to be freer.
    pub zone_slack: f64,
    /// Full candidates that a request with a part passes by before it is refused.
    pub max_full_candidates: usize,
    /// Places over which the request's part is spread ...
    pub replicas: usize,
    /// ... and the one among them at which this request begins.
    pub first_replica: usize,
}

/// Share of the load cap at which a candidate is passed by: what is known of
/// loads is up to half a second old.
const SPILL_SHARE_OF_CAP: f64 = 0.75;

/// Back ends that keep a part, as a rule, while pools are full: a request goes no
/// further for room, since reading the part once more costs a full pool more than the
/// refusal of a request.
const PLACES_OF_A_PART: usize = 4;

/// Share of the members that may get no request from which those that remain are at their
/// bound together. A release holds back fewer: for these a part is read again at one more
/// member for nothing (worth of five days at 42 back ends 0.674 with any, 0.682 with 0.15).
const MANY_CLOSED: f64 = 0.15;

/// Places in the order among which a request that its home has no room for goes to the
/// least loaded, while many members may get none: most homes are at their bound then, and
/// all routers pass them by at once. Of 8 days with one or two of four zones drained 1
/// broke the load bound with it, 2 where the first within the bound took the request, 3
/// with a bound of 1.2 times the mean.
const SPILL_PLACES: usize = 5;

/// Least multiple of the mean at which a candidate is passed by.
const LEAST_SPILL_FACTOR: f64 = 1.1;

impl SelectBounds {
    /// Bounds that keep loads below `load_cap` times the mean.
    pub fn for_load_cap(load_cap: f64) -> Self {
        SelectBounds {
            spill_factor: (load_cap * SPILL_SHARE_OF_CAP).max(LEAST_SPILL_FACTOR),
            spill_slack: 2.0,
            zone_slack: 1.5,
            max_full_candidates: usize::MAX,
            replicas: 1,
            first_replica: 0,
        }
    }

    /// The same for a part that is spread over places, and a request that begins at one of them.
    pub fn spread_over(self, replicas: usize, first_replica: usize) -> Self {
        SelectBounds {
            replicas,
            first_replica,
            ..self
        }
    }

    /// Requests above the mean load at which a candidate is passed by.
    pub fn spill_headroom(&self, mean: f64) -> f64 {
        (self.spill_factor - 1.0) * mean + self.spill_slack
    }

    /// The same for a pool that is full as a whole.
    pub fn for_full_pool(self) -> Self {
        SelectBounds {
            max_full_candidates: PLACES_OF_A_PART,
            ..self
        }
    }
}

impl DirectCandidate {
    /// Whether it is not full for this request.
    fn has_room(&self) -> bool {
        self.load < self.limit
    }
}

impl Selection {
    /// Whether the chosen back end has room. Without it the request is to be refused:
    /// no back end that it may go to has any.
    pub fn has_room(&self) -> bool {
        self.load < self.limit
    }
}

/// The choice and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// The chosen back end's place in the caller's list.
    pub index: usize,
    /// Its load before this request.
    pub load: f64,
    /// Load from which it is full for this request.
    pub limit: f64,
    /// Mean load of the candidates.
    pub mean: f64,
    /// Places passed by from where the request began; 0 is the home, or its place among those over
    /// which its part is spread.
    pub rank: usize,
    /// The place at which it began, for requests with a shared part.
    pub start_index: Option<usize>,
}

/// Chooses for a request with a shared part.
pub fn select_by_affinity(
    candidates: &[DirectCandidate],
    part: u64,
    bounds: &SelectBounds,
) -> Option<Selection> {
    let mean = mean_load(candidates.iter())?;
    let open_mean = mean_load(open(candidates))?;
    let mut order: Vec<(u64, &DirectCandidate)> = open(candidates)
        .map(|candidate| (score(part, candidate.id_hash), candidate))
        .collect();
    order.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    let places = bounds.replicas.min(order.len());
    order[..places].rotate_left(bounds.first_replica.min(places));
    let home = order.first().map(|(_, candidate)| candidate.index);
    let bound = (bounds.spill_factor * mean).max(LEAST_SPILL_FACTOR * open_mean);
    let bound = bound + bounds.spill_slack;
    let best = best_standing(open(candidates));
    let closed = candidates.len() - order.len();
    let many_closed = closed as f64 >= MANY_CLOSED * candidates.len() as f64;
    let rank = match place_in_order(&order, best, bound, bounds.max_full_candidates) {
        Some(rank) if rank > 0 && many_closed => least_loaded_near(&order, rank, best),
        Some(rank) => rank,
        None => least_loaded_rank(&order, best)?,
    };
    let chosen = order[rank].1;
    Some(Selection {
        index: chosen.index,
        load: chosen.load,
        limit: chosen.limit,
        mean,
        rank,
        start_index: home,
    })
}

/// Place of the first candidate within bound and limit. After `max_full_candidates` full ones,
/// the place of the first of these. `None` when no candidate is within the bound.
fn place_in_order(
    order: &[(u64, &DirectCandidate)],
    best: Health,
    bound: f64,
    max_full_candidates: usize,
) -> Option<usize> {
    let mut full = 0;
    let mut first_full = None;
    for (rank, (_, candidate)) in order.iter().enumerate() {
        if candidate.standing != best {
            continue;
        }
        if !candidate.has_room() {
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

/// Chooses for a request that may go anywhere; `draw` breaks ties.
pub fn select_by_load(
    candidates: &[DirectCandidate],
    draw: u64,
    bounds: &SelectBounds,
) -> Option<Selection> {
    let mean = mean_load(candidates.iter())?;
    let best = best_standing(open(candidates));
    let cost = |candidate: &DirectCandidate| {
        let away = if candidate.same_zone {
            0.0
        } else {
            bounds.zone_slack
        };
        candidate.load + away
    };
    let with_room =
        |candidate: &&DirectCandidate| candidate.standing == best && candidate.has_room();
    let some_has_room = open(candidates).any(|candidate| with_room(&candidate));
    let chosen = open(candidates)
        .filter(|candidate| candidate.standing == best)
        .filter(|candidate| !some_has_room || with_room(candidate))
        .min_by(|a, b| {
            cost(a)
                .total_cmp(&cost(b))
                .then_with(|| score(draw, a.id_hash).cmp(&score(draw, b.id_hash)))
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

/// The back end that most likely keeps a part, other than the chosen one: the
/// first in the part's order over all members, with those that are leaving.
/// When the chosen one is the home, that is the next in the order: the home
/// before this one joined.
pub fn likely_holder<'a>(
    members: impl Iterator<Item = &'a BackEnd>,
    part: u64,
    chosen: &str,
) -> Option<&'a BackEnd> {
    members
        .filter(|member| member.entry.id != chosen)
        .max_by_key(|member| score(part, member.id_hash))
}

/// Whether a back end is a part's home: the first in its order over all members. Whoever looks for the
/// part looks there without being told.
pub fn is_home<'a>(members: impl Iterator<Item = &'a BackEnd>, part: u64, back_end: &str) -> bool {
    let home = members.max_by_key(|member| score(part, member.id_hash));
    home.is_some_and(|home| home.entry.id == back_end)
}

fn score(part: u64, id_hash: u64) -> u64 {
    xxh3_64_with_seed(&id_hash.to_le_bytes(), part)
}

/// Candidates that may get the request.
fn open(candidates: &[DirectCandidate]) -> impl Iterator<Item = &DirectCandidate> {
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

fn best_standing<'a>(candidates: impl Iterator<Item = &'a DirectCandidate>) -> Health {
    candidates
        .map(|candidate| candidate.standing)
        .min()
        .unwrap_or(Health::Good)
}

/// Place of the least loaded candidate with room among [`SPILL_PLACES`] from a rank on.
fn least_loaded_near(order: &[(u64, &DirectCandidate)], rank: usize, best: Health) -> usize {
    let near = order.iter().enumerate().skip(rank).take(SPILL_PLACES);
    near.filter(|(_, (_, candidate))| candidate.standing == best && candidate.has_room())
        .min_by(|a, b| a.1 .1.load.total_cmp(&b.1 .1.load))
        .map_or(rank, |(rank, _)| rank)
}

fn least_loaded_rank(order: &[(u64, &DirectCandidate)], best: Health) -> Option<usize> {
    order
        .iter()
        .enumerate()
        .filter(|(_, (_, candidate))| candidate.standing == best)
        .min_by(|a, b| a.1 .1.load.total_cmp(&b.1 .1.load))
        .map(|(rank, _)| rank)
}
