//! What changed from one version of the traffic configuration to a later one.
//!
//! A router that lags takes over changes, not documents: a version that adds one route
//! to 1,650 is some 300 bytes in place of 464 kB, which takes 0.4 s of a link of
//! 10 Mbit/s. A version is the same everywhere, so that changes from the version that
//! the other has give exactly the version that this router has.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::direct::back_ends::slow_start::SlowStart;
use crate::direct::traffic::route::{
    ApiKeyTable, CallerLimits, Route, RouteTable, Tenant, TrafficConfiguration,
};

/// Versions whose changes are remembered: at a change every 1.35 s those of the last
/// 40 s, more than other routers are usually away for.
const REMEMBERED_VERSIONS: usize = 32;

/// Routes and keys that are remembered over all of these versions, each some 300
/// bytes: beyond this the whole document is about as small.
const REMEMBERED_ENTRIES: usize = 2048;

/// Host and path prefix of a route.
type RouteKey = (String, String);

/// What changed from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// The version that they apply to.
    pub from: u64,
    /// The version that they lead to.
    pub version: u64,
    /// Revision of the source as of which that version was stored.
    pub revision: u64,
    /// Routes that are new or changed.
    pub routes: Vec<Route>,
    /// Host and path prefix of routes that are gone.
    pub dropped_routes: Vec<RouteKey>,
    /// Keys that are new or changed hands, with their tenants.
    pub keys: Vec<(Tenant, String)>,
    /// Keys that are gone.
    pub dropped_keys: Vec<String>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// What cold back ends bear.
    pub slow_starts: Vec<SlowStart>,
}

impl ConfigurationChanges {
    /// The configuration that they lead to; `None` if they apply to another version.
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
        if let Some(ring) = &mut keys {
            for key in &self.dropped_keys {
                ring.remove(key);
            }
            for (tenant, key) in self.keys {
                ring.insert(key, Arc::new(tenant));
            }
        }
        Some(TrafficConfiguration {
            version: self.version,
            revision: self.revision,
            routes,
            keys,
            limits: self.limits,
            slow_starts: self.slow_starts,
        })
    }
}

/// What one version changed; `None` for what it dropped.
#[derive(Clone, Debug)]
struct Step {
    from: u64,
    routes: BTreeMap<RouteKey, Option<Arc<Route>>>,
    keys: BTreeMap<String, Option<Arc<Tenant>>>,
}

impl Step {
    fn between(before: &TrafficConfiguration, after: &TrafficConfiguration) -> Self {
        let (old_keys, new_keys) = (before.keys.as_ref(), after.keys.as_ref());
        Step {
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
    let set = after
        .iter_shared()
        .filter(|route| before.get(&route.host, &route.path_prefix) != Some(route))
        .map(|route| (key(route), Some(route.clone())));
    let dropped = before
        .iter_shared()
        .filter(|route| after.get(&route.host, &route.path_prefix).is_none())
        .map(|route| (key(route), None));
    set.chain(dropped).collect()
}

fn changed_keys(
    before: &ApiKeyTable,
    after: &ApiKeyTable,
) -> BTreeMap<String, Option<Arc<Tenant>>> {
    let set = after
        .iter_shared()
        .filter(|(key, tenant)| before.tenant(key) != Some(tenant))
        .map(|(key, tenant)| (key.to_owned(), Some(tenant.clone())));
    let dropped = before
        .iter_shared()
        .filter(|(key, _)| after.tenant(key).is_none())
        .map(|(key, _)| (key.to_owned(), None));
    set.chain(dropped).collect()
}

/// What the last versions changed, to hand on.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    /// One step for each version that came into force, the newest last.
    steps: VecDeque<Step>,
}

impl ConfigurationHistory {
    /// A version came into force in place of another one.
    pub fn record(&mut self, before: &TrafficConfiguration, after: &TrafficConfiguration) {
        if before.keys.is_some() != after.keys.is_some() {
            // Whether keys are needed at all is not told as a change.
            self.steps.clear();
            return;
        }
        self.steps.push_back(Step::between(before, after));
        while self.steps.len() > REMEMBERED_VERSIONS || self.entries() > REMEMBERED_ENTRIES {
            self.steps.pop_front();
        }
    }

    fn entries(&self) -> usize {
        self.steps.iter().map(Step::entries).sum()
    }

    /// What changed from a version to the one in force; `None` when that version was
    /// not in force here or is too long ago.
    pub fn changes_from(
        &self,
        version: u64,
        in_force: &TrafficConfiguration,
    ) -> Option<ConfigurationChanges> {
        let first = self.steps.iter().position(|step| step.from == version)?;
        let mut routes = BTreeMap::new();
        let mut keys = BTreeMap::new();
        for step in self.steps.iter().skip(first) {
            routes.extend(&step.routes);
            keys.extend(&step.keys);
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
