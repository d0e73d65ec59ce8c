//! Accepted changes of the configuration.
//!
//! A change is the difference between two documents. It carries only the
//! entries that differ, so that its size depends on the size of the edit and not
//! on the size of the fleet.

use serde::{Deserialize, Serialize};
use stacktack_wire::identity::ConfigurationVersion;
use stacktack_wire::message::EncodedChanges;
use thiserror::Error;

use super::document::{Adapter, BackEnd, Document, Limits, Model, Service, Tenant};
use super::selector::Selector;
use super::Configuration;

/// Entries of one kind that a change sets and removes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryChanges<T> {
    /// New or replaced entries.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// Names of removed entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

impl<T> Default for EntryChanges<T> {
    fn default() -> Self {
        EntryChanges {
            set: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T> EntryChanges<T> {
    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

/// Difference between two documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Difference {
    /// New limits; none if they stay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    /// Changed back ends.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub back_ends: EntryChanges<BackEnd>,
    /// Changed models.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub models: EntryChanges<Model>,
    /// Changed adapters.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub adapters: EntryChanges<Adapter>,
    /// Changed tenants.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub tenants: EntryChanges<Tenant>,
    /// Changed services.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub services: EntryChanges<Service>,
    /// Changed selectors.
    #[serde(skip_serializing_if = "EntryChanges::is_empty")]
    pub selectors: EntryChanges<Selector>,
}

/// One change, as stored in the row `config/change/{change id}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the configuration after the change.
    pub version: ConfigurationVersion,
    /// Name of the author.
    pub author: String,
    /// Unique identifier, by which a writer whose reply was lost recognises its
    /// own change.
    pub change_id: String,
    /// Difference from the previous version.
    pub difference: Difference,
}

/// Why encoded changes cannot be applied.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// Changes between the held version and the received ones are missing.
    #[error("changes apply to version {base}, but the held version is {held}")]
    WrongBase {
        /// Version that the next received change applies to.
        base: ConfigurationVersion,
        /// Version of the held configuration.
        held: ConfigurationVersion,
    },
    /// The bytes are not valid encoded changes.
    #[error("cannot decode changes: {0}")]
    Encoding(#[from] serde_json::Error),
}

trait Named {
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($kind:ty),*) => {
        $(impl Named for $kind {
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}

named!(BackEnd, Model, Adapter, Tenant, Service, Selector);

impl Difference {
    /// Computes the difference that turns `before` into `after`.
    pub fn between(before: &Document, after: &Document) -> Self {
        Difference {
            limits: (before.limits != after.limits).then(|| after.limits.clone()),
            back_ends: compare(&before.back_ends, &after.back_ends),
            models: compare(&before.models, &after.models),
            adapters: compare(&before.adapters, &after.adapters),
            tenants: compare(&before.tenants, &after.tenants),
            services: compare(&before.services, &after.services),
            selectors: compare(&before.selectors, &after.selectors),
        }
    }

    /// Whether the documents are equal.
    pub fn is_empty(&self) -> bool {
        *self == Difference::default()
    }

    /// Applies the difference to a document.
    pub fn apply(&self, document: &mut Document) {
        if let Some(limits) = &self.limits {
            document.limits = limits.clone();
        }
        merge(&mut document.back_ends, &self.back_ends);
        merge(&mut document.models, &self.models);
        merge(&mut document.adapters, &self.adapters);
        merge(&mut document.tenants, &self.tenants);
        merge(&mut document.services, &self.services);
        merge(&mut document.selectors, &self.selectors);
    }
}

fn compare<T: Named + Clone + PartialEq>(before: &[T], after: &[T]) -> EntryChanges<T> {
    let set = after
        .iter()
        .filter(|entry| !before.contains(entry))
        .cloned()
        .collect();
    let removed = before
        .iter()
        .filter(|entry| !after.iter().any(|other| other.name() == entry.name()))
        .map(|entry| entry.name().to_string())
        .collect();
    EntryChanges { set, removed }
}

fn merge<T: Named + Clone>(entries: &mut Vec<T>, changes: &EntryChanges<T>) {
    entries.retain(|entry| !changes.removed.iter().any(|name| name == entry.name()));
    for entry in &changes.set {
        match entries.iter_mut().find(|held| held.name() == entry.name()) {
            Some(held) => *held = entry.clone(),
            None => entries.push(entry.clone()),
        }
    }
}

/// Encodes consecutive changes for a message; none if there are no changes.
pub fn encode(changes: &[Change]) -> Option<EncodedChanges> {
    let first = changes.first()?;
    let last = changes.last()?;
    Some(EncodedChanges {
        base: ConfigurationVersion(first.version.0.saturating_sub(1)),
        target: last.version,
        bytes: serde_json::to_vec(changes).ok()?,
    })
}

impl Configuration {
    /// Returns the configuration after encoded changes, and the changes applied.
    /// Changes up to the held version are skipped, so the version never falls.
    pub fn with_changes(
        &self,
        encoded: &EncodedChanges,
    ) -> Result<(Configuration, Vec<Change>), ChangeError> {
        if encoded.base > self.version {
            return Err(ChangeError::WrongBase {
                base: encoded.base,
                held: self.version,
            });
        }
        let mut changes: Vec<Change> = serde_json::from_slice(&encoded.bytes)?;
        changes.retain(|change| change.version > self.version);
        let mut document = self.document.clone();
        let mut version = self.version;
        for change in &changes {
            if change.version.0 != version.0 + 1 {
                return Err(ChangeError::WrongBase {
                    base: ConfigurationVersion(change.version.0.saturating_sub(1)),
                    held: version,
                });
            }
            change.difference.apply(&mut document);
            version = change.version;
        }
        Ok((Configuration::new(version, document), changes))
    }
}
