//! Prompts of sound and of fatal requests in the simulation.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::choice::prompt::{PromptChain, PromptPart};
use stacktack_core::direct::quarantine::suspects::{suspect_parts, CallerHash, Suspects};

use crate::simulation::digest;

/// Part that most sound requests begin with.
const COMMON_PART: u64 = 1;

/// Fatal parts.
pub const FATAL_PARTS: [u64; 2] = [11, 12];

/// Part that only fatal requests have at first.
const NEW_PART: u64 = 21;

/// First of the parts that many sound requests share.
const FIRST_SUBJECT: u64 = 1000;

/// First of the parts that two sound requests each have.
const FIRST_RARE_PART: u64 = 1_000_000;

/// Prompts of requests in a simulation with prompt parts.
#[derive(Clone, Copy, Debug)]
pub struct Prompts {
    /// Prompts of the fatal requests.
    pub fatal: FatalPrompt,
    /// Number of parts that many sound requests share.
    pub subjects: u64,
    /// Share of sound requests that have a part which only one other request has.
    pub rare_share: f64,
    /// Number of callers that send fatal requests.
    pub fatal_callers: u64,
}

/// Prompts of fatal requests, which are new each time but for the parts named here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FatalPrompt {
    /// The common part, then the fatal one.
    AfterCommon,
    /// A subject, then the fatal part.
    AfterSubject,
    /// The fatal part, then a subject.
    First,
    /// One of two fatal parts, after the common one.
    TwoParts,
    /// A part that sound requests have only later, then the fatal one.
    AfterNew,
}

/// What a request consists of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Content {
    /// Number that distinguishes requests.
    pub request: u64,
    /// Shared parts of the prompt.
    pub parts: Vec<u64>,
    /// Number of the caller.
    pub caller: u64,
}

impl Content {
    /// Index of the first fatal part that the request has.
    pub fn fatal_part(&self) -> Option<usize> {
        FATAL_PARTS
            .iter()
            .position(|part| self.parts.contains(part))
    }

    /// Kind of a sound request: 0 with a subject, 1 with a rare part, 2 with the part that only fatal
    /// requests had at first.
    pub fn neighbour_kind(&self) -> usize {
        match &self.parts[..] {
            [NEW_PART, ..] => 2,
            [_, part] if *part >= FIRST_RARE_PART => 1,
            _ => 0,
        }
    }

    pub fn suspects(&self) -> Suspects {
        let mut parts: Vec<PromptPart> = Vec::new();
        for id in self.parts.iter().chain([&0]) {
            parts.push(PromptPart {
                id: *id,
                tokens: 100,
            });
        }
        Suspects {
            request: Some(digest(self.request)),
            parts: suspect_parts(&PromptChain { parts }, "m"),
            caller: CallerHash::of(&self.caller.to_string()),
        }
    }
}

impl Prompts {
    /// Shared parts of sound request `number`.
    pub fn draw_sound(&self, number: u64, may_use_new: bool, random: &mut ChaCha8Rng) -> Vec<u64> {
        if random.random_bool(self.rare_share) {
            return vec![COMMON_PART, FIRST_RARE_PART + number / 20];
        }
        let subject = self.draw_subject(random);
        let uses_new =
            self.fatal == FatalPrompt::AfterNew && may_use_new && random.random_bool(0.1);
        let first = if uses_new { NEW_PART } else { COMMON_PART };
        vec![first, subject]
    }

    /// Shared parts of a fatal request.
    pub fn draw_fatal(&self, random: &mut ChaCha8Rng) -> Vec<u64> {
        let subject = self.draw_subject(random);
        let [first_fatal, second_fatal] = FATAL_PARTS;
        match self.fatal {
            FatalPrompt::AfterCommon => vec![COMMON_PART, first_fatal],
            FatalPrompt::AfterSubject => vec![subject, first_fatal],
            FatalPrompt::First => vec![first_fatal, subject],
            FatalPrompt::TwoParts if random.random_bool(0.5) => vec![COMMON_PART, second_fatal],
            FatalPrompt::TwoParts => vec![COMMON_PART, first_fatal],
            FatalPrompt::AfterNew => vec![NEW_PART, first_fatal],
        }
    }

    fn draw_subject(&self, random: &mut ChaCha8Rng) -> u64 {
        FIRST_SUBJECT + random.random_range(0..self.subjects)
    }
}
