//! Table of the claims that an agent stores, with an expiry time for each and a limit on their
//! number.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use model::{
    claim::{Mark, Transfer},
    id::ClaimKey,
};
use uuid::Uuid;

/// Time for which a claim is stored after its grant; longer than any request may take.
pub const RETENTION: Duration = Duration::from_secs(4 * 3_600);

#[derive(Clone, Copy, Debug)]
struct Claim {
    mark: Mark,
    /// Time at which the claim is removed.
    expires_at: Instant,
}

/// Time at which the claim of a key expires, unless it was stored again since.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    at: Instant,
    key: ClaimKey,
}

/// Claims by key, removed when they expire.
#[derive(Clone, Debug)]
pub(super) struct Table {
    claims: BTreeMap<ClaimKey, Claim>,
    /// At least one entry for each claim, in the order of their times.
    expiries: VecDeque<Expiry>,
    /// Number of claims at which the table counts as full. The table itself doesn't enforce it:
    /// claims that are handed over are stored beyond it.
    capacity: usize,
}

impl Table {
    /// Returns an empty table that counts as full at `capacity` claims.
    pub(super) fn open(capacity: usize) -> Table {
        Table { claims: BTreeMap::new(), expiries: VecDeque::new(), capacity }
    }

    pub(super) fn get(&self, key: ClaimKey) -> Option<Mark> {
        self.claims.get(&key).map(|claim| claim.mark)
    }

    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.claims.len() >= self.capacity
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Transfer> {
        self.claims.iter().map(|(key, claim)| Transfer { key: *key, mark: claim.mark })
    }

    /// Stores a mark of a key until [`RETENTION`] after `now`.
    pub(super) fn set(&mut self, now: Instant, key: ClaimKey, mark: Mark) {
        let expires_at = now + RETENTION;
        self.claims.insert(key, Claim { mark, expires_at });
        self.expiries.push_back(Expiry { at: expires_at, key });
    }

    /// Changes the mark of a stored claim (whether the key is free, held or its request ran) without
    /// changing its expiry time; does nothing where the key has no claim.
    pub(super) fn update(&mut self, key: ClaimKey, mark: Mark) {
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.mark = mark;
        }
    }

    /// Removes the claims whose expiry time is `now` or earlier.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            let Some(expiry) = self.expiries.pop_front() else {
                return;
            };
            if self.claims.get(&expiry.key).is_some_and(|claim| claim.expires_at <= now) {
                self.claims.remove(&expiry.key);
            }
        }
    }
}

/// Merges two marks of the same key, reported by different agents or at different times.
///
/// `Ran` outweighs every other mark. `Held` gives way only to `Free` of the same attempt, which
/// proves that this attempt never ran. Two attempts that both hold the key can't be ordered by
/// age, so the result is held by the nil attempt: no release frees the key before it expires.
pub(super) fn merge(one: Mark, other: Mark) -> Mark {
    match (one, other) {
        (Mark::Ran, _) | (_, Mark::Ran) => Mark::Ran,
        (Mark::Held(a), Mark::Held(b)) if a != b => Mark::Held(Uuid::nil()),
        (Mark::Held(a), Mark::Free(b)) | (Mark::Free(b), Mark::Held(a)) if a == b => Mark::Free(b),
        (Mark::Held(a), _) | (_, Mark::Held(a)) => Mark::Held(a),
        (Mark::Free(a), Mark::Free(_)) => Mark::Free(a),
    }
}
