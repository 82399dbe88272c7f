//! Refusals by the entry's reducer before a request starts: each has the expected reason, and nothing
//! is sent to a target.

mod world;

use std::time::{Duration, Instant};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    refusal::{Ran, Reason},
    reservation::Id,
    resource::{Account, Limit},
};
use scheduler::{
    agent::Capacity,
    entry::{self, Effect, Event, Record, Request, Settings},
};
use test_case::test_case;
use uuid::Uuid;
use world::{TARGETS, TIERS, World};

const DEADLINE: Duration = Duration::from_secs(5);
/// Offset at which the world's configuration has the client account.
const ACCOUNT_VERSION: u64 = TIERS.len() as u64 + 1;
/// Offset of the last record of the world's configuration: the tiers, an account, a pool and targets.
const LAST_OFFSET: u64 = ACCOUNT_VERSION + 1 + TARGETS as u64;

/// Returns a world whose entries allow so many waiting requests, and whose targets run
/// one request at a time.
fn open_world(max_waiting: usize) -> World {
    let grant = Duration::from_millis(200);
    world::open(
        Capacity { slots: 1, max_tokens: 1_000, max_waiting: 8, grant_lifetime: grant },
        max_waiting,
    )
}

/// Sends a request that differs from a valid one by `change`.
fn arrive_changed(world: &mut World, change: fn(&mut Request)) -> Vec<Effect> {
    let mut request = world::request(Uuid::from_u128(1), 0, DEADLINE);
    change(&mut request);
    entry::reduce(&mut world.entries[0], world.now, Event::Arrived(request))
}

/// Limits the account to one request at a time and sends that one.
fn reach_account_limit(world: &mut World) {
    let account = Account {
        name: "viewer".to_owned(),
        key_hash: credential::hash("key"),
        tiers: vec![TIERS[0].to_owned()],
        limit: Some(Limit { concurrency: 1, requests_per_second: 100 }),
    };
    let action = Action::Put(Resource::Account(account));
    let change =
        Change { schema: SCHEMA, id: Uuid::from_u128(9), expected: ACCOUNT_VERSION, action };
    let payload = serde_json::to_string(&change).unwrap();
    let record = Record { offset: LAST_OFFSET + 1, payload };
    world.send_to_entry(0, Event::Records(vec![record]));
    world.arrive(0, 0, DEADLINE);
}

fn no_preparation(_: &mut World) {}

fn no_change(_: &mut Request) {}

// A request that is invalid or over its account's limit must not take room at a target.
#[test_case(no_preparation, |r| r.credential = None => Reason::Unauthorized; "without an API key")]
#[test_case(no_preparation, |r| r.tier = Some("gold".to_owned()) => Reason::BadInput; "unknown tier")]
#[test_case(
    no_preparation, |r| r.idempotent = Some(false) => Reason::BadInput;
    "not idempotent and without an idempotency key"
)]
#[test_case(reach_account_limit, no_change => Reason::AccountLimit; "over the account limit")]
fn a_request_refused_on_arrival_goes_nowhere(
    prepare: fn(&mut World),
    change: fn(&mut Request),
) -> Reason {
    let mut world = open_world(8);
    prepare(&mut world);

    let effects = arrive_changed(&mut world, change);

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!(refusal.ran, Ran::NotRun);
    refusal.reason
}

// Without the configuration, the process can neither authenticate callers nor find pools.
#[test]
fn a_process_without_configuration_takes_nothing() {
    let now = Instant::now();
    let mut state = entry::open(Settings { waiting: 8, zone: "a".to_owned() });
    let request = world::request(Uuid::from_u128(1), 0, DEADLINE);

    let effects = entry::reduce(&mut state, now, Event::Arrived(request));

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!((refusal.reason, refusal.ran), (Reason::NotReady, Ran::NotRun));
}

// The request must not wait for its deadline when all agents of its pool are unreachable.
#[test]
fn a_request_that_no_agent_can_be_reached_for_is_refused_at_once() {
    let mut world = open_world(8);
    let request = world.arrive(0, 0, DEADLINE);

    for attempt in 1..=3 {
        world.send_to_entry(0, Event::Unreachable { id: Id { request, attempt } });
    }

    assert_eq!(world.refused.get(&request), Some(&Ran::NotRun));
    assert_eq!(world.sheds.len(), 1);
}

// The cancelled reservation must not keep its place in the agent's queue.
#[test]
fn a_full_entry_refuses_its_lowest_tier_and_cancels_what_waits_for_it() {
    let mut world = open_world(1);
    let low = world.arrive(0, 2, DEADLINE);

    let high = world.arrive(0, 0, DEADLINE);

    assert_eq!(world.refused.get(&low), Some(&Ran::NotRun));
    assert!(!world.refused.contains_key(&high));
    let cancelled = |packet: &world::Packet| matches!(packet, world::Packet::Cancel { id, .. } if id.request == low);
    assert!(world.network.iter().any(cancelled));
}

// The caller was already told that the request didn't run.
#[test]
fn a_grant_that_arrives_after_the_deadline_starts_nothing() {
    let mut world = open_world(8);
    let request = world.arrive(0, 0, DEADLINE);
    world.deliver_first_ignoring_freeze();
    world.advance(DEADLINE);

    while !world.network.is_empty() {
        world.deliver_first_ignoring_freeze();
    }

    assert_eq!(world.refused.get(&request), Some(&Ran::NotRun));
    assert!(!world.ran.contains_key(&request));
}
