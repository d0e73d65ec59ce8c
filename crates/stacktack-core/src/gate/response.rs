//! The answer of one attempt, kept so that a router can resume it.

use bytes::{Bytes, BytesMut};
use stacktack_wire::message::Usage;

/// Status and content type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
}

/// Pieces of an answer in order, with its head and token counts.
#[derive(Debug, Default)]
pub struct ResponseBuffer {
    /// Status and content type, once known.
    pub head: Option<ResponseHead>,
    /// Token counts, once finished.
    pub usage: Usage,
    pieces: Vec<Bytes>,
    forgotten: u64,
}

impl ResponseBuffer {
    /// Number of pieces so far.
    pub fn length(&self) -> u64 {
        self.forgotten + self.pieces.len() as u64
    }

    /// Appends pieces that begin at `offset`; those already held are passed
    /// over. Returns the offset of the first new piece and the new pieces, or
    /// nothing when there is a gap or nothing new.
    pub fn append(&mut self, offset: u64, pieces: Vec<Bytes>) -> Option<(u64, Vec<Bytes>)> {
        let length = self.length();
        if offset > length {
            return None;
        }
        let held = (length - offset) as usize;
        let fresh: Vec<Bytes> = pieces.into_iter().skip(held).collect();
        if fresh.is_empty() {
            return None;
        }
        self.pieces.extend(fresh.iter().cloned());
        Some((length, fresh))
    }

    /// Pieces from `offset` onwards; none when some of them were dropped.
    pub fn pieces_from(&self, offset: u64) -> Option<&[Bytes]> {
        let start = offset.checked_sub(self.forgotten)? as usize;
        self.pieces.get(start..)
    }

    /// Drops the pieces and keeps their number.
    pub fn forget_pieces(&mut self) {
        self.forgotten = self.length();
        self.pieces = Vec::new();
    }
}

/// Joins pieces into one buffer.
pub fn join(pieces: &[Bytes]) -> Bytes {
    if let [single] = pieces {
        return single.clone();
    }
    let total = pieces.iter().map(Bytes::len).sum();
    let mut joined = BytesMut::with_capacity(total);
    for piece in pieces {
        joined.extend_from_slice(piece);
    }
    joined.freeze()
}
