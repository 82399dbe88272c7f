//! Direct dispatch while the platform's service comes back from an older copy of itself.
//!
//! Load: requests go on with a key and without while the copy shows an older configuration, targets
//! that had left, and leaving ones as ready; processes start meanwhile.

mod direct_support;

use std::time::Duration;

use direct_support::{
    FRESHNESS, Process, address, plan, process, refusal, request, route, settings, starts, target,
    targets,
};
use scheduler::direct::{self, Event, Reason, Target, plan::Repeat};

/// Longer than writers take to write again what a copy lacks.
const REWRITTEN: Duration = Duration::from_millis(1_100);
/// Longer than living targets take to be listed again.
const RETURNED: Duration = Duration::from_millis(2_300);

fn served(version: u64) -> Process {
    process(plan(version, vec![route("/a/", Repeat::Safe)], None), targets(2))
}

/// The platform comes back from a copy that has an older configuration.
fn drill(process: &mut Process, version: u64) {
    process.era += 1;
    prove(process, version);
}

fn prove(process: &mut Process, version: u64) {
    let (boot, era) = (process.now.boot, process.era);
    process.send(Event::Confirmed { boot, version, era });
}

fn dispatched(process: &mut Process, ticket: u64) -> Vec<String> {
    let started = starts(&process.arrive(request(ticket, "/a/")));
    started.into_iter().map(|start| start.target).collect()
}

#[test]
fn a_copy_with_an_older_configuration_proves_nothing() {
    let mut process = served(7);

    for _ in 0..5 {
        drill(&mut process, 6);
        process.pass(FRESHNESS / 4);
        prove(&mut process, 6);
    }

    let refused = refusal(&process.arrive(request(1, "/a/")));
    assert_eq!(refused.reason, Reason::NotReady);
    assert_eq!(process.state.known().plan, 7);
}

#[test]
fn what_was_written_again_proves_after_the_time_that_writers_take() {
    let mut process = served(7);
    drill(&mut process, 6);

    for _ in 0..5 {
        process.pass(REWRITTEN);
        prove(&mut process, 7);
    }

    assert_eq!(dispatched(&mut process, 1).len(), 1);
}

#[test]
fn targets_that_a_copy_lacks_are_used_until_they_are_written_again() {
    let mut process = served(7);
    drill(&mut process, 7);

    process.list(Vec::new());

    assert_eq!(dispatched(&mut process, 1).len(), 1);
    process.pass(RETURNED);
    prove(&mut process, 7);
    assert_eq!(dispatched(&mut process, 2).len(), 0);
}

#[test]
fn a_target_that_had_left_does_not_return_with_a_copy() {
    let mut process = served(7);
    process.list(vec![target(1)]);
    drill(&mut process, 7);

    process.list(targets(2));

    process.pass(RETURNED);
    prove(&mut process, 7);
    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

#[test]
fn a_target_that_was_leaving_stays_so_when_a_copy_shows_it_ready() {
    let mut process = served(7);
    process.list(vec![Target { ready: false, ..target(0) }, target(1)]);
    drill(&mut process, 7);

    process.list(targets(2));

    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

#[test]
fn a_later_start_of_a_target_that_had_left_is_used() {
    let mut process = served(7);
    process.list(vec![target(1)]);
    drill(&mut process, 7);

    process.list(vec![Target { incarnation: 2, ..target(0) }]);

    process.pass(RETURNED);
    assert_eq!(dispatched(&mut process, 1), ["target-0"]);
}

#[test]
fn a_position_of_a_newer_era_goes_before_any_offset() {
    let mut process = served(7);
    for _ in 0..5 {
        process.list(targets(2));
    }
    process.era += 1;

    process.list(vec![Target { ready: false, ..target(0) }, target(1)]);

    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

/// A process that starts on a copy in a later era.
fn starting(other: &Process) -> Process {
    let state = direct::open(other.now.steady, settings(2));
    let mut process = Process { state, now: other.now, era: 2, address: address(2) };
    process.send(Event::Planned(plan(6, vec![route("/a/", Repeat::Safe)], None).into()));
    process.list(targets(2));
    prove(&mut process, 6);
    process
}

#[test]
fn a_process_that_starts_on_a_copy_serves_no_key_before_it_asked_another() {
    let other = served(7);
    let mut process = starting(&other);
    assert_eq!(refusal(&process.arrive(request(1, "/a/"))).reason, Reason::NotReady);

    process.ask(&other);
    prove(&mut process, 6);

    // It knows a newer configuration now, which the copy doesn't prove.
    assert_eq!(process.state.known().plan, 7);
    assert_eq!(refusal(&process.arrive(request(2, "/a/"))).reason, Reason::NotReady);
    prove(&mut process, 7);
    assert_eq!(dispatched(&mut process, 3).len(), 1);
}

#[test]
fn one_that_reaches_no_other_goes_by_the_copy_after_a_while() {
    let mut process = starting(&served(7));

    process.pass(Duration::from_millis(1_600));
    prove(&mut process, 6);

    assert_eq!(dispatched(&mut process, 1).len(), 1);
}
