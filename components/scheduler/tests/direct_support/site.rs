//! Entry processes, agents and targets in virtual time, with what fails on the way.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use model::reservation::{Ask, Id, Load};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::{
    agent::{self, Policy, Room, State},
    direct::{
        self, Effect, Event, Lapse, Now, Outcome, Request, Reservation, Target, Ticket,
        peers::period,
        plan::{Repeat, Route},
    },
};
use uuid::Uuid;

use super::{Process, address, blank, plan, refusals, request, route, settings, starts, target};

/// Time from a process to another, in ms.
const WAY: u64 = 2;
/// Period in which processes look at their timers, in ms.
const TICK: u64 = 5;
/// When targets begin to name their limits, and when they cease to, in ms.
pub const NAMED: u64 = 2_000;
pub const LIFTED: u64 = 16_000;
pub const END: u64 = 24_000;
/// Time after a limit was first named from which on it binds, in ms.
pub const STABLE: u64 = 3_000;
/// Time after which a process that passed a limit on counts as told, in ms.
const TOLD: u64 = 500;
/// Time over which requests count, in ms.
pub const WINDOW: u64 = 4_000;
/// Time that an agent takes to start again, in ms.
const AWAY: u64 = 400;

/// A deployment and its load.
#[derive(Clone, Copy)]
pub struct Site {
    pub entries: usize,
    pub targets: u16,
    pub slots: u32,
    /// Time of a request at a target, in ms.
    pub held: u64,
    /// Requests a second at all entry processes.
    pub load: f64,
    pub agents: Agents,
}

#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Agents {
    /// One beside each target.
    Beside,
    /// Beside targets of another pool only.
    Others,
    Nowhere,
}

/// Targets that reject a part of what they get.
#[derive(Clone, Copy)]
pub struct Shedding {
    /// The first so many.
    pub targets: u16,
    /// Part of the requests, from 0 to 1.
    pub share: f64,
}

/// Requests of one route, whose answers differ in length.
#[derive(Clone, Copy)]
pub struct Kind {
    pub path: &'static str,
    /// Rank of its tier.
    pub rank: u32,
    /// Part of the requests, from 0 to 1.
    pub share: f64,
    /// Time until the first event should come.
    pub aim: Duration,
    /// Time until the whole answer must have come.
    pub patience: Duration,
    /// Tokens of the answer: half of them have more.
    pub median: f64,
    /// Factor between the median and the length that one of six is beyond.
    pub spread: f64,
}

/// Answers that differ in length, at targets of two speeds: each third is a fast one.
#[derive(Clone, Copy)]
pub struct Lengths {
    pub kinds: &'static [Kind],
    /// Times at a fast and at a slow target, in ms: to the first token, and for each one.
    pub first: [f64; 2],
    pub token: [f64; 2],
}

/// A request whose answer has a length, and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct Sized {
    /// Which of the kinds.
    pub kind: usize,
    pub tokens: f64,
    /// When it must have been answered.
    until: u64,
    /// Whether it was answered whole and in time.
    pub served: bool,
}

/// How much longer one of six answers is than its caller expects; as many are as much shorter.
const SURPRISE: f64 = 1.6;

/// What fails, from two seconds on.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Fault {
    Nothing,
    /// The agents are never reached.
    AgentsAway,
    /// One process doesn't reach the agents, the others do.
    AgentsAwayFromOne,
    /// All agents are killed, each second.
    AgentsKilled,
    /// One process after the other is killed, each second.
    EntriesKilled,
    /// All processes are killed, each three seconds.
    AllKilled,
}

/// A reservation of an entry process.
type Key = (usize, Ticket, u32);

#[derive(Clone, Copy, Debug)]
pub enum Due {
    Arrived { to: u16, from: usize, life: u32, ticket: Ticket, again: bool },
    Answered { to: u16, from: usize, life: u32, ticket: Ticket },
    Granted { key: Key, load: Load },
    Away { key: Key, life: u32 },
    Rejected { from: usize, life: u32, ticket: Ticket },
}

/// A request at a target, and whether its sender had passed a limit on before.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub to: u16,
    pub told: bool,
    /// Whether the request was dispatched before.
    pub again: bool,
    /// Whether it was rejected.
    pub rejected: bool,
}

pub struct World {
    site: Site,
    fault: Fault,
    /// By target, in requests a second.
    limits: BTreeMap<u16, f64>,
    entries: Vec<Process>,
    /// Starts of each process.
    lives: Vec<u32>,
    /// By where the agent and where its target listen.
    queues: BTreeMap<(SocketAddr, SocketAddr), State>,
    open: BTreeMap<Key, (SocketAddr, SocketAddr)>,
    /// Those of them that wait.
    waiting: BTreeSet<Key>,
    due: BTreeMap<u64, Vec<Due>>,
    /// When each process first passed a target's limit on.
    told: BTreeMap<(usize, u16), u64>,
    pub arrivals: Vec<Arrival>,
    asked: BTreeMap<Ticket, u64>,
    /// When each request arrived at a process.
    pub requests: Vec<u64>,
    pub shedding: Option<Shedding>,
    lengths: Option<Lengths>,
    /// Requests whose answers have a length.
    pub sized: BTreeMap<Ticket, Sized>,
    /// Requests that were answered.
    pub answered: usize,
    /// Time from arrival to dispatch of each request that was dispatched, in ms.
    pub waits: Vec<u64>,
    pub refused: usize,
    agents_back: u64,
    random: StdRng,
    pub at: u64,
    tickets: Ticket,
}

pub fn targets(site: Site) -> Vec<Target> {
    let near = |n| (site.agents == Agents::Beside).then(|| address(2_000 + n));
    let mut targets: Vec<Target> = (0..site.targets)
        .map(|n| Target { slots: site.slots, agent: near(n), ..target(n) })
        .collect();
    if site.agents == Agents::Others {
        targets.extend((500..503).map(|n| Target {
            pool: "models".into(),
            agent: Some(address(2_000 + n)),
            ..target(n)
        }));
    }
    targets
}

/// An entry process after so many restarts, which knows a configuration and the targets.
pub fn entry(number: usize, life: u32, site: Site, now: Now) -> Process {
    planned(number, life, site, now, vec![route("/call/", Repeat::Never)])
}

fn planned(number: usize, life: u32, site: Site, now: Now, routes: Vec<Route>) -> Process {
    let mut settings = settings(number as u16 + 1);
    settings.incarnation = u64::from(life) + 1;
    let state = direct::open(now.steady, settings);
    let mut entry = Process { state, now, ..blank(number as u16 + 1) };
    entry.send(Event::Planned(plan(1, routes, None).into()));
    entry.confirm();
    entry.list(targets(site));
    entry
}

pub fn world(site: Site, fault: Fault, limits: &[(u16, f64)]) -> World {
    let now = blank(1).now;
    let entries = (0..site.entries).map(|number| entry(number, 0, site, now)).collect();
    World {
        site,
        fault,
        limits: limits.iter().copied().collect(),
        lives: vec![0; site.entries],
        entries,
        queues: BTreeMap::new(),
        open: BTreeMap::new(),
        waiting: BTreeSet::new(),
        due: BTreeMap::new(),
        told: BTreeMap::new(),
        arrivals: Vec::new(),
        asked: BTreeMap::new(),
        requests: Vec::new(),
        shedding: None,
        lengths: None,
        sized: BTreeMap::new(),
        answered: 0,
        waits: Vec::new(),
        refused: 0,
        agents_back: 0,
        random: StdRng::seed_from_u64(7),
        at: 0,
        tickets: 0,
    }
}

/// One whose answers differ in length.
pub fn world_of(site: Site, lengths: Lengths, seed: u64) -> World {
    let mut world = world(site, Fault::Nothing, &[]);
    let now = world.entries[0].now;
    let routes = lengths.kinds.iter().map(|kind| Route {
        rank: kind.rank,
        aim: kind.aim,
        timeout: kind.patience,
        ..route(kind.path, Repeat::Resume)
    });
    let routes: Vec<_> = routes.collect();
    let entries = (0..site.entries).map(|number| planned(number, 0, site, now, routes.clone()));
    world.entries = entries.collect();
    world.lengths = Some(lengths);
    world.random = StdRng::seed_from_u64(seed);
    world
}

/// About as the normal distribution gives, of variance 1.
fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

fn is_fast(target: u16) -> bool {
    target.is_multiple_of(3)
}

fn id((index, ticket, attempt): Key) -> Id {
    Id { request: Uuid::from_u64_pair(index as u64, ticket), attempt }
}

fn number(address: SocketAddr) -> u16 {
    address.port() - 1_000
}

fn queue() -> State {
    let room =
        Room { slots: 1, tokens: u64::MAX, waiting: 1_000, grant: Duration::from_millis(200) };
    agent::open_with(room, Policy { floor: 0.05, newest: true, ..Policy::first() })
}

impl World {
    fn send(&mut self, index: usize, event: Event) {
        let effects = self.entries[index].send(event);
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in &effects {
            match effect {
                Effect::Reserve(reservation) => self.reserve(index, reservation),
                Effect::Withdraw { ticket, number } => self.withdraw((index, *ticket, *number)),
                _ => {}
            }
        }
        for (ticket, _) in refusals(&effects) {
            self.refused += usize::from(self.asked.remove(&ticket).is_some());
        }
        for start in starts(&effects) {
            let (from, life, ticket) = (index, self.lives[index], start.ticket);
            let asked = self.asked.remove(&ticket);
            self.waits.extend(asked.map(|asked| self.at - asked));
            let again = asked.is_none();
            self.after(WAY, Due::Arrived { to: number(start.address), from, life, ticket, again });
        }
    }

    fn reaches_agents(&self, index: usize) -> bool {
        match self.fault {
            Fault::AgentsAway => false,
            Fault::AgentsAwayFromOne => index != 0 || self.at < NAMED,
            _ => self.at >= self.agents_back,
        }
    }

    fn reserve(&mut self, index: usize, reservation: &Reservation) {
        let Reservation { ticket, number, rank, slots, agent, address, .. } = *reservation;
        let key = (index, ticket, number);
        if !self.reaches_agents(index) {
            return self.after(WAY, Due::Away { key, life: self.lives[index] });
        }
        self.open.insert(key, (agent, address));
        self.waiting.insert(key);
        let ask = Ask {
            id: id(key),
            rank,
            remaining: reservation.wait + reservation.boost,
            prefill: reservation.tokens.prompt,
            decode: reservation.tokens.output,
            prefix: Vec::new(),
            offset: 0,
            body: Default::default(),
        };
        self.queues.entry((agent, address)).or_insert_with(queue);
        self.feed((agent, address), agent::Event::Sized(slots as usize));
        if let Some(limit) = reservation.limit {
            self.feed((agent, address), agent::Event::Limited(limit));
        }
        self.feed((agent, address), agent::Event::Reserve(ask));
    }

    fn withdraw(&mut self, key: Key) {
        self.waiting.remove(&key);
        if let Some(queue) = self.open.remove(&key) {
            self.feed(queue, agent::Event::Cancel(id(key)));
            self.feed(queue, agent::Event::Ended(id(key)));
        }
    }

    fn feed(&mut self, queue: (SocketAddr, SocketAddr), event: agent::Event) {
        let now = self.entries[0].now.steady;
        let Some(state) = self.queues.get_mut(&queue) else {
            return;
        };
        for effect in agent::reduce(state, now, event) {
            let agent::Effect::Grant { id, .. } = effect else {
                continue;
            };
            let (index, ticket) = id.request.as_u64_pair();
            let key = (index as usize, ticket, id.attempt);
            let load = self.queues[&queue].load();
            self.after(WAY, Due::Granted { key, load });
        }
    }

    /// A grant arrives; one whose reservation was withdrawn lapses.
    fn granted(&mut self, key: Key, load: Load) {
        if !self.waiting.remove(&key) {
            return;
        }
        let (index, ticket, number) = key;
        self.feed(self.open[&key], agent::Event::Start(id(key)));
        self.send(index, Event::Granted { ticket, number, load });
    }

    fn after(&mut self, time: u64, due: Due) {
        self.due.entry(self.at + time).or_default().push(due);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Arrived { to, from, life, ticket, again } => {
                let told = self.told.get(&(from, to)).is_some_and(|&at| at + TOLD <= self.at);
                let shed = self.shedding.filter(|shedding| to < shedding.targets);
                let rejected = shed.is_some_and(|shed| self.random.random_bool(shed.share));
                self.arrivals.push(Arrival { at: self.at, to, told, again, rejected });
                if rejected {
                    return self.after(WAY, Due::Rejected { from, life, ticket });
                }
                let held = self.held(to, ticket);
                self.after(held + WAY, Due::Answered { to, from, life, ticket });
            }
            Due::Answered { to, from, life, ticket } if self.lives[from] == life => {
                let named = (NAMED..LIFTED).contains(&self.at);
                if let Some(&per_second) = self.limits.get(&to).filter(|_| named) {
                    self.told.entry((from, to)).or_insert(self.at);
                    self.send(from, Event::Limited { ticket, per_second });
                }
                self.answered += 1;
                self.send(from, Event::Began { ticket });
                let sized = self.sized.get_mut(&ticket);
                let expired = sized.as_ref().is_some_and(|sized| sized.until <= self.at);
                sized.into_iter().for_each(|sized| sized.served = !expired);
                let outcome = if expired { Outcome::Expired } else { Outcome::Done };
                self.send(from, Event::Ended { ticket, outcome, begun: true, events: 0 });
            }
            Due::Granted { key, load } => self.granted(key, load),
            Due::Away { key: (index, ticket, number), life } if self.lives[index] == life => {
                self.send(index, Event::Denied { ticket, number, lapse: Lapse::Away });
            }
            Due::Rejected { from, life, ticket } if self.lives[from] == life => {
                let outcome = Outcome::Rejected;
                self.send(from, Event::Ended { ticket, outcome, begun: false, events: 0 });
            }
            Due::Answered { .. } | Due::Away { .. } | Due::Rejected { .. } => {}
        }
    }

    /// Time for which a target has a request, in ms; it is taken from it at its deadline.
    fn held(&mut self, to: u16, ticket: Ticket) -> u64 {
        let (Some(lengths), Some(sized)) = (self.lengths, self.sized.get(&ticket)) else {
            return self.site.held / 2 + self.random.random_range(0..self.site.held);
        };
        let speed = usize::from(!is_fast(to));
        let needs = lengths.first[speed] + sized.tokens * lengths.token[speed];
        (needs as u64).min(sized.until.saturating_sub(self.at))
    }

    pub fn pass(&mut self) {
        self.at += 1;
        for entry in &mut self.entries {
            entry.now.steady += Duration::from_millis(1);
            entry.now.boot += Duration::from_millis(1);
        }
        for due in self.due.remove(&self.at).unwrap_or_default() {
            self.take(due);
        }
        let rows = period(self.site.entries - 1).as_millis() as u64;
        for index in 0..self.site.entries {
            if self.at % rows == index as u64 * rows / self.site.entries as u64 {
                self.tell(index);
            }
            if self.at % TICK == index as u64 % TICK {
                self.send(index, Event::Tick);
            }
        }
        if self.at.is_multiple_of(TICK) {
            let queues: Vec<_> = self.queues.keys().copied().collect();
            queues.into_iter().for_each(|queue| self.feed(queue, agent::Event::Tick));
        }
        if self.at > NAMED && self.at.is_multiple_of(1_000) {
            self.fail();
        }
        if self.random.random_bool(self.site.load / 1_000.0) {
            self.arrive();
        }
    }

    /// Changes how much is asked, and of which kinds, from now on.
    pub fn ask(&mut self, load: f64, kinds: &'static [Kind]) {
        self.site.load = load;
        if let Some(lengths) = &mut self.lengths {
            lengths.kinds = kinds;
        }
    }

    /// Lets time pass without requests until whatever came is over.
    pub fn finish(&mut self) {
        self.site.load = 0.0;
        let last = self.sized.values().map(|sized| sized.until).max().unwrap_or_default();
        while self.at <= last + WAY {
            self.pass();
        }
    }

    fn fail(&mut self) {
        match self.fault {
            Fault::AgentsKilled => self.kill_agents(),
            Fault::AllKilled if self.at.is_multiple_of(3_000) => {
                (0..self.site.entries).for_each(|index| self.kill(index));
            }
            Fault::EntriesKilled => self.kill((self.at / 1_000) as usize % self.site.entries),
            _ => {}
        }
    }

    fn kill_agents(&mut self) {
        self.agents_back = self.at + AWAY;
        self.queues.clear();
        self.open.clear();
        for key in std::mem::take(&mut self.waiting) {
            self.after(WAY, Due::Away { key, life: self.lives[key.0] });
        }
    }

    /// What an entry process has ends with it; a new one starts at once.
    pub fn kill(&mut self, index: usize) {
        let reserved: Vec<Key> = self.open.keys().filter(|key| key.0 == index).copied().collect();
        reserved.into_iter().for_each(|key| self.withdraw(key));
        self.lives[index] += 1;
        let now = self.entries[index].now;
        self.entries[index] = entry(index, self.lives[index], self.site, now);
        // A restart excuses a process until it passes a limit on again.
        self.told.retain(|&(told, _), _| told != index);
    }

    fn tell(&mut self, from: usize) {
        self.entries[from].confirm();
        let now = self.entries[from].now.steady;
        let row = self.entries[from].state.row(now);
        for to in (0..self.site.entries).filter(|&to| to != from) {
            self.send(to, Event::Heard(vec![row.clone()]));
        }
    }

    fn arrive(&mut self) {
        self.tickets += 1;
        self.asked.insert(self.tickets, self.at);
        self.requests.push(self.at);
        let mut call = match self.lengths {
            Some(lengths) => self.draw(lengths),
            None => request(self.tickets, "/call/"),
        };
        call.draw = self.random.random();
        let index = self.random.random_range(0..self.site.entries);
        self.send(index, Event::Arrived(call));
    }

    fn draw(&mut self, lengths: Lengths) -> Request {
        let mut left = self.random.random::<f64>();
        let kind = lengths.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let number = kind.unwrap_or(lengths.kinds.len() - 1);
        let kind = lengths.kinds[number];
        let tokens = (kind.median * kind.spread.powf(normal(&mut self.random))).max(1.0);
        let expected = tokens * SURPRISE.powf(normal(&mut self.random));
        let until = self.at + kind.patience.as_millis() as u64;
        self.sized.insert(self.tickets, Sized { kind: number, tokens, until, served: false });
        let patience = Some(kind.patience);
        let expected = Some(expected.max(1.0) as u32);
        Request { patience, expected, ..request(self.tickets, kind.path) }
    }

    /// Part of a kind's requests that were served, of all or of those in a range of its lengths, as parts
    /// from the shortest, 0, to the longest, 1.
    pub fn served(&self, kind: usize, range: Range<f64>) -> f64 {
        let mut sized: Vec<_> = self.sized.values().filter(|sized| sized.kind == kind).collect();
        sized.sort_by(|a, b| a.tokens.total_cmp(&b.tokens));
        let place = |part: f64| (part * sized.len() as f64) as usize;
        let sized = &sized[place(range.start)..place(range.end)];
        sized.iter().filter(|sized| sized.served).count() as f64 / sized.len() as f64
    }

    /// Most requests that a target got in a window while its limit binds, of those that count.
    pub fn most(&self, to: u16, counts: impl Fn(&Arrival) -> bool) -> usize {
        let binds = NAMED + STABLE..LIFTED;
        let counted = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.to == to && binds.contains(&arrival.at) && counts(arrival));
        let times: Vec<u64> = counted.map(|arrival| arrival.at).collect();
        let within =
            |start: u64| times.iter().filter(|&&at| (start..start + WINDOW).contains(&at)).count();
        times.iter().map(|&start| within(start)).max().unwrap_or_default()
    }

    /// Requests a second that a target got in a time.
    pub fn rate(&self, to: u16, time: Range<u64>) -> f64 {
        let got = self.arrivals.iter().filter(|got| got.to == to && time.contains(&got.at)).count();
        got as f64 * 1_000.0 / (time.end - time.start) as f64
    }
}
