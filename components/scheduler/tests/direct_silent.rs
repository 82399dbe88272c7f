//! Requests whose target is silent, and what they owe their callers meanwhile.

mod direct_support;

use std::time::Duration;

use direct_support::{Process, plan, process, refusals, request, route, start, starts, targets};
use model::reservation::Load;
use scheduler::direct::{
    Effect, Event, Outcome, Target, Ticket,
    plan::{Repeat, Route},
};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

fn entry(targets: Vec<Target>) -> Process {
    let routes = vec![
        route("/resume/", Repeat::Resume),
        route("/safe/", Repeat::Safe),
        Route { stream: true, ..route("/safe-stream/", Repeat::Safe) },
        route("/never/", Repeat::Never),
    ];
    let mut entry = process(plan(1, routes, None), targets);
    // It earns repeats.
    entry.pass(Duration::from_secs(30));
    entry.confirm();
    // So long after an outage targets that vanish aren't used any more.
    entry.pass(2_500 * MS);
    entry.confirm();
    entry
}

fn quiet(entry: &mut Process, ticket: Ticket, begun: bool) -> Vec<Effect> {
    entry.send(Event::Quiet { ticket, begun })
}

fn left(effects: &[Effect]) -> Vec<String> {
    let left = effects.iter().filter_map(|effect| match effect {
        Effect::Leave { target, .. } => Some(target.clone()),
        _ => None,
    });
    left.collect()
}

/// So many requests that no target has room.
fn fill(entry: &mut Process, tickets: std::ops::Range<Ticket>) {
    for ticket in tickets {
        assert_eq!(starts(&entry.arrive(request(ticket, "/never/"))).len(), 1);
    }
}

/// Guards against runs that are dropped before there is another place to go.
#[test_case("/resume/", true; "a stream that has begun")]
#[test_case("/resume/", false; "a stream")]
#[test_case("/safe/", false; "a safe request")]
fn a_silent_target_is_kept_while_no_other_has_room(path: &str, begun: bool) {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, path));
    fill(&mut entry, 2..5);

    let mut effects = quiet(&mut entry, 1, begun);
    (0..40).for_each(|_| effects.extend(entry.pass(100 * MS)));

    assert!(left(&effects).is_empty() && refusals(&effects).is_empty(), "{effects:?}");
    assert!(entry.state.target(1).is_some());
}

/// Guards against a stream that stands still although another target has room.
#[test]
fn a_silent_target_is_left_once_another_has_room() {
    let mut entry = entry(targets(2));
    let first = start(&entry.arrive(request(1, "/resume/"))).target;
    fill(&mut entry, 2..5);
    quiet(&mut entry, 1, true);
    let elsewhere = (2..5).find(|&ticket| {
        let target = entry.state.target(ticket);
        target.is_some_and(|target| target.name != first)
    });

    let free = entry.end(elsewhere.expect("each target has a slot"), Outcome::Done);
    let moved = entry.end(1, Outcome::Silent);

    assert_eq!(left(&free).len(), 1);
    assert!(starts(&free).is_empty(), "two targets would work on it");
    let start = start(&moved);
    assert_eq!((&start.target, start.attempt), (&left(&free)[0], 2));
}

/// Guards against searches that go on for an answer that comes after all.
#[test]
fn a_target_that_speaks_again_keeps_its_request() {
    let mut entry = entry(targets(2));
    let first = start(&entry.arrive(request(1, "/resume/"))).target;
    fill(&mut entry, 2..5);
    quiet(&mut entry, 1, true);
    entry.send(Event::Spoke { ticket: 1 });

    let mut effects: Vec<Effect> =
        (2..5).flat_map(|ticket| entry.end(ticket, Outcome::Done)).collect();
    effects.extend(entry.pass(100 * MS));

    assert!(left(&effects).is_empty(), "{effects:?}");
    assert_eq!(entry.state.target(1).map(|target| &target.name), Some(&first));
}

/// Guards against answers that came in time and are thrown away for a place elsewhere.
#[test]
fn an_answer_that_comes_whole_while_another_target_waits_ends_the_request() {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, "/resume/"));
    let leaves = quiet(&mut entry, 1, true);

    let effects = entry.end(1, Outcome::Done);
    // Longer than a target that was silent is left alone.
    entry.pass(300 * MS);
    fill(&mut entry, 2..6);

    assert_eq!(left(&leaves).len(), 1);
    assert!(starts(&effects).is_empty(), "{effects:?}");
    assert_eq!(entry.state.open_requests(), 4);
}

#[test_case("/never/", false; "unsafe")]
#[test_case("/safe/", true; "an answer that has begun and can not go on elsewhere")]
fn what_can_not_be_repeated_stays_with_its_target(path: &str, begun: bool) {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, path));

    let effects = quiet(&mut entry, 1, begun);

    assert!(left(&effects).is_empty(), "{effects:?}");
}

/// Guards against more repeats than all processes together may make, and against runs that are dropped
/// since none is left.
#[test]
fn requests_of_silent_targets_move_within_the_budget() {
    let mut entry = entry(targets(60));
    for ticket in 0..60 {
        entry.arrive(request(ticket, "/resume/"));
    }

    let moved: usize = (0..60).map(|ticket| left(&quiet(&mut entry, ticket, true)).len()).sum();

    // 0.2 of 60 requests and 50 besides are allowed in all; less may be used at once.
    assert!((20..50).contains(&moved), "{moved}");
    assert_eq!(entry.state.open_requests(), 60);
}

/// Guards against repeats that are used up by searches that came to nothing.
#[test]
fn a_search_that_is_withdrawn_takes_no_repeat() {
    let mut entry = entry(targets(1));
    entry.arrive(request(1, "/resume/"));
    for _ in 0..200 {
        quiet(&mut entry, 1, true);
        entry.send(Event::Spoke { ticket: 1 });
    }
    let more = (0..2).map(|number| Target { slots: 2, ..direct_support::target(number) });
    entry.list(more.collect());

    let effects = quiet(&mut entry, 1, true);

    assert_eq!(left(&effects), ["target-1"]);
}

fn agents(count: u16) -> Vec<Target> {
    let agent = |number| Some(direct_support::address(2_000 + number));
    let target = |number| Target { agent: agent(number), ..direct_support::target(number) };
    (0..count).map(target).collect()
}

fn grant(entry: &mut Process, ticket: Ticket, number: u32) -> Vec<Effect> {
    entry.send(Event::Granted { ticket, number, load: Load::default() })
}

fn reserved(effects: &[Effect]) -> Vec<(u32, String)> {
    let reserved = effects.iter().filter_map(|effect| match effect {
        Effect::Reserve(asked) => Some((asked.number, asked.target.clone())),
        _ => None,
    });
    reserved.collect()
}

fn withdrawn(effects: &[Effect]) -> Vec<u32> {
    let withdrawn = effects.iter().filter_map(|effect| match effect {
        Effect::Withdraw { number, .. } => Some(*number),
        _ => None,
    });
    withdrawn.collect()
}

/// Guards against room that an agent keeps for a run that is over, or takes from one that isn't.
#[test]
fn the_room_at_a_silent_target_is_given_back_when_it_is_left() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    let first = start(&grant(&mut entry, 1, 1)).target;

    let sought = quiet(&mut entry, 1, true);
    let (number, target) = reserved(&sought)[0].clone();
    let granted = grant(&mut entry, 1, number);
    let moved = entry.end(1, Outcome::Silent);

    assert!(reserved(&sought).iter().all(|(_, target)| *target != first));
    assert!(!withdrawn(&granted).contains(&1) && !withdrawn(&granted).contains(&number));
    assert_eq!(left(&granted), std::slice::from_ref(&target));
    assert_eq!((withdrawn(&moved), start(&moved).target), (vec![1], target));
}

/// Guards against room that agents keep for a request that stays where it is.
#[test_case(|entry: &mut Process| entry.send(Event::Spoke { ticket: 1 }); "its target speaks again")]
#[test_case(|entry: &mut Process| entry.pass(Duration::from_secs(5)); "its time is over")]
fn a_request_that_stays_leaves_its_reservations(stays: fn(&mut Process) -> Vec<Effect>) {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let sought = quiet(&mut entry, 1, true);

    let effects = stays(&mut entry);

    let numbers: Vec<u32> = reserved(&sought).into_iter().map(|(number, _)| number).collect();
    assert!(!numbers.is_empty());
    assert!(numbers.iter().all(|number| withdrawn(&effects).contains(number)), "{effects:?}");
    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert!(starts(&grant(&mut entry, 1, numbers[0])).is_empty());
}

/// Guards against the room of both targets that is kept after the caller has left.
#[test]
fn a_caller_that_leaves_while_its_request_moves_gives_all_room_back() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let sought = quiet(&mut entry, 1, true);
    let number = reserved(&sought)[0].0;
    grant(&mut entry, 1, number);

    let effects = entry.send(Event::Left { ticket: 1, events: 3 });

    assert_eq!(withdrawn(&effects), [1, number]);
}

/// Guards against requests that go to a target which has left since it had room.
#[test]
fn a_request_does_not_move_to_a_target_that_left() {
    let mut entry = entry(agents(2));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let sought = quiet(&mut entry, 1, true);
    let (number, target) = reserved(&sought)[0].clone();
    grant(&mut entry, 1, number);
    entry.list(agents(2).into_iter().filter(|listed| listed.name != target).collect());

    let moved = entry.end(1, Outcome::Silent);

    assert!(starts(&moved).is_empty() && refusals(&moved).is_empty(), "{moved:?}");
    assert_eq!(withdrawn(&moved), [1, number]);
}

/// Guards against searches that are begun anew when the silent target's connection breaks off.
#[test]
fn a_silent_target_that_breaks_off_leaves_the_search_as_it_is() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let sought = quiet(&mut entry, 1, true);

    let broken = entry.end(1, Outcome::Lost { crashed: true });
    let granted = grant(&mut entry, 1, reserved(&sought)[0].0);

    assert!(refusals(&broken).is_empty() && reserved(&broken).is_empty(), "{broken:?}");
    assert_eq!(withdrawn(&broken), [1]);
    assert_eq!(start(&granted).attempt, 2);
}

/// Guards against an answer that is joined from two runs: its first event and the order to leave its target
/// cross.
#[test]
fn a_safe_request_whose_answer_begins_as_it_is_to_move_does_not_go_on_elsewhere() {
    let mut entry = entry(targets(2));
    entry.arrive(request(1, "/safe-stream/"));
    let leaves = quiet(&mut entry, 1, false);
    entry.send(Event::Spoke { ticket: 1 });
    entry.send(Event::Began { ticket: 1 });

    let ended = Event::Ended { ticket: 1, outcome: Outcome::Silent, begun: true, events: 1 };
    let effects = entry.send(ended);

    assert_eq!(left(&leaves).len(), 1);
    assert!(starts(&effects).is_empty(), "what went to its caller comes again: {effects:?}");
    assert_eq!(refusals(&effects).len(), 1);
}

/// Time until a caller is told that its target failed and no other has room.
fn time_to_failure(is_quiet: bool) -> Duration {
    let mut entry = entry(targets(1));
    entry.arrive(request(1, "/safe/"));
    if is_quiet {
        quiet(&mut entry, 1, false);
    }
    let mut effects = entry.end(1, Outcome::Failed);
    let mut passed = Duration::ZERO;
    let is_told = |effect: &Effect| matches!(effect, Effect::Pass { .. } | Effect::Refuse { .. });
    while !effects.iter().any(is_told) && passed < Duration::from_secs(6) {
        passed += 100 * MS;
        effects.extend(entry.pass(100 * MS));
    }
    passed
}

/// Guards against a failure that is known and kept from its caller until the caller's time is over.
#[test]
fn a_failure_after_silence_is_told_as_soon_as_one_without() {
    let after_silence = time_to_failure(true);
    let without = time_to_failure(false);

    assert_eq!(after_silence, without);
}

/// Guards against room that is kept for a request which doesn't come: its caller takes no more of what its
/// target said as the order to leave was on its way.
#[test]
fn room_for_a_request_that_does_not_move_is_given_back() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    grant(&mut entry, 1, 1);
    let sought = quiet(&mut entry, 1, true);
    let (number, _) = reserved(&sought).first().cloned().expect("it asks for room");
    let leaves = grant(&mut entry, 1, number);
    entry.send(Event::Spoke { ticket: 1 });

    let mut effects = Vec::new();
    for _ in 0..60 {
        effects.extend(entry.pass(100 * MS));
        entry.confirm();
    }

    assert_eq!(left(&leaves).len(), 1);
    assert!(withdrawn(&effects).contains(&number), "its time has been over for a second");
}

/// Guards against answers that are ended since a silent target was left and the next one doesn't take the
/// request (LOST): the run that was closed for it might still have answered its caller, who waits for 5 s.
#[test_case("/safe/", false, Outcome::Unreached; "a safe request isn't reached")]
#[test_case("/safe/", false, Outcome::Rejected; "a safe request is rejected")]
#[test_case("/resume/", false, Outcome::Unreached; "a stream isn't reached")]
#[test_case("/resume/", true, Outcome::Unreached; "a stream that has begun isn't reached")]
#[test_case("/resume/", true, Outcome::Rejected; "a stream that has begun is rejected")]
fn a_request_that_left_its_silent_target_waits_as_long_as_its_caller(
    path: &str,
    begun: bool,
    next: Outcome,
) {
    let mut entry = entry(targets(2));
    let first = start(&entry.arrive(request(1, path))).target;
    let leaves = quiet(&mut entry, 1, begun);
    let ended = |outcome| Event::Ended { ticket: 1, outcome, begun, events: 0 };
    let moved = entry.send(ended(Outcome::Silent));
    let mut effects = entry.send(ended(next));
    // Only the target that was silent is left.
    let listed = targets(2).into_iter().filter(|target| target.name == first);
    effects.extend(entry.list(listed.collect()));

    (0..48).for_each(|_| effects.extend(entry.pass(100 * MS)));

    assert_eq!((left(&leaves).len(), starts(&moved).len()), (1, 1));
    assert!(refusals(&effects).is_empty(), "{effects:?}");
}
