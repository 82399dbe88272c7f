//! An entry doesn't admit or refuse requests by a configuration that it knows to be out of date.

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

/// Returns an entry that has applied the configuration, two records, up to the log's end.
fn caught_up_state(now: Instant) -> State {
    let mut state = open(Settings { waiting: 2, zone: "a".to_owned() });
    let records =
        vec![record(1, Action::Put(tier()), 0), record(2, Action::Put(account("old key")), 0)];
    reduce(&mut state, now, Event::Records(records));
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 2 });
    reduce(&mut state, now, Event::CaughtUp);
    state
}

/// Returns the arrival of a request with the account's old key, for a model that no pool serves.
fn arrival(id: u128) -> Event {
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

/// Returns a record that replaces the account's API key, so that the old key becomes invalid.
fn key_rotation() -> Event {
    Event::Records(vec![record(3, Action::Put(account("new key")), 2)])
}

/// Returns the reasons of all refusals among the effects.
fn refusals(effects: &[Effect]) -> Vec<Reason> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.reason),
        _ => None,
    });
    refusals.collect()
}

/// Returns whether the entry asks for the configuration stream to be read.
fn has_catch_up(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::CatchUp(_)))
}

// The request's key was revoked by a record that the entry hasn't applied yet.
#[test]
fn an_entry_that_is_behind_decides_only_after_catching_up() {
    let now = Instant::now();
    let mut state = caught_up_state(now);

    let confirmed = reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    let arrived = reduce(&mut state, now, arrival(1));
    let caught_up = reduce(&mut state, now, key_rotation());

    assert!(has_catch_up(&confirmed));
    assert_eq!(refusals(&arrived), []);
    assert_eq!(refusals(&caught_up), [Reason::Unauthorized]);
    assert!(state.is_empty());
}

// An agent may have applied a later record than the entry. Its replies carry the offset.
#[test]
fn an_offset_in_an_agents_reply_shows_that_the_entry_is_behind() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    let id = Id { request: Uuid::from_u128(9), attempt: 1 };
    let load = Load { offset: 3, ..Load::default() };
    let denial = Denial { reason: Reason::Overloaded, retry_after: Duration::ZERO, load };

    reduce(&mut state, now, Event::Denied { id, denial });
    let arrived = reduce(&mut state, now, arrival(1));

    assert_eq!(refusals(&arrived), []);
    assert!(has_catch_up(&arrived));
}

// If the log stays unavailable, a held request must not wait until its deadline.
#[test]
fn a_held_request_is_refused_as_not_ready_after_a_bounded_wait() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    reduce(&mut state, now, arrival(1));

    let wake = next_wake(&state).unwrap();
    let before = reduce(&mut state, wake - Duration::from_millis(1), Event::Tick);
    let late = reduce(&mut state, wake, Event::Tick);

    assert_eq!(wake, now + CATCH_UP);
    assert_eq!(refusals(&before), []);
    assert_eq!(refusals(&late), [Reason::NotReady]);
}

// Held requests must not use unbounded memory while the log is unavailable.
#[test]
fn no_more_requests_are_held_than_may_wait() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });

    let held: Vec<Vec<Reason>> =
        (1..=3).map(|id| refusals(&reduce(&mut state, now, arrival(id)))).collect();

    assert_eq!(held, [vec![], vec![], vec![Reason::NotReady]]);
}

// A request that stayed held would later be admitted for a caller that no longer waits for it.
#[test]
fn a_held_request_is_removed_when_its_caller_disconnects() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    reduce(&mut state, now, Event::Confirmed { asked: now, highest: 3 });
    reduce(&mut state, now, arrival(1));

    reduce(&mut state, now, Event::Ended { request: Uuid::from_u128(1) });

    assert!(state.is_empty());
    assert_eq!(next_wake(&state), None);
}

// While the process was frozen, a record that revokes the account's key may have been appended.
#[test]
fn a_process_that_was_frozen_confirms_the_offset_before_it_decides() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    let resumed = now + FREEZE + Duration::from_millis(1);

    let arrived = reduce(&mut state, resumed, arrival(1));
    // A reply to a query from before the freeze doesn't cover records that were appended during it.
    let old = reduce(&mut state, resumed, Event::Confirmed { asked: now, highest: 2 });
    let asked = resumed + Duration::from_millis(5);
    let behind = reduce(&mut state, asked, Event::Confirmed { asked: resumed, highest: 3 });
    let caught_up = reduce(&mut state, asked, key_rotation());

    assert!(has_catch_up(&arrived));
    let before = [refusals(&arrived), refusals(&old), refusals(&behind)];
    assert_eq!(before, [vec![], vec![], vec![]]);
    assert_eq!(refusals(&caught_up), [Reason::Unauthorized]);
}

// A freeze without new records must not leave requests held.
#[test]
fn a_process_that_was_frozen_and_missed_nothing_decides_once_confirmed() {
    let now = Instant::now();
    let mut state = caught_up_state(now);
    let resumed = now + FREEZE + Duration::from_millis(1);
    reduce(&mut state, resumed, arrival(1));

    let confirmed = reduce(&mut state, resumed, Event::Confirmed { asked: resumed, highest: 2 });

    assert_eq!(
        refusals(&confirmed),
        [Reason::BadInput],
        "the request should be decided, and refused because no pool serves its model"
    );
}

// Applying a record after a gap would leave the configuration without the missing records.
#[test]
fn a_record_after_a_gap_is_reported_and_not_applied() {
    let now = Instant::now();
    let mut state = caught_up_state(now);

    let record = record(5, Action::Put(tier()), 1);
    let effects = reduce(&mut state, now, Event::Records(vec![record]));

    assert!(matches!(effects[..], [Effect::NotApplied(_)]));
    assert_eq!(state.config().applied(), 2);
}
