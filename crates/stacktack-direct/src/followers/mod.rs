//! Followers of the configuration and of the directory: when to ask again and
//! what to believe.
//!
//! Two ask the same store, so that what one of them learns of it counts for the other:
//! how late it answers, and that it is back. A third asks peers that know more,
//! a fourth reads drains of zones that the first passed over, a fifth keeps verdicts on requests
//! that end back ends, a sixth learns of the other routers, a seventh writes the outcomes of
//! roll-outs.

mod configuration;
mod directory;
mod looks;
mod pause;
mod peers;
mod rollouts;
mod routers;
mod start;
mod store_monitor;
mod verdicts;
mod zone_drains;

pub use configuration::follow_configuration;
pub use directory::{apply_delta, follow_directory};
pub use peers::fetch_from_peers;
pub use rollouts::write_rollout_statuses;
pub use routers::discover_routers;
pub use store_monitor::StoreMonitor;
pub use verdicts::sync_verdicts;
pub use zone_drains::read_missed_zone_drains;
