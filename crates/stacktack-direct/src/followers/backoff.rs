//! Backoff between failed calls to the store.

use std::time::Duration;

use rand::RngExt;

use crate::router::Router;

/// Delay after the first failed call, before jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay, before jitter.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Maximum delay while peers have what this router cannot read from the store, before jitter.
const MAX_DELAY_WITH_STEADY_PEERS: Duration = Duration::from_millis(1500);

/// Minimum sum of delays before [`MAX_DELAY_WITH_STEADY_PEERS`] applies. For one more gossip round
/// peers report that the store answers them although they have just lost it too. With long delays
/// meanwhile, the return of the store was noticed late, and a departure from right before it was
/// applied after 3.2 s, where 3 s are allowed.
const MIN_TOTAL_BEFORE_LONG_DELAY: Duration = Duration::from_millis(2500);

/// Exponential backoff with jitter, so that the routers of a fleet do not return all at once.
pub(super) struct Backoff {
    /// Next delay, before jitter.
    next: Duration,
    /// Sum of the delays since the last response.
    total: Duration,
}

impl Backoff {
    /// A backoff before its first delay.
    pub(super) fn new() -> Self {
        Backoff {
            next: INITIAL_DELAY,
            total: Duration::ZERO,
        }
    }

    /// Starts over, after a call was answered, or with the first failure after the store has
    /// answered a peer.
    pub(super) fn reset(&mut self) {
        *self = Backoff::new();
    }

    /// Delay before the next call.
    pub(super) fn next_delay(&mut self, router: &Router) -> Duration {
        let jitter = rand::rng().random_range(0.5..=1.0);
        let delay = self.next.mul_f64(jitter);
        self.total += delay;
        let has_steady_peers = router.configuration_version() > 0
            && self.total >= MIN_TOTAL_BEFORE_LONG_DELAY
            && router.peers.borrow().any_directory_steady(router.now());
        let max_delay = if has_steady_peers {
            MAX_DELAY_WITH_STEADY_PEERS
        } else {
            MAX_DELAY
        };
        self.next = (self.next * 2).min(max_delay);
        delay
    }
}
