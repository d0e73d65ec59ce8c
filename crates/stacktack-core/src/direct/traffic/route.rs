//! The traffic configuration of a direct router: routes, API keys and caller limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::selector::Requirement;
use crate::direct::back_ends::slow_start::SlowStart;
use crate::direct::work::engine_pool::EnginePool;

/// How often a request of a route may run, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events; runs at most once.
    Stream,
    /// Answered by a stream of events that another back end may continue after the last
    /// event that was passed on.
    ResumableStream,
}

impl RouteKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// Back ends that get one share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Conditions on the back ends' labels, all of which must hold.
    pub back_ends: Vec<Requirement>,
    /// Share of the traffic, relative to the route's other targets.
    pub weight: u32,
}

/// Rules for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host of the requests, in lower case without a port.
    pub host: String,
    /// Prefix of the requests' paths; starts and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run, and whether its response is a stream.
    pub kind: RouteKind,
    /// Back ends that the traffic goes to; never empty.
    pub targets: Vec<Target>,
    /// Maximum time for which a request is held.
    pub timeout: Duration,
    /// Latency objective: time within which a response (the first event of a stream) is
    /// wanted.
    pub objective: Duration,
    /// Longest pause between the events of a stream at which it is still in time; zero if the
    /// route sets none.
    pub event_gap: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of back ends that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Index of the target that a uniform `draw` selects, in proportion to the weights.
    pub fn draw_target(&self, draw: u32) -> usize {
        let sum: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut left = u64::from(draw) % sum.max(1);
        for (index, target) in self.targets.iter().enumerate() {
            let weight = u64::from(target.weight);
            if left < weight {
                return index;
            }
            left -= weight;
        }
        0
    }
}

/// Routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    count: usize,
}

impl RouteTable {
    /// A table of these routes. Of several with the same host and prefix the last one wins.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = RouteTable::default();
        for route in routes {
            table.insert(Arc::new(route));
        }
        table
    }

    /// Adds a route, replacing the one with the same host and prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        let host = self.hosts.entry(route.host.clone()).or_default();
        if host.insert(route.path_prefix.clone(), route).is_none() {
            self.count += 1;
        }
    }

    /// Removes the route with exactly this host and prefix, if there is one.
    pub fn remove(&mut self, host: &str, path_prefix: &str) {
        let Some(prefixes) = self.hosts.get_mut(host) else {
            return;
        };
        if prefixes.remove(path_prefix).is_some() {
            self.count -= 1;
        }
        if prefixes.is_empty() {
            self.hosts.remove(host);
        }
    }

    /// The route with exactly this host and prefix.
    pub fn get(&self, host: &str, path_prefix: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.get(path_prefix)
    }

    /// All routes as shared pointers, in no particular order.
    pub fn iter_shared(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// All routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.iter_shared().map(Arc::as_ref)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The route of the host with the longest prefix of the path. `host` may include a port
    /// and upper-case letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            rest = &path[..slash];
        }
        None
    }
}

/// A tenant, identified by API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Priority of the tenant's requests in place of the route's; `None` keeps that of the
    /// route.
    pub priority: Option<u8>,
}

impl Tenant {
    /// Hash of the name, by which the tenant's requests are counted.
    pub fn name_hash(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }
}

/// Tenants by API key.
#[derive(Clone, Debug, Default)]
pub struct ApiKeyTable {
    tenants: HashMap<String, Arc<Tenant>>,
}

impl ApiKeyTable {
    /// A table of these tenants and their API keys.
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<String>)>) -> Self {
        let mut table = ApiKeyTable::default();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            for key in keys {
                table.insert(key, tenant.clone());
            }
        }
        table
    }

    /// Assigns a key to a tenant, in place of the key's tenant so far.
    pub fn insert(&mut self, key: String, tenant: Arc<Tenant>) {
        self.tenants.insert(key, tenant);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.tenants.remove(key);
    }

    /// All keys with their tenants as shared pointers, in no particular order.
    pub fn iter_shared(&self) -> impl Iterator<Item = (&str, &Arc<Tenant>)> {
        self.tenants
            .iter()
            .map(|(key, tenant)| (key.as_str(), tenant))
    }

    /// All tenants with their keys, in no particular order; a tenant occurs once for each of
    /// its keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Tenant, &str)> {
        self.iter_shared()
            .map(|(key, tenant)| (tenant.as_ref(), key))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(key)
    }
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the traffic configuration.
#[derive(Clone, Debug, Default)]
pub struct TrafficConfiguration {
    /// Version number; a process replaces a version only by a higher one.
    pub version: u64,
    /// Revision of the source at which this version was stored; 0 if unknown. A router that
    /// has this version, from the source or from a peer, needs nothing older from the
    /// source.
    pub revision: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Tenants by API key; `None` when requests need no key.
    pub keys: Option<ApiKeyTable>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Request rates that cold back ends can take, for pools whose back ends start slowly.
    pub slow_starts: Vec<SlowStart>,
    /// Engines of the pools that consist of engines.
    pub engine_pools: Vec<EnginePool>,
}

/// A whole configuration in the form in which routers send it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Version number.
    pub version: u64,
    /// Revision of the source at which this version was stored; 0 if unknown.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// API keys with their tenants; `None` when requests need no key.
    pub keys: Option<Vec<(Tenant, String)>>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Request rates that cold back ends can take, for pools whose back ends start slowly.
    pub slow_starts: Vec<SlowStart>,
    /// Engines of the pools that consist of engines; empty from a release that does not send them.
    #[serde(default)]
    pub engine_pools: Vec<EnginePool>,
}

impl From<&TrafficConfiguration> for TrafficDocument {
    fn from(configuration: &TrafficConfiguration) -> Self {
        let keys = configuration.keys.as_ref().map(|keys| {
            keys.iter()
                .map(|(tenant, key)| (tenant.clone(), key.to_owned()))
                .collect()
        });
        TrafficDocument {
            version: configuration.version,
            revision: configuration.revision,
            routes: configuration.routes.iter().cloned().collect(),
            keys,
            limits: configuration.limits,
            slow_starts: configuration.slow_starts.clone(),
            engine_pools: configuration.engine_pools.clone(),
        }
    }
}

impl From<TrafficDocument> for TrafficConfiguration {
    fn from(document: TrafficDocument) -> Self {
        let keys = document.keys.map(|keys| {
            ApiKeyTable::new(keys.into_iter().map(|(tenant, key)| (tenant, vec![key])))
        });
        TrafficConfiguration {
            version: document.version,
            revision: document.revision,
            routes: RouteTable::new(document.routes),
            keys,
            limits: document.limits,
            slow_starts: document.slow_starts,
            engine_pools: document.engine_pools,
        }
    }
}
