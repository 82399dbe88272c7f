//! Settings of an agent.

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

/// Everything that an agent is told at its start.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// The target that it stands beside.
    #[garde(custom(model::resource::label))]
    pub target: TargetName,
    /// Host that it runs on, as the platform's list names it.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Its availability zone.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Addresses to listen on.
    #[garde(skip)]
    pub listen: Listen,
    /// The engine or plain service beside it.
    #[garde(skip)]
    pub engine: Engine,
    /// The platform's services.
    #[garde(dive)]
    pub platform: Platform,
    /// Longest wait of one read of the log for a new record.
    #[garde(custom(positive))]
    #[serde(rename = "poll_ms", default = "poll")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub poll: Duration,
    /// Shortest period of batches of evidence.
    #[garde(custom(positive))]
    #[serde(rename = "evidence_ms", default = "evidence")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub evidence: Duration,
    /// Room at the target.
    #[garde(dive)]
    #[serde(default)]
    pub room: Room,
}

fn poll() -> Duration {
    Duration::from_secs(2)
}

fn evidence() -> Duration {
    Duration::from_secs(2)
}

/// Addresses of an agent; port 0 takes a free one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For control calls (`tarpc`).
    pub control: SocketAddr,
    /// For bodies and answers (HTTP).
    pub traffic: SocketAddr,
    /// For health and metrics (HTTP).
    pub operators: SocketAddr,
}

/// The engine or plain service beside the agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Where it answers HTTP.
    pub address: SocketAddr,
    /// What it is.
    pub backing: Backing,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// Room at the target.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Room {
    /// Requests that run at once.
    #[garde(range(min = 1))]
    pub slots: usize,
    /// Tokens (prefill and decode together) that the running set may hold.
    #[garde(range(min = 1))]
    pub tokens: u64,
    /// Most reservations that wait.
    #[garde(range(min = 1))]
    pub waiting: usize,
    /// Life of a grant that isn't started.
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
