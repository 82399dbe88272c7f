//! The versions that begin streams. What targets of two versions write doesn't fit together, so that a stream
//! of which the caller has received a part continues only at targets of the version that began it.
//!
//! A caller may resume its stream through any entry process. So each process records the version of each
//! stream that it begins at two agents, which are chosen by a hash of the stream and called its homes: one in
//! its own availability zone, the other one in the next zone. Most callers return to the same zone, where a
//! process computes the same homes and asks them. Since the lists of targets of the two processes may differ,
//! and a home may be unreachable, the next agents of each hash ring are asked too, and then those of all
//! zones. Agents answer also after the process that recorded the stream has stopped.
//!
//! Each zone has a limited number of agents that may be homes, so that the connections of a process to
//! agents, and those of an agent to processes, don't grow with the number of targets.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::id::{self, PoolName, StreamKey};

use super::{
    State,
    event::{Effect, LogEntry, RefusalReason, Request, Ticket},
    homes::HOMES,
    pending::PendingRequest,
    plan::Repeat,
    rollout::Version,
};

/// Number of times that the agents are asked for a stream while some of them don't answer.
const MAX_LOOKUPS: u32 = 3;
/// Time between two lookups of the same stream.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which a request waits until the list of targets is read again.
const MAX_LIST_WAIT: Duration = Duration::from_secs(2);
/// Time for which a stream is recorded whose caller states no deadline.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(30);

/// What is known of the version that began the answer to a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Origin {
    /// The caller has received nothing of the answer, so that a target of any version may begin it.
    #[default]
    NotBegun,
    /// An earlier attempt of the caller received the first event. The request isn't dispatched until the
    /// version is found.
    Unknown {
        /// Number of lookups that were started.
        lookups: u32,
    },
    /// A target of this version began the answer, which only targets of the same version may continue.
    Begun(Version),
}

/// An agent to which the record of a stream's version was sent.
#[derive(Clone, Copy, Debug)]
pub struct Home {
    /// Address at which the agent listens.
    pub agent: SocketAddr,
    /// Whether the agent was unreachable, so that another one was chosen in its place.
    pub is_lost: bool,
}

impl Origin {
    /// Returns what is known of the version when a request arrives.
    pub fn of_arrival(request: &Request, is_stream: bool, policy: Repeat) -> Origin {
        if is_stream && policy == Repeat::Resumable && request.resumption.is_some() {
            Origin::Unknown { lookups: 0 }
        } else {
            Origin::NotBegun
        }
    }

    /// Returns the version that targets need to continue the answer; `None` where any target may begin it, or
    /// where the version isn't known yet.
    pub fn version(&self) -> Option<&Version> {
        match self {
            Origin::NotBegun | Origin::Unknown { .. } => None,
            Origin::Begun(version) => Some(version),
        }
    }

    /// Returns whether the version that began the answer isn't known yet.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Origin::Unknown { .. })
    }
}

/// Returns the key of the stream that a request begins or resumes in a pool: the attempt that received the first
/// event, within its account and pool.
pub fn stream_key(account: Option<&str>, pool: &PoolName, request: &Request) -> StreamKey {
    let resumed = request.resumption.as_ref().and_then(|known| known.first_attempt.as_ref());
    let first_attempt = resumed.unwrap_or(&request.id);
    let account = account.unwrap_or_default();
    id::fingerprint(&[account.as_bytes(), pool.as_bytes(), first_attempt.as_bytes()])
}

impl PendingRequest {
    /// Records that a target of this version sent the first event of the answer. The first version is kept.
    pub(super) fn record_origin(&mut self, version: &Version) {
        if self.is_stream && self.origin == Origin::NotBegun {
            self.origin = Origin::Begun(version.clone());
        }
    }

    /// Adds an agent to the homes of the stream, and returns the effect that records the version there.
    fn record_at(&mut self, now: Instant, agent: SocketAddr, version: Version) -> Effect {
        self.homes.push(Home { agent, is_lost: false });
        let (ticket, key) = (self.request.ticket, self.stream_key);
        Effect::RecordOrigin { ticket, agent, key, version, lifetime: self.record_lifetime(now) }
    }

    /// Returns the time for which the stream's record is kept: until the caller's deadline, which may be later
    /// than that of this request and limits all its attempts.
    fn record_lifetime(&self, now: Instant) -> Duration {
        let lifetime = self.request.timeout.unwrap_or(DEFAULT_LIFETIME);
        lifetime.saturating_sub(now.saturating_duration_since(self.arrived))
    }
}

impl State {
    /// Starts to look up the version that began a request's stream, if it isn't known yet. Without a list of
    /// targets the agents aren't known either, so the lookup starts with the first list.
    pub(super) fn start_lookup(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let has_list = self.target_list.position != Default::default();
        let Some(pending) = self.requests.get_mut(&ticket).filter(|_| has_list) else {
            return;
        };
        let Origin::Unknown { lookups } = &mut pending.origin else {
            return;
        };
        let resumption = pending.request.resumption.as_ref();
        let (zone, key) = (&self.settings.zone, &pending.stream_key);
        let agents = match resumption.and_then(|known| known.first_attempt.as_ref()) {
            Some(_) if *lookups == 0 => self.homes.near(zone, key),
            Some(_) => self.homes.all(zone, key),
            None => Vec::new(),
        };
        if agents.is_empty() {
            return self.conclude_from_list(now, ticket, effects);
        }
        *lookups += 1;
        let key = pending.stream_key;
        effects.push(Effect::FindOrigin { ticket, key, agents });
    }

    /// Starts the lookups that wait for the first list of targets, and records begun streams at agents that
    /// have become their homes.
    pub(super) fn update_homes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let ready = self.capacity.listed_targets().filter(|target| target.is_ready);
        let agents = ready.filter_map(|target| Some((target.zone.clone(), target.agent_address?)));
        let has_changed = self.homes.replace(agents.collect());
        let mut tickets: Vec<Ticket> = self.requests.keys().copied().collect();
        tickets.sort_unstable();
        for ticket in tickets {
            match self.requests.get(&ticket).map(|pending| &pending.origin) {
                Some(Origin::Unknown { lookups: 0 }) => self.start_lookup(now, ticket, effects),
                Some(Origin::Begun(_)) if has_changed => self.record_stream(now, ticket, effects),
                _ => {}
            }
        }
    }

    /// Starts the lookups that are due again.
    pub(super) fn repeat_lookups(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.lookups.first().filter(|(at, _)| *at <= now) {
            self.lookups.remove(&(at, ticket));
            self.start_lookup(now, ticket, effects);
        }
    }

    /// Handles the answers to a lookup. If no agent near this process knows the stream, those of all zones are
    /// asked. If none of these does and `unanswered` of them didn't answer, the lookup is repeated.
    pub(super) fn handle_origin_answer(
        &mut self,
        now: Instant,
        ticket: Ticket,
        version: Option<Version>,
        unanswered: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(Origin::Unknown { lookups }) =
            self.requests.get(&ticket).map(|pending| &pending.origin)
        else {
            return;
        };
        if version.is_none() && *lookups == 1 {
            return self.start_lookup(now, ticket, effects);
        }
        if version.is_none() && unanswered > 0 && *lookups < MAX_LOOKUPS {
            self.lookups.insert((now + LOOKUP_PAUSE, ticket));
            return;
        }
        self.end_lookup(now, ticket, version, unanswered, effects);
    }

    /// Ends the lookup of a stream; refuses the request where the version wasn't found.
    fn end_lookup(
        &mut self,
        now: Instant,
        ticket: Ticket,
        version: Option<Version>,
        unanswered: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Origin::Unknown { lookups } = pending.origin else {
            return;
        };
        effects.push(Effect::Log(LogEntry::OriginLookedUp {
            request: pending.request.id.clone(),
            version: version.clone(),
            lookups,
            unanswered,
            waited: now.saturating_duration_since(pending.arrived),
        }));
        match version {
            Some(version) => pending.origin = Origin::Begun(version),
            None => self.refuse(now, ticket, RefusalReason::VersionUnknown, false, effects),
        }
    }

    /// Ends the lookup of a stream that no agent can be asked about: its version is known where only one was listed
    /// since the stream may have begun. An older list may lack the version of the stream, so that the request waits
    /// until the list is read again.
    fn conclude_from_list(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        let is_current = self.listed_versions.is_confirmed_at(pending.arrived);
        let wait_end = pending.arrived + MAX_LIST_WAIT;
        if !is_current && now < wait_end {
            self.lookups.insert((wait_end, ticket));
            return;
        }
        // The time of a caller is at most the timeout of its route.
        let begun_since = pending.arrived.checked_sub(self.route_timeout(pending));
        let version = begun_since.filter(|_| is_current).and_then(|since| {
            self.listed_versions.only_version_since(&pending.pool, since).cloned()
        });
        self.end_lookup(now, ticket, version, 0, effects);
    }

    /// Returns the timeout of a request's route, or [`DEFAULT_LIFETIME`] where the route was removed.
    fn route_timeout(&self, pending: &PendingRequest) -> Duration {
        let hosts = self.configuration.iter().flat_map(|of| of.routes.values());
        let route = hosts.flatten().find(|route| route.name == pending.route);
        route.map_or(DEFAULT_LIFETIME, |route| route.timeout)
    }

    /// Ends the lookups that wait until the list of targets is read again.
    pub(super) fn confirm_list(&mut self, now: Instant, at: Instant, effects: &mut Vec<Effect>) {
        self.listed_versions.confirm(at);
        let waiting =
            self.requests.iter().filter(|(_, of)| of.origin == Origin::Unknown { lookups: 0 });
        let mut tickets: Vec<Ticket> = waiting.map(|(&ticket, _)| ticket).collect();
        tickets.sort_unstable();
        for ticket in tickets {
            self.start_lookup(now, ticket, effects);
        }
    }

    /// Records the version of a stream that has begun at those of its homes where it isn't recorded yet.
    pub(super) fn record_stream(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let is_recorded = pending.retry_policy == Repeat::Resumable && pending.has_first_event;
        let Some(version) = pending.origin.version().filter(|_| is_recorded).cloned() else {
            return;
        };
        let near = self.homes.near(&self.settings.zone, &pending.stream_key);
        for agent in near.into_iter().take(HOMES) {
            if pending.homes.iter().all(|home| home.agent != agent) {
                effects.push(pending.record_at(now, agent, version.clone()));
            }
        }
    }

    /// Records the streams whose home is unreachable at other agents.
    pub(super) fn leave_home(
        &mut self,
        now: Instant,
        unreachable: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let is_home = |home: &Home| home.agent == unreachable && !home.is_lost;
        let streams = self.requests.iter().filter(|(_, pending)| pending.homes.iter().any(is_home));
        let mut tickets: Vec<Ticket> = streams.map(|(&ticket, _)| ticket).collect();
        tickets.sort_unstable();
        for ticket in tickets {
            self.replace_home(now, ticket, unreachable, effects);
        }
    }

    /// Records a stream at the next agent in place of one that is unreachable.
    pub(super) fn replace_home(
        &mut self,
        now: Instant,
        ticket: Ticket,
        unreachable: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let home = pending.homes.iter_mut().find(|home| home.agent == unreachable);
        if home.is_none_or(|home| std::mem::replace(&mut home.is_lost, true)) {
            return;
        }
        let is_new = |agent: &SocketAddr| pending.homes.iter().all(|home| home.agent != *agent);
        let near = self.homes.near(&self.settings.zone, &pending.stream_key);
        let next = near.into_iter().find(is_new);
        if let (Some(agent), Some(version)) = (next, pending.origin.version().cloned()) {
            effects.push(pending.record_at(now, agent, version));
        }
    }
}
