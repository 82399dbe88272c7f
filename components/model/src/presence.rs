//! What processes tell of the configuration offset that they have applied.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{HostName, Offset};

/// What one process tells of itself.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Report {
    /// Offset that it has applied. First, so that the lowest report is the one furthest behind.
    pub offset: Offset,
    /// Host that it runs on.
    pub host: HostName,
    /// Its name, unique in the deployment.
    pub process: String,
}

/// What was told within one lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Summary {
    /// Hosts that reported.
    pub hosts: u32,
    /// Processes that reported.
    pub processes: u32,
    /// The report with the lowest offset.
    pub slowest: Option<Report>,
    /// Highest offset that was heard of.
    pub highest: Offset,
}

impl Summary {
    /// Adds what another holder of reports was told.
    pub fn merge(self, other: Summary) -> Summary {
        let slowest = match (self.slowest, other.slowest) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Summary {
            hosts: self.hosts + other.hosts,
            processes: self.processes + other.processes,
            slowest,
            highest: self.highest.max(other.highest),
        }
    }
}
