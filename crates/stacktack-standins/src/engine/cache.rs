//! The engine's prefix cache: blocks of tokens in limited memory, the least
//! recently used dropped first, with events that come late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stacktack_core::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes of KV cache that one token takes; charged on transfers.
pub const BYTES_PER_TOKEN: u64 = 128 * 1024;

/// Hash of a block and all before it.
pub type BlockHash = u64;

/// Hashes of the whole blocks of a prompt, each over all tokens up to it.
pub fn block_chain(tokens: &[u64]) -> Vec<BlockHash> {
    let mut hash = 0;
    let mut chain = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    for block in tokens.chunks_exact(BLOCK_TOKENS) {
        for token in block {
            hash = xxh3_64_with_seed(&token.to_le_bytes(), hash);
        }
        chain.push(hash);
    }
    chain
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was dropped.
    Evicted,
}

/// An event as the engine publishes it. Sequence numbers rise by one; a reader
/// that misses one has a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// The block.
    pub block: BlockHash,
    /// What happened.
    pub change: CacheChange,
}

/// How events are published.
#[derive(Clone, Copy, Debug)]
pub struct EventSettings {
    /// Time between a change and its event.
    pub delay: Duration,
    /// Every how many events one is lost; 0 for none.
    pub lose_every: u64,
    /// Events kept for readers.
    pub kept: usize,
}

/// Blocks in limited memory.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_used: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
    settings: EventSettings,
    next_sequence: u64,
    events: VecDeque<(Time, CacheEvent)>,
}

impl PrefixCache {
    /// A cache for a number of tokens.
    pub fn new(capacity_tokens: usize, settings: EventSettings) -> Self {
        PrefixCache {
            capacity: capacity_tokens / BLOCK_TOKENS,
            last_used: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            settings,
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    /// Tokens at the front of a chain that are cached; touches them.
    pub fn reuse(&mut self, chain: &[BlockHash]) -> usize {
        let present = self.present(chain);
        for block in &chain[..present] {
            self.touch(*block);
        }
        present * BLOCK_TOKENS
    }

    /// Number of blocks at the front of a chain that are cached.
    pub fn present(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Stores the blocks of a chain.
    pub fn store(&mut self, now: Time, chain: &[BlockHash]) {
        for block in chain {
            let known = self.last_used.contains_key(block);
            self.touch(*block);
            if !known {
                self.publish(now, *block, CacheChange::Stored);
            }
        }
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
            self.publish(now, oldest, CacheChange::Evicted);
        }
    }

    /// Events after a sequence number that are due.
    pub fn events_after(&self, now: Time, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(due, event)| *due <= now && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }

    /// Number of blocks held.
    pub fn blocks(&self) -> usize {
        self.last_used.len()
    }

    fn touch(&mut self, block: BlockHash) {
        self.clock += 1;
        if let Some(old) = self.last_used.insert(block, self.clock) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, block);
    }

    fn publish(&mut self, now: Time, block: BlockHash, change: CacheChange) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let lost =
            self.settings.lose_every > 0 && sequence.is_multiple_of(self.settings.lose_every);
        if lost {
            return;
        }
        let event = CacheEvent {
            sequence,
            block,
            change,
        };
        self.events.push_back((now + self.settings.delay, event));
        while self.events.len() > self.settings.kept {
            self.events.pop_front();
        }
    }
}

/// Asks for the KV cache of a prompt's front.
#[derive(Clone, Debug, Deserialize)]
pub struct KvExportRequest {
    /// Model of the prompt.
    pub model: String,
    /// The prompt's messages.
    pub messages: Vec<crate::response::ChatMessage>,
}
