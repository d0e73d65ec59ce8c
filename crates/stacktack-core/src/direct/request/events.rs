//! Splits a `text/event-stream` at event boundaries.
//!
//! A stream may break off in the middle of an event. Only whole events are passed on, so that
//! another back end can continue the stream after the id of the last one.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event id that is kept, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Maximum size of a partial event that is buffered, in bytes.
const MAX_PARTIAL_EVENT_BYTES: usize = 64 * 1024;

/// Passes the whole events of a stream on and buffers the partial event at its end.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are whole now, byte for byte. When a
    /// partial event exceeds `MAX_PARTIAL_EVENT_BYTES`, all buffered bytes are returned.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial);
        let end = if end == 0 && self.partial.len() > MAX_PARTIAL_EVENT_BYTES {
            self.partial.len()
        } else {
            end
        };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Drops the partial event of a stream that broke off.
    pub fn discard(&mut self) {
        self.partial.clear();
    }

    /// Whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Id after which another back end continues the stream: that of the last whole event with an
    /// id. If the last id in the events that [`Self::push`] returns at once is empty, longer than
    /// `MAX_ID_BYTES` or not UTF-8, the id from before stays.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Index just after the last blank line, where the last whole event ends; 0 if there is none.
fn last_event_end(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while end >= 2 {
        let tail = &bytes[..end];
        if tail.ends_with(b"\n\n") || tail.ends_with(b"\n\r\n") {
            return end;
        }
        end = match bytes[..end - 1].iter().rposition(|byte| *byte == b'\n') {
            Some(position) => position + 1,
            None => return 0,
        };
    }
    0
}

fn last_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .map(|id| id.trim().to_owned())
        .filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES)
}
