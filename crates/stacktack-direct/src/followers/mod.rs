//! Background tasks that keep this router's state in line with the store and with its peers.
//!
//! The tasks that follow the configuration and the directory call the same store and share a
//! [`StoreMonitor`]: what one of them learns about the store's latency and recovery counts for the
//! other. Further tasks fetch from peers that have newer revisions, read zone drains that the
//! configuration task missed, read and write verdicts on requests that crash back ends, discover
//! the other routers, and write the outcomes of roll-outs.

mod backoff;
mod configuration;
mod directory;
mod peers;
mod poll_schedule;
mod rollouts;
mod routers;
mod start_delay;
mod verdicts;
mod zone_drains;

pub use configuration::follow_configuration;
pub use directory::{apply_delta, follow_directory};
pub use peers::fetch_from_peers;
pub use rollouts::write_rollout_statuses;
pub use routers::discover_routers;
pub use verdicts::sync_verdicts;
pub use zone_drains::read_missed_zone_drains;
