//! Decisions of the stacktack router fleet.
//!
//! Nothing here does input or output, reads a clock or draws randomness of its
//! own: time and random numbers are arguments. The binaries and the emulator
//! run this same code; they differ in what carries the messages.
//!
//! - [`configuration`]: what operators write, its validation and its changes.
//! - [`placement`]: choice of a back end as a pure function over a snapshot.
//! - [`gate`]: an agent's admission, queue, attempts, drain.
//! - [`dispatch`]: a router's requests, offers, retries, fates.
//! - [`direct`]: a router that reaches back ends without agents.
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
pub mod retry;
pub mod time;
pub mod tokens;
