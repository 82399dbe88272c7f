//! What entry processes relay to each other: the configuration, the targets, and which bodies crashed
//! some.
//!
//! With each exchange a process offers what it has, by version only. Whoever lacks it fetches it from
//! one that offers it, so that a process without a way to the platform's service goes on by those that
//! have one, and one that starts in an outage learns what the others know.
//!
//! Of each topic one fetch runs at a time. If all that are ahead gave the whole with each exchange,
//! their copies would fill a narrow link, be dropped unfinished and begin again.
//!
//! Whether the configuration is current each process proves by its own reads: one that has no way to
//! the platform's service is owed nothing for requests with a key, and what it served of them would
//! take room from those that are.

use std::{
    hash::BuildHasher,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    HASHER, SILENCE, State, crashes,
    event::{Effect, Now, Target},
    plan::Plan,
};

/// Shortest time between two fetches of counts of crashes: while many targets die at once, each process
/// has others than the next.
const PAUSE: Duration = Duration::from_millis(250);

/// Number of the copies of itself that the platform's service came back from, and so lost the last of
/// what it had acknowledged; 0 where it doesn't count them.
pub type Era = u64;

/// Place in a stream of records of the platform's service. In a newer era offsets are given out again:
/// one means nothing without its era.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The era; goes before the offset.
    pub era: Era,
    /// Grows with each record of an era.
    pub offset: u64,
}

/// What is fetched by itself, the one with the shorter bound first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// The list of targets.
    Targets,
    /// The configuration.
    Plan,
    /// Bodies that crashed targets.
    Crashes,
}

/// What a process has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
    /// Version of its configuration; 0 where it has none.
    pub plan: u64,
    /// Position of its list of targets; the default where it has none.
    pub targets: Position,
    /// Digest of its counts of crashes; 0 where it has none.
    pub crashes: u64,
}

/// What a process offers to the others.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// What it gives to whoever asks.
    pub known: Known,
    /// Time since the platform answered it, suspensions included; `None` where that just had an
    /// outage. An outage of another process alone is none of the platform.
    pub answered: Option<Duration>,
}

/// What a process gives to one that asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum News {
    /// The list of targets.
    Targets(Listing),
    /// The configuration.
    Plan(Arc<Plan>),
    /// Bodies that crashed targets, as all processes counted that are known.
    Crashes(Vec<crashes::Count>),
}

/// A list of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The targets.
    pub targets: Vec<Target>,
    /// Position of the record by which they last changed.
    pub position: Position,
}

impl Topic {
    /// All topics, in the order in which they are fetched.
    pub const ALL: [Topic; 3] = [Topic::Targets, Topic::Plan, Topic::Crashes];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Targets => "targets",
            Topic::Plan => "configuration",
            Topic::Crashes => "crashes",
        }
    }

    /// Whether what is given of it stays true for as long as its version stays; ages don't.
    pub fn is_timeless(self) -> bool {
        self != Topic::Crashes
    }
}

impl Known {
    /// What it has of a topic: differs with each change, the default where it has nothing. Versions of
    /// the configuration grow through all eras.
    pub fn of(&self, topic: Topic) -> Position {
        match topic {
            Topic::Targets => self.targets,
            Topic::Plan => Position { era: 0, offset: self.plan },
            Topic::Crashes => Position { era: 0, offset: self.crashes },
        }
    }

    /// Whether it may have something of a topic that another lacks.
    fn may_tell(&self, other: &Known, topic: Topic) -> bool {
        match topic {
            Topic::Targets | Topic::Plan => self.of(topic) > other.of(topic),
            // Which of two digests is of more counts can't be seen.
            Topic::Crashes => self.crashes != other.crashes && self.crashes != 0,
        }
    }

    fn forget(&mut self, topic: Topic) {
        match topic {
            Topic::Targets => self.targets = Position::default(),
            Topic::Plan => self.plan = 0,
            Topic::Crashes => self.crashes = 0,
        }
    }
}

impl State {
    /// What this process has.
    pub fn known(&self) -> Known {
        let plan = self.plan.as_ref().map_or(0, |plan| plan.version);
        Known { plan, targets: self.listing.position, crashes: self.crashes.digest() }
    }

    /// What this process offers to the others.
    pub fn offer(&self, now: Now) -> Offer {
        let mut known = self.known();
        if self.is_returning(now.steady) {
            // Just after an outage a list may lack targets that are alive.
            known.forget(Topic::Targets);
            return Offer { known, answered: None };
        }
        let answered = self.confirmed.map(|at| now.boot.saturating_sub(at));
        Offer { known, answered }
    }

    /// What this process gives to one that asks, if it offers it.
    pub fn news(&self, now: Now, topic: Topic) -> Option<News> {
        if self.offer(now).known.of(topic) == Position::default() {
            return None;
        }
        match topic {
            Topic::Targets => Some(News::Targets(self.listing.clone())),
            Topic::Plan => self.plan.clone().map(News::Plan),
            Topic::Crashes => Some(News::Crashes(self.crashes.counts(now.steady))),
        }
    }

    /// Hears what another offers.
    pub(super) fn offered(&mut self, now: Now, peer: SocketAddr, offer: Offer) {
        if let Some(age) = offer.answered {
            self.answered = self.answered.max(now.boot.checked_sub(age));
            if age < SILENCE {
                self.outage = None;
            }
        }
        self.heard_offer = true;
        self.offers.insert(peer, offer.known);
    }

    /// Takes in what was fetched of a topic; nothing where that failed.
    pub(super) fn fetched(
        &mut self,
        now: Instant,
        (peer, topic): (SocketAddr, Topic),
        news: Option<News>,
        effects: &mut Vec<Effect>,
    ) {
        self.fetching.remove(&topic);
        // Whoever still has what is lacked offers it again with the next exchange.
        if let Some(known) = self.offers.get_mut(&peer) {
            known.forget(topic);
        }
        match news {
            Some(News::Plan(plan)) => self.plan(plan, effects),
            Some(News::Targets(listing)) if listing.position > self.listing.position => {
                self.enter(now, listing.position.era);
                self.listing = self.settle(now, listing);
                self.use_listed(now, false, effects);
            }
            Some(News::Crashes(counts)) => {
                counts.iter().for_each(|count| self.crashes.hear(now, count));
            }
            Some(News::Targets(_)) | None => {}
        }
    }

    /// Fetches what others are ahead in.
    pub(super) fn fetch(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let own = self.known();
        let is_ahead = |known: &Known| Topic::ALL.iter().any(|&t| known.may_tell(&own, t));
        self.offers.retain(|_, known| is_ahead(known));
        for topic in Topic::ALL {
            let rests = topic == Topic::Crashes && self.crashes_at.is_some_and(|at| now < at);
            if rests || self.fetching.contains(&topic) {
                continue;
            }
            let ahead = self.offers.iter().filter(|(_, known)| known.may_tell(&own, topic));
            let ahead = ahead.map(|(&peer, known)| match topic {
                Topic::Targets | Topic::Plan => (known.of(topic), self.affinity(peer, 0), peer),
                Topic::Crashes => (Position::default(), self.affinity(peer, own.crashes), peer),
            });
            if let Some((.., peer)) = ahead.max() {
                if topic == Topic::Crashes {
                    self.crashes_at = Some(now + PAUSE);
                }
                self.fetching.insert(topic);
                effects.push(Effect::Fetch { peer, topic });
            }
        }
    }

    /// Differs by process and peer, so that processes that lack the same ask different ones for it.
    fn affinity(&self, peer: SocketAddr, turn: u64) -> u64 {
        HASHER.hash_one((self.settings.address, peer, turn))
    }

    /// Takes a list over that was read here, unless a newer one is known.
    pub(super) fn take_over(&mut self, now: Instant, listing: Listing, effects: &mut Vec<Effect>) {
        if listing.position >= self.listing.position {
            self.enter(now, listing.position.era);
            self.listing = self.settle(now, listing);
            self.use_listed(now, self.is_returning(now), effects);
        }
    }
}
