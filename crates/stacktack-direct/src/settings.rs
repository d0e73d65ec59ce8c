//! Settings of a direct router, as the adapter hands them over.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::direct::request::budget::BudgetBound;
use stacktack_core::direct::rollout::exposure::ExposureBound;

/// Settings of one process; checked by whoever makes them.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Unique name of the process.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where other routers send news, and addresses of a few of them.
    pub peers: PeerSettings,
    /// Bounds that operators set.
    pub bounds: Bounds,
}

/// Where settings come from while the process runs.
pub trait SettingsSource {
    /// Whether the settings may have changed since they were last read.
    fn may_have_changed(&self) -> bool;

    /// Reads and checks the settings.
    fn read(&self) -> Result<DirectSettings, Box<dyn Error>>;
}

/// Addresses for news between routers.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This router's own address.
    pub listen: SocketAddr,
    /// Addresses to begin with; they may be stale.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds that operators set.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between a stop signal and the end of the process at the latest.
    pub grace: Duration,
    /// Time after which a leaving back end must get no new work.
    pub drain_timeout: Duration,
    /// Time after which a stored configuration must be in force.
    pub config_apply: Duration,
    /// The retry budget of the fleet.
    pub retry_budget: BudgetBound,
    /// Load of a back end over the mean that is never exceeded on purpose.
    pub load_cap: f64,
    /// What a version that is rolled out gets before it is proved; `None` where roll-outs are
    /// not served.
    pub exposure: Option<ExposureBound>,
}
