//! Stores that routers poll for the directory and the configuration: when to poll them, and what
//! follows when they do not answer.
//!
//! - [`directory_source`]: when a back end that is missing from the directory counts as removed.
//! - [`freshness`]: age of the knowledge of a source.
//! - [`staleness_budget`]: division of the time in which a change has to take effect.
//! - [`adaptive_timeout`]: when a source that does not answer counts as silent.
//! - [`update_batching`]: how long a router lets updates collect at the store before it asks again.
//! - [`watch`]: which router of a fleet polls a source.

pub mod adaptive_timeout;
pub mod directory_source;
pub mod freshness;
pub mod staleness_budget;
pub mod update_batching;
pub mod watch;
