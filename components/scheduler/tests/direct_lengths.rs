//! Choice of targets for answers of different lengths at targets of different speeds.
//!
//! Every third target is fast; the others take three times as long per token. Short answers end in time at
//! all targets, long ones only at the fast targets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, address, configuration, configured_process, dispatches, only_dispatch,
    request_expecting, reservations, route, target,
};
use model::reservation::Load;
use scheduler::direct::{Effect, Event, Outcome, Request, Reservation, Target, plan::Repeat};
use test_case::test_case;

/// Time per token of a fast target.
const FAST_STEP: Duration = Duration::from_millis(2);
/// Time per token of a slow target.
const SLOW_STEP: Duration = Duration::from_millis(6);
/// Tokens of a long answer: with a patience of 5 s it ends in time at fast targets only.
const LONG_TOKENS: u32 = 1_200;
/// Tokens of a short answer: it ends in time at all targets.
const SHORT_TOKENS: u32 = 50;
const TARGET_COUNT: u16 = 12;

/// Reports whether the target of this name is a fast one.
fn is_fast(name: &str) -> bool {
    let number: u16 =
        name.trim_start_matches("target-").parse().expect("a target name ends in a number");
    number.is_multiple_of(3)
}

/// Returns the time per token of the target of this name.
fn step(name: &str) -> Duration {
    if is_fast(name) { FAST_STEP } else { SLOW_STEP }
}

/// Grants a reservation with a load report that names a time per token.
fn grant(process: &mut Process, reserved: &Reservation, step: Duration) -> Vec<Effect> {
    let load = Load { step: Some(step), ..Load::default() };
    let Reservation { ticket, number, .. } = *reserved;
    process.send(Event::Granted { ticket, number, load })
}

/// An entry process that has no information on the speed of its targets.
fn process_without_speeds(slow_only: bool) -> Process {
    let numbers = (0..TARGET_COUNT).filter(|number| !slow_only || !number.is_multiple_of(3));
    let agent = |number| Some(address(2_000 + number));
    let targets = numbers.map(|number| Target { agent_address: agent(number), ..target(number) });
    configured_process(
        configuration(1, vec![route("/a/", Repeat::Resumable)], None),
        targets.collect(),
    )
}

/// An entry process that received the speed of its targets with the grants of earlier requests.
fn process_with_speeds(slow_only: bool) -> Process {
    let mut process = process_without_speeds(slow_only);
    for ticket in 1_000..1_400 {
        let reserved = reservations(&process.arrive(request_expecting(ticket, SHORT_TOKENS)));
        let last = reserved.last().expect("the request is reserved");
        grant(&mut process, last, step(&last.target));
        process.end_dispatch(ticket, Outcome::Completed);
    }
    process
}

#[test]
fn a_long_answer_is_reserved_only_where_it_ends_in_time() {
    let mut process = process_with_speeds(false);

    let reserved: Vec<Reservation> = (0..20)
        .flat_map(|ticket| reservations(&process.arrive(request_expecting(ticket, LONG_TOKENS))))
        .collect();

    assert!(reserved.iter().all(|reserved| is_fast(&reserved.target)));
}

#[test_case(Some(SHORT_TOKENS); "of short length")]
#[test_case(None; "of unknown length")]
fn an_answer_may_go_to_any_target(expected: Option<u32>) {
    let mut process = process_with_speeds(false);

    let reserved: Vec<Reservation> = (0..40)
        .flat_map(|ticket| {
            let request =
                Request { expected_tokens: expected, ..request_expecting(ticket, SHORT_TOKENS) };
            reservations(&process.arrive(request))
        })
        .collect();

    assert!(reserved.iter().any(|reserved| !is_fast(&reserved.target)));
}

#[test]
fn a_long_answer_that_ends_in_time_nowhere_is_reserved_at_the_fastest_targets() {
    let mut process = process_with_speeds(true);

    assert!(!reservations(&process.arrive(request_expecting(1, 10 * LONG_TOKENS))).is_empty());
}

#[test]
fn a_grant_of_a_target_that_is_too_slow_is_withdrawn_and_another_target_is_reserved() {
    let agent = |number| Some(address(2_000 + number));
    let two = (0..2).map(|number| Target { agent_address: agent(number), ..target(number) });
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Resumable)], None),
        two.collect(),
    );
    let reserved = reservations(&process.arrive(request_expecting(1, SHORT_TOKENS)));
    let fast = reserved.iter().find(|reserved| is_fast(&reserved.target));
    grant(&mut process, fast.expect("the request is reserved at both targets"), FAST_STEP);
    let reserved = reservations(&process.arrive(request_expecting(100, LONG_TOKENS)));
    let slow = reserved.into_iter().find(|reserved| !is_fast(&reserved.target));
    let slow = slow.expect("a target of unknown speed is reserved");

    let effects = grant(&mut process, &slow, SLOW_STEP);

    assert!(dispatches(&effects).is_empty());
    let is_withdrawn = |effect: &Effect| matches!(effect, Effect::WithdrawReservation { ticket: 100, number } if *number == slow.number);
    assert!(effects.iter().any(is_withdrawn));
    assert!(reservations(&effects).iter().all(|reserved| reserved.target != slow.target));
}

#[test]
fn a_reservation_states_the_length_that_the_caller_expects() {
    let mut process = process_without_speeds(false);

    let reserved = reservations(&process.arrive(request_expecting(1, SHORT_TOKENS)));

    assert_eq!((reserved[0].tokens.prompt, reserved[0].tokens.max_output), (100, SHORT_TOKENS));
    let effects = grant(&mut process, &reserved[0], FAST_STEP);
    assert_eq!(only_dispatch(&effects).ticket, 1);
}

#[test_case(LONG_TOKENS, 4; "of a long answer")]
#[test_case(SHORT_TOKENS, 12; "of a short answer")]
fn a_refusal_states_the_number_of_targets_that_fit(expected: u32, fitting: u32) {
    let mut process = process_with_speeds(false);
    process.arrive(request_expecting(1, expected));

    let effects = process.advance(Duration::from_secs(2));

    let context = effects.iter().find_map(|effect| match effect {
        Effect::Refuse { context, .. } => Some(context),
        _ => None,
    });
    let fits = context.expect("the request is refused, since no agent granted a slot").fits;
    assert_eq!((fits.available, fits.fitting, fits.fast), (12, fitting, 4));
    assert_eq!(fits.fastest_token_ms, Some(2.0));
}
