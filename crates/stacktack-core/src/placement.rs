//! Choice of a back end as a pure function of a snapshot.
//!
//! The default policy is weighted rendezvous hashing with bounded loads. The
//! hash of chat and back end orders the candidates; the first in this order is
//! the chat's *home*. A candidate is skipped while
//!
//! ```text
//! load + work / capacity > max(cap * mean, mean + work / capacity)
//! ```
//!
//! where the mean includes the new work. The chat then spills over to the next
//! candidate in its own order, which is the same each time. A back end at or
//! below the mean always accepts one request, so some candidate fits as
//! long as all views agree; otherwise the least loaded candidate is chosen.
//! Suspected candidates are chosen only if there are no others.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use stacktack_wire::identity::{ChatId, NodeId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Policy by which a back end is chosen. All but `Bounded` are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The candidate with the lowest known load.
    LeastLoaded,
    /// The less loaded of two candidates drawn at random.
    TwoChoices,
    /// The first candidate in rendezvous order, whatever its load.
    Rendezvous,
    /// The first candidate in rendezvous order within the load bound.
    #[default]
    Bounded,
}

/// An eligible back end, as the router knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The back end.
    pub node: NodeId,
    /// Relative amount of work that the back end can do, compared with others.
    pub capacity: f64,
    /// Work units in flight divided by capacity.
    pub load: f64,
    /// Age of the load in milliseconds.
    pub load_age_ms: u64,
    /// Whether the back end may be down or leaving.
    pub suspected: bool,
}

/// Complete input of a choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChoiceInput {
    /// Policy in force.
    pub policy: Policy,
    /// Hash of the chat, or of the request if it continues no chat.
    pub chat: ChatId,
    /// Load bound as a multiple of the mean load.
    pub cap: f64,
    /// Mean load including the request's work, as the router estimates it.
    pub mean: f64,
    /// Work units of the request.
    pub work: f64,
    /// Back end that the caller asked for, which is tried first.
    pub preferred: Option<NodeId>,
    /// Eligible back ends that have not refused the request yet.
    pub candidates: Vec<Candidate>,
    /// Seed of the choice, for policies that draw at random.
    pub draw: u64,
}

/// Why a back end was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is the first candidate in the chat's rendezvous order.
    Home,
    /// Earlier candidates in the rendezvous order are over the load bound.
    Spill,
    /// The caller asked for it, and it is within the load bound.
    Placement,
    /// It has the lowest load of all candidates.
    LeastLoaded,
    /// All candidates are over the load bound, and it has the lowest load.
    AllOverBound,
    /// It is the less loaded of two randomly drawn candidates.
    TwoChoices,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The chosen back end.
    pub node: NodeId,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Rendezvous score of a chat at a back end; the back end with the highest
/// score is the chat's home. The score `-capacity / ln(uniform hash)` gives each
/// back end a share of the chats in proportion to its capacity.
pub fn rendezvous_score(chat: ChatId, node: NodeId, capacity: f64) -> f64 {
    let hash = xxh3_64_with_seed(&chat.0.to_le_bytes(), u64::from(node.0));
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    let positive = uniform.max(f64::MIN_POSITIVE);
    -capacity / positive.ln()
}

/// Whether a back end that accepts the work stays within the load bound
/// `load + work <= max(cap * mean, mean + work)`. Load, work and mean are
/// divided by capacity, and the mean includes the new work.
pub fn within_bound(load: f64, work: f64, cap: f64, mean: f64) -> bool {
    load + work <= (cap * mean).max(mean + work)
}

/// Chooses a back end; none if there are no candidates.
pub fn choose(input: &ChoiceInput) -> Option<Choice> {
    let healthy: Vec<Candidate> = input
        .candidates
        .iter()
        .copied()
        .filter(|candidate| !candidate.suspected)
        .collect();
    let considered = if healthy.is_empty() {
        &input.candidates
    } else {
        &healthy
    };
    match input.policy {
        Policy::LeastLoaded => least_loaded(considered, Reason::LeastLoaded),
        Policy::TwoChoices => two_choices(considered, input.draw),
        Policy::Rendezvous => first_in_order(input, considered),
        Policy::Bounded => bounded(input, considered),
    }
}

fn least_loaded(candidates: &[Candidate], reason: Reason) -> Option<Choice> {
    candidates
        .iter()
        .min_by(|left, right| left.load.total_cmp(&right.load))
        .map(|candidate| Choice {
            node: candidate.node,
            reason,
        })
}

fn two_choices(candidates: &[Candidate], draw: u64) -> Option<Choice> {
    use rand::SeedableRng;
    if candidates.is_empty() {
        return None;
    }
    let mut random = ChaCha8Rng::seed_from_u64(draw);
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    least_loaded(&[first, second], Reason::TwoChoices)
}

fn score(input: &ChoiceInput, candidate: &Candidate) -> f64 {
    rendezvous_score(input.chat, candidate.node, candidate.capacity)
}

fn first_in_order(input: &ChoiceInput, candidates: &[Candidate]) -> Option<Choice> {
    candidates
        .iter()
        .max_by(|left, right| score(input, left).total_cmp(&score(input, right)))
        .map(|candidate| Choice {
            node: candidate.node,
            reason: Reason::Home,
        })
}

fn bounded(input: &ChoiceInput, candidates: &[Candidate]) -> Option<Choice> {
    let fits = |candidate: &Candidate| {
        let Candidate { load, capacity, .. } = *candidate;
        within_bound(load, input.work / capacity, input.cap, input.mean)
    };
    let preferred = candidates
        .iter()
        .find(|candidate| Some(candidate.node) == input.preferred && fits(candidate));
    if let Some(candidate) = preferred {
        return Some(Choice {
            node: candidate.node,
            reason: Reason::Placement,
        });
    }
    let mut order: Vec<(f64, &Candidate)> = candidates
        .iter()
        .map(|candidate| (score(input, candidate), candidate))
        .collect();
    order.sort_by(|left, right| right.0.total_cmp(&left.0));
    let first_fit = order.iter().position(|(_, candidate)| fits(candidate));
    match first_fit {
        Some(position) => Some(Choice {
            node: order[position].1.node,
            reason: if position == 0 {
                Reason::Home
            } else {
                Reason::Spill
            },
        }),
        None => least_loaded(candidates, Reason::AllOverBound),
    }
}
