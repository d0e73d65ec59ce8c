//! Deltas between versions of the traffic configuration.
//!
//! A router with an older version gets the changes instead of the whole document: a version
//! that adds one route to 1,650 is some 300 bytes instead of 464 kB, which take 0.4 s on a
//! link of 10 Mbit/s. A version has the same content at all routers, so that the changes
//! from the version of the receiver give exactly the version of the sender.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::slow_start::SlowStart;
use crate::direct::traffic::route::{
    ApiKeyTable, CallerLimits, Route, RouteTable, Tenant, TrafficConfiguration,
};
use crate::direct::work::engine_pool::EnginePool;

/// Maximum number of versions whose changes are remembered: at a change every 1.35 s those
/// of the last 40 s, longer than other routers are usually away.
const MAX_VERSIONS: usize = 32;

/// Maximum number of changed routes and keys that are remembered over all versions, each
/// some 300 bytes: beyond this the whole document is about as small.
const MAX_ENTRIES: usize = 2048;

/// Host and path prefix of a route.
type RouteKey = (String, String);

/// Changes from one version to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// Version that the changes apply to.
    pub from: u64,
    /// Version that the changes lead to.
    pub version: u64,
    /// Revision of the source at which [`Self::version`] was stored; 0 if unknown.
    pub revision: u64,
    /// New and changed routes.
    pub routes: Vec<Route>,
    /// Host and path prefix of each removed route.
    pub dropped_routes: Vec<RouteKey>,
    /// API keys that are new or have another tenant, with their tenants.
    pub keys: Vec<(Tenant, String)>,
    /// Removed API keys.
    pub dropped_keys: Vec<String>,
    /// Caller limits of the later version.
    pub limits: CallerLimits,
    /// Slow starts of the later version.
    pub slow_starts: Vec<SlowStart>,
    /// Engines of the later version; empty from a release that does not send them.
    #[serde(default)]
    pub engine_pools: Vec<EnginePool>,
}

impl ConfigurationChanges {
    /// Applies the changes to `before`. Returns `None` if they apply to another version.
    pub fn apply_to(self, before: &TrafficConfiguration) -> Option<TrafficConfiguration> {
        if before.version != self.from {
            return None;
        }
        let mut routes = before.routes.clone();
        for (host, prefix) in &self.dropped_routes {
            routes.remove(host, prefix);
        }
        for route in self.routes {
            routes.insert(Arc::new(route));
        }
        let mut keys = before.keys.clone();
        if let Some(table) = &mut keys {
            for key in &self.dropped_keys {
                table.remove(key);
            }
            for (tenant, key) in self.keys {
                table.insert(key, Arc::new(tenant));
            }
        }
        Some(TrafficConfiguration {
            version: self.version,
            revision: self.revision,
            routes,
            keys,
            limits: self.limits,
            slow_starts: self.slow_starts,
            engine_pools: self.engine_pools,
        })
    }
}

/// Changes of one version; a value of `None` stands for a removed entry.
#[derive(Clone, Debug)]
struct VersionDelta {
    from: u64,
    routes: BTreeMap<RouteKey, Option<Arc<Route>>>,
    keys: BTreeMap<String, Option<Arc<Tenant>>>,
}

impl VersionDelta {
    fn between(before: &TrafficConfiguration, after: &TrafficConfiguration) -> Self {
        let (old_keys, new_keys) = (before.keys.as_ref(), after.keys.as_ref());
        VersionDelta {
            from: before.version,
            routes: changed_routes(&before.routes, &after.routes),
            keys: match (old_keys, new_keys) {
                (Some(old), Some(new)) => changed_keys(old, new),
                _ => BTreeMap::new(),
            },
        }
    }

    fn entries(&self) -> usize {
        self.routes.len() + self.keys.len()
    }
}

fn changed_routes(
    before: &RouteTable,
    after: &RouteTable,
) -> BTreeMap<RouteKey, Option<Arc<Route>>> {
    let key = |route: &Route| (route.host.clone(), route.path_prefix.clone());
    let changed = after
        .iter_shared()
        .filter(|route| before.get(&route.host, &route.path_prefix) != Some(route))
        .map(|route| (key(route), Some(route.clone())));
    let removed = before
        .iter_shared()
        .filter(|route| after.get(&route.host, &route.path_prefix).is_none())
        .map(|route| (key(route), None));
    changed.chain(removed).collect()
}

fn changed_keys(
    before: &ApiKeyTable,
    after: &ApiKeyTable,
) -> BTreeMap<String, Option<Arc<Tenant>>> {
    let changed = after
        .iter_shared()
        .filter(|(key, tenant)| before.tenant(key) != Some(tenant))
        .map(|(key, tenant)| (key.to_owned(), Some(tenant.clone())));
    let removed = before
        .iter_shared()
        .filter(|(key, _)| after.tenant(key).is_none())
        .map(|(key, _)| (key.to_owned(), None));
    changed.chain(removed).collect()
}

/// Changes of the latest versions, from which routers with an older version are updated.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    /// One delta for each version that came into force, the newest last.
    deltas: VecDeque<VersionDelta>,
}

impl ConfigurationHistory {
    /// Version `after` came into force in place of `before`.
    pub fn record(&mut self, before: &TrafficConfiguration, after: &TrafficConfiguration) {
        if before.keys.is_some() != after.keys.is_some() {
            // Changes cannot express whether API keys are required at all.
            self.deltas.clear();
            return;
        }
        self.deltas.push_back(VersionDelta::between(before, after));
        while self.deltas.len() > MAX_VERSIONS || self.entries() > MAX_ENTRIES {
            self.deltas.pop_front();
        }
    }

    fn entries(&self) -> usize {
        self.deltas.iter().map(VersionDelta::entries).sum()
    }

    /// Changes from `version` to the version in force; `None` when `version` was not in
    /// force here or is no longer remembered.
    pub fn changes_from(
        &self,
        version: u64,
        in_force: &TrafficConfiguration,
    ) -> Option<ConfigurationChanges> {
        let first = self.deltas.iter().position(|delta| delta.from == version)?;
        let mut routes = BTreeMap::new();
        let mut keys = BTreeMap::new();
        for delta in self.deltas.iter().skip(first) {
            routes.extend(&delta.routes);
            keys.extend(&delta.keys);
        }
        let mut changes = ConfigurationChanges {
            from: version,
            version: in_force.version,
            revision: in_force.revision,
            routes: Vec::new(),
            dropped_routes: Vec::new(),
            keys: Vec::new(),
            dropped_keys: Vec::new(),
            limits: in_force.limits,
            slow_starts: in_force.slow_starts.clone(),
            engine_pools: in_force.engine_pools.clone(),
        };
        for (key, route) in routes {
            match route {
                Some(route) => changes.routes.push(Route::clone(route)),
                None => changes.dropped_routes.push(key.clone()),
            }
        }
        for (key, tenant) in keys {
            match tenant {
                Some(tenant) => changes.keys.push((Tenant::clone(tenant), key.clone())),
                None => changes.dropped_keys.push(key.clone()),
            }
        }
        Some(changes)
    }
}
