//! Time per token of a pool's engines, learned from responses.

use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens that an engine is assumed to read per millisecond until it is learned.
const DEFAULT_READ_TOKENS_PER_MS: f64 = 40.0;

/// Bounds of the learned rate in tokens per millisecond; a rate outside them comes from responses
/// that did not depend on the prompt.
const READ_TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 1.0..=1000.0;

/// Number of latest samples from which the rate is learned.
const MAX_SAMPLES: usize = 48;

/// Minimum number of samples.
const MIN_SAMPLES: usize = 12;

/// New samples after which the rate is computed again.
const SAMPLES_PER_UPDATE: usize = 4;

/// Minimum difference of tokens between two samples that are compared: below it, fixed times
/// dominate the difference of their durations.
const MIN_TOKEN_DIFFERENCE: f64 = 256.0;

/// Minimum number of compared pairs.
const MIN_PAIRS: usize = 12;

#[derive(Clone, Copy, Debug)]
struct Sample {
    tokens: f64,
    milliseconds: f64,
}

/// Rates of a pool's engines at their usual speed.
#[derive(Clone, Debug)]
pub struct EngineRates {
    read_tokens_per_ms: f64,
    fixed_ms: f64,
    is_learned: bool,
    samples: VecDeque<Sample>,
    samples_until_update: usize,
}

impl Default for EngineRates {
    fn default() -> Self {
        EngineRates {
            read_tokens_per_ms: DEFAULT_READ_TOKENS_PER_MS,
            fixed_ms: 0.0,
            is_learned: false,
            samples: VecDeque::new(),
            samples_until_update: MIN_SAMPLES,
        }
    }
}

impl EngineRates {
    /// Time that an engine of usual speed takes to read prompt tokens.
    pub fn reading_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.read_tokens_per_ms / 1000.0)
    }

    /// Time until the first event at an idle engine beyond that for reading the prompt.
    pub fn fixed_time(&self) -> Duration {
        Duration::from_secs_f64(self.fixed_ms / 1000.0)
    }

    /// Whether the times come from responses.
    pub fn is_learned(&self) -> bool {
        self.is_learned
    }

    /// Records the time to the first event of a request that found an idle back end, divided by
    /// the relative duration of work there.
    pub fn observe(&mut self, tokens: u32, first_event_after: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            tokens: f64::from(tokens),
            milliseconds: first_event_after.as_secs_f64() * 1000.0,
        });
        self.samples_until_update -= 1;
        if self.samples_until_update == 0 {
            self.samples_until_update = SAMPLES_PER_UPDATE;
            self.update();
        }
    }

    /// Fits a line through the samples by the median slope of their pairs: neither a few requests
    /// that waited nor a few whose prompt had been read already move it.
    fn update(&mut self) {
        let samples = self.samples.iter().enumerate();
        let slopes: Vec<f64> = samples
            .flat_map(|(index, one)| {
                let others = self.samples.iter().skip(index + 1);
                others.filter_map(|other| slope(one, other))
            })
            .collect();
        if slopes.len() < MIN_PAIRS {
            return;
        }
        let Some(slope) = median(slopes) else {
            return;
        };
        if slope <= 0.0 || !READ_TOKENS_PER_MS.contains(&(1.0 / slope)) {
            return;
        }
        self.read_tokens_per_ms = 1.0 / slope;
        self.is_learned = true;
        let rests = self.samples.iter();
        let rests = rests.map(|sample| sample.milliseconds - slope * sample.tokens);
        self.fixed_ms = median(rests.collect()).unwrap_or(0.0).max(0.0);
    }
}

/// Milliseconds per token between two samples.
fn slope(one: &Sample, other: &Sample) -> Option<f64> {
    let tokens = one.tokens - other.tokens;
    (tokens.abs() >= MIN_TOKEN_DIFFERENCE).then(|| (one.milliseconds - other.milliseconds) / tokens)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
