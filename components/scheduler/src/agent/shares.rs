//! How much of the target's work each tier had lately.

use std::collections::BTreeMap;

use model::id::Rank;

/// Share of the newest grant in the averages.
const WEIGHT: f64 = 1.0 / 64.0;

/// Work granted lately, by rank; older grants count less and less.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    work: BTreeMap<Rank, f64>,
}

impl Shares {
    /// Work was granted.
    pub fn grant(&mut self, rank: Rank, work: u64) {
        for sum in self.work.values_mut() {
            *sum *= 1.0 - WEIGHT;
        }
        *self.work.entry(rank).or_default() += work as f64;
    }

    /// Share of one tier, between 0 and 1; 1 before any work was granted.
    pub fn of(&self, rank: Rank) -> f64 {
        let all: f64 = self.work.values().sum();
        if all == 0.0 {
            return 1.0;
        }
        self.work.get(&rank).copied().unwrap_or_default() / all
    }

    /// Share of the tiers above one, between 0 and 1.
    pub fn above(&self, rank: Rank) -> f64 {
        let all: f64 = self.work.values().sum();
        if all == 0.0 {
            return 0.0;
        }
        let above: f64 = self.work.range(..rank).map(|(_, sum)| sum).sum();
        above / all
    }
}
