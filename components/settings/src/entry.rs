//! Settings file of an entry process.

use std::{net::SocketAddr, time::Duration};

use garde::Validate;
use model::id::{HostName, ZoneName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::shared::{Operator, Platform, positive};

/// Settings of an entry process, read once at its start.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the process, unique in the deployment.
    #[garde(custom(model::resource::label))]
    pub name: String,
    /// Host that the process runs on, as named in the platform's list of hosts.
    #[garde(length(min = 1))]
    pub host: HostName,
    /// Availability zone of the host.
    #[garde(length(min = 1))]
    pub zone: ZoneName,
    /// Addresses that the process listens on.
    #[garde(skip)]
    pub listen: Listen,
    /// Addresses of the platform's services.
    #[garde(dive)]
    pub platform: Platform,
    /// Limits on request bodies, waiting requests and metrics.
    #[garde(dive)]
    #[serde(default)]
    pub bounds: Bounds,
    /// Periods and timeouts.
    #[garde(dive)]
    #[serde(default)]
    pub timing: Timing,
    /// Operators who may use the resource API; nobody may by default.
    #[garde(dive)]
    #[serde(default)]
    pub operators: Vec<Operator>,
}

/// Addresses that an entry process listens on; port 0 selects a free port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for the requests of callers.
    pub callers: SocketAddr,
    /// Address for operators, the load balancer's health checks and metrics.
    pub operators: SocketAddr,
}

/// Limits on request bodies, waiting requests and metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Limit on the size of a request body, in bytes.
    #[garde(range(min = 1, max = 67_108_864))]
    pub body_bytes: usize,
    /// Limit on the requests that wait in the process.
    #[garde(range(min = 1))]
    pub waiting: usize,
    /// Number of client accounts that have their own histograms; all others share one.
    #[garde(range(max = 1_000))]
    pub tracked_accounts: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { body_bytes: 1 << 20, waiting: 4_096, tracked_accounts: 64 }
    }
}

/// Periods and timeouts, in ms in the file.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time between two reads of the platform's list of hosts.
    #[garde(custom(positive))]
    #[serde(rename = "hosts_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub hosts: Duration,
    /// Longest time that one read of the log waits for a new record.
    #[garde(custom(positive))]
    #[serde(rename = "poll_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub poll: Duration,
    /// Time between two snapshots of the configuration. It must be well below the retention time of
    /// the log.
    #[garde(custom(positive))]
    #[serde(rename = "snapshot_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub snapshot: Duration,
    /// Time between two appends of evidence. In seconds, it should be about the number of entry
    /// processes divided by the appends per second that the log can spare for evidence.
    #[garde(custom(positive))]
    #[serde(rename = "evidence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub evidence: Duration,
    /// Time during a shutdown between the first failing health check and closing the listener, so
    /// that the load balancer stops sending requests.
    #[garde(skip)]
    #[serde(rename = "lame_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub lame: Duration,
    /// Timeout of a connection attempt to an agent.
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
