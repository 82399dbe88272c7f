//! Claims: which attempt of a request with an idempotency key may run.
//!
//! The home of a key is the agent that decides its claims. Homes follow from the members as of an
//! epoch of the membership stream, so they change when an agent joins or leaves.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::id::{AccountName, ClaimKey, IdempotencyKey, IncarnationId, Offset, RequestId};

/// Version number of the UUIDs that begin with a timestamp.
const TIMESTAMP_UUID_VERSION: usize = 7;

/// Request of an entry process to a key's home: claims the key for an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The claimed key.
    pub key: ClaimKey,
    /// The attempt to run.
    pub attempt: RequestId,
    /// Membership epoch that the entry process has applied.
    pub epoch: Offset,
    /// Timestamp in the key itself, by its caller's clock; `None` if the key contains none.
    pub minted: Option<SystemTime>,
}

/// Answer of a key's home to a claim; all but `Granted` and `Ran` leave it open whether an earlier
/// attempt ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The attempt may run. No other attempt may, unless this claim is released.
    Granted,
    /// Another attempt holds the key: it may run, or has run in part.
    Held,
    /// An earlier attempt ran.
    Ran,
    /// The agent hasn't applied the caller's epoch, or the log hasn't confirmed the agent's own epoch
    /// for too long; the caller should retry.
    Behind {
        /// Epoch that the agent has applied.
        epoch: Offset,
    },
    /// Another agent is the key's home by a later epoch.
    Moved {
        /// Epoch that the agent has applied.
        epoch: Offset,
    },
    /// The agent is handing its claims over; the caller should retry.
    Leaving,
    /// An earlier home was lost with its claims, or is unreachable.
    Unsure,
    /// The key's timestamp is further ahead of the agent's clock than is allowed.
    Ahead,
    /// The key's timestamp is older than the time for which claims are remembered.
    Expired,
    /// The agent remembers the largest allowed number of claims.
    Full,
}

/// Question of a key's home to an earlier home of the key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// The key in question.
    pub key: ClaimKey,
    /// The incarnation of the agent that is asked.
    pub incarnation: IncarnationId,
    /// Epoch under which the caller is the key's home; after this question the asked agent never
    /// grants the key under an earlier epoch.
    pub epoch: Offset,
    /// An attempt that provably never ran, as was reported to the caller, so that its claim is void;
    /// `None` if there is none.
    pub free: Option<RequestId>,
}

/// What an agent remembers of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mark {
    /// The attempt was granted and provably never ran, so another attempt may run.
    Free(RequestId),
    /// The attempt was granted; it may run or have run.
    Held(RequestId),
    /// An attempt ran.
    Ran,
}

/// Answer of an earlier home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The agent is another incarnation and remembers no claims of the one that was asked.
    Stranger,
    /// The agent never granted the key, and won't under an epoch before that of the question.
    Unknown,
    /// The agent remembers the key.
    Known(Mark),
}

/// Report of an entry process on the result of an attempt that was granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settle {
    /// The claimed key.
    pub key: ClaimKey,
    /// The attempt that was granted.
    pub attempt: RequestId,
    /// Whether the attempt ran; `false` means that it provably never ran and never will.
    pub ran: bool,
}

/// A claim that a leaving agent hands over to the key's next home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// The claimed key.
    pub key: ClaimKey,
    /// What the leaving agent remembers of the key.
    pub mark: Mark,
}

/// Returns the hash that identifies a caller's idempotency key among all client accounts.
pub fn key(account: &AccountName, key: &IdempotencyKey) -> ClaimKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(key.as_bytes());
    let mut bytes = [0; size_of::<ClaimKey>()];
    hasher.finalize_xof().fill(&mut bytes);
    ClaimKey::from_le_bytes(bytes)
}

/// Returns the timestamp in a key that is a version 7 UUID, by its caller's clock; `None` for any
/// other key.
pub fn minted(key: &IdempotencyKey) -> Option<SystemTime> {
    let uuid = Uuid::try_parse(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == TIMESTAMP_UUID_VERSION)?;
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanoseconds))
}
