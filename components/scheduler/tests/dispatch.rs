//! Both reducers over a faulty network: each request reaches a target at most once, and one that
//! was refused as `not_run` never ran.

mod world;

use std::time::Duration;

use model::{id::Rank, refusal::Ran};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use scheduler::agent::Room;
use world::{ENTRIES, Packet, TARGETS, TIERS, World};

const STEPS: usize = 160;
const CASES: u32 = 2_000;
const SEED: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Arrive { entry: usize, rank: Rank, deadline: Duration },
    Deliver(Index),
    Double(Index),
    Lose(Index),
    Advance(Duration),
    EndRun(Index),
    GiveUp(Index),
    FreezeEntry(usize),
    CloseTarget(usize),
    RestartAgent(usize),
    RestartEntry(usize),
    DrainAgent(usize),
    ShowLeaving { entry: usize, target: usize },
}

/// Any step may follow any other: the oracle needs no state of its own.
struct Steps;

struct Dispatch;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let millis = |range| prop::strategy::Strategy::prop_map(range, Duration::from_millis);
        let arrive = (0..ENTRIES, 0..TIERS.len(), millis(100..5_000_u64));
        prop_oneof![
            6 => arrive.prop_map(|(entry, rank, deadline)| {
                Step::Arrive { entry, rank: rank.try_into().unwrap(), deadline }
            }),
            40 => any::<Index>().prop_map(Step::Deliver),
            6 => any::<Index>().prop_map(Step::Double),
            4 => any::<Index>().prop_map(Step::Lose),
            8 => millis(1..300_u64).prop_map(Step::Advance),
            6 => any::<Index>().prop_map(Step::EndRun),
            1 => any::<Index>().prop_map(Step::GiveUp),
            1 => (0..ENTRIES).prop_map(Step::FreezeEntry),
            2 => (0..TARGETS).prop_map(Step::CloseTarget),
            2 => (0..TARGETS).prop_map(Step::RestartAgent),
            1 => (0..ENTRIES).prop_map(Step::RestartEntry),
            1 => (0..TARGETS).prop_map(Step::DrainAgent),
            1 => (0..ENTRIES, 0..TARGETS)
                .prop_map(|(entry, target)| Step::ShowLeaving { entry, target }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for Dispatch {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        open()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        let packets = world.network.len();
        match step {
            Step::Arrive { entry, rank, deadline } => {
                world.arrive(entry, rank, deadline);
            }
            Step::Deliver(at) if packets > 0 => world.deliver(at.index(packets)),
            Step::Double(at) if packets > 0 => world.double(at.index(packets)),
            Step::Lose(at) if packets > 0 => world.lose(at.index(packets)),
            Step::Deliver(_) | Step::Double(_) | Step::Lose(_) => {}
            Step::Advance(time) => world.advance(time),
            Step::EndRun(at) if world.running() > 0 => world.end_run(at.index(world.running())),
            Step::GiveUp(at) if !world.ranks.is_empty() => {
                let request = *world.ranks.keys().nth(at.index(world.ranks.len())).unwrap();
                world.give_up(request);
            }
            Step::EndRun(_) | Step::GiveUp(_) => {}
            Step::FreezeEntry(entry) => world.freeze(entry),
            Step::CloseTarget(target) => world.close(target),
            Step::RestartAgent(target) => world.restart_agent(target),
            Step::RestartEntry(entry) => world.restart_entry(entry),
            Step::DrainAgent(target) => world.drain_agent(target),
            Step::ShowLeaving { entry, target } => world.show_leaving(entry, &[target]),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        for (request, times) in &world.ran {
            assert!(*times <= 1, "{request} reached a target {times} times");
            assert_ne!(world.refused.get(request), Some(&Ran::NotRun), "{request} ran");
        }
        assert!(world.late_starts.is_empty(), "new work for a target that is leaving");
        for request in &world.answered {
            assert!(!world.refused.contains_key(request), "{request} has two ends");
        }
    }
}

fn open() -> World {
    let grant = Duration::from_millis(200);
    world::open(Room { slots: 2, tokens: 1_000, waiting: 3, grant }, 6)
}

fn place(world: &World, wanted: fn(&Packet) -> bool) -> usize {
    world.network.iter().position(wanted).unwrap()
}

fn deliver(world: &mut World, wanted: fn(&Packet) -> bool) {
    world.deliver(place(world, wanted));
}

#[test]
fn a_doubled_grant_starts_once() {
    let mut world = open();
    world.arrive(0, 0, Duration::from_secs(5));
    deliver(&mut world, |packet| matches!(packet, Packet::Reserve { .. }));

    world.double(place(&world, |packet| matches!(packet, Packet::Granted { .. })));
    deliver(&mut world, |packet| matches!(packet, Packet::Granted { .. }));

    let starts = world.network.iter().filter(|packet| matches!(packet, Packet::Start { .. }));
    assert_eq!(starts.count(), 1);
}

#[test]
fn a_doubled_call_for_room_that_is_denied_after_the_run_asks_nowhere_else() {
    let mut world = open();
    let request = world.arrive(0, 0, Duration::from_secs(5));
    world.double(place(&world, |packet| matches!(packet, Packet::Reserve { .. })));
    deliver(&mut world, |packet| matches!(packet, Packet::Granted { .. }));
    deliver(&mut world, |packet| matches!(packet, Packet::Start { .. }));
    world.end_run(0);

    deliver(&mut world, |packet| matches!(packet, Packet::Reserve { .. }));
    deliver(&mut world, |packet| matches!(packet, Packet::Denied { .. }));

    let asks = world.network.iter().filter(|packet| matches!(packet, Packet::Reserve { .. }));
    assert_eq!((asks.count(), world.ran[&request]), (0, 1));
}

fn cases() -> u32 {
    std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_reaches_a_target_twice(sequential 1..STEPS => Dispatch);
}
