//! Direct dispatch to a plain service, whose targets have no agents beside them.
//!
//! Load: 31 entry processes before four targets of six slots, calls of 60 ms on average that are to be
//! answered in 300 ms, at half of what the targets can do, at nine tenths and at more. What the processes
//! tell each other comes once in 300 ms: several calls have ended meanwhile. A target lets 24 calls wait
//! in the order in which they came, and rejects any more. Agents stand beside targets of another pool.

mod direct_support;

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Range,
    time::Duration,
};

use direct_support::{Process, address, blank, plan, refusals, request, route, starts, target};
use model::reservation::{Ask, Id};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::{
    agent::{self, Policy, Room, State},
    direct::{Effect, Event, Outcome, Reservation, Target, Ticket, plan::Repeat},
};
use test_case::test_case;
use uuid::Uuid;

const ENTRIES: usize = 31;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Mean time of a call at a target of usual speed, in ms.
const WORK: f64 = 60.0;
const SPEEDS: [f64; 4] = [0.7, 1.0, 1.0, 1.3];
/// Calls a second that the targets can answer.
const CAPACITY: f64 = 400.0;
/// Time in which a call is to be answered, in ms.
const AIM: u64 = 300;
/// Time from a process to a target, and back, in ms.
const WAY: u64 = 4;
/// Period in which each process tells its row to the others, in ms.
const ROWS: u64 = 300;
/// Period in which the processes look at their timers, in ms.
const TICK: u64 = 5;
/// Calls that arrive in this time, in ms, count.
const COUNTED: Range<u64> = 2_000..5_500;
/// Later by more than any call takes.
const END: u64 = 6_500;
const SEED: u64 = 7;

/// A process and its request.
type Call = (usize, Ticket);

/// What happens at a target or is heard of it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrived(usize, Call),
    Finished(usize, Call),
    Heard(Call, bool),
}

#[derive(Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Call>,
}

#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    in_aim: u32,
}

struct World {
    entries: Vec<Process>,
    /// Admission to each target.
    queues: Vec<State>,
    /// In which queue each reservation is that wasn't withdrawn.
    open: BTreeMap<(usize, Ticket, u32), usize>,
    servers: Vec<Server>,
    due: BTreeMap<u64, Vec<Due>>,
    arrived: BTreeMap<Ticket, u64>,
    random: StdRng,
    at: u64,
    tickets: Ticket,
    tally: Tally,
}

fn plain() -> Vec<Target> {
    (0..SPEEDS.len() as u16).map(|n| Target { slots: SLOTS, ..target(n) }).collect()
}

/// Targets of another pool, with agents beside them.
fn models() -> Vec<Target> {
    let model = |n| Target { pool: "models".into(), agent: Some(address(2_000 + n)), ..target(n) };
    (10..15).map(model).collect()
}

fn entry(number: usize, models: &[Target]) -> Process {
    let mut entry = blank(number as u16 + 1);
    let mut call = route("/call/", Repeat::Never);
    call.aim = Duration::from_millis(AIM);
    call.timeout = Duration::from_millis(800);
    entry.send(Event::Planned(plan(1, vec![call], None).into()));
    entry.confirm();
    entry.list([&plain()[..], models].concat());
    entry
}

fn world(models: &[Target]) -> World {
    let mut entries: Vec<Process> = (0..ENTRIES).map(|n| entry(n, models)).collect();
    let now = entries[0].now;
    entries.iter_mut().for_each(|entry| entry.now = now);
    let grant = Duration::from_secs(1);
    let room = Room { slots: 1, tokens: u64::MAX, waiting: 1_000, grant };
    let policy = Policy { floor: 0.05, newest: true, ..Policy::first() };
    World {
        entries,
        queues: SPEEDS.iter().map(|_| agent::open_with(room, policy)).collect(),
        open: BTreeMap::new(),
        servers: SPEEDS.iter().map(|_| Server::default()).collect(),
        due: BTreeMap::new(),
        arrived: BTreeMap::new(),
        random: StdRng::seed_from_u64(SEED),
        at: 0,
        tickets: 0,
        tally: Tally::default(),
    }
}

fn id(index: usize, ticket: Ticket, attempt: u32) -> Id {
    Id { request: Uuid::from_u64_pair(index as u64, ticket), attempt }
}

impl World {
    fn send(&mut self, index: usize, event: Event) {
        let effects = self.entries[index].send(event);
        for effect in &effects {
            match effect {
                Effect::Reserve(reservation) => self.reserve(index, reservation),
                Effect::Withdraw { ticket, number } => self.withdraw(index, *ticket, *number),
                _ => {}
            }
        }
        for (ticket, _) in refusals(&effects) {
            self.arrived.remove(&ticket);
        }
        for start in starts(&effects) {
            let number = usize::from(start.address.port() - 1_000);
            self.after(WAY, Due::Arrived(number, (index, start.ticket)));
        }
    }

    fn reserve(&mut self, index: usize, reservation: &Reservation) {
        let Reservation { ticket, number, rank, slots, .. } = *reservation;
        let queue = usize::from(reservation.address.port() - 1_000);
        self.open.insert((index, ticket, number), queue);
        let ask = Ask {
            id: id(index, ticket, number),
            rank,
            remaining: reservation.wait,
            prefill: 0,
            decode: 0,
            prefix: Vec::new(),
            offset: 0,
            body: Default::default(),
        };
        self.feed(queue, agent::Event::Sized(slots as usize));
        self.feed(queue, agent::Event::Reserve(ask));
    }

    fn withdraw(&mut self, index: usize, ticket: Ticket, number: u32) {
        // One that was denied is withdrawn by nobody.
        if let Some(queue) = self.open.remove(&(index, ticket, number)) {
            self.feed(queue, agent::Event::Cancel(id(index, ticket, number)));
            self.feed(queue, agent::Event::Ended(id(index, ticket, number)));
        }
    }

    fn feed(&mut self, queue: usize, event: agent::Event) {
        let now = self.entries[0].now.steady;
        for effect in agent::reduce(&mut self.queues[queue], now, event) {
            let agent::Effect::Grant { id, .. } = effect else {
                continue;
            };
            let (index, ticket) = id.request.as_u64_pair();
            let (index, number) = (index as usize, id.attempt);
            if self.open.contains_key(&(index, ticket, number)) {
                let load = self.queues[queue].load();
                self.feed(queue, agent::Event::Start(id));
                self.send(index, Event::Granted { ticket, number, load });
            }
        }
    }

    fn after(&mut self, time: u64, due: Due) {
        self.due.entry(self.at + time).or_default().push(due);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Arrived(number, call) if self.servers[number].running < SLOTS => {
                self.run(number, call);
            }
            Due::Arrived(number, call) if self.servers[number].waiting.len() < QUEUE => {
                self.servers[number].waiting.push_back(call);
            }
            Due::Arrived(_, call) => self.after(WAY, Due::Heard(call, false)),
            Due::Finished(number, call) => {
                self.servers[number].running -= 1;
                if let Some(next) = self.servers[number].waiting.pop_front() {
                    self.run(number, next);
                }
                self.after(WAY, Due::Heard(call, true));
            }
            Due::Heard((index, ticket), false) => self.end(index, ticket, Outcome::Rejected),
            Due::Heard((index, ticket), true) => {
                let arrived = self.arrived.remove(&ticket).expect("it ends once");
                let counts = COUNTED.contains(&arrived) && self.at - arrived <= AIM;
                self.tally.in_aim += u32::from(counts);
                self.send(index, Event::Began { ticket });
                self.end(index, ticket, Outcome::Done);
            }
        }
    }

    fn end(&mut self, index: usize, ticket: Ticket, outcome: Outcome) {
        let begun = outcome == Outcome::Done;
        self.send(index, Event::Ended { ticket, outcome, begun, events: 0 });
    }

    fn run(&mut self, number: usize, call: Call) {
        self.servers[number].running += 1;
        let spread = 0.5 - 0.5 * self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
        let held = (WORK * spread / SPEEDS[number]) as u64 + 1;
        self.after(held, Due::Finished(number, call));
    }

    fn pass(&mut self, per_second: f64) {
        self.at += 1;
        for entry in &mut self.entries {
            entry.now.steady += Duration::from_millis(1);
            entry.now.boot += Duration::from_millis(1);
        }
        for due in self.due.remove(&self.at).unwrap_or_default() {
            self.take(due);
        }
        for index in 0..ENTRIES {
            if self.at % ROWS == index as u64 * ROWS / ENTRIES as u64 {
                self.tell(index);
            }
            if self.at % TICK == index as u64 % TICK {
                self.send(index, Event::Tick);
            }
        }
        if self.random.random_bool(per_second / 1_000.0) {
            self.arrive();
        }
    }

    fn tell(&mut self, from: usize) {
        self.entries[from].confirm();
        let now = self.entries[from].now.steady;
        let row = self.entries[from].state.row(now);
        for to in (0..ENTRIES).filter(|&to| to != from) {
            self.send(to, Event::Heard(vec![row.clone()]));
        }
    }

    fn arrive(&mut self) {
        self.tickets += 1;
        self.tally.asked += u32::from(COUNTED.contains(&self.at));
        self.arrived.insert(self.tickets, self.at);
        let mut call = request(self.tickets, "/call/");
        call.tokens = None;
        call.patience = Some(Duration::from_millis(1_500));
        call.draw = self.random.random();
        let index = self.random.random_range(0..ENTRIES);
        self.send(index, Event::Arrived(call));
    }
}

/// Part of the calls that are answered in time, at a part of what the targets can do.
fn in_aim(load: f64, models: &[Target]) -> f64 {
    let mut world = world(models);
    while world.at < END {
        world.pass(load * CAPACITY);
    }
    f64::from(world.tally.in_aim) / f64::from(world.tally.asked)
}

#[test_case(0.5, 0.98; "half of what they can do")]
#[test_case(0.9, 0.95; "nine tenths")]
#[test_case(1.2, 0.75; "more")]
fn agents_of_other_targets_admit_calls_in_time(load: f64, least: f64) {
    let share = in_aim(load, &models());

    assert!(share >= least, "{share}");
}

#[test]
fn rows_that_are_old_serve_fewer() {
    let (rows, agents) = (in_aim(0.9, &[]), in_aim(0.9, &models()));

    assert!(rows < agents, "{rows}, {agents}");
}
