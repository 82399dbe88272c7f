//! Requests whose target has stalled: it has sent nothing for the timeout of the dispatch, but may still
//! answer. Such a request waits for a slot at another target and moves there only once it has one.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, only_dispatch, refusals, request,
    route, targets,
};
use model::reservation::Load;
use scheduler::direct::{
    Effect, Event, Outcome, Target, Ticket,
    plan::{Repeat, Route},
};
use test_case::test_case;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns an entry process with these targets and a filled retry budget.
fn entry(targets: Vec<Target>) -> Process {
    let routes = vec![
        route("/resume/", Repeat::Resumable),
        route("/safe/", Repeat::Idempotent),
        Route { is_stream: true, ..route("/safe-stream/", Repeat::Idempotent) },
        route("/never/", Repeat::Never),
    ];
    let mut entry = configured_process(configuration(1, routes, None), targets);
    // The retry budget fills over time.
    entry.advance(Duration::from_secs(30));
    entry.confirm_configuration();
    // The 30 s without an answer of the platform count as an outage. For 2.2 s after the end of an outage,
    // the process keeps using targets that vanish from the list.
    entry.advance(2_500 * MILLISECOND);
    entry.confirm_configuration();
    entry
}

/// Reports that the target of a request has sent nothing for its timeout.
fn stall(entry: &mut Process, ticket: Ticket, begun: bool) -> Vec<Effect> {
    entry.send(Event::TargetUnresponsive { ticket, begun })
}

/// Returns the targets to which requests are to move.
fn move_destinations(effects: &[Effect]) -> Vec<String> {
    let destinations = effects.iter().filter_map(|effect| match effect {
        Effect::CancelDispatch { target, .. } => Some(target.clone()),
        _ => None,
    });
    destinations.collect()
}

/// Lets requests with these numbers arrive and checks that each one is dispatched.
fn dispatch_requests(entry: &mut Process, tickets: std::ops::Range<Ticket>) {
    for ticket in tickets {
        assert_eq!(dispatches(&entry.arrive(request(ticket, "/never/"))).len(), 1);
    }
}

/// Guards against dispatches that are ended before another target has a free slot.
#[test_case("/resume/", true; "a stream whose answer has begun")]
#[test_case("/resume/", false; "a stream")]
#[test_case("/safe/", false; "an idempotent request")]
fn a_request_stays_at_a_stalled_target_while_no_other_has_a_free_slot(path: &str, begun: bool) {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, path));
    dispatch_requests(&mut entry, 2..5);

    let mut effects = stall(&mut entry, 1, begun);
    (0..40).for_each(|_| effects.extend(entry.advance(100 * MILLISECOND)));

    assert!(move_destinations(&effects).is_empty() && refusals(&effects).is_empty(), "{effects:?}");
    assert!(entry.state.target_of(1).is_some());
}

/// Guards against a stream that makes no progress although another target has a free slot.
#[test]
fn a_request_moves_from_a_stalled_target_once_another_has_a_free_slot() {
    let mut entry = entry(targets(2));
    let first = only_dispatch(&entry.arrive(request(1, "/resume/"))).target;
    dispatch_requests(&mut entry, 2..5);
    stall(&mut entry, 1, true);
    let at_other_target = (2..5).find(|&ticket| {
        let target = entry.state.target_of(ticket);
        target.is_some_and(|target| target.name != first)
    });

    let after_free_slot =
        entry.end_dispatch(at_other_target.expect("each target runs requests"), Outcome::Completed);
    let moved = entry.end_dispatch(1, Outcome::Unresponsive);

    assert_eq!(move_destinations(&after_free_slot).len(), 1);
    assert!(dispatches(&after_free_slot).is_empty(), "two targets would run the request at once");
    let dispatch = only_dispatch(&moved);
    assert_eq!((&dispatch.target, dispatch.attempt), (&move_destinations(&after_free_slot)[0], 2));
}

/// Guards against a request that moves although its target answers after all.
#[test]
fn a_target_that_sends_data_again_keeps_its_request() {
    let mut entry = entry(targets(2));
    let first = only_dispatch(&entry.arrive(request(1, "/resume/"))).target;
    dispatch_requests(&mut entry, 2..5);
    stall(&mut entry, 1, true);
    entry.send(Event::TargetResumed { ticket: 1 });

    let mut effects: Vec<Effect> =
        (2..5).flat_map(|ticket| entry.end_dispatch(ticket, Outcome::Completed)).collect();
    effects.extend(entry.advance(100 * MILLISECOND));

    assert!(move_destinations(&effects).is_empty(), "{effects:?}");
    assert_eq!(entry.state.target_of(1).map(|target| &target.name), Some(&first));
}

/// Guards against complete answers that are discarded since a slot is held at another target.
#[test]
fn a_complete_answer_ends_a_request_that_holds_a_slot_at_another_target() {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, "/resume/"));
    let move_effects = stall(&mut entry, 1, true);

    let effects = entry.end_dispatch(1, Outcome::Completed);
    // A target that stalled gets no requests for 250 ms.
    entry.advance(300 * MILLISECOND);
    dispatch_requests(&mut entry, 2..6);

    assert_eq!(move_destinations(&move_effects).len(), 1);
    assert!(dispatches(&effects).is_empty(), "{effects:?}");
    assert_eq!(entry.state.open_requests(), 4);
}

#[test_case("/never/", false; "a request that may not be retried")]
#[test_case("/safe/", true; "an idempotent request whose answer has begun")]
fn a_request_that_can_not_be_retried_stays_at_its_stalled_target(path: &str, begun: bool) {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, path));

    let effects = stall(&mut entry, 1, begun);

    assert!(move_destinations(&effects).is_empty(), "{effects:?}");
}

/// Guards against more retries than the budget of all processes allows, and against requests that are refused
/// since the budget is exhausted.
#[test]
fn requests_move_from_stalled_targets_within_the_retry_budget() {
    let mut entry = entry(targets(60));
    for ticket in 0..60 {
        entry.arrive(request(ticket, "/resume/"));
    }

    let moved: usize =
        (0..60).map(|ticket| move_destinations(&stall(&mut entry, ticket, true)).len()).sum();

    // The budget allows 0.2 * 60 + 50 retries within its window of 10 s, and fewer than that at once.
    assert!((20..50).contains(&moved), "{moved}");
    assert_eq!(entry.state.open_requests(), 60);
}

/// Guards against a retry budget that is used up by searches for another target that were cancelled.
#[test]
fn a_cancelled_search_takes_no_retry_from_the_budget() {
    let mut entry = entry(targets(1));
    entry.arrive(request(1, "/resume/"));
    for _ in 0..200 {
        stall(&mut entry, 1, true);
        entry.send(Event::TargetResumed { ticket: 1 });
    }
    let two_targets = (0..2).map(|number| Target { slots: 2, ..direct_support::target(number) });
    entry.list_targets(two_targets.collect());

    let effects = stall(&mut entry, 1, true);

    assert_eq!(move_destinations(&effects), ["target-1"]);
}

/// Returns targets that have an agent each.
fn targets_with_agents(count: u16) -> Vec<Target> {
    let agent = |number| Some(direct_support::address(2_000 + number));
    let target = |number| Target { agent_address: agent(number), ..direct_support::target(number) };
    (0..count).map(target).collect()
}

/// Reports that an agent has granted a reservation.
fn grant(entry: &mut Process, ticket: Ticket, number: u32) -> Vec<Effect> {
    entry.send(Event::Granted { ticket, number, load: Load::default() })
}

/// Returns the number and the target of each new reservation.
fn reservations(effects: &[Effect]) -> Vec<(u32, String)> {
    let reservations = effects.iter().filter_map(|effect| match effect {
        Effect::Reserve(reservation) => Some((reservation.number, reservation.target.clone())),
        _ => None,
    });
    reservations.collect()
}

/// Returns the numbers of the reservations that are withdrawn.
fn withdrawn(effects: &[Effect]) -> Vec<u32> {
    let withdrawn = effects.iter().filter_map(|effect| match effect {
        Effect::WithdrawReservation { number, .. } => Some(*number),
        _ => None,
    });
    withdrawn.collect()
}

/// Guards against a slot that an agent keeps for a dispatch that has ended, or frees while the dispatch is in
/// flight.
#[test]
fn the_slot_at_a_stalled_target_is_freed_when_its_request_moves() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    let first = only_dispatch(&grant(&mut entry, 1, 1)).target;

    let search_effects = stall(&mut entry, 1, true);
    let (number, target) = reservations(&search_effects)[0].clone();
    let granted = grant(&mut entry, 1, number);
    let moved = entry.end_dispatch(1, Outcome::Unresponsive);

    assert!(reservations(&search_effects).iter().all(|(_, target)| *target != first));
    assert!(!withdrawn(&granted).contains(&1) && !withdrawn(&granted).contains(&number));
    assert_eq!(move_destinations(&granted), std::slice::from_ref(&target));
    assert_eq!((withdrawn(&moved), only_dispatch(&moved).target), (vec![1], target));
}

/// Guards against slots that agents keep for a request that stays at its target.
#[test_case(|entry: &mut Process| entry.send(Event::TargetResumed { ticket: 1 }); "its target sends data")]
#[test_case(|entry: &mut Process| entry.advance(Duration::from_secs(5)); "its deadline has passed")]
fn a_request_that_stays_at_its_target_withdraws_its_reservations(
    stay: fn(&mut Process) -> Vec<Effect>,
) {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let search_effects = stall(&mut entry, 1, true);

    let effects = stay(&mut entry);

    let numbers: Vec<u32> =
        reservations(&search_effects).into_iter().map(|(number, _)| number).collect();
    assert!(!numbers.is_empty());
    assert!(numbers.iter().all(|number| withdrawn(&effects).contains(number)), "{effects:?}");
    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert!(dispatches(&grant(&mut entry, 1, numbers[0])).is_empty());
}

/// Guards against slots at both targets that are kept after the caller has disconnected.
#[test]
fn a_caller_that_disconnects_while_its_request_moves_frees_the_slots_of_both_targets() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let search_effects = stall(&mut entry, 1, true);
    let number = reservations(&search_effects)[0].0;
    grant(&mut entry, 1, number);

    let effects = entry.send(Event::CallerDisconnected { ticket: 1, events: 3 });

    assert_eq!(withdrawn(&effects), [1, number]);
}

/// Guards against requests that are dispatched to a target which was removed from the platform's list after a
/// slot was held there.
#[test]
fn a_request_does_not_move_to_a_target_that_is_no_longer_listed() {
    let mut entry = entry(targets_with_agents(2));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let search_effects = stall(&mut entry, 1, true);
    let (number, target) = reservations(&search_effects)[0].clone();
    grant(&mut entry, 1, number);
    entry.list_targets(
        targets_with_agents(2).into_iter().filter(|listed| listed.name != target).collect(),
    );

    let moved = entry.end_dispatch(1, Outcome::Unresponsive);

    assert!(dispatches(&moved).is_empty() && refusals(&moved).is_empty(), "{moved:?}");
    assert_eq!(withdrawn(&moved), [1, number]);
}

/// Guards against a search for another target that starts again when the connection to the stalled target
/// breaks.
#[test]
fn a_search_continues_when_the_connection_to_the_stalled_target_breaks() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let search_effects = stall(&mut entry, 1, true);

    let broken = entry.end_dispatch(1, Outcome::Incomplete { crashed: true });
    let granted = grant(&mut entry, 1, reservations(&search_effects)[0].0);

    assert!(refusals(&broken).is_empty() && reservations(&broken).is_empty(), "{broken:?}");
    assert_eq!(withdrawn(&broken), [1]);
    assert_eq!(only_dispatch(&granted).attempt, 2);
}

/// Guards against an answer that is put together from two runs: the first event arrives while the dispatch is
/// being ended in order to move the request.
#[test]
fn an_idempotent_request_whose_answer_begins_while_it_moves_is_not_dispatched_again() {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, "/safe-stream/"));
    let move_effects = stall(&mut entry, 1, false);
    entry.send(Event::TargetResumed { ticket: 1 });
    entry.send(Event::AnswerBegan { ticket: 1 });

    let ended =
        Event::DispatchEnded { ticket: 1, outcome: Outcome::Unresponsive, begun: true, events: 1 };
    let effects = entry.send(ended);

    assert_eq!(move_destinations(&move_effects).len(), 1);
    assert!(
        dispatches(&effects).is_empty(),
        "the caller would get a part of the answer twice: {effects:?}"
    );
    assert_eq!(refusals(&effects).len(), 1);
}

/// Returns the time from a target's failure until the caller gets an answer, while no other target has a free
/// slot; `has_stalled` says whether the target stalled before.
fn time_to_failure(has_stalled: bool) -> Duration {
    let mut entry = entry(targets(1));
    entry.arrive(request(1, "/safe/"));
    if has_stalled {
        stall(&mut entry, 1, false);
    }
    let mut effects = entry.end_dispatch(1, Outcome::Failed);
    let mut passed = Duration::ZERO;
    let is_answer =
        |effect: &Effect| matches!(effect, Effect::PassFailure { .. } | Effect::Refuse { .. });
    while !effects.iter().any(is_answer) && passed < Duration::from_secs(6) {
        passed += 100 * MILLISECOND;
        effects.extend(entry.advance(100 * MILLISECOND));
    }
    passed
}

/// Guards against a known failure that the caller gets only at its deadline.
#[test]
fn a_failure_of_a_stalled_target_is_passed_on_as_soon_as_one_of_any_other() {
    let with_stall = time_to_failure(true);
    let without_stall = time_to_failure(false);

    assert_eq!(with_stall, without_stall);
}

/// Guards against a slot that is held for a request which never moves, since its dispatch to the stalled
/// target doesn't end: the target sent data just as the request was to move, and the caller stopped reading.
#[test]
fn a_slot_held_for_a_request_that_never_moves_is_freed_at_its_deadline() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let search_effects = stall(&mut entry, 1, true);
    let (number, _) = reservations(&search_effects)
        .first()
        .cloned()
        .expect("the request is reserved at another target");
    let move_effects = grant(&mut entry, 1, number);
    entry.send(Event::TargetResumed { ticket: 1 });

    let mut effects = Vec::new();
    for _ in 0..60 {
        effects.extend(entry.advance(100 * MILLISECOND));
        entry.confirm_configuration();
    }

    assert_eq!(move_destinations(&move_effects).len(), 1);
    assert!(withdrawn(&effects).contains(&number), "the deadline passed a second ago");
}

/// Guards against requests that are refused before their deadline when they have moved from a stalled target
/// and the next target can't be reached or rejects them. The dispatch that was cancelled for the move might
/// still have answered the caller, who waits for 5 s.
#[test_case("/safe/", false, Outcome::Unreachable; "an idempotent request and an unreachable target")]
#[test_case("/safe/", false, Outcome::Rejected; "an idempotent request and a rejection")]
#[test_case("/resume/", false, Outcome::Unreachable; "a stream and an unreachable target")]
#[test_case("/resume/", true, Outcome::Unreachable; "a begun stream and an unreachable target")]
#[test_case("/resume/", true, Outcome::Rejected; "a begun stream and a rejection")]
fn a_request_that_moved_from_a_stalled_target_waits_until_its_deadline(
    path: &str,
    begun: bool,
    next_outcome: Outcome,
) {
    let mut entry = entry(targets(2));
    let stalled = only_dispatch(&entry.arrive(request(1, path))).target;
    let move_effects = stall(&mut entry, 1, begun);
    let ended = |outcome| Event::DispatchEnded { ticket: 1, outcome, begun, events: 0 };
    let moved = entry.send(ended(Outcome::Unresponsive));
    let mut effects = entry.send(ended(next_outcome));
    // The platform lists only the stalled target any more.
    let listed = targets(2).into_iter().filter(|target| target.name == stalled);
    effects.extend(entry.list_targets(listed.collect()));

    (0..48).for_each(|_| effects.extend(entry.advance(100 * MILLISECOND)));

    assert_eq!((move_destinations(&move_effects).len(), dispatches(&moved).len()), (1, 1));
    assert!(refusals(&effects).is_empty(), "{effects:?}");
}
