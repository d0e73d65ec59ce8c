//! Stand-ins for the systems around stacktack: model engine, plain service and platform.
//!
//! Each has a model without I/O, which the emulator runs on virtual time, and a small HTTP server
//! around it for tests and the demo. The models record what really ran, separately from the code
//! of stacktack, so that checks can rely on these records.

pub mod engine;
pub mod platform;
pub mod response;
pub mod service;
