//! Parts that back ends have read for other routers.
//!
//! In a large fleet, a router sees a small share of the requests, so that a part which is new to
//! it has often been read already, mostly at its home. How often follows from the rate at which the
//! other routers have parts read there, learned from this router's own responses. A single router
//! learns the rate 0, and a cold fleet starts with it.

use std::time::Duration;

/// Factor by which each response reduces the weight of earlier ones.
const DECAY: f64 = 0.97;

/// Time at a back end, in seconds, without a read that is assumed before the first response.
const ASSUMED_SECONDS: f64 = 1.0;

/// Rate at which parts that this router does not know are read at a back end.
#[derive(Clone, Copy, Debug)]
pub struct PeerReads {
    /// Parts that had been read.
    reads: f64,
    /// Seconds for which back ends were known until parts were read there or asked for.
    seconds: f64,
}

impl Default for PeerReads {
    fn default() -> Self {
        PeerReads {
            reads: 0.0,
            seconds: ASSUMED_SECONDS,
        }
    }
}

impl PeerReads {
    /// Reads per second of a part.
    fn rate(&self) -> f64 {
        self.reads / self.seconds
    }

    /// Probability that a part unknown to this router has been read at an instance that is
    /// known for `known_for`.
    pub fn probability(&self, known_for: Duration) -> f64 {
        1.0 - (-self.rate() * known_for.as_secs_f64()).exp()
    }

    /// Records whether a part that was unknown to this router had been read.
    pub fn observe(&mut self, was_read: bool, known_for: Duration) {
        let known_for = known_for.as_secs_f64();
        // The time of the read is unknown: on average it is in the middle of the time, or sooner if
        // reads are frequent.
        let seconds = if was_read {
            (known_for / 2.0).min(1.0 / self.rate().max(f64::MIN_POSITIVE))
        } else {
            known_for
        };
        self.reads = self.reads * DECAY + f64::from(u8::from(was_read));
        self.seconds = (self.seconds * DECAY + seconds).max(f64::EPSILON);
    }
}
