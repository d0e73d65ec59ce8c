//! Which versions of a service the directory has listed lately.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::direct::back_ends::directory::BackEndEntry;
use crate::direct::stream_versions::software_version::{SoftwareVersion, VersionHash};
use crate::time::Time;

/// Versions that the directory lists, or has listed within the retention.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When each version was last listed; `None` while it is.
    versions: BTreeMap<Rc<SoftwareVersion>, Option<Time>>,
    /// Since when the directory is known; `None` before the first time.
    known_since: Option<Time>,
}

impl VersionHistory {
    /// Applies the directory as it is now. Returns the services that have more than one version from
    /// now on. Versions that were last listed longer than `retention` ago are forgotten.
    pub fn update<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a BackEndEntry>,
        retention: Duration,
        now: Time,
    ) -> Vec<String> {
        let listed: BTreeSet<(&str, &str)> = entries
            .map(|entry| (entry.service().unwrap_or_default(), entry.version()))
            .collect();
        if !listed.is_empty() {
            self.known_since.get_or_insert(now);
        }
        let services: BTreeSet<&str> = listed.iter().map(|(service, _)| *service).collect();
        let single: Vec<&str> = services
            .into_iter()
            .filter(|service| !self.has_several(service))
            .collect();
        for (version, last_listed) in &mut self.versions {
            if listed.contains(&(version.service.as_str(), version.version.as_str())) {
                *last_listed = None;
            } else {
                last_listed.get_or_insert(now);
            }
        }
        self.versions
            .retain(|_, last_listed| last_listed.is_none_or(|at| now.since(at) < retention));
        for (service, version) in listed {
            let version = SoftwareVersion {
                service: service.to_owned(),
                version: version.to_owned(),
            };
            self.versions.entry(Rc::new(version)).or_default();
        }
        single
            .into_iter()
            .filter(|service| self.has_several(service))
            .map(str::to_owned)
            .collect()
    }

    fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Rc<SoftwareVersion>> + 'a {
        let versions = self.versions.keys();
        versions.filter(move |version| version.service == service)
    }

    /// Whether the directory lists several versions of a service, or did within the retention.
    pub fn has_several(&self, service: &str) -> bool {
        self.of_service(service).count() > 1
    }

    /// The only version of a service that the directory has listed for as long as `period`; `None`
    /// if there were several, or the directory has not been known for as long.
    pub fn only_version(
        &self,
        service: &str,
        period: Duration,
        now: Time,
    ) -> Option<Rc<SoftwareVersion>> {
        let is_known_long = self.known_since.is_some_and(|at| now.since(at) >= period);
        let mut versions = self.of_service(service);
        let only = versions.next().filter(|_| is_known_long)?;
        versions.next().is_none().then(|| only.clone())
    }

    /// The version that a short form stands for, if it is known.
    pub fn resolve(&self, hash: VersionHash) -> Option<Rc<SoftwareVersion>> {
        let mut versions = self.versions.keys();
        versions.find(|version| version.hash() == hash).cloned()
    }
}
