//! Records of the configuration stream.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    Resource,
    id::{ChangeId, Offset},
    resource::Key,
};

/// Version of the record format; readers reject records of other versions.
pub const SCHEMA: u32 = 1;

/// Effect of a change.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Creates or replaces the resource.
    Put(Resource),
    /// Removes the resource.
    Delete(Key),
}

impl Action {
    /// Returns the key of the changed resource.
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
    /// Version of the record format; see [`SCHEMA`].
    pub schema: u32,
    /// Id of the change; a second record with the same id has no effect.
    pub id: ChangeId,
    /// Version that the resource must have for the change to be accepted; 0 means that the resource
    /// must not exist.
    pub expected: Offset,
    /// Effect of the change.
    pub action: Action,
}
