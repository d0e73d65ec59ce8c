//! Estimates of token counts of requests.

use bytes::Bytes;

/// Average number of bytes of a request body per prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Expected decode tokens of a request for which the caller sets no limit.
pub const DEFAULT_DECODE_TOKENS: u32 = 256;

/// Estimates the tokens of a prompt from the length of the request body.
pub fn estimate_prompt_tokens(body: &Bytes) -> u32 {
    (body.len() / BYTES_PER_TOKEN) as u32
}
