//! Tests of orders to an engine: no order of an earlier run of the agent is executed after one of a later
//! run, whether or not the engine checks the fencing number.

use std::time::{Duration, Instant};

use model::{
    id::Offset,
    setup::{Kind, Order, Role, Setup, Weights},
};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use scheduler::order::{
    self, CLOCK_DRIFT_MARGIN, Effect, Event, LEASE_DURATION, RETRY_DELAY, SETUP_READ_PERIOD, State,
};
use test_case::test_case;

const DEFAULT_CASES: u32 = 2_000;
/// Maximum number of runs of the agent in one case.
const MAX_RUNS: usize = 3;

/// One run of the target's agent, with the calls that it has in flight.
struct AgentRun {
    state: State,
    fence: Offset,
    /// Whether the process is suspended: it handles no events and sends nothing.
    is_frozen: bool,
    /// The read of the membership stream that is in flight: when it began and, once answered, the fence
    /// that it confirms (`Some(None)` if a later run has joined).
    membership_read: Option<(Instant, Option<Option<Offset>>)>,
    /// Effect returned by the reducer that hasn't been carried out yet.
    pending_effect: Option<Effect>,
}

/// All runs of one target's agent, the newest join in the membership stream, and the engine.
struct Cluster {
    now: Instant,
    checks_fence: bool,
    runs: Vec<AgentRun>,
    newest_fence: Offset,
    /// The engine's actual setup.
    setup: Setup,
    /// Fencing numbers of the orders that the engine has executed, in their sequence.
    executed_fences: Vec<Offset>,
    /// Highest fencing number that the engine has seen.
    highest_fence: Offset,
}

#[derive(Clone, Debug)]
enum Step {
    Start,
    Advance(u64),
    ReadMembership(Index),
    AnswerRead(Index),
    DeliverAnswer(Index),
    CarryOut(Index),
    ToggleFrozen(Index),
    SetDesired { run: Index, version: u8 },
}

impl Cluster {
    fn start(&mut self) {
        self.newest_fence += 1;
        self.runs.push(AgentRun {
            state: order::open(self.now, self.checks_fence),
            fence: self.newest_fence,
            is_frozen: false,
            membership_read: None,
            pending_effect: None,
        });
        // The new run has read its own join record, and its desired setup differs from the previous one.
        let at = self.runs.len() - 1;
        self.send_event(
            at,
            Event::Confirmed { read_started_at: self.now, fence: Some(self.newest_fence) },
        );
        let version = u8::try_from(self.newest_fence % 3).unwrap();
        self.send_event(at, Event::DesiredSetupChanged(Some(setup(&[version], Role::Both))));
    }

    fn send_event(&mut self, run: usize, event: Event) {
        let run = &mut self.runs[run];
        if let Some(effect) = order::reduce(&mut run.state, self.now, event) {
            assert!(
                run.pending_effect.is_none(),
                "a second call to the engine while one is in flight"
            );
            run.pending_effect = Some(effect);
        }
    }

    fn step(&mut self, step: Step) {
        let runs = self.runs.len();
        match step {
            Step::Start if runs < MAX_RUNS => self.start(),
            Step::Start => {}
            Step::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                for run in 0..runs {
                    if !self.runs[run].is_frozen {
                        self.send_event(run, Event::Tick);
                    }
                }
            }
            Step::ToggleFrozen(at) => {
                let run = &mut self.runs[at.index(runs)];
                run.is_frozen = !run.is_frozen;
            }
            // The membership stream answers a read even if the reading run is frozen by then.
            Step::AnswerRead(at) => self.answer_read(at.index(runs)),
            Step::ReadMembership(at) | Step::DeliverAnswer(at) | Step::CarryOut(at)
                if self.runs[at.index(runs)].is_frozen => {}
            Step::ReadMembership(at) => self.read_membership(at.index(runs)),
            Step::DeliverAnswer(at) => self.deliver_answer(at.index(runs)),
            Step::CarryOut(at) => self.carry_out(at.index(runs)),
            Step::SetDesired { run, version } => {
                let run = run.index(runs);
                if !self.runs[run].is_frozen {
                    self.send_event(
                        run,
                        Event::DesiredSetupChanged(Some(setup(&[version], Role::Both))),
                    );
                }
            }
        }
    }

    fn read_membership(&mut self, at: usize) {
        self.runs[at].membership_read = Some((self.now, None));
    }

    fn answer_read(&mut self, at: usize) {
        let run = &mut self.runs[at];
        let is_newest = run.fence == self.newest_fence;
        if let Some((_, answer)) = &mut run.membership_read {
            *answer = Some(is_newest.then_some(run.fence));
        }
    }

    fn deliver_answer(&mut self, at: usize) {
        if let Some((asked, Some(fence))) = self.runs[at].membership_read.take() {
            self.send_event(at, Event::Confirmed { read_started_at: asked, fence });
        }
    }

    /// Brings a run that isn't frozen to the point where it has an order to send: waits for the leases
    /// of earlier runs, confirms the run as the newest, and reads the engine's setup.
    fn prepare(&mut self, at: usize) {
        self.now += LEASE_DURATION + CLOCK_DRIFT_MARGIN;
        self.read_membership(at);
        self.answer_read(at);
        self.deliver_answer(at);
        self.carry_out(at);
    }

    fn carry_out(&mut self, at: usize) {
        match self.runs[at].pending_effect.take() {
            None => {}
            Some(Effect::ReadSetup) => {
                self.send_event(at, Event::SetupRead(Some(self.setup.clone())))
            }
            Some(Effect::SendOrder { order, fence, lease_until: until }) => {
                let is_rejected = self.checks_fence && fence < self.highest_fence;
                let done = !is_rejected && until.is_none_or(|until| self.now < until);
                if done {
                    self.highest_fence = self.highest_fence.max(fence);
                    self.setup.apply(order);
                    self.executed_fences.push(fence);
                }
                self.send_event(at, Event::OrderEnded { is_confirmed: done });
            }
        }
    }
}

fn open(checks_fence: bool) -> Cluster {
    let mut cluster = Cluster {
        now: Instant::now(),
        checks_fence,
        runs: Vec::new(),
        newest_fence: 0,
        setup: Setup::default(),
        executed_fences: Vec::new(),
        highest_fence: 0,
    };
    cluster.start();
    cluster
}

fn weights(version: u8) -> Weights {
    Weights { kind: Kind::Model, name: "m".to_owned(), version: version.to_string() }
}

fn setup(versions: &[u8], role: Role) -> Setup {
    Setup { weights: versions.iter().map(|version| weights(*version)).collect(), role }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Start),
        6 => (1..6_000_u64).prop_map(Step::Advance),
        6 => any::<Index>().prop_map(Step::ReadMembership),
        6 => any::<Index>().prop_map(Step::AnswerRead),
        6 => any::<Index>().prop_map(Step::DeliverAnswer),
        12 => any::<Index>().prop_map(Step::CarryOut),
        2 => any::<Index>().prop_map(Step::ToggleFrozen),
        4 => (any::<Index>(), 0..3_u8).prop_map(|(run, version)| Step::SetDesired { run, version }),
    ]
}

fn case_count() -> u32 {
    std::env::var("WAGTAILHILL_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(),
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_order_of_an_earlier_run_never_follows_one_of_a_later(
        checks_fence in any::<bool>(),
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut cluster = open(checks_fence);

        for step in steps {
            cluster.step(step);
            prop_assert!(cluster.executed_fences.is_sorted(), "{:?}", cluster.executed_fences);
        }
    }
}

/// Returns a run with the fence 7 that has joined and read the engine's setup, the time, and the effect of
/// that read.
fn open_ready(
    checks_fence: bool,
    desired: Setup,
    actual: Setup,
) -> (State, Instant, Option<Effect>) {
    let now = Instant::now();
    let mut state = order::open(now, checks_fence);
    let joined = Event::Confirmed { read_started_at: now, fence: Some(7) };
    order::reduce(&mut state, now, joined);
    assert_eq!(
        order::reduce(&mut state, now, Event::DesiredSetupChanged(Some(desired))),
        Some(Effect::ReadSetup)
    );
    let first_effect = order::reduce(&mut state, now, Event::SetupRead(Some(actual)));
    (state, now, first_effect)
}

#[test_case(setup(&[1], Role::Both), setup(&[], Role::Both) => Some(Order::Load(weights(1))); "missing weights are loaded")]
#[test_case(setup(&[2], Role::Both), setup(&[1], Role::Both) => Some(Order::Unload(weights(1))); "another version is unloaded first to free memory")]
#[test_case(setup(&[1], Role::Decode), setup(&[1], Role::Both) => Some(Order::SetRole(Role::Decode)); "a different role is set")]
#[test_case(setup(&[1], Role::Both), setup(&[1], Role::Both) => None; "the desired setup needs no order")]
fn each_order_reduces_the_difference_between_actual_and_desired_setup(
    desired: Setup,
    actual: Setup,
) -> Option<Order> {
    let (_, _, effect) = open_ready(true, desired, actual);

    effect.map(|effect| match effect {
        Effect::SendOrder { order, fence: 7, lease_until: None } => order,
        other => panic!("{other:?}"),
    })
}

/// A process can be suspended between the decision to send an order and the call that sends it.
#[test_case(true; "the engine checks the fence")]
#[test_case(false; "the engine checks no fence")]
fn an_order_prepared_before_a_freeze_is_not_executed_after_one_of_a_later_run(checks_fence: bool) {
    let mut cluster = open(checks_fence);
    cluster.prepare(0);
    assert!(matches!(cluster.runs[0].pending_effect, Some(Effect::SendOrder { .. })));

    cluster.start();
    cluster.prepare(1);
    cluster.carry_out(1);
    cluster.carry_out(0);

    assert_eq!(cluster.executed_fences, [2]);
}

/// A suspended process can receive an answer that was correct when it was sent and is outdated now. The
/// lease must be counted from the start of the read.
#[test]
fn a_confirmation_that_arrives_after_a_freeze_does_not_renew_the_lease() {
    let mut cluster = open(false);
    cluster.prepare(0);
    cluster.read_membership(0);
    cluster.answer_read(0);

    cluster.start();
    cluster.prepare(1);
    cluster.carry_out(1);
    cluster.deliver_answer(0);
    for _ in 0..3 {
        cluster.carry_out(0);
        cluster.step(Step::Advance(u64::try_from(RETRY_DELAY.as_millis()).unwrap()));
    }

    assert_eq!(cluster.executed_fences, [2]);
}

#[test]
fn an_engine_without_fence_checks_gets_orders_only_after_the_wait_and_under_a_lease() {
    let (mut state, now, immediate_effect) =
        open_ready(false, setup(&[1], Role::Both), Setup::default());
    let from = now + LEASE_DURATION + CLOCK_DRIFT_MARGIN;
    let at_lease_end = order::reduce(&mut state, from, Event::Tick);
    order::reduce(&mut state, from, Event::SetupRead(Some(Setup::default())));

    let confirmation = Event::Confirmed { read_started_at: from, fence: Some(7) };
    let effect = order::reduce(&mut state, from, confirmation);

    assert_eq!((immediate_effect, at_lease_end), (None, Some(Effect::ReadSetup)));
    let order = Order::Load(weights(1));
    assert_eq!(
        effect,
        Some(Effect::SendOrder { order, fence: 7, lease_until: Some(from + LEASE_DURATION) })
    );
}

#[test]
fn a_run_replaced_by_a_later_one_sends_no_orders() {
    let (mut state, now, _) = open_ready(true, setup(&[1], Role::Both), setup(&[1], Role::Both));

    order::reduce(&mut state, now, Event::Confirmed { read_started_at: now, fence: None });
    let new_desired = Event::DesiredSetupChanged(Some(setup(&[2], Role::Both)));
    let immediate_effect = order::reduce(&mut state, now, new_desired);
    let later_effect = order::reduce(&mut state, now + SETUP_READ_PERIOD, Event::Tick);

    assert_eq!((immediate_effect, later_effect, order::next_wake(&state)), (None, None, None));
}

/// An order whose answer was lost may have been executed, and must not be repeated blindly.
#[test]
fn after_a_lost_answer_the_setup_is_read_before_the_next_order() {
    let (mut state, now, _) = open_ready(true, setup(&[1], Role::Both), Setup::default());

    let immediate_effect =
        order::reduce(&mut state, now, Event::OrderEnded { is_confirmed: false });
    let later_effect = order::reduce(&mut state, now + RETRY_DELAY, Event::Tick);
    let loaded_setup = Event::SetupRead(Some(setup(&[1], Role::Both)));
    let effect_after_read = order::reduce(&mut state, now + RETRY_DELAY, loaded_setup);

    assert_eq!(
        (immediate_effect, later_effect, effect_after_read),
        (None, Some(Effect::ReadSetup), None)
    );
}
