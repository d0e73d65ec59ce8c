//! The present overload of a pool: how long it may last, and what the pool can serve beside its
//! usual load.

use std::time::Duration;

use crate::direct::admission::rate::{DecayingMean, DecayingRate};
use crate::time::Time;

/// Time without a refusal after which an overload has ended. Load reports are up to that old.
const OVERLOAD_GAP: Duration = Duration::from_secs(1);

/// Time constant of the present rate of tries.
const PRESENT_WINDOW: Duration = Duration::from_secs(2);

/// Time constant of the usual rate of tries.
const USUAL_WINDOW: Duration = Duration::from_secs(20);

/// Time between two turns where nobody can be served beside the usual callers; no caller waits that
/// long.
const MAX_INTERVAL: Duration = Duration::from_secs(3600);

/// How soon callers that were refused can be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnPace {
    /// Time before which it is of no use to come back.
    pub not_before: Duration,
    /// Time between two callers that can be served from then on.
    pub interval: Duration,
}

/// Overload of one pool at one router.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    tries: DecayingRate,
    usual_tries: DecayingMean,
    /// Latest mean of `usual_tries`, per second; `None` until there is one.
    usual_rate: Option<f64>,
    /// First and last refusal of the present overload.
    refused: Option<(Time, Time)>,
}

impl Default for Overload {
    fn default() -> Self {
        Overload {
            tries: DecayingRate::new(PRESENT_WINDOW),
            usual_tries: DecayingMean::new(USUAL_WINDOW),
            usual_rate: None,
            refused: None,
        }
    }
}

impl Overload {
    /// A try came, whatever is decided on it.
    pub fn on_try(&mut self, now: Time) {
        self.tries.count(1.0, now);
        if self.since(now).is_none() {
            let rate = self.usual_tries.update(self.tries.per_second(now), now);
            self.usual_rate = Some(rate);
        }
    }

    /// A try was refused.
    pub fn on_refused(&mut self, now: Time) {
        let since = self.since(now).unwrap_or(now);
        self.refused = Some((since, now));
    }

    /// How soon refused callers can be served by a pool to which the router may send
    /// `admitted_per_second` requests, each of which occupies a slot for `hold`.
    ///
    /// An overload that has lasted for a while is expected to last as long again, and at least
    /// until reports can show its end; then slots have to become free. After it, the pool serves
    /// refused callers beside the usual ones. A router that never saw the usual load expects to
    /// serve none.
    pub fn return_pace(&self, admitted_per_second: f64, hold: Duration, now: Time) -> ReturnPace {
        let lasted = self.since(now).map_or(Duration::ZERO, |at| now.since(at));
        let usual = self.usual_rate.unwrap_or(admitted_per_second);
        let left_per_second = (admitted_per_second - usual).max(0.0);
        let interval = Duration::try_from_secs_f64(1.0 / left_per_second);
        ReturnPace {
            not_before: lasted.max(OVERLOAD_GAP) + hold,
            interval: interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL),
        }
    }

    /// First refusal of the present overload; `None` if there is none.
    fn since(&self, now: Time) -> Option<Time> {
        let (since, last) = self.refused?;
        (now.since(last) < OVERLOAD_GAP).then_some(since)
    }
}
