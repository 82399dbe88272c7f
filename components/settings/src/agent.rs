//! Settings file of an agent.

use std::{net::SocketAddr, time::Duration};

use garde::Validate;
use model::{
    id::{HostName, TargetName, ZoneName},
    resource::Backing,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::shared::{Platform, positive};

/// Settings of an agent, read once at its start.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the target that the agent serves.
    #[garde(custom(model::resource::label))]
    pub target: TargetName,
    /// Host that the agent runs on, as named in the platform's list of hosts.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Availability zone of the host.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Addresses that the agent listens on.
    #[garde(skip)]
    pub listen: Listen,
    /// Engine or plain service that the agent sends requests to.
    #[garde(skip)]
    pub engine: Engine,
    /// Addresses of the platform's services.
    #[garde(dive)]
    pub platform: Platform,
    /// Longest time that one read of the log waits for a new record, in ms.
    #[garde(custom(positive))]
    #[serde(rename = "poll_ms", default = "default_poll")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub poll: Duration,
    /// Shortest time between two batches of evidence, in ms.
    #[garde(custom(positive))]
    #[serde(rename = "evidence_ms", default = "default_evidence")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub evidence: Duration,
    /// Capacity of the target and limits of the agent's queue.
    #[garde(dive)]
    #[serde(default)]
    pub room: Room,
}

fn default_poll() -> Duration {
    Duration::from_secs(2)
}

fn default_evidence() -> Duration {
    Duration::from_secs(2)
}

/// Addresses that an agent listens on; port 0 selects a free port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for control calls (`tarpc`) from entry processes and other agents.
    pub control: SocketAddr,
    /// Address for the bodies of requests and answers (HTTP).
    pub traffic: SocketAddr,
    /// Address for health checks and metrics (HTTP).
    pub operators: SocketAddr,
}

/// Engine or plain service that an agent sends requests to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// HTTP address of the engine or service.
    pub address: SocketAddr,
    /// Whether the address is that of an engine that serves models or of a plain service.
    pub backing: Backing,
    /// Whether the engine or service rejects an order with an outdated fencing number; `false` by
    /// default.
    #[serde(default)]
    pub checks_fence: bool,
}

/// Capacity of a target and limits of its agent's queue.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Room {
    /// Limit on the requests that run at the same time.
    #[garde(range(min = 1))]
    pub slots: usize,
    /// Limit on the tokens (prefill and decode together) of all running requests.
    #[garde(range(min = 1))]
    pub tokens: u64,
    /// Limit on the reservations in the queue.
    #[garde(range(min = 1))]
    pub waiting: usize,
    /// Time in ms after which a grant expires if its request hasn't been started.
    #[garde(custom(positive))]
    #[serde(rename = "grant_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub grant: Duration,
}

impl Default for Room {
    fn default() -> Room {
        Room { slots: 8, tokens: 262_144, waiting: 256, grant: Duration::from_millis(500) }
    }
}
