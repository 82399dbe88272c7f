//! Fixtures of the benchmarks: states of a given size and events that keep their size.

#![allow(dead_code)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use criterion::Criterion;
use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::{ClaimKey, Offset, Rank},
    membership,
    reservation::{Ask, Grant, Id, Load},
    resource::{Account, Backing, Desired, Pool, Target, Tier},
};
use scheduler::{
    agent::{self, Room},
    claim, config,
    entry::{self, Call, Event, Record, Request},
    membership as fold,
};
use uuid::Uuid;

/// Time between two requests at one agent at the target size: 88,000 a second over 10,000.
pub const PERIOD: Duration = Duration::from_micros(113_636);
/// Deadline that no benchmark reaches.
pub const DEADLINE: Duration = Duration::from_secs(3_600);
const GRANT: Duration = Duration::from_millis(500);
const POOL: &str = "drawings";
const MODEL: &str = "drawing-7b";
const TIERS: Rank = 4;

/// A benchmark of short runs: the machine is shared.
pub fn criterion() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
}

/// An agent's reducer at work: as many wait as asked, one starts as one ends.
pub struct Agent {
    state: agent::State,
    now: Instant,
    next: u128,
    running: std::collections::VecDeque<Id>,
}

/// An agent with its running set and its queue filled, and the tombstones of ten minutes.
pub fn agent(slots: usize, waiting: usize) -> Agent {
    let room = Room { slots, tokens: u64::MAX, waiting: waiting + slots + 1, grant: GRANT };
    let mut agent = Agent {
        state: agent::open(room),
        now: Instant::now(),
        next: 0,
        running: Default::default(),
    };
    for _ in 0..slots + waiting {
        agent.reserve();
    }
    let cycles = agent::TOMBSTONE_LIFE.as_nanos() / PERIOD.as_nanos() + 1;
    for _ in 0..cycles {
        agent.cycle();
    }
    agent
}

impl Agent {
    /// One request's whole life at the agent: a reservation, a start and an end.
    pub fn cycle(&mut self) {
        self.now += PERIOD;
        self.reserve();
        if let Some(id) = self.running.pop_front() {
            self.reduce(agent::Event::Ended(id));
        }
        std::hint::black_box(agent::next_wake(&self.state));
    }

    fn reserve(&mut self) {
        self.next += 1;
        let rank = (self.next % u128::from(TIERS)) as Rank;
        let id = Id { request: Uuid::from_u128(self.next), attempt: 1 };
        let prefix = (0..4).collect();
        let (prefill, decode) = (2_000, 500);
        let ask = Ask {
            id,
            rank,
            remaining: DEADLINE,
            prefill,
            decode,
            prefix,
            offset: 0,
            body: Default::default(),
        };
        self.reduce(agent::Event::Reserve(ask));
    }

    fn reduce(&mut self, event: agent::Event) {
        for effect in agent::reduce(&mut self.state, self.now, event) {
            if let agent::Effect::Grant { id, .. } = effect {
                self.running.push_back(id);
                self.reduce(agent::Event::Start(id));
            }
        }
    }
}

/// Sizes of an entry's state.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Client accounts.
    pub accounts: usize,
    /// Targets of the one pool.
    pub targets: usize,
    /// Requests that wait.
    pub waiting: usize,
}

/// An entry's reducer at work: as many wait as asked while others come and go.
pub struct Entry {
    state: entry::State,
    now: Instant,
    next: u128,
    accounts: usize,
}

/// An entry that has read its configuration and whose requests wait.
pub fn entry(shape: Shape) -> Entry {
    let settings = entry::Settings { waiting: shape.waiting + 1, zone: "a".to_owned() };
    let mut state = entry::open(settings);
    let now = Instant::now();
    for record in records(shape) {
        entry::reduce(&mut state, now, Event::Records(vec![record]));
    }
    entry::reduce(&mut state, now, Event::CaughtUp);
    let mut entry = Entry { state, now, next: 0, accounts: shape.accounts };
    for _ in 0..shape.waiting {
        entry.arrive();
    }
    entry
}

impl Entry {
    /// One request's whole life at the entry: arrival, grant and end.
    pub fn cycle(&mut self) {
        let request = self.arrive();
        let id = Id { request, attempt: 1 };
        let grant = Grant { life: GRANT, load: Load::default() };
        let effects = entry::reduce(&mut self.state, self.now, Event::Granted { id, grant });
        let starts = |effect: &entry::Effect| matches!(effect, entry::Effect::Start(_));
        assert!(effects.iter().any(starts), "{effects:?}");
        std::hint::black_box(effects);
        entry::reduce(&mut self.state, self.now, Event::Ended { request });
        std::hint::black_box(entry::next_wake(&self.state));
    }

    fn arrive(&mut self) -> Uuid {
        self.next += 1;
        let request = request(self.next, self.next as usize % self.accounts);
        let id = request.id;
        let effects = entry::reduce(&mut self.state, self.now, Event::Arrived(request));
        assert!(matches!(effects.as_slice(), [entry::Effect::Reserve { .. }]), "{effects:?}");
        id
    }
}

fn request(number: u128, account: usize) -> Request {
    Request {
        id: Uuid::from_u128(number),
        credential: Some(hash(account)),
        tier: None,
        call: Some(Call::Completion(MODEL.to_owned())),
        deadline: Some(DEADLINE),
        idempotent: None,
        key: None,
        prefill: 2_000,
        decode: 500,
        prefix: vec![number as u64; 4],
        fingerprint: Default::default(),
        findings: Vec::new(),
    }
}

/// The records of a configuration with tiers, one pool, its targets and accounts.
pub fn records(shape: Shape) -> impl Iterator<Item = Record> {
    let tiers = (0..TIERS).map(tier);
    let targets = (0..shape.targets).map(target);
    let accounts = (0..shape.accounts).map(|number| account(number, 0));
    let resources = tiers.chain([pool()]).chain(targets).chain(accounts);
    let record = |(index, resource)| Record {
        offset: index as Offset + 1,
        payload: change(Action::Put(resource), 0),
    };
    resources.enumerate().map(record)
}

/// The configuration after these records.
pub fn configuration(shape: Shape) -> config::State {
    let mut state = config::State::default();
    for record in records(shape) {
        let outcome = state.apply(record.offset, &record.payload).expect("offsets have no gap");
        assert!(matches!(outcome, config::Outcome::Accepted(_)), "{outcome:?}");
    }
    state
}

/// A change record with a fresh id, as text.
pub fn change(action: Action, expected: Offset) -> String {
    let change = Change { schema: SCHEMA, id: Uuid::new_v4(), expected, action };
    serde_json::to_string(&change).expect("a change is JSON")
}

/// A client account; the serial makes one version unlike another.
pub fn account(number: usize, serial: u32) -> Resource {
    Resource::Account(Account {
        name: format!("account-{number}"),
        key_hash: hash(number),
        tiers: vec!["tier-0".to_owned()],
        limit: Some(model::resource::Limit {
            concurrency: 1_000_000,
            requests_per_second: 1_000_000_000 + serial,
        }),
    })
}

/// A tier.
pub fn tier(rank: Rank) -> Resource {
    Resource::Tier(Tier { name: format!("tier-{rank}"), rank, deadline: DEADLINE })
}

fn pool() -> Resource {
    Resource::Pool(Pool {
        name: POOL.to_owned(),
        backing: Backing::Model,
        models: vec![MODEL.to_owned()],
        patience: DEADLINE,
        idempotent: true,
    })
}

fn target(number: usize) -> Resource {
    let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000));
    Resource::Target(Target {
        name: format!("target-{number}"),
        pool: POOL.to_owned(),
        host: format!("host-{number}"),
        zone: "a".to_owned(),
        control: address,
        traffic: address,
        speed_percent: 100,
        desired: Desired::Serving,
        setup: None,
    })
}

fn hash(account: usize) -> credential::KeyHash {
    credential::hash(&format!("account-{account}-key"))
}

/// Members, after as many of them were replaced as asked.
pub fn membership(members: usize, replaced: usize) -> fold::State {
    let mut state = fold::State::default();
    for number in 0..members + replaced {
        let offset = state.epoch() + 1;
        let record = join(number % members, offset);
        state.apply(offset, &record).expect("offsets have no gap");
    }
    state
}

/// The record of an agent's join, as text; the offset makes it a run of its own.
pub fn join(number: usize, offset: Offset) -> String {
    let record = membership::Record {
        schema: membership::SCHEMA,
        at: SystemTime::UNIX_EPOCH + Duration::from_secs(offset),
        action: membership::Action::Join(membership::Join {
            target: format!("target-{number}"),
            host: format!("host-{number}"),
            incarnation: Uuid::from_u128(offset.into()),
            control: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000)),
        }),
    };
    serde_json::to_string(&record).expect("a record is JSON")
}

/// A claim key, spread as a hash is.
pub fn claim_key(number: u64) -> ClaimKey {
    let hash = *blake3::hash(&number.to_le_bytes()).as_bytes();
    ClaimKey::from_le_bytes(hash[..size_of::<ClaimKey>()].try_into().expect("a hash is longer"))
}

/// An agent, alone in its deployment, that remembers as many claims as asked.
pub fn claims(count: usize) -> claim::State {
    let incarnation = Uuid::from_u128(1);
    let mut state = claim::open(claim::Settings { incarnation, claims: count });
    let clock = claim::Clock { now: Instant::now(), wall: SystemTime::now() };
    let record = Record { offset: 1, payload: join(0, 1) };
    claim::reduce(&mut state, clock, claim::Event::Records(vec![record]));
    claim::reduce(&mut state, clock, claim::Event::CaughtUp);
    for number in 0..count as u64 {
        let attempt = Uuid::from_u128(number.into());
        let ask = model::claim::Ask { key: claim_key(number), attempt, epoch: 1, minted: None };
        let effects = claim::reduce(&mut state, clock, claim::Event::Claim(ask));
        let granted = claim::Effect::Reply { attempt, verdict: model::claim::Verdict::Granted };
        assert_eq!(effects, [granted]);
    }
    state
}

/// A configuration in which one account was changed again and again.
pub fn changed(changes: usize) -> config::State {
    let mut state = configuration(Shape { accounts: 1, targets: 1, waiting: 0 });
    for serial in 0..changes {
        let resource = account(0, serial as u32);
        let expected = state.version(&resource.key());
        let offset = state.applied() + 1;
        state.apply(offset, &change(Action::Put(resource), expected)).expect("no gap");
    }
    state
}
