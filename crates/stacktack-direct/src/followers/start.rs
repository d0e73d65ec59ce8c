//! The first call of a router that starts.
//!
//! Peers that serve hand over what they know, so that a start need cost the store nothing. Where all
//! start at once nobody knows anything: those that everybody knows from the settings ask at once, and
//! the others learn from them, or ask after a drawn time if they hear nothing.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::looks::Looks;
use crate::router::Router;

/// Longest time for which a router that starts waits to hear from a peer ...
const LONGEST_SILENCE: Duration = Duration::from_millis(600);

/// ... and, once it has heard others, for one of them to know what it lacks: all start at once then, and
/// what a few read reaches all within about a second.
const LONGEST_START_OF_ALL: Duration = Duration::from_millis(1500);

/// Exponent of the draw: of 100 routers 2 ask within the first 0.4 of these times.
const LATE: f64 = 0.25;

/// Longest time for which a peer's answer is awaited before the store is asked.
const LONGEST_FETCH: Duration = Duration::from_millis(1500);

/// Time between looks at whether a peer's answer came.
const LOOK: Duration = Duration::from_millis(50);

/// The time before the first call of a router for one source.
pub(super) struct Start {
    begun: Instant,
    /// Draw for the first call, in 0..1; near to 1 for most.
    draw: f64,
    /// Whether this router has no others to wait for.
    asks_at_once: bool,
}

impl Start {
    /// A router starts now.
    pub(super) fn now(router: &Router) -> Self {
        let peers = &router.settings.peers;
        let draw: f64 = rand::rng().random();
        Start {
            begun: Instant::now(),
            draw: draw.powf(LATE),
            asks_at_once: peers.seeds.is_empty() || peers.seeds.contains(&peers.listen),
        }
    }

    /// Pause before the first call.
    pub(super) fn pause(&self) -> Duration {
        if self.asks_at_once {
            return Duration::ZERO;
        }
        LONGEST_SILENCE.mul_f64(self.draw)
    }

    /// How much longer the first call is put off: while a peer that knows more is asked, and while
    /// others that start too may learn it first.
    fn more_time(&self, router: &Router, peer_knows_more: bool) -> Option<Duration> {
        let since = self.begun.elapsed();
        if peer_knows_more && since < LONGEST_FETCH {
            return Some(LOOK);
        }
        if self.asks_at_once || router.peers.borrow().live_count() == 0 {
            return None;
        }
        let pause = LONGEST_START_OF_ALL.mul_f64(self.draw);
        let left = pause.saturating_sub(since);
        (!left.is_zero()).then_some(left.min(LOOK))
    }
}

/// How far peers have come with telling a router that starts what one source holds.
pub(super) struct StartProgress<'a> {
    pub(super) start: &'a Start,
    pub(super) router: &'a Router,
    /// Whether something was told.
    pub(super) is_told: bool,
    /// Whether some peer knows more than was told.
    pub(super) peer_knows_more: bool,
}

impl StartProgress<'_> {
    /// Whether a peer has told, or is telling, what the first call would ask the store.
    pub(super) fn is_left_to_peers(&self, looks: &Looks) -> bool {
        let starts = !looks.has_asked() && !looks.is_look();
        starts && (self.is_told || self.more_time().is_some())
    }

    /// How much longer the first call is put off; what was told ends that, unless a peer knows more.
    pub(super) fn more_time(&self) -> Option<Duration> {
        let more = self.start.more_time(self.router, self.peer_knows_more);
        more.filter(|_| !self.is_told || self.peer_knows_more)
    }
}
