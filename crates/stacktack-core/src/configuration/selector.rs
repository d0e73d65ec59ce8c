//! Label selectors, which restrict traffic to matching back ends.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stacktack_wire::message::Priority;

/// Labels of a configured entry: key to value.
pub type Labels = BTreeMap<String, String>;

/// One condition on one label. Exactly one of the tests must be present, which
/// validation checks by [`Requirement::test_count`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Label key.
    pub key: String,
    /// The label must have this value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub equals: Option<String>,
    /// The label must not have this value; an absent label passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_equals: Option<String>,
    /// The label must have one of these values.
    #[serde(default, rename = "in", skip_serializing_if = "Option::is_none")]
    pub one_of: Option<Vec<String>>,
    /// The label must have none of these values; an absent label passes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_in: Option<Vec<String>>,
    /// The label must be present (true) or absent (false).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exists: Option<bool>,
}

impl Requirement {
    /// Number of tests that are present.
    pub fn test_count(&self) -> usize {
        usize::from(self.equals.is_some())
            + usize::from(self.not_equals.is_some())
            + usize::from(self.one_of.is_some())
            + usize::from(self.not_in.is_some())
            + usize::from(self.exists.is_some())
    }

    /// Whether the labels meet the condition.
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

/// Whether the labels meet every condition; any labels meet an empty list.
pub fn matches_all(requirements: &[Requirement], labels: &Labels) -> bool {
    requirements
        .iter()
        .all(|requirement| requirement.matches(labels))
}

/// Traffic that a selector applies to; an empty list matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficMatch {
    /// Conditions on the tenant's labels.
    #[serde(default)]
    pub tenant: Vec<Requirement>,
    /// Conditions on the labels of the model or adapter; a service has no labels.
    #[serde(default)]
    pub model: Vec<Requirement>,
    /// Matching priorities.
    #[serde(default)]
    pub priority: Vec<Priority>,
}

/// Restricts matching traffic to matching back ends. Traffic that several
/// selectors match needs back ends that match all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Unique name, shown in refusals and in the explanation of a decision.
    pub name: String,
    /// Traffic that the selector applies to.
    #[serde(default)]
    pub traffic: TrafficMatch,
    /// Conditions on the back end's labels.
    pub back_ends: Vec<Requirement>,
}

impl Selector {
    /// Whether the selector applies to traffic of a tenant, model and priority.
    pub fn applies_to(&self, tenant: &Labels, model: &Labels, priority: Priority) -> bool {
        let priority_matches =
            self.traffic.priority.is_empty() || self.traffic.priority.contains(&priority);
        priority_matches
            && matches_all(&self.traffic.tenant, tenant)
            && matches_all(&self.traffic.model, model)
    }
}
