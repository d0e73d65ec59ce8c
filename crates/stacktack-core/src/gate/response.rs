//! The response to one attempt, retained so that a router can resume it.

use bytes::{Bytes, BytesMut};
use stacktack_wire::message::Usage;

/// Status and content type of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
}

/// Ordered pieces of a response, with its head and token counts.
#[derive(Debug, Default)]
pub struct ResponseBuffer {
    /// Status and content type; none until the back end has sent them.
    pub head: Option<ResponseHead>,
    /// Token counts; zero until the response is complete.
    pub usage: Usage,
    pieces: Vec<Bytes>,
    /// Number of pieces at the start that are no longer held.
    dropped_count: u64,
}

impl ResponseBuffer {
    /// Number of pieces received, including dropped ones.
    pub fn piece_count(&self) -> u64 {
        self.dropped_count + self.pieces.len() as u64
    }

    /// Appends pieces that begin at piece index `offset`; pieces received before
    /// are skipped. Returns the index of the first new piece and the new pieces,
    /// or none if there is a gap before them or nothing is new.
    pub fn append(&mut self, offset: u64, pieces: Vec<Bytes>) -> Option<(u64, Vec<Bytes>)> {
        let count = self.piece_count();
        if offset > count {
            return None;
        }
        let known = (count - offset) as usize;
        let fresh: Vec<Bytes> = pieces.into_iter().skip(known).collect();
        if fresh.is_empty() {
            return None;
        }
        self.pieces.extend(fresh.iter().cloned());
        Some((count, fresh))
    }

    /// Pieces from index `offset` onwards; none if some of them were dropped or
    /// `offset` is past the end.
    pub fn pieces_from(&self, offset: u64) -> Option<&[Bytes]> {
        let start = offset.checked_sub(self.dropped_count)? as usize;
        self.pieces.get(start..)
    }

    /// Drops the held pieces but keeps their count.
    pub fn drop_pieces(&mut self) {
        self.dropped_count = self.piece_count();
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
