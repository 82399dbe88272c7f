//! Simulates entries and agents over a network that loses, duplicates and reorders messages.
//!
//! A message to a process is lost when the process restarts, as it would be with the connection. The world
//! also plays the part of an entry that waits for the outcome of a start: that part gets one reply, or learns
//! that the connection broke without one.

#![allow(dead_code)]

mod fixture;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

pub use fixture::request;
use fixture::{create_record, resources};
use model::{
    Host, host,
    id::{Rank, RequestId},
    refusal::{Ran, Reason},
    reservation::{Ask, Denial, Fate, Grant, Id},
};
use scheduler::{
    agent::{self, Capacity},
    entry::{self, Event, Record, Settings},
};
use uuid::Uuid;

pub const ENTRIES: usize = 2;
pub const TARGETS: usize = 3;
/// Names of the tiers, highest first; the index is the rank.
pub const TIERS: [&str; 3] = ["crew", "desk", "bulk"];
/// Control port of target 0; each further target has the next port.
const CONTROL_PORT: u16 = 1_000;
/// Traffic port of target 0; each further target has the next port.
const TRAFFIC_PORT: u16 = 2_000;

/// A message in flight between an entry and a target's agent, or the information that a connection broke.
#[derive(Clone, Debug)]
pub enum Packet {
    /// An entry asks for a reservation.
    Reserve { target: usize, ask: Ask },
    /// An entry cancels a reservation.
    Cancel { target: usize, id: Id },
    /// An entry starts a granted reservation.
    Start { target: usize, id: Id },
    /// An entry asks what became of a reservation whose start got no reply.
    Settle { target: usize, id: Id },
    /// An agent grants a reservation.
    Granted { id: Id, grant: Grant },
    /// An agent denies a reservation.
    Denied { id: Id, denial: Denial },
    /// The connection of a reservation broke before the agent granted or denied it.
    ReservationConnectionLost { id: Id },
    /// A start ended.
    Answered { id: Id, answer: StartOutcome },
    /// The connection of a start broke before its answer.
    StartConnectionLost { id: Id },
    /// An agent answers a `Resolve`.
    Settled { id: Id, fate: Fate },
    /// The connection of a `Resolve` broke before its answer.
    SettleConnectionLost { id: Id },
}

/// How a start ended, as its entry learns it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The target answered in full.
    Completed,
    /// The target refused the connection, so the request didn't run.
    NotRun,
    /// The agent denied the start because of the reservation's state.
    Denied(Fate),
}

/// A request that was rejected for lack of capacity, and which lower tiers still waited at that time.
#[derive(Clone, Copy, Debug)]
pub struct Shed {
    pub rank: Rank,
    /// Rank of the lowest tier that still waited at the same entry; `None` where nothing waited.
    pub lowest_waiting_at_entry: Option<Rank>,
    /// Longest time since the request was denied by a target at which a lower tier waits now; `None` where no
    /// such target denied the request.
    pub longest_since_denial: Option<Duration>,
}

/// The simulated processes and network, and the observations that tests check.
pub struct World {
    /// The clock of all processes.
    pub now: Instant,
    pub entries: Vec<entry::State>,
    pub agents: Vec<agent::State>,
    /// Messages in flight.
    pub network: Vec<Packet>,
    /// How often each request was dispatched to a target that accepts connections.
    pub ran: BTreeMap<RequestId, u32>,
    /// Whether each refused request may have run, as its refusal stated.
    pub refused: BTreeMap<RequestId, Ran>,
    /// Requests that were answered in full.
    pub answered: BTreeSet<RequestId>,
    /// Starts that an entry sent to a target after the entry had learned that the target is leaving.
    pub late_starts: Vec<Id>,
    /// Requests that were rejected for lack of capacity, in the order of their rejection.
    pub sheds: Vec<Shed>,
    /// Rank of each request that arrived at an entry.
    pub ranks: BTreeMap<RequestId, Rank>,
    /// Entries that handle no events.
    frozen: BTreeSet<usize>,
    /// For each entry, the targets that are leaving by the latest host list that the entry received.
    leaving: BTreeMap<usize, Vec<usize>>,
    /// Targets that refuse connections from their agent.
    closed: BTreeSet<usize>,
    /// Reservations that have no reply yet, with their targets.
    calls: BTreeMap<Id, usize>,
    /// When each target last denied each request.
    denials: BTreeMap<RequestId, BTreeMap<usize, Instant>>,
    /// Starts whose outcome an entry waits for, with their targets.
    starts: BTreeMap<Id, usize>,
    /// Requests that run, with their targets.
    running: BTreeMap<Id, usize>,
    /// Number of the last request.
    last_request: u64,
    /// Capacity of each agent.
    capacity: Capacity,
    /// Most requests that wait at an entry.
    waiting: usize,
}

/// Creates a world whose entries have applied the whole configuration. Each entry lets at most `waiting`
/// requests wait.
pub fn open(capacity: Capacity, waiting: usize) -> World {
    let now = Instant::now();
    World {
        now,
        entries: (0..ENTRIES).map(|_| ready_entry(now, waiting)).collect(),
        agents: (0..TARGETS).map(|_| agent::open(capacity)).collect(),
        network: Vec::new(),
        ran: BTreeMap::new(),
        refused: BTreeMap::new(),
        answered: BTreeSet::new(),
        ranks: BTreeMap::new(),
        late_starts: Vec::new(),
        frozen: BTreeSet::new(),
        leaving: BTreeMap::new(),
        closed: BTreeSet::new(),
        sheds: Vec::new(),
        calls: BTreeMap::new(),
        denials: BTreeMap::new(),
        starts: BTreeMap::new(),
        running: BTreeMap::new(),
        last_request: 0,
        capacity,
        waiting,
    }
}

impl World {
    /// Lets a new request arrive at an entry and returns its id.
    pub fn arrive(&mut self, entry: usize, rank: Rank, deadline: Duration) -> RequestId {
        self.last_request += 1;
        let id = Uuid::from_u64_pair(entry as u64, self.last_request);
        self.ranks.insert(id, rank);
        self.send_to_entry(entry, Event::Arrived(request(id, rank, deadline)));
        id
    }

    /// Delivers a message; one to a frozen entry stays in flight.
    pub fn deliver(&mut self, index: usize) {
        if !self.is_to_frozen_entry(&self.network[index]) {
            let packet = self.network.swap_remove(index);
            self.receive(packet);
        }
    }

    /// Delivers the first message in flight, also to a frozen entry.
    pub fn deliver_first_ignoring_freeze(&mut self) {
        let packet = self.network.remove(0);
        self.receive(packet);
    }

    /// Delivers a copy of a message, which stays in flight; does nothing where it goes to a frozen entry.
    pub fn deliver_copy(&mut self, index: usize) {
        let packet = self.network[index].clone();
        if !self.is_to_frozen_entry(&packet) {
            self.receive(packet);
        }
    }

    /// Loses a message; an entry that waits for a reply is informed that the connection broke.
    pub fn lose(&mut self, index: usize) {
        let lost = self.network.swap_remove(index);
        self.network.extend(after_loss(lost));
    }

    /// Advances the clock and lets every process that isn't frozen handle a tick.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        for target in 0..TARGETS {
            self.send_to_agent(target, agent::Event::Tick);
        }
        for entry in 0..ENTRIES {
            if !self.frozen.contains(&entry) {
                self.send_to_entry(entry, Event::Tick);
            }
        }
    }

    /// Freezes an entry, or ends its freeze.
    pub fn toggle_freeze(&mut self, entry: usize) {
        if !self.frozen.remove(&entry) {
            self.frozen.insert(entry);
        }
    }

    /// Lets a target refuse connections, or accept them again.
    pub fn toggle_closed(&mut self, target: usize) {
        if !self.closed.remove(&target) {
            self.closed.insert(target);
        }
    }

    /// Lets the target finish the running request with this index; does nothing where there is none.
    pub fn finish_request(&mut self, index: usize) {
        let Some((id, target)) = self.running.iter().nth(index).map(|(id, t)| (*id, *t)) else {
            return;
        };
        self.running.remove(&id);
        self.send_to_agent(target, agent::Event::Ended(id));
        self.network.push(Packet::Answered { id, answer: StartOutcome::Completed });
    }

    /// Returns the number of requests that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Closes the caller's connection of a request: the entry no longer waits for it. Does nothing where the
    /// entry is frozen.
    pub fn disconnect_caller(&mut self, request: RequestId) {
        let entry = entry_of(request);
        if self.frozen.contains(&entry) {
            return;
        }
        self.starts.retain(|id, _| id.request != request);
        self.send_to_entry(entry, Event::Ended { request });
    }

    /// Restarts an agent with an empty state. The requests that ran on its target end, messages to it are
    /// lost, and the entries that wait for a reply are informed that the connection broke.
    pub fn restart_agent(&mut self, target: usize) {
        self.agents[target] = agent::open(self.capacity);
        self.running.retain(|_, at| *at != target);
        let (lost, kept) = self.network.drain(..).partition(|p| to_target(p) == Some(target));
        self.network = kept;
        self.network.extend(lost.into_iter().filter_map(after_loss));
        let unreplied_calls = self.calls.iter().filter(|(_, at)| **at == target);
        self.network
            .extend(unreplied_calls.map(|(id, _)| Packet::ReservationConnectionLost { id: *id }));
        let unanswered_starts = self.starts.iter().filter(|(_, at)| **at == target);
        self.network
            .extend(unanswered_starts.map(|(id, _)| Packet::StartConnectionLost { id: *id }));
    }

    /// Restarts an entry with the configuration applied; it no longer waits for any reply, and messages to it
    /// are lost.
    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = ready_entry(self.now, self.waiting);
        self.leaving.remove(&entry);
        self.frozen.remove(&entry);
        self.starts.retain(|id, _| entry_of(id.request) != entry);
        self.calls.retain(|id, _| entry_of(id.request) != entry);
        self.network.retain(|p| to_entry(p) != Some(entry));
    }

    /// Asks an agent to drain.
    pub fn drain_agent(&mut self, target: usize) {
        self.send_to_agent(target, agent::Event::Drain);
    }

    /// Sends an entry the platform's host list, in which these targets are leaving; does nothing where the
    /// entry is frozen.
    pub fn send_host_list(&mut self, entry: usize, leaving: &[usize]) {
        let row = |target: &usize| Host {
            name: target_name(*target),
            zone: "a".to_owned(),
            state: host::State::Leaving,
        };
        if self.frozen.contains(&entry) {
            return;
        }
        self.leaving.insert(entry, leaving.to_vec());
        self.send_to_entry(entry, Event::Hosts(leaving.iter().map(row).collect()));
    }

    /// Lets an entry handle an event and executes the effects.
    pub fn send_to_entry(&mut self, entry: usize, event: Event) {
        for effect in entry::reduce(&mut self.entries[entry], self.now, event) {
            self.execute(effect);
        }
    }

    /// Executes one effect of an entry's reducer: sends the message, or records the refusal.
    fn execute(&mut self, effect: entry::Effect) {
        match effect {
            entry::Effect::Reserve { address, ask, .. } => {
                let target = target_index(address);
                self.calls.insert(ask.id, target);
                self.network.push(Packet::Reserve { target, ask });
            }
            entry::Effect::Cancel { id, address } => {
                self.calls.remove(&id);
                self.network.push(Packet::Cancel { target: target_index(address), id });
            }
            entry::Effect::Start(start) => {
                let target = target_index(start.control);
                let leaving = self.leaving.get(&entry_of(start.id.request));
                if leaving.is_some_and(|leaving| leaving.contains(&target)) {
                    self.late_starts.push(start.id);
                }
                self.starts.insert(start.id, target);
                self.network.push(Packet::Start { target, id: start.id });
            }
            entry::Effect::Refuse { request, refusal, .. } => {
                self.refused.insert(request, refusal.ran);
                if matches!(refusal.reason, Reason::Overloaded | Reason::NoTarget) {
                    self.record_shed(request);
                }
            }
            _ => {}
        }
    }

    /// Records the rejection of a request for lack of capacity, with the lower tiers that wait now.
    fn record_shed(&mut self, request: RequestId) {
        let rank = self.ranks[&request];
        let denials = self.denials.remove(&request).unwrap_or_default();
        let since_denial = |(target, at): (&usize, &Instant)| {
            let is_lower_waiting =
                self.agents[*target].lowest_waiting_rank().is_some_and(|lowest| lowest > rank);
            is_lower_waiting.then(|| self.now.duration_since(*at))
        };
        let longest_since_denial = denials.iter().filter_map(since_denial).max();
        let lowest_here = self.entries[entry_of(request)].lowest_waiting();
        self.sheds.push(Shed { rank, lowest_waiting_at_entry: lowest_here, longest_since_denial });
    }

    /// Lets an agent handle an event and sends the messages that result.
    fn send_to_agent(&mut self, target: usize, event: agent::Event) {
        let is_settle = matches!(event, agent::Event::Resolve(_));
        for effect in agent::reduce(&mut self.agents[target], self.now, event) {
            match effect {
                agent::Effect::Grant { id, grant } => {
                    self.network.push(Packet::Granted { id, grant });
                }
                agent::Effect::Deny { id, denial } => {
                    self.denials.entry(id.request).or_default().insert(target, self.now);
                    self.network.push(Packet::Denied { id, denial });
                }
                agent::Effect::Dispatch(id) => self.dispatch(target, id),
                agent::Effect::DenyStart { id, fate } => {
                    self.network.push(Packet::Answered { id, answer: StartOutcome::Denied(fate) });
                }
                agent::Effect::ReplyFate { id, fate } if is_settle => {
                    self.network.push(Packet::Settled { id, fate });
                }
                _ => {}
            }
        }
    }

    /// Starts a request on a target; a target that refuses connections doesn't run it.
    fn dispatch(&mut self, target: usize, id: Id) {
        if self.closed.contains(&target) {
            self.send_to_agent(target, agent::Event::Ended(id));
            return self.network.push(Packet::Answered { id, answer: StartOutcome::NotRun });
        }
        *self.ran.entry(id.request).or_default() += 1;
        self.running.insert(id, target);
    }

    /// Lets the receiver of a message handle it.
    fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Reserve { target, ask } => {
                self.send_to_agent(target, agent::Event::Reserve(ask))
            }
            Packet::Cancel { target, id } => self.send_to_agent(target, agent::Event::Cancel(id)),
            Packet::Start { target, id } => self.send_to_agent(target, agent::Event::Start(id)),
            Packet::Settle { target, id } => self.send_to_agent(target, agent::Event::Resolve(id)),
            Packet::Granted { id, grant } => self.deliver_reply(id, Event::Granted { id, grant }),
            Packet::Denied { id, denial } => self.deliver_reply(id, Event::Denied { id, denial }),
            Packet::ReservationConnectionLost { id } if self.calls.contains_key(&id) => {
                self.deliver_reply(id, Event::Unreachable { id });
            }
            Packet::ReservationConnectionLost { .. } => {}
            Packet::StartConnectionLost { id } => {
                if let Some(target) = self.starts.get(&id).copied() {
                    self.network.push(Packet::Settle { target, id });
                }
            }
            Packet::Answered { .. }
            | Packet::Settled { .. }
            | Packet::SettleConnectionLost { .. } => {
                self.end_start(packet);
            }
        }
    }

    /// Lets the entry of a reservation handle the agent's reply to it.
    fn deliver_reply(&mut self, id: Id, event: Event) {
        self.calls.remove(&id);
        self.send_to_entry(entry_of(id.request), event);
    }

    /// Handles the one reply to a start that its entry waits for. A reply that proves that the request didn't
    /// run returns the request to the entry's reducer; any other reply ends the request.
    fn end_start(&mut self, packet: Packet) {
        // Whether the reply proves that the request didn't run; `None` where it ran to its end.
        let (id, proves_not_run) = match packet {
            Packet::Answered { id, answer: StartOutcome::Completed } => (id, None),
            Packet::Answered { id, answer: StartOutcome::NotRun } => (id, Some(true)),
            Packet::Answered { id, answer: StartOutcome::Denied(fate) }
            | Packet::Settled { id, fate } => (id, Some(fate.never_starts())),
            Packet::SettleConnectionLost { id } => (id, Some(false)),
            _ => return,
        };
        if self.starts.remove(&id).is_none() {
            return;
        }
        let entry = entry_of(id.request);
        match proves_not_run {
            Some(true) => {
                return self.send_to_entry(entry, Event::NotStarted { id, unreachable: false });
            }
            Some(false) => {
                self.refused.insert(id.request, Ran::MayHaveRun);
            }
            None => {
                self.answered.insert(id.request);
            }
        }
        self.send_to_entry(entry, Event::Ended { request: id.request });
    }

    /// Returns whether a message goes to a frozen entry.
    fn is_to_frozen_entry(&self, packet: &Packet) -> bool {
        to_entry(packet).is_some_and(|entry| self.frozen.contains(&entry))
    }
}

/// Returns what is in flight after a message is lost: the information that the connection broke, for the
/// entry that waits for a reply. `None` where no reply is awaited. Such information itself isn't lost.
fn after_loss(packet: Packet) -> Option<Packet> {
    match packet {
        Packet::Reserve { ask, .. } => Some(Packet::ReservationConnectionLost { id: ask.id }),
        Packet::Granted { id, .. } | Packet::Denied { id, .. } => {
            Some(Packet::ReservationConnectionLost { id })
        }
        Packet::Start { id, .. } | Packet::Answered { id, .. } => {
            Some(Packet::StartConnectionLost { id })
        }
        Packet::Settle { id, .. } | Packet::Settled { id, .. } => {
            Some(Packet::SettleConnectionLost { id })
        }
        Packet::Cancel { .. } => None,
        connection_loss => Some(connection_loss),
    }
}

/// Returns the target that a message goes to; `None` where it goes to an entry.
fn to_target(packet: &Packet) -> Option<usize> {
    match packet {
        Packet::Reserve { target, .. }
        | Packet::Cancel { target, .. }
        | Packet::Start { target, .. }
        | Packet::Settle { target, .. } => Some(*target),
        _ => None,
    }
}

/// Returns the entry that a message goes to; `None` where it goes to a target.
fn to_entry(packet: &Packet) -> Option<usize> {
    match packet {
        Packet::Granted { id, .. }
        | Packet::Denied { id, .. }
        | Packet::ReservationConnectionLost { id }
        | Packet::Answered { id, .. }
        | Packet::StartConnectionLost { id }
        | Packet::Settled { id, .. }
        | Packet::SettleConnectionLost { id } => Some(entry_of(id.request)),
        _ => None,
    }
}

/// Returns the entry at which a request arrived.
pub fn entry_of(request: RequestId) -> usize {
    usize::try_from(request.as_u64_pair().0).unwrap()
}

/// Returns the index of the target whose agent has this control address.
fn target_index(address: SocketAddr) -> usize {
    usize::from(address.port() - CONTROL_PORT)
}

fn target_name(target: usize) -> String {
    format!("t{target}")
}

/// Returns the state of an entry that has applied the whole configuration.
fn ready_entry(now: Instant, waiting: usize) -> entry::State {
    let mut state = entry::open(Settings { waiting, zone: "a".to_owned() });
    let records = (1..).zip(resources());
    let records =
        records.map(|(offset, resource)| Record { offset, payload: create_record(resource) });
    entry::reduce(&mut state, now, Event::Records(records.collect()));
    entry::reduce(&mut state, now, Event::CaughtUp);
    state
}
