//! Settings of an entry process.

use std::{net::SocketAddr, time::Duration};

use garde::Validate;
use model::id::{HostName, ZoneName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::shared::{Operator, Platform, positive};

/// Everything that an entry process is told at its start.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of this process, unique in the deployment.
    #[garde(custom(model::resource::label))]
    pub name: String,
    /// Host that it runs on, as the platform's list names it.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Its availability zone.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Addresses to listen on.
    #[garde(skip)]
    pub listen: Listen,
    /// The platform's services.
    #[garde(dive)]
    pub platform: Platform,
    /// Bounds on what callers may send and how many may wait.
    #[garde(dive)]
    #[serde(default)]
    pub bounds: Bounds,
    /// Periods and waits.
    #[garde(dive)]
    #[serde(default)]
    pub timing: Timing,
    /// Who may use the resource API.
    #[garde(dive)]
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Addresses of an entry process; port 0 takes a free one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators, the balancer's health check and metrics.
    pub operators: SocketAddr,
}

/// Bounds on what callers may send and how many may wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Largest request body, in bytes.
    #[garde(range(min = 1, max = 67_108_864))]
    pub body_bytes: usize,
    /// Most requests that wait in this process.
    #[garde(range(min = 1))]
    pub waiting: usize,
    /// Client accounts that get histograms of their own; the others share one.
    #[garde(range(max = 1_000))]
    pub tracked_accounts: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { body_bytes: 1 << 20, waiting: 4_096, tracked_accounts: 64 }
    }
}

/// Periods and waits.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Period of reading the platform's list of hosts.
    #[garde(custom(positive))]
    #[serde(rename = "hosts_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub hosts: Duration,
    /// Longest wait of one read of the log for a new record.
    #[garde(custom(positive))]
    #[serde(rename = "poll_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub poll: Duration,
    /// Period of snapshots of the configuration; well below the time that the log keeps records.
    #[garde(custom(positive))]
    #[serde(rename = "snapshot_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub snapshot: Duration,
    /// Period of appending evidence; about the number of entry processes over the appends a second
    /// that the log can spare.
    #[garde(custom(positive))]
    #[serde(rename = "evidence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub evidence: Duration,
    /// Time between the health check's failure and closing the listener.
    #[garde(skip)]
    #[serde(rename = "lame_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub lame: Duration,
    /// Longest wait for an agent to take a connection.
    #[garde(custom(positive))]
    #[serde(rename = "connect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub connect: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            hosts: Duration::from_millis(1_000),
            poll: Duration::from_millis(2_000),
            snapshot: Duration::from_secs(600),
            evidence: Duration::from_secs(2),
            lame: Duration::from_millis(500),
            connect: Duration::from_millis(250),
        }
    }
}
