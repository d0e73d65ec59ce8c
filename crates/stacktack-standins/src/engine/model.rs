//! The engine's scheduler: continuous batching in steps.
//!
//! One step gives each decoding sequence a token and spends a budget of prompt
//! tokens on those in prefill, higher priorities first. Its length is
//!
//! ```text
//! step_base + prefill_tokens * prefill_token + decoding_sequences * decode_sequence
//! ```

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;
use stacktack_core::time::Time;
use stacktack_wire::message::{Priority, Usage};
use thiserror::Error;

use super::cache::{
    block_chain, BlockHash, EventSettings, PrefixCache, BLOCK_TOKENS, BYTES_PER_TOKEN,
};
use crate::response::{attempt_number, response_seed, response_word, token_of};

/// Prompt tokens that one step may compute.
const PREFILL_BUDGET: usize = 512;

/// Cost model and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Fixed part of a step.
    pub step_base: Duration,
    /// Time for one prompt token.
    pub prefill_token: Duration,
    /// Time that each decoding sequence adds to a step.
    pub decode_sequence: Duration,
    /// Sequences that run at once; more wait.
    pub batch: usize,
    /// Sequences that may wait; more are refused.
    pub waiting: usize,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Publication of cache events.
    pub events: EventSettings,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Bytes a second at which KV cache is exported and imported.
    pub transfer_bytes_per_second: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            step_base: Duration::from_millis(4),
            prefill_token: Duration::from_micros(40),
            decode_sequence: Duration::from_micros(100),
            batch: 32,
            waiting: 64,
            cache_tokens: 200_000,
            events: EventSettings {
                delay: Duration::from_millis(300),
                lose_every: 97,
                kept: 10_000,
            },
            load_lag: Duration::from_millis(500),
            transfer_bytes_per_second: 10_000_000_000,
        }
    }
}

/// A request to the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the stream, unique per attempt.
    pub id: String,
    /// Tokens of the prompt.
    pub prompt: Vec<u64>,
    /// Tokens to generate.
    pub length: u32,
    /// Priority in the batch.
    pub priority: Priority,
}

/// The engine did not take a request; it certainly does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EngineRefusal {
    /// Too many requests wait.
    #[error("too many requests wait")]
    Full,
    /// A stream of this name exists.
    #[error("a stream of this name exists")]
    Duplicate,
}

/// What a step brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A sequence got a token.
    Token {
        /// Stream.
        id: String,
        /// Number of the token, from 0.
        index: u32,
        /// Its word, without the blank behind it.
        word: String,
    },
    /// A sequence is whole.
    Done {
        /// Stream.
        id: String,
        /// Token counts.
        usage: Usage,
    },
}

#[derive(Debug)]
struct Sequence {
    chain: Vec<BlockHash>,
    prompt: Vec<u64>,
    prompt_done: usize,
    cached: usize,
    length: u32,
    generated: u32,
    seed: u64,
    priority: Priority,
    order: u64,
}

/// State of a stream, for resumption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamState {
    /// Seed of its words.
    pub seed: u64,
    /// Tokens generated so far.
    pub generated: u32,
    /// Tokens it will have.
    pub length: u32,
    /// Token counts, once whole.
    pub usage: Option<Usage>,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// What independent observers read.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    /// Times that each stream name was run; more than one is a fault.
    pub runs: BTreeMap<String, u32>,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Prompt tokens of streams started.
    pub prompt_tokens: u64,
    /// Those that came from the cache.
    pub reused_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// KV tokens imported.
    pub imported_tokens: u64,
}

/// Load as the engine reports it, late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineLoad {
    /// Sequences that run.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// Tokens still to compute or generate.
    pub tokens: u64,
}

/// KV cache of a prompt's front, as exported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct KvExport {
    /// Blocks from the front.
    pub blocks: Vec<BlockHash>,
    /// Size in bytes.
    pub bytes: u64,
}

/// The engine without its server.
pub struct EngineModel {
    settings: EngineSettings,
    running: HashMap<String, Sequence>,
    waiting: Vec<(String, Sequence)>,
    streams: HashMap<String, StreamState>,
    cache: PrefixCache,
    step_end: Option<Time>,
    step_prefill: Vec<(String, usize)>,
    next_order: u64,
    loads: Vec<(Time, EngineLoad)>,
    observed: Observed,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        EngineModel {
            settings,
            running: HashMap::new(),
            waiting: Vec::new(),
            streams: HashMap::new(),
            cache: PrefixCache::new(settings.cache_tokens, settings.events),
            step_end: None,
            step_prefill: Vec::new(),
            next_order: 0,
            loads: Vec::new(),
            observed: Observed::default(),
        }
    }

    /// Takes a request in.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), EngineRefusal> {
        if self.streams.contains_key(&job.id) {
            return Err(EngineRefusal::Duplicate);
        }
        if self.waiting.len() >= self.settings.waiting {
            return Err(EngineRefusal::Full);
        }
        let seed = response_seed(&job.prompt, attempt_number(&job.id));
        self.streams.insert(
            job.id.clone(),
            StreamState {
                seed,
                generated: 0,
                length: job.length,
                usage: None,
                cancelled: false,
            },
        );
        *self.observed.runs.entry(job.id.clone()).or_insert(0) += 1;
        self.next_order += 1;
        let sequence = Sequence {
            chain: block_chain(&job.prompt),
            prompt: job.prompt,
            prompt_done: 0,
            cached: 0,
            length: job.length,
            generated: 0,
            seed,
            priority: job.priority,
            order: self.next_order,
        };
        self.waiting.push((job.id, sequence));
        if self.step_end.is_none() {
            self.begin_step(now);
        }
        self.note_load(now);
        Ok(())
    }

    /// Stops a stream; false when it is not under way.
    pub fn cancel(&mut self, now: Time, id: &str) -> bool {
        let was_running = self.running.remove(id).is_some();
        let waiting_before = self.waiting.len();
        self.waiting.retain(|(name, _)| name != id);
        let found = was_running || self.waiting.len() < waiting_before;
        if found {
            self.observed.cancelled += 1;
            if let Some(stream) = self.streams.get_mut(id) {
                stream.cancelled = true;
            }
            self.note_load(now);
        }
        found
    }

    /// State of a stream.
    pub fn stream(&self, id: &str) -> Option<&StreamState> {
        self.streams.get(id)
    }

    /// End of the step under way.
    pub fn step_end(&self) -> Option<Time> {
        self.step_end
    }

    /// Carries out all steps that end by `now`.
    pub fn advance(&mut self, now: Time) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while let Some(end) = self.step_end {
            if end > now {
                break;
            }
            self.finish_step(end, &mut events);
            self.begin_step(end);
            self.note_load(end);
        }
        events
    }

    /// What observers read.
    pub fn observed(&self) -> &Observed {
        &self.observed
    }

    /// Load as it was the reporting lag ago.
    pub fn reported_load(&self, now: Time) -> EngineLoad {
        let known = self
            .loads
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= self.settings.load_lag);
        known.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Load as it is, for observers.
    pub fn true_load(&self) -> EngineLoad {
        let remaining = |sequence: &Sequence| {
            let prompt = sequence.prompt.len() - sequence.prompt_done;
            prompt as u64 + u64::from(sequence.length - sequence.generated)
        };
        let running: u64 = self.running.values().map(remaining).sum();
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|(_, sequence)| remaining(sequence))
            .sum();
        EngineLoad {
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens: running + waiting,
        }
    }

    /// Cache events after a sequence number, as far as they are due.
    pub fn cache_events(&self, now: Time, after: u64) -> Vec<super::cache::CacheEvent> {
        self.cache.events_after(now, after)
    }

    /// Blocks held in the cache.
    pub fn cached_blocks(&self) -> usize {
        self.cache.blocks()
    }

    /// KV cache of the front of a prompt, with the time that the export takes.
    pub fn export(&mut self, prompt: &[u64]) -> (KvExport, Duration) {
        let chain = block_chain(prompt);
        let present = self.cache.present(&chain);
        let blocks = chain[..present].to_vec();
        let bytes = (present * BLOCK_TOKENS) as u64 * BYTES_PER_TOKEN;
        (KvExport { blocks, bytes }, self.transfer_time(bytes))
    }

    /// Takes exported KV cache in; returns the time that the import takes.
    pub fn import(&mut self, now: Time, export: &KvExport) -> Duration {
        self.cache.store(now, &export.blocks);
        self.observed.imported_tokens += (export.blocks.len() * BLOCK_TOKENS) as u64;
        self.transfer_time(export.bytes)
    }

    fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.settings.transfer_bytes_per_second as f64)
    }

    fn note_load(&mut self, now: Time) {
        let load = self.true_load();
        self.loads.push((now, load));
        let lag = self.settings.load_lag;
        let obsolete = self
            .loads
            .iter()
            .rposition(|(at, _)| now.since(*at) >= lag)
            .unwrap_or(0);
        self.loads.drain(..obsolete);
    }

    fn admit_waiting(&mut self) {
        self.waiting
            .sort_by_key(|(_, sequence)| (std::cmp::Reverse(sequence.priority), sequence.order));
        while self.running.len() < self.settings.batch && !self.waiting.is_empty() {
            let (id, mut sequence) = self.waiting.remove(0);
            let reused = self.cache.reuse(&sequence.chain);
            sequence.cached = reused.min(sequence.prompt.len().saturating_sub(1));
            sequence.prompt_done = sequence.cached;
            self.observed.prompt_tokens += sequence.prompt.len() as u64;
            self.observed.reused_tokens += sequence.cached as u64;
            self.running.insert(id, sequence);
        }
    }

    fn begin_step(&mut self, now: Time) {
        self.admit_waiting();
        self.step_prefill.clear();
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut in_prefill: Vec<(&String, &Sequence)> = self
            .running
            .iter()
            .filter(|(_, sequence)| sequence.prompt_done < sequence.prompt.len())
            .collect();
        in_prefill
            .sort_by_key(|(_, sequence)| (std::cmp::Reverse(sequence.priority), sequence.order));
        let decoding = self.running.len() - in_prefill.len();
        let mut budget = PREFILL_BUDGET;
        let mut computed = 0;
        for (id, sequence) in in_prefill {
            let tokens = budget.min(sequence.prompt.len() - sequence.prompt_done);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            computed += tokens;
            self.step_prefill.push((id.clone(), tokens));
        }
        let length = self.settings.step_base
            + self.settings.prefill_token * computed as u32
            + self.settings.decode_sequence * decoding as u32;
        self.step_end = Some(now + length);
    }

    fn finish_step(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        let mut ids: Vec<(u64, String)> = self
            .running
            .iter()
            .filter(|(_, sequence)| sequence.prompt_done >= sequence.prompt.len())
            .map(|(id, sequence)| (sequence.order, id.clone()))
            .collect();
        ids.sort_unstable();
        for (id, tokens) in std::mem::take(&mut self.step_prefill) {
            let Some(sequence) = self.running.get_mut(&id) else {
                continue;
            };
            sequence.prompt_done += tokens;
            if sequence.prompt_done >= sequence.prompt.len() {
                self.cache.store(now, &sequence.chain);
                ids.push((sequence.order, id));
            }
        }
        for (_, id) in ids {
            self.generate(now, id, events);
        }
    }

    fn generate(&mut self, now: Time, id: String, events: &mut Vec<EngineEvent>) {
        let Some(sequence) = self.running.get_mut(&id) else {
            return;
        };
        let index = sequence.generated;
        let word = response_word(sequence.seed, index);
        sequence.generated += 1;
        self.observed.generated_tokens += 1;
        let whole = sequence.generated >= sequence.length;
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.generated = sequence.generated;
        }
        events.push(EngineEvent::Token {
            id: id.clone(),
            index,
            word,
        });
        if whole {
            self.complete(now, id, events);
        }
    }

    fn complete(&mut self, now: Time, id: String, events: &mut Vec<EngineEvent>) {
        let Some(sequence) = self.running.remove(&id) else {
            return;
        };
        let usage = Usage {
            prompt_tokens: sequence.prompt.len() as u32,
            cached_tokens: sequence.cached as u32,
            completion_tokens: sequence.generated,
        };
        let mut tokens = sequence.prompt;
        tokens.push(token_of("assistant"));
        tokens.extend(
            (0..sequence.generated).map(|index| token_of(&response_word(sequence.seed, index))),
        );
        self.cache.store(now, &block_chain(&tokens));
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.usage = Some(usage);
        }
        events.push(EngineEvent::Done { id, usage });
    }
}
