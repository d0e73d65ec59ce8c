//! Delay of a starting router's first call to the store.
//!
//! Serving peers send a starting router what they know, so that a start need not load the store.
//! When the whole fleet starts at once, nobody knows anything: the seed routers call the store at
//! once, and the others learn from them, or call after a random delay if they hear nothing.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::poll_schedule::PollSchedule;
use crate::router::Router;

/// Maximum time for which a starting router waits to hear from a first peer.
const MAX_WAIT_FOR_FIRST_PEER: Duration = Duration::from_millis(600);

/// Maximum time after the start, once peers are live, for one of them to know what this router
/// lacks. In that case all routers are starting, and what a few of them read reaches all within
/// about a second.
const MAX_WAIT_IN_FLEET_START: Duration = Duration::from_millis(1500);

/// Exponent that moves an even draw towards 1: of 100 routers 2 call within the first 0.4 of the
/// maximum wait.
const DRAW_EXPONENT: f64 = 0.25;

/// Maximum time after the start for which a fetch from a peer that has a newer revision is awaited
/// before the store is called.
const MAX_PEER_FETCH_WAIT: Duration = Duration::from_millis(1500);

/// Time between two checks whether a peer has sent what this router lacks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Random delay of a starting router's first call for one source.
pub(super) struct StartDelay {
    started: Instant,
    /// Fraction of the maximum waits for which this router waits, in 0..1; close to 1 for most
    /// routers.
    draw: f64,
    /// Whether this router is a seed or has no seeds, so that it has no others to wait for.
    calls_at_once: bool,
}

impl StartDelay {
    /// Delay of a router that starts now.
    pub(super) fn begin(router: &Router) -> Self {
        let peers = &router.settings.peers;
        let draw: f64 = rand::rng().random();
        StartDelay {
            started: Instant::now(),
            draw: draw.powf(DRAW_EXPONENT),
            calls_at_once: peers.seeds.is_empty() || peers.seeds.contains(&peers.listen),
        }
    }

    /// Delay before the first call is considered.
    pub(super) fn initial_delay(&self) -> Duration {
        if self.calls_at_once {
            return Duration::ZERO;
        }
        MAX_WAIT_FOR_FIRST_PEER.mul_f64(self.draw)
    }

    /// Time until the deferral of the first call is checked again; `None` if the call is due. The
    /// call is deferred while a peer that has a newer revision may answer, and while others that
    /// start too may read the source first.
    fn remaining_delay(&self, router: &Router, peer_has_newer_revision: bool) -> Option<Duration> {
        let since = self.started.elapsed();
        if peer_has_newer_revision && since < MAX_PEER_FETCH_WAIT {
            return Some(CHECK_INTERVAL);
        }
        if self.calls_at_once || router.peers.borrow().live_count() == 0 {
            return None;
        }
        let delay = MAX_WAIT_IN_FLEET_START.mul_f64(self.draw);
        let left = delay.saturating_sub(since);
        (!left.is_zero()).then_some(left.min(CHECK_INTERVAL))
    }
}

/// How far peers have initialized a starting router for one source.
pub(super) struct StartProgress<'a> {
    pub(super) start: &'a StartDelay,
    pub(super) router: &'a Router,
    /// Whether the source is known up to some time.
    pub(super) is_initialized: bool,
    /// Whether some peer has a newer revision than this router.
    pub(super) peer_has_newer_revision: bool,
}

impl StartProgress<'_> {
    /// Whether the call that is due would be the first, and peers have sent, or may still send,
    /// what it would read.
    pub(super) fn is_deferred_to_peers(&self, polls: &PollSchedule) -> bool {
        let is_first_call = !polls.has_asked() && !polls.is_poll();
        is_first_call && (self.is_initialized || self.remaining_delay().is_some())
    }

    /// Time until the deferral of the first call is checked again; `None` if the call is no longer
    /// deferred. A source that is known ends the deferral, unless a peer has a newer revision.
    pub(super) fn remaining_delay(&self) -> Option<Duration> {
        let delay = self
            .start
            .remaining_delay(self.router, self.peer_has_newer_revision);
        delay.filter(|_| !self.is_initialized || self.peer_has_newer_revision)
    }
}
