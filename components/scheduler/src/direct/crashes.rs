//! Counts, over all entry processes, of the target crashes during which each request body was running.
//!
//! Each process keeps its own counts and those that it fetched from others, so that a count outlives the
//! process that made it. Each exchange carries only a digest of all counts; a process with a different
//! digest fetches the counts.

use std::{
    collections::BTreeMap,
    hash::BuildHasher,
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::Fingerprint;
use serde::{Deserialize, Serialize};

use super::HASHER;

/// Maximum number of bodies whose counts are kept; one more evicts the body whose last crash is oldest.
const MAX_BODIES: usize = 1_000;
/// Time after which a count of crashes expires, from the last crash that it includes.
const COUNT_LIFETIME: Duration = Duration::from_secs(600);

/// Process that counts crashes: the address on which it listens for other entry processes, and its
/// incarnation.
pub type Observer = (SocketAddr, u64);

/// Weight of the crashes that one process counted for a body, as processes send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCount {
    /// Fingerprint of the request whose body ran when targets crashed.
    pub body: Fingerprint,
    /// Process that counted the crashes.
    pub observer: Observer,
    /// Sum of the weights of the crashes that the process counted.
    pub weight: u32,
    /// Time since the last of these crashes.
    pub age: Duration,
}

/// Crashes that one process counted for one body.
#[derive(Clone, Copy, Debug)]
struct Tally {
    /// Sum of the weights of the crashes.
    weight: u32,
    last_crash: Instant,
}

/// All known crash counts.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    counts: BTreeMap<Fingerprint, BTreeMap<Observer, Tally>>,
    /// Hash of all counts that doesn't depend on their order; 0 where there are none.
    digest: u64,
    /// Time before which no count expires; `None` where there are none.
    earliest_expiry: Option<Instant>,
}

impl CrashCounts {
    /// Counts a crash of the given weight that `observer` saw; returns the weight of the body's crashes over all
    /// processes.
    pub fn add(&mut self, now: Instant, body: Fingerprint, observer: Observer, weight: u32) -> u32 {
        let known = self.counts.get(&body).and_then(|counts| counts.get(&observer));
        let weight = known.map_or(0, |tally| tally.weight) + weight;
        self.set(body, observer, Tally { weight, last_crash: now });
        self.weight_of(&body)
    }

    /// Stores a count that another process sent, unless it has expired or one that is as high is known.
    pub fn merge(&mut self, now: Instant, count: &CrashCount) {
        let Some(last_crash) = now.checked_sub(count.age).filter(|_| count.age < COUNT_LIFETIME)
        else {
            return;
        };
        let known = self.counts.get(&count.body).and_then(|counts| counts.get(&count.observer));
        if known.is_none_or(|tally| tally.weight < count.weight) {
            self.set(count.body, count.observer, Tally { weight: count.weight, last_crash });
        }
    }

    /// Removes expired counts.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.earliest_expiry.is_none_or(|expiry| now < expiry) {
            return;
        }
        let counts = std::mem::take(self).counts;
        for (body, counts) in counts {
            let is_live = |tally: &Tally| now < tally.last_crash + COUNT_LIFETIME;
            for (observer, tally) in counts.into_iter().filter(|(_, tally)| is_live(tally)) {
                self.set(body, observer, tally);
            }
        }
    }

    /// Returns the weight of the target crashes during which a body was running, counted by all processes
    /// together.
    pub fn weight_of(&self, body: &Fingerprint) -> u32 {
        self.counts.get(body).map_or(0, |counts| counts.values().map(|tally| tally.weight).sum())
    }

    /// Returns a digest of all counts, which is the same in processes that have the same counts; 0 where
    /// there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all counts in the form in which they are sent to other processes.
    pub fn counts(&self, now: Instant) -> Vec<CrashCount> {
        let tallies = self.counts.iter().flat_map(|(&body, counts)| {
            counts.iter().map(move |(&observer, tally)| (body, observer, tally))
        });
        let counts = tallies.map(|(body, observer, tally)| {
            let age = now.saturating_duration_since(tally.last_crash);
            CrashCount { body, observer, weight: tally.weight, age }
        });
        counts.collect()
    }

    /// Adds or replaces a count; evicts another body where there are too many.
    fn set(&mut self, body: Fingerprint, observer: Observer, tally: Tally) {
        if !self.counts.contains_key(&body) && self.counts.len() >= MAX_BODIES {
            self.evict_oldest();
        }
        if let Some(replaced) = self.counts.entry(body).or_default().insert(observer, tally) {
            self.toggle_in_digest(body, observer, replaced);
        }
        self.toggle_in_digest(body, observer, tally);
        let expiry = tally.last_crash + COUNT_LIFETIME;
        self.earliest_expiry = Some(self.earliest_expiry.map_or(expiry, |known| known.min(expiry)));
    }

    /// Removes the body whose last crash is oldest.
    fn evict_oldest(&mut self) {
        let last_crash = |counts: &BTreeMap<Observer, Tally>| {
            counts.values().map(|tally| tally.last_crash).max()
        };
        let oldest = self.counts.iter().min_by_key(|(_, counts)| last_crash(counts));
        let Some(body) = oldest.map(|(&body, _)| body) else {
            return;
        };
        for (observer, tally) in self.counts.remove(&body).unwrap_or_default() {
            self.toggle_in_digest(body, observer, tally);
        }
    }

    /// Adds a count to the digest, or removes it where the digest contains it.
    fn toggle_in_digest(&mut self, body: Fingerprint, observer: Observer, tally: Tally) {
        self.digest ^= HASHER.hash_one((body, observer, tally.weight));
    }
}
