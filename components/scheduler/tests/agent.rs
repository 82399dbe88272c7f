//! The agent's reducer.

use std::time::{Duration, Instant};

use model::{
    id::Rank,
    refusal::Reason,
    reservation::{Ask, Fate, Id},
};
use scheduler::agent::{self, Effect, Event, Room, State};
use uuid::Uuid;

const GRANT: Duration = Duration::from_millis(500);

fn open(slots: usize, waiting: usize) -> State {
    agent::open(Room { slots, tokens: 1_000, waiting, grant: GRANT })
}

fn id(request: u128) -> Id {
    Id { request: Uuid::from_u128(request), attempt: 1 }
}

fn ask(request: u128, rank: Rank) -> Ask {
    Ask {
        id: id(request),
        rank,
        remaining: Duration::from_secs(10),
        prefill: 10,
        decode: 10,
        prefix: Vec::new(),
        offset: 0,
        body: Default::default(),
    }
}

fn run(state: &mut State, now: Instant, request: u128) {
    agent::reduce(state, now, Event::Reserve(ask(request, 0)));
    agent::reduce(state, now, Event::Start(id(request)));
}

fn granted(effects: &[Effect]) -> Vec<Id> {
    let granted = effects.iter().filter_map(|effect| match effect {
        Effect::Grant { id, .. } => Some(*id),
        _ => None,
    });
    granted.collect()
}

#[test]
fn the_highest_tier_is_granted_first() {
    let now = Instant::now();
    let mut state = open(1, 8);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 2)));
    agent::reduce(&mut state, now, Event::Start(id(1)));
    agent::reduce(&mut state, now, Event::Reserve(ask(2, 2)));
    agent::reduce(&mut state, now, Event::Reserve(ask(3, 0)));

    let effects = agent::reduce(&mut state, now, Event::Ended(id(1)));

    assert_eq!(granted(&effects), [id(3)]);
}

#[test]
fn a_full_queue_sheds_its_lowest_tier() {
    let now = Instant::now();
    let mut state = open(1, 1);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 1)));
    agent::reduce(&mut state, now, Event::Reserve(ask(2, 1)));

    let effects = agent::reduce(&mut state, now, Event::Reserve(ask(3, 0)));

    let [Effect::Deny { id: shed, denial }] = effects.as_slice() else { panic!("{effects:?}") };
    assert_eq!((*shed, denial.reason), (id(2), Reason::Overloaded));
    assert_eq!(denial.load.floor, Some(1));
}

#[test]
fn a_grant_starts_once() {
    let now = Instant::now();
    let mut state = open(1, 8);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 0)));

    let first = agent::reduce(&mut state, now, Event::Start(id(1)));
    let second = agent::reduce(&mut state, now, Event::Start(id(1)));

    assert_eq!(first, [Effect::Dispatch(id(1))]);
    assert_eq!(second, [Effect::DenyStart { id: id(1), fate: Fate::Started }]);
}

#[test]
fn a_grant_that_lapsed_never_starts() {
    let now = Instant::now();
    let mut state = open(1, 8);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 0)));

    let effects = agent::reduce(&mut state, now + GRANT, Event::Start(id(1)));

    assert_eq!(effects, [Effect::DenyStart { id: id(1), fate: Fate::Expired }]);
}

#[test]
fn a_reservation_that_was_asked_about_never_starts() {
    let now = Instant::now();
    let mut state = open(1, 8);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 0)));

    let told = agent::reduce(&mut state, now, Event::Settle(id(1)));
    let late = agent::reduce(&mut state, now, Event::Start(id(1)));

    assert_eq!(told, [Effect::Tell { id: id(1), fate: Fate::Cancelled }]);
    assert_eq!(late, [Effect::DenyStart { id: id(1), fate: Fate::Cancelled }]);
}

#[test]
fn a_reservation_that_isnt_known_may_have_started() {
    let mut state = open(1, 8);

    let effects = agent::reduce(&mut state, Instant::now(), Event::Settle(id(1)));

    assert_eq!(effects, [Effect::Tell { id: id(1), fate: Fate::Unknown }]);
}

#[test]
fn a_drain_finishes_what_runs_and_denies_the_rest() {
    let now = Instant::now();
    let mut state = open(1, 8);
    agent::reduce(&mut state, now, Event::Reserve(ask(1, 0)));
    agent::reduce(&mut state, now, Event::Start(id(1)));
    agent::reduce(&mut state, now, Event::Reserve(ask(2, 0)));

    let drain = agent::reduce(&mut state, now, Event::Drain);
    let late = agent::reduce(&mut state, now, Event::Reserve(ask(3, 0)));
    let ended = agent::reduce(&mut state, now, Event::Ended(id(1)));

    let denied = |effects: &[Effect], wanted: Id| match effects {
        [Effect::Deny { id, denial }] => *id == wanted && denial.reason == Reason::Draining,
        _ => false,
    };
    assert!(denied(&drain, id(2)), "{drain:?}");
    assert!(denied(&late, id(3)), "{late:?}");
    assert_eq!(ended, [Effect::Drained]);
}

#[test]
fn a_call_for_room_that_comes_after_its_cancel_takes_no_room() {
    let now = Instant::now();
    let mut state = open(1, 8);

    let told = agent::reduce(&mut state, now, Event::Cancel(id(1)));
    let late = agent::reduce(&mut state, now, Event::Reserve(ask(1, 0)));

    assert_eq!(told, [Effect::Tell { id: id(1), fate: Fate::Unknown }]);
    assert_eq!(granted(&late), []);
    assert_eq!(state.load().running, 0);
}

/// Guards against an agent that ends by a panic: runs that end in the moment in which they start teach it
/// that work takes no time, and the next one is then overdue beyond any number.
#[test]
fn runs_that_take_no_time_are_learnt_from() {
    let begun = Instant::now();
    let mut state = open(2, 8);
    for request in 1..=8 {
        run(&mut state, begun, request);
        agent::reduce(&mut state, begun, Event::Ended(id(request)));
    }
    run(&mut state, begun, 20);
    run(&mut state, begun, 21);
    let later = begun + Duration::from_millis(20);
    agent::reduce(&mut state, later, Event::Ended(id(21)));

    let effects = agent::reduce(&mut state, later, Event::Reserve(ask(22, 0)));

    assert_eq!(granted(&effects), [id(22)]);
}
