//! Records of the configuration stream.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    Resource,
    id::{ChangeId, Offset},
    resource::Key,
};

/// Version of the record's own form; a reader refuses one that it doesn't know.
pub const SCHEMA: u32 = 1;

/// What a change does.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates or replaces the resource.
    Put(Resource),
    /// Removes the resource.
    Delete(Key),
}

impl Action {
    /// The resource that is changed.
    pub fn key(&self) -> Key {
        match self {
            Action::Put(resource) => resource.key(),
            Action::Delete(key) => key.clone(),
        }
    }
}

/// One record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Form of this record; see [`SCHEMA`].
    pub schema: u32,
    /// A second record with the same id has no effect.
    pub id: ChangeId,
    /// Version that must stand for the change to be accepted; 0 means that none stands.
    pub expected: Offset,
    /// What it does.
    pub action: Action,
}
