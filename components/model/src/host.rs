//! Hosts as the platform lists them; the list may lag behind their real state.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{HostName, ZoneName};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host was up when the list was made.
    Live,
    /// The host is going to be removed, so it gets no new work.
    Leaving,
}

/// One host of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host, unique in the deployment.
    pub name: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Last known state of the host.
    pub state: State,
}
