//! Decision logic of the stacktack router fleet.
//!
//! This crate does no input or output, reads no clock and has no source of
//! randomness of its own: times and random numbers are arguments. The binaries
//! and the emulator run the same code and differ only in the transport of
//! messages.
//!
//! - [`configuration`]: documents that operators write, their validation and
//!   their changes.
//! - [`placement`]: choice of a back end as a pure function of a snapshot.
//! - [`gate`]: admission control, queue, attempts and draining at an agent.
//! - [`dispatch`]: requests, offers, retries and fate queries at a router.
//! - [`direct`]: a router that reaches back ends without agents.
//! - [`response_framing`]: where the body of a back end's response ends.
//! - [`control`]: membership, gossip within a byte budget, configuration sync.
//! - [`chart`]: interpreter of the state charts in `charts/`.

pub mod chart;
pub mod configuration;
pub mod control;
pub mod direct;
pub mod dispatch;
pub mod gate;
pub mod lease;
pub mod ledger;
pub mod loads;
pub mod placement;
pub mod problem;
pub mod protection;
pub mod response_framing;
pub mod retry;
pub mod time;
pub mod tokens;
