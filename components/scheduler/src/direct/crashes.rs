//! Bodies that ran when targets crashed, and how often, as all entry processes counted.
//!
//! Each process tells what it counted and what it heard, so that a count outlives the process that made it.

use std::{collections::BTreeMap, net::SocketAddr};

use model::id::Fingerprint;
use serde::{Deserialize, Serialize};

/// Most bodies that are remembered; each is told to every other process.
const KEPT: usize = 1_000;

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
}

/// All counts that are known.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    counts: BTreeMap<Fingerprint, BTreeMap<Witness, u32>>,
}

impl Crashes {
    /// Counts a crash; gives how often the body crashed targets.
    pub fn add(&mut self, body: Fingerprint, by: Witness) -> u32 {
        let times = self.counts.get(&body).and_then(|counts| counts.get(&by)).copied();
        self.hear(&Count { body, by, times: times.unwrap_or_default() + 1 });
        self.times(&body)
    }

    /// Hears what a process counted; counts only grow.
    pub fn hear(&mut self, count: &Count) {
        let times = self.counts.entry(count.body).or_default().entry(count.by).or_default();
        *times = count.times.max(*times);
        if self.counts.len() > KEPT {
            self.counts.pop_first();
        }
    }

    /// How often a body crashed targets.
    pub fn times(&self, body: &Fingerprint) -> u32 {
        self.counts.get(body).map_or(0, |counts| counts.values().sum())
    }

    /// All counts, for others.
    pub fn counts(&self) -> impl Iterator<Item = Count> {
        let each = |(&body, counts): (&Fingerprint, &BTreeMap<Witness, u32>)| {
            let counts = counts.iter().map(move |(&by, &times)| Count { body, by, times });
            counts.collect::<Vec<_>>()
        };
        self.counts.iter().flat_map(each)
    }
}
