//! One memory budget for what a router keeps for slow readers on both sides.
//!
//! - [`responses`]: bytes kept for callers, and which response is ended to make room.
//! - [`bodies`]: request bodies kept for back ends.
//! - [`under_way`]: bytes sent to each back end and perhaps not read there.

pub mod bodies;
pub mod responses;
pub mod under_way;

/// Part of the machine's memory that responses to callers may take.
const RESPONSES_DIVISOR: usize = 6;

/// Part of the machine's memory that request bodies may take.
const BODIES_DIVISOR: usize = 10;

/// Shares of a machine's memory, in bytes. What they leave is for the process itself, buffers of
/// its connections and the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes kept for callers: responses, and streams that are read ahead.
    pub responses: usize,
    /// Bytes kept for back ends: request bodies.
    pub bodies: usize,
}

impl MemoryBudget {
    /// Budget of a process that is killed above this many bytes.
    pub fn of_machine(bytes: usize) -> Self {
        MemoryBudget {
            responses: bytes / RESPONSES_DIVISOR,
            bodies: bytes / BODIES_DIVISOR,
        }
    }
}

/// Bytes from which a share is under pressure: back-pressure has to begin before it is spent.
fn pressure_mark(share: usize) -> usize {
    share / 4 * 3
}
