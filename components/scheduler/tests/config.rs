//! Tests of applying configuration records in order: conflicts, retries, rejections and snapshots.

use std::time::Duration;

use model::{
    Change, Resource,
    change::{Action, SCHEMA},
    id::Offset,
    resource::{Key, Kind, Tier},
};
use scheduler::config::{Error, Outcome, State, outcomes::RETAINED_OFFSETS, snapshot};
use uuid::Uuid;

fn tier(name: &str, rank: u8) -> Resource {
    Resource::Tier(Tier { name: name.to_owned(), rank, deadline: Duration::from_secs(1) })
}

fn put(id: u128, resource: Resource, expected: Offset) -> String {
    record(id, Action::Put(resource), expected)
}

fn record(id: u128, action: Action, expected: Offset) -> String {
    let change = Change { schema: SCHEMA, id: Uuid::from_u128(id), expected, action };
    serde_json::to_string(&change).unwrap()
}

fn key(name: &str) -> Key {
    Key { kind: Kind::Tier, name: name.to_owned() }
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_one_conflicts() {
    let mut state = State::default();
    state.apply(1, &put(1, tier("crew", 0), 0)).unwrap();

    let first = state.apply(2, &put(2, tier("crew", 1), 1)).unwrap();
    let second = state.apply(3, &put(3, tier("crew", 2), 1)).unwrap();

    assert_eq!(first, Outcome::Accepted(2));
    assert_eq!(second, Outcome::Conflict { stands: 2 });
    assert_eq!(state.tier("crew").unwrap().rank, 1);
}

// An operator whose answer is lost appends the same change again, possibly after other changes.
#[test]
fn a_retried_change_has_no_second_effect() {
    let mut state = State::default();
    let create = put(1, tier("crew", 0), 0);
    state.apply(1, &create).unwrap();
    state.apply(2, &record(2, Action::Delete(key("crew")), 1)).unwrap();

    let retry = state.apply(3, &create).unwrap();

    assert_eq!(retry, Outcome::Accepted(1));
    assert!(state.tier("crew").is_none());
}

#[test]
fn records_are_never_applied_twice_or_skipped() {
    let mut state = State::default();
    state.apply(1, &put(1, tier("crew", 0), 0)).unwrap();

    let stale = state.apply(1, &put(2, tier("crew", 3), 1));
    let gap = state.apply(3, &put(3, tier("crew", 3), 1));

    assert_eq!(stale, Err(Error::Stale(1)));
    assert_eq!(gap, Err(Error::Gap { applied: 1, got: 3 }));
    assert_eq!(state.tier("crew").unwrap().rank, 0);
}

// A record that can't be parsed must not stop every process from applying the records after it.
#[test]
fn a_record_that_is_not_a_change_is_rejected_and_its_offset_applied() {
    let mut state = State::default();

    let outcome = state.apply(1, "{\"schema\": 1}").unwrap();

    assert!(matches!(outcome, Outcome::Rejected(_)));
    assert_eq!(state.applied(), 1);
}

#[test]
fn a_rejection_lists_invalid_values_and_taken_ranks_together() {
    let mut state = State::default();
    state.apply(1, &put(1, tier("crew", 0), 0)).unwrap();

    let outcome = state.apply(2, &put(2, tier("Desk", 0), 0)).unwrap();

    let Outcome::Rejected(findings) = outcome else { panic!("{outcome:?}") };
    let places: Vec<&str> = findings.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, ["name", "rank"]);
}

#[test]
fn a_change_id_reused_for_another_change_is_rejected() {
    let mut state = State::default();
    state.apply(1, &put(1, tier("crew", 0), 0)).unwrap();

    let outcome = state.apply(2, &put(1, tier("desk", 1), 0)).unwrap();

    let Outcome::Rejected(findings) = outcome else { panic!("{outcome:?}") };
    assert_eq!(findings[0].place, "id");
    assert!(state.tier("desk").is_none());
}

#[test]
fn outcomes_are_kept_for_a_window_and_no_longer() {
    let mut state = State::default();
    state.apply(1, &put(1, tier("crew", 0), 0)).unwrap();

    for offset in 2..=RETAINED_OFFSETS {
        state.apply(offset, "no change").unwrap();
    }
    let outcome_within_window = state.outcome(&Uuid::from_u128(1)).cloned();
    state.apply(RETAINED_OFFSETS + 1, "no change").unwrap();

    assert_eq!(outcome_within_window, Some(Outcome::Accepted(1)));
    assert_eq!(state.outcome(&Uuid::from_u128(1)), None);
    assert!(state.snapshot().outcomes.is_empty());
}

#[test]
fn a_snapshot_that_is_not_ahead_is_not_restored() {
    let mut old = State::default();
    old.apply(1, &put(1, tier("crew", 0), 0)).unwrap();
    let mut state = State::default();
    state.restore(old.snapshot()).unwrap();
    state.apply(2, &put(2, tier("crew", 5), 1)).unwrap();

    let restored = state.restore(old.snapshot());

    assert_eq!(restored, Err(Error::Stale(1)));
    assert_eq!(state.tier("crew").unwrap().rank, 5);
}

#[test]
fn a_snapshot_of_an_unknown_format_is_not_parsed() {
    let mut snapshot = State::default().snapshot();
    snapshot.schema += 1;

    let parsed = snapshot::parse(&snapshot.render());

    assert_eq!(parsed, None);
}
