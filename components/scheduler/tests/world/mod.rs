//! Entries and agents over a network that loses, doubles and reorders messages.
//!
//! A message to a process dies with it, as it would in a connection. The part of an entry's shell
//! that waits for one start stands here too: it hears one reply, or that there is none.

#![allow(dead_code)]

mod fixture;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

pub use fixture::request;
use fixture::{create, resources};
use model::{
    Host, host,
    id::{Rank, RequestId},
    refusal::{Ran, Reason},
    reservation::{Ask, Denial, Fate, Grant, Id},
};
use scheduler::{
    agent::{self, Room},
    entry::{self, Event, Record, Settings},
};
use uuid::Uuid;

pub const ENTRIES: usize = 2;
pub const TARGETS: usize = 3;
pub const TIERS: [&str; 3] = ["crew", "desk", "bulk"];
const CONTROL_PORT: u16 = 1_000;
const TRAFFIC_PORT: u16 = 2_000;

/// What travels.
#[derive(Clone, Debug)]
pub enum Packet {
    Reserve { target: usize, ask: Ask },
    Cancel { target: usize, id: Id },
    Start { target: usize, id: Id },
    Settle { target: usize, id: Id },
    Granted { id: Id, grant: Grant },
    Denied { id: Id, denial: Denial },
    Broken { id: Id },
    Answered { id: Id, answer: Answer },
    Silent { id: Id },
    Told { id: Id, fate: Fate },
    Unsettled { id: Id },
}

/// How a start ended, as its entry's shell learns it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    Whole,
    NotRun,
    Denied(Fate),
}

/// A request that was refused for want of room, and what waited then.
#[derive(Clone, Copy, Debug)]
pub struct Shed {
    pub rank: Rank,
    /// Lowest tier that still waited at the same entry.
    pub lowest_here: Option<Rank>,
    /// Longest time since a target denied it at which a lower tier waited now.
    pub window: Option<Duration>,
}

/// Everything, and what the oracle needs to judge it.
pub struct World {
    pub now: Instant,
    pub entries: Vec<entry::State>,
    pub agents: Vec<agent::State>,
    pub network: Vec<Packet>,
    /// How often each request reached a target.
    pub ran: BTreeMap<RequestId, u32>,
    pub refused: BTreeMap<RequestId, Ran>,
    pub answered: BTreeSet<RequestId>,
    /// Starts that an entry sent to a target after it had heard that it is leaving.
    pub late_starts: Vec<Id>,
    /// Requests that were refused for want of room, in their order.
    pub sheds: Vec<Shed>,
    /// Rank of each request that was sent.
    pub ranks: BTreeMap<RequestId, Rank>,
    frozen: BTreeSet<usize>,
    /// Targets that each entry knows to be leaving.
    leaving: BTreeMap<usize, Vec<usize>>,
    /// Targets that take no connection from their agent.
    closed: BTreeSet<usize>,
    /// Calls for room that have no reply yet, and starts whose reply is waited for.
    calls: BTreeMap<Id, usize>,
    /// When each target last denied each request.
    denials: BTreeMap<RequestId, BTreeMap<usize, Instant>>,
    starts: BTreeMap<Id, usize>,
    running: BTreeMap<Id, usize>,
    serial: u64,
    room: Room,
    waiting: usize,
}

pub fn open(room: Room, waiting: usize) -> World {
    let now = Instant::now();
    World {
        now,
        entries: (0..ENTRIES).map(|_| ready(now, waiting)).collect(),
        agents: (0..TARGETS).map(|_| agent::open(room)).collect(),
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
        serial: 0,
        room,
        waiting,
    }
}

impl World {
    pub fn arrive(&mut self, entry: usize, rank: Rank, deadline: Duration) -> RequestId {
        self.serial += 1;
        let id = Uuid::from_u64_pair(entry as u64, self.serial);
        self.ranks.insert(id, rank);
        self.entry(entry, Event::Arrived(request(id, rank, deadline)));
        id
    }

    /// Delivers a message; a frozen entry leaves it where it is.
    pub fn deliver(&mut self, index: usize) {
        if !self.is_deaf(&self.network[index]) {
            let packet = self.network.swap_remove(index);
            self.receive(packet);
        }
    }

    /// Delivers the oldest message.
    pub fn deliver_first(&mut self) {
        let packet = self.network.remove(0);
        self.receive(packet);
    }

    /// Delivers a copy and keeps the message.
    pub fn double(&mut self, index: usize) {
        let packet = self.network[index].clone();
        if !self.is_deaf(&packet) {
            self.receive(packet);
        }
    }

    /// Drops a message; who waits for a reply learns that its connection broke.
    pub fn lose(&mut self, index: usize) {
        let lost = self.network.swap_remove(index);
        self.network.extend(after_loss(lost));
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        for target in 0..TARGETS {
            self.agent(target, agent::Event::Tick);
        }
        for entry in 0..ENTRIES {
            if !self.frozen.contains(&entry) {
                self.entry(entry, Event::Tick);
            }
        }
    }

    pub fn freeze(&mut self, entry: usize) {
        if !self.frozen.remove(&entry) {
            self.frozen.insert(entry);
        }
    }

    pub fn close(&mut self, target: usize) {
        if !self.closed.remove(&target) {
            self.closed.insert(target);
        }
    }

    pub fn end_run(&mut self, index: usize) {
        let Some((id, target)) = self.running.iter().nth(index).map(|(id, t)| (*id, *t)) else {
            return;
        };
        self.running.remove(&id);
        self.agent(target, agent::Event::Ended(id));
        self.network.push(Packet::Answered { id, answer: Answer::Whole });
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// A caller that gives up closes its connection; the target stops the run.
    pub fn give_up(&mut self, request: RequestId) {
        let entry = entry_of(request);
        if self.frozen.contains(&entry) {
            return;
        }
        self.starts.retain(|id, _| id.request != request);
        self.entry(entry, Event::Ended { request });
    }

    /// A new process in the place of an agent: it knows nothing.
    pub fn restart_agent(&mut self, target: usize) {
        self.agents[target] = agent::open(self.room);
        self.running.retain(|_, at| *at != target);
        let (dead, kept) = self.network.drain(..).partition(|p| to_target(p) == Some(target));
        self.network = kept;
        self.network.extend(dead.into_iter().filter_map(after_loss));
        let broken = self.calls.iter().filter(|(_, at)| **at == target);
        self.network.extend(broken.map(|(id, _)| Packet::Broken { id: *id }));
        let silent = self.starts.iter().filter(|(_, at)| **at == target);
        self.network.extend(silent.map(|(id, _)| Packet::Silent { id: *id }));
    }

    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = ready(self.now, self.waiting);
        self.leaving.remove(&entry);
        self.frozen.remove(&entry);
        self.starts.retain(|id, _| entry_of(id.request) != entry);
        self.calls.retain(|id, _| entry_of(id.request) != entry);
        self.network.retain(|p| to_entry(p) != Some(entry));
    }

    pub fn drain_agent(&mut self, target: usize) {
        self.agent(target, agent::Event::Drain);
    }

    /// What the platform's list shows, told to one entry.
    pub fn show_leaving(&mut self, entry: usize, leaving: &[usize]) {
        let row = |target: &usize| Host {
            name: name(*target),
            zone: "a".to_owned(),
            state: host::State::Leaving,
        };
        if self.frozen.contains(&entry) {
            return;
        }
        self.leaving.insert(entry, leaving.to_vec());
        self.entry(entry, Event::Hosts(leaving.iter().map(row).collect()));
    }

    pub fn entry(&mut self, entry: usize, event: Event) {
        for effect in entry::reduce(&mut self.entries[entry], self.now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: entry::Effect) {
        match effect {
            entry::Effect::Reserve { address, ask, .. } => {
                let target = index(address);
                self.calls.insert(ask.id, target);
                self.network.push(Packet::Reserve { target, ask });
            }
            entry::Effect::Cancel { id, address } => {
                self.calls.remove(&id);
                self.network.push(Packet::Cancel { target: index(address), id });
            }
            entry::Effect::Start(start) => {
                let target = index(start.control);
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
                    self.note_shed(request);
                }
            }
            _ => {}
        }
    }

    fn note_shed(&mut self, request: RequestId) {
        let rank = self.ranks[&request];
        let denials = self.denials.remove(&request).unwrap_or_default();
        let passed = |(target, at): (&usize, &Instant)| {
            let lower = self.agents[*target].lowest_waiting().is_some_and(|lowest| lowest > rank);
            lower.then(|| self.now.duration_since(*at))
        };
        let window = denials.iter().filter_map(passed).max();
        let lowest_here = self.entries[entry_of(request)].lowest_waiting();
        self.sheds.push(Shed { rank, lowest_here, window });
    }

    fn agent(&mut self, target: usize, event: agent::Event) {
        let settles = matches!(event, agent::Event::Settle(_));
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
                    self.network.push(Packet::Answered { id, answer: Answer::Denied(fate) });
                }
                agent::Effect::Tell { id, fate } if settles => {
                    self.network.push(Packet::Told { id, fate });
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, target: usize, id: Id) {
        if self.closed.contains(&target) {
            self.agent(target, agent::Event::Ended(id));
            return self.network.push(Packet::Answered { id, answer: Answer::NotRun });
        }
        *self.ran.entry(id.request).or_default() += 1;
        self.running.insert(id, target);
    }

    fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Reserve { target, ask } => self.agent(target, agent::Event::Reserve(ask)),
            Packet::Cancel { target, id } => self.agent(target, agent::Event::Cancel(id)),
            Packet::Start { target, id } => self.agent(target, agent::Event::Start(id)),
            Packet::Settle { target, id } => self.agent(target, agent::Event::Settle(id)),
            Packet::Granted { id, grant } => self.hear(id, Event::Granted { id, grant }),
            Packet::Denied { id, denial } => self.hear(id, Event::Denied { id, denial }),
            Packet::Broken { id } if self.calls.contains_key(&id) => {
                self.hear(id, Event::Unreachable { id });
            }
            Packet::Broken { .. } => {}
            Packet::Silent { id } => {
                if let Some(target) = self.starts.get(&id).copied() {
                    self.network.push(Packet::Settle { target, id });
                }
            }
            Packet::Answered { .. } | Packet::Told { .. } | Packet::Unsettled { .. } => {
                self.end_start(packet);
            }
        }
    }

    fn hear(&mut self, id: Id, event: Event) {
        self.calls.remove(&id);
        self.entry(entry_of(id.request), event);
    }

    /// What the entry's shell does with the one reply that it waits for.
    fn end_start(&mut self, packet: Packet) {
        let (id, proven) = match packet {
            Packet::Answered { id, answer: Answer::Whole } => (id, None),
            Packet::Answered { id, answer: Answer::NotRun } => (id, Some(true)),
            Packet::Answered { id, answer: Answer::Denied(fate) } | Packet::Told { id, fate } => {
                (id, Some(fate.never_starts()))
            }
            Packet::Unsettled { id } => (id, Some(false)),
            _ => return,
        };
        if self.starts.remove(&id).is_none() {
            return;
        }
        let entry = entry_of(id.request);
        match proven {
            Some(true) => return self.entry(entry, Event::NotStarted { id, unreachable: false }),
            Some(false) => {
                self.refused.insert(id.request, Ran::MayHaveRun);
            }
            None => {
                self.answered.insert(id.request);
            }
        }
        self.entry(entry, Event::Ended { request: id.request });
    }

    fn is_deaf(&self, packet: &Packet) -> bool {
        to_entry(packet).is_some_and(|entry| self.frozen.contains(&entry))
    }
}

fn after_loss(packet: Packet) -> Option<Packet> {
    match packet {
        Packet::Reserve { ask, .. } => Some(Packet::Broken { id: ask.id }),
        Packet::Granted { id, .. } | Packet::Denied { id, .. } => Some(Packet::Broken { id }),
        Packet::Start { id, .. } | Packet::Answered { id, .. } => Some(Packet::Silent { id }),
        Packet::Settle { id, .. } | Packet::Told { id, .. } => Some(Packet::Unsettled { id }),
        Packet::Cancel { .. } => None,
        known => Some(known),
    }
}

fn to_target(packet: &Packet) -> Option<usize> {
    match packet {
        Packet::Reserve { target, .. }
        | Packet::Cancel { target, .. }
        | Packet::Start { target, .. }
        | Packet::Settle { target, .. } => Some(*target),
        _ => None,
    }
}

fn to_entry(packet: &Packet) -> Option<usize> {
    match packet {
        Packet::Granted { id, .. }
        | Packet::Denied { id, .. }
        | Packet::Broken { id }
        | Packet::Answered { id, .. }
        | Packet::Silent { id }
        | Packet::Told { id, .. }
        | Packet::Unsettled { id } => Some(entry_of(id.request)),
        _ => None,
    }
}

pub fn entry_of(request: RequestId) -> usize {
    usize::try_from(request.as_u64_pair().0).unwrap()
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - CONTROL_PORT)
}

fn name(target: usize) -> String {
    format!("t{target}")
}

fn ready(now: Instant, waiting: usize) -> entry::State {
    let mut state = entry::open(Settings { waiting, zone: "a".to_owned() });
    let records = (1..).zip(resources());
    let records = records.map(|(offset, resource)| Record { offset, payload: create(resource) });
    entry::reduce(&mut state, now, Event::Records(records.collect()));
    entry::reduce(&mut state, now, Event::CaughtUp);
    state
}
