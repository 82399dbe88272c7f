//! How long the requests of each tier hold their slots.

use std::{collections::BTreeMap, time::Duration};

use model::id::PoolName;

/// Weight of the newest observation in a moving average.
const NEWEST: f64 = 0.05;

/// Means in seconds, by pool and rank.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    means: BTreeMap<PoolName, BTreeMap<u32, f64>>,
}

impl Holds {
    /// Learns from a request that ended whole.
    pub fn learn(&mut self, pool: &PoolName, rank: u32, held: Duration) {
        let seen = held.as_secs_f64();
        let mean = self.means.entry(pool.clone()).or_default().entry(rank).or_insert(seen);
        *mean += NEWEST * (seen - *mean);
    }

    /// Whether the requests of a rank hold their slots for longer than those of any other.
    pub fn is_longest(&self, pool: &PoolName, rank: u32) -> bool {
        let Some(means) = self.means.get(pool) else {
            return false;
        };
        let own = means.get(&rank).copied().unwrap_or_default();
        let mut others = means.iter().filter(|&(&other, _)| other != rank).peekable();
        others.peek().is_some() && others.all(|(_, &mean)| mean < own)
    }
}
