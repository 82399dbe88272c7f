//! Records of the decisions and observations of one process.
//!
//! For each request, its entry process writes one record and the agent that ran it writes one. Both
//! are written at the end of the request, so that the bytes of evidence stay within the budget for
//! control traffic.

use std::time::SystemTime;

use model::{
    id::{AccountName, ClaimKey, HostName, Offset, Rank, RequestId, TargetName},
    refusal::{Ran, Reason},
    reservation::Id,
};
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// First 16 bytes of the BLAKE3 hash of an answer's bytes.
pub type AnswerDigest = u128;

/// Returns the digest of an answer from the hash of all its bytes.
pub fn answer_digest(hash: &blake3::Hash) -> AnswerDigest {
    let (leading, _) = hash.as_bytes().split_at(size_of::<AnswerDigest>());
    AnswerDigest::from_be_bytes(leading.try_into().expect("it was split at this length"))
}

/// A fact and the time at which a process recorded it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// When the record was written, by the clock of the process, in whole milliseconds.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// Content of the record.
    pub fact: Fact,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// Written by an entry process: a request ended.
    Request(Request),
    /// Written by an agent, or by an entry process that dispatches straight to targets: a run of a
    /// request at a target ended.
    Run(Run),
    /// Written by an agent: a waiting reservation was evicted from the queue.
    Eviction(Eviction),
    /// Written by an entry process: a host or target began to leave, or came back.
    Departure(Departure),
    /// Written by any process: from here on it accepts no new requests.
    Draining,
    /// Written by any process as the last record of its chain.
    Closed {
        /// Number of requests that were still in progress; 0 after a graceful shutdown.
        open: u32,
    },
    /// Written by an entry process: it applied the configuration up to an offset.
    Applied {
        /// Offset in the configuration log.
        offset: Offset,
    },
    /// Written by an entry process that dispatches straight to targets, in the place of `Run`: the rest of a run
    /// whose target was lost has ended.
    Continuation(Continuation),
}

impl Fact {
    /// Returns the run that the fact records; `None` for facts about anything else.
    pub fn run(&self) -> Option<&Run> {
        match self {
            Fact::Run(run) => Some(run),
            Fact::Continuation(continuation) => Some(&continuation.run),
            _ => None,
        }
    }
}

/// A request as its entry process handled it, from arrival to end.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Id of the request.
    pub request: RequestId,
    /// Client account of the request; empty if unknown.
    pub account: AccountName,
    /// Rank of the request's tier; `None` if unknown.
    pub rank: Option<Rank>,
    /// Hash of the account and the idempotency key; `None` if the request has no idempotency key.
    pub claim: Option<ClaimKey>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request arrived.
    #[serde(rename = "arrived_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub arrived: SystemTime,
    /// Reservations that the request was started under, in order.
    pub starts: Vec<Start>,
    /// How the request ended for its caller.
    pub outcome: Outcome,
}

/// A reservation that a request was started under.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Number of the reservation among those of the request.
    pub attempt: u32,
    /// Target of the reservation.
    pub target: TargetName,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller received a complete answer.
    Whole {
        /// Digest of the answer.
        digest: AnswerDigest,
    },
    /// The request was refused, or its answer broke off.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Whether the request ran, as reported to the caller.
        ran: Ran,
        /// Rank of the lowest tier that stayed in this process's queue for the same pool, if the
        /// request was refused for lack of capacity; `None` if the queue was empty or the refusal
        /// has another reason.
        left_waiting: Option<Rank>,
    },
    /// The caller closed the connection before the end.
    Abandoned,
}

/// One run of a request, as recorded by the agent or entry process that sent the request to the
/// target.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Reservation of the run.
    pub id: Id,
    /// When the request was sent to the target.
    #[serde(rename = "started_ms")]
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub started: SystemTime,
    /// Whether the target ran the request.
    pub ran: Ran,
    /// Digest of the answer; `None` if the answer wasn't complete.
    pub digest: Option<AnswerDigest>,
}

/// The rest of a run at the target that holds a copy of the lost target's memory. Both are one run of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Continuation {
    /// The rest of the run, recorded like a run of its own.
    pub run: Run,
    /// Number of the reservation of the part before it among those of the request.
    pub attempt: u32,
    /// Target that was lost.
    pub from: TargetName,
    /// Target that holds the copy and goes on.
    pub to: TargetName,
    /// Why the target counts as lost.
    pub loss: Loss,
}

/// Why the target of a run counts as lost. Before a run goes on elsewhere, a probe has found that its target accepts
/// no connections, or the target has restarted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection to the target broke off.
    BrokenOff,
    /// The target was silent, and the run was cancelled and ended.
    Silent,
}

/// A waiting reservation that was evicted from an agent's queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Eviction {
    /// Reservation that was evicted.
    pub id: Id,
    /// Rank of the reservation's tier.
    pub rank: Rank,
    /// Rank of the lowest tier that stayed in the queue; `None` if the queue was empty.
    pub left_waiting: Option<Rank>,
}

/// A host or target that began to leave or came back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The host or target.
    pub subject: Subject,
    /// Whether the subject is leaving; `false` means that it came back.
    pub leaving: bool,
}

/// A host or target that a departure concerns.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A host, according to the platform's list of hosts.
    Host(HostName),
    /// A target, according to the operators' configuration.
    Target(TargetName),
}
