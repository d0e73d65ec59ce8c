//! Engines that read one prompt after another, and the load bound as they see it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::choice::prompt::PromptChain;
use tokio::time::Instant;

use crate::judged::Judged;

/// Prompt tokens that an engine reads in a second.
const READ_RATE: f64 = 22_000.0;

/// Durations of work at engines as multiples of the usual one, in turn.
const SLOWNESS: [f64; 3] = [1.0, 1.0, 1.3];

/// Time for which an engine is either slowed or not, the share of the times in which it is, and by
/// how much.
const SLOWED_TIME: Duration = Duration::from_millis(600);
const SLOWED_SHARE: f64 = 0.15;
const SLOWED_BY: f64 = 2.5;

#[derive(Default)]
struct Engine {
    number: u64,
    /// Requests from all routers.
    held: u32,
    /// Requests among these without a first event.
    unread: u32,
    free_at: Option<Instant>,
    parts: HashSet<u64>,
}

impl Engine {
    fn new(number: u64) -> Self {
        Engine {
            number,
            ..Engine::default()
        }
    }

    /// Duration of work as a multiple of the usual one, some time after the start.
    fn slowness(&self, elapsed: Duration) -> f64 {
        let turn = elapsed.as_millis() / SLOWED_TIME.as_millis();
        let draw: f64 = ChaCha8Rng::seed_from_u64(turn as u64 * 1000 + self.number).random();
        let usual = SLOWNESS[self.number as usize % SLOWNESS.len()];
        if draw < SLOWED_SHARE {
            usual * SLOWED_BY
        } else {
            usual
        }
    }
}

/// What a request takes at a back end.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub first_event: Instant,
    /// Time from the first event to the end.
    pub writing: Duration,
}

/// Load that a back end tells in a response.
#[derive(Clone, Copy, Debug)]
pub struct ToldLoad {
    pub held: u32,
    pub unread: u32,
}

/// Back ends by id.
pub struct BackEndWorld {
    engines: HashMap<String, Engine>,
    started: Instant,
    /// Requests from this time on are judged.
    judged_from: Instant,
    pub judged: Judged,
}

impl BackEndWorld {
    pub fn new(ids: &[String], judged_from: Instant) -> Self {
        BackEndWorld {
            engines: (0..)
                .zip(ids)
                .map(|(number, id)| (id.clone(), Engine::new(number)))
                .collect(),
            started: Instant::now(),
            judged_from,
            judged: Judged::default(),
        }
    }

    fn engine(&mut self, id: &str) -> &mut Engine {
        self.engines.get_mut(id).expect("a back end")
    }

    fn mean_held(&self) -> f64 {
        let held: u32 = self.engines.values().map(|engine| engine.held).sum();
        f64::from(held) / self.engines.len() as f64
    }

    /// A request arrives.
    pub fn accept(&mut self, id: &str, prompt: &PromptChain, writing: Duration) -> Service {
        let now = Instant::now();
        let (held, mean) = (self.engine(id).held, self.mean_held());
        if now >= self.judged_from {
            self.judged.record(held, mean, now);
        }
        let elapsed = self.started.elapsed();
        let engine = self.engine(id);
        engine.held += 1;
        engine.unread += 1;
        let unread = prompt
            .parts
            .iter()
            .filter(|part| engine.parts.insert(part.id));
        let tokens: u32 = unread.map(|part| part.tokens).sum();
        let reading =
            Duration::from_secs_f64(f64::from(tokens) / READ_RATE * engine.slowness(elapsed));
        let begins = engine.free_at.map_or(now, |free_at| free_at.max(now));
        engine.free_at = Some(begins + reading);
        Service {
            first_event: begins + reading,
            writing,
        }
    }

    /// The first event of a request is sent.
    pub fn on_first_event(&mut self, id: &str) -> ToldLoad {
        let engine = self.engine(id);
        engine.unread -= 1;
        ToldLoad {
            held: engine.held,
            unread: engine.unread,
        }
    }

    pub fn on_end(&mut self, id: &str) {
        self.engine(id).held -= 1;
    }
}
