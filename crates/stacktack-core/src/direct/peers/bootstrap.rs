//! Bootstrap of routers that start: a peer without a configuration or directory gets gossip at
//! once, and again with backoff while it lacks either of them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;

use crate::direct::peers::peer_gossip::PeerGossip;
use crate::direct::peers::Peers;
use crate::time::Time;

/// Maximum number of uninitialized peers that wait for a bootstrap push.
const MAX_WAITING_PEERS: usize = 64;

/// Time after the first bootstrap push before the second one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Factor by which the backoff grows with each further push.
const BACKOFF_FACTOR: u32 = 4;

/// Number of pushes after which the backoff no longer grows.
const MAX_BACKOFF_PUSHES: u32 = 5;

/// Bytes that bootstrap pushes may overdraw, in seconds of the byte budget, since regular rounds
/// leave none. When all routers start at once, each one that has been initialized initializes
/// others; regular rounds wait until the overdraft is repaid.
const PUSH_CREDIT_SECONDS: f64 = 0.5;

/// Bootstrap pushes to one uninitialized peer so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BootstrapPushes {
    count: u32,
    last: Time,
}

impl BootstrapPushes {
    /// Whether the backoff since the last push is over.
    fn is_due(self, now: Time) -> bool {
        let backoff = match self.count {
            0 => Duration::ZERO,
            count => INITIAL_BACKOFF * BACKOFF_FACTOR.pow(count.min(MAX_BACKOFF_PUSHES) - 1),
        };
        now.since(self.last) >= backoff
    }

    fn record(&mut self, now: Time) {
        self.count += 1;
        self.last = now;
    }
}

/// Whether a router with these revisions has a configuration and a directory; 0 stands for none.
pub(super) fn is_initialized(configuration: u64, directory: u64) -> bool {
    configuration > 0 && directory > 0
}

impl Peers {
    /// Whether uninitialized peers wait for a bootstrap push.
    pub fn has_uninitialized_peers(&self) -> bool {
        !self.uninitialized.is_empty()
    }

    /// Takes the uninitialized peers to push to now. They are drawn at random, so that routers with
    /// the same peers waiting do not all start with the same ones.
    pub(super) fn take_uninitialized(&mut self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let credit_bytes = self.bytes_per_second * PUSH_CREDIT_SECONDS;
        let count = self
            .affordable_datagrams(credit_bytes)
            .min(self.uninitialized.len());
        // `partial_shuffle` moves the drawn peers to the end.
        let (drawn, left) = self.uninitialized.partial_shuffle(random, count);
        let (drawn, left) = (drawn.to_vec(), left.len());
        self.uninitialized.truncate(left);
        for address in &drawn {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.bootstrap_pushes.record(self.last_tick);
            }
        }
        drawn
    }

    /// Queues the sender of gossip for a bootstrap push if it is uninitialized, else removes it
    /// from the queue. A push may have been lost, or the peer may be unable to use it, hence the
    /// backoff.
    pub(super) fn note_uninitialized(
        &mut self,
        gossip: &PeerGossip,
        pushes: BootstrapPushes,
        now: Time,
    ) {
        if is_initialized(gossip.configuration, gossip.directory) {
            self.uninitialized.retain(|address| *address != gossip.from);
            return;
        }
        let is_waiting = self.uninitialized.contains(&gossip.from);
        let is_full = self.uninitialized.len() >= MAX_WAITING_PEERS;
        if !is_waiting && !is_full && pushes.is_due(now) {
            self.uninitialized.push(gossip.from);
        }
    }
}
