//! Responses that are kept until their callers have read them.

use std::collections::HashMap;
use std::time::Duration;

use super::pressure_mark;
use crate::time::Time;

/// Bytes that each response is charged at least: buffers of its caller's and its back end's
/// connection.
pub const MIN_CHARGE: usize = 32 * 1024;

/// Maximum bytes of one stream that are read ahead of its caller.
pub const MAX_READ_AHEAD: usize = 256 * 1024;

/// Time without progress after which a response counts as unread. A caller that reads over a lossy
/// link may need three retransmissions in a row, which take 200, 400 and 800 ms, and as much again
/// for its acknowledgement.
pub const UNREAD_TIME: Duration = Duration::from_secs(3);

/// Minimum time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Identifies a response in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ResponseId(u64);

/// Whether a response may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseAdmission {
    /// It may.
    Admitted(ResponseId),
    /// It may, since another one that its caller does not read is ended.
    InPlaceOf {
        /// The new response.
        admitted: ResponseId,
        /// The response that has to be ended.
        ended: ResponseId,
        /// Time since its caller last read of it.
        unread: Duration,
    },
    /// The share is spent, and all responses were read lately.
    Refused {
        /// Time after which the first of them may count as unread.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct Response {
    kept: usize,
    /// Since when its caller could read and took nothing; `None` before anything is offered.
    unread_since: Option<Time>,
}

impl Response {
    fn charge(&self) -> usize {
        self.kept.max(MIN_CHARGE)
    }

    /// Time for which its caller has left bytes unread.
    fn unread(&self, now: Time) -> Option<Duration> {
        let since = self.unread_since.filter(|_| self.kept > 0)?;
        Some(now.since(since))
    }
}

/// Responses in progress and what is kept of each.
#[derive(Clone, Debug)]
pub struct KeptResponses {
    share: usize,
    responses: HashMap<ResponseId, Response>,
    /// Sum of the charges of all responses, in bytes.
    charged: usize,
    next_id: u64,
}

impl KeptResponses {
    /// No response yet, within a share of this many bytes.
    pub fn new(share: usize) -> Self {
        KeptResponses {
            share,
            responses: HashMap::new(),
            charged: 0,
            next_id: 0,
        }
    }

    /// Admits one more response, if need be in place of the one that is unread for longest.
    pub fn admit(&mut self, now: Time) -> ResponseAdmission {
        if self.charged + MIN_CHARGE <= self.share {
            return ResponseAdmission::Admitted(self.begin());
        }
        match self.longest_unread(now) {
            Some((unread, ended)) if unread >= UNREAD_TIME => {
                self.end(ended);
                let admitted = self.begin();
                ResponseAdmission::InPlaceOf {
                    admitted,
                    ended,
                    unread,
                }
            }
            Some((unread, _)) => ResponseAdmission::Refused {
                retry_after: (UNREAD_TIME - unread).max(MIN_RETRY_AFTER),
            },
            None => ResponseAdmission::Refused {
                retry_after: MIN_RETRY_AFTER,
            },
        }
    }

    /// Ends the response that is unread for longest, if memory is short: it holds up callers that
    /// read, and its back end. Returns it and the time since its caller last read of it.
    pub fn end_longest_unread(&mut self, now: Time) -> Option<(ResponseId, Duration)> {
        let (unread, id) = self
            .longest_unread(now)
            .filter(|(unread, _)| self.is_under_pressure() && *unread >= UNREAD_TIME)?;
        self.end(id);
        Some((id, unread))
    }

    fn longest_unread(&self, now: Time) -> Option<(Duration, ResponseId)> {
        let unread = self.responses.iter();
        unread
            .filter_map(|(id, response)| Some((response.unread(now)?, *id)))
            .max()
    }

    fn begin(&mut self) -> ResponseId {
        let id = ResponseId(self.next_id);
        self.next_id += 1;
        let response = Response {
            kept: 0,
            unread_since: None,
        };
        self.charged += response.charge();
        self.responses.insert(id, response);
        id
    }

    /// Counts the bytes kept of a response: more by `added`, then less by `released`.
    pub fn change(&mut self, id: ResponseId, added: usize, released: usize, now: Time) {
        let Some(response) = self.responses.get_mut(&id) else {
            return;
        };
        self.charged -= response.charge();
        if response.kept == 0 && response.unread_since.is_some() {
            response.unread_since = Some(now);
        }
        response.kept = (response.kept + added).saturating_sub(released);
        self.charged += response.charge();
    }

    /// The caller can read from now on, or has just read.
    pub fn on_progress(&mut self, id: ResponseId, now: Time) {
        if let Some(response) = self.responses.get_mut(&id) {
            response.unread_since = Some(now);
        }
    }

    /// Callers could not read for a while, since the router did not run: what they leave unread
    /// counts from now on.
    pub fn restart_unread(&mut self, now: Time) {
        for response in self.responses.values_mut() {
            if let Some(since) = &mut response.unread_since {
                *since = now;
            }
        }
    }

    /// The response is over, and nothing of it is kept any more.
    pub fn end(&mut self, id: ResponseId) {
        if let Some(response) = self.responses.remove(&id) {
            self.charged -= response.charge();
        }
    }

    /// Whether more of a stream may be read than its caller takes.
    pub fn may_read_ahead(&self, id: ResponseId) -> bool {
        let kept = self.responses.get(&id).map(|response| response.kept);
        kept.is_some_and(|kept| kept < MAX_READ_AHEAD) && !self.is_under_pressure()
    }

    /// Whether more bytes may be kept of a response. One of which nothing is kept may go on in any
    /// case: its caller has read all that it got.
    pub fn may_keep_more(&self, id: ResponseId) -> bool {
        let kept = self.responses.get(&id).map_or(0, |response| response.kept);
        kept == 0 || !self.is_under_pressure()
    }

    /// Whether responses take so much that nothing is read ahead.
    pub fn is_under_pressure(&self) -> bool {
        self.charged >= pressure_mark(self.share)
    }

    /// Bytes that are charged for all responses.
    pub fn charged(&self) -> usize {
        self.charged
    }
}
