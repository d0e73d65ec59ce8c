//! States, events and actions of a roll-out at one router, as declared in the chart
//! `charts/rollout.toml`.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// Source of the state chart of a roll-out.
pub const CHART: &str = include_str!("../../../../../charts/rollout.toml");

/// State chart of a roll-out.
pub type RolloutChart = Chart<RolloutState, RolloutEvent, RolloutAction>;

/// State of a roll-out at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The router does not know yet whether the store holds the roll-out as running, or its
    /// outcome.
    Unannounced,
    /// A small share of the traffic goes to the new version.
    Canary,
    /// The full traffic goes to the new version until the part of the exposure bound that the
    /// canary state left is used up.
    Trial,
    /// The new version is proved good: the full traffic goes there.
    Whole,
    /// The new version had the full traffic for long enough: the outcome must be stored.
    Finished,
    /// Nothing goes to the new version any more: the outcome must be stored.
    Stopped,
    /// The store holds the roll-out as completed.
    Completed,
    /// The store holds the roll-out as rolled back.
    RolledBack,
}

impl RolloutState {
    /// Fixed text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutState::Unannounced => "unannounced",
            RolloutState::Canary => "canary",
            RolloutState::Trial => "trial",
            RolloutState::Whole => "whole",
            RolloutState::Finished => "finished",
            RolloutState::Stopped => "stopped",
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled_back",
        }
    }

    /// Whether the store holds the outcome.
    pub fn is_decided(self) -> bool {
        matches!(self, RolloutState::Completed | RolloutState::RolledBack)
    }
}

/// Event of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutEvent {
    /// The store holds the roll-out as running.
    StoredRunning,
    /// The new version's responses are good so far.
    Proved,
    /// The new version's responses are good under the full traffic too.
    Passed,
    /// The new version had the full traffic for long enough.
    Lasted,
    /// A regression of the new version was detected.
    Harmed,
    /// The time within which the new version had to be proved is over.
    Expired,
    /// The store holds the roll-out as completed.
    StoredCompleted,
    /// The store holds the roll-out as rolled back.
    StoredRolledBack,
}

/// Action of a state transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// Schedules a write of the state to the store.
    PlanWrite,
    /// Cancels the scheduled write.
    ForgetWrite,
    /// Notifies peers at once.
    Alarm,
}
