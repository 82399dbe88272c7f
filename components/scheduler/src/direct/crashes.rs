//! Bodies that ran when targets crashed, and how often, as all entry processes counted.
//!
//! Each process keeps what it counted and what it heard, so that a count outlives the process that
//! made it. With each exchange only a digest of it is told: whoever has another one fetches the counts.

use std::{
    collections::BTreeMap,
    hash::BuildHasher,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::Fingerprint;
use serde::{Deserialize, Serialize};

use super::HASHER;

/// Most bodies that are remembered.
const KEPT: usize = 1_000;
/// Time for which a count is remembered after it last grew.
const LIFE: Duration = Duration::from_secs(600);

/// A process that counted: where it listens, and its start.
pub type Witness = (SocketAddr, u64);

/// How often a process saw a body crash a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// The body.
    pub body: Fingerprint,
    /// Who counted.
    pub by: Witness,
    /// How often.
    pub times: u32,
    /// Time since it last grew.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    times: u32,
    last: Instant,
}

/// All counts that are known.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    counts: BTreeMap<Fingerprint, BTreeMap<Witness, Seen>>,
    /// Of all counts, in whatever order they were heard; 0 where there are none.
    digest: u64,
    /// No count's life is over before.
    lapse: Option<Instant>,
}

impl Crashes {
    /// Counts a crash; gives how often the body crashed targets.
    pub fn add(&mut self, now: Instant, body: Fingerprint, by: Witness) -> u32 {
        let known = self.counts.get(&body).and_then(|counts| counts.get(&by));
        let times = known.map_or(0, |seen| seen.times) + 1;
        self.set(body, by, Seen { times, last: now });
        self.times(&body)
    }

    /// Hears what a process counted; counts only grow.
    pub fn hear(&mut self, now: Instant, count: &Count) {
        let Some(last) = now.checked_sub(count.age).filter(|_| count.age < LIFE) else {
            return;
        };
        let known = self.counts.get(&count.body).and_then(|counts| counts.get(&count.by));
        if known.is_none_or(|seen| seen.times < count.times) {
            self.set(count.body, count.by, Seen { times: count.times, last });
        }
    }

    /// Forgets counts whose life is over.
    pub fn forget(&mut self, now: Instant) {
        if self.lapse.is_none_or(|lapse| now < lapse) {
            return;
        }
        let counts = std::mem::take(self).counts;
        for (body, counts) in counts {
            for (by, seen) in counts.into_iter().filter(|(_, seen)| now < seen.last + LIFE) {
                self.set(body, by, seen);
            }
        }
    }

    /// How often a body crashed targets.
    pub fn times(&self, body: &Fingerprint) -> u32 {
        self.counts.get(body).map_or(0, |counts| counts.values().map(|seen| seen.times).sum())
    }

    /// The same in processes that know the same counts; 0 where there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All counts, for others.
    pub fn counts(&self, now: Instant) -> Vec<Count> {
        let all = self
            .counts
            .iter()
            .flat_map(|(&body, counts)| counts.iter().map(move |(&by, seen)| (body, by, seen)));
        let told = all.map(|(body, by, seen)| {
            let age = now.saturating_duration_since(seen.last);
            Count { body, by, times: seen.times, age }
        });
        told.collect()
    }

    fn set(&mut self, body: Fingerprint, by: Witness, seen: Seen) {
        if !self.counts.contains_key(&body) && self.counts.len() >= KEPT {
            self.forget_oldest();
        }
        if let Some(before) = self.counts.entry(body).or_default().insert(by, seen) {
            self.mark(body, by, before);
        }
        self.mark(body, by, seen);
        let lapse = seen.last + LIFE;
        self.lapse = Some(self.lapse.map_or(lapse, |known| known.min(lapse)));
    }

    fn forget_oldest(&mut self) {
        let last = |counts: &BTreeMap<Witness, Seen>| counts.values().map(|seen| seen.last).max();
        let oldest = self.counts.iter().min_by_key(|(_, counts)| last(counts));
        let Some(body) = oldest.map(|(&body, _)| body) else {
            return;
        };
        for (by, seen) in self.counts.remove(&body).unwrap_or_default() {
            self.mark(body, by, seen);
        }
    }

    /// Takes a count into the digest, or out of it.
    fn mark(&mut self, body: Fingerprint, by: Witness, seen: Seen) {
        self.digest ^= HASHER.hash_one((body, by, seen.times));
    }
}
