//! Answers of unlike length at targets of unlike pace.
//!
//! Pattern: two of three targets take three times as long for a token as the third. Most answers are
//! short; one of ten is so long that it ends in time at the fast targets only.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, address, expecting, plan, process, reservations, route, start, starts, target,
};
use model::reservation::Load;
use scheduler::direct::{Effect, Event, Outcome, Request, Reservation, Target, plan::Repeat};
use test_case::test_case;

const FAST: Duration = Duration::from_millis(2);
const SLOW: Duration = Duration::from_millis(6);
/// With a patience of 5 s this ends in time at fast targets only.
const LONG: u32 = 1_200;
const SHORT: u32 = 50;
const TARGETS: u16 = 12;

fn is_fast(name: &str) -> bool {
    let number: u16 = name.trim_start_matches("target-").parse().expect("it has a number");
    number.is_multiple_of(3)
}

fn step(name: &str) -> Duration {
    if is_fast(name) { FAST } else { SLOW }
}

fn grant(process: &mut Process, reserved: &Reservation, step: Duration) -> Vec<Effect> {
    let load = Load { step: Some(step), ..Load::default() };
    let Reservation { ticket, number, .. } = *reserved;
    process.send(Event::Granted { ticket, number, load })
}

/// A process that knows nothing of its targets' paces.
fn fresh(slow_only: bool) -> Process {
    let numbers = (0..TARGETS).filter(|number| !slow_only || !number.is_multiple_of(3));
    let agent = |number| Some(address(2_000 + number));
    let targets = numbers.map(|number| Target { agent: agent(number), ..target(number) });
    process(plan(1, vec![route("/a/", Repeat::Resume)], None), targets.collect())
}

/// One that heard of them with the grants of requests that have ended.
fn served(slow_only: bool) -> Process {
    let mut process = fresh(slow_only);
    for ticket in 1_000..1_400 {
        let reserved = reservations(&process.arrive(expecting(ticket, SHORT)));
        let last = reserved.last().expect("it is reserved");
        grant(&mut process, last, step(&last.target));
        process.end(ticket, Outcome::Done);
    }
    process
}

#[test]
fn a_long_answer_is_reserved_only_where_it_ends_in_time() {
    let mut process = served(false);

    let reserved: Vec<Reservation> =
        (0..20).flat_map(|ticket| reservations(&process.arrive(expecting(ticket, LONG)))).collect();

    assert!(reserved.iter().all(|reserved| is_fast(&reserved.target)));
}

#[test_case(Some(SHORT); "that is short")]
#[test_case(None; "of unknown length")]
fn an_answer_goes_anywhere(expected: Option<u32>) {
    let mut process = served(false);

    let reserved: Vec<Reservation> = (0..40)
        .flat_map(|ticket| {
            let asked = Request { expected, ..expecting(ticket, SHORT) };
            reservations(&process.arrive(asked))
        })
        .collect();

    assert!(reserved.iter().any(|reserved| !is_fast(&reserved.target)));
}

#[test]
fn where_none_ends_it_in_time_a_long_answer_goes_to_the_fastest() {
    let mut process = served(true);

    assert!(!reservations(&process.arrive(expecting(1, 10 * LONG))).is_empty());
}

#[test]
fn room_at_a_target_that_is_too_slow_is_given_back_and_found_elsewhere() {
    let agent = |number| Some(address(2_000 + number));
    let two = (0..2).map(|number| Target { agent: agent(number), ..target(number) });
    let mut process = process(plan(1, vec![route("/a/", Repeat::Resume)], None), two.collect());
    let reserved = reservations(&process.arrive(expecting(1, SHORT)));
    let fast = reserved.iter().find(|reserved| is_fast(&reserved.target));
    grant(&mut process, fast.expect("it is reserved at both"), FAST);
    let reserved = reservations(&process.arrive(expecting(100, LONG)));
    let slow = reserved.into_iter().find(|reserved| !is_fast(&reserved.target));
    let slow = slow.expect("nothing is known of its pace");

    let effects = grant(&mut process, &slow, SLOW);

    assert!(starts(&effects).is_empty());
    let given_back = |effect: &Effect| matches!(effect, Effect::Withdraw { ticket: 100, number } if *number == slow.number);
    assert!(effects.iter().any(given_back));
    assert!(reservations(&effects).iter().all(|reserved| reserved.target != slow.target));
}

#[test]
fn what_a_caller_expects_is_what_is_reserved() {
    let mut process = fresh(false);

    let reserved = reservations(&process.arrive(expecting(1, SHORT)));

    assert_eq!((reserved[0].tokens.prompt, reserved[0].tokens.output), (100, SHORT));
    let effects = grant(&mut process, &reserved[0], FAST);
    assert_eq!(start(&effects).ticket, 1);
}

#[test_case(LONG, 4; "that is long")]
#[test_case(SHORT, 12; "that is short")]
fn a_refusal_says_how_many_targets_fitted_an_answer(expected: u32, fitting: u32) {
    let mut process = served(false);
    process.arrive(expecting(1, expected));

    let effects = process.pass(Duration::from_secs(2));

    let grounds = effects.iter().find_map(|effect| match effect {
        Effect::Refuse { grounds, .. } => Some(grounds),
        _ => None,
    });
    let fits = grounds.expect("no agent granted room").fits;
    assert_eq!((fits.up, fits.fitting, fits.fast), (12, fitting, 4));
    assert_eq!(fits.fastest, Some(2.0));
}
