//! Records: what one process decided or saw.
//!
//! A request leaves one record at its entry and one at the agent that ran it, both at its end, so
//! that the bytes of evidence stay within the budget of control.

use std::time::SystemTime;

use model::{
    id::{AccountName, ClaimKey, HostName, Offset, Rank, RequestId, TargetName},
    refusal::{Ran, Reason},
    reservation::Id,
};
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// Leading half of the BLAKE3 hash over an answer's bytes.
pub type AnswerDigest = u128;

/// Takes the digest of an answer out of the hash over all its bytes.
pub fn answer_digest(hash: &blake3::Hash) -> AnswerDigest {
    let (leading, _) = hash.as_bytes().split_at(size_of::<AnswerDigest>());
    AnswerDigest::from_be_bytes(leading.try_into().expect("it was split at this length"))
}

/// One record.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// When it was written, by the clock of its process; whole milliseconds.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// What it says.
    pub fact: Fact,
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// By an entry: a request is over.
    Request(Request),
    /// By an agent: the target is done with a request that was sent to it.
    Run(Run),
    /// By an agent: a waiting reservation lost its place.
    Eviction(Eviction),
    /// By an entry: something is leaving, or isn't any more.
    Departure(Departure),
    /// By any process: it takes no new work from here on.
    Draining,
    /// By any process: its last record.
    Closed {
        /// Requests that were still in progress; a graceful shutdown leaves none.
        open: u32,
    },
    /// By an entry: the configuration up to this offset is in force here.
    Applied {
        /// The offset.
        offset: Offset,
    },
}

/// A request at its entry, from its arrival to its end.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The request.
    pub request: RequestId,
    /// Its client account; empty where it isn't known.
    pub account: AccountName,
    /// Rank of its tier, where it is known.
    pub rank: Option<Rank>,
    /// The hash of its account and idempotency key, where it has one.
    pub claim: Option<ClaimKey>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it arrived.
    #[serde(rename = "arrived_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub arrived: SystemTime,
    /// Reservations under which it was told to start, in their order.
    pub starts: Vec<Start>,
    /// How it ended.
    pub outcome: Outcome,
}

/// A reservation under which a request was told to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Which of the request's reservations.
    pub attempt: u32,
    /// Where.
    pub target: TargetName,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Its answer was whole.
    Whole {
        /// Hash over the answer.
        digest: AnswerDigest,
    },
    /// It was refused, or its answer was torn.
    Refused {
        /// Why.
        reason: Reason,
        /// What the caller was told.
        ran: Ran,
        /// Where it was refused for want of room: the lowest tier that went on waiting in this
        /// process for the same pool, if any did.
        left_waiting: Option<Rank>,
    },
    /// Its caller went away.
    Abandoned,
}

/// A request at the agent that sent it to its target.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The reservation.
    pub id: Id,
    /// When it was sent.
    #[serde(rename = "started_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub started: SystemTime,
    /// Whether it ran.
    pub ran: Ran,
    /// Hash over the answer, where it was whole.
    pub digest: Option<AnswerDigest>,
}

/// A reservation that was evicted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Eviction {
    /// The reservation.
    pub id: Id,
    /// Rank of its tier.
    pub rank: Rank,
    /// Lowest tier that went on waiting.
    pub left_waiting: Option<Rank>,
}

/// Something that leaves, or comes back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// What.
    pub subject: Subject,
    /// Whether it leaves; else it is back.
    pub leaving: bool,
}

/// What may leave.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A host, by the platform's list.
    Host(HostName),
    /// A target, by the operators' configuration.
    Target(TargetName),
}
