//! JSON types of the requests and responses of the operators' API.

use model::{
    Resource,
    id::{ChangeId, Offset},
    presence::Report,
    resource::Key,
};
use scheduler::config::VersionedResource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A resource and its current version.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Item {
    /// Offset of the last accepted change of the resource.
    pub version: Offset,
    /// The resource.
    pub resource: Resource,
}

impl From<&VersionedResource> for Item {
    fn from(versioned: &VersionedResource) -> Item {
        Item { version: versioned.version, resource: versioned.resource.clone() }
    }
}

/// One page of a list of resources.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Page {
    /// Offset of the last change that the page reflects; a watch from the next offset on misses no
    /// change.
    pub offset: Offset,
    /// Resources of the page in the order of their names.
    pub items: Vec<Item>,
    /// Value of the query parameter `after` for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// Condition that a write waits for before it returns.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// This process has read the change back from the log as accepted.
    #[default]
    Accepted,
    /// All live processes have applied the change.
    InForce,
}

/// Response to a write whose change was accepted.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Written {
    /// Id of the change; a repeat with this id has no second effect.
    pub change: ChangeId,
    /// Offset of the accepted change, which is the new version of the resource.
    pub version: Offset,
    /// Condition that the write waited for and that the change meets.
    pub reached: Wait,
}

/// Which offsets of the configuration log the live processes have applied.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Status {
    /// Name of the process that sends this response.
    pub process: String,
    /// Highest offset that the responding process has applied.
    pub applied: Offset,
    /// Offset that all live processes have applied; absent where the reports may not cover all of
    /// them.
    pub in_force: Option<Offset>,
    /// Highest offset that any process has reported.
    pub highest: Offset,
    /// Number of processes that reported.
    pub processes: u32,
    /// Number of hosts that reported.
    pub hosts: u32,
    /// Number of live hosts in the platform's list; 0 where the list is empty or unknown.
    pub listed: u32,
    /// Number of agents that keep reports and didn't answer.
    pub silent: u32,
    /// Report with the lowest offset; absent where no process reported.
    pub slowest: Option<Report>,
}

/// One line of the response to a watch.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Event {
    /// A resource was created or replaced.
    Put {
        /// Offset of the change, which is the new version of the resource.
        offset: Offset,
        /// State of the resource after the change.
        resource: Resource,
    },
    /// A resource was deleted.
    Delete {
        /// Offset of the change.
        offset: Offset,
        /// Kind and name of the deleted resource.
        key: Key,
    },
    /// All changes up to an offset have been sent; a new watch can resume from the next offset.
    Bookmark {
        /// Offset up to which all changes have been sent.
        offset: Offset,
    },
    /// The server no longer keeps changes that this watch hasn't received, and the watch ends: list
    /// the resources again.
    Gone {
        /// First offset that a watch can start from.
        first: Offset,
    },
}
