//! Finds the boundaries of events in a `text/event-stream`, and splits a stream there.
//!
//! A stream may break off in the middle of an event. Only whole events are passed on where another
//! back end may continue the stream after the id of the last one.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event id that is kept, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Maximum size of a partial event that is buffered, in bytes.
const MAX_PARTIAL_EVENT_BYTES: usize = 64 * 1024;

/// Finds where events end, whatever the pieces in which a stream arrives. Lines end with a line
/// feed, a carriage return, or both; a blank line ends an event. A comment line belongs to no event.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a field of the current event has begun.
    has_field: bool,
}

/// What the current line is, as far as it has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of the line has arrived.
    #[default]
    Start,
    /// The previous line ended with a carriage return; a line feed would belong to it.
    AfterReturn,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads on, and returns the index just after the last byte at which no event was left partial.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.read(*byte);
            if !self.is_inside_event() {
                end = Some(index + 1);
            }
        }
        end
    }

    /// Whether an event, or a comment line, has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line == Line::Comment
    }

    fn read(&mut self, byte: u8) {
        let is_line_start = matches!(self.line, Line::Start | Line::AfterReturn);
        self.line = match byte {
            b'\n' if self.line == Line::AfterReturn => Line::Start,
            b'\n' | b'\r' => {
                if is_line_start {
                    self.has_field = false;
                }
                if byte == b'\r' {
                    Line::AfterReturn
                } else {
                    Line::Start
                }
            }
            b':' if is_line_start => Line::Comment,
            _ if is_line_start => {
                self.has_field = true;
                Line::Field
            }
            _ => self.line,
        };
    }
}

/// Where another back end may resume a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// At the start: no event was passed on.
    #[default]
    Start,
    /// After the event with this id, the last one that was passed on.
    After(String),
    /// Nowhere: what was passed on last is a part of an event, or an event without a usable id.
    Nowhere,
}

/// Passes the whole events of a stream on and buffers the partial event at its end.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    /// Whether the current event was too large to be buffered, so that a part of it was passed on.
    is_partly_passed_on: bool,
    resume_point: ResumePoint,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are whole now, byte for byte. When a
    /// partial event exceeds `MAX_PARTIAL_EVENT_BYTES`, all buffered bytes are returned.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let buffered = self.partial.len();
        let boundary = self.scanner.scan(bytes);
        self.partial.extend_from_slice(bytes);
        if let Some(end) = boundary {
            let whole = self.partial.split_to(buffered + end).freeze();
            self.on_whole_events(&whole);
            return whole;
        }
        if self.is_partly_passed_on || self.partial.len() > MAX_PARTIAL_EVENT_BYTES {
            self.is_partly_passed_on = true;
            self.resume_point = ResumePoint::Nowhere;
            return self.partial.split().freeze();
        }
        Bytes::new()
    }

    fn on_whole_events(&mut self, events: &[u8]) {
        // The first bytes belong to an event whose id may have been passed on in parts.
        if std::mem::take(&mut self.is_partly_passed_on) {
            return;
        }
        if let Some(point) = resume_point(events) {
            self.resume_point = point;
        }
    }

    /// Drops the partial event of a stream that broke off.
    pub fn discard(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Whether the stream would end inside an event if it ended now.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Where another back end may resume the stream.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.resume_point
    }
}

/// Where a stream may be resumed after these whole events; `None` if there is no event among them,
/// but only comments and blank lines.
fn resume_point(events: &[u8]) -> Option<ResumePoint> {
    let mut point = None;
    let mut has_field = false;
    let mut id = None;
    for line in lines(events) {
        if line.is_empty() {
            if std::mem::take(&mut has_field) {
                let usable = id.take().and_then(usable_id);
                point = Some(usable.map_or(ResumePoint::Nowhere, ResumePoint::After));
            }
        } else if !line.starts_with(b":") {
            has_field = true;
            id = line.strip_prefix(b"id:").or(id);
        }
    }
    point
}

/// Lines that end with a line feed, a carriage return, or both.
fn lines(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let end = bytes
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let (line, rest) = bytes.split_at(end);
        bytes = rest.strip_prefix(b"\r\n").unwrap_or(&rest[1..]);
        Some(line)
    })
}

fn usable_id(id: &[u8]) -> Option<String> {
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty() && id.len() <= MAX_ID_BYTES).then(|| id.to_owned())
}
