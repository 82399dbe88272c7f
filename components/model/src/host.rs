//! Hosts as the platform's lagging list shows them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{HostName, ZoneName};

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host is up, or was when the list was made.
    Live,
    /// The host will be taken away: it gets no new work.
    Leaving,
}

/// One row of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Host {
    /// Name, unique in the deployment.
    pub name: HostName,
    /// Availability zone that the host stands in.
    pub zone: ZoneName,
    /// Last state that the platform knew.
    pub state: State,
}
