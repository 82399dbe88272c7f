//! One process under any order of events, against an oracle that follows each request.

mod direct_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use direct_support::{Process, limit, plan, process, request, route, targets};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use scheduler::direct::{Effect, Event, Outcome, Ticket, plan::Repeat};

const CASES: u32 = 300;
const TARGETS: u16 = 4;
const SLOTS: usize = 2;
const ATTEMPTS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(Repeat),
    /// The oldest dispatch that still runs, counted from `nth`, ends.
    End {
        nth: usize,
        outcome: Outcome,
        begun: bool,
    },
    /// The target of such a dispatch is silent, or goes on after that.
    Quiet(usize),
    Speak(usize),
    Leave(usize),
    Wait(u16),
    Confirm,
    /// Only the first so many targets are listed.
    List(u16),
}

/// What the oracle knows of a request.
#[derive(Debug)]
struct Asked {
    repeat: Repeat,
    /// Targets that may have run it.
    ran: usize,
    running: Option<String>,
    /// Whether its target is silent, and it may wait for another.
    seeks: bool,
    ended: bool,
}

#[derive(Debug, Default)]
struct Oracle {
    asked: BTreeMap<Ticket, Asked>,
    listed: BTreeSet<String>,
}

fn config() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let repeat = prop_oneof![Just(Repeat::Safe), Just(Repeat::Resume), Just(Repeat::Never)];
    let outcome = prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Replaced),
        1 => Just(Outcome::Unreached),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Silent),
        1 => Just(Outcome::Expired),
        2 => any::<bool>().prop_map(|crashed| Outcome::Lost { crashed }),
    ];
    prop_oneof![
        6 => repeat.prop_map(Step::Arrive),
        6 => (0..8_usize, outcome, any::<bool>())
            .prop_map(|(nth, outcome, begun)| Step::End { nth, outcome, begun }),
        2 => (0..8_usize).prop_map(Step::Quiet),
        1 => (0..8_usize).prop_map(Step::Speak),
        1 => (0..8_usize).prop_map(Step::Leave),
        3 => (0..600_u16).prop_map(Step::Wait),
        2 => Just(Step::Confirm),
        1 => (1..=TARGETS).prop_map(Step::List),
    ]
}

impl Oracle {
    fn take(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Start(start) => {
                    assert!(self.listed.contains(&start.target), "not listed: {}", start.target);
                    let running = self.asked.values().filter_map(|asked| asked.running.as_ref());
                    let busy = running.filter(|target| **target == start.target).count();
                    assert!(busy < SLOTS, "{} has no room", start.target);
                    let asked = self.asked.get_mut(&start.ticket).expect("it was asked");
                    assert!(!asked.ended && asked.running.is_none(), "{asked:?}");
                    assert!(asked.ran < ATTEMPTS, "{asked:?}");
                    assert!(asked.repeat != Repeat::Never || asked.ran == 0, "{asked:?}");
                    asked.running = Some(start.target.clone());
                }
                Effect::Refuse { ticket, refusal, .. } => {
                    let asked = self.asked.get_mut(ticket).expect("it was asked");
                    assert!(!asked.ended && asked.running.is_none(), "{asked:?}");
                    assert_eq!(refusal.not_run, asked.ran == 0, "{refusal:?} {asked:?}");
                    assert!(refusal.not_run || refusal.retry_after.is_none(), "{refusal:?}");
                    asked.ended = true;
                }
                Effect::Pass { ticket } => {
                    let asked = self.asked.get_mut(ticket).expect("it was asked");
                    assert!(!asked.ended && asked.running.is_none(), "{asked:?}");
                    asked.ended = true;
                }
                Effect::Reserve(_) | Effect::Withdraw { .. } => panic!("no agent: {effect:?}"),
                Effect::Leave { ticket, target } => {
                    let asked = self.asked.get_mut(ticket).expect("it was asked");
                    assert!(asked.seeks && !asked.ended, "{asked:?}");
                    assert!(asked.running.as_ref().is_some_and(|old| old != target), "{asked:?}");
                    asked.seeks = false;
                }
                Effect::Fetch { .. } | Effect::Probe { .. } | Effect::Note(_) => {}
            }
        }
    }

    fn running(&self, nth: usize) -> Option<Ticket> {
        let running = self.asked.iter().filter(|(_, asked)| asked.running.is_some());
        running.map(|(&ticket, _)| ticket).nth(nth)
    }

    fn list(&mut self, process: &mut Process, count: u16) -> Vec<Effect> {
        let listed = targets(count);
        self.listed = listed.iter().map(|target| target.name.clone()).collect();
        process.list(listed)
    }
}

fn path(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Safe => "/safe/",
        Repeat::Resume => "/resume/",
        Repeat::Never => "/never/",
    }
}

fn play(steps: Vec<Step>) {
    let routes = [Repeat::Safe, Repeat::Resume, Repeat::Never];
    let routes = routes.map(|repeat| route(path(repeat), repeat)).to_vec();
    let mut process = process(plan(1, routes, Some(limit(1_000.0))), targets(TARGETS));
    let mut oracle = Oracle::default();
    oracle.list(&mut process, TARGETS);
    for (ticket, step) in (0..).zip(steps) {
        let effects = match step {
            Step::Arrive(repeat) => {
                let asked = Asked { repeat, ran: 0, running: None, seeks: false, ended: false };
                oracle.asked.insert(ticket, asked);
                process.arrive(request(ticket, path(repeat)))
            }
            Step::End { nth, outcome, begun } => {
                let Some(ticket) = oracle.running(nth) else {
                    continue;
                };
                let asked = oracle.asked.get_mut(&ticket).expect("it runs");
                // A part of an answer went on only where something ran, and from a stream.
                let begun = begun && outcome.may_have_run() && asked.repeat == Repeat::Resume;
                asked.running = None;
                asked.seeks = false;
                asked.ran += usize::from(outcome.may_have_run());
                asked.ended = outcome == Outcome::Done;
                process.send(Event::Ended { ticket, outcome, begun, events: u32::from(begun) })
            }
            Step::Quiet(nth) => {
                let Some(ticket) = oracle.running(nth) else {
                    continue;
                };
                let asked = oracle.asked.get_mut(&ticket).expect("it runs");
                asked.seeks |= asked.repeat != Repeat::Never;
                process.send(Event::Quiet { ticket, begun: false })
            }
            Step::Speak(nth) => {
                let Some(ticket) = oracle.running(nth) else {
                    continue;
                };
                oracle.asked.get_mut(&ticket).expect("it runs").seeks = false;
                process.send(Event::Spoke { ticket })
            }
            Step::Leave(nth) => {
                let Some(ticket) = oracle.running(nth) else {
                    continue;
                };
                let asked = oracle.asked.get_mut(&ticket).expect("it runs");
                asked.running = None;
                asked.ended = true;
                process.send(Event::Left { ticket, events: 0 })
            }
            Step::Wait(ms) => process.pass(Duration::from_millis(ms.into())),
            Step::Confirm => process.confirm(),
            Step::List(count) => {
                // Outside an outage a target that vanished gets nothing from now on.
                oracle.take(&process.confirm());
                oracle.take(&process.pass(Duration::from_millis(2_500)));
                oracle.take(&process.confirm());
                oracle.list(&mut process, count)
            }
        };
        oracle.take(&effects);
    }
    let effects = process.pass(Duration::from_secs(10));
    oracle.take(&effects);
    let ended = oracle.asked.values().filter(|asked| asked.ended || asked.running.is_some());
    assert_eq!(ended.count(), oracle.asked.len());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_request_ends_once_and_runs_as_often_as_it_may(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        play(steps);
    }
}
