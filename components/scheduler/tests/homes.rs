//! The targets that an entry asks for a request with a prompt prefix, the prefix's homes: which one
//! is asked first and when the next one is; and the share of an account's limit at each entry.

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

/// Time for which the pool's requests wait for the answer of a home before the next home is asked.
const PATIENCE: Duration = Duration::from_millis(100);
const TARGET_COUNT: u16 = 8;

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

/// Returns the state of an entry that has applied the configuration and confirmed it.
fn open(now: Instant) -> State {
    let tier = Tier { name: "tier".to_owned(), rank: 0, deadline: Duration::from_secs(60) };
    let mut resources = vec![Resource::Tier(tier), account(), pool()];
    resources.extend((0..TARGET_COUNT).map(target));
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

/// Returns the arrival of a request; all requests have the same prefix.
fn request(number: u128) -> Event {
    Event::Arrived(Request {
        id: Uuid::from_u128(number),
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

/// Returns the targets that are asked for a reservation, each with what it is asked.
fn asked_targets(effects: &[Effect]) -> Vec<(String, Ask)> {
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

/// The cached blocks of a prefix can be reused only at the target that computed them.
#[test]
fn requests_with_the_same_prefix_ask_the_same_target_first() {
    let now = Instant::now();
    let mut state = open(now);

    let first = asked_targets(&entry::reduce(&mut state, now, request(1)));
    let second = asked_targets(&entry::reduce(&mut state, now, request(2)));

    assert_eq!(first[0].0, second[0].0);
}

/// A home that doesn't answer must not hold a request until its deadline.
#[test]
fn a_second_target_is_asked_when_the_first_does_not_answer_within_the_patience() {
    let now = Instant::now();
    let mut state = open(now);
    let first = asked_targets(&entry::reduce(&mut state, now, request(1)));

    let early = asked_targets(&entry::reduce(&mut state, now + PATIENCE / 2, Event::Tick));
    let late = asked_targets(&entry::reduce(&mut state, now + PATIENCE, Event::Tick));

    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
    assert_ne!(late[0].0, first[0].0);
}

/// A target that answers other requests is only busy, and another target would compute the prefix
/// anew.
#[test]
fn no_second_target_is_asked_while_the_first_answers_other_requests() {
    let now = Instant::now();
    let mut state = open(now);
    entry::reduce(&mut state, now, request(1));
    let other = asked_targets(&entry::reduce(&mut state, now, request(2)));
    entry::reduce(&mut state, now + PATIENCE / 2, denied(&other[0].1, Reason::Deadline));

    let effects = entry::reduce(&mut state, now + PATIENCE, Event::Tick);

    assert!(!asked_targets(&effects).iter().any(|(_, ask)| ask.id.request == Uuid::from_u128(1)));
}

/// Each of the three homes denies the reservation because the deadline can't be met there. The
/// request must then be refused at once, without asking further targets.
#[test]
fn a_request_denied_by_all_its_homes_is_refused_with_a_retry_time() {
    let now = Instant::now();
    let mut state = open(now);
    let mut effects = entry::reduce(&mut state, now, request(1));
    let mut homes = Vec::new();

    while let [(home, ask)] = asked_targets(&effects).as_slice() {
        homes.push(home.clone());
        effects = entry::reduce(&mut state, now, denied(ask, Reason::Deadline));
    }

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!((refusal.reason, homes.len()), (Reason::Deadline, 3));
    assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::ZERO));
}

/// Four entry hosts share a limit of 8 concurrent requests. Hosts of targets have no share.
#[test]
fn an_account_has_an_equal_share_of_its_limit_at_each_entry_host() {
    let now = Instant::now();
    let mut state = open(now);
    let host = |name: String| Host { name, zone: "a".to_owned(), state: host::State::Live };
    let entries = (0..4).map(|index| host(format!("entry-host-{index}")));
    let targets = (0..TARGET_COUNT).map(|index| host(format!("target-host-{index}")));
    entry::reduce(&mut state, now, Event::Hosts(entries.chain(targets).collect()));

    let admitted = (1..=8).filter(|number| {
        let effects = entry::reduce(&mut state, now, request(*number));
        !asked_targets(&effects).is_empty()
    });

    assert_eq!(admitted.count(), 2);
}
