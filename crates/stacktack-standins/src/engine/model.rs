//! Scheduler of the engine: continuous batching in steps.
//!
//! One step generates a token for each decoding sequence and spends a budget of prompt tokens on
//! the sequences in prefill, higher priorities first. Its duration is
//!
//! ```text
//! step_base + prefill_tokens * prefill_per_token + decoding_sequences * decode_per_sequence
//! ```

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;
use stacktack_core::time::Time;
use stacktack_wire::message::{Priority, Usage};
use thiserror::Error;

use super::cache::{
    prefix_block_hashes, BlockHash, EventSettings, PrefixCache, BLOCK_TOKENS, BYTES_PER_TOKEN,
};
use crate::response::{attempt_number, response_seed, response_word, word_token};

/// Prompt tokens that one step computes at most.
const MAX_PREFILL_TOKENS_PER_STEP: usize = 512;

/// Cost model and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Fixed part of the duration of a step.
    pub step_base: Duration,
    /// Time that each prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Time that each decoding sequence adds to a step.
    pub decode_per_sequence: Duration,
    /// Largest number of sequences that run at once; further sequences wait.
    pub max_batch: usize,
    /// Largest number of sequences that wait; further requests are rejected.
    pub max_waiting: usize,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Settings for the publication of cache events.
    pub events: EventSettings,
    /// Age of the load in a load report.
    pub load_lag: Duration,
    /// Rate at which KV cache is exported and imported, in bytes per second.
    pub transfer_bytes_per_second: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            step_base: Duration::from_millis(4),
            prefill_per_token: Duration::from_micros(40),
            decode_per_sequence: Duration::from_micros(100),
            max_batch: 32,
            max_waiting: 64,
            cache_tokens: 200_000,
            events: EventSettings {
                delay: Duration::from_millis(300),
                lose_every: 97,
                max_retained: 10_000,
            },
            load_lag: Duration::from_millis(500),
            transfer_bytes_per_second: 10_000_000_000,
        }
    }
}

/// A generation request to the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the stream, unique per attempt.
    pub id: String,
    /// Tokens of the prompt.
    pub prompt: Vec<u64>,
    /// Number of tokens to generate.
    pub length: u32,
    /// Priority in the queue and in prefill.
    pub priority: Priority,
}

/// The engine rejected a request, which certainly does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The limit of waiting requests is reached.
    #[error("too many requests wait")]
    QueueFull,
    /// The engine has or had a stream of the same name.
    #[error("a stream of this name exists")]
    DuplicateStream,
}

/// Result of a step for one sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// Name of the stream.
        id: String,
        /// Index of the token, from 0.
        index: u32,
        /// Word of the token, without the space that follows it.
        word: String,
    },
    /// A sequence is complete.
    Done {
        /// Name of the stream.
        id: String,
        /// Token counts of the sequence.
        usage: Usage,
    },
}

#[derive(Debug)]
struct Sequence {
    block_hashes: Vec<BlockHash>,
    prompt: Vec<u64>,
    prefilled_tokens: usize,
    cached_tokens: usize,
    length: u32,
    generated: u32,
    seed: u64,
    priority: Priority,
    arrival: u64,
}

/// State of a stream, from which it can be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamState {
    /// Seed of the words of the response.
    pub seed: u64,
    /// Number of tokens generated so far.
    pub generated: u32,
    /// Number of tokens of the complete stream.
    pub length: u32,
    /// Token counts, once the stream is complete.
    pub usage: Option<Usage>,
    /// Whether the stream was cancelled.
    pub cancelled: bool,
}

/// Counts of what the engine really ran, for checks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    /// Number of runs by stream name; more than one is a fault.
    pub runs: BTreeMap<String, u32>,
    /// Number of cancelled streams.
    pub cancelled: u64,
    /// Prompt tokens of the sequences that started to run.
    pub prompt_tokens: u64,
    /// Those of `prompt_tokens` that were reused from the cache.
    pub reused_tokens: u64,
    /// Number of tokens generated.
    pub generated_tokens: u64,
    /// Tokens of imported KV cache.
    pub imported_tokens: u64,
}

/// Load of the engine, as in its load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineLoad {
    /// Number of running sequences.
    pub running: usize,
    /// Number of waiting sequences.
    pub waiting: usize,
    /// Prompt tokens still to compute and tokens still to generate.
    pub tokens: u64,
}

/// Exported KV cache of the cached prefix of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct KvExport {
    /// Blocks of the prefix, from its start.
    pub blocks: Vec<BlockHash>,
    /// Size of the KV cache in bytes.
    pub bytes: u64,
}

/// The engine without its HTTP server.
pub struct EngineModel {
    settings: EngineSettings,
    running: HashMap<String, Sequence>,
    waiting: Vec<(String, Sequence)>,
    streams: HashMap<String, StreamState>,
    cache: PrefixCache,
    step_end: Option<Time>,
    step_prefill: Vec<(String, usize)>,
    last_arrival: u64,
    load_history: Vec<(Time, EngineLoad)>,
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
            last_arrival: 0,
            load_history: Vec::new(),
            observed: Observed::default(),
        }
    }

    /// Queues a request, and begins a step if none runs.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), SubmitError> {
        if self.streams.contains_key(&job.id) {
            return Err(SubmitError::DuplicateStream);
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return Err(SubmitError::QueueFull);
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
        self.last_arrival += 1;
        let sequence = Sequence {
            block_hashes: prefix_block_hashes(&job.prompt),
            prompt: job.prompt,
            prefilled_tokens: 0,
            cached_tokens: 0,
            length: job.length,
            generated: 0,
            seed,
            priority: job.priority,
            arrival: self.last_arrival,
        };
        self.waiting.push((job.id, sequence));
        if self.step_end.is_none() {
            self.begin_step(now);
        }
        self.record_load(now);
        Ok(())
    }

    /// Cancels a stream; returns false if it neither runs nor waits.
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
            self.record_load(now);
        }
        found
    }

    /// State of a stream, also after its end.
    pub fn stream(&self, id: &str) -> Option<&StreamState> {
        self.streams.get(id)
    }

    /// End of the current step; none if no step runs.
    pub fn step_end(&self) -> Option<Time> {
        self.step_end
    }

    /// Finishes all steps that end by `now` and returns their results.
    pub fn advance(&mut self, now: Time) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while let Some(end) = self.step_end {
            if end > now {
                break;
            }
            self.finish_step(end, &mut events);
            self.begin_step(end);
            self.record_load(end);
        }
        events
    }

    /// Counts of what the engine really ran.
    pub fn observed(&self) -> &Observed {
        &self.observed
    }

    /// Load as it was `load_lag` ago.
    pub fn reported_load(&self, now: Time) -> EngineLoad {
        let reported = self
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= self.settings.load_lag);
        reported.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Load at present, for checks.
    pub fn current_load(&self) -> EngineLoad {
        let remaining = |sequence: &Sequence| {
            let prompt = sequence.prompt.len() - sequence.prefilled_tokens;
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

    /// Published cache events with a sequence number above `after`.
    pub fn cache_events(&self, now: Time, after: u64) -> Vec<super::cache::CacheEvent> {
        self.cache.events_after(now, after)
    }

    /// Number of blocks in the prefix cache.
    pub fn cached_block_count(&self) -> usize {
        self.cache.block_count()
    }

    /// KV cache of the cached prefix of a prompt, with the time that the export takes.
    pub fn export(&mut self, prompt: &[u64]) -> (KvExport, Duration) {
        let block_hashes = prefix_block_hashes(prompt);
        let cached = self.cache.cached_prefix_blocks(&block_hashes);
        let blocks = block_hashes[..cached].to_vec();
        let bytes = (cached * BLOCK_TOKENS) as u64 * BYTES_PER_TOKEN;
        (KvExport { blocks, bytes }, self.transfer_time(bytes))
    }

    /// Stores exported KV cache; returns the time that the import takes.
    pub fn import(&mut self, now: Time, export: &KvExport) -> Duration {
        self.cache.store(now, &export.blocks);
        self.observed.imported_tokens += (export.blocks.len() * BLOCK_TOKENS) as u64;
        self.transfer_time(export.bytes)
    }

    fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.settings.transfer_bytes_per_second as f64)
    }

    fn record_load(&mut self, now: Time) {
        let load = self.current_load();
        self.load_history.push((now, load));
        let lag = self.settings.load_lag;
        let first_needed = self
            .load_history
            .iter()
            .rposition(|(at, _)| now.since(*at) >= lag)
            .unwrap_or(0);
        self.load_history.drain(..first_needed);
    }

    fn admit_waiting(&mut self) {
        self.waiting
            .sort_by_key(|(_, sequence)| (std::cmp::Reverse(sequence.priority), sequence.arrival));
        while self.running.len() < self.settings.max_batch && !self.waiting.is_empty() {
            let (id, mut sequence) = self.waiting.remove(0);
            let reused = self.cache.reuse_prefix(&sequence.block_hashes);
            sequence.cached_tokens = reused.min(sequence.prompt.len().saturating_sub(1));
            sequence.prefilled_tokens = sequence.cached_tokens;
            self.observed.prompt_tokens += sequence.prompt.len() as u64;
            self.observed.reused_tokens += sequence.cached_tokens as u64;
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
            .filter(|(_, sequence)| sequence.prefilled_tokens < sequence.prompt.len())
            .collect();
        in_prefill
            .sort_by_key(|(_, sequence)| (std::cmp::Reverse(sequence.priority), sequence.arrival));
        let decoding = self.running.len() - in_prefill.len();
        let mut budget = MAX_PREFILL_TOKENS_PER_STEP;
        let mut computed = 0;
        for (id, sequence) in in_prefill {
            let tokens = budget.min(sequence.prompt.len() - sequence.prefilled_tokens);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            computed += tokens;
            self.step_prefill.push((id.clone(), tokens));
        }
        let duration = self.settings.step_base
            + self.settings.prefill_per_token * computed as u32
            + self.settings.decode_per_sequence * decoding as u32;
        self.step_end = Some(now + duration);
    }

    fn finish_step(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        let mut ids: Vec<(u64, String)> = self
            .running
            .iter()
            .filter(|(_, sequence)| sequence.prefilled_tokens >= sequence.prompt.len())
            .map(|(id, sequence)| (sequence.arrival, id.clone()))
            .collect();
        ids.sort_unstable();
        for (id, tokens) in std::mem::take(&mut self.step_prefill) {
            let Some(sequence) = self.running.get_mut(&id) else {
                continue;
            };
            sequence.prefilled_tokens += tokens;
            if sequence.prefilled_tokens >= sequence.prompt.len() {
                self.cache.store(now, &sequence.block_hashes);
                ids.push((sequence.arrival, id));
            }
        }
        for (_, id) in ids {
            self.generate_token(now, id, events);
        }
    }

    fn generate_token(&mut self, now: Time, id: String, events: &mut Vec<EngineEvent>) {
        let Some(sequence) = self.running.get_mut(&id) else {
            return;
        };
        let index = sequence.generated;
        let word = response_word(sequence.seed, index);
        sequence.generated += 1;
        self.observed.generated_tokens += 1;
        let is_complete = sequence.generated >= sequence.length;
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.generated = sequence.generated;
        }
        events.push(EngineEvent::Token {
            id: id.clone(),
            index,
            word,
        });
        if is_complete {
            self.complete_sequence(now, id, events);
        }
    }

    fn complete_sequence(&mut self, now: Time, id: String, events: &mut Vec<EngineEvent>) {
        let Some(sequence) = self.running.remove(&id) else {
            return;
        };
        let usage = Usage {
            prompt_tokens: sequence.prompt.len() as u32,
            cached_tokens: sequence.cached_tokens as u32,
            completion_tokens: sequence.generated,
        };
        let mut tokens = sequence.prompt;
        tokens.push(word_token("assistant"));
        tokens.extend(
            (0..sequence.generated).map(|index| word_token(&response_word(sequence.seed, index))),
        );
        self.cache.store(now, &prefix_block_hashes(&tokens));
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.usage = Some(usage);
        }
        events.push(EngineEvent::Done { id, usage });
    }
}
