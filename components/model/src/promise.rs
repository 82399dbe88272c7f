//! Promises: a caller that is refused for want of a slot is told a time from which on it goes before newcomers of
//! its tier, at whichever entry process it returns.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Fingerprint, PoolName, Rank};

/// Key of a promise: hash of a pool's name and of the fingerprint of the refused request.
pub type Key = Fingerprint;

/// Promise that an entry process requests from the agent that keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Key of the promise.
    pub key: Key,
    /// Pool whose slots the caller needs.
    pub pool: PoolName,
    /// Rank of the request's tier; promises of different tiers are spaced independently.
    pub rank: Rank,
    /// Shortest time until the caller may return: until then, the slots go to requests ahead of it.
    pub earliest: Duration,
    /// Longest time for which the caller waits before it returns.
    pub latest: Duration,
    /// Least time between the due times of two promises of the pool and tier at this agent.
    pub interval: Duration,
    /// Time after the due time at which the promise lapses.
    pub grace: Duration,
}

/// A promise that an agent keeps.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Promise {
    /// Time until the promise is due.
    pub due: Duration,
    /// Whether the promise was made by this call; otherwise the caller returned before its time, and the due time
    /// is the one that it was told first.
    pub is_new: bool,
}

/// Answer of an agent to the question whether a request was promised a slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Redemption {
    /// The caller returned at its time. The promise is used up.
    Due,
    /// The caller returned before its time. The promise stays.
    Early,
    /// The caller returned after a refusal without a promise.
    Unpromised,
    /// The agent doesn't know the caller.
    Unknown,
}
