//! Single decisions of the reducer of claims, and a comparison with a naive implementation that
//! appends a record to a log for each claim.

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
    claim::{
        self, Clock, Effect, Event, KEY_AHEAD_LIMIT, RETENTION, STALE_EPOCH_LIMIT, Settings, State,
    },
    entry::Record,
};
use support::{
    incarnation_id, join_record, leave_record, proptest_config, removal_record, start_time,
    world::{self, Stage},
};
use uuid::Uuid;

const KEY: ClaimKey = 7;

fn clock() -> Clock {
    Clock { now: Instant::now(), wall: start_time() }
}

/// Returns the readings of both clocks after a time.
fn later(clock: Clock, by: Duration) -> Clock {
    Clock { now: clock.now + by, wall: clock.wall + by }
}

fn attempt(number: u128) -> RequestId {
    Uuid::from_u128(number)
}

/// Returns the ask of an attempt for [`KEY`], which carries no time.
fn ask(number: u128, epoch: Offset) -> Ask {
    Ask { key: KEY, attempt: attempt(number), epoch, minted: None }
}

/// Returns the event of reading a whole log.
fn records(payloads: &[String]) -> Event {
    let numbered = (1..).zip(payloads);
    let record = |(offset, payload): (Offset, &String)| Record { offset, payload: payload.clone() };
    Event::Records(numbered.map(record).collect())
}

/// Returns the state of an agent that is the only member and stores at most `max_claims` claims.
fn only_member(clock: Clock, max_claims: usize) -> State {
    let mut state = claim::open(Settings { incarnation: incarnation_id(1), claims: max_claims });
    claim::reduce(&mut state, clock, records(&[join_record(0, 1, clock.wall)]));
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

/// An entry repeats its ask after a lost reply. The repeat must be granted too, and no other
/// attempt.
#[test]
fn a_key_is_granted_again_only_to_the_same_attempt() {
    let now = clock();
    let mut state = only_member(now, 9);

    let first = verdict(&mut state, now, ask(1, 1));
    let repeated = verdict(&mut state, now, ask(1, 1));
    let other = verdict(&mut state, now, ask(2, 1));

    assert_eq!([first, repeated, other], [Verdict::Granted, Verdict::Granted, Verdict::Held]);
}

/// A delayed copy of a released attempt's ask arrives after the release. Granting it would let an
/// attempt run that its entry has reported as never run.
#[test]
fn a_released_key_is_granted_to_the_next_attempt_but_not_to_a_delayed_copy_of_the_released_one() {
    let now = clock();
    let mut state = only_member(now, 9);
    verdict(&mut state, now, ask(1, 1));
    settle(&mut state, now, 1, false);

    let delayed = verdict(&mut state, now, ask(1, 1));
    let next = verdict(&mut state, now, ask(2, 1));

    assert_eq!([delayed, next], [Verdict::Held, Verdict::Granted]);
}

/// A release that arrives after the report that the attempt ran must not free the key.
#[test]
fn a_key_whose_attempt_ran_stays_ran_after_a_release() {
    let now = clock();
    let mut state = only_member(now, 9);
    verdict(&mut state, now, ask(1, 1));
    settle(&mut state, now, 1, true);
    settle(&mut state, now, 1, false);

    let repeat = verdict(&mut state, now, ask(2, 1));

    assert_eq!(repeat, Verdict::Ran);
}

/// An agent with an old membership epoch may not know that another agent is the key's home now.
#[test]
fn an_agent_with_an_older_or_unconfirmed_epoch_grants_nothing() {
    let now = clock();
    let mut state = only_member(now, 9);

    let behind = verdict(&mut state, now, ask(1, 2));
    let unconfirmed = verdict(&mut state, later(now, STALE_EPOCH_LIMIT * 2), ask(1, 1));

    assert_eq!([behind, unconfirmed], [Verdict::Behind { epoch: 1 }; 2]);
}

/// A missing record may be the one that made another agent the key's home.
#[test]
fn an_agent_that_misses_a_membership_record_grants_nothing() {
    let now = clock();
    let mut state = only_member(now, 9);
    let record = Record { offset: 3, payload: join_record(1, 2, now.wall) };
    claim::reduce(&mut state, now, Event::Records(vec![record]));
    claim::reduce(&mut state, now, Event::CaughtUp);

    let verdict = verdict(&mut state, now, ask(1, 1));

    assert_eq!(verdict, Verdict::Behind { epoch: 1 });
}

/// Without the bound, and the expiry that makes room again, the memory of an agent would grow with
/// every key.
#[test]
fn a_claim_counts_towards_the_maximum_until_the_retention_ends() {
    let now = clock();
    let mut state = only_member(now, 1);
    verdict(&mut state, now, ask(1, 1));

    let full = verdict(&mut state, now, Ask { key: KEY + 1, ..ask(2, 1) });
    let after_retention = later(now, RETENTION);
    let next = verdict(&mut state, after_retention, Ask { key: KEY + 1, ..ask(2, 1) });

    assert_eq!([full, next], [Verdict::Full, Verdict::Granted]);
    assert_eq!(state.len(), 1);
}

/// A key older than the retention may have run and been removed from the table since. A key ahead
/// of the clock would pass the age check for longer than its claim is stored.
#[test]
fn a_key_with_a_time_is_rejected_ahead_of_the_clock_and_after_the_retention() {
    let now = clock();
    let mut state = only_member(now, 9);
    let ahead = now.wall + KEY_AHEAD_LIMIT * 2;
    let old = now.wall - RETENTION;

    let ahead = verdict(&mut state, now, Ask { minted: Some(ahead), ..ask(1, 1) });
    let old = verdict(&mut state, now, Ask { minted: Some(old), ..ask(1, 1) });

    assert_eq!([ahead, old], [Verdict::Ahead, Verdict::Expired]);
}

/// After a restart, an agent receives a question for its earlier incarnation, whose claims it
/// doesn't have. An answer that the key is unknown would allow a second grant.
#[test]
fn a_question_for_another_incarnation_is_not_answered_as_an_unknown_key() {
    let now = clock();
    let mut state = only_member(now, 9);
    let question = Question { key: KEY, incarnation: incarnation_id(9), epoch: 1, free: None };

    let effects = claim::reduce(&mut state, now, Event::Asked(question));

    assert_eq!(effects, [Effect::Tell(Answer::Stranger)]);
}

/// Two agents hand over claims of the same key by different attempts. A release of one attempt
/// doesn't show that the other never ran.
#[test]
fn a_key_with_claims_of_two_attempts_is_freed_by_no_release() {
    let now = clock();
    let mut state = only_member(now, 9);
    for number in [1, 2] {
        let transfer = Transfer { key: KEY, mark: Mark::Held(attempt(number)) };
        claim::reduce(&mut state, now, Event::Received(vec![transfer]));
    }
    settle(&mut state, now, 1, false);
    settle(&mut state, now, 2, false);

    let verdict = verdict(&mut state, now, ask(3, 1));

    assert_eq!(verdict, Verdict::Held);
}

/// The messages of a failed hand-over may have been lost. An agent that left after sending only
/// later changes would lose claims.
#[test]
fn after_a_failed_hand_over_all_claims_are_sent_again() {
    let now = clock();
    let mut state = only_member(now, 9);
    verdict(&mut state, now, ask(1, 1));
    let joins = [join_record(0, 1, now.wall), join_record(1, 2, now.wall)];
    claim::reduce(&mut state, now, records(&joins));
    claim::reduce(&mut state, now, Event::HandOver);
    claim::reduce(&mut state, now, Event::HandOverFailed);
    claim::reduce(&mut state, now, Event::Freeze);

    let before = state.handed_over();
    let repeated = claim::reduce(&mut state, now, Event::HandOver);

    assert_eq!((before, state.handed_over()), (None, Some(2)));
    assert!(matches!(repeated.as_slice(), [Effect::HandOver { claims, .. }] if claims.len() == 1));
}

/// The membership changes while a question is in flight, so that other agents may have to be asked.
#[test]
fn an_answer_to_a_question_of_an_older_epoch_decides_no_claim() {
    let now = clock();
    let mut state = claim::open(Settings { incarnation: incarnation_id(2), claims: 9 });
    let mut log = vec![join_record(0, 1, now.wall), join_record(1, 2, now.wall)];
    claim::reduce(&mut state, now, records(&log));
    claim::reduce(&mut state, now, Event::CaughtUp);
    let key =
        (0..).find(|key| state.members().home(*key).unwrap().id == incarnation_id(2)).unwrap();
    claim::reduce(&mut state, now, Event::Claim(Ask { key, ..ask(1, 2) }));
    log.push(leave_record(0, 1, None, now.wall));
    claim::reduce(&mut state, now, records(&log));

    let answered =
        Event::Answered { key, incarnation: incarnation_id(1), answer: Some(Answer::Unknown) };
    let effects = claim::reduce(&mut state, now, answered);

    let behind = Verdict::Behind { epoch: 3 };
    assert_eq!(effects, [Effect::Reply { attempt: attempt(1), verdict: behind }]);
}

/// An agent was removed as lost, but its process may still run and grant keys under its old epoch.
/// While it may do so, a new key isn't granted without its answer. Once its epoch is too old to
/// grant by, new keys are granted without asking it, so that a lost agent doesn't block them for
/// good.
#[test]
fn a_removed_agent_is_not_asked_about_keys_made_after_its_epoch_became_too_old() {
    let now = clock();
    let mut state = claim::open(Settings { incarnation: incarnation_id(2), claims: 9 });
    let log =
        [join_record(0, 1, now.wall), join_record(1, 2, now.wall), removal_record(0, 1, now.wall)];
    claim::reduce(&mut state, now, records(&log));
    let ask_of_new_key = |clock: Clock| Ask { minted: Some(clock.wall), ..ask(1, 3) };
    let early = later(now, KEY_AHEAD_LIMIT * 9);
    let late = later(now, STALE_EPOCH_LIMIT + KEY_AHEAD_LIMIT * 9);

    claim::reduce(&mut state, early, Event::CaughtUp);
    let asked = claim::reduce(&mut state, early, Event::Claim(ask_of_new_key(early)));
    let answered = Event::Answered { key: KEY, incarnation: incarnation_id(1), answer: None };
    let unsure = claim::reduce(&mut state, early, answered);
    claim::reduce(&mut state, late, Event::CaughtUp);
    let granted = verdict(&mut state, late, ask_of_new_key(late));

    assert!(matches!(asked.as_slice(), [Effect::Ask { .. }]), "{asked:?}");
    assert_eq!(unsure, [Effect::Reply { attempt: attempt(1), verdict: Verdict::Unsure }]);
    assert_eq!(granted, Verdict::Granted);
}

/// A process that was removed as lost still runs and joins again. It still has the claims of its
/// earlier incarnation, and other homes ask it for them.
#[test]
fn an_agent_that_rejoins_answers_for_its_earlier_incarnation() {
    let now = clock();
    let mut state = only_member(now, 9);
    verdict(&mut state, now, ask(1, 1));
    let log =
        [join_record(0, 1, now.wall), removal_record(0, 1, now.wall), join_record(0, 2, now.wall)];
    claim::reduce(&mut state, now, Event::Rejoin(incarnation_id(2)));
    claim::reduce(&mut state, now, records(&log));

    let question = Question { key: KEY, incarnation: incarnation_id(1), epoch: 3, free: None };
    let answer = claim::reduce(&mut state, now, Event::Asked(question));
    let second = verdict(&mut state, now, ask(2, 3));

    assert_eq!(answer, [Effect::Tell(Answer::Known(Mark::Held(attempt(1))))]);
    assert_eq!(second, Verdict::Held);
}

/// Step of a history without faults. The attempts of `Run` and `Release` count from the latest,
/// which is 0.
#[derive(Clone, Debug)]
enum Step {
    /// A new attempt asks for the key of this number.
    Arrive(u128),
    Run(usize),
    Release(usize),
    /// The agent of this number joins, unless it is a member.
    Join(usize),
    /// The agent of this number hands its claims over and leaves.
    Drain(usize),
}

/// Naive implementation: each claim is appended to a log, and the first one that wasn't released
/// is granted.
#[derive(Default)]
struct NaiveClaims {
    log: BTreeMap<ClaimKey, Vec<RequestId>>,
}

impl NaiveClaims {
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
    #![proptest_config(proptest_config(300))]

    /// Joins and drains between the claims must not change which attempts are granted.
    #[test]
    fn without_faults_the_same_attempts_are_granted_as_by_a_log(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut world = world::open(5, 3, false);
        let mut naive = NaiveClaims::default();

        for step in steps {
            match step {
                Step::Arrive(key) => {
                    let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
                    world.arrive(key, 0, Duration::ZERO);
                    world.deliver_all();

                    let latest = world.attempts.last().unwrap();
                    let granted = naive.claim(latest.key, latest.id);
                    prop_assert_eq!(latest.stage == Stage::ClaimGranted, granted);
                }
                Step::Run(number) | Step::Release(number) => {
                    let Some(index) = world.attempts.len().checked_sub(1 + number) else { continue };
                    let is_held = world.attempts[index].stage == Stage::ClaimGranted;
                    let key = world.attempts[index].key;
                    match step {
                        Step::Run(_) => world.run_attempt(index),
                        _ if is_held => {
                            world.cancel_attempt(index);
                            naive.release(key);
                        }
                        _ => {}
                    }
                }
                Step::Join(agent) => world.start_agent(agent),
                Step::Drain(agent) => world.drain(agent),
            }
            world.deliver_all();
            world.catch_up_all();
        }
    }
}
