//! The setup of a target's engine (its loaded models and its role), and the orders that change it.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Kind of the weights that an engine loads.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
}

/// One version of a model or an adapter.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Kind of the weights; models sort before adapters.
    pub kind: Kind,
    /// Name of the model or adapter.
    pub name: String,
    /// Version of the model or adapter.
    pub version: String,
}

/// Phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The engine runs prefill and decode.
    #[default]
    Both,
    /// The engine runs only prefill.
    Prefill,
    /// The engine runs only decode.
    Decode,
}

/// Loaded weights and role of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Setup {
    /// Loaded models and adapters.
    pub weights: BTreeSet<Weights>,
    /// Role of the engine.
    pub role: Role,
}

/// One step towards a desired setup; carrying it out repeatedly has no further effect.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model or an adapter.
    Load(Weights),
    /// Unload a model or an adapter.
    Unload(Weights),
    /// Change the role.
    SetRole(Role),
}

/// An order with a fencing number, as it is sent to an engine.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fenced {
    /// Fencing number of the agent that sends the order; an engine that checks fencing numbers rejects
    /// an order whose number is below the highest that the engine has received.
    pub fence: Offset,
    /// The order to carry out.
    pub order: Order,
}

impl Setup {
    /// Returns the next step from this setup to a desired one; `None` if they are equal. Weights are
    /// unloaded first to free memory, adapters before models; models are loaded before adapters.
    pub fn next(&self, desired: &Setup) -> Option<Order> {
        if let Some(extra) = self.weights.difference(&desired.weights).last() {
            return Some(Order::Unload(extra.clone()));
        }
        if let Some(missing) = desired.weights.difference(&self.weights).next() {
            return Some(Order::Load(missing.clone()));
        }
        (self.role != desired.role).then_some(Order::SetRole(desired.role))
    }

    /// Changes the setup as an engine does when it carries out an order.
    pub fn apply(&mut self, order: Order) {
        match order {
            Order::Load(weights) => {
                self.weights.insert(weights);
            }
            Order::Unload(weights) => {
                self.weights.remove(&weights);
            }
            Order::SetRole(role) => self.role = role,
        }
    }
}
