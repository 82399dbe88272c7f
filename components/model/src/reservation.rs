//! Reservations: a request waits as one at a target's agent and starts at most once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Offset, Rank, RequestId},
    refusal::Reason,
    suspect::Body,
};

/// Hash of one block of a prompt together with all blocks before it.
pub type BlockHash = u64;

/// Names one reservation: the request, and which of its reservations it is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The request that waits.
    pub request: RequestId,
    /// Counts the request's reservations from 1; a number is never used twice.
    pub attempt: u32,
}

/// What an entry asks of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The new reservation.
    pub id: Id,
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Time that remains until the whole answer is due.
    pub remaining: Duration,
    /// Estimated tokens to prefill.
    pub prefill: u32,
    /// Most tokens to generate.
    pub decode: u32,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<BlockHash>,
    /// Configuration offset that the entry has applied.
    pub offset: Offset,
    /// What is known of the request's body.
    pub body: Body,
}

/// What an entry last heard of a target's rate limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// Mean time between two requests of all processes together; `None` where the limit is gone.
    pub interval: Option<Duration>,
    /// Time since it was heard.
    pub age: Duration,
}

/// What became of a reservation; all but the first two are final.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fate {
    /// It waits for room.
    Waiting,
    /// It holds room for a short time and may start.
    Granted,
    /// It started: the target has, or had, the request.
    Started,
    /// The entry gave it up before it started.
    Cancelled,
    /// Its grant or its deadline ran out before it started.
    Expired,
    /// A higher tier took its place before it started.
    Evicted,
    /// The agent doesn't know it, perhaps because it was restarted: it may have started.
    Unknown,
}

impl Fate {
    /// Whether this proves that the reservation did not start and never will.
    pub fn never_starts(self) -> bool {
        matches!(self, Fate::Cancelled | Fate::Expired | Fate::Evicted)
    }
}

/// Room for a request, for a short time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Time until the grant lapses, on the agent's clock.
    pub life: Duration,
    /// What the agent says of its load.
    pub load: Load,
}

/// Why a reservation ended without a grant; the request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Denial {
    /// Why.
    pub reason: Reason,
    /// When room is likely.
    pub retry_after: Duration,
    /// What the agent says of its load.
    pub load: Load,
}

/// What an agent says of its load on every reply; old once it arrives.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Reservations that wait.
    pub waiting: u32,
    /// Lowest rank number that the agent sheds now; `None` where it sheds none.
    pub floor: Option<Rank>,
    /// Highest configuration offset that the agent has heard of.
    pub offset: Offset,
    /// Time that the target takes for each token that it generates; `None` while too little is known.
    pub step: Option<Duration>,
}
