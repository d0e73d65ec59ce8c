//! Followers of the configuration and of the directory: when to ask again and
//! what to believe.
//!
//! Two ask the same store, so that what one of them learns of it counts for the other:
//! how late it answers, and that it is back. A third asks peers that know more,
//! a fourth reads drains of zones that the first passed over, a fifth keeps verdicts on requests
//! that end back ends, a sixth learns of the other routers, a seventh writes the outcomes of
//! roll-outs.

mod configuration;
mod dependency;
mod directory;
mod looks;
mod pause;
mod peers;
mod rollouts;
mod routers;
mod start;
mod verdicts;
mod zone_drains;

pub use configuration::follow_configuration;
pub use dependency::Dependency;
pub use directory::{follow_directory, take_delta};
pub use peers::follow_peers;
pub use rollouts::follow_rollouts;
pub use routers::follow_routers;
pub use verdicts::follow_verdicts;
pub use zone_drains::follow_zone_drains;
