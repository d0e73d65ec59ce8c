//! Which routers of a zone fetch a whole document from another zone when many start.
//!
//! Bytes between zones are dear, and one copy serves a zone. Each router that starts draws its turn,
//! and is spared it once a router of its own zone knows the document. The first of all draws has the
//! same distribution whatever the number of routers, so that one or a few fetch, and nobody is chosen.

use std::time::Duration;

/// Time by which turns are spread for each doubling of the chance that some router has begun: a
/// document of some hundred kilobytes arrives meanwhile.
const SPREAD: Duration = Duration::from_millis(100);

/// Longest time for which a router leaves it to others.
const LONGEST: Duration = Duration::from_millis(800);

/// Time for which a router leaves it to the others of its zone to fetch from another one; `routers` are
/// those of the zone, this one with them, and `draw` is even in 0..1.
pub fn zone_turn(routers: usize, draw: f64) -> Duration {
    let exponential = -(1.0 - draw).ln();
    let others = routers.saturating_sub(1);
    let doublings = (1.0 + exponential * others as f64).log2();
    SPREAD.mul_f64(doublings).min(LONGEST)
}
