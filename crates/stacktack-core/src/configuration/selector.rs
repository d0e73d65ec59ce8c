//! Label selectors.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stacktack_wire::message::Priority;

/// Labels of an object: key to value.
pub type Labels = BTreeMap<String, String>;

/// One condition on one label. Exactly one of the tests has to be given;
/// [`Requirement::test_count`] is checked by validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Label key.
    pub key: String,
    /// The label's value has to be this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub equals: Option<String>,
    /// The label's value must not be this one; an absent label passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_equals: Option<String>,
    /// The label's value has to be one of these.
    #[serde(default, rename = "in", skip_serializing_if = "Option::is_none")]
    pub one_of: Option<Vec<String>>,
    /// The label's value must be none of these; an absent label passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_in: Option<Vec<String>>,
    /// The label has to be present (true) or absent (false).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exists: Option<bool>,
}

impl Requirement {
    /// Number of tests that are given.
    pub fn test_count(&self) -> usize {
        usize::from(self.equals.is_some())
            + usize::from(self.not_equals.is_some())
            + usize::from(self.one_of.is_some())
            + usize::from(self.not_in.is_some())
            + usize::from(self.exists.is_some())
    }

    /// Whether labels meet the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        let equals = self.equals.as_ref().is_none_or(|want| value == Some(want));
        let differs = self
            .not_equals
            .as_ref()
            .is_none_or(|unwanted| value != Some(unwanted));
        let inside = self
            .one_of
            .as_ref()
            .is_none_or(|set| value.is_some_and(|value| set.contains(value)));
        let outside = self
            .not_in
            .as_ref()
            .is_none_or(|set| value.is_none_or(|value| !set.contains(value)));
        let present = self.exists.is_none_or(|want| value.is_some() == want);
        equals && differs && inside && outside && present
    }
}

/// Whether labels meet every condition; an empty list is met by all.
pub fn matches_all(requirements: &[Requirement], labels: &Labels) -> bool {
    requirements
        .iter()
        .all(|requirement| requirement.matches(labels))
}

/// Which traffic a selector is about; empty lists match all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficMatch {
    /// Conditions on the tenant's labels.
    #[serde(default)]
    pub tenant: Vec<Requirement>,
    /// Conditions on the model's labels; services have none.
    #[serde(default)]
    pub model: Vec<Requirement>,
    /// Priorities.
    #[serde(default)]
    pub priority: Vec<Priority>,
}

/// A rule: traffic that matches may only go to back ends that match. Traffic
/// that several selectors match needs back ends that meet them all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Unique name, shown by refusals and explanations.
    pub name: String,
    /// Traffic that the selector is about.
    #[serde(default)]
    pub traffic: TrafficMatch,
    /// Conditions on the back end's labels.
    pub back_ends: Vec<Requirement>,
}

impl Selector {
    /// Whether the selector is about the traffic.
    pub fn applies_to(&self, tenant: &Labels, model: &Labels, priority: Priority) -> bool {
        let priority_matches =
            self.traffic.priority.is_empty() || self.traffic.priority.contains(&priority);
        priority_matches
            && matches_all(&self.traffic.tenant, tenant)
            && matches_all(&self.traffic.model, model)
    }
}
