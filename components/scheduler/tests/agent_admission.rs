//! The agent's reducer where entry processes call the target themselves.
//!
//! Pattern: several tiers that together ask for more than the target has, for long.

use std::time::{Duration, Instant};

use model::{
    id::Rank,
    refusal::Reason,
    reservation::{Ask, Id},
};
use scheduler::agent::{self, Effect, Event, Policy, Room, State};
use test_case::test_case;
use uuid::Uuid;

const MS: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_millis(100);

fn open(slots: usize, policy: Policy) -> State {
    let room = Room { slots, tokens: u64::MAX, waiting: 1_000, grant: Duration::from_secs(1) };
    agent::open_with(room, policy)
}

fn policy() -> Policy {
    Policy { floor: 0.05, newest: true, ..Policy::first() }
}

fn id(request: u128) -> Id {
    Id { request: Uuid::from_u128(request), attempt: 1 }
}

fn ask(request: u128, rank: Rank, remaining: Duration) -> Event {
    Event::Reserve(Ask {
        id: id(request),
        rank,
        remaining,
        prefill: 100,
        decode: 10,
        prefix: Vec::new(),
        offset: 0,
        body: Default::default(),
    })
}

fn granted(effects: &[Effect]) -> Vec<Id> {
    let granted = effects.iter().filter_map(|effect| match effect {
        Effect::Grant { id, .. } => Some(*id),
        _ => None,
    });
    granted.collect()
}

fn denied(effects: &[Effect]) -> Vec<(Id, Reason)> {
    let denied = effects.iter().filter_map(|effect| match effect {
        Effect::Deny { id, denial } => Some((*id, denial.reason)),
        _ => None,
    });
    denied.collect()
}

#[test]
fn a_target_that_is_not_reached_keeps_nobody_waiting() {
    let now = Instant::now();
    let mut state = open(1, policy());
    agent::reduce(&mut state, now, ask(1, 0, 1_000 * MS));
    agent::reduce(&mut state, now, ask(2, 0, 1_000 * MS));

    let lost = agent::reduce(&mut state, now, Event::Reached(false));
    let meanwhile = agent::reduce(&mut state, now, ask(3, 0, 1_000 * MS));
    agent::reduce(&mut state, now, Event::Ended(id(1)));
    agent::reduce(&mut state, now, Event::Cancel(id(1)));
    agent::reduce(&mut state, now, Event::Reached(true));
    let after = agent::reduce(&mut state, now, ask(4, 0, 1_000 * MS));

    assert_eq!(denied(&lost), [(id(2), Reason::NoTarget)]);
    assert_eq!(denied(&meanwhile), [(id(3), Reason::NoTarget)]);
    assert_eq!(granted(&after), [id(4)]);
}

#[test]
fn what_others_have_at_the_target_takes_room() {
    let now = Instant::now();
    let mut state = open(2, policy());

    agent::reduce(&mut state, now, Event::Unreserved(2));
    let full = agent::reduce(&mut state, now, ask(1, 0, 1_000 * MS));
    let free = agent::reduce(&mut state, now, Event::Unreserved(1));

    assert_eq!((granted(&full), granted(&free)), (vec![], vec![id(1)]));
}

#[test]
fn the_slots_are_those_that_were_told_last() {
    let now = Instant::now();
    let mut state = open(1, policy());
    for request in 1..=4 {
        agent::reduce(&mut state, now, ask(request, 0, 1_000 * MS));
    }

    let grown = agent::reduce(&mut state, now, Event::Sized(3));

    assert_eq!(granted(&grown).len(), 2);
}

#[test_case(true => id(3); "the newest first")]
#[test_case(false => id(2); "the earliest deadline first")]
fn within_a_tier_goes(newest: bool) -> Id {
    let now = Instant::now();
    let mut state = open(1, Policy { newest, ..policy() });
    agent::reduce(&mut state, now, ask(1, 0, 1_000 * MS));
    agent::reduce(&mut state, now, ask(2, 0, 1_000 * MS));
    agent::reduce(&mut state, now + 50 * MS, ask(3, 0, 1_000 * MS));

    agent::reduce(&mut state, now + 50 * MS, Event::Start(id(1)));
    let effects = agent::reduce(&mut state, now + RUN, Event::Ended(id(1)));

    granted(&effects)[0]
}

/// Plays 2,000 runs of 100 ms at a target with one slot, for which two tiers always wait; gives how many
/// of each were granted, and how many of the lower while nothing of the higher waited.
fn play(policy: Policy) -> [usize; 2] {
    let start = Instant::now();
    let mut state = open(1, policy);
    let (mut times, mut running) = ([0; 2], None);
    for turn in 0..2_000 {
        let now = start + RUN * turn;
        let mut effects = Vec::new();
        for rank in 0..2 {
            let request = u128::from(turn) * 2 + u128::from(rank);
            effects.extend(agent::reduce(&mut state, now, ask(request, rank, 500 * MS)));
        }
        if let Some(before) = running {
            effects.extend(agent::reduce(&mut state, now, Event::Ended(before)));
        }
        for granted in granted(&effects) {
            agent::reduce(&mut state, now, Event::Start(granted));
            times[(granted.request.as_u128() % 2) as usize] += 1;
            running = Some(granted);
        }
    }
    times
}

#[test]
fn a_lower_tier_gets_what_each_may_have_and_no_more() {
    let [higher, lower] = play(policy());

    let all = higher + lower;
    // A twentieth, with as much beside it as one grant of 64 that are remembered may make.
    assert!((all / 25..=all / 14).contains(&lower), "{higher} {lower}");
}

#[test]
fn without_a_floor_the_order_of_tiers_is_strict() {
    let [_, lower] = play(Policy { floor: 0.0, ..policy() });

    assert_eq!(lower, 0);
}

/// Pattern: answers of a length that is known, at a target of one pace.
#[test]
fn the_time_of_a_token_is_told_once_enough_runs_have_ended() {
    let mut state = open(1, policy());
    let mut now = Instant::now();
    assert_eq!(state.load().step, None);

    for number in 0..8 {
        let asked = Ask {
            id: id(number),
            rank: 1,
            remaining: Duration::from_secs(60),
            prefill: 100,
            decode: 1_000,
            prefix: Vec::new(),
            offset: 0,
            body: Default::default(),
        };
        agent::reduce(&mut state, now, Event::Reserve(asked));
        agent::reduce(&mut state, now, Event::Start(id(number)));
        now += 1_000 * MS;
        agent::reduce(&mut state, now, Event::Ended(id(number)));
    }

    let step = state.load().step.expect("enough runs have ended");
    assert!((MS.mul_f64(0.99)..MS).contains(&step), "{step:?}");
}
