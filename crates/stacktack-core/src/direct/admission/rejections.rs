//! What back ends' own rejections say of a pool's room.
//!
//! A back end that has no room rejects a request truly, but the rejection costs a
//! connection and the caller's time, and back ends that are asked too often reset
//! connections, after which nobody knows whether a request ran. A router therefore sends
//! at most a multiple of what was taken of late; the rest is refused at once. While
//! nothing is rejected this refuses nobody.

use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Time over which outcomes are counted: after rejections have ended a router sends
/// all again within a few of these.
const WINDOW: Duration = Duration::from_secs(1);

/// Sends for each one that was taken: the excess finds room that has become free.
const SENDS: f64 = 2.0;

/// The same for callers that come back: those go after new ones.
const RETURNED_SENDS: f64 = 1.5;

/// Rejections within the window that say nothing yet.
const FEW: f64 = 2.0;

/// Outcomes of the requests for a pool.
#[derive(Clone, Copy, Debug)]
pub struct Rejections {
    taken: DecayingRate,
    /// Rejected there or refused here.
    not_taken: DecayingRate,
}

impl Default for Rejections {
    fn default() -> Self {
        Rejections {
            taken: DecayingRate::new(WINDOW),
            not_taken: DecayingRate::new(WINDOW),
        }
    }
}

impl Rejections {
    /// A back end took a request.
    pub fn on_accepted(&mut self, now: Time) {
        self.taken.count(1.0, now);
    }

    /// A back end rejected a request, or it was refused here.
    pub fn on_not_accepted(&mut self, now: Time) {
        self.not_taken.count(1.0, now);
    }

    /// Share of the requests that is not to be sent.
    pub fn shed_share(&self, returned: bool, now: Time) -> f64 {
        let taken = self.taken.decayed_count(now);
        let asked = taken + self.not_taken.decayed_count(now);
        let sends = if returned { RETURNED_SENDS } else { SENDS };
        ((asked - sends * taken - FEW) / asked.max(FEW)).max(0.0)
    }
}
