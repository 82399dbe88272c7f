//! The versions that serve a pool without a running rollout.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::Version;

/// Time from the first listing of a version within which the operator's order for it may still be written.
const ORDER_DELAY: Duration = Duration::from_secs(1);

/// Versions of one pool, without the one of a running rollout.
#[derive(Clone, Debug, Default)]
pub struct PoolVersions {
    /// Base versions: their targets take requests side by side.
    base: BTreeSet<Version>,
    /// Versions without an order and the times at which this process first listed them. Each becomes a base
    /// version once it is certain that no order for it was written.
    candidates: BTreeMap<Version, Instant>,
    /// Versions that an order moved the requests away from: rolled back, withdrawn or replaced.
    refused: BTreeSet<Version>,
}

impl PoolVersions {
    /// Returns whether targets of the version take requests without a rollout.
    pub fn is_base(&self, version: &Version) -> bool {
        self.base.contains(version)
    }

    /// Returns whether any version waits to become a base version.
    pub fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Handles an order for a version: only the rollout decides about it from now on. `replaced` is the version
    /// of the pool's previous order if that one didn't complete.
    pub fn order(&mut self, version: &Version, replaced: Option<Version>) {
        self.refused.extend(replaced);
        self.base.remove(version);
        self.candidates.remove(version);
        self.refused.remove(version);
    }

    /// Makes the version of a completed rollout the only base version.
    pub fn complete(&mut self, version: &Version) {
        self.refused.append(&mut self.base);
        self.refused.extend(std::mem::take(&mut self.candidates).into_keys());
        self.refused.remove(version);
        self.base.insert(version.clone());
    }

    /// Closes the version of a rollout that was rolled back.
    pub fn roll_back(&mut self, version: &Version) {
        self.base.remove(version);
    }

    /// Updates the base versions by the versions that are listed now. `ordered` is the version of the pool's
    /// latest order. Unless `is_running` states that its rollout runs, a version that was first listed more than
    /// [`ORDER_DELAY`] before `orders_confirmed`, the time up to which all orders are known, becomes a base
    /// version. If no listed version is a base version, all but the ordered one become base versions at once.
    pub fn update(
        &mut self,
        now: Instant,
        listed: &BTreeSet<&Version>,
        ordered: Option<&Version>,
        is_running: bool,
        orders_confirmed: Option<Instant>,
    ) {
        self.candidates.retain(|version, _| listed.contains(version));
        let unordered = listed.iter().copied().filter(|&version| Some(version) != ordered);
        if !listed.iter().any(|version| self.base.contains(*version)) {
            for version in unordered {
                self.base.insert(version.clone());
                self.candidates.remove(version);
                self.refused.remove(version);
            }
            return;
        }
        for version in unordered {
            if self.base.contains(version) || self.refused.contains(version) {
                continue;
            }
            let first_listed = *self.candidates.entry(version.clone()).or_insert(now);
            let is_unordered = orders_confirmed.is_some_and(|at| at >= first_listed + ORDER_DELAY);
            if is_unordered && !is_running {
                self.candidates.remove(version);
                self.base.insert(version.clone());
            }
        }
    }
}
