//! Orders under fencing: no order of an earlier run is carried out after one of a later run,
//! whether or not the engine checks the fencing number.

use std::time::{Duration, Instant};

use model::{
    id::Offset,
    setup::{Kind, Order, Role, Setup, Weights},
};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use scheduler::order::{self, DRIFT, Effect, Event, LEASE, READ_PERIOD, RETRY, State};
use test_case::test_case;

const CASES: u32 = 2_000;
/// Most runs of one case.
const RUNS: usize = 3;

/// One run of the target's agent.
struct Run {
    state: State,
    fence: Offset,
    frozen: bool,
    /// When the question for the members that is under way began, and its answer.
    question: Option<(Instant, Option<Option<Offset>>)>,
    /// What its shell is about to do.
    effect: Option<Effect>,
}

/// All runs of one target's agent, the log's newest join, and the engine.
struct Site {
    now: Instant,
    checks_fence: bool,
    runs: Vec<Run>,
    newest: Offset,
    setup: Setup,
    journal: Vec<Offset>,
    highest: Offset,
}

#[derive(Clone, Debug)]
enum Step {
    Start,
    Advance(u64),
    Ask(Index),
    Answer(Index),
    Hear(Index),
    CarryOut(Index),
    Freeze(Index),
    Desire { run: Index, version: u8 },
}

impl Site {
    fn start(&mut self) {
        self.newest += 1;
        self.runs.push(Run {
            state: order::open(self.now, self.checks_fence),
            fence: self.newest,
            frozen: false,
            question: None,
            effect: None,
        });
        // It has read its own join back, and wants something else than the run before.
        let at = self.runs.len() - 1;
        self.feed(at, Event::Confirmed { asked: self.now, fence: Some(self.newest) });
        let version = u8::try_from(self.newest % 3).unwrap();
        self.feed(at, Event::Desired(Some(setup(&[version], Role::Both))));
    }

    fn feed(&mut self, run: usize, event: Event) {
        let run = &mut self.runs[run];
        if let Some(effect) = order::reduce(&mut run.state, self.now, event) {
            assert!(run.effect.is_none(), "two calls at once");
            run.effect = Some(effect);
        }
    }

    fn step(&mut self, step: Step) {
        let runs = self.runs.len();
        match step {
            Step::Start if runs < RUNS => self.start(),
            Step::Start => {}
            Step::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                for run in 0..runs {
                    if !self.runs[run].frozen {
                        self.feed(run, Event::Tick);
                    }
                }
            }
            Step::Freeze(at) => {
                let run = &mut self.runs[at.index(runs)];
                run.frozen = !run.frozen;
            }
            // The log answers whether or not who asked is frozen by then.
            Step::Answer(at) => self.answer(at.index(runs)),
            Step::Ask(at) | Step::Hear(at) | Step::CarryOut(at)
                if self.runs[at.index(runs)].frozen => {}
            Step::Ask(at) => self.ask(at.index(runs)),
            Step::Hear(at) => self.hear(at.index(runs)),
            Step::CarryOut(at) => self.carry_out(at.index(runs)),
            Step::Desire { run, version } => {
                let run = run.index(runs);
                if !self.runs[run].frozen {
                    self.feed(run, Event::Desired(Some(setup(&[version], Role::Both))));
                }
            }
        }
    }

    fn ask(&mut self, at: usize) {
        self.runs[at].question = Some((self.now, None));
    }

    fn answer(&mut self, at: usize) {
        let run = &mut self.runs[at];
        let is_newest = run.fence == self.newest;
        if let Some((_, answer)) = &mut run.question {
            *answer = Some(is_newest.then_some(run.fence));
        }
    }

    fn hear(&mut self, at: usize) {
        if let Some((asked, Some(fence))) = self.runs[at].question.take() {
            self.feed(at, Event::Confirmed { asked, fence });
        }
    }

    /// Lets a run that isn't frozen wait, confirm itself, and read the engine.
    fn prepare(&mut self, at: usize) {
        self.now += LEASE + DRIFT;
        self.ask(at);
        self.answer(at);
        self.hear(at);
        self.carry_out(at);
    }

    fn carry_out(&mut self, at: usize) {
        match self.runs[at].effect.take() {
            None => {}
            Some(Effect::Read) => self.feed(at, Event::Read(Some(self.setup.clone()))),
            Some(Effect::Send { order, fence, until }) => {
                let refused = self.checks_fence && fence < self.highest;
                let done = !refused && until.is_none_or(|until| self.now < until);
                if done {
                    self.highest = self.highest.max(fence);
                    self.setup.apply(order);
                    self.journal.push(fence);
                }
                self.feed(at, Event::Ended { done });
            }
        }
    }
}

fn open(checks_fence: bool) -> Site {
    let mut site = Site {
        now: Instant::now(),
        checks_fence,
        runs: Vec::new(),
        newest: 0,
        setup: Setup::default(),
        journal: Vec::new(),
        highest: 0,
    };
    site.start();
    site
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
        6 => any::<Index>().prop_map(Step::Ask),
        6 => any::<Index>().prop_map(Step::Answer),
        6 => any::<Index>().prop_map(Step::Hear),
        12 => any::<Index>().prop_map(Step::CarryOut),
        2 => any::<Index>().prop_map(Step::Freeze),
        4 => (any::<Index>(), 0..3_u8).prop_map(|(run, version)| Step::Desire { run, version }),
    ]
}

fn cases() -> u32 {
    std::env::var("WAGTAILHILL_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_order_of_an_earlier_run_never_follows_one_of_a_later(
        checks_fence in any::<bool>(),
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut site = open(checks_fence);

        for step in steps {
            site.step(step);
            prop_assert!(site.journal.is_sorted(), "{:?}", site.journal);
        }
    }
}

/// Brings one run to the point where it may order, and reads the engine.
fn ready(checks_fence: bool, desired: Setup, actual: Setup) -> (State, Instant, Option<Effect>) {
    let now = Instant::now();
    let mut state = order::open(now, checks_fence);
    let joined = Event::Confirmed { asked: now, fence: Some(7) };
    order::reduce(&mut state, now, joined);
    assert_eq!(order::reduce(&mut state, now, Event::Desired(Some(desired))), Some(Effect::Read));
    let first = order::reduce(&mut state, now, Event::Read(Some(actual)));
    (state, now, first)
}

#[test_case(setup(&[1], Role::Both), setup(&[], Role::Both) => Some(Order::Load(weights(1))); "missing")]
#[test_case(setup(&[2], Role::Both), setup(&[1], Role::Both) => Some(Order::Unload(weights(1))); "another version: memory first")]
#[test_case(setup(&[1], Role::Decode), setup(&[1], Role::Both) => Some(Order::SetRole(Role::Decode)); "role")]
#[test_case(setup(&[1], Role::Both), setup(&[1], Role::Both) => None; "as desired")]
fn the_next_order_closes_a_difference(desired: Setup, actual: Setup) -> Option<Order> {
    let (_, _, effect) = ready(true, desired, actual);

    effect.map(|effect| match effect {
        Effect::Send { order, fence: 7, until: None } => order,
        other => panic!("{other:?}"),
    })
}

#[test_case(true; "the engine checks the fence")]
#[test_case(false; "the engine checks nothing")]
fn a_run_frozen_with_an_order_in_hand_doesnt_give_it_after_its_successor(checks_fence: bool) {
    let mut site = open(checks_fence);
    site.prepare(0);
    assert!(matches!(site.runs[0].effect, Some(Effect::Send { .. })));

    site.start();
    site.prepare(1);
    site.carry_out(1);
    site.carry_out(0);

    assert_eq!(site.journal, [2]);
}

#[test]
fn a_run_frozen_with_a_confirmation_in_hand_has_no_lease_from_it() {
    let mut site = open(false);
    site.prepare(0);
    site.ask(0);
    site.answer(0);

    site.start();
    site.prepare(1);
    site.carry_out(1);
    site.hear(0);
    for _ in 0..3 {
        site.carry_out(0);
        site.step(Step::Advance(u64::try_from(RETRY.as_millis()).unwrap()));
    }

    assert_eq!(site.journal, [2]);
}

#[test]
fn an_engine_that_checks_nothing_gets_orders_only_after_the_wait_and_under_the_lease() {
    let (mut state, now, at_once) = ready(false, setup(&[1], Role::Both), Setup::default());
    let from = now + LEASE + DRIFT;
    let lapsed = order::reduce(&mut state, from, Event::Tick);
    order::reduce(&mut state, from, Event::Read(Some(Setup::default())));

    let renewed = Event::Confirmed { asked: from, fence: Some(7) };
    let effect = order::reduce(&mut state, from, renewed);

    assert_eq!((at_once, lapsed), (None, Some(Effect::Read)));
    let order = Order::Load(weights(1));
    assert_eq!(effect, Some(Effect::Send { order, fence: 7, until: Some(from + LEASE) }));
}

#[test]
fn a_run_whose_place_was_taken_orders_nothing_any_more() {
    let (mut state, now, _) = ready(true, setup(&[1], Role::Both), setup(&[1], Role::Both));

    order::reduce(&mut state, now, Event::Confirmed { asked: now, fence: None });
    let wanted = Event::Desired(Some(setup(&[2], Role::Both)));
    let at_once = order::reduce(&mut state, now, wanted);
    let later = order::reduce(&mut state, now + READ_PERIOD, Event::Tick);

    assert_eq!((at_once, later, order::next_wake(&state)), (None, None, None));
}

#[test]
fn a_lost_answer_makes_the_engines_own_word_decide() {
    let (mut state, now, _) = ready(true, setup(&[1], Role::Both), Setup::default());

    let at_once = order::reduce(&mut state, now, Event::Ended { done: false });
    let later = order::reduce(&mut state, now + RETRY, Event::Tick);
    let loaded = Event::Read(Some(setup(&[1], Role::Both)));
    let after = order::reduce(&mut state, now + RETRY, loaded);

    assert_eq!((at_once, later, after), (None, Some(Effect::Read), None));
}
