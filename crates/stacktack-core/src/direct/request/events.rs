//! Whole events of a stream (`text/event-stream`).
//!
//! A back end may stop partway through an event. So that another can continue
//! the stream, only whole events are passed on; the id of the last one says
//! where to continue.

use bytes::{Bytes, BytesMut};

/// Longest id that is kept, in bytes.
const MAXIMUM_ID: usize = 64;

/// Largest unfinished event that is held, in bytes.
const MAXIMUM_EVENT: usize = 64 * 1024;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes of the stream; returns the whole events that are complete
    /// now, byte for byte. An event over the size that is held passes unsplit.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.held.extend_from_slice(bytes);
        let end = last_event_end(&self.held);
        let end = if end == 0 && self.held.len() > MAXIMUM_EVENT {
            self.held.len()
        } else {
            end
        };
        let whole = self.held.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Drops the unfinished event: its stream broke off.
    pub fn discard(&mut self) {
        self.held.clear();
    }

    /// Whether an unfinished event is held.
    pub fn has_partial_event(&self) -> bool {
        !self.held.is_empty()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// End of the last whole event: just behind the last blank line.
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
        .filter(|id| !id.is_empty() && id.len() <= MAXIMUM_ID)
}
