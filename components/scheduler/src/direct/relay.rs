//! What entry processes relay to each other of the configuration and the targets.
//!
//! Whoever asks another gets both where they are newer there, so that one without a way to the
//! platform's service goes on by those that have one, and a process that starts in an outage learns
//! what the others know.
//!
//! Whether the configuration is current each process proves by its own reads: one that has no way to
//! the platform's service is owed nothing for requests with a key, and what it served of them would
//! take room from those that are. With proofs that others relay, days on which the service served
//! some hosts only lost 0.02 to 0.04 of their worth.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{
    SILENCE, State,
    event::{Effect, Now, Target},
    plan::Plan,
    world::is_silent,
};

/// Place in the platform's stream of records of targets; grows with each record.
pub type Position = u64;

/// What a process has that asks another for news.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
    /// Version of its configuration; 0 where it has none.
    pub plan: u64,
    /// Position of its list of targets; 0 where it has none.
    pub targets: Position,
}

/// What a process relays.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// The configuration, where it is newer than what the asking process has.
    pub plan: Option<Plan>,
    /// The list of targets, where it is newer.
    pub listing: Option<Listing>,
    /// Time since the platform answered the process, suspensions included; `None` where that just had
    /// an outage. An outage of the asking process alone is none of the platform.
    pub answered: Option<Duration>,
}

/// A list of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The targets.
    pub targets: Vec<Target>,
    /// Position of the record by which they last changed.
    pub position: Position,
}

impl State {
    /// What this process has, to be told to one that it asks.
    pub fn known(&self) -> Known {
        let plan = self.plan.as_ref().map_or(0, |plan| plan.version);
        Known { plan, targets: self.listing.position }
    }

    /// What this process relays to one that has so much.
    pub fn news(&self, now: Now, known: Known) -> News {
        let plan = self.plan.as_deref().filter(|plan| plan.version > known.plan);
        let returning = self.is_returning(now.steady);
        let age = self.confirmed.map(|at| now.boot.saturating_sub(at));
        // Just after an outage a list may lack targets that are alive.
        let newer = self.listing.position > known.targets && !returning;
        News {
            plan: plan.cloned(),
            listing: newer.then(|| self.listing.clone()),
            answered: age.filter(|_| !returning),
        }
    }

    /// Whether another that has so much knows more. A read of the platform's that began together with a
    /// record may not be told of it for seconds, while the reads of others were told at once.
    pub fn lacks(&self, known: Known) -> bool {
        let own = self.known();
        known.plan > own.plan || known.targets > own.targets
    }

    /// Whether it may lack what others know, so that it asks all of them.
    pub fn is_behind(&self, now: Now) -> bool {
        self.plan.is_none() || is_silent(self.confirmed, now)
    }

    pub(super) fn relay(&mut self, now: Now, news: News, effects: &mut Vec<Effect>) {
        if let Some(plan) = news.plan {
            self.plan(plan.into(), effects);
        }
        if let Some(age) = news.answered {
            self.answered = self.answered.max(now.boot.checked_sub(age));
            if age < SILENCE {
                self.outage = None;
            }
        }
        let newer = |listing: &Listing| listing.position > self.listing.position;
        if let Some(listing) = news.listing.filter(newer) {
            self.listing = listing;
            self.use_listed(now.steady, false, effects);
        }
    }

    /// Takes a list over that was read here, unless a newer one is known.
    pub(super) fn take_over(&mut self, now: Instant, listing: Listing, effects: &mut Vec<Effect>) {
        if listing.position >= self.listing.position {
            self.listing = listing;
            self.use_listed(now, self.is_returning(now), effects);
        }
    }
}
