//! Sources of beliefs: when to ask them, and what their silence says.
//!
//! - [`directory_source`]: when a back end that vanished from the directory is gone.
//! - [`freshness`]: how new what is known of a source is.
//! - [`staleness_budget`]: how the time in which news has to be acted upon is shared out.
//! - [`adaptive_timeout`]: when a source that does not answer counts as silent.
//! - [`update_batching`]: how long one of many routers gathers news of the store.
//! - [`watch`]: which of many routers asks a source.

pub mod adaptive_timeout;
pub mod directory_source;
pub mod freshness;
pub mod staleness_budget;
pub mod update_batching;
pub mod watch;
