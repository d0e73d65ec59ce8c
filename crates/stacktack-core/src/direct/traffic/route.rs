//! Routes, keys and limits: the traffic configuration of a direct router.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::selector::Requirement;
use crate::direct::back_ends::slow_start::SlowStart;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream of events; runs at most once.
    Stream,
    /// A stream that another back end may continue after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// One share of a route's traffic: back ends whose labels meet all conditions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Conditions on the back end's labels.
    pub back_ends: Vec<Requirement>,
    /// Share of the traffic, relative to the route's other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that it serves, in lower case without a port.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Where its traffic goes; never empty.
    pub targets: Vec<Target>,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer (the first event of a stream) is wanted.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of back ends that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// The target that a draw falls on, by weight.
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
    /// A table of routes; of two with the same host and prefix the last stays.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = RouteTable::default();
        for route in routes {
            table.insert(Arc::new(route));
        }
        table
    }

    /// Adds a route, in place of the one with its host and prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        let host = self.hosts.entry(route.host.clone()).or_default();
        if host.insert(route.path_prefix.clone(), route).is_none() {
            self.count += 1;
        }
    }

    /// Takes a route out.
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

    /// All routes, as they are shared.
    pub fn iter_shared(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// All routes.
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

    /// The route of the host whose prefix is the longest that begins the path.
    /// `host` may carry a port.
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

/// A tenant as keys name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Rank of its requests in place of the route's.
    pub priority: Option<u8>,
}

impl Tenant {
    /// Hash of the name, to count its requests by.
    pub fn name_hash(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }
}

/// Tenants by key.
#[derive(Clone, Debug, Default)]
pub struct ApiKeyTable {
    tenants: HashMap<String, Arc<Tenant>>,
}

impl ApiKeyTable {
    /// A ring of tenants and their keys.
    pub fn new(tenants: impl IntoIterator<Item = (Tenant, Vec<String>)>) -> Self {
        let mut ring = ApiKeyTable::default();
        for (tenant, keys) in tenants {
            let tenant = Arc::new(tenant);
            for key in keys {
                ring.insert(key, tenant.clone());
            }
        }
        ring
    }

    /// Gives a key to a tenant.
    pub fn insert(&mut self, key: String, tenant: Arc<Tenant>) {
        self.tenants.insert(key, tenant);
    }

    /// Takes a key away.
    pub fn remove(&mut self, key: &str) {
        self.tenants.remove(key);
    }

    /// All keys with their tenants, as they are shared.
    pub fn iter_shared(&self) -> impl Iterator<Item = (&str, &Arc<Tenant>)> {
        self.tenants
            .iter()
            .map(|(key, tenant)| (key.as_str(), tenant))
    }

    /// All tenants with their keys.
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
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a connection between requests.
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
    /// Version; a process only ever takes a higher one.
    pub version: u64,
    /// Revision of its source as of which it was stored; 0 if not known. Who has this
    /// version, from whomever, needs nothing older from the source.
    pub revision: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Tenants by key; `None` when requests need no key.
    pub keys: Option<ApiKeyTable>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// What cold back ends bear, for pools whose back ends start slowly.
    pub slow_starts: Vec<SlowStart>,
}

/// A configuration as routers hand it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDocument {
    /// Version.
    pub version: u64,
    /// Revision of its source as of which it was stored.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Keys with their tenants; `None` when requests need no key.
    pub keys: Option<Vec<(Tenant, String)>>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// What cold back ends bear.
    pub slow_starts: Vec<SlowStart>,
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
        }
    }
}
