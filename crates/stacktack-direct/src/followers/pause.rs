//! Pauses between calls that fail.

use std::time::Duration;

use rand::RngExt;

use crate::router::Router;

/// Pauses after a failed call: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause while peers have what the store does not tell this router ...
const INFORMED_PAUSE: Duration = Duration::from_millis(1500);

/// ... and time of pauses before one may be that long. Peers tell for a round of news more that the store
/// answers them, though it has just left them too; with long pauses meanwhile its return was noticed
/// late, and a departure from right before was believed 3.2 s after it, where 3 s are allowed.
const TOLD_STILL: Duration = Duration::from_millis(2500);

/// Pause before the next try; grows, and is spread so that a fleet does not
/// come back all at once.
pub(super) struct Pause {
    next: Duration,
    /// Pauses since the last answer, together.
    made: Duration,
}

impl Pause {
    /// The first pause.
    pub(super) fn new() -> Self {
        Pause {
            next: FIRST_PAUSE,
            made: Duration::ZERO,
        }
    }

    /// A call was answered.
    pub(super) fn reset(&mut self) {
        *self = Pause::new();
    }

    /// The pause to make now.
    pub(super) fn take(&mut self, router: &Router) -> Duration {
        let spread = rand::rng().random_range(0.5..=1.0);
        let pause = self.next.mul_f64(spread);
        self.made += pause;
        let informed = router.configuration_version() > 0
            && self.made >= TOLD_STILL
            && router.peers.borrow().any_directory_steady(router.now());
        let longest = if informed {
            INFORMED_PAUSE
        } else {
            LONGEST_PAUSE
        };
        self.next = (self.next * 2).min(longest);
        pause
    }
}
