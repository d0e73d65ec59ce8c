//! Answers that are derived from their requests, so that a caller can check
//! each byte of what it got.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens of an answer when the request sets no bound.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// The parts of a chat completion request that the stand-in reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model or adapter.
    pub model: String,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the reply is a stream.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who wrote it.
    pub role: String,
    /// Its text.
    pub content: String,
}

impl ChatRequest {
    /// Tokens of the prompt: each word of each message, a mark for each role.
    pub fn prompt_tokens(&self) -> Vec<u64> {
        let mut tokens = vec![xxh3_64(self.model.as_bytes())];
        for message in &self.messages {
            tokens.push(xxh3_64(message.role.as_bytes()));
            tokens.extend(message.content.split_whitespace().map(token_of));
        }
        tokens
    }

    /// Number of tokens that the answer has.
    pub fn response_length(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// Token of a word.
pub fn token_of(word: &str) -> u64 {
    xxh3_64(word.as_bytes())
}

/// Seed from which all words of the answer to a prompt follow. Each attempt of
/// a request samples another answer, so that parts of two are never taken for
/// one.
pub fn response_seed(prompt: &[u64], attempt: u16) -> u64 {
    prompt.iter().fold(u64::from(attempt), |seed, token| {
        xxh3_64_with_seed(&token.to_le_bytes(), seed)
    })
}

/// Number of the attempt in a stream's name `{request}-{number}`; 0 for other
/// names.
pub fn attempt_number(name: &str) -> u16 {
    let number = name.rsplit_once('-').map(|(_, number)| number);
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Word number `index` of the answer, without the blank behind it.
pub fn response_word(seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:04x}", hash as u16)
}

/// The whole answer's text: its words, each with a blank behind it.
pub fn response_text(seed: u64, length: u32) -> String {
    (0..length)
        .map(|index| response_word(seed, index) + " ")
        .collect()
}

/// Text that the service stand-in answers to a call.
pub fn service_response(method: &str, path: &str, body: &[u8]) -> String {
    let hash = xxh3_64(body);
    format!("{method} {path} {hash:016x}\n")
}
