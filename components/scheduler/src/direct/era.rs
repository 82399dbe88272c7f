//! Eras of the platform's service: it came back from an older copy of itself.
//!
//! What it acknowledged last is gone then, until its writers write it again. Nothing that was known here
//! steps back meanwhile: neither the configuration, which the copy may not prove to be current, nor the
//! targets that were leaving or had left.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use super::{
    State,
    relay::{Era, Listing},
};

/// The era of a service that never came back from a copy.
const FIRST: Era = 1;
/// Time in which writers write again what a copy lacks: until then it proves nothing.
const REWRITE: Duration = Duration::from_secs(1);
/// Time for which a process that starts waits for others to tell what they know. One that reaches none
/// goes by the copy then, which may lack what was acknowledged last.
const ASK: Duration = Duration::from_millis(1_500);
/// Time in which targets that left are off the list again: three of their heartbeats, and some more.
const EXPIRY: Duration = Duration::from_secs(6);

impl State {
    /// Sees the platform's era. In a newer one the list may lack targets, as after an outage.
    pub(super) fn enter(&mut self, now: Instant, era: Era) {
        if self.era.is_some_and(|known| known >= era) {
            return;
        }
        if self.era.replace(era).is_some() {
            self.era_began = Some(now);
            self.outage = Some(now);
        }
        self.rollouts.enter(era);
    }

    /// Whether a version that the platform has as its newest proves that the one in force is current.
    pub(super) fn proves(&self, now: Instant, version: u64) -> bool {
        let known = self.plan.as_ref().map_or(0, |plan| plan.version);
        if version < known {
            return false;
        }
        match self.era_began {
            Some(at) => now.duration_since(at) >= REWRITE && self.has_asked(now),
            None => self.era <= Some(FIRST) || self.has_asked(now),
        }
    }

    /// Whether others had the time to tell this process of a newer configuration.
    fn has_asked(&self, now: Instant) -> bool {
        let known = self.plan.as_ref().map_or(0, |plan| plan.version);
        let ahead = self.offers.values().any(|offer| offer.plan > known);
        !ahead && (self.heard_offer || now.duration_since(self.opened) >= ASK)
    }

    /// Remembers the targets that are listed no more.
    pub(super) fn see_off(&mut self, now: Instant) {
        let listed: BTreeSet<&str> =
            self.listing.targets.iter().map(|target| target.name.as_str()).collect();
        let gone = self.capacity.listed().filter(|target| !listed.contains(target.name.as_str()));
        let gone = gone.map(|target| (target.name.clone(), (target.incarnation, now)));
        self.left.extend(gone.collect::<Vec<_>>());
        self.left.retain(|_, (_, at)| now.duration_since(*at) < EXPIRY * 2);
    }

    /// The list without what an older copy brings back: a start of a target that left, or was leaving,
    /// never takes requests again.
    pub(super) fn settle(&self, now: Instant, mut listing: Listing) -> Listing {
        if self.era_began.is_none_or(|at| now.duration_since(at) >= EXPIRY) {
            return listing;
        }
        listing.targets.retain(|target| {
            let left = self.left.get(&target.name);
            left.is_none_or(|(incarnation, _)| *incarnation != target.incarnation)
        });
        for target in &mut listing.targets {
            let known = self.capacity.state(&target.name).map(|state| &state.target);
            let known = known.filter(|known| known.incarnation == target.incarnation);
            target.ready &= known.is_none_or(|known| known.ready);
        }
        listing
    }
}
