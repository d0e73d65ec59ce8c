//! What the configuration says about the engines of a pool.

use serde::{Deserialize, Serialize};

use crate::configuration::selector::Requirement;

/// Cache tokens for each slot below which prompts limit an engine. With less, a few thousand
/// tokens for each request, an engine whose slots are free may have no room for another prompt, so
/// that the number of its requests does not show its load.
const MAX_PROMPT_BOUND_TOKENS_PER_SLOT: u32 = 5_000;

/// Engines of a pool, as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePool {
    /// Label selector of the pool.
    pub back_ends: Vec<Requirement>,
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens that one engine keeps, of running requests and of cached prompts.
    pub cache_tokens: u32,
}

impl EnginePool {
    /// Whether prompts rather than slots limit an engine.
    pub fn is_prompt_bound(&self) -> bool {
        self.slots > 0 && self.cache_tokens < MAX_PROMPT_BOUND_TOKENS_PER_SLOT * self.slots
    }

    /// The engines of the pool with this selector, if prompts limit them.
    pub fn prompt_bound<'a>(
        engine_pools: &'a [EnginePool],
        back_ends: &[Requirement],
    ) -> Option<&'a EnginePool> {
        engine_pools
            .iter()
            .find(|pool| pool.back_ends == back_ends && pool.is_prompt_bound())
    }
}
