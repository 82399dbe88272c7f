//! Eras of the platform's service. A new era begins when the service is restored from a backup.
//!
//! The backup lacks the records that the service acknowledged last, until their writers write them again.
//! Meanwhile this process doesn't return to an older state: it keeps its configuration, which the backup
//! can't confirm to be current, and doesn't use targets that were draining or had left.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use super::{
    State,
    outage::RELISTING_TIME,
    relay::{Era, Listing},
};

/// Era of a service that was never restored from a backup.
const FIRST_ERA: Era = 1;
/// Time within which writers write the records again that a backup lacks: until then the service can't
/// confirm that a configuration is current.
const REWRITE_TIME: Duration = Duration::from_secs(1);
/// Time for which a process that starts after the first era waits for offers of other processes. Without an
/// offer it relies on the restored backup then, which may lack the records that were acknowledged last.
const OFFER_WAIT: Duration = Duration::from_millis(1_500);
/// Time within which targets that a restored backup lists, but that have left, expire from the list: three
/// of their heartbeats, and some more.
const LISTING_EXPIRY: Duration = Duration::from_secs(6);

impl State {
    /// Records the era of the platform's service. If it is a newer one, the list may lack targets, as after
    /// an outage.
    pub(super) fn enter_era(&mut self, now: Instant, era: Era) {
        if self.era.is_some_and(|known| known >= era) {
            return;
        }
        if self.era.replace(era).is_some() {
            self.era_began = Some(now);
            self.relisting_until = Some(now + RELISTING_TIME);
        }
        self.rollouts.enter_era(era);
    }

    /// Returns whether the configuration in force is current, given that the platform's newest one has this
    /// version.
    pub(super) fn confirms_configuration(&self, now: Instant, version: u64) -> bool {
        let known = self.configuration.as_ref().map_or(0, |configuration| configuration.version);
        if version < known {
            return false;
        }
        match self.era_began {
            Some(at) => now.duration_since(at) >= REWRITE_TIME && self.is_current_among_peers(now),
            None => self.era <= Some(FIRST_ERA) || self.is_current_among_peers(now),
        }
    }

    /// Returns whether other processes had enough time to offer a newer configuration and none has one.
    fn is_current_among_peers(&self, now: Instant) -> bool {
        let known = self.configuration.as_ref().map_or(0, |configuration| configuration.version);
        let ahead = self.offers.values().any(|offer| offer.plan > known);
        !ahead && (self.has_received_offer || now.duration_since(self.started) >= OFFER_WAIT)
    }

    /// Remembers the targets in use that are no longer listed, for a limited time.
    pub(super) fn remember_departed(&mut self, now: Instant) {
        let listed: BTreeSet<&str> =
            self.target_list.targets.iter().map(|target| target.name.as_str()).collect();
        let departed =
            self.capacity.listed_targets().filter(|target| !listed.contains(target.name.as_str()));
        let departed = departed.map(|target| (target.name.clone(), (target.incarnation, now)));
        self.departed.extend(departed.collect::<Vec<_>>());
        self.departed.retain(|_, (_, at)| now.duration_since(*at) < LISTING_EXPIRY * 2);
    }

    /// Returns the list without targets that only a restored backup shows: an incarnation of a target that
    /// left, or was draining, never accepts requests again.
    pub(super) fn without_departed(&self, now: Instant, mut listing: Listing) -> Listing {
        if self.era_began.is_none_or(|at| now.duration_since(at) >= LISTING_EXPIRY) {
            return listing;
        }
        listing.targets.retain(|target| {
            let departed = self.departed.get(&target.name);
            departed.is_none_or(|(incarnation, _)| *incarnation != target.incarnation)
        });
        for target in &mut listing.targets {
            let known = self.capacity.state(&target.name).map(|state| &state.target);
            let known = known.filter(|known| known.incarnation == target.incarnation);
            target.is_ready &= known.is_none_or(|known| known.is_ready);
        }
        listing
    }
}
