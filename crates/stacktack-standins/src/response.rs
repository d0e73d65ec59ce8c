//! Responses that are derived from their requests, so that a caller can check each byte of the
//! response that it received.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens of a response whose request sets no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// The fields of a chat completion request that the stand-in reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model or adapter.
    pub model: String,
    /// Messages of the chat so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl ChatRequest {
    /// Tokens of the prompt: one for the model, then for each message one for its role and one for
    /// each word.
    pub fn prompt_tokens(&self) -> Vec<u64> {
        let mut tokens = vec![xxh3_64(self.model.as_bytes())];
        for message in &self.messages {
            tokens.push(xxh3_64(message.role.as_bytes()));
            tokens.extend(message.content.split_whitespace().map(word_token));
        }
        tokens
    }

    /// Number of tokens that the response has, at least 1.
    pub fn response_length(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// Token that stands for a word.
pub fn word_token(word: &str) -> u64 {
    xxh3_64(word.as_bytes())
}

/// Seed of all words of the response to a prompt. Each attempt of a request gets a different
/// response, so that a mixture of two responses is never mistaken for one response.
pub fn response_seed(prompt: &[u64], attempt: u16) -> u64 {
    prompt.iter().fold(u64::from(attempt), |seed, token| {
        xxh3_64_with_seed(&token.to_le_bytes(), seed)
    })
}

/// Number of the attempt in the name `{request}-{number}` of a stream; 0 for other names.
pub fn attempt_number(name: &str) -> u16 {
    let number = name.rsplit_once('-').map(|(_, number)| number);
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Word number `index` of the response, without the space that follows it.
pub fn response_word(seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:04x}", hash as u16)
}

/// Text of the complete response: its words, each followed by a space.
pub fn response_text(seed: u64, length: u32) -> String {
    (0..length)
        .map(|index| response_word(seed, index) + " ")
        .collect()
}

/// Body of the response of the service stand-in to a call.
pub fn service_response(method: &str, path: &str, body: &[u8]) -> String {
    let hash = xxh3_64(body);
    format!("{method} {path} {hash:016x}\n")
}
