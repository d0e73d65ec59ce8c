//! Configuration of the fleet: documents, their changes, and their storage.
//!
//! Operators write a [`Document`], which is parsed and validated as a whole. A
//! [`Configuration`] is an accepted document with its version and indexes;
//! processes hold it behind an `Arc` and replace it only by a newer version.

pub mod apply;
pub mod change;
pub mod document;
pub mod eligibility;
pub mod selector;
pub mod store;
pub mod validation;

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use stacktack_wire::identity::{ConfigurationVersion, NodeId, TenantId};

use document::{BackEnd, Document, Service, Tenant};
use selector::Labels;

/// An accepted document with its version and indexes.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version under which the document was accepted.
    pub version: ConfigurationVersion,
    /// The accepted document.
    pub document: Document,
    back_end_index: HashMap<NodeId, usize>,
    tenant_index: HashMap<TenantId, usize>,
    key_index: HashMap<String, usize>,
    model_labels: HashMap<String, Labels>,
}

impl Configuration {
    /// Indexes an accepted document.
    pub fn new(version: ConfigurationVersion, document: Document) -> Self {
        let back_end_index = index_by(&document.back_ends, |entry| NodeId::of(&entry.name));
        let tenant_index = index_by(&document.tenants, |entry| TenantId::of(&entry.name));
        let key_index = index_keys(&document.tenants);
        let model_labels = index_models(&document);
        Configuration {
            version,
            document,
            back_end_index,
            tenant_index,
            key_index,
            model_labels,
        }
    }

    /// The empty configuration, for a process that has not received one yet.
    pub fn empty() -> Arc<Self> {
        Arc::new(Configuration::default())
    }

    /// Looks up a back end by its identifier.
    pub fn back_end(&self, node: NodeId) -> Option<&BackEnd> {
        let position = *self.back_end_index.get(&node)?;
        self.document.back_ends.get(position)
    }

    /// Looks up a tenant by its identifier.
    pub fn tenant(&self, tenant: TenantId) -> Option<&Tenant> {
        let position = *self.tenant_index.get(&tenant)?;
        self.document.tenants.get(position)
    }

    /// Looks up a tenant by one of its keys.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Tenant> {
        let position = *self.key_index.get(&hash_key(key))?;
        self.document.tenants.get(position)
    }

    /// Labels of a model or adapter, an adapter's including those of its model;
    /// none if the name is not configured.
    pub fn model_labels(&self, name: &str) -> Option<&Labels> {
        self.model_labels.get(name)
    }

    /// Looks up a plain service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Name of a back end for display; its identifier if it is not configured.
    pub fn node_name(&self, node: NodeId) -> String {
        match self.back_end(node) {
            Some(back_end) => back_end.name.clone(),
            None => node.to_string(),
        }
    }
}

/// SHA-256 of a tenant's key in lower-case hexadecimal.
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn index_by<T, K: std::hash::Hash + Eq>(
    entries: &[T],
    key_of: impl Fn(&T) -> K,
) -> HashMap<K, usize> {
    entries
        .iter()
        .enumerate()
        .map(|(position, entry)| (key_of(entry), position))
        .collect()
}

fn index_keys(tenants: &[Tenant]) -> HashMap<String, usize> {
    let mut index = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        for hash in &tenant.key_hashes {
            index.insert(hash.to_ascii_lowercase(), position);
        }
    }
    index
}

fn index_models(document: &Document) -> HashMap<String, Labels> {
    let mut index: HashMap<String, Labels> = document
        .models
        .iter()
        .map(|model| (model.name.clone(), model.labels.clone()))
        .collect();
    for adapter in &document.adapters {
        let mut labels = index.get(&adapter.model).cloned().unwrap_or_default();
        labels.extend(adapter.labels.clone());
        index.insert(adapter.name.clone(), labels);
    }
    index
}
