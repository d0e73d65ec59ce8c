//! Estimate of how much of each chat's prompt the back end has cached.
//!
//! The estimate comes from the token counts that the engine reports with each
//! response. It is only a hint, because the engine may evict cached tokens.

use std::collections::{HashMap, VecDeque};

use stacktack_wire::identity::ChatId;

/// Maximum number of chats that one agent remembers.
const MAX_CHATS: usize = 50_000;

/// Cached prompt tokens by chat. Chats that were recorded first are dropped
/// first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    tokens: HashMap<ChatId, u32>,
    order: VecDeque<ChatId>,
}

impl PrefixIndex {
    /// Estimated number of cached tokens of a chat; 0 if nothing is known.
    pub fn cached_tokens(&self, chat: Option<ChatId>) -> u32 {
        chat.and_then(|chat| self.tokens.get(&chat).copied())
            .unwrap_or(0)
    }

    /// Records the number of tokens that the back end has cached for a chat.
    pub fn record(&mut self, chat: ChatId, tokens: u32) {
        if self.tokens.insert(chat, tokens).is_none() {
            self.order.push_back(chat);
        }
        while self.tokens.len() > MAX_CHATS {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.tokens.remove(&oldest);
        }
    }

    /// Forgets all chats, for an engine that restarted or whose cache events
    /// have a gap.
    pub fn clear(&mut self) {
        self.tokens.clear();
        self.order.clear();
    }

    /// Number of known chats.
    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Whether no chat is known.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }
}
