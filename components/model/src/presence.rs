//! Presence reports, in which processes state the configuration offset that they have applied.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{HostName, Offset};

/// Presence report of one process.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Report {
    /// Configuration offset that the process has applied. This field is the first one, so that the
    /// smallest report is that of the process furthest behind.
    pub offset: Offset,
    /// Host that the process runs on.
    pub host: HostName,
    /// Name of the process, unique in the deployment.
    pub process: String,
}

/// Summary of the presence reports whose lease hasn't expired.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct Summary {
    /// Number of hosts that reported.
    pub hosts: u32,
    /// Number of processes that reported.
    pub processes: u32,
    /// The report with the lowest offset; `None` if no process reported.
    pub slowest: Option<Report>,
    /// Highest configuration offset that any process reported or applied.
    pub highest: Offset,
}

impl Summary {
    /// Adds the summary of another process that stores reports.
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
