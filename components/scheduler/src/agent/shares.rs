//! Share of each tier in the target's recently granted work.

use std::collections::BTreeMap;

use model::id::Rank;

/// Weight of the newest grant: each grant reduces the sums of earlier work by this share.
const NEWEST_GRANT_WEIGHT: f64 = 1.0 / 64.0;

/// Granted work by rank, with exponential decay: the older a grant, the less it counts.
#[derive(Clone, Debug, Default)]
pub struct TierShares {
    work_by_rank: BTreeMap<Rank, f64>,
}

impl TierShares {
    /// Records that some work was granted to a tier.
    pub fn grant(&mut self, rank: Rank, work: u64) {
        for granted in self.work_by_rank.values_mut() {
            *granted *= 1.0 - NEWEST_GRANT_WEIGHT;
        }
        *self.work_by_rank.entry(rank).or_default() += work as f64;
    }

    /// Returns the share of one tier in the granted work, from 0 to 1; 1 before any work was granted.
    pub fn share_of(&self, rank: Rank) -> f64 {
        let total: f64 = self.work_by_rank.values().sum();
        if total == 0.0 {
            return 1.0;
        }
        self.work_by_rank.get(&rank).copied().unwrap_or_default() / total
    }

    /// Returns the share of all tiers above one in the granted work, from 0 to 1; 0 before any work was
    /// granted.
    pub fn share_above(&self, rank: Rank) -> f64 {
        let total: f64 = self.work_by_rank.values().sum();
        if total == 0.0 {
            return 0.0;
        }
        let above: f64 = self.work_by_rank.range(..rank).map(|(_, granted)| granted).sum();
        above / total
    }
}
