//! Stand-ins for what stacktack meets: model engine, plain service, platform.
//!
//! Each has a model that does no input or output, used by the emulator on
//! virtual time, and a small HTTP server around it for tests and the demo. The
//! observers that proofs rely on live in the models, apart from the product.

pub mod engine;
pub mod platform;
pub mod response;
pub mod service;
