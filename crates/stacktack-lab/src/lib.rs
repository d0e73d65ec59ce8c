//! Test and measurement tool: a demo fleet, load measurements, fault scenarios on virtual time,
//! exploration of random fault schedules, and capacity measurements. It is never deployed.

pub mod app;
pub mod caller;
pub mod capacity;
pub mod demo;
pub mod emulator;
pub mod error;
pub mod fleet;
pub mod load;
pub mod scenario;
pub mod usage;
