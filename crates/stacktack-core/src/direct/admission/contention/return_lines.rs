//! Turns of refused callers: one line for each route and tenant.
//!
//! A line that is long holds up only its own callers. Lines move at equal rates, which together
//! make up what the pool can serve beside its usual callers.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::admission::overload::ReturnPace;
use crate::direct::admission::retry_after::latest_return;
use crate::direct::admission::AdmissionRequest;
use crate::time::Time;

/// Maximum number of lines; further callers share one.
const MAX_LINES: usize = 1024;

/// Route and tenant, as hashes of their names.
type LineKey = (u64, Option<u64>);

/// The lines of one pool at one router.
#[derive(Clone, Debug, Default)]
pub struct ReturnLines {
    /// Time of the last turn of each line.
    last_turns: HashMap<LineKey, Time>,
}

impl ReturnLines {
    /// Gives a caller the next turn of its line, at the earliest `in_time_after` from now. Returns
    /// the time after which it may come back; where that would be later than callers wait, a time
    /// close to the latest one. `spread`, uniform from 0 to 1, spreads those.
    pub fn schedule(
        &mut self,
        request: &AdmissionRequest<'_>,
        in_time_after: Duration,
        pace: &ReturnPace,
        spread: f64,
        now: Time,
    ) -> Duration {
        self.last_turns.retain(|_, turn| *turn > now);
        let key = self.key(request);
        let earliest = now + in_time_after.max(pace.not_before);
        let last_turn = self.last_turns.get(&key).copied();
        let lines = self.last_turns.len() + usize::from(last_turn.is_none());
        let interval = pace.interval * lines as u32;
        let turn = earliest.max(last_turn.unwrap_or(now) + interval);
        let max = request.max_retry_after;
        let wanted = turn.since(now);
        let kept = last_turn.unwrap_or(now);
        self.last_turns.insert(key, turn.min(now + max).max(kept));
        if wanted <= max {
            return wanted;
        }
        in_time_after.min(max).max(latest_return(max, spread))
    }

    fn key(&self, request: &AdmissionRequest<'_>) -> LineKey {
        let key = (xxh3_64(request.route.as_bytes()), request.tenant);
        if self.last_turns.len() < MAX_LINES || self.last_turns.contains_key(&key) {
            key
        } else {
            (0, None)
        }
    }
}
