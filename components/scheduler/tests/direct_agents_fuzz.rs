//! Entry processes and agents together, whatever order their messages come in: no target gets more than
//! it has room for, and no room is lost.

mod direct_support;

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use direct_support::{Process, address, plan, process, request, route, target};
use model::reservation::{Ask, Id};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use scheduler::{
    agent::{self, Policy, Room, State},
    direct::{self, Effect, Event, Lapse, Outcome, Reservation, Target, Ticket, plan::Repeat},
};
use uuid::Uuid;

const CASES: u32 = 200;
const ENTRIES: usize = 3;
const TARGETS: u16 = 3;
const SLOTS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        entry: usize,
        repeat: Repeat,
    },
    /// The first message of a connection arrives.
    Deliver(usize),
    /// A run ends.
    End {
        nth: usize,
        outcome: Outcome,
    },
    /// The caller of a request leaves that runs.
    Leave(usize),
    /// Messages arrive, and time passes.
    Wait(u16),
}

/// A reservation: its entry process, its request and its number.
type Key = (usize, Ticket, u32);

#[derive(Clone, Copy, Debug)]
enum Message {
    Reserve(Key, u8),
    Hold(Key),
    Withdraw(Key),
    Granted(Key),
    Denied(Key),
}

struct World {
    entries: Vec<Process>,
    agents: Vec<State>,
    now: Instant,
    /// What each entry process and each agent send to each other, in order: `true` to the agent.
    ways: BTreeMap<(usize, usize, bool), VecDeque<Message>>,
    /// At whose agent each reservation is that wasn't withdrawn.
    open: BTreeMap<Key, usize>,
    running: BTreeMap<(usize, Ticket), Key>,
    arrived: Ticket,
}

fn config() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let repeat = prop_oneof![Just(Repeat::Safe), Just(Repeat::Never)];
    let outcome = prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Unreached),
        1 => Just(Outcome::Failed),
        1 => any::<bool>().prop_map(|crashed| Outcome::Lost { crashed }),
    ];
    prop_oneof![
        6 => (0..ENTRIES, repeat).prop_map(|(entry, repeat)| Step::Arrive { entry, repeat }),
        12 => (0..18_usize).prop_map(Step::Deliver),
        5 => (0..8_usize, outcome).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
        1 => (0..8_usize).prop_map(Step::Leave),
        2 => (0..300_u16).prop_map(Step::Wait),
    ]
}

fn id((entry, ticket, number): Key) -> Id {
    Id { request: Uuid::from_u64_pair(entry as u64, ticket), attempt: number }
}

fn world() -> World {
    let routes = vec![route("/safe/", Repeat::Safe), route("/never/", Repeat::Never)];
    let agent = |number| Some(address(2_000 + number));
    let targets: Vec<Target> =
        (0..TARGETS).map(|number| Target { agent: agent(number), ..target(number) }).collect();
    let entry = |_| process(plan(1, routes.clone(), None), targets.clone());
    let grant = Duration::from_secs(10);
    let room = Room { slots: SLOTS, tokens: u64::MAX, waiting: 100, grant };
    let policy = Policy { floor: 0.05, newest: true, ..Policy::first() };
    World {
        entries: (0..ENTRIES).map(entry).collect(),
        agents: (0..TARGETS).map(|_| agent::open_with(room, policy)).collect(),
        now: Instant::now(),
        ways: BTreeMap::new(),
        open: BTreeMap::new(),
        running: BTreeMap::new(),
        arrived: 0,
    }
}

impl World {
    fn post(&mut self, key: Key, agent: usize, to_agent: bool, message: Message) {
        self.ways.entry((key.0, agent, to_agent)).or_default().push_back(message);
    }

    fn send(&mut self, entry: usize, granted: Option<Key>, event: Event) {
        let effects = self.entries[entry].send(event);
        for effect in effects {
            match effect {
                Effect::Reserve(Reservation { ticket, number, agent, rank, .. }) => {
                    let (key, agent) = ((entry, ticket, number), usize::from(agent.port() - 2_000));
                    assert!(self.open.insert(key, agent).is_none(), "{key:?} is used twice");
                    self.post(key, agent, true, Message::Reserve(key, rank));
                }
                Effect::Withdraw { ticket, number } => {
                    let key = (entry, ticket, number);
                    // A reservation that was denied is withdrawn by nobody.
                    let agent = self.open.remove(&key).expect("it was reserved");
                    self.running.retain(|_, held| *held != key);
                    self.post(key, agent, true, Message::Withdraw(key));
                }
                Effect::Start(start) => {
                    let key = granted.expect("only granted room is used");
                    assert_eq!(start.target, format!("target-{}", self.open[&key]));
                    let before = self.running.insert((entry, start.ticket), key);
                    assert!(before.is_none(), "{key:?} runs twice");
                }
                _ => {}
            }
        }
    }

    fn feed(&mut self, agent: usize, event: agent::Event) {
        for effect in agent::reduce(&mut self.agents[agent], self.now, event) {
            let (id, granted) = match effect {
                agent::Effect::Grant { id, .. } => (id, true),
                agent::Effect::Deny { id, .. } => (id, false),
                _ => continue,
            };
            let (entry, ticket) = id.request.as_u64_pair();
            let key = (entry as usize, ticket, id.attempt);
            let message = if granted { Message::Granted(key) } else { Message::Denied(key) };
            self.post(key, agent, false, message);
        }
    }

    fn deliver(&mut self, way: (usize, usize, bool)) {
        let (entry, agent, _) = way;
        let Some(message) = self.ways.get_mut(&way).and_then(VecDeque::pop_front) else {
            return;
        };
        match message {
            Message::Reserve(key, rank) => {
                let ask = Ask {
                    id: id(key),
                    rank,
                    remaining: Duration::from_secs(5),
                    prefill: 100,
                    decode: 10,
                    prefix: Vec::new(),
                    offset: 0,
                    body: Default::default(),
                };
                self.feed(agent, agent::Event::Reserve(ask));
            }
            Message::Hold(key) => self.feed(agent, agent::Event::Start(id(key))),
            // The calls of a reservation end together, whichever runs.
            Message::Withdraw(key) => {
                self.feed(agent, agent::Event::Cancel(id(key)));
                self.feed(agent, agent::Event::Ended(id(key)));
            }
            Message::Granted(key) => {
                if self.open.contains_key(&key) {
                    self.post(key, agent, true, Message::Hold(key));
                    let load = self.agents[agent].load();
                    let event = Event::Granted { ticket: key.1, number: key.2, load };
                    self.send(entry, Some(key), event);
                }
            }
            Message::Denied(key) => {
                if self.open.remove(&key).is_some() {
                    let lapse = Lapse::Late;
                    let event = Event::Denied { ticket: key.1, number: key.2, lapse };
                    self.send(entry, None, event);
                }
            }
        }
    }

    fn deliver_all(&mut self) {
        while let Some(way) = self.ways.iter().find(|(_, way)| !way.is_empty()).map(|(way, _)| *way)
        {
            self.deliver(way);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.deliver_all();
        self.now += time;
        for entry in 0..ENTRIES {
            self.entries[entry].now.steady += time;
            self.entries[entry].now.boot += time;
            let boot = self.entries[entry].now.boot;
            self.send(entry, None, Event::Confirmed { boot, version: u64::MAX, era: 0 });
        }
        for agent in 0..self.agents.len() {
            self.feed(agent, agent::Event::Tick);
        }
    }

    fn running(&self, nth: usize) -> Option<(usize, Ticket)> {
        self.running.keys().nth(nth).copied()
    }

    fn end(&mut self, (entry, ticket): (usize, Ticket), outcome: Outcome) {
        self.send(entry, None, Event::Ended { ticket, outcome, begun: false, events: 0 });
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive { entry, repeat } => {
                self.arrived += 1;
                let path = if repeat == Repeat::Safe { "/safe/" } else { "/never/" };
                let draw = self.arrived.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let asked = direct::Request { draw, ..request(self.arrived, path) };
                self.send(entry, None, Event::Arrived(asked));
            }
            Step::Deliver(nth) => {
                let ways = self.ways.iter().filter(|(_, way)| !way.is_empty());
                if let Some(way) = ways.map(|(way, _)| *way).nth(nth) {
                    self.deliver(way);
                }
            }
            Step::End { nth, outcome } => {
                if let Some(run) = self.running(nth) {
                    self.end(run, outcome);
                }
            }
            Step::Leave(nth) => {
                if let Some((entry, ticket)) = self.running(nth) {
                    self.send(entry, None, Event::Left { ticket, events: 0 });
                }
            }
            Step::Wait(ms) => self.pass(Duration::from_millis(ms.into())),
        }
        for target in 0..self.agents.len() {
            let runs = self.running.values().filter(|key| self.open[key] == target).count();
            assert!(runs <= SLOTS, "{runs} run at target-{target}");
        }
    }
}

fn play(steps: Vec<Step>) {
    let mut world = world();
    for step in steps {
        world.take(step);
    }
    for _ in 0..40 {
        world.pass(Duration::from_secs(1));
        while let Some(run) = world.running(0) {
            world.end(run, Outcome::Done);
        }
    }
    world.deliver_all();
    assert!(world.open.is_empty(), "{:?}", world.open);
    for agent in &world.agents {
        let load = agent.load();
        assert_eq!((load.running, load.waiting), (0, 0));
    }
    assert!(world.entries.iter().all(|entry| entry.state.open_requests() == 0));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_target_gets_more_than_it_has_room_for_and_no_room_is_lost(
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        play(steps);
    }
}
