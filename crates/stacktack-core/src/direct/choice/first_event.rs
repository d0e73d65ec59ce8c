//! Choice by the time to the first event, in pools whose engines are limited by prompts: a pure
//! function of the candidates and of the work at their engines.
//!
//! A request goes to the home of its part, as [`select_by_affinity`] chooses it, while its first event
//! is predicted in time there: other routers send the part there too, and each further engine that
//! reads it takes time from all requests. Else the cheapest engine is chosen. The cost of an engine
//! is the predicted time until the first event of the response there, plus the time for which it
//! reads the prompt, which delays whatever arrives there meanwhile.
//!
//! Routers decide from reports of different ages and do not know what the others send meanwhile.
//! All of them compare the same few engines of a part, the known holders and the first of its
//! rendezvous order, so that a part is read at few engines. When each of these makes the caller
//! late, a few more that are drawn at random are compared; with the same candidates, all routers
//! would crowd the engine that was idle in the last report.

use std::time::Duration;

use crate::direct::choice::select::{
    rendezvous_score, select_by_affinity, spill_bound, DirectCandidate, SelectBounds, Selection,
    Tier,
};

/// Share of what is left of the latency objective within which the first event at the home is
/// predicted in time. The rest is for what other routers send there meanwhile.
const OBJECTIVE_LEFT_SHARE: f64 = 0.5;

/// Number of engines at the front of the rendezvous order that are compared for each request.
const NEAR_ENGINES: usize = 3;

/// Number of further engines that are compared when the near ones make the caller late.
const DRAWN_ENGINES: usize = 4;

/// Reading times that are added to the cost of an engine that would read a part away from its home.
/// The home reads the part for other requests nevertheless, and while all engines are cold there
/// is no time to read parts twice.
const DUPLICATE_READING_COST: f64 = 3.0;

/// Work at the engine of a candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Time until the engine begins a new request.
    pub backlog: Duration,
    /// Time to read the parts of the prompt that the engine does not have.
    pub reading: Duration,
    /// How the engine would get parts from another one; `None` if no other is known to have them.
    pub copying: Option<Copying>,
    /// Whether the engine is known to have the shared parts of the prompt.
    pub is_holder: bool,
}

/// Copy of the shared parts of a prompt from another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copying {
    /// Time until the copy is complete.
    pub transfer: Duration,
    /// Time to read the rest of the prompt.
    pub reading: Duration,
}

/// What is chosen for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    /// The part that decides the rendezvous order; a random number for prompts without one.
    pub part: u64,
    /// Random number that selects the further engines.
    pub draw: u64,
    /// What is left of the latency objective, within which the first event is wanted.
    pub objective_left: Duration,
}

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It is the home of the part, the first of the rendezvous order, or the replica of a hot part
    /// that the request starts at.
    Home,
    /// It is known to have the shared parts of the prompt.
    Holder,
    /// It is another of the first in the rendezvous order.
    Near,
    /// It was drawn, since the others would have made the caller late.
    Drawn,
    /// No engine is below its load bounds; the least loaded one was chosen.
    Overload,
}

impl Placement {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Placement::Home => "home",
            Placement::Holder => "holder",
            Placement::Near => "near",
            Placement::Drawn => "drawn",
            Placement::Overload => "overload",
        }
    }
}

/// The chosen engine and what is predicted of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventChoice {
    /// The engine, and the loads that bounded the choice.
    pub selection: Selection,
    /// Predicted time until the first event of the response.
    pub first_event_after: Duration,
    /// Why the engine was chosen.
    pub placement: Placement,
    /// Whether copying parts from another engine is faster than reading them.
    pub copies: bool,
}

/// Costs of an engine for the request, in seconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    first_event: f64,
    reading: f64,
    copies: bool,
}

impl Cost {
    fn of(engine: &EngineWork) -> Self {
        let backlog = engine.backlog.as_secs_f64();
        let reading = engine.reading.as_secs_f64();
        let read = Cost {
            first_event: backlog + reading,
            reading,
            copies: false,
        };
        let Some(copying) = engine.copying else {
            return read;
        };
        let rest = copying.reading.as_secs_f64();
        let copied = Cost {
            first_event: backlog.max(copying.transfer.as_secs_f64()) + rest,
            reading: rest,
            copies: true,
        };
        if copied.total() < read.total() {
            copied
        } else {
            read
        }
    }

    fn total(&self) -> f64 {
        self.first_event + self.reading
    }
}

/// A candidate that may be chosen.
struct Ranked<'a> {
    score: u64,
    candidate: &'a DirectCandidate,
    engine: &'a EngineWork,
}

/// A candidate with its costs.
struct Priced {
    rank: usize,
    cost: Cost,
    /// What candidates are compared by, in seconds.
    total: f64,
}

/// Chooses an engine for a request. `engines` are those of the candidates, in the same order.
/// `None` if no candidate is eligible.
pub fn select_by_first_event(
    candidates: &[DirectCandidate],
    engines: &[EngineWork],
    wanted: &Wanted,
    bounds: &SelectBounds,
) -> Option<FirstEventChoice> {
    let by_home = choose_by_home(candidates, engines, wanted.part, bounds)?;
    if by_home.first_event_after <= wanted.objective_left.mul_f64(OBJECTIVE_LEFT_SHARE) {
        return Some(by_home);
    }
    let cheapest = choose_cheapest(candidates, engines, wanted, bounds);
    Some(cheapest.unwrap_or(FirstEventChoice {
        placement: Placement::Overload,
        ..by_home
    }))
}

/// The cheapest of the engines that are compared for a request; `None` if none is below its bounds.
fn choose_cheapest(
    candidates: &[DirectCandidate],
    engines: &[EngineWork],
    wanted: &Wanted,
    bounds: &SelectBounds,
) -> Option<FirstEventChoice> {
    let mut order = ranked_below_bounds(candidates, engines, wanted.part, bounds);
    let near = NEAR_ENGINES.max(bounds.replicas).min(order.len());
    if near == 0 {
        return None;
    }
    if near < order.len() {
        order.select_nth_unstable_by_key(near - 1, |ranked| std::cmp::Reverse(ranked.score));
    }
    order[..near].sort_unstable_by_key(|ranked| std::cmp::Reverse(ranked.score));
    let replicas = bounds.replicas.min(near);
    order[..replicas].rotate_left(bounds.first_replica.min(replicas));
    let home = match bounds.first_replica {
        0 => home_index(candidates, wanted.part),
        _ => Some(order[0].candidate.index),
    };
    let compared = order.iter().enumerate();
    let known = compared.filter(|(rank, ranked)| *rank < near || ranked.engine.is_holder);
    let mut best = cheapest(known, home)?;
    if best.cost.first_event > wanted.objective_left.as_secs_f64() {
        let further = drawn_ranks(near..order.len(), wanted.draw);
        let drawn = cheapest(further.map(|rank| (rank, &order[rank])), home);
        best = drawn
            .filter(|drawn| drawn.total < best.total)
            .unwrap_or(best);
    }
    let Priced { rank, cost, .. } = best;
    let chosen = &order[rank];
    Some(FirstEventChoice {
        selection: Selection {
            index: chosen.candidate.index,
            load: chosen.candidate.load,
            limit: chosen.candidate.limit,
            mean: mean_load(candidates),
            rank,
            start_index: home,
        },
        first_event_after: Duration::from_secs_f64(cost.first_event),
        placement: placement(chosen, rank, near, home),
        copies: cost.copies,
    })
}

fn placement(chosen: &Ranked, rank: usize, near: usize, home: Option<usize>) -> Placement {
    if Some(chosen.candidate.index) == home {
        Placement::Home
    } else if chosen.engine.is_holder {
        Placement::Holder
    } else if rank < near {
        Placement::Near
    } else {
        Placement::Drawn
    }
}

/// Eligible candidates of the tier that are not full and are below the spill bound.
fn ranked_below_bounds<'a>(
    candidates: &'a [DirectCandidate],
    engines: &'a [EngineWork],
    part: u64,
    bounds: &SelectBounds,
) -> Vec<Ranked<'a>> {
    let bound = spill_bound(candidates, bounds);
    let tier = Tier::of(candidates, bound);
    let pairs = candidates.iter().zip(engines);
    pairs
        .filter(|(candidate, _)| {
            candidate.eligible
                && tier.includes(candidate)
                && candidate.load < candidate.limit
                && candidate.load < bound
        })
        .map(|(candidate, engine)| Ranked {
            score: rendezvous_score(part, candidate.id_hash),
            candidate,
            engine,
        })
        .collect()
}

/// Index of the home: the first eligible candidate in the rendezvous order.
fn home_index(candidates: &[DirectCandidate], part: u64) -> Option<usize> {
    let eligible = candidates.iter().filter(|candidate| candidate.eligible);
    let home = eligible.max_by_key(|candidate| rendezvous_score(part, candidate.id_hash))?;
    Some(home.index)
}

/// The cheapest of some engines, the first of several that cost the same.
fn cheapest<'a>(
    engines: impl Iterator<Item = (usize, &'a Ranked<'a>)>,
    home: Option<usize>,
) -> Option<Priced> {
    engines
        .map(|(rank, ranked)| {
            let cost = Cost::of(ranked.engine);
            let is_home = Some(ranked.candidate.index) == home;
            let is_duplicate = !is_home && !ranked.engine.is_holder && !cost.copies;
            let duplicate = if is_duplicate { cost.reading } else { 0.0 };
            Priced {
                rank,
                cost,
                total: cost.total() + DUPLICATE_READING_COST * duplicate,
            }
        })
        .min_by(|a, b| a.total.total_cmp(&b.total))
}

/// Ranks that a random number draws from a range; fewer if it draws one repeatedly.
fn drawn_ranks(ranks: std::ops::Range<usize>, draw: u64) -> impl Iterator<Item = usize> {
    let count = ranks.len();
    let drawn = if count == 0 { 0 } else { DRAWN_ENGINES };
    let step = move |turn: usize| rendezvous_score(draw, turn as u64) as usize % count;
    (0..drawn).map(move |turn| ranks.start + step(turn))
}

/// The choice by homes, whatever the work at the engines.
fn choose_by_home(
    candidates: &[DirectCandidate],
    engines: &[EngineWork],
    part: u64,
    bounds: &SelectBounds,
) -> Option<FirstEventChoice> {
    let selection = select_by_affinity(candidates, part, bounds)?;
    let position = candidates
        .iter()
        .position(|candidate| candidate.index == selection.index)?;
    let cost = Cost::of(&engines[position]);
    let is_home = selection.start_index == Some(selection.index);
    Some(FirstEventChoice {
        selection,
        first_event_after: Duration::from_secs_f64(cost.first_event),
        placement: if is_home {
            Placement::Home
        } else {
            Placement::Near
        },
        copies: cost.copies,
    })
}

fn mean_load(candidates: &[DirectCandidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    sum / candidates.len().max(1) as f64
}
