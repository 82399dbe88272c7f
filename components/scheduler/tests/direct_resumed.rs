//! Requests whose connection to the target broke off, most of them streams of which a part was passed to the
//! caller.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, refusals, request, route, target,
    targets,
};
use scheduler::direct::{Effect, Event, Outcome, Ticket, plan::Repeat};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
/// Result of a dispatch whose answer ended incomplete without a sign that the target crashed.
const BROKEN_OFF: Outcome = Outcome::Incomplete { crashed: false };

/// Returns a process with `target_count` targets and a retry budget that isn't empty.
fn entry_process(target_count: u16) -> Process {
    let routes = vec![
        route("/resume/", Repeat::Resumable),
        route("/safe/", Repeat::Idempotent),
        route("/never/", Repeat::Never),
    ];
    let mut entry = configured_process(configuration(1, routes, None), targets(target_count));
    // The retry budget fills with time.
    entry.advance(Duration::from_secs(30));
    entry.confirm_configuration();
    // This long after an outage, targets that are missing in the list aren't used any more.
    entry.advance(2_500 * MS);
    entry.confirm_configuration();
    entry
}

/// Ends the dispatch of a stream after a part of the stream was passed to the caller.
fn end_begun_stream(entry: &mut Process, ticket: Ticket, outcome: Outcome) -> Vec<Effect> {
    let events = if outcome.may_have_run() { 3 } else { 0 };
    entry.send(Event::DispatchEnded { ticket, outcome, begun: true, events })
}

/// Guards against streams that end early since no target has a free slot, while their callers still wait.
#[test_case(&[BROKEN_OFF]; "its target broke the connection off")]
#[test_case(&[BROKEN_OFF, Outcome::Unreachable]; "the next target was unreachable")]
#[test_case(&[BROKEN_OFF, Outcome::Rejected]; "the next target rejected it")]
#[test_case(&[BROKEN_OFF, Outcome::Replaced]; "the next target was replaced")]
fn a_broken_off_stream_waits_for_another_target(outcomes: &[Outcome]) {
    let mut entry = entry_process(outcomes.len() as u16);
    entry.arrive(request(1, "/resume/"));
    let mut effects: Vec<Effect> =
        outcomes.iter().flat_map(|&outcome| end_begun_stream(&mut entry, 1, outcome)).collect();
    entry.list_targets(Vec::new());

    (0..48).for_each(|_| effects.extend(entry.advance(100 * MS)));
    entry.confirm_configuration();
    let resumed = entry.list_targets(vec![target(9)]);

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert_eq!(dispatches(&resumed).len(), 1);
}

#[test]
fn a_broken_off_stream_is_refused_at_its_deadline() {
    let mut entry = entry_process(1);
    entry.arrive(request(1, "/resume/"));
    end_begun_stream(&mut entry, 1, BROKEN_OFF);

    let effects = entry.advance(Duration::from_secs(5));

    assert_eq!(refusals(&effects).len(), 1);
    assert_eq!(entry.state.open_requests(), 0);
}

/// Guards against streams that end early since the retry budget is empty for the moment, and against more
/// repeats than the budget allows.
#[test]
fn a_broken_off_stream_waits_until_the_retry_budget_allows_a_repeat() {
    let mut entry = entry_process(99);
    (0..90).for_each(|ticket| drop(entry.arrive(request(ticket, "/resume/"))));

    let mut effects: Vec<Effect> =
        (0..90).flat_map(|ticket| end_begun_stream(&mut entry, ticket, BROKEN_OFF)).collect();
    let resumed_at_once = dispatches(&effects).len();
    (0..45).for_each(|_| effects.extend(entry.advance(100 * MS)));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    // The budget allows a fifth of 90 requests and 50 more, a part of them only as time passes.
    let resumed = dispatches(&effects).len();
    assert!(resumed_at_once < resumed && resumed <= 68, "{resumed_at_once} {resumed}");
}

/// Guards against new requests that are blocked by streams for which the retry budget is empty.
#[test]
fn a_stream_that_waits_for_the_retry_budget_does_not_block_other_requests() {
    let mut entry = entry_process(99);
    (0..90).for_each(|ticket| drop(entry.arrive(request(ticket, "/resume/"))));
    (0..90).for_each(|ticket| drop(end_begun_stream(&mut entry, ticket, BROKEN_OFF)));

    let effects = entry.arrive(request(100, "/resume/"));

    assert!(dispatches(&effects).iter().any(|dispatch| dispatch.ticket == 100), "{effects:?}");
}

/// Guards against requests that are refused since no target has a free slot, while their callers still wait.
#[test_case("/safe/", &[BROKEN_OFF]; "an idempotent request")]
#[test_case("/resume/", &[BROKEN_OFF]; "a stream")]
#[test_case("/safe/", &[BROKEN_OFF, Outcome::Unreachable]; "the next target was unreachable")]
#[test_case("/safe/", &[BROKEN_OFF, Outcome::Rejected]; "the next target rejected it")]
fn a_request_that_broke_off_before_its_answer_waits_for_another_target(
    path: &str,
    outcomes: &[Outcome],
) {
    let mut entry = entry_process(outcomes.len() as u16);
    entry.arrive(request(1, path));
    let mut effects: Vec<Effect> =
        outcomes.iter().flat_map(|&outcome| entry.end_dispatch(1, outcome)).collect();
    entry.list_targets(Vec::new());

    (0..48).for_each(|_| effects.extend(entry.advance(100 * MS)));
    entry.confirm_configuration();
    let retried = entry.list_targets(vec![target(9)]);

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert_eq!(dispatches(&retried).len(), 1);
}

/// Guards against callers that wait for an answer which no target may give any more.
#[test]
fn a_request_that_can_not_be_retried_is_refused_as_soon_as_it_breaks_off() {
    let mut entry = entry_process(2);
    entry.arrive(request(1, "/never/"));

    let effects = entry.end_dispatch(1, BROKEN_OFF);

    assert_eq!(refusals(&effects).len(), 1);
}

/// Guards against refusals since the retry budget is empty for the moment, and against more retries than the
/// budget allows.
#[test]
fn a_request_that_broke_off_before_its_answer_waits_until_the_retry_budget_allows_a_retry() {
    let mut entry = entry_process(99);
    (0..90).for_each(|ticket| drop(entry.arrive(request(ticket, "/safe/"))));

    let mut effects: Vec<Effect> =
        (0..90).flat_map(|ticket| entry.end_dispatch(ticket, BROKEN_OFF)).collect();
    let retried_at_once = dispatches(&effects).len();
    (0..45).for_each(|_| effects.extend(entry.advance(100 * MS)));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    let retried = dispatches(&effects).len();
    assert!(retried_at_once < retried && retried <= 68, "{retried_at_once} {retried}");
}

/// Guards against a retry budget that loses a retry with each request that a target rejected and another
/// completed.
#[test]
fn retries_of_rejected_requests_leave_the_retry_budget_as_it_was() {
    let mut entry = entry_process(2);

    for ticket in 0..200 {
        entry.arrive(request(ticket, "/safe/"));
        let rejected = entry.end_dispatch(ticket, Outcome::Rejected);
        assert_eq!(dispatches(&rejected).len(), 1, "request {ticket}: {rejected:?}");
        entry.end_dispatch(ticket, Outcome::Completed);
        entry.advance(Duration::from_secs(1));
        entry.confirm_configuration();
    }

    assert_eq!(entry.state.open_requests(), 0);
}
