//! The traffic configuration.
//!
//! - [`route`]: routes, API keys and caller limits.
//! - [`configuration_changes`]: deltas between versions.

pub mod configuration_changes;
pub mod route;
