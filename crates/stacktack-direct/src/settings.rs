//! Settings of a direct router, supplied by the platform adapter.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::direct::memory::MemoryBudget;
use stacktack_core::direct::request::budget::BudgetBound;
use stacktack_core::direct::rollout::exposure::ExposureBound;

/// Settings of one process. The adapter has validated them.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Unique name of the process.
    pub name: String,
    /// Zone of the process.
    pub zone: String,
    /// Address that accepts callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address for traffic between routers, and seed addresses of other routers.
    pub peers: PeerSettings,
    /// Bounds set by operators.
    pub bounds: Bounds,
    /// Memory for what is kept for slow readers; `None` sets no bound on the sum.
    pub memory: Option<MemoryBudget>,
}

impl DirectSettings {
    /// Names of the settings that differ in `other` and that apply at the start of a process only.
    pub fn fixed_settings_that_differ(&self, other: &DirectSettings) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != other.name),
            ("zone", self.zone != other.zone),
            ("callers", self.callers != other.callers),
            ("readiness", self.readiness != other.readiness),
            ("metrics", self.metrics != other.metrics),
            ("peers", self.peers.listen != other.peers.listen),
            ("memory", self.memory != other.memory),
        ];
        let differs = differs.into_iter().filter(|(_, differs)| *differs);
        differs.map(|(setting, _)| setting).collect()
    }
}

/// Source from which settings are reloaded while the process runs.
pub trait SettingsSource {
    /// Whether the settings may have changed since they were last read.
    fn may_have_changed(&self) -> bool;

    /// Reads and checks the settings.
    fn read(&self) -> Result<DirectSettings, Box<dyn Error>>;
}

/// Addresses for traffic between routers.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address of this router, for gossip datagrams and for fetches by peers.
    pub listen: SocketAddr,
    /// Seed addresses for discovery; they may be stale.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds set by operators.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum time between a stop signal and the end of the process.
    pub grace: Duration,
    /// Time after which a leaving back end must not get new requests.
    pub drain_timeout: Duration,
    /// Maximum time until a stored configuration is in force.
    pub config_apply: Duration,
    /// Retry budget of the fleet.
    pub retry_budget: BudgetBound,
    /// Maximum load of a back end that routing may cause on purpose, in multiples of the mean load.
    pub load_cap: f64,
    /// Bound on the requests that a new version may get before it is proved; `None` where roll-outs
    /// are not served.
    pub exposure: Option<ExposureBound>,
}
