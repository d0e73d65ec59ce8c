//! How far a roll-out is at one router: states, events and actions of the chart
//! `charts/rollout.toml`.

use serde::{Deserialize, Serialize};

use crate::chart::Chart;

/// The chart of a roll-out, from `charts/`.
pub const CHART: &str = include_str!("../../../../../charts/rollout.toml");

/// Chart of a roll-out.
pub type RolloutChart = Chart<RolloutState, RolloutEvent, RolloutAction>;

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It is not known yet whether the store holds that it runs, or how it ended.
    Unannounced,
    /// A small share of the traffic goes to the new version.
    Canary,
    /// The whole traffic goes there for as long as the share that was saved lasts.
    Trial,
    /// It is proved good: the whole traffic goes there.
    Whole,
    /// The whole traffic went there for long enough: that is to be stored.
    Finished,
    /// Nothing goes to the new version: that is to be stored.
    Stopped,
    /// The store holds that it is completed.
    Completed,
    /// The store holds that it is rolled back.
    RolledBack,
}

impl RolloutState {
    /// Fixed word for logs.
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

/// What happens to a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutEvent {
    /// The store holds that it runs.
    StoredRunning,
    /// Its answers are good so far.
    Proved,
    /// Its answers are good under the whole traffic too.
    Passed,
    /// The whole traffic went there for long enough.
    Lasted,
    /// It does harm.
    Harmed,
    /// The time is over in which it was to be proved.
    Expired,
    /// The store holds that it is completed.
    StoredCompleted,
    /// The store holds that it is rolled back.
    StoredRolledBack,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// The state is to be written to the store.
    PlanWrite,
    /// Nothing is to be written any more.
    ForgetWrite,
    /// Others are to hear of it at once.
    Alarm,
}
