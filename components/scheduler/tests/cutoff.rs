//! Hopeless work and the order of tiers at an agent's full queue.

use std::time::{Duration, Instant};

use model::{
    id::Rank,
    refusal::Reason,
    reservation::{Ask, Id},
};
use scheduler::agent::{self, Effect, Event, Room, State};
use test_case::test_case;
use uuid::Uuid;

const RUN: Duration = Duration::from_secs(1);
const LEARNT: u128 = 8;

fn id(request: u128) -> Id {
    Id { request: Uuid::from_u128(request), attempt: 1 }
}

fn ask(request: u128, rank: Rank, remaining: Duration) -> Ask {
    Ask {
        id: id(request),
        rank,
        remaining,
        prefill: 0,
        decode: 99,
        prefix: Vec::new(),
        offset: 0,
        body: Default::default(),
    }
}

/// An agent with one slot whose runs have taken a second each; the slot is taken.
fn busy(now: Instant) -> State {
    let grant = Duration::from_secs(10);
    let mut state = agent::open(Room { slots: 1, tokens: 1_000_000, waiting: 64, grant });
    let far = Duration::from_secs(600);
    for (request, start) in (1..=LEARNT).zip(0_u32..) {
        let begun = now + RUN * start;
        agent::reduce(&mut state, begun, Event::Reserve(ask(request, 0, far)));
        agent::reduce(&mut state, begun, Event::Start(id(request)));
        agent::reduce(&mut state, begun + RUN, Event::Ended(id(request)));
    }
    let learnt = now + RUN * LEARNT as u32;
    agent::reduce(&mut state, learnt, Event::Reserve(ask(100, 0, far)));
    agent::reduce(&mut state, learnt, Event::Start(id(100)));
    state
}

fn denied(effects: &[Effect]) -> Vec<(Id, Reason)> {
    let denied = effects.iter().filter_map(|effect| match effect {
        Effect::Deny { id, denial } => Some((*id, denial.reason)),
        _ => None,
    });
    denied.collect()
}

#[test_case(500, true; "less time than it runs")]
#[test_case(5_000, false; "enough time")]
fn work_that_can_no_longer_be_answered_in_time_is_denied_at_once(millis: u64, wanted: bool) {
    let begun = Instant::now();
    let mut state = busy(begun);
    let now = begun + RUN * LEARNT as u32;

    let remaining = Duration::from_millis(millis);
    let effects = agent::reduce(&mut state, now, Event::Reserve(ask(200, 0, remaining)));

    let expected = if wanted { vec![(id(200), Reason::Deadline)] } else { Vec::new() };
    assert_eq!(denied(&effects), expected);
}

#[test]
fn a_denial_for_the_deadline_says_when_to_come_back() {
    let begun = Instant::now();
    let mut state = busy(begun);
    let now = begun + RUN * LEARNT as u32;

    let hopeless = ask(200, 0, Duration::from_millis(500));
    let effects = agent::reduce(&mut state, now, Event::Reserve(hopeless));

    let [Effect::Deny { denial, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    assert!(denial.retry_after > Duration::ZERO);
}

#[test]
fn a_queue_that_is_too_long_for_the_deadline_denies_its_own_tier() {
    let begun = Instant::now();
    let mut state = busy(begun);
    let now = begun + RUN * LEARNT as u32;
    let remaining = Duration::from_secs(5);
    let reserve = |state: &mut State, request| {
        let effects = agent::reduce(state, now, Event::Reserve(ask(request, 1, remaining)));
        denied(&effects)
    };

    let waits: Vec<_> = (200..210).map(|request| reserve(&mut state, request)).collect();

    let admitted = waits.iter().take_while(|denied| denied.is_empty()).count();
    assert!((1..5).contains(&admitted), "{waits:?}");
    let last = 200 + admitted as u128;
    assert_eq!(waits[admitted], [(id(last), Reason::Deadline)]);
}

#[test]
fn where_a_lower_tier_waits_it_is_shed_before_a_higher_one_is_turned_away() {
    let begun = Instant::now();
    let mut state = busy(begun);
    let now = begun + RUN * LEARNT as u32;
    let patient = Duration::from_secs(60);
    agent::reduce(&mut state, now, Event::Reserve(ask(150, 2, patient)));
    agent::reduce(&mut state, now, Event::Reserve(ask(151, 2, patient)));

    let remaining = Duration::from_secs(3);
    let arrivals = (200..210).map(|request| Event::Reserve(ask(request, 1, remaining)));
    let effects: Vec<_> = arrivals.flat_map(|ask| agent::reduce(&mut state, now, ask)).collect();

    let denied = denied(&effects);
    assert_eq!(denied[..2], [(id(151), Reason::Overloaded), (id(150), Reason::Overloaded)]);
    assert!(denied[2..].iter().all(|(_, reason)| *reason == Reason::Deadline), "{denied:?}");
    assert!(denied.len() > 2);
}

#[test]
fn work_that_became_hopeless_while_it_waited_is_denied_before_its_deadline() {
    let begun = Instant::now();
    let mut state = busy(begun);
    let now = begun + RUN * LEARNT as u32;
    let remaining = Duration::from_secs(3);
    agent::reduce(&mut state, now, Event::Reserve(ask(200, 0, remaining)));

    let wake = agent::next_wake(&state).expect("something waits");
    let effects = agent::reduce(&mut state, wake, Event::Tick);

    assert!(wake < now + remaining);
    assert_eq!(denied(&effects), [(id(200), Reason::Deadline)]);
}
