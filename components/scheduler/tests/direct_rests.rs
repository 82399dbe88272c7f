//! Targets that turn requests away and ask this process for a rest.

mod direct_support;

use std::{collections::BTreeSet, time::Duration};

use direct_support::{
    Process, address, configuration, configured_process, dispatches, only_dispatch, only_refusal,
    refusals, request, reservations, route, target, targets,
};
use model::reservation::Load;
use scheduler::direct::{
    self, Effect, Event, Outcome, RefusalReason, Target, Ticket, plan::Repeat,
};
use test_case::test_case;

/// Time for which a target asks, longer than a request waits for a slot.
const LONG: Duration = Duration::from_secs(3);
/// Time for which a target asks, shorter than a request waits for a slot: 0.75 of 800 ms.
const SHORT: Duration = Duration::from_millis(400);

/// Returns a process before targets without agents.
fn process(targets: Vec<Target>, repeat: Repeat) -> Process {
    configured_process(configuration(1, vec![route("/a/", repeat)], None), targets)
}

/// Returns a process before targets that have an agent each.
fn process_with_agents(count: u16) -> Process {
    let targets = (0..count)
        .map(|n| Target { agent_address: Some(address(2_000 + n)), ..target(n) })
        .collect();
    process(targets, Repeat::Idempotent)
}

/// Lets the target of a request in flight turn it away and ask for a rest. Returns the effects.
fn turn_away(process: &mut Process, ticket: Ticket, time: Duration) -> Vec<Effect> {
    let mut effects = process.send(Event::RestStated { ticket, time });
    effects.extend(process.end_dispatch(ticket, Outcome::Rejected));
    effects
}

/// Guards against callers that wait although no target wants requests before their wait is over, and against a
/// `retry_after` at which nothing has changed.
#[test]
fn a_request_is_refused_at_once_if_all_targets_rest_for_longer_than_it_waits() {
    let mut process = process(targets(2), Repeat::Never);
    process.arrive(request(1, "/a/"));
    turn_away(&mut process, 1, LONG * 2);
    let told = only_refusal(&turn_away(&mut process, 1, LONG));
    process.advance(Duration::from_secs(1));

    let later = only_refusal(&process.arrive(request(2, "/a/")));

    assert_eq!((told.reason, told.not_run), (RefusalReason::TargetsResting, true));
    assert_eq!((later.reason, later.not_run), (RefusalReason::TargetsResting, true));
    assert_eq!(told.retry_after, Some(LONG));
    assert_eq!(later.retry_after, Some(LONG - Duration::from_secs(1)));
}

/// Guards against a target that is used late after its rest, since nothing wakes the process then.
#[test]
fn a_request_that_waits_is_dispatched_at_the_end_of_the_rest() {
    let mut process = process(targets(1), Repeat::Never);
    process.arrive(request(1, "/a/"));
    let effects = turn_away(&mut process, 1, SHORT);
    assert!(dispatches(&effects).is_empty() && refusals(&effects).is_empty(), "{effects:?}");
    let rested = process.now.steady + SHORT;
    let mut dispatched = Vec::new();

    while dispatched.is_empty() {
        let wake = direct::next_wake(&process.state, process.now.steady).expect("a timer");
        let effects = process.advance(wake - process.now.steady);
        dispatched = dispatches(&effects);
    }

    assert_eq!(process.now.steady, rested);
}

/// Guards against a refusal while a target that doesn't rest is only busy, or in a short backoff.
#[test_case(Outcome::Unreachable; "in a backoff")]
#[test_case(Outcome::Rejected; "after a rejection without a time")]
fn a_request_waits_for_a_target_that_does_not_rest(outcome: Outcome) {
    let mut process = process(targets(2), Repeat::Idempotent);
    process.arrive(request(1, "/a/"));
    turn_away(&mut process, 1, LONG);

    let effects = process.end_dispatch(1, outcome);

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    let effects = process.advance(Duration::from_millis(300));
    assert_eq!(dispatches(&effects).len(), 1);
}

/// Guards against a shorter time that ends a rest early.
#[test]
fn a_second_statement_does_not_shorten_a_rest() {
    let mut process = process(targets(1), Repeat::Never);
    process.arrive(request(1, "/a/"));
    process.arrive(request(2, "/a/"));
    turn_away(&mut process, 1, LONG);
    turn_away(&mut process, 2, SHORT);
    process.advance(SHORT * 2);

    let refusal = only_refusal(&process.arrive(request(3, "/a/")));

    assert_eq!(refusal.retry_after, Some(LONG - SHORT * 2));
}

/// Guards against a target that is out for good after a time without a bound.
#[test]
fn a_rest_is_bounded() {
    let mut process = process(targets(1), Repeat::Never);
    process.arrive(request(1, "/a/"));

    let refusal = only_refusal(&turn_away(&mut process, 1, Duration::MAX));

    assert_eq!(refusal.retry_after, Some(Duration::from_secs(300)));
}

/// Guards against a rest that other processes keep too: a target asks one process.
#[test]
fn a_rest_is_not_told_to_other_processes() {
    let mut process = process(targets(2), Repeat::Never);
    let before = process.state.next_row(process.now.steady);
    process.arrive(request(1, "/a/"));
    turn_away(&mut process, 1, LONG);
    process.end_dispatch(1, Outcome::Completed);

    let after = process.state.next_row(process.now.steady);

    assert_eq!(after.leaving_targets, before.leaving_targets);
    assert_eq!(after.target_limits, before.target_limits);
    assert_eq!(after.target_loads, before.target_loads);
}

/// Guards against a rest that is lost while the list lacks the target, and one that outlives its start.
#[test_case(1 => false; "the same start")]
#[test_case(2 => true; "another start")]
fn a_rest_belongs_to_a_start_of_the_target(incarnation: u64) -> bool {
    let mut process = process(targets(1), Repeat::Never);
    process.arrive(request(1, "/a/"));
    turn_away(&mut process, 1, Duration::from_secs(60));
    process.list_targets(vec![]);
    process.advance(Duration::from_secs(3));
    process.confirm_configuration();

    process.list_targets(vec![Target { incarnation, ..target(0) }]);

    !dispatches(&process.arrive(request(2, "/a/"))).is_empty()
}

/// Guards against a request that an agent admits to a target which rests, and against reservations that wait there
/// while other targets have slots.
#[test]
fn reservations_at_a_resting_target_move_to_others() {
    let mut process = process_with_agents(3);
    let first = reservations(&process.arrive(request(1, "/a/")));
    let granted = &first[0];
    process.send(Event::Granted { ticket: 1, number: granted.number, load: Load::default() });
    let queued = reservations(&process.arrive(request(2, "/a/")));
    let at_resting = queued.iter().find(|reserved| reserved.target == granted.target);

    let effects = process.send(Event::RestStated { ticket: 1, time: LONG });

    if let Some(at_resting) = at_resting {
        let is_withdrawn = effects.iter().any(|effect| {
            matches!(effect, Effect::WithdrawReservation { ticket: 2, number } if *number == at_resting.number)
        });
        assert!(is_withdrawn, "{effects:?}");
        let number = at_resting.number;
        let late = process.send(Event::Granted { ticket: 2, number, load: Load::default() });
        assert!(dispatches(&late).is_empty(), "{late:?}");
    }
    let targets: BTreeSet<String> = queued
        .into_iter()
        .chain(reservations(&effects))
        .map(|reserved| reserved.target)
        .filter(|target| *target != granted.target)
        .collect();
    assert_eq!(targets.len(), 2);
}

/// Guards against requests that are not reserved at a target again after its rest.
#[test]
fn a_request_is_reserved_at_the_target_again_after_the_rest() {
    let mut process = process_with_agents(1);
    let reserved = reservations(&process.arrive(request(1, "/a/")));
    let number = reserved[0].number;
    process.send(Event::Granted { ticket: 1, number, load: Load::default() });
    let effects = turn_away(&mut process, 1, SHORT);
    assert!(reservations(&effects).is_empty(), "{effects:?}");

    let effects = process.advance(SHORT);

    assert_eq!(reservations(&effects).len(), 1);
}

/// Guards against a slot that is held at a second target while the first is silent, and used although the second
/// asked for a rest meanwhile.
#[test]
fn a_slot_that_is_held_at_a_resting_target_is_not_used() {
    let mut process = process(targets(2), Repeat::Idempotent);
    let first = only_dispatch(&process.arrive(request(1, "/a/"))).target;
    let second = only_dispatch(&process.arrive(request(2, "/a/"))).target;
    assert_ne!(first, second);
    process.send(Event::TargetUnresponsive { ticket: 1, begun: false });
    process.send(Event::RestStated { ticket: 2, time: LONG });

    let effects = process.end_dispatch(1, Outcome::Unresponsive);

    assert!(dispatches(&effects).is_empty(), "{effects:?}");
}

/// Guards against a promise that a request did not run, made since all other targets rest.
#[test]
fn a_request_that_may_have_run_is_not_told_that_it_did_not() {
    let mut process = process(targets(2), Repeat::Idempotent);
    process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Incomplete { crashed: false });

    let effects = turn_away(&mut process, 1, Duration::from_secs(60));

    let refusal = only_refusal(&effects);
    assert!(!refusal.not_run && refusal.retry_after.is_none(), "{refusal:?}");
}
