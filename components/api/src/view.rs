//! What the operators' API gives and takes.

use model::{
    Resource,
    id::{ChangeId, Offset},
    presence::Report,
    resource::Key,
};
use scheduler::config::VersionedResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A resource with the version that stands.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Item {
    /// Offset of its last accepted change.
    pub version: Offset,
    /// The resource.
    pub resource: Resource,
}

impl From<&VersionedResource> for Item {
    fn from(versioned: &VersionedResource) -> Item {
        Item { version: versioned.version, resource: versioned.resource.clone() }
    }
}

/// A part of a list.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Page {
    /// Offset that the part is as of; a watch from the next one misses nothing.
    pub offset: Offset,
    /// Resources in the order of their names.
    pub items: Vec<Item>,
    /// Name to list on `after`; absent at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// How long a write waits for its answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// Until the change was read back as accepted.
    #[default]
    Accepted,
    /// Until every live process has applied it.
    InForce,
}

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Written {
    /// The change; a repeat with this id has no second effect.
    pub change: ChangeId,
    /// Offset at which it was accepted: the resource's version.
    pub version: Offset,
    /// How far it is known to have come.
    pub reached: Wait,
}

/// How far the configuration has come.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Status {
    /// The process that answers.
    pub process: String,
    /// Offset in force in it.
    pub applied: Offset,
    /// Lowest offset among live processes; absent where somebody may be behind unseen.
    pub in_force: Option<Offset>,
    /// Highest offset that any process has heard of.
    pub highest: Offset,
    /// Processes that reported.
    pub processes: u32,
    /// Hosts that reported.
    pub hosts: u32,
    /// Hosts that the platform's list shows as live.
    pub listed: u32,
    /// Agents that keep reports and didn't answer.
    pub silent: u32,
    /// The process that is furthest behind.
    pub slowest: Option<Report>,
}

/// One line of a watch.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Event {
    /// A resource was created or replaced.
    Put {
        /// Offset of the change: the resource's new version.
        offset: Offset,
        /// The resource.
        resource: Resource,
    },
    /// A resource was deleted.
    Delete {
        /// Offset of the change.
        offset: Offset,
        /// What names the resource.
        key: Key,
    },
    /// Nothing up to this offset is missing; resume from the next one.
    Bookmark {
        /// The offset.
        offset: Offset,
    },
    /// Changes were lost to this watch: list again.
    Gone {
        /// First offset that a watch can start from.
        first: Offset,
    },
}
