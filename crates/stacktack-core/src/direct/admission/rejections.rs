//! Load shedding by the back ends' own rejections.
//!
//! A back end without free capacity rejects a request, and that rejection is reliable, but
//! it costs a connection and the caller's time; and back ends that get too many requests
//! reset connections, after which it is unknown whether a request ran. A router therefore
//! sends at most a multiple of what was accepted recently and refuses the rest at once.
//! While nothing is rejected this refuses nobody.

use std::time::Duration;

use crate::direct::admission::rate::DecayingRate;
use crate::time::Time;

/// Time constant of the counts of outcomes: after rejections have ended a router sends all
/// requests again within a few of these.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests that are sent for each accepted one: the excess finds capacity that has become
/// free.
const SENDS_PER_ACCEPTED: f64 = 2.0;

/// Rejections within the window that are too few to shed load.
const TOLERATED_REJECTIONS: f64 = 2.0;

/// Sends beyond the share that are remembered: their draws were low, and the draws of others make up
/// for them.
const MAX_EXCESS_SENDS: f64 = 16.0;

/// Outcomes of the requests to a pool.
#[derive(Clone, Copy, Debug)]
pub struct Rejections {
    accepted: DecayingRate,
    /// Rejected by a back end or refused here.
    not_accepted: DecayingRate,
    /// Requests that the share allowed to be sent and that were not; negative after sends beyond it.
    sends_due: f64,
}

impl Default for Rejections {
    fn default() -> Self {
        Rejections {
            accepted: DecayingRate::new(WINDOW),
            not_accepted: DecayingRate::new(WINDOW),
            sends_due: 0.0,
        }
    }
}

impl Rejections {
    /// A back end accepted a request.
    pub fn on_accepted(&mut self, now: Time) {
        self.accepted.count(1.0, now);
    }

    /// A back end rejected a request, or the request was refused here.
    pub fn on_not_accepted(&mut self, now: Time) {
        self.not_accepted.count(1.0, now);
    }

    /// Whether a request is refused. `draw`, uniform from 0 to 1, decides whether it is among those of
    /// the share; it is called if there is one. Equal requests have equal draws, so that all of them
    /// may be: one is sent all the same when a whole send is due. A refusal is counted.
    pub fn should_shed(&mut self, draw: impl FnOnce() -> f64, now: Time) -> bool {
        let share = self.shed_share(now);
        if share == 0.0 {
            self.sends_due = 0.0;
            return false;
        }
        self.sends_due += 1.0 - share;
        let is_shed = draw() >= 1.0 - share && self.sends_due < 1.0;
        if is_shed {
            self.on_not_accepted(now);
        } else {
            self.sends_due = (self.sends_due - 1.0).max(-MAX_EXCESS_SENDS);
        }
        is_shed
    }

    /// Share of the requests to refuse instead of sending, from 0 to 1.
    fn shed_share(&self, now: Time) -> f64 {
        let accepted = self.accepted.decayed_count(now);
        let requests = accepted + self.not_accepted.decayed_count(now);
        let excess = requests - SENDS_PER_ACCEPTED * accepted - TOLERATED_REJECTIONS;
        (excess / requests.max(TOLERATED_REJECTIONS)).max(0.0)
    }
}
