//! A caller's draw: its rank among the callers that compete for a full pool.
//!
//! If every try were drawn anew, callers that repeat at once would be served more often than those
//! that wait as they were told. So a draw follows from the request and the time: all tries of one
//! caller within a period have the same draw, at any router, and the next period draws anew. No
//! caller is told to come back before that.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Part of its time for which a caller's draw lasts at most. Callers come back within a third of
/// their time, and need another draw by then.
const MAX_PERIOD_DIVISOR: u32 = 8;

/// A caller's draw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draw {
    /// Uniform from 0 to 1; lower values are admitted first.
    pub value: f64,
    /// Time until the caller draws anew.
    pub valid_for: Duration,
}

impl Draw {
    /// The draw of a caller. `request` is a hash of what stays the same in all its tries,
    /// `remaining` the time for which the caller still waits, and `time_of_day` the time since a
    /// moment that is the same at all routers. Routers whose clocks differ draw differently, which
    /// gives a caller another draw and not more.
    pub fn of(request: u64, remaining: Duration, time_of_day: Duration) -> Self {
        let period = period_ms(remaining);
        // Callers draw anew at different moments.
        let at = u128::from(request % period) + time_of_day.as_millis();
        let number = (at / u128::from(period)) as u64;
        let left = period - (at % u128::from(period)) as u64;
        let hash = xxh3_64(&[request, period, number].map(u64::to_le_bytes).concat());
        Draw {
            value: hash as f64 / (u64::MAX as f64 + 1.0),
            valid_for: Duration::from_millis(left),
        }
    }
}

/// Power of two of milliseconds for which a draw lasts: the time that a caller has left differs a
/// little between tries at short intervals, and their draws must not.
fn period_ms(remaining: Duration) -> u64 {
    let max = (remaining / MAX_PERIOD_DIVISOR).as_millis() as u64;
    1 << max.max(1).ilog2()
}
