//! The configuration document that operators write.
//!
//! `docs/configuration.md` lists the unit, default and range of each field.

use serde::{Deserialize, Serialize};

use super::selector::{Labels, Selector};

/// Limits that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Highest load of a back end as a multiple of the mean; 1.05 to 10.
    pub load_cap: f64,
    /// Maximum number of requests that wait at one agent; 0 to 10,000.
    pub queue_length: u32,
    /// Largest request body, in bytes; 1 to 8,388,608.
    pub body_bytes: u64,
    /// Number of offers of one request, after which the least loaded back end
    /// seen gets a last-resort offer; 1 to 10.
    pub offers: u32,
    /// Milliseconds without a message about an attempt, after which its router
    /// asks the agent for its fate; 100 to 60,000.
    pub silence_ms: u64,
    /// Seconds for which an agent remembers the fate of an ended attempt; 10 to
    /// 3,600.
    pub fate_seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            load_cap: 1.25,
            queue_length: 64,
            body_bytes: 1_048_576,
            offers: 3,
            silence_ms: 2_000,
            fate_seconds: 600,
        }
    }
}

/// Kind of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackEndKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A back end and its agent, which share a name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEnd {
    /// Unique name.
    pub name: String,
    /// Engine or plain service.
    pub kind: BackEndKind,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Relative amount of work that the back end can do, compared with others;
    /// 0.001 to 1,000.
    #[serde(default = "one")]
    pub capacity: f64,
    /// Maximum number of requests that run at once; 1 to 10,000.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Models that an engine serves; unused for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
    /// Service that the back end belongs to; none for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether the back end itself rejects orders of an older lease epoch.
    #[serde(default = "yes")]
    pub checks_fence: bool,
    /// Whether operators have taken the back end out of service.
    #[serde(default)]
    pub drained: bool,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn default_concurrency() -> u32 {
    32
}

/// A model that callers can request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name, as callers send it.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
}

/// An adapter of a model; callers request it like a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Unique name, as callers send it; models and adapters share one namespace.
    pub name: String,
    /// Name of the adapted model.
    pub model: String,
    /// Labels that selectors match, in addition to the labels of the model; on
    /// equal keys the adapter's value applies.
    #[serde(default)]
    pub labels: Labels,
}

/// A tenant, to which callers belong by their key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// SHA-256 of each accepted key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Relative share of a contended back end, compared with other tenants;
    /// 0.001 to 1,000.
    #[serde(default = "one")]
    pub weight: f64,
    /// Maximum number of the tenant's requests that run or wait at one agent; 1
    /// to 10,000.
    #[serde(default = "default_tenant_concurrency")]
    pub concurrency_per_back_end: u32,
}

fn default_tenant_concurrency() -> u32 {
    10_000
}

/// A plain service, which several back ends may provide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, as in `/services/{name}/`.
    pub name: String,
    /// Whether calls with side effects may be retried.
    #[serde(default)]
    pub repeatable: bool,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Fleet-wide limits.
    pub limits: Limits,
    /// All back ends.
    #[serde(rename = "back_end")]
    pub back_ends: Vec<BackEnd>,
    /// All models.
    #[serde(rename = "model")]
    pub models: Vec<Model>,
    /// All adapters.
    #[serde(rename = "adapter")]
    pub adapters: Vec<Adapter>,
    /// All tenants.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// All plain services.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// All selectors.
    #[serde(rename = "selector")]
    pub selectors: Vec<Selector>,
}
