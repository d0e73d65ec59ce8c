//! Splits an engine's event stream into events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use stacktack_wire::message::Usage;

/// Separator between events.
const EVENT_SEPARATOR: &[u8] = b"\n\n";

/// Start of the last event of a stream.
const DONE_PREFIX: &[u8] = b"data: [DONE]";

/// JSON key of token counts; only events that contain it are parsed.
const USAGE_KEY: &[u8] = b"\"usage\"";

/// Assembles chunks of bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no separator begins.
    searched: usize,
    /// Whether the final `[DONE]` event was received.
    pub done: bool,
    /// Token counts, from the latest event that had them.
    pub usage: Option<Usage>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, without the
    /// final `[DONE]`.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find(&self.buffer[self.searched..], EVENT_SEPARATOR) {
            let length = self.searched + end + EVENT_SEPARATOR.len();
            let event = self.buffer.split_to(length).freeze();
            self.searched = 0;
            if event.starts_with(DONE_PREFIX) {
                self.done = true;
                continue;
            }
            if find(&event, USAGE_KEY).is_some() {
                self.usage = parse_event_usage(&event).or(self.usage);
            }
            events.push(event);
        }
        self.searched = (self.buffer.len() + 1).saturating_sub(EVENT_SEPARATOR.len());
        events
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

#[derive(Deserialize)]
struct UsageBody {
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct EngineUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

fn parse_event_usage(event: &[u8]) -> Option<Usage> {
    let start = find(event, b"data: ")? + b"data: ".len();
    parse_usage(&event[start..])
}

/// Parses the token counts in a JSON body of an engine; returns none if there are
/// none.
pub fn parse_usage(body: &[u8]) -> Option<Usage> {
    let body: UsageBody = serde_json::from_slice(body).ok()?;
    let usage = body.usage?;
    Some(Usage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.prompt_tokens_details.cached_tokens,
        completion_tokens: usage.completion_tokens,
    })
}
