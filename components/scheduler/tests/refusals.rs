//! Each refusal that the entry's reducer gives before a start: its reason, and nothing dispatched.

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
    agent::Room,
    entry::{self, Effect, Event, Record, Request, Settings},
};
use test_case::test_case;
use uuid::Uuid;
use world::{TARGETS, TIERS, World};

const DEADLINE: Duration = Duration::from_secs(5);
const ACCOUNT_VERSION: u64 = TIERS.len() as u64 + 1;
const LAST_OFFSET: u64 = ACCOUNT_VERSION + 1 + TARGETS as u64;

fn open(waiting: usize) -> World {
    let grant = Duration::from_millis(200);
    world::open(Room { slots: 1, tokens: 1_000, waiting: 8, grant }, waiting)
}

fn arrive(world: &mut World, change: fn(&mut Request)) -> Vec<Effect> {
    let mut request = world::request(Uuid::from_u128(1), 0, DEADLINE);
    change(&mut request);
    entry::reduce(&mut world.entries[0], world.now, Event::Arrived(request))
}

fn limit_to_one(world: &mut World) {
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
    world.entry(0, Event::Records(vec![record]));
    world.arrive(0, 0, DEADLINE);
}

fn unprepared(_: &mut World) {}

fn unchanged(_: &mut Request) {}

#[test_case(unprepared, |r| r.credential = None => Reason::Unauthorized; "no key")]
#[test_case(unprepared, |r| r.tier = Some("gold".to_owned()) => Reason::BadInput; "unknown tier")]
#[test_case(unprepared, |r| r.idempotent = Some(false) => Reason::BadInput; "not idempotent, without a key")]
#[test_case(limit_to_one, unchanged => Reason::AccountLimit; "limit of the account")]
fn a_request_refused_on_arrival_goes_nowhere(
    prepare: fn(&mut World),
    change: fn(&mut Request),
) -> Reason {
    let mut world = open(8);
    prepare(&mut world);

    let effects = arrive(&mut world, change);

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!(refusal.ran, Ran::NotRun);
    refusal.reason
}

#[test]
fn a_process_without_configuration_takes_nothing() {
    let now = Instant::now();
    let mut state = entry::open(Settings { waiting: 8, zone: "a".to_owned() });
    let request = world::request(Uuid::from_u128(1), 0, DEADLINE);

    let effects = entry::reduce(&mut state, now, Event::Arrived(request));

    let [Effect::Refuse { refusal, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!((refusal.reason, refusal.ran), (Reason::NotReady, Ran::NotRun));
}

#[test]
fn a_request_that_no_agent_can_be_reached_for_is_refused_at_once() {
    let mut world = open(8);
    let request = world.arrive(0, 0, DEADLINE);

    for attempt in 1..=3 {
        world.entry(0, Event::Unreachable { id: Id { request, attempt } });
    }

    assert_eq!(world.refused.get(&request), Some(&Ran::NotRun));
    assert_eq!(world.sheds.len(), 1);
}

#[test]
fn a_full_entry_refuses_its_lowest_tier_and_cancels_what_waits_for_it() {
    let mut world = open(1);
    let low = world.arrive(0, 2, DEADLINE);

    let high = world.arrive(0, 0, DEADLINE);

    assert_eq!(world.refused.get(&low), Some(&Ran::NotRun));
    assert!(!world.refused.contains_key(&high));
    let cancelled = |packet: &world::Packet| matches!(packet, world::Packet::Cancel { id, .. } if id.request == low);
    assert!(world.network.iter().any(cancelled));
}

#[test]
fn a_late_grant_after_the_deadline_starts_nothing() {
    let mut world = open(8);
    let request = world.arrive(0, 0, DEADLINE);
    world.deliver_first();
    world.advance(DEADLINE);

    while !world.network.is_empty() {
        world.deliver_first();
    }

    assert_eq!(world.refused.get(&request), Some(&Ran::NotRun));
    assert!(!world.ran.contains_key(&request));
}
