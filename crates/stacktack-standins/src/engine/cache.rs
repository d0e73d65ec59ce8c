//! Prefix cache of the engine: blocks of tokens in limited memory with LRU eviction, and cache
//! events that are published with a delay and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stacktack_core::time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes of KV cache per token, which determine how long a transfer takes.
pub const BYTES_PER_TOKEN: u64 = 128 * 1024;

/// Hash of a block and of all blocks before it.
pub type BlockHash = u64;

/// Hashes of the full blocks of a prompt, each over all tokens up to the end of its block. Tokens
/// after the last full block are left out.
pub fn prefix_block_hashes(tokens: &[u64]) -> Vec<BlockHash> {
    let mut hash = 0;
    let mut hashes = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    for block in tokens.chunks_exact(BLOCK_TOKENS) {
        for token in block {
            hash = xxh3_64_with_seed(&token.to_le_bytes(), hash);
        }
        hashes.push(hash);
    }
    hashes
}

/// Change of a block in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// An event as the engine publishes it. Sequence numbers increase by one, so that a reader sees a
/// gap where it missed an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Block that changed.
    pub block: BlockHash,
    /// Change of the block.
    pub change: CacheChange,
}

/// Settings for the publication of cache events.
#[derive(Clone, Copy, Debug)]
pub struct EventSettings {
    /// Time between a change and its event.
    pub delay: Duration,
    /// Every `lose_every`-th event is lost; 0 loses none.
    pub lose_every: u64,
    /// Largest number of events retained for readers.
    pub max_retained: usize,
}

/// A cache of blocks with a limited capacity and LRU eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    last_used: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_counter: u64,
    settings: EventSettings,
    next_sequence: u64,
    events: VecDeque<(Time, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache for `capacity_tokens` tokens, rounded down to full blocks.
    pub fn new(capacity_tokens: usize, settings: EventSettings) -> Self {
        PrefixCache {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
            settings,
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    /// Number of tokens in the cached prefix of a prompt; marks its blocks as recently used.
    pub fn reuse_prefix(&mut self, block_hashes: &[BlockHash]) -> usize {
        let cached = self.cached_prefix_blocks(block_hashes);
        for block in &block_hashes[..cached] {
            self.touch(*block);
        }
        cached * BLOCK_TOKENS
    }

    /// Number of blocks in the cached prefix of a prompt.
    pub fn cached_prefix_blocks(&self, block_hashes: &[BlockHash]) -> usize {
        block_hashes
            .iter()
            .take_while(|block| self.last_used.contains_key(block))
            .count()
    }

    /// Stores the blocks of a prompt and evicts the least recently used blocks above the capacity.
    pub fn store(&mut self, now: Time, block_hashes: &[BlockHash]) {
        for block in block_hashes {
            let was_cached = self.last_used.contains_key(block);
            self.touch(*block);
            if !was_cached {
                self.publish(now, *block, CacheChange::Stored);
            }
        }
        while self.last_used.len() > self.capacity_blocks {
            let Some((_, evicted)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&evicted);
            self.publish(now, evicted, CacheChange::Evicted);
        }
    }

    /// Published events with a sequence number above `sequence`.
    pub fn events_after(&self, now: Time, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(due, event)| *due <= now && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }

    /// Number of blocks in the cache.
    pub fn block_count(&self) -> usize {
        self.last_used.len()
    }

    fn touch(&mut self, block: BlockHash) {
        self.use_counter += 1;
        if let Some(previous_use) = self.last_used.insert(block, self.use_counter) {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_counter, block);
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
        while self.events.len() > self.settings.max_retained {
            self.events.pop_front();
        }
    }
}

/// Body of a request to export the KV cache of a prompt's cached prefix.
#[derive(Clone, Debug, Deserialize)]
pub struct KvExportRequest {
    /// Model that the prompt is for.
    pub model: String,
    /// Messages of the prompt.
    pub messages: Vec<crate::response::ChatMessage>,
}
