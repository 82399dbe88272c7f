//! Data that entry processes relay to each other: the configuration, the list of targets, and evidence on
//! request bodies and parts of prompts that crashed targets.
//!
//! In each exchange a process offers the versions of the data that it has. A process with an older
//! version fetches the data from one that offers a newer one. So a process that can't reach the
//! platform's service keeps up through those that can, and a process that starts during an outage gets
//! the data that the others have.
//!
//! A process runs one fetch of each topic at a time. If every process that is ahead sent the data with
//! each exchange, the copies would fill a narrow link, time out unfinished and start again.
//!
//! Each process proves by its own reads that its configuration is current; relayed data proves nothing. A
//! process that can't reach the platform's service isn't expected to serve requests with an API key, and
//! the requests that it served would take capacity from processes that are expected to.

use std::{
    hash::BuildHasher,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    HASHER, State,
    crashes::CrashCount,
    event::{Effect, Now, Target},
    outage::OUTAGE_THRESHOLD,
    parts::PartReport,
    plan::Configuration,
};

/// Shortest time between the starts of two fetches of crash counts. While many targets crash at once, the
/// counts of every two processes differ, and each difference would start a fetch.
pub(super) const MIN_CRASH_FETCH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of bytes of evidence on parts of prompts that a process fetches in a second. Callers can
/// invent parts.
const MAX_PART_BYTES_PER_SECOND: f64 = 10_000.0;

/// Number that grows each time the platform's service is restored from an older copy of itself, and so
/// loses the last writes that it acknowledged: 1 for a service that was never restored, 0 where the
/// service doesn't count its restores.
pub type Era = u64;

/// Position in a stream of records of the platform's service. A newer era assigns the same offsets again,
/// so an offset means nothing without its era.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Era of the service in which the record was written (see [`Era`]); compared before the offset.
    pub era: Era,
    /// Offset of the record, which grows with each record of an era.
    pub offset: u64,
}

/// Kind of data that is fetched separately from the others. Kinds are ordered by the time within which
/// they have to reach all processes, shortest first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// The list of targets.
    Targets,
    /// The configuration.
    Plan,
    /// Evidence on what crashed targets.
    Crashes,
}

/// Versions of the data that a process has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Known {
    /// Version of the configuration; 0 where the process has none.
    pub plan: u64,
    /// Position of the list of targets; the default position where the process has none.
    pub targets: Position,
    /// Digest of the crash counts; 0 where the process has none.
    pub crashes: u64,
}

/// Message by which a process offers data to another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// Versions of the data that the process sends on request.
    pub known: Known,
    /// Time since the platform's service last confirmed the process's configuration, suspensions of the
    /// host included; `None` where it never did, or where an outage ended just before. A short time
    /// proves to a process that got no answers itself that the platform had no outage.
    pub answered: Option<Duration>,
}

/// Data of one topic, as a process sends it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TopicData {
    /// The list of targets.
    Targets(Listing),
    /// The configuration.
    Plan(Arc<Configuration>),
    /// Evidence of all processes on what crashed targets.
    Crashes(CrashEvidence),
}

/// Evidence on what crashed targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashEvidence {
    /// Counts of bodies, of every process whose counts the sender has.
    pub bodies: Vec<CrashCount>,
    /// Evidence on parts of prompts.
    pub parts: Vec<PartReport>,
}

/// List of the platform's targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// All listed targets.
    pub targets: Vec<Target>,
    /// Position of the record that last changed the list.
    pub position: Position,
}

impl Topic {
    /// All topics, in the order in which their fetches start.
    pub const ALL: [Topic; 3] = [Topic::Targets, Topic::Plan, Topic::Crashes];

    /// Returns the name of the topic in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Targets => "targets",
            Topic::Plan => "configuration",
            Topic::Crashes => "crashes",
        }
    }

    /// Returns whether packed data of the topic may be sent again while its version stays the same. Crash
    /// counts may not: they contain ages.
    pub fn is_cacheable(self) -> bool {
        self != Topic::Crashes
    }
}

impl Known {
    /// Returns the version of a topic's data as a position, which differs after each change and is the
    /// default where there is no data. Configurations and crash counts get era 0: versions of the
    /// configuration grow across all eras, and digests have none.
    pub fn version(&self, topic: Topic) -> Position {
        match topic {
            Topic::Targets => self.targets,
            Topic::Plan => Position { era: 0, offset: self.plan },
            Topic::Crashes => Position { era: 0, offset: self.crashes },
        }
    }

    /// Returns whether a process with these versions may have data of a topic that `other` lacks.
    fn may_be_ahead(&self, other: &Known, topic: Topic) -> bool {
        match topic {
            Topic::Targets | Topic::Plan => self.version(topic) > other.version(topic),
            // The version of crash counts is a digest of them, 0 if there are none. Two different digests
            // don't show which process knows more counts, so either may have some that the other lacks.
            Topic::Crashes => self.crashes != other.crashes && self.crashes != 0,
        }
    }

    fn clear(&mut self, topic: Topic) {
        match topic {
            Topic::Targets => self.targets = Position::default(),
            Topic::Plan => self.plan = 0,
            Topic::Crashes => self.crashes = 0,
        }
    }
}

impl State {
    /// Returns the versions of the data that this process has.
    pub fn known(&self) -> Known {
        let plan = self.configuration.as_ref().map_or(0, |configuration| configuration.version);
        let crashes = self.crashes.digest() ^ self.parts.digest();
        Known { plan, targets: self.target_list.position, crashes }
    }

    /// Returns the offer that this process sends to the others. Just after an outage of the platform, the
    /// offer leaves out the list of targets.
    pub fn offer(&self, now: Now) -> Offer {
        let mut known = self.known();
        if self.is_recovering_from_outage(now.steady) {
            // Just after an outage the list may lack targets that are running.
            known.clear(Topic::Targets);
            return Offer { known, answered: None };
        }
        let answered = self.confirmed.map(|at| now.boot.saturating_sub(at));
        Offer { known, answered }
    }

    /// Returns the data of a topic for another process; `None` where this process doesn't offer it.
    pub fn topic_data(&self, now: Now, topic: Topic) -> Option<TopicData> {
        if self.offer(now).known.version(topic) == Position::default() {
            return None;
        }
        match topic {
            Topic::Targets => Some(TopicData::Targets(self.target_list.clone())),
            Topic::Plan => self.configuration.clone().map(TopicData::Plan),
            Topic::Crashes => Some(TopicData::Crashes(CrashEvidence {
                bodies: self.crashes.counts(now.steady),
                parts: self.parts.reports(now.steady),
            })),
        }
    }

    /// Stores another process's offer. If the platform answered that process less than
    /// [`OUTAGE_THRESHOLD`] ago, the platform had no outage.
    pub(super) fn receive_offer(&mut self, now: Now, peer: SocketAddr, offer: Offer) {
        if let Some(age) = offer.answered {
            self.platform_answered = self.platform_answered.max(now.boot.checked_sub(age));
            if age < OUTAGE_THRESHOLD {
                self.relisting_until = None;
            }
        }
        self.has_received_offer = true;
        self.offers.insert(peer, offer.known);
    }

    /// Applies the data that a fetch of a topic from a peer brought; `data` is `None` where the fetch
    /// failed.
    pub(super) fn apply_fetched(
        &mut self,
        now: Instant,
        (peer, topic): (SocketAddr, Topic),
        data: Option<TopicData>,
        effects: &mut Vec<Effect>,
    ) {
        self.fetching.remove(&topic);
        // A peer that still has newer data offers it again in the next exchange.
        if let Some(known) = self.offers.get_mut(&peer) {
            known.clear(topic);
        }
        match data {
            Some(TopicData::Plan(configuration)) => {
                self.apply_configuration(configuration, effects)
            }
            Some(TopicData::Targets(listing)) if listing.position > self.target_list.position => {
                self.enter_era(now, listing.position.era);
                self.target_list = self.without_departed(now, listing);
                self.apply_target_list(now, false, effects);
            }
            Some(TopicData::Crashes(CrashEvidence { bodies, parts })) => {
                bodies.iter().for_each(|count| self.crashes.merge(now, count));
                self.parts.merge(now, &parts);
                self.prove_written_parts(now);
            }
            Some(TopicData::Targets(_)) | None => {}
        }
    }

    /// Starts a fetch of each topic in which another process may be ahead, unless one runs already. It
    /// goes to the process with the newest data; for crash counts, to any process with a different digest.
    pub(super) fn start_fetches(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let own = self.known();
        let is_ahead = |known: &Known| Topic::ALL.iter().any(|&t| known.may_be_ahead(&own, t));
        self.offers.retain(|_, known| is_ahead(known));
        for topic in Topic::ALL {
            let is_throttled =
                topic == Topic::Crashes && self.next_crash_fetch.is_some_and(|at| now < at);
            if is_throttled || self.fetching.contains(&topic) {
                continue;
            }
            let ahead = self.offers.iter().filter(|(_, known)| known.may_be_ahead(&own, topic));
            let ahead = ahead.map(|(&peer, known)| match topic {
                Topic::Targets | Topic::Plan => {
                    (known.version(topic), self.affinity(peer, 0), peer)
                }
                Topic::Crashes => (Position::default(), self.affinity(peer, own.crashes), peer),
            });
            if let Some((.., peer)) = ahead.max() {
                if topic == Topic::Crashes {
                    let size = self.parts.packed_size() as f64;
                    let interval = Duration::from_secs_f64(size / MAX_PART_BYTES_PER_SECOND);
                    self.next_crash_fetch = Some(now + interval.max(MIN_CRASH_FETCH_INTERVAL));
                }
                self.fetching.insert(topic);
                effects.push(Effect::Fetch { peer, topic });
            }
        }
    }

    /// Returns a hash by which this process chooses among peers that offer the same. It differs by
    /// process, so that processes that lack the same data fetch it from different peers, and by `salt`.
    fn affinity(&self, peer: SocketAddr, salt: u64) -> u64 {
        HASHER.hash_one((self.settings.address, peer, salt))
    }

    /// Uses a list that this process read from the platform's service, unless a newer one is known.
    pub(super) fn apply_read_list(
        &mut self,
        now: Instant,
        listing: Listing,
        effects: &mut Vec<Effect>,
    ) {
        if listing.position >= self.target_list.position {
            self.enter_era(now, listing.position.era);
            self.target_list = self.without_departed(now, listing);
            self.apply_target_list(now, self.is_recovering_from_outage(now), effects);
        }
    }
}
