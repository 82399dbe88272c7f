//! Claims: which attempt of a request with an idempotency key may run.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::id::{AccountName, ClaimKey, IdempotencyKey, IncarnationId, Offset, RequestId};

/// Version of the UUIDs that begin with a time.
const TIME_VERSION: usize = 7;

/// What an entry asks of a key's home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The key.
    pub key: ClaimKey,
    /// The attempt that wants to run.
    pub attempt: RequestId,
    /// Membership epoch that the entry has applied.
    pub epoch: Offset,
    /// Time that the key itself carries, by its caller's clock.
    pub minted: Option<SystemTime>,
}

/// What the home answers; all but `Granted` leave it open whether an earlier attempt ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The attempt may run, and no other attempt may unless this one is released.
    Granted,
    /// Another attempt holds the key: it may run, or has run in part.
    Held,
    /// An attempt ran.
    Ran,
    /// The agent hasn't applied the asker's epoch, or its own is too old to decide by: ask again.
    Behind {
        /// Epoch that the agent has applied.
        epoch: Offset,
    },
    /// By a later epoch another agent is the key's home.
    Moved {
        /// Epoch that the agent has applied.
        epoch: Offset,
    },
    /// The agent is handing its claims over: ask again.
    Leaving,
    /// An earlier home was lost with its claims, or can't be asked now.
    Unsure,
    /// The key's own time is further ahead of the clock than is allowed.
    Ahead,
    /// The key is older than claims are remembered.
    Expired,
    /// The agent remembers as many claims as it may.
    Full,
}

/// What a home asks of an earlier home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// The key.
    pub key: ClaimKey,
    /// The run of the agent that is asked.
    pub incarnation: IncarnationId,
    /// Epoch under which the asker is the key's home; the asked agent never grants the key
    /// under an earlier one after this question.
    pub epoch: Offset,
    /// An attempt that provably never ran, as the asker was told: its claim is void.
    pub free: Option<RequestId>,
}

/// What an agent remembers of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Mark {
    /// The attempt was granted and provably never ran: another may.
    Free(RequestId),
    /// The attempt was granted.
    Held(RequestId),
    /// An attempt ran.
    Ran,
}

/// What an earlier home answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// It is another run of the agent, which remembers nothing of the one that was asked.
    Stranger,
    /// It never granted the key, and won't.
    Unknown,
    /// It remembers this.
    Known(Mark),
}

/// What became of an attempt that was granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settle {
    /// The key.
    pub key: ClaimKey,
    /// The attempt.
    pub attempt: RequestId,
    /// Whether it ran; otherwise it provably never will.
    pub ran: bool,
}

/// A claim that moves from an agent that leaves to the key's next home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// The key.
    pub key: ClaimKey,
    /// What is remembered.
    pub mark: Mark,
}

/// Names a caller's idempotency key across all client accounts.
pub fn key(account: &AccountName, key: &IdempotencyKey) -> ClaimKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(key.as_bytes());
    let mut bytes = [0; size_of::<ClaimKey>()];
    hasher.finalize_xof().fill(&mut bytes);
    ClaimKey::from_le_bytes(bytes)
}

/// The time that a key carries: that of a version 7 UUID, by its caller's clock.
pub fn minted(key: &IdempotencyKey) -> Option<SystemTime> {
    let uuid = Uuid::try_parse(key).ok().filter(|uuid| uuid.get_version_num() == TIME_VERSION)?;
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanoseconds))
}
