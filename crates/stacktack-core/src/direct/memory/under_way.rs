//! Bytes of requests that are under way to each back end: until the head of the response arrives,
//! they may not have been read there.

use std::collections::HashMap;

/// Part of the share for request bodies that may be under way to one back end, so that one that
/// reads slowly neither takes the share of the others nor outgrows its own memory.
const SHARE_DIVISOR: usize = 4;

/// Bytes under way by id of their back end.
#[derive(Clone, Debug)]
pub struct BytesUnderWay {
    bound: usize,
    by_back_end: HashMap<String, usize>,
}

impl BytesUnderWay {
    /// Nothing under way yet; `share` are the bytes of request bodies that are kept in all.
    pub fn new(share: usize) -> Self {
        BytesUnderWay {
            bound: share / SHARE_DIVISOR,
            by_back_end: HashMap::new(),
        }
    }

    /// Counts the bytes of one more request to a back end, unless they exceed its bound; false if
    /// they do. A request on its own may be sent however large it is.
    pub fn begin(&mut self, back_end: &str, bytes: usize) -> bool {
        match self.by_back_end.get_mut(back_end) {
            Some(under_way) if *under_way + bytes > self.bound => false,
            Some(under_way) => {
                *under_way += bytes;
                true
            }
            None => {
                self.by_back_end.insert(back_end.to_owned(), bytes);
                true
            }
        }
    }

    /// The head of the response to a request has arrived, or its attempt is over.
    pub fn end(&mut self, back_end: &str, bytes: usize) {
        if let Some(under_way) = self.by_back_end.get_mut(back_end) {
            *under_way = under_way.saturating_sub(bytes);
            if *under_way == 0 {
                self.by_back_end.remove(back_end);
            }
        }
    }

    /// Most bytes that are under way to one back end.
    pub fn most(&self) -> usize {
        self.by_back_end.values().copied().max().unwrap_or(0)
    }
}
