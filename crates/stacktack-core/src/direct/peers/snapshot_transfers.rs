//! How many whole documents a router hands over at once.
//!
//! Many that ask at once would share its link, and each would have the document late and nothing to hand
//! on meanwhile. Few at a time have it soon and serve the others; one for each other zone, since one copy
//! serves a zone and bytes between zones are dear. Small documents wait for no turn: a router that waits
//! serves nobody meanwhile.

use std::time::Duration;

use crate::direct::peers::peer_gossip::ZoneHash;
use crate::time::Time;

/// Whole documents on their way to routers of the own zone, or of zones that are not known.
const MOST_NEAR: usize = 3;

/// The same to routers of one other zone.
const MOST_FAR: usize = 1;

/// Bytes of small documents that are on their way at once.
const MOST_SMALL_BYTES: usize = 32 * 1024;

/// Time after which one on its way makes room for another: whoever takes it may have stopped.
const LONGEST: Duration = Duration::from_millis(1000);

/// Whole documents on their way to peers.
#[derive(Clone, Debug, Default)]
pub struct SnapshotTransfers {
    under_way: Vec<HandOver>,
    begun: u64,
    /// Bytes of the document when it was last handed over.
    document_bytes: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
struct HandOver {
    number: u64,
    /// Another zone that it goes to.
    far: Option<ZoneHash>,
    since: Time,
}

impl SnapshotTransfers {
    /// A peer asks, of another zone if `far` names one. Returns the number of the hand-over, to end it
    /// by; `None` if there is no room now.
    pub fn begin(&mut self, far: Option<ZoneHash>, now: Time) -> Option<u64> {
        self.under_way.retain(|one| now.since(one.since) < LONGEST);
        let alike = self.under_way.iter().filter(|one| one.far == far).count();
        let most = if far.is_some() { MOST_FAR } else { MOST_NEAR };
        if alike >= most && !self.is_small() {
            return None;
        }
        self.begun += 1;
        self.under_way.push(HandOver {
            number: self.begun,
            far,
            since: now,
        });
        Some(self.begun)
    }

    /// The document that is handed over has so many bytes.
    pub fn set_snapshot_bytes(&mut self, bytes: usize) {
        self.document_bytes = Some(bytes);
    }

    /// Whether one more copy beside those on their way is still few bytes.
    fn is_small(&self) -> bool {
        let copies = self.under_way.len() + 1;
        let bytes = self.document_bytes.map(|bytes| bytes * copies);
        bytes.is_some_and(|bytes| bytes <= MOST_SMALL_BYTES)
    }

    /// A hand-over is over.
    pub fn end(&mut self, number: u64) {
        self.under_way.retain(|one| one.number != number);
    }
}
