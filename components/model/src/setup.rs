//! What a target's engine has loaded and what it does, and the orders that change it.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// The kinds of what an engine loads.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter to a model.
    Adapter,
}

/// One version of a model or adapter.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Its kind; models come before adapters.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// What an engine does.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// What an engine has loaded, and its role.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Setup {
    /// Models and adapters.
    pub weights: BTreeSet<Weights>,
    /// Its role.
    pub role: Role,
}

/// One step towards a setup; repeating it changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load this.
    Load(Weights),
    /// Drop this.
    Unload(Weights),
    /// Take this role.
    SetRole(Role),
}

/// An order as an engine gets it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fenced {
    /// Fencing number of who gives it; an engine that checks refuses one below the highest that
    /// it has seen.
    pub fence: Offset,
    /// What to do.
    pub order: Order,
}

impl Setup {
    /// The next step from this setup to another: memory is freed first, a model is loaded before
    /// its adapters.
    pub fn next(&self, desired: &Setup) -> Option<Order> {
        if let Some(extra) = self.weights.difference(&desired.weights).last() {
            return Some(Order::Unload(extra.clone()));
        }
        if let Some(missing) = desired.weights.difference(&self.weights).next() {
            return Some(Order::Load(missing.clone()));
        }
        (self.role != desired.role).then_some(Order::SetRole(desired.role))
    }

    /// Carries an order out.
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
