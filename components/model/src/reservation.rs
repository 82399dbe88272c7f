//! Reservations: a request waits for a slot of a target in a reservation at the target's agent, and each
//! reservation starts at most once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{AccountHash, Offset, Rank, RequestId},
    refusal::Reason,
    suspect::Body,
};

/// Hash of one block of a prompt together with all blocks before it.
pub type BlockHash = u64;

/// Id of a reservation: the request, and the number of the reservation among those of the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// Request that the reservation is for.
    pub request: RequestId,
    /// Number of the reservation, counted from 1; no two reservations of a request share a number.
    pub attempt: u32,
}

/// Reservation that an entry process requests from an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Id of the new reservation.
    pub id: Id,
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Time that remains until the request's deadline, by which the answer must be complete.
    pub remaining: Duration,
    /// Estimated number of tokens to prefill.
    pub prefill: u32,
    /// Maximum number of tokens to generate.
    pub decode: u32,
    /// Hashes of the prompt's leading blocks, in the order of the prompt.
    pub prefix: Vec<BlockHash>,
    /// What places the reservation in the queue besides its rank.
    pub order: Order,
    /// Configuration offset that the entry process has applied.
    pub offset: Offset,
    /// Fingerprint of the request's body, and whether the body is suspected of crashing targets.
    pub body: Body,
}

/// What places a reservation in the queue of its target besides its rank. With the default value only rank, deadline
/// and arrival count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Whether the answer can no longer meet its target latency: the reservation waits behind all that can, of
    /// any rank.
    pub is_late: bool,
    /// Whether the caller returns at the time that it was given with a refusal: the reservation goes before all
    /// others of its rank.
    pub is_return: bool,
    /// Whether the caller returns without a promise, or before its time: the reservation goes after all others of
    /// its rank, which can still be on time.
    pub is_unpromised: bool,
    /// Account whose share of the target the request uses; `None` where accounts don't share the target by work.
    pub share: Option<Share>,
}

/// Account that shares a target with others of equal rank.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Hash of the account's name.
    pub account: AccountHash,
    /// Weight of the account, relative to the others; at least 1.
    pub weight: u32,
}

/// A target's rate limit as an entry process last received it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// Mean interval between two requests of all processes together; `None` if the target has no rate
    /// limit any more.
    pub interval: Option<Duration>,
    /// Time since the limit was received.
    pub age: Duration,
}

/// State of a reservation; all but the first two are final.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fate {
    /// The reservation waits for a slot.
    Waiting,
    /// The reservation holds a slot until its grant expires, and may start.
    Granted,
    /// The request was started: it runs or ran on the target.
    Started,
    /// The entry process or the agent cancelled the reservation before it started.
    Cancelled,
    /// The grant or the deadline expired before the reservation started.
    Expired,
    /// A request of a higher tier displaced the reservation before it started.
    Evicted,
    /// The agent doesn't know the reservation, perhaps because the agent was restarted; the
    /// reservation may have started.
    Unknown,
}

impl Fate {
    /// Returns whether this state proves that the reservation did not start and never will.
    pub fn never_starts(self) -> bool {
        matches!(self, Fate::Cancelled | Fate::Expired | Fate::Evicted)
    }
}

/// A slot for a request, reserved for a short time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Time until the grant expires, by the agent's clock.
    pub life: Duration,
    /// Load of the target at the time of the answer.
    pub load: Load,
}

/// Answer to a reservation that ended without a grant; the request did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Denial {
    /// Reason of the denial.
    pub reason: Reason,
    /// Time after which a slot is likely to be free.
    pub retry_after: Duration,
    /// Load of the target at the time of the answer.
    pub load: Load,
}

/// Load of a target, which its agent attaches to every answer; it may have changed on arrival.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of granted and running requests.
    pub running: u32,
    /// Number of waiting reservations.
    pub waiting: u32,
    /// Lowest rank number of the tiers that the agent sheds now; `None` if it sheds none.
    pub floor: Option<Rank>,
    /// Highest configuration offset that the agent has received in a message or applied.
    pub offset: Offset,
    /// Average time in which the target generates one token; `None` until enough requests have run.
    pub step: Option<Duration>,
}
