//! Eligibility of back ends for a request by the configuration alone: served models and services,
//! drains and selectors.

use serde::{Deserialize, Serialize};
use stacktack_wire::identity::NodeId;
use stacktack_wire::message::Priority;

use super::document::{BackEnd, BackEndKind, Tenant};
use super::selector::{matches_all, Labels, Selector};
use super::Configuration;

/// Model or service that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// Name of a model or adapter.
    Model(String),
    /// Name of a service that is no model engine.
    Service(String),
}

/// Reason why the configuration makes a back end ineligible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// The back end does not serve the model or service.
    NotServed,
    /// The configuration marks the back end as drained.
    Drained,
    /// The selector of this name is the first that excludes the back end.
    Selector(String),
}

/// A back end that is not eligible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// The back end.
    pub node: NodeId,
    /// Why the back end is not eligible.
    pub reason: ExclusionReason,
}

/// All configured back ends, divided by whether the configuration lets them serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EligibilityResult {
    /// Eligible back ends, in configuration order.
    pub eligible: Vec<NodeId>,
    /// Back ends that are not eligible, in configuration order.
    pub cut: Vec<Cut>,
}

impl EligibilityResult {
    /// Sorted names of the selectors in `cut`, each once. For a back end that several selectors
    /// exclude, only the first of them counts.
    pub fn excluding_selectors(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .cut
            .iter()
            .filter_map(|cut| match &cut.reason {
                ExclusionReason::Selector(name) => Some(name.as_str()),
                ExclusionReason::NotServed | ExclusionReason::Drained => None,
            })
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}

/// Divides all configured back ends by whether the configuration lets them serve a request: by
/// served models and services, drains and selectors.
pub fn evaluate_eligibility(
    configuration: &Configuration,
    tenant: &Tenant,
    target: &Target,
    priority: Priority,
) -> EligibilityResult {
    let model_labels = target_labels(configuration, target);
    let applicable: Vec<&Selector> = configuration
        .document
        .selectors
        .iter()
        .filter(|selector| selector.applies_to(&tenant.labels, &model_labels, priority))
        .collect();
    let mut result = EligibilityResult::default();
    for back_end in &configuration.document.back_ends {
        let node = NodeId::of(&back_end.name);
        match exclusion_reason(configuration, back_end, target, &applicable) {
            None => result.eligible.push(node),
            Some(reason) => result.cut.push(Cut { node, reason }),
        }
    }
    result
}

fn target_labels(configuration: &Configuration, target: &Target) -> Labels {
    match target {
        Target::Model(name) => configuration
            .model_labels(name)
            .cloned()
            .unwrap_or_default(),
        Target::Service(_) => Labels::new(),
    }
}

fn exclusion_reason(
    configuration: &Configuration,
    back_end: &BackEnd,
    target: &Target,
    selectors: &[&Selector],
) -> Option<ExclusionReason> {
    if !serves(configuration, back_end, target) {
        return Some(ExclusionReason::NotServed);
    }
    if back_end.drained {
        return Some(ExclusionReason::Drained);
    }
    selectors
        .iter()
        .find(|selector| !matches_all(&selector.back_ends, &back_end.labels))
        .map(|selector| ExclusionReason::Selector(selector.name.clone()))
}

/// Whether a back end serves a model, adapter or service.
pub fn serves(configuration: &Configuration, back_end: &BackEnd, target: &Target) -> bool {
    match target {
        Target::Service(name) => {
            back_end.kind == BackEndKind::Service && back_end.service.as_ref() == Some(name)
        }
        Target::Model(name) => {
            let adapters = &configuration.document.adapters;
            let base = adapters
                .iter()
                .find(|adapter| &adapter.name == name)
                .map_or(name, |adapter| &adapter.model);
            back_end.kind == BackEndKind::Engine && back_end.models.contains(base)
        }
    }
}
