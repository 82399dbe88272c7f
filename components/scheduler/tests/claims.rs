//! Claims, decision by decision, and against the naive version: an append for each claim.

mod support;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{
    claim::{Answer, Ask, Mark, Question, Settle, Transfer, Verdict},
    id::{ClaimKey, Offset, RequestId},
};
use proptest::prelude::*;
use scheduler::{
    claim::{self, AHEAD_LIMIT, Clock, Effect, Event, RETENTION, STALE_LIMIT, Settings, State},
    entry::Record,
};
use support::{
    cases, epoch_clock, join, leave, removal, run,
    world::{self, Stage},
};
use uuid::Uuid;

const KEY: ClaimKey = 7;

fn clock() -> Clock {
    Clock { now: Instant::now(), wall: epoch_clock() }
}

fn later(clock: Clock, by: Duration) -> Clock {
    Clock { now: clock.now + by, wall: clock.wall + by }
}

fn attempt(number: u128) -> RequestId {
    Uuid::from_u128(number)
}

fn ask(number: u128, epoch: Offset) -> Ask {
    Ask { key: KEY, attempt: attempt(number), epoch, minted: None }
}

fn records(payloads: &[String]) -> Event {
    let numbered = (1..).zip(payloads);
    let record = |(offset, payload): (Offset, &String)| Record { offset, payload: payload.clone() };
    Event::Records(numbered.map(record).collect())
}

/// The only member, with room for a few claims.
fn alone(clock: Clock, claims: usize) -> State {
    let mut state = claim::open(Settings { incarnation: run(1), claims });
    claim::reduce(&mut state, clock, records(&[join(0, 1, clock.wall)]));
    claim::reduce(&mut state, clock, Event::CaughtUp);
    state
}

fn verdict(state: &mut State, clock: Clock, ask: Ask) -> Verdict {
    let effects = claim::reduce(state, clock, Event::Claim(ask));
    let [Effect::Reply { verdict, .. }] = effects.as_slice() else { panic!("{effects:?}") };
    *verdict
}

fn settle(state: &mut State, clock: Clock, number: u128, ran: bool) {
    let settle = Settle { key: KEY, attempt: attempt(number), ran };
    claim::reduce(state, clock, Event::Settle(settle));
}

#[test]
fn a_key_is_granted_again_only_to_the_same_attempt() {
    let now = clock();
    let mut state = alone(now, 9);

    let first = verdict(&mut state, now, ask(1, 1));
    let again = verdict(&mut state, now, ask(1, 1));
    let other = verdict(&mut state, now, ask(2, 1));

    assert_eq!([first, again, other], [Verdict::Granted, Verdict::Granted, Verdict::Held]);
}

#[test]
fn a_released_key_is_granted_to_the_next_attempt_and_never_to_a_late_copy() {
    let now = clock();
    let mut state = alone(now, 9);
    verdict(&mut state, now, ask(1, 1));
    settle(&mut state, now, 1, false);

    let late = verdict(&mut state, now, ask(1, 1));
    let next = verdict(&mut state, now, ask(2, 1));

    assert_eq!([late, next], [Verdict::Held, Verdict::Granted]);
}

#[test]
fn a_key_that_ran_says_so() {
    let now = clock();
    let mut state = alone(now, 9);
    verdict(&mut state, now, ask(1, 1));
    settle(&mut state, now, 1, true);
    settle(&mut state, now, 1, false);

    let repeat = verdict(&mut state, now, ask(2, 1));

    assert_eq!(repeat, Verdict::Ran);
}

#[test]
fn an_agent_that_is_behind_or_unconfirmed_grants_nothing() {
    let now = clock();
    let mut state = alone(now, 9);

    let behind = verdict(&mut state, now, ask(1, 2));
    let unconfirmed = verdict(&mut state, later(now, STALE_LIMIT * 2), ask(1, 1));

    assert_eq!([behind, unconfirmed], [Verdict::Behind { epoch: 1 }; 2]);
}

#[test]
fn an_agent_whose_records_have_a_gap_grants_nothing() {
    let now = clock();
    let mut state = alone(now, 9);
    let record = Record { offset: 3, payload: join(1, 2, now.wall) };
    claim::reduce(&mut state, now, Event::Records(vec![record]));
    claim::reduce(&mut state, now, Event::CaughtUp);

    let verdict = verdict(&mut state, now, ask(1, 1));

    assert_eq!(verdict, Verdict::Behind { epoch: 1 });
}

#[test]
fn a_key_is_remembered_for_the_retention_time_and_the_claims_are_bounded() {
    let now = clock();
    let mut state = alone(now, 1);
    verdict(&mut state, now, ask(1, 1));

    let full = verdict(&mut state, now, Ask { key: KEY + 1, ..ask(2, 1) });
    let forgotten = later(now, RETENTION);
    let next = verdict(&mut state, forgotten, Ask { key: KEY + 1, ..ask(2, 1) });

    assert_eq!([full, next], [Verdict::Full, Verdict::Granted]);
    assert_eq!(state.len(), 1);
}

#[test]
fn a_key_with_a_time_is_refused_ahead_of_the_clock_and_after_the_retention() {
    let now = clock();
    let mut state = alone(now, 9);
    let ahead = now.wall + AHEAD_LIMIT * 2;
    let old = now.wall - RETENTION;

    let ahead = verdict(&mut state, now, Ask { minted: Some(ahead), ..ask(1, 1) });
    let old = verdict(&mut state, now, Ask { minted: Some(old), ..ask(1, 1) });

    assert_eq!([ahead, old], [Verdict::Ahead, Verdict::Expired]);
}

#[test]
fn a_question_about_another_run_is_answered_by_nobody() {
    let now = clock();
    let mut state = alone(now, 9);
    let question = Question { key: KEY, incarnation: run(9), epoch: 1, free: None };

    let effects = claim::reduce(&mut state, now, Event::Asked(question));

    assert_eq!(effects, [Effect::Tell(Answer::Stranger)]);
}

#[test]
fn two_claims_of_one_key_are_freed_by_no_release() {
    let now = clock();
    let mut state = alone(now, 9);
    for number in [1, 2] {
        let transfer = Transfer { key: KEY, mark: Mark::Held(attempt(number)) };
        claim::reduce(&mut state, now, Event::Received(vec![transfer]));
    }
    settle(&mut state, now, 1, false);
    settle(&mut state, now, 2, false);

    let verdict = verdict(&mut state, now, ask(3, 1));

    assert_eq!(verdict, Verdict::Held);
}

#[test]
fn a_hand_over_that_failed_is_given_again_as_a_whole() {
    let now = clock();
    let mut state = alone(now, 9);
    verdict(&mut state, now, ask(1, 1));
    let joined = [join(0, 1, now.wall), join(1, 2, now.wall)];
    claim::reduce(&mut state, now, records(&joined));
    claim::reduce(&mut state, now, Event::HandOver);
    claim::reduce(&mut state, now, Event::HandOverFailed);
    claim::reduce(&mut state, now, Event::Freeze);

    let before = state.handed_over();
    let again = claim::reduce(&mut state, now, Event::HandOver);

    assert_eq!((before, state.handed_over()), (None, Some(2)));
    assert!(matches!(again.as_slice(), [Effect::HandOver { claims, .. }] if claims.len() == 1));
}

#[test]
fn an_answer_from_an_older_epoch_decides_nothing() {
    let now = clock();
    let mut state = claim::open(Settings { incarnation: run(2), claims: 9 });
    let mut log = vec![join(0, 1, now.wall), join(1, 2, now.wall)];
    claim::reduce(&mut state, now, records(&log));
    claim::reduce(&mut state, now, Event::CaughtUp);
    let key = (0..).find(|key| state.members().home(*key).unwrap().id == run(2)).unwrap();
    claim::reduce(&mut state, now, Event::Claim(Ask { key, ..ask(1, 2) }));
    log.push(leave(0, 1, None, now.wall));
    claim::reduce(&mut state, now, records(&log));

    let answered = Event::Answered { key, incarnation: run(1), answer: Some(Answer::Unknown) };
    let effects = claim::reduce(&mut state, now, answered);

    let behind = Verdict::Behind { epoch: 3 };
    assert_eq!(effects, [Effect::Reply { attempt: attempt(1), verdict: behind }]);
}

#[test]
fn a_run_that_was_taken_for_lost_is_over_once_it_would_have_stopped_without_the_log() {
    let now = clock();
    let mut state = claim::open(Settings { incarnation: run(2), claims: 9 });
    let log = [join(0, 1, now.wall), join(1, 2, now.wall), removal(0, 1, now.wall)];
    claim::reduce(&mut state, now, records(&log));
    let minted = |clock: Clock| Ask { minted: Some(clock.wall), ..ask(1, 3) };
    let soon = later(now, AHEAD_LIMIT * 9);
    let late = later(now, STALE_LIMIT + AHEAD_LIMIT * 9);

    claim::reduce(&mut state, soon, Event::CaughtUp);
    let asked = claim::reduce(&mut state, soon, Event::Claim(minted(soon)));
    let answered = Event::Answered { key: KEY, incarnation: run(1), answer: None };
    let unsure = claim::reduce(&mut state, soon, answered);
    claim::reduce(&mut state, late, Event::CaughtUp);
    let granted = verdict(&mut state, late, minted(late));

    assert!(matches!(asked.as_slice(), [Effect::Ask { .. }]), "{asked:?}");
    assert_eq!(unsure, [Effect::Reply { attempt: attempt(1), verdict: Verdict::Unsure }]);
    assert_eq!(granted, Verdict::Granted);
}

#[test]
fn a_run_that_joins_again_answers_for_what_it_granted_before() {
    let now = clock();
    let mut state = alone(now, 9);
    verdict(&mut state, now, ask(1, 1));
    let log = [join(0, 1, now.wall), removal(0, 1, now.wall), join(0, 2, now.wall)];
    claim::reduce(&mut state, now, Event::Rejoin(run(2)));
    claim::reduce(&mut state, now, records(&log));

    let question = Question { key: KEY, incarnation: run(1), epoch: 3, free: None };
    let told = claim::reduce(&mut state, now, Event::Asked(question));
    let again = verdict(&mut state, now, ask(2, 3));

    assert_eq!(told, [Effect::Tell(Answer::Known(Mark::Held(attempt(1))))]);
    assert_eq!(again, Verdict::Held);
}

/// A step of a history without faults.
#[derive(Clone, Debug)]
enum Step {
    Arrive(u128),
    Run(usize),
    Release(usize),
    Join(usize),
    Drain(usize),
}

/// The naive version: a claim is an append, and the first that wasn't taken back wins.
#[derive(Default)]
struct Naive {
    log: BTreeMap<ClaimKey, Vec<RequestId>>,
}

impl Naive {
    fn claim(&mut self, key: ClaimKey, attempt: RequestId) -> bool {
        let claims = self.log.entry(key).or_default();
        claims.push(attempt);
        claims[0] == attempt
    }

    fn release(&mut self, key: ClaimKey) {
        self.log.remove(&key);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..20_u128).prop_map(Step::Arrive),
        2 => (0..6_usize).prop_map(Step::Run),
        2 => (0..6_usize).prop_map(Step::Release),
        1 => (0..5_usize).prop_map(Step::Join),
        1 => (1..5_usize).prop_map(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn without_faults_claims_decide_as_the_log_would(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = world::open(5, 3, false);
        let mut naive = Naive::default();

        for step in steps {
            match step {
                Step::Arrive(key) => {
                    let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
                    world.arrive(key, 0, Duration::ZERO);
                    world.settle_down();

                    let latest = world.attempts.last().unwrap();
                    let granted = naive.claim(latest.key, latest.id);
                    prop_assert_eq!(latest.stage == Stage::Held, granted);
                }
                Step::Run(number) | Step::Release(number) => {
                    let Some(index) = world.attempts.len().checked_sub(1 + number) else { continue };
                    let is_held = world.attempts[index].stage == Stage::Held;
                    let key = world.attempts[index].key;
                    match step {
                        Step::Run(_) => world.run(index),
                        _ if is_held => {
                            world.release(index);
                            naive.release(key);
                        }
                        _ => {}
                    }
                }
                Step::Join(agent) => world.start(agent),
                Step::Drain(agent) => world.drain(agent),
            }
            world.settle_down();
            world.catch_up_all();
        }
    }
}
