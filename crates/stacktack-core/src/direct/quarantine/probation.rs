//! Choice of the back end for a request on probation.
//!
//! All routers select the same few back ends for a request, from its digest alone. Whichever
//! routers the request arrives at, and whatever these know of each other, it can crash no other
//! back ends while it is on probation.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::back_ends::health::Health;
use crate::direct::choice::select::DirectCandidate;
use crate::direct::quarantine::digest::SuspectDigest;

/// Number of back ends that a request on probation may run on. With one, an innocent request would
/// wait for as long as that back end is unavailable, and nothing would distinguish the request
/// from one that causes crashes.
const PROBATION_BACK_ENDS: usize = 2;

/// Selects the candidate for the probation of a request; `None` while none of the back ends
/// that its digest selects can take it.
pub fn select_for_probation(
    candidates: &[DirectCandidate],
    digest: SuspectDigest,
    is_free: impl Fn(&DirectCandidate) -> bool,
) -> Option<&DirectCandidate> {
    let mut order: Vec<&DirectCandidate> = candidates.iter().collect();
    let score = |candidate: &DirectCandidate| {
        xxh3_64_with_seed(&candidate.id_hash.to_le_bytes(), digest.as_u64())
    };
    order.sort_unstable_by_key(|candidate| std::cmp::Reverse(score(candidate)));
    let selected = order.into_iter().take(PROBATION_BACK_ENDS);
    let mut available = selected.filter(|candidate| {
        candidate.eligible && candidate.health != Health::Ejected && is_free(candidate)
    });
    available.next()
}
