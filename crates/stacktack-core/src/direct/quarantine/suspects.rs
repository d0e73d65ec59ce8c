//! What the runs of one request may be blamed on when their back ends crash: the request itself,
//! and what it has in common with others, the parts of its prompt.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::choice::prompt::PromptChain;
use crate::direct::quarantine::digest::SuspectDigest;

/// Maximum number of parts of one prompt that may be blamed. Callers announce as many as fit into
/// a request head.
const MAX_PARTS: usize = 16;

/// Short form of a caller's name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallerHash(u32);

impl CallerHash {
    /// Hash of a tenant's name; of an empty one if the route requires no key.
    pub fn of(caller: &str) -> Self {
        CallerHash(xxh3_64(caller.as_bytes()) as u32)
    }
}

/// A prompt part that may crash the back ends which generate on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPart {
    /// Id of the part, as callers announce it.
    pub id: u64,
    /// Digest of the part at the back ends of its pool.
    pub digest: SuspectDigest,
}

/// Everything that the runs of one request may be blamed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspects {
    /// The request; `None` if only its prompt is considered.
    pub request: Option<SuspectDigest>,
    /// Parts of its prompt.
    pub parts: Rc<[SuspectPart]>,
    /// Who sent the request.
    pub caller: CallerHash,
}

impl Suspects {
    /// Digests of the request and of the parts.
    pub fn digests(&self) -> impl Iterator<Item = SuspectDigest> + '_ {
        let parts = self.parts.iter().map(|part| part.digest);
        self.request.into_iter().chain(parts)
    }
}

/// The distinct parts of a prompt that may be blamed: all but the last one, which no other request
/// has.
pub fn suspect_parts(prompt: &PromptChain, pool: &str) -> Rc<[SuspectPart]> {
    let shared = prompt.parts.len().saturating_sub(1);
    let mut parts: Vec<SuspectPart> = Vec::new();
    for part in &prompt.parts[..shared] {
        if parts.len() == MAX_PARTS {
            break;
        }
        if parts.iter().all(|known| known.id != part.id) {
            parts.push(SuspectPart {
                id: part.id,
                digest: SuspectDigest::of_part(pool, part.id),
            });
        }
    }
    parts.into()
}
