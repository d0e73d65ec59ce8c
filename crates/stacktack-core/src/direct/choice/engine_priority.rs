//! Priority of a request at an engine that is limited by prompts.
//!
//! An engine reads the prompts of waiting requests by priority, and while it reads a long one, all
//! others wait. In the order of urgency alone, a short prompt waits behind long ones of more urgent
//! kinds and misses its objective, although it would hardly have delayed them. Requests are
//! therefore ordered by the time that their prompts take to read, in a few classes, and by urgency
//! within a class. A long prompt that the engine has cached counts as short.

use std::time::Duration;

/// Short prompts that fit into an objective: one of them does not make a request behind it late.
const SHORT_PER_OBJECTIVE: u32 = 10;

/// Medium prompts that fit into an objective.
const MEDIUM_PER_OBJECTIVE: u32 = 3;

/// Number of urgencies that are told apart within a class; less urgent requests count as the last.
const URGENCIES: u8 = 3;

/// Priority of a request with this reading time at an engine, where 0 is read first.
/// `shortest_objective` is the shortest one of the requests that may wait there; `urgency` is the
/// priority of the request's kind, where 0 is the most urgent.
pub fn engine_priority(reading: Duration, shortest_objective: Duration, urgency: u8) -> u8 {
    let class = if reading <= shortest_objective / SHORT_PER_OBJECTIVE {
        0
    } else if reading <= shortest_objective / MEDIUM_PER_OBJECTIVE {
        1
    } else {
        2
    };
    class * URGENCIES + urgency.min(URGENCIES - 1)
}
