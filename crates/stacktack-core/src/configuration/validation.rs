//! Validation of configuration documents, which reports all invalid fields at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use stacktack_wire::identity::{NodeId, TenantId};
use thiserror::Error;

use super::document::{BackEnd, BackEndKind, Document};
use super::selector::Requirement;

/// An invalid field of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// Path of the field, for example `back_end.engine-1.capacity`.
    pub field: String,
    /// Value in the document.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} is not allowed; {}",
            self.field, self.value, self.allowed
        )
    }
}

/// Why a document is not accepted.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The text is not a TOML document of the expected structure.
    #[error("cannot parse configuration: {0}")]
    Parse(#[from] toml::de::Error),
    /// Fields are out of range, refer to missing entries, or are not unique.
    #[error("configuration has {} invalid field(s): {}", .0.len(), join(.0))]
    InvalidFields(Vec<InvalidField>),
}

fn join(errors: &[InvalidField]) -> String {
    let lines: Vec<String> = errors.iter().map(InvalidField::to_string).collect();
    lines.join("; ")
}

/// Parses and validates a document.
pub fn parse(text: &str) -> Result<Document, DocumentError> {
    let document: Document = toml::from_str(text)?;
    let errors = validate(&document);
    if errors.is_empty() {
        Ok(document)
    } else {
        Err(DocumentError::InvalidFields(errors))
    }
}

/// Returns all invalid fields of a document.
pub fn validate(document: &Document) -> Vec<InvalidField> {
    let mut validator = Validator::default();
    validator.check_limits(document);
    validator.check_names(document);
    for back_end in &document.back_ends {
        validator.check_back_end(document, back_end);
    }
    validator.check_adapters(document);
    validator.check_tenants(document);
    validator.check_selectors(document);
    validator.errors
}

#[derive(Default)]
struct Validator {
    errors: Vec<InvalidField>,
}

impl Validator {
    fn reject(&mut self, field: String, value: impl fmt::Display, allowed: &str) {
        self.errors.push(InvalidField {
            field,
            value: value.to_string(),
            allowed: allowed.to_string(),
        });
    }

    fn check_range<T: PartialOrd + fmt::Display + Copy>(
        &mut self,
        field: String,
        value: T,
        low: T,
        high: T,
    ) {
        if !(value >= low && value <= high) {
            self.reject(field, value, &format!("allowed is {low} to {high}"));
        }
    }

    fn check_limits(&mut self, document: &Document) {
        let limits = &document.limits;
        self.check_range("limits.load_cap".into(), limits.load_cap, 1.05, 10.0);
        self.check_range("limits.queue_length".into(), limits.queue_length, 0, 10_000);
        self.check_range("limits.body_bytes".into(), limits.body_bytes, 1, 8_388_608);
        self.check_range("limits.offers".into(), limits.offers, 1, 10);
        self.check_range("limits.silence_ms".into(), limits.silence_ms, 100, 60_000);
        self.check_range("limits.fate_seconds".into(), limits.fate_seconds, 10, 3_600);
    }

    fn check_names(&mut self, document: &Document) {
        let back_ends = document.back_ends.iter().map(|entry| entry.name.as_str());
        self.check_unique("back_end", back_ends.clone());
        self.check_distinct_ids("back_end", back_ends, |name| u64::from(NodeId::of(name).0));
        let tenants = document.tenants.iter().map(|entry| entry.name.as_str());
        self.check_unique("tenant", tenants.clone());
        self.check_distinct_ids("tenant", tenants, |name| u64::from(TenantId::of(name).0));
        let models = document.models.iter().map(|entry| entry.name.as_str());
        let adapters = document.adapters.iter().map(|entry| entry.name.as_str());
        self.check_unique("model", models.chain(adapters));
        self.check_unique(
            "service",
            document.services.iter().map(|entry| entry.name.as_str()),
        );
        self.check_unique(
            "selector",
            document.selectors.iter().map(|entry| entry.name.as_str()),
        );
    }

    fn check_unique<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            if name.is_empty() {
                self.reject(
                    format!("{kind}.name"),
                    "\"\"",
                    "allowed is a non-empty name",
                );
            }
            if !seen.insert(name) {
                self.reject(format!("{kind}.name"), name, "allowed is each name once");
            }
        }
    }

    fn check_distinct_ids<'a>(
        &mut self,
        kind: &str,
        names: impl Iterator<Item = &'a str>,
        identifier: impl Fn(&str) -> u64,
    ) {
        let mut seen: BTreeMap<u64, &str> = BTreeMap::new();
        for name in names {
            let earlier = seen.insert(identifier(name), name);
            if let Some(earlier) = earlier.filter(|earlier| *earlier != name) {
                let allowed =
                    format!("its identifier is that of {earlier}; allowed is another name");
                self.reject(format!("{kind}.name"), name, &allowed);
            }
        }
    }

    fn check_back_end(&mut self, document: &Document, back_end: &BackEnd) {
        let field = |name: &str| format!("back_end.{}.{name}", back_end.name);
        self.check_range(field("capacity"), back_end.capacity, 0.001, 1_000.0);
        self.check_range(field("concurrency"), back_end.concurrency, 1, 10_000);
        for model in &back_end.models {
            if !document.models.iter().any(|entry| &entry.name == model) {
                self.reject(field("models"), model, "allowed is a configured model");
            }
        }
        match (back_end.kind, &back_end.service) {
            (BackEndKind::Engine, None) => {}
            (BackEndKind::Engine, Some(service)) => {
                self.reject(
                    field("service"),
                    service,
                    "allowed only where kind is service",
                );
            }
            (BackEndKind::Service, None) => {
                self.reject(
                    field("service"),
                    "absent",
                    "allowed is a configured service",
                );
            }
            (BackEndKind::Service, Some(service)) => {
                if !document.services.iter().any(|entry| &entry.name == service) {
                    self.reject(field("service"), service, "allowed is a configured service");
                }
            }
        }
    }

    fn check_adapters(&mut self, document: &Document) {
        for adapter in &document.adapters {
            if !document
                .models
                .iter()
                .any(|entry| entry.name == adapter.model)
            {
                let field = format!("adapter.{}.model", adapter.name);
                self.reject(field, &adapter.model, "allowed is a configured model");
            }
        }
    }

    fn check_tenants(&mut self, document: &Document) {
        let mut owners: BTreeMap<String, &str> = BTreeMap::new();
        for tenant in &document.tenants {
            let field = |name: &str| format!("tenant.{}.{name}", tenant.name);
            self.check_range(field("weight"), tenant.weight, 0.001, 1_000.0);
            let concurrency = tenant.concurrency_per_back_end;
            self.check_range(field("concurrency_per_back_end"), concurrency, 1, 10_000);
            for hash in &tenant.key_hashes {
                let hexadecimal = hash.chars().all(|digit| digit.is_ascii_hexdigit());
                if hash.len() != 64 || !hexadecimal {
                    let allowed = "allowed is a SHA-256 of 64 hexadecimal digits";
                    self.reject(field("key_hashes"), hash, allowed);
                }
                let owner = owners.insert(hash.to_ascii_lowercase(), &tenant.name);
                if owner.is_some() {
                    self.reject(field("key_hashes"), hash, "allowed is each key once");
                }
            }
        }
    }

    fn check_selectors(&mut self, document: &Document) {
        for selector in &document.selectors {
            let name = &selector.name;
            let parts = [
                ("traffic.tenant", &selector.traffic.tenant),
                ("traffic.model", &selector.traffic.model),
                ("back_ends", &selector.back_ends),
            ];
            for (part, requirements) in parts {
                self.check_requirements(&format!("selector.{name}.{part}"), requirements);
            }
        }
    }

    fn check_requirements(&mut self, field: &str, requirements: &[Requirement]) {
        for requirement in requirements {
            if requirement.test_count() != 1 {
                let allowed =
                    "allowed is exactly one of equals, not_equals, in, not_in, exists for a key";
                self.reject(
                    format!("{field}.{}", requirement.key),
                    requirement.test_count(),
                    allowed,
                );
            }
        }
    }
}
