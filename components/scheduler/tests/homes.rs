//! A prefix's homes at an entry: who is asked, when a second one is, and what a limit's part is.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use model::{
    Change, Host, Resource,
    change::{Action, SCHEMA},
    credential, host,
    refusal::Reason,
    reservation::{Ask, Denial, Load},
    resource::{Account, Backing, Desired, Limit, Pool, Target, Tier},
};
use scheduler::entry::{self, Call, Effect, Event, Record, Request, State};
use uuid::Uuid;

const PATIENCE: Duration = Duration::from_millis(100);
const TARGETS: u16 = 8;

fn target(index: u16) -> Resource {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, index + 1));
    Resource::Target(Target {
        name: format!("target-{index}"),
        pool: "pool".to_owned(),
        host: format!("target-host-{index}"),
        zone: "a".to_owned(),
        control: address,
        traffic: address,
        speed_percent: 100,
        desired: Desired::Serving,
        setup: None,
    })
}

fn account() -> Resource {
    Resource::Account(Account {
        name: "account".to_owned(),
        key_hash: credential::hash("key"),
        tiers: vec!["tier".to_owned()],
        limit: Some(Limit { concurrency: 8, requests_per_second: 1_000 }),
    })
}

fn pool() -> Resource {
    Resource::Pool(Pool {
        name: "pool".to_owned(),
        backing: Backing::Model,
        models: vec!["model".to_owned()],
        patience: PATIENCE,
        idempotent: true,
    })
}

fn open(now: Instant) -> State {
    let tier = Tier { name: "tier".to_owned(), rank: 0, deadline: Duration::from_secs(60) };
    let mut resources = vec![Resource::Tier(tier), account(), pool()];
    resources.extend((0..TARGETS).map(target));
    let records = resources.into_iter().zip(1_u64..).map(|(resource, offset)| {
        let id = Uuid::from_u128(u128::from(offset));
        let change = Change { schema: SCHEMA, id, expected: 0, action: Action::Put(resource) };
        Record { offset, payload: serde_json::to_string(&change).expect("it is JSON") }
    });
    let mut state = entry::open(entry::Settings { waiting: 64, zone: "a".to_owned() });
    entry::reduce(&mut state, now, Event::Records(records.collect()));
    entry::reduce(&mut state, now, Event::CaughtUp);
    state
}

fn request(serial: u128) -> Event {
    Event::Arrived(Request {
        id: Uuid::from_u128(serial),
        credential: Some(credential::hash("key")),
        tier: None,
        call: Some(Call::Completion("model".to_owned())),
        deadline: None,
        idempotent: None,
        key: None,
        prefill: 4_096,
        decode: 10,
        prefix: vec![1, 2, 3, 4],
        fingerprint: Default::default(),
        findings: Vec::new(),
    })
}

fn asked(effects: &[Effect]) -> Vec<(String, Ask)> {
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::Reserve { target, ask, .. } => Some((target.clone(), ask.clone())),
        _ => None,
    });
    asked.collect()
}

fn denied(ask: &Ask, reason: Reason) -> Event {
    let retry_after = Duration::from_millis(50);
    Event::Denied { id: ask.id, denial: Denial { reason, retry_after, load: Load::default() } }
}

#[test]
fn requests_with_one_prefix_ask_one_home_first() {
    let now = Instant::now();
    let mut state = open(now);

    let first = asked(&entry::reduce(&mut state, now, request(1)));
    let second = asked(&entry::reduce(&mut state, now, request(2)));

    assert_eq!(first[0].0, second[0].0);
}

#[test]
fn a_silent_home_is_left_after_the_pools_patience() {
    let now = Instant::now();
    let mut state = open(now);
    let first = asked(&entry::reduce(&mut state, now, request(1)));

    let early = asked(&entry::reduce(&mut state, now + PATIENCE / 2, Event::Tick));
    let late = asked(&entry::reduce(&mut state, now + PATIENCE, Event::Tick));

    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
    assert_ne!(late[0].0, first[0].0);
}

#[test]
fn a_home_that_answers_others_meanwhile_is_waited_for() {
    let now = Instant::now();
    let mut state = open(now);
    entry::reduce(&mut state, now, request(1));
    let other = asked(&entry::reduce(&mut state, now, request(2)));
    entry::reduce(&mut state, now + PATIENCE / 2, denied(&other[0].1, Reason::Deadline));

    let effects = entry::reduce(&mut state, now + PATIENCE, Event::Tick);

    assert!(!asked(&effects).iter().any(|(_, ask)| ask.id.request == Uuid::from_u128(1)));
}

#[test]
fn a_hopeless_request_is_refused_once_its_homes_said_so_with_when_to_come_back() {
    let now = Instant::now();
    let mut state = open(now);
    let mut effects = entry::reduce(&mut state, now, request(1));
    let mut homes = Vec::new();

    while let [(home, ask)] = asked(&effects).as_slice() {
        homes.push(home.clone());
        effects = entry::reduce(&mut state, now, denied(ask, Reason::Deadline));
    }

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!((refusal.reason, homes.len()), (Reason::Deadline, 3));
    assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::ZERO));
}

#[test]
fn an_account_gets_an_equal_part_of_its_limit_at_each_entry_host() {
    let now = Instant::now();
    let mut state = open(now);
    let host = |name: String| Host { name, zone: "a".to_owned(), state: host::State::Live };
    let entries = (0..4).map(|index| host(format!("entry-host-{index}")));
    let targets = (0..TARGETS).map(|index| host(format!("target-host-{index}")));
    entry::reduce(&mut state, now, Event::Hosts(entries.chain(targets).collect()));

    let taken = (1..=8).filter(|serial| {
        let effects = entry::reduce(&mut state, now, request(*serial));
        !asked(&effects).is_empty()
    });

    assert_eq!(taken.count(), 2);
}
