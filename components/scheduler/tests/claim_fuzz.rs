//! Claims under faults: lost, repeated and reordered messages, crashes, removals and clock
//! advances. The property checked is that each key runs at most once.

mod support;

use std::time::Duration;

use model::id::{ClaimKey, Offset};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{
    proptest_config,
    world::{self, Stage, World},
};

const AGENT_COUNT: usize = 4;
const KEY_COUNT: u128 = 3;

/// Step of a history. Numbers of attempts and messages count from the latest, which is 0; a step
/// whose number is out of range does nothing.
#[derive(Clone, Debug)]
enum Step {
    /// A new attempt asks for a key through an entry that is `lag` epochs behind. On the first
    /// attempt of a key, `skew` less 20 s is the time by which the key is ahead of the clock.
    Arrive {
        key: u128,
        lag: usize,
        skew: Duration,
    },
    /// An attempt asks again.
    Repeat {
        attempt: usize,
        lag: usize,
    },
    Run(usize),
    Release(usize),
    Deliver(usize),
    DeliverAll,
    /// A message is lost or, with `after_effect`, only the answer to it.
    Lose {
        message: usize,
        after_effect: bool,
    },
    Duplicate(usize),
    Start(usize),
    Kill(usize),
    /// An agent reads the log up to `behind` records before its end.
    CatchUp {
        agent: usize,
        behind: Offset,
    },
    HandOver(usize),
    Freeze(usize),
    Leave(usize),
    Thaw(usize),
    /// An agent hands over, freezes and leaves without a fault in between.
    Drain(usize),
    /// Another process removes an agent as lost, whether or not it still runs.
    Remove(usize),
    /// A removed agent that still runs joins again.
    Rejoin(usize),
    Advance(Duration),
}

/// Returns a key whose bits are spread over the whole range.
fn key(number: u128) -> ClaimKey {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
}

/// Returns a strategy of steps that advance the clocks by at most `max_advance_s` seconds.
fn step(max_advance_s: u64) -> BoxedStrategy<Step> {
    let agent = || 0..AGENT_COUNT;
    let recent = || 0..12_usize;
    let lag = || prop_oneof![3 => Just(0), 1 => 0..6_usize];
    prop_oneof![
        10 => (0..KEY_COUNT, lag(), 0..40_u64).prop_map(|(key, lag, skew)| {
            Step::Arrive { key, lag, skew: Duration::from_secs(skew) }
        }),
        5 => (recent(), lag()).prop_map(|(attempt, lag)| Step::Repeat { attempt, lag }),
        6 => recent().prop_map(Step::Run),
        4 => recent().prop_map(Step::Release),
        14 => recent().prop_map(Step::Deliver),
        6 => Just(Step::DeliverAll),
        3 => (recent(), any::<bool>())
            .prop_map(|(message, after_effect)| Step::Lose { message, after_effect }),
        3 => recent().prop_map(Step::Duplicate),
        6 => agent().prop_map(Step::Start),
        2 => agent().prop_map(Step::Kill),
        3 => agent().prop_map(Step::Drain),
        2 => agent().prop_map(Step::Remove),
        3 => agent().prop_map(Step::Rejoin),
        10 => (agent(), 0..3_u64).prop_map(|(agent, behind)| Step::CatchUp { agent, behind }),
        4 => agent().prop_map(Step::HandOver),
        3 => agent().prop_map(Step::Freeze),
        3 => agent().prop_map(Step::Leave),
        1 => agent().prop_map(Step::Thaw),
        2 => (1..=max_advance_s).prop_map(|seconds| Step::Advance(Duration::from_secs(seconds))),
    ]
    .boxed()
}

/// Generator of steps for keys that carry no time. It has no state: any step may follow any other.
struct OpaqueKeySteps;
/// Generator of steps for keys that carry a time, which also advances the clocks by up to half a
/// day.
struct TimedKeySteps;

impl ReferenceStateMachine for OpaqueKeySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        step(20)
    }

    fn apply((): (), _: &Step) {}
}

impl ReferenceStateMachine for TimedKeySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        prop_oneof![20 => step(20), 1 => step(12 * 3_600)].boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Returns the index of the item that has `number` items after it; `None` where there is none.
fn index_from_end(len: usize, number: usize) -> Option<usize> {
    len.checked_sub(1 + number)
}

/// Carries out one step.
fn apply_step(world: &mut World, step: Step) {
    let message = |world: &World, number| index_from_end(world.messages.len(), number);
    let attempt = |world: &World, number| index_from_end(world.attempts.len(), number);
    match step {
        Step::Arrive { key: number, lag, skew } => world.arrive(key(number), lag, skew),
        Step::Repeat { attempt: number, lag } => {
            attempt(world, number).into_iter().for_each(|index| world.send_claim(index, lag));
        }
        Step::Run(number) => {
            attempt(world, number).into_iter().for_each(|index| world.run_attempt(index))
        }
        Step::Release(number) => {
            attempt(world, number).into_iter().for_each(|index| release(world, index));
        }
        Step::Deliver(number) => {
            message(world, number).into_iter().for_each(|index| world.deliver(index));
        }
        Step::DeliverAll => world.deliver_all(),
        Step::Lose { message: number, after_effect } => {
            message(world, number).into_iter().for_each(|index| world.lose(index, after_effect));
        }
        Step::Duplicate(number) => {
            let copy = message(world, number).map(|index| world.messages[index].clone());
            // A hand-over is counted as unanswered once, but both copies would be acknowledged.
            let copy = copy.filter(|m| !matches!(m, world::Message::HandOver { .. }));
            world.messages.extend(copy);
        }
        Step::Start(agent) => world.start_agent(agent),
        Step::Kill(agent) => world.kill(agent),
        Step::CatchUp { agent, behind } => {
            world.catch_up(agent, world.epoch().saturating_sub(behind))
        }
        Step::HandOver(agent) => world.hand_over(agent),
        Step::Freeze(agent) => world.stop_granting(agent),
        Step::Leave(agent) => world.leave(agent),
        Step::Thaw(agent) => world.resume_granting(agent),
        Step::Drain(agent) => world.drain(agent),
        Step::Remove(agent) => world.append_removal(agent),
        Step::Rejoin(agent) => world.rejoin(agent),
        Step::Advance(by) => world.advance(by),
    }
}

/// Cancels an attempt before it starts. An entry that cancels an attempt which holds its key answers
/// `not_run`, which must not be answered for a key that ran.
fn release(world: &mut World, index: usize) {
    let key = world.attempts[index].key;
    if world.cancel_attempt(index) {
        assert!(!world.ran_keys.contains(&key), "`not_run` was answered for a key that ran");
    }
}

/// Panics if a key ran more than once, or if two attempts may still run. An attempt past its
/// deadline can't run any more, so a key with one may have another holder.
fn assert_at_most_one_run(world: &World) {
    for key in (0..KEY_COUNT).map(key) {
        let ran = world.ran_keys.iter().filter(|ran| **ran == key).count();
        assert!(ran <= 1, "a key ran {ran} times");
        let holders =
            world.attempts.iter().filter(|a| a.key == key && a.stage == Stage::ClaimGranted);
        assert!(
            holders.count() + ran <= 1 || world.has_attempt_past_deadline(key),
            "two attempts may run"
        );
    }
}

/// Test with keys that carry no time.
struct OpaqueKeyTest;
/// Test with keys that carry a time.
struct TimedKeyTest;

impl StateMachineTest for OpaqueKeyTest {
    type SystemUnderTest = World;
    type Reference = OpaqueKeySteps;

    fn init_test((): &()) -> World {
        world::open(AGENT_COUNT, 2, false)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        apply_step(&mut world, step);
        assert_at_most_one_run(&world);
        world
    }
}

impl StateMachineTest for TimedKeyTest {
    type SystemUnderTest = World;
    type Reference = TimedKeySteps;

    fn init_test((): &()) -> World {
        world::open(AGENT_COUNT, 2, true)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        apply_step(&mut world, step);
        assert_at_most_one_run(&world);
        world
    }
}

prop_state_machine! {
    #![proptest_config(proptest_config(1_500))]

    #[test]
    fn a_key_without_a_time_runs_at_most_once(sequential 20..120 => OpaqueKeyTest);

    #[test]
    fn a_key_with_a_time_runs_at_most_once(sequential 20..120 => TimedKeyTest);
}
