//! The claims that an agent remembers: each for a time, and no more than a number.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use model::{
    claim::{Mark, Transfer},
    id::ClaimKey,
};
use uuid::Uuid;

/// Time for which a claim is remembered after its grant; longer than any request may take.
pub const RETENTION: Duration = Duration::from_secs(4 * 3_600);

#[derive(Clone, Copy, Debug)]
struct Claim {
    mark: Mark,
    /// When it is forgotten.
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    until: Instant,
    key: ClaimKey,
}

/// Claims by key.
#[derive(Clone, Debug)]
pub(super) struct Table {
    claims: BTreeMap<ClaimKey, Claim>,
    /// At least one for each claim, in order.
    expiries: VecDeque<Expiry>,
    /// Most claims that a grant may add to; a hand-over may go beyond it.
    limit: usize,
}

impl Table {
    pub(super) fn open(limit: usize) -> Table {
        Table { claims: BTreeMap::new(), expiries: VecDeque::new(), limit }
    }

    pub(super) fn get(&self, key: ClaimKey) -> Option<Mark> {
        self.claims.get(&key).map(|claim| claim.mark)
    }

    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.claims.len() >= self.limit
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Transfer> {
        self.claims.iter().map(|(key, claim)| Transfer { key: *key, mark: claim.mark })
    }

    /// Remembers a mark for the whole retention time from now on.
    pub(super) fn set(&mut self, now: Instant, key: ClaimKey, mark: Mark) {
        let until = now + RETENTION;
        self.claims.insert(key, Claim { mark, until });
        self.expiries.push_back(Expiry { until, key });
    }

    /// Changes the mark of a claim that is remembered; the time that remains stays.
    pub(super) fn update(&mut self, key: ClaimKey, mark: Mark) {
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.mark = mark;
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|expiry| expiry.until <= now) {
            let Some(expiry) = self.expiries.pop_front() else {
                return;
            };
            if self.claims.get(&expiry.key).is_some_and(|claim| claim.until <= now) {
                self.claims.remove(&expiry.key);
            }
        }
    }
}

/// What two memories of the same key come to.
///
/// A run is never forgotten, and a claim gives way only to the word that its own attempt never
/// ran. Two claims that differ can't be told apart by age, so the result is held by nobody: no
/// release frees it.
pub(super) fn merge(one: Mark, other: Mark) -> Mark {
    match (one, other) {
        (Mark::Ran, _) | (_, Mark::Ran) => Mark::Ran,
        (Mark::Held(a), Mark::Held(b)) if a != b => Mark::Held(Uuid::nil()),
        (Mark::Held(a), Mark::Free(b)) | (Mark::Free(b), Mark::Held(a)) if a == b => Mark::Free(b),
        (Mark::Held(a), _) | (_, Mark::Held(a)) => Mark::Held(a),
        (Mark::Free(a), Mark::Free(_)) => Mark::Free(a),
    }
}
