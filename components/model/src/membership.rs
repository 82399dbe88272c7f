//! Records of the membership stream: which agents hold claims.

use std::{net::SocketAddr, time::SystemTime};

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use crate::id::{HostName, IncarnationId, Offset, TargetName};

/// Version of the record's own form; a reader passes over one that it doesn't know.
pub const SCHEMA: u32 = 1;

/// An agent that takes part from this record on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Join {
    /// The target that it stands beside; a later join of the same target takes its place.
    pub target: TargetName,
    /// The host that it runs on.
    pub host: HostName,
    /// This run of the agent.
    pub incarnation: IncarnationId,
    /// Where it takes control calls.
    pub control: SocketAddr,
}

/// An agent that takes part no more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// The target that it stood beside.
    pub target: TargetName,
    /// The run that ends; a record about another run has no effect.
    pub incarnation: IncarnationId,
    /// Epoch under which it handed all its claims to the members that stay; `None` where it
    /// handed none over. The record has no effect unless this epoch still stands at its offset.
    pub handed_over: Option<Offset>,
    /// Whether it surely grants nothing any more: only the agent itself can say so.
    pub ended: bool,
}

/// What a record does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An agent joins.
    Join(Join),
    /// An agent leaves.
    Leave(Leave),
}

/// One record of the membership stream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Form of this record; see [`SCHEMA`].
    pub schema: u32,
    /// Clock of the process that appended it.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// What it does.
    pub action: Action,
}
