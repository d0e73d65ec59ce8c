//! Virtual time for simulations: events in the order in which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use stacktack_core::time::Time;

/// Events that are still to come, and the current virtual time.
pub struct EventQueue<E> {
    /// The time of the last event.
    pub now: Time,
    /// Number of events scheduled so far; events of the same time keep their order.
    count: u64,
    events: BinaryHeap<Reverse<(Time, u64, E)>>,
}

impl<E: Ord> EventQueue<E> {
    pub fn new(now: Time) -> Self {
        EventQueue {
            now,
            count: 0,
            events: BinaryHeap::new(),
        }
    }

    pub fn schedule(&mut self, after: Duration, event: E) {
        self.count += 1;
        self.events
            .push(Reverse((self.now + after, self.count, event)));
    }

    /// Removes the next event and advances the time to it.
    pub fn next(&mut self) -> Option<E> {
        let Reverse((at, _, event)) = self.events.pop()?;
        self.now = at;
        Some(event)
    }
}

/// A time drawn from an exponential distribution.
pub fn random_time(random: &mut ChaCha8Rng, mean_seconds: f64) -> Duration {
    let draw: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() * mean_seconds)
}
