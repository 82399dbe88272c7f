//! Records of the membership stream, which says which agents hold claims of idempotency keys.

use std::{net::SocketAddr, time::SystemTime};

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use crate::id::{HostName, IncarnationId, Offset, TargetName};

/// Version of the record format; readers skip records of other versions.
pub const SCHEMA: u32 = 1;

/// An agent that is a member from this record on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Join {
    /// Name of the agent's target; a later join with the same target replaces this one.
    pub target: TargetName,
    /// Host that the agent runs on.
    pub host: HostName,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Address on which the agent serves control calls.
    pub control: SocketAddr,
}

/// An agent that is no longer a member from this record on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// Name of the agent's target.
    pub target: TargetName,
    /// Incarnation that leaves; the record has no effect if the member is another incarnation.
    pub incarnation: IncarnationId,
    /// Epoch under which the agent handed all its claims over to the other members; `None` if it handed
    /// none over. The record has no effect unless this is still the epoch at the record's offset.
    pub handed_over: Option<Offset>,
    /// Whether the agent certainly grants no more keys; only the agent itself can set this.
    pub ended: bool,
}

/// Effect of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// An agent joins the members.
    Join(Join),
    /// An agent leaves the members.
    Leave(Leave),
}

/// One record of the membership stream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version of the record format; see [`SCHEMA`].
    pub schema: u32,
    /// Time of the append, by the clock of the process that appended the record.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// Effect of the record.
    pub action: Action,
}
