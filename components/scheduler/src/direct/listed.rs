//! Versions of targets that were listed in the last time. They tell which version began a stream that no agent can be
//! asked about.
//!
//! The list of targets may be old: this process may have been cut off from the platform's service, or have stood still,
//! while a version joined. It may also be too young: the targets that began a stream may have left before this process
//! started. So the list counts only once it was read after the question arose, and only if this process has observed it
//! for as long as the stream may run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::id::PoolName;

use super::{event::Target, rollout::Version};

/// Time for which a version is remembered after its last target has left the list.
const RETENTION: Duration = Duration::from_secs(120);

/// Versions that are or were listed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Time from which on no change of the list was missed; `None` before the list was first read.
    observed_since: Option<Instant>,
    /// Time at which the list was known to be complete; `None` before it was first read.
    confirmed: Option<Instant>,
    /// Versions of listed targets by pool.
    listed: BTreeMap<PoolName, BTreeSet<Version>>,
    /// Versions that are no longer listed, with the times at which that was noticed.
    left: BTreeMap<(PoolName, Version), Instant>,
}

impl History {
    /// Replaces the listed versions by those of the targets in use.
    pub fn replace<'a>(&mut self, now: Instant, targets: impl Iterator<Item = &'a Target>) {
        let mut listed: BTreeMap<PoolName, BTreeSet<Version>> = BTreeMap::new();
        for target in targets {
            let versions = listed.entry(target.pool.clone()).or_default();
            if !versions.contains(&target.version) {
                versions.insert(target.version.clone());
            }
        }
        for (pool, versions) in std::mem::replace(&mut self.listed, listed) {
            let kept = self.listed.get(&pool);
            let gone = versions.into_iter().filter(|of| kept.is_none_or(|kept| !kept.contains(of)));
            self.left.extend(gone.map(|version| ((pool.clone(), version), now)));
        }
        self.left.retain(|_, left| now.saturating_duration_since(*left) < RETENTION);
    }

    /// Records that the list that was applied last was complete at this time.
    pub fn confirm(&mut self, at: Instant) {
        self.observed_since.get_or_insert(at);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns whether the list was read at this time or later.
    pub fn is_confirmed_at(&self, at: Instant) -> bool {
        self.confirmed.is_some_and(|confirmed| confirmed >= at)
    }

    /// Returns the only version of a pool that was listed at any time since `since`; `None` where there are several
    /// or none, or where this process didn't observe the list for so long.
    pub fn only_version_since(&self, pool: &PoolName, since: Instant) -> Option<&Version> {
        self.observed_since.filter(|&observed| observed <= since)?;
        let left = self.left.iter().filter(|((of, _), left)| of == pool && **left >= since);
        let left = left.map(|((_, version), _)| version);
        let versions: BTreeSet<&Version> =
            self.listed.get(pool).into_iter().flatten().chain(left).collect();
        let mut versions = versions.into_iter();
        versions.next().filter(|_| versions.next().is_none())
    }
}
