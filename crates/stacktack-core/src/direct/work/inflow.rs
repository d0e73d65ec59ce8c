//! Work that the routers of a fleet send to a pool.
//!
//! After a start, all prompts are unread and seconds of work arrive before the first back end
//! answers. What one router sends and its share of the requests tell what the others send, sooner
//! than reports of the work do.

use std::time::Duration;

use crate::time::Time;

/// Time in seconds over which the rate is averaged: long enough for a router that sends few requests,
/// and short enough for demand that rises fast.
const AVERAGED_SECONDS: f64 = 1.0;

/// Maximum rate: more than that is chance, or is refused.
const MAX_RATE: f64 = 2.0;

/// Work that arrives at a back end of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Inflow {
    /// Seconds of work that this router sent, less by 1/e after [`AVERAGED_SECONDS`].
    sent: f64,
    /// Seconds of work ahead at the mean back end if all work is spread evenly.
    backlog: f64,
    at: Time,
}

impl Inflow {
    /// Records the reading time of a request that this router sends.
    /// [`Inflow::advance`] has to be called before.
    pub fn on_send(&mut self, reading: Duration) {
        self.sent += reading.as_secs_f64();
    }

    fn sent_at(&self, now: Time) -> f64 {
        self.sent * (-now.since(self.at).as_secs_f64() / AVERAGED_SECONDS).exp()
    }

    /// Advances to `now`, where this router sends a share of the requests, above 0 and at most 1, to a
    /// pool of this many members.
    pub fn advance(&mut self, own_share: f64, members: usize, now: Time) {
        let rate = self.rate(own_share, members);
        let elapsed = now.since(self.at).as_secs_f64();
        let arrived = rate * AVERAGED_SECONDS * (1.0 - (-elapsed / AVERAGED_SECONDS).exp());
        self.backlog = (self.backlog + arrived - elapsed).max(0.0);
        self.sent = self.sent_at(now);
        self.at = now;
    }

    /// Seconds of work per second that all routers send to the mean member, as of the last call of
    /// [`Inflow::advance`].
    fn rate(&self, own_share: f64, members: usize) -> f64 {
        let rate = self.sent / AVERAGED_SECONDS / own_share / members.max(1) as f64;
        rate.min(MAX_RATE)
    }

    /// The same of all routers but this one.
    pub fn rate_of_peers(&self, own_share: f64, members: usize) -> f64 {
        self.rate(own_share, members) * (1.0 - own_share)
    }

    /// Work ahead at the mean back end if all work is spread evenly.
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f64(self.backlog)
    }
}
