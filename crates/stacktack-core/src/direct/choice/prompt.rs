//! The chain of prompt parts that a request announces.
//!
//! Requests share parts from the front: a back end can reuse a cached part only together with
//! every part before it. The last part belongs to the request or its session.

use thiserror::Error;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content of the part: equal parts have equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The parts of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptChain {
    /// The parts, from the start of the prompt.
    pub parts: Vec<PromptPart>,
}

/// Error of parsing a prompt chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The entry at this index is not `ID:TOKENS` with a hexadecimal id.
    #[error("entry {0} of the prompt chain is not ID:TOKENS")]
    Entry(usize),
}

impl PromptChain {
    /// Parses `ID:TOKENS` entries separated by commas, ids in hexadecimal.
    pub fn parse(text: &str) -> Result<Self, PromptError> {
        let parts = text
            .split(',')
            .enumerate()
            .map(|(index, entry)| parse_part(entry).ok_or(PromptError::Entry(index)))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(PromptChain { parts })
    }

    /// The last part that other requests share, which decides the home of the request; if there
    /// is only one part, that part. `None` for an empty chain.
    pub fn affinity_part(&self) -> Option<PromptPart> {
        let last = self.parts.len().checked_sub(1)?;
        Some(self.parts[last.saturating_sub(1)])
    }

    /// Number of tokens in the parts that other requests share: all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        total_tokens(&self.parts[..shared])
    }

    /// Number of tokens in the whole prompt.
    pub fn tokens(&self) -> u32 {
        total_tokens(&self.parts)
    }
}

/// Sum of the tokens. Callers announce them, so it may be too large for the type and saturates.
fn total_tokens(parts: &[PromptPart]) -> u32 {
    let tokens = parts.iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

fn parse_part(entry: &str) -> Option<PromptPart> {
    let (id, tokens) = entry.trim().split_once(':')?;
    Some(PromptPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}
