//! What the runs of one request may be blamed on when their back ends crash.

use std::rc::Rc;

use crate::direct::choice::prompt::PromptChain;
use crate::direct::quarantine::digest::SuspectDigest;

/// Maximum number of parts of one prompt that may be blamed. Callers announce as many as fit into
/// a request head.
const MAX_PARTS: usize = 16;

/// A prompt part that may crash the back ends which generate on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectPart {
    /// Id of the part, as callers announce it.
    pub id: u64,
    /// Digest of the part at the back ends of its pool.
    pub digest: SuspectDigest,
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
