//! Streams whose connection broke off after a part of them went to the caller.

mod direct_support;

use std::time::Duration;

use direct_support::{Process, plan, process, refusals, request, route, starts, target, targets};
use scheduler::direct::{Effect, Event, Outcome, Ticket, plan::Repeat};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
const BROKEN: Outcome = Outcome::Lost { crashed: false };

/// A process with so many targets.
fn entry(count: u16) -> Process {
    let mut entry = process(plan(1, vec![route("/resume/", Repeat::Resume)], None), targets(count));
    // It earns repeats.
    entry.pass(Duration::from_secs(30));
    entry.confirm();
    // So long after an outage targets that vanish aren't used any more.
    entry.pass(2_500 * MS);
    entry.confirm();
    entry
}

/// The dispatch of a stream ends after some of its events went to the caller.
fn end(entry: &mut Process, ticket: Ticket, outcome: Outcome) -> Vec<Effect> {
    let events = if outcome.may_have_run() { 3 } else { 0 };
    entry.send(Event::Ended { ticket, outcome, begun: true, events })
}

/// Guards against streams that are broken off for want of room while their callers still wait.
#[test_case(&[BROKEN]; "its target broke off")]
#[test_case(&[BROKEN, Outcome::Unreached]; "the next wasn't reached")]
#[test_case(&[BROKEN, Outcome::Rejected]; "the next rejected it")]
#[test_case(&[BROKEN, Outcome::Replaced]; "the next was replaced")]
fn a_stream_that_broke_off_waits_for_another_target(outcomes: &[Outcome]) {
    let mut entry = entry(outcomes.len() as u16);
    entry.arrive(request(1, "/resume/"));
    let mut effects: Vec<Effect> =
        outcomes.iter().flat_map(|&outcome| end(&mut entry, 1, outcome)).collect();
    entry.list(Vec::new());

    (0..48).for_each(|_| effects.extend(entry.pass(100 * MS)));
    entry.confirm();
    let resumed = entry.list(vec![target(9)]);

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert_eq!(starts(&resumed).len(), 1);
}

#[test]
fn a_stream_that_broke_off_waits_no_longer_than_its_caller() {
    let mut entry = entry(1);
    entry.arrive(request(1, "/resume/"));
    end(&mut entry, 1, BROKEN);

    let effects = entry.pass(Duration::from_secs(5));

    assert_eq!(refusals(&effects).len(), 1);
    assert_eq!(entry.state.open_requests(), 0);
}

/// Guards against streams that are broken off at once since the budget has no repeat left, and against
/// more repeats than that allows.
#[test]
fn a_stream_that_broke_off_waits_for_a_repeat() {
    let mut entry = entry(99);
    (0..90).for_each(|ticket| drop(entry.arrive(request(ticket, "/resume/"))));

    let mut effects: Vec<Effect> =
        (0..90).flat_map(|ticket| end(&mut entry, ticket, BROKEN)).collect();
    let at_once = starts(&effects).len();
    (0..45).for_each(|_| effects.extend(entry.pass(100 * MS)));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    // 0.2 of 90 requests and 50 besides are allowed; others come with time.
    let resumed = starts(&effects).len();
    assert!(at_once < resumed && resumed <= 68, "{at_once} {resumed}");
}

/// Guards against other requests that are held up by streams for which there is no repeat.
#[test]
fn a_stream_that_waits_for_a_repeat_holds_nobody_up() {
    let mut entry = entry(99);
    (0..90).for_each(|ticket| drop(entry.arrive(request(ticket, "/resume/"))));
    (0..90).for_each(|ticket| drop(end(&mut entry, ticket, BROKEN)));

    let effects = entry.arrive(request(100, "/resume/"));

    assert!(starts(&effects).iter().any(|start| start.ticket == 100), "{effects:?}");
}
