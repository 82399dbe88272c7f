//! An entry doesn't decide on a configuration that it knows to be old.

use std::time::{Duration, Instant};

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    credential,
    id::Offset,
    refusal::Reason,
    reservation::{Denial, Id, Load},
    resource::{Account, Tier},
};
use scheduler::entry::{
    Call, Effect, Event, Record, Request, Settings, State,
    freshness::{CATCH_UP, FREEZE},
    next_wake, open, reduce,
};
use uuid::Uuid;

fn record(offset: Offset, action: Action, expected: Offset) -> Record {
    let id = Uuid::from_u128(offset.into());
    let change = Change { schema: SCHEMA, id, expected, action };
    Record { offset, payload: serde_json::to_string(&change).unwrap() }
}

fn tier() -> Resource {
    Resource::Tier(Tier { name: "crew".to_owned(), rank: 0, deadline: Duration::from_secs(9) })
}

fn account(key: &str) -> Resource {
    Resource::Account(Account {
        name: "viewer".to_owned(),
        key_hash: credential::hash(key),
        tiers: vec!["crew".to_owned()],
        limit: None,
    })
}

/// An entry that has read two records to the log's end.
fn ready(now: Instant) -> State {
    let mut state = open(Settings { waiting: 2, zone: "a".to_owned() });
    let records =
        vec![record(1, Action::Put(tier()), 0), record(2, Action::Put(account("old key")), 0)];
    reduce(&mut state, now, Event::Records(records));
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 2 });
    reduce(&mut state, now, Event::CaughtUp);
    state
}

fn request(id: u128) -> Event {
    Event::Arrived(Request {
        id: Uuid::from_u128(id),
        credential: Some(credential::hash("old key")),
        tier: None,
        call: Some(Call::Completion("none".to_owned())),
        deadline: None,
        idempotent: None,
        key: None,
        prefill: 1,
        decode: 1,
        prefix: Vec::new(),
        fingerprint: Default::default(),
        findings: Vec::new(),
    })
}

/// A new key for the account: the old one opens nothing any more.
fn rotate() -> Event {
    Event::Records(vec![record(3, Action::Put(account("new key")), 2)])
}

fn refusals(effects: &[Effect]) -> Vec<Reason> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.reason),
        _ => None,
    });
    refusals.collect()
}

fn catches_up(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::CatchUp(_)))
}

#[test]
fn who_heard_of_a_higher_offset_decides_only_after_catching_up() {
    let now = Instant::now();
    let mut state = ready(now);

    let told = reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    let arrived = reduce(&mut state, now, request(1));
    let caught_up = reduce(&mut state, now, rotate());

    assert!(catches_up(&told));
    assert_eq!(refusals(&arrived), []);
    assert_eq!(refusals(&caught_up), [Reason::Unauthorized]);
    assert!(state.is_empty());
}

#[test]
fn an_agents_reply_tells_of_a_higher_offset_too() {
    let now = Instant::now();
    let mut state = ready(now);
    let id = Id { request: Uuid::from_u128(9), attempt: 1 };
    let load = Load { offset: 3, ..Load::default() };
    let denial = Denial { reason: Reason::Overloaded, retry_after: Duration::ZERO, load };

    reduce(&mut state, now, Event::Denied { id, denial });
    let arrived = reduce(&mut state, now, request(1));

    assert_eq!(refusals(&arrived), []);
    assert!(catches_up(&arrived));
}

#[test]
fn the_wait_is_bounded_and_ends_in_a_typed_refusal() {
    let now = Instant::now();
    let mut state = ready(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    reduce(&mut state, now, request(1));

    let wake = next_wake(&state).unwrap();
    let before = reduce(&mut state, wake - Duration::from_millis(1), Event::Tick);
    let late = reduce(&mut state, wake, Event::Tick);

    assert_eq!(wake, now + CATCH_UP);
    assert_eq!(refusals(&before), []);
    assert_eq!(refusals(&late), [Reason::NotReady]);
}

#[test]
fn no_more_requests_are_held_than_may_wait() {
    let now = Instant::now();
    let mut state = ready(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });

    let held: Vec<Vec<Reason>> =
        (1..=3).map(|id| refusals(&reduce(&mut state, now, request(id)))).collect();

    assert_eq!(held, [vec![], vec![], vec![Reason::NotReady]]);
}

#[test]
fn a_held_request_whose_caller_went_away_is_forgotten() {
    let now = Instant::now();
    let mut state = ready(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    reduce(&mut state, now, request(1));

    reduce(&mut state, now, Event::Ended { request: Uuid::from_u128(1) });

    assert!(state.is_empty());
    assert_eq!(next_wake(&state), None);
}

#[test]
fn a_process_that_was_frozen_asks_before_it_decides() {
    let now = Instant::now();
    let mut state = ready(now);
    let woken = now + FREEZE + Duration::from_millis(1);

    let arrived = reduce(&mut state, woken, request(1));
    // The answer to a question from before the freeze says nothing of what happened in it.
    let old = reduce(&mut state, woken, Event::Confirmed { asked: now, highest: 2 });
    let asked = woken + Duration::from_millis(5);
    let behind = reduce(&mut state, asked, Event::Confirmed { asked: woken, highest: 3 });
    let caught_up = reduce(&mut state, asked, rotate());

    assert!(catches_up(&arrived));
    let before = [refusals(&arrived), refusals(&old), refusals(&behind)];
    assert_eq!(before, [vec![], vec![], vec![]]);
    assert_eq!(refusals(&caught_up), [Reason::Unauthorized]);
}

#[test]
fn a_process_that_was_frozen_and_missed_nothing_goes_on() {
    let now = Instant::now();
    let mut state = ready(now);
    let woken = now + FREEZE + Duration::from_millis(1);
    reduce(&mut state, woken, request(1));

    let confirmed = reduce(&mut state, woken, Event::Confirmed { asked: woken, highest: 2 });

    assert_eq!(refusals(&confirmed), [Reason::BadInput], "decided: no pool has this model");
}

#[test]
fn a_record_after_a_gap_is_reported_and_not_applied() {
    let now = Instant::now();
    let mut state = ready(now);

    let record = record(5, Action::Put(tier()), 1);
    let effects = reduce(&mut state, now, Event::Records(vec![record]));

    assert!(matches!(effects[..], [Effect::NotApplied(_)]));
    assert_eq!(state.config().applied(), 2);
}
