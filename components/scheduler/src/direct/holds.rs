//! Mean times for which the requests of each tier hold their slots.

use std::{collections::BTreeMap, time::Duration};

use model::id::PoolName;

/// Weight of the newest observation in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Mean times for which requests hold their slots, by pool and tier.
#[derive(Clone, Debug, Default)]
pub struct SlotTimes {
    /// Moving averages, in seconds, by pool and rank of the tier.
    means: BTreeMap<PoolName, BTreeMap<u32, f64>>,
}

impl SlotTimes {
    /// Records the time for which a request held its slot until its whole answer was sent.
    pub fn record(&mut self, pool: &PoolName, rank: u32, held: Duration) {
        let observed = held.as_secs_f64();
        let mean = self.means.entry(pool.clone()).or_default().entry(rank).or_insert(observed);
        *mean += EWMA_WEIGHT * (observed - *mean);
    }

    /// Returns the mean time for which requests of a pool hold their slots, each tier counting alike; `None` before the
    /// first one ended.
    pub fn mean(&self, pool: &PoolName) -> Option<Duration> {
        let means = self.means.get(pool)?;
        let sum: f64 = means.values().sum();
        (!means.is_empty()).then(|| Duration::from_secs_f64(sum / means.len() as f64))
    }

    /// Returns the mean time for which requests of a tier hold their slots; `None` before the first one ended.
    pub fn mean_of_tier(&self, pool: &PoolName, rank: u32) -> Option<Duration> {
        self.means.get(pool)?.get(&rank).copied().map(Duration::from_secs_f64)
    }

    /// Reports whether the requests of a rank hold their slots longer on average than those of any other
    /// rank. Returns `false` until another rank of the pool is known.
    pub fn is_longest(&self, pool: &PoolName, rank: u32) -> bool {
        let Some(means) = self.means.get(pool) else {
            return false;
        };
        let own = means.get(&rank).copied().unwrap_or_default();
        let mut others = means.iter().filter(|&(&other, _)| other != rank).peekable();
        others.peek().is_some() && others.all(|(_, &mean)| mean < own)
    }
}
