//! Fenced orders: load or unload a model, adapter or version, or change the role of the engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Action that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// Load a model, adapter or version.
    Load {
        /// Model, adapter or version to load.
        artifact: String,
    },
    /// Unload a model, adapter or version.
    Unload {
        /// Model, adapter or version to unload.
        artifact: String,
    },
    /// Change the role of the engine.
    Role {
        /// The new role.
        role: String,
    },
}

/// An order with the epoch that fences it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Scope of the epoch: epochs are compared only within one scope.
    pub scope: String,
    /// Epoch of the lease under which the order is given.
    pub epoch: u64,
    /// Action to carry out.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// An order was refused because a later epoch of its scope is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("epoch {given} is behind epoch {highest}")]
pub struct StaleOrder {
    /// Epoch of the refused order.
    pub given: u64,
    /// Highest epoch seen in its scope.
    pub highest: u64,
}

/// State of the engine that orders change, and the orders applied so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderState {
    /// Whether orders with an epoch below the highest of their scope are refused.
    pub checks_fence: bool,
    /// Highest epoch seen, by scope.
    pub epochs: BTreeMap<String, u64>,
    /// Models, adapters and versions that are loaded.
    pub artifacts: Vec<String>,
    /// Current role.
    pub role: String,
    /// Every order applied, in the order of arrival, for checks.
    pub followed: Vec<Order>,
}

impl OrderState {
    /// Applies an order, or refuses it as stale if fences are checked.
    pub fn apply(&mut self, order: Order) -> Result<(), StaleOrder> {
        let highest = self.epochs.entry(order.scope.clone()).or_insert(0);
        if order.epoch < *highest && self.checks_fence {
            return Err(StaleOrder {
                given: order.epoch,
                highest: *highest,
            });
        }
        *highest = order.epoch.max(*highest);
        match &order.action {
            OrderAction::Load { artifact } => {
                if !self.artifacts.contains(artifact) {
                    self.artifacts.push(artifact.clone());
                }
            }
            OrderAction::Unload { artifact } => self.artifacts.retain(|loaded| loaded != artifact),
            OrderAction::Role { role } => self.role = role.clone(),
        }
        self.followed.push(order);
        Ok(())
    }
}
