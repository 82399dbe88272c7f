//! Carries the reducers' effects through the world and feeds their results back.

use std::time::{Duration, Instant};

use model::{
    id::{Rank, RequestId},
    refusal::Reason,
    reservation::{Ask, Id},
    resource::Backing,
};
use scheduler::{
    agent,
    entry::{self, Call, Request},
};

use crate::{
    policy::Policy,
    site,
    tally::End,
    world::{Event, Wait, World},
};

/// Time after which a host that is gone counts as unreachable.
const CONNECT: Duration = Duration::from_millis(250);
/// Life of a grant.
const GRANT: Duration = Duration::from_millis(500);
/// Most reservations that wait at an agent, and requests that wait at an entry.
const AGENT_WAITING: usize = 256;
const ENTRY_WAITING: usize = 4_096;

impl World<'_> {
    pub(crate) fn open_entry(&self, entry: usize) -> entry::State {
        let zone = self.workload.zones[entry].clone();
        let settings = entry::Settings { waiting: ENTRY_WAITING, zone };
        let policy = match self.policy {
            Policy::First => entry::Policy::first(),
            _ => entry::Policy::default(),
        };
        let mut state = entry::open_with(settings, policy);
        let records = self.site.records.clone();
        entry::reduce(&mut state, self.base + self.now, entry::Event::Records(records));
        entry::reduce(&mut state, self.base + self.now, entry::Event::CaughtUp);
        if self.policy != Policy::First {
            let hosts = entry::Event::Hosts(self.site.hosts.clone());
            entry::reduce(&mut state, self.base + self.now, hosts);
        }
        state
    }

    pub(crate) fn open_agent(&self, target: usize) -> agent::State {
        let engine = self.workload.pools[self.site.targets[target].pool].engine;
        let room = agent::Capacity {
            slots: engine.slots,
            max_tokens: engine.tokens,
            max_waiting: AGENT_WAITING,
            grant_lifetime: GRANT,
        };
        let policy = match self.policy {
            Policy::First => agent::Policy::without_rules(),
            _ => agent::Policy::default(),
        };
        agent::open_with(room, policy)
    }

    /// An attempt as its entry reads it.
    pub(crate) fn request(&self, id: RequestId) -> Request {
        const HASHED_BLOCKS: usize = 16;
        let attempt = &self.attempts[&id];
        let job = &self.jobs[attempt.job];
        let pool = &self.workload.pools[job.pool];
        let account = &self.workload.accounts[job.account].name;
        Request {
            id,
            credential: Some(model::credential::hash(&site::key(account))),
            tier: Some(self.workload.tiers[job.rank].name.clone()),
            call: Some(match pool.backing {
                Backing::Model => Call::Completion(site::model(pool)),
                Backing::Service => Call::Service(pool.name.clone()),
            }),
            deadline: Some(attempt.due.saturating_sub(self.now)),
            idempotent: None,
            key: None,
            prefill: job.prefill,
            decode: if pool.backing == Backing::Model { job.decode } else { 0 },
            prefix: job.prefix.iter().take(HASHED_BLOCKS).copied().collect(),
            fingerprint: id.into_bytes(),
            findings: Vec::new(),
        }
    }

    pub(crate) fn reduce_entry(&mut self, entry: usize, event: entry::Event) {
        let Some(state) = self.entries[entry].as_mut() else {
            return;
        };
        let begun = Instant::now();
        let effects = entry::reduce(state, self.base + self.now, event);
        self.tally.reducer += begun.elapsed();
        let wake = entry::next_wake(state).map(|at| at - self.base);
        for effect in effects {
            self.carry_entry(entry, effect);
        }
        if let Some(at) = sooner(self.entry_wakes[entry], wake) {
            self.entry_wakes[entry] = Some(at);
            self.queue.push(at.max(self.now), Event::WakeEntry(entry));
        }
    }

    pub(crate) fn wake_entry(&mut self, entry: usize) {
        self.entry_wakes[entry] = None;
        self.reduce_entry(entry, entry::Event::Tick);
    }

    pub(crate) fn reduce_agent(&mut self, target: usize, event: agent::Event) {
        if self.agents[target].is_none() {
            return self.unreachable(target, event);
        }
        self.note_wait(target, &event);
        let Some(state) = self.agents[target].as_mut() else {
            return;
        };
        let begun = Instant::now();
        let effects = agent::reduce(state, self.base + self.now, event);
        self.tally.reducer += begun.elapsed();
        let wake = agent::next_wake(state).map(|at| at - self.base);
        for effect in effects {
            self.carry_agent(target, effect);
        }
        if let Some(at) = sooner(self.agent_wakes[target], wake) {
            self.agent_wakes[target] = Some(at);
            self.queue.push(at.max(self.now), Event::WakeAgent(target));
        }
    }

    pub(crate) fn wake_agent(&mut self, target: usize) {
        self.agent_wakes[target] = None;
        self.reduce_agent(target, agent::Event::Tick);
    }

    fn carry_entry(&mut self, entry: usize, effect: entry::Effect) {
        match effect {
            entry::Effect::Reserve { address, ask, .. } => {
                self.tally.message(bytes(&ask));
                let target = self.site.at(address);
                self.reserve(entry, target, ask);
            }
            entry::Effect::Cancel { id, address } => {
                self.tally.message(bytes(&id));
                let target = self.site.at(address);
                self.tell_agent(entry, target, agent::Event::Cancel(id));
            }
            entry::Effect::Start(start) => {
                self.tally.message(bytes(&start.id));
                self.stop_waiting(entry, start.id.request);
                let target = self.site.at(start.control);
                self.tell_agent(entry, target, agent::Event::Start(start.id));
            }
            entry::Effect::Refuse { request, refusal, .. } => {
                self.stop_waiting(entry, request);
                self.note_order(entry, request, refusal.reason);
                self.refuse(request, refusal.reason, refusal.retry_after);
            }
            _ => {}
        }
    }

    /// Counts a refusal that goes before a lower tier at the same entry and pool.
    fn note_order(&mut self, entry: usize, request: RequestId, reason: Reason) {
        let (pool, rank) = self.place(request);
        let lower = &self.entry_ranks[entry][pool][rank + 1..];
        let lower_waits = u64::from(lower.iter().any(|count| *count > 0));
        match reason {
            Reason::Overloaded => self.tally.inversions.entry += lower_waits,
            Reason::Deadline => self.tally.hopeless_over_lower += lower_waits,
            _ => {}
        }
    }

    fn carry_agent(&mut self, target: usize, effect: agent::Effect) {
        match effect {
            agent::Effect::Grant { id, grant } => {
                self.tally.message(bytes(&grant));
                let event = entry::Event::Granted { id, grant };
                self.reply(id, event);
            }
            agent::Effect::Deny { id, denial } => {
                self.tally.message(bytes(&denial));
                let rank = self.waits.get(&id).map_or(Rank::MAX as usize, |wait| wait.rank);
                let lower = self.agent_ranks[target].iter().skip(rank + 1);
                let inverted = denial.reason == Reason::Overloaded && lower.sum::<u32>() > 0;
                self.tally.inversions.agent += u64::from(inverted);
                self.reply(id, entry::Event::Denied { id, denial });
            }
            agent::Effect::Dispatch(id) => {
                if let Some(attempt) = self.attempts.get_mut(&id.request) {
                    attempt.reservation = Some(id);
                    self.submit(id.request, target);
                } else {
                    self.reduce_agent(target, agent::Event::Ended(id));
                }
            }
            agent::Effect::DenyStart { id, .. } => {
                let Some(entry) = self.attempts.get(&id.request).map(|attempt| attempt.entry)
                else {
                    return;
                };
                self.start_waiting(entry, id.request);
                let event = entry::Event::NotStarted { id, unreachable: false };
                self.tell_entry(entry, target, event);
            }
            agent::Effect::ReplyFate { fate, .. } => self.tally.message(bytes(&fate)),
            _ => {}
        }
    }

    fn reserve(&mut self, entry: usize, target: usize, ask: Ask) {
        let rank = usize::from(ask.rank);
        self.waits.insert(ask.id, Wait { entry, target, rank, arrived: false });
        self.tell_agent(entry, target, agent::Event::Reserve(ask));
    }

    /// Takes a reservation out of those that wait.
    fn settle(&mut self, id: Id) -> Option<Wait> {
        let wait = self.waits.remove(&id)?;
        self.agent_ranks[wait.target][wait.rank] -= u32::from(wait.arrived);
        Some(wait)
    }

    /// Counts the reservations that wait at an agent from the moment that it hears of them.
    fn note_wait(&mut self, target: usize, event: &agent::Event) {
        match event {
            agent::Event::Reserve(ask) => {
                if let Some(wait) = self.waits.get_mut(&ask.id) {
                    wait.arrived = true;
                    self.agent_ranks[target][wait.rank] += 1;
                }
            }
            agent::Event::Cancel(id) => {
                self.settle(*id);
            }
            _ => {}
        }
    }

    fn reply(&mut self, id: Id, event: entry::Event) {
        if let Some(wait) = self.settle(id) {
            self.tell_entry(wait.entry, wait.target, event);
        }
    }

    fn tell_agent(&mut self, entry: usize, target: usize, event: agent::Event) {
        let at = self.now + self.link(entry, target);
        self.queue.push(at, Event::Agent { target, event });
    }

    fn tell_entry(&mut self, entry: usize, target: usize, event: entry::Event) {
        let at = self.now + self.link(entry, target);
        self.queue.push(at, Event::Entry { entry, event });
    }

    /// What an entry sees of a message to an agent that is gone.
    fn unreachable(&mut self, target: usize, event: agent::Event) {
        match event {
            agent::Event::Reserve(ask) => self.lose_wait(ask.id),
            agent::Event::Start(id) => {
                let Some(attempt) = self.attempts.get(&id.request) else {
                    return;
                };
                let entry = attempt.entry;
                self.start_waiting(entry, id.request);
                let event = entry::Event::NotStarted { id, unreachable: true };
                let at = self.now + CONNECT + self.link(entry, target);
                self.queue.push(at, Event::Entry { entry, event });
            }
            _ => {}
        }
    }

    /// A reservation's agent is gone: its entry hears of it later.
    pub(crate) fn lose_wait(&mut self, id: Id) {
        if let Some(wait) = self.settle(id) {
            let event = entry::Event::Unreachable { id };
            self.queue.push(self.now + CONNECT, Event::Entry { entry: wait.entry, event });
        }
    }

    pub(crate) fn stop_waiting(&mut self, entry: usize, request: RequestId) {
        let (pool, rank) = self.place(request);
        let count = &mut self.entry_ranks[entry][pool][rank];
        *count = count.saturating_sub(1);
    }

    fn start_waiting(&mut self, entry: usize, request: RequestId) {
        let (pool, rank) = self.place(request);
        self.entry_ranks[entry][pool][rank] += 1;
    }

    /// Ends every attempt of an entry whose host died; its agents see the connections close.
    pub(crate) fn lose_entry(&mut self, entry: usize) {
        self.entries[entry] = None;
        self.entry_wakes[entry] = None;
        self.entry_ranks[entry].iter_mut().for_each(|ranks| ranks.fill(0));
        let waits: Vec<(Id, usize)> = self
            .waits
            .iter()
            .filter(|(_, wait)| wait.entry == entry)
            .map(|(id, wait)| (*id, wait.target))
            .collect();
        for (id, target) in waits {
            self.tell_agent(entry, target, agent::Event::Cancel(id));
        }
        let attempts = self.attempts.iter().filter(|(_, attempt)| attempt.entry == entry);
        let requests: Vec<RequestId> = attempts.map(|(id, _)| *id).collect();
        for request in requests {
            self.cut(request, End::Lost);
        }
    }
}

fn bytes<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len())
}

/// A wake that has to be planned because none that is planned comes as soon.
fn sooner(planned: Option<Duration>, wanted: Option<Duration>) -> Option<Duration> {
    wanted.filter(|wanted| planned.is_none_or(|planned| *wanted < planned))
}
