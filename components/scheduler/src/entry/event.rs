//! Events that the entry's reducer takes and effects that it gives.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{
    Finding, Host, Refusal,
    claim::{self, Settle, Verdict},
    credential::KeyHash,
    id::{
        AccountName, Fingerprint, IdempotencyKey, ModelName, Offset, PoolName, RequestId,
        TargetName, TierName,
    },
    membership::Leave,
    reservation::{Ask, BlockHash, Denial, Grant, Id, Load},
};

use crate::config;

/// What a caller wants to reach.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// A completion by a model.
    Completion(ModelName),
    /// A call to the plain services of a pool.
    Service(PoolName),
}

/// A caller's request, without its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Minted by the entry process.
    pub id: RequestId,
    /// Hash of the key that the caller sent; `None` where it sent none.
    pub credential: Option<KeyHash>,
    /// Tier that the caller asks for.
    pub tier: Option<TierName>,
    /// What it wants; `None` where the body doesn't say, which a finding then tells.
    pub call: Option<Call>,
    /// Time for the whole answer, where the caller says it.
    pub deadline: Option<Duration>,
    /// Whether it may run more than once, where the caller says it.
    pub idempotent: Option<bool>,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Estimated tokens to prefill.
    pub prefill: u32,
    /// Most tokens to generate.
    pub decode: u32,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<BlockHash>,
    /// Fingerprint of its path and body.
    pub fingerprint: Fingerprint,
    /// Faults that were found while reading it.
    pub findings: Vec<Finding>,
}

/// Whose request it is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Owner {
    /// Client account; empty where it isn't known.
    pub account: AccountName,
    /// Tier; empty where it isn't known.
    pub tier: TierName,
}

/// A record of the configuration stream, as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its offset.
    pub offset: Offset,
    /// Its text.
    pub payload: String,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Request),
    /// An agent has room.
    Granted {
        /// The reservation.
        id: Id,
        /// What the agent said.
        grant: Grant,
    },
    /// An agent ended a reservation that hadn't started.
    Denied {
        /// The reservation.
        id: Id,
        /// What the agent said.
        denial: Denial,
    },
    /// The agent of a reservation that hadn't started can't be reached.
    Unreachable {
        /// The reservation.
        id: Id,
    },
    /// A reservation that was told to start provably did not and never will.
    NotStarted {
        /// The reservation.
        id: Id,
        /// Whether the agent couldn't be reached.
        unreachable: bool,
    },
    /// A key's home answered.
    Claimed {
        /// The request.
        request: RequestId,
        /// The answer; `None` where the home can't be reached or its answer was lost.
        verdict: Option<Verdict>,
    },
    /// What became of an attempt couldn't be told to the key's home.
    Unsettled {
        /// What to tell.
        settle: Settle,
        /// How often it was tried.
        tries: u32,
    },
    /// A request that was told to start surely ran: its answer has begun.
    Ran {
        /// The request.
        request: RequestId,
    },
    /// The wait before a lost member is removed is over.
    Remove(Leave),
    /// Records of the membership stream were read, in order.
    Members(Vec<Record>),
    /// A request is over for this process: answered, torn, or given up by its caller.
    Ended {
        /// The request.
        request: RequestId,
    },
    /// Records of the configuration stream were read, in order.
    Records(Vec<Record>),
    /// A snapshot of the configuration was read, from the log or from another process.
    Restored(Box<config::Snapshot>),
    /// The log or another process told the highest offset that it knows.
    Confirmed {
        /// When it was asked.
        asked: Instant,
        /// The offset.
        highest: Offset,
    },
    /// All records that stood at the log's last answer are applied.
    CaughtUp,
    /// A start ended without a whole answer, perhaps because its target died.
    Lost {
        /// The request.
        request: RequestId,
    },
    /// Records of the stream of crashes were read, in order.
    Crashes(Vec<Record>),
    /// The platform's list of hosts was read.
    Hosts(Vec<Host>),
    /// The process will be asked to leave soon: it says so, and still takes requests.
    Leave,
    /// The process is asked to leave.
    Drain,
    /// Time has passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Ask an agent for room; the answer comes back as an event.
    Reserve {
        /// The target.
        target: TargetName,
        /// Its agent's control address.
        address: SocketAddr,
        /// What to ask.
        ask: Ask,
    },
    /// Give a reservation up.
    Cancel {
        /// The reservation.
        id: Id,
        /// Its agent's control address.
        address: SocketAddr,
    },
    /// Ask a key's home for the key; the answer comes back as an event.
    Claim {
        /// The request.
        request: RequestId,
        /// The home's control address.
        address: SocketAddr,
        /// What to ask.
        ask: claim::Ask,
    },
    /// Tell a key's home what became of an attempt; a failure comes back as an event.
    Settle {
        /// The home's control address.
        address: SocketAddr,
        /// What to tell.
        settle: Settle,
        /// How often it was tried, with this time.
        tries: u32,
    },
    /// A member seems lost: wait for a random time, so that not every process removes it at once,
    /// and give it back as an event.
    Lost(Leave),
    /// Append the record that removes a lost member.
    Remove(Leave),
    /// Send the body to the agent that granted, and relay the answer.
    Start(Start),
    /// Answer the caller with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// Whose it is.
        owner: Owner,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// A higher offset was heard of: read the log up to it.
    CatchUp(Offset),
    /// A record of the configuration was applied.
    Applied(config::Step),
    /// The configuration stepped forward to a snapshot as of this offset.
    Restored(Offset),
    /// A record or a snapshot was not applied.
    NotApplied(config::Error),
    /// No request is left and none will be taken.
    Drained,
}

/// Everything that is needed to start a granted request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// The reservation that was granted.
    pub id: Id,
    /// Whose request it is.
    pub owner: Owner,
    /// The target.
    pub target: TargetName,
    /// Its agent's control address.
    pub control: SocketAddr,
    /// Its agent's traffic address.
    pub traffic: SocketAddr,
    /// Time that remains until the whole answer is due.
    pub remaining: Duration,
}

/// What an agent's reply says besides, if anything.
pub(crate) fn load(event: &Event) -> Option<(Id, Load)> {
    match event {
        Event::Granted { id, grant } => Some((*id, grant.load)),
        Event::Denied { id, denial } => Some((*id, denial.load)),
        _ => None,
    }
}
