//! The reducers of entries and agents over a simulated faulty network. Each request reaches a target
//! at most once, and one that was refused with `not_run` never reaches a target.

mod world;

use std::time::Duration;

use model::{id::Rank, refusal::Ran};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use scheduler::agent::Capacity;
use world::{ENTRIES, Packet, TARGETS, TIERS, World};

/// Upper bound of the number of steps in a generated case, exclusive.
const MAX_STEPS: usize = 160;
/// Number of generated cases unless the environment variable `WAGTAILHILL_CASES` sets another one.
const DEFAULT_CASES: u32 = 2_000;
const RNG_SEED: u64 = 4;

/// One step of a generated case. An `Index` selects among the packets in flight, the runs in progress
/// or the requests sent; the step has no effect if there are none.
#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a request.
    Arrive { entry: usize, rank: Rank, deadline: Duration },
    /// The network delivers a packet.
    Deliver(Index),
    /// The network delivers a copy of a packet and keeps the packet.
    Duplicate(Index),
    /// The network loses a packet.
    Drop(Index),
    /// Time passes.
    Advance(Duration),
    /// A target finishes a run.
    EndRun(Index),
    /// A caller disconnects.
    Disconnect(Index),
    /// An entry is paused, or resumes if it is paused.
    ToggleEntryFreeze(usize),
    /// A target stops accepting connections from its agent, or accepts them again.
    ToggleTargetConnections(usize),
    /// An agent restarts and loses its state.
    RestartAgent(usize),
    /// An entry restarts and loses its state.
    RestartEntry(usize),
    /// An agent starts to drain.
    DrainAgent(usize),
    /// An entry receives a list of hosts on which one target's host is leaving.
    ListAsLeaving { entry: usize, target: usize },
}

/// Generator of steps. Any step may follow any other, so it has no state.
struct Steps;

/// The state machine test of a [`World`].
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
            6 => any::<Index>().prop_map(Step::Duplicate),
            4 => any::<Index>().prop_map(Step::Drop),
            8 => millis(1..300_u64).prop_map(Step::Advance),
            6 => any::<Index>().prop_map(Step::EndRun),
            1 => any::<Index>().prop_map(Step::Disconnect),
            1 => (0..ENTRIES).prop_map(Step::ToggleEntryFreeze),
            2 => (0..TARGETS).prop_map(Step::ToggleTargetConnections),
            2 => (0..TARGETS).prop_map(Step::RestartAgent),
            1 => (0..ENTRIES).prop_map(Step::RestartEntry),
            1 => (0..TARGETS).prop_map(Step::DrainAgent),
            1 => (0..ENTRIES, 0..TARGETS)
                .prop_map(|(entry, target)| Step::ListAsLeaving { entry, target }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for Dispatch {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        open_world()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        let packets = world.network.len();
        match step {
            Step::Arrive { entry, rank, deadline } => {
                world.arrive(entry, rank, deadline);
            }
            Step::Deliver(index) if packets > 0 => world.deliver(index.index(packets)),
            Step::Duplicate(index) if packets > 0 => world.deliver_copy(index.index(packets)),
            Step::Drop(index) if packets > 0 => world.lose(index.index(packets)),
            Step::Deliver(_) | Step::Duplicate(_) | Step::Drop(_) => {}
            Step::Advance(time) => world.advance(time),
            Step::EndRun(index) if world.running_count() > 0 => {
                world.finish_request(index.index(world.running_count()))
            }
            Step::Disconnect(index) if !world.ranks.is_empty() => {
                let request = *world.ranks.keys().nth(index.index(world.ranks.len())).unwrap();
                world.disconnect_caller(request);
            }
            Step::EndRun(_) | Step::Disconnect(_) => {}
            Step::ToggleEntryFreeze(entry) => world.toggle_freeze(entry),
            Step::ToggleTargetConnections(target) => world.toggle_closed(target),
            Step::RestartAgent(target) => world.restart_agent(target),
            Step::RestartEntry(entry) => world.restart_entry(entry),
            Step::DrainAgent(target) => world.drain_agent(target),
            Step::ListAsLeaving { entry, target } => world.send_host_list(entry, &[target]),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        for (request, times) in &world.ran {
            assert!(*times <= 1, "{request} reached a target {times} times");
            assert_ne!(world.refused.get(request), Some(&Ran::NotRun), "{request} ran");
        }
        assert!(
            world.late_starts.is_empty(),
            "requests started at a target that the entry knew to be leaving"
        );
        for request in &world.answered {
            assert!(
                !world.refused.contains_key(request),
                "{request} was both answered and refused"
            );
        }
    }
}

fn open_world() -> World {
    let grant = Duration::from_millis(200);
    world::open(Capacity { slots: 2, max_tokens: 1_000, max_waiting: 3, grant_lifetime: grant }, 6)
}

fn find_packet(world: &World, matches: fn(&Packet) -> bool) -> usize {
    world.network.iter().position(matches).unwrap()
}

fn deliver_first_matching(world: &mut World, matches: fn(&Packet) -> bool) {
    world.deliver(find_packet(world, matches));
}

// A second start for one grant would run the request twice.
#[test]
fn a_duplicate_grant_starts_the_request_once() {
    let mut world = open_world();
    world.arrive(0, 0, Duration::from_secs(5));
    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Reserve { .. }));

    world.deliver_copy(find_packet(&world, |packet| matches!(packet, Packet::Granted { .. })));
    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Granted { .. }));

    let starts = world.network.iter().filter(|packet| matches!(packet, Packet::Start { .. }));
    assert_eq!(starts.count(), 1);
}

// The network duplicates a reservation and delivers the copy after the run. The agent denies it, and
// the entry must not reserve the finished request at another target.
#[test]
fn a_duplicate_reservation_denied_after_the_run_leads_to_no_other_reservation() {
    let mut world = open_world();
    let request = world.arrive(0, 0, Duration::from_secs(5));
    world.deliver_copy(find_packet(&world, |packet| matches!(packet, Packet::Reserve { .. })));
    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Granted { .. }));
    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Start { .. }));
    world.finish_request(0);

    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Reserve { .. }));
    deliver_first_matching(&mut world, |packet| matches!(packet, Packet::Denied { .. }));

    let reservations =
        world.network.iter().filter(|packet| matches!(packet, Packet::Reserve { .. }));
    assert_eq!((reservations.count(), world.ran[&request]), (0, 1));
}

fn cases() -> u32 {
    std::env::var("WAGTAILHILL_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(RNG_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Losses, duplicates, restarts and freezes must not let a request run twice, or run after the
    // caller was told that it didn't.
    #[test]
    fn no_request_reaches_a_target_twice(sequential 1..MAX_STEPS => Dispatch);
}
