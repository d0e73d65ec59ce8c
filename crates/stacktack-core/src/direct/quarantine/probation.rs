//! Where a suspect runs.
//!
//! Every router finds the same few back ends for it, from its digest alone: whichever routers
//! a suspect comes to, and whatever they know of each other, it cannot end others than these.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::health::Health;
use crate::direct::choice::select::DirectCandidate;
use crate::direct::quarantine::digest::RequestDigest;

/// Back ends that a suspect may go to. Two: with one, a suspect that is innocent waits
/// for as long as that one is away, and nothing tells it from a guilty one.
const PROBATION_BACK_ENDS: usize = 2;

/// The candidate for a suspect's probation; `None` while none of those that its digest names
/// can take it.
pub fn select_for_probation(
    candidates: &[DirectCandidate],
    digest: RequestDigest,
    is_free: impl Fn(&DirectCandidate) -> bool,
) -> Option<&DirectCandidate> {
    let mut order: Vec<&DirectCandidate> = candidates.iter().collect();
    let score = |candidate: &DirectCandidate| {
        xxh3_64_with_seed(&candidate.id_hash.to_le_bytes(), digest.as_u64())
    };
    order.sort_unstable_by_key(|candidate| std::cmp::Reverse(score(candidate)));
    let named = order.into_iter().take(PROBATION_BACK_ENDS);
    let mut able = named.filter(|candidate| {
        candidate.eligible && candidate.standing != Health::Ejected && is_free(candidate)
    });
    able.next()
}
