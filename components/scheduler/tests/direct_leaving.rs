//! Targets that state in their answers that they are leaving, while the platform's list shows them as ready.

mod direct_support;

use std::{collections::BTreeSet, time::Duration};

use direct_support::{
    Process, address, configuration, configured_process, dispatches, empty_process, only_dispatch,
    request, reservations, route, settings, target, targets,
};
use model::reservation::Load;
use scheduler::direct::{
    self, Effect, Event, LogEntry, Outcome, Target, Ticket, plan::Repeat, relay::Era,
};
use test_case::test_case;

/// Returns a process before targets without agents.
fn process(targets: Vec<Target>) -> Process {
    configured_process(configuration(1, vec![route("/a/", Repeat::Idempotent)], None), targets)
}

/// Returns a process before targets that have an agent each.
fn process_with_agents(count: u16) -> Process {
    process(
        (0..count)
            .map(|n| Target { agent_address: Some(address(2_000 + n)), ..target(n) })
            .collect(),
    )
}

/// Lets the target of a new request state that it is leaving, and ends the request. Returns the target.
fn hear_leaving(process: &mut Process, ticket: Ticket) -> String {
    let target = only_dispatch(&process.arrive(request(ticket, "/a/"))).target;
    process.send(Event::LeavingStated { ticket });
    process.end_dispatch(ticket, Outcome::Completed);
    target
}

/// Returns the targets that get the requests with these tickets, each of which ends before the next arrives.
fn used_targets(process: &mut Process, tickets: std::ops::Range<Ticket>) -> BTreeSet<String> {
    let mut used = BTreeSet::new();
    for ticket in tickets {
        for dispatch in dispatches(&process.arrive(request(ticket, "/a/"))) {
            used.insert(dispatch.target);
        }
        process.end_dispatch(ticket, Outcome::Completed);
    }
    used
}

/// Guards against processes that use a target of which another process has heard that it is leaving: while the
/// platform is away only this process knows.
#[test]
fn other_processes_learn_from_rows_that_a_target_is_leaving() {
    let mut first = process(targets(3));
    let mut second = empty_process(2);
    second.now = first.now;
    second.state = direct::open(second.now.steady, settings(2));
    second.send(Event::ConfigurationRead(
        first.state.configuration_in_force().expect("a configuration").clone(),
    ));
    second.confirm_configuration();
    second.list_targets(targets(3));
    let leaving = hear_leaving(&mut first, 1);

    let row = first.state.next_row(first.now.steady);
    let effects = second.send(Event::RowsReceived(vec![row]));

    let logged = effects.iter().any(|effect| {
        matches!(effect, Effect::Log(LogEntry::Leaving { target, is_relayed: true, .. }) if *target == leaving)
    });
    assert!(logged, "{effects:?}");
    assert!(!used_targets(&mut second, 1..20).contains(&leaving));
    // The second process tells others in turn.
    let row = second.state.next_row(second.now.steady);
    assert_eq!(row.leaving_targets, [(leaving, 1)]);
}

/// Guards against rows that carry a statement for longer than the list lacks it.
#[test]
fn a_target_that_the_list_shows_as_draining_is_not_in_rows() {
    let mut process = process(targets(3));
    let leaving = hear_leaving(&mut process, 1);

    let is_ready = |name: &String| *name != leaving;
    let listed = targets(3).into_iter().map(|t| Target { is_ready: is_ready(&t.name), ..t });
    process.list_targets(listed.collect());

    assert_eq!(process.state.next_row(process.now.steady).leaving_targets, []);
}

/// Guards against a statement that is lost while the list lacks the target.
#[test_case(1, 1 => false; "the same start")]
#[test_case(1, 2 => true; "another start")]
fn a_statement_belongs_to_a_start_of_the_target(before: u64, after: u64) -> bool {
    let listed = |incarnation| vec![Target { incarnation, ..target(0) }];
    let mut process = process(listed(before));
    hear_leaving(&mut process, 1);
    process.list_targets(vec![]);
    process.advance(Duration::from_secs(20));
    process.confirm_configuration();

    process.list_targets(listed(after));

    !used_targets(&mut process, 2..5).is_empty()
}

/// Guards against a restored backup of the platform's service that brings a leaving target back.
#[test]
fn a_statement_holds_in_a_new_era() {
    let mut process = process(targets(2));
    let leaving = hear_leaving(&mut process, 1);
    process.era = Era::from(2_u8);
    process.confirm_configuration();
    process.list_targets(vec![]);
    process.advance(Duration::from_secs(20));
    process.confirm_configuration();

    process.list_targets(targets(2));

    let used = used_targets(&mut process, 2..20);
    assert!(!used.is_empty() && !used.contains(&leaving), "{used:?}");
}

/// Guards against a request that an agent admits to a target after its statement: the slot is given back.
#[test_case(false; "granted after the statement")]
#[test_case(true; "waiting for the grant")]
fn reservations_at_a_leaving_target_are_withdrawn(is_checked_before_grant: bool) {
    let mut process = process_with_agents(2);
    let first = reservations(&process.arrive(request(1, "/a/")));
    let granted = &first[0];
    process.send(Event::Granted { ticket: 1, number: granted.number, load: Load::default() });
    let second = reservations(&process.arrive(request(2, "/a/")));
    let queued = second.iter().find(|reserved| reserved.target == granted.target).expect("both");

    let mut effects = process.send(Event::LeavingStated { ticket: 1 });
    if !is_checked_before_grant {
        let number = queued.number;
        effects.extend(process.send(Event::Granted { ticket: 2, number, load: Load::default() }));
    }

    let is_withdrawn = effects.iter().any(|effect| {
        matches!(effect, Effect::WithdrawReservation { ticket: 2, number } if *number == queued.number)
    });
    assert!(is_withdrawn, "{effects:?}");
    assert_eq!(dispatches(&effects).len(), 0);
}

/// Guards against requests that are cut because their target is leaving: it finishes what it runs.
#[test]
fn requests_at_a_leaving_target_go_on() {
    let mut process = process(targets(1));
    process.arrive(request(1, "/a/"));
    process.arrive(request(2, "/a/"));

    let effects = process.send(Event::LeavingStated { ticket: 1 });

    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::CancelDispatch { .. })),
        "{effects:?}"
    );
    assert!(process.state.dispatch_view(2, process.now.steady).is_some());
}

/// Guards against a second try that goes to a target which stated with its failure that it is leaving.
#[test]
fn a_second_try_does_not_go_to_a_target_that_is_leaving() {
    let mut process = process(targets(2));
    let first = only_dispatch(&process.arrive(request(1, "/a/")));
    process.send(Event::LeavingStated { ticket: 1 });

    let effects = process.end_dispatch(1, Outcome::Rejected);

    assert_ne!(only_dispatch(&effects).target, first.target);
}

/// Guards against a target whose address another one has, and that gets requests again with each change of the list.
#[test]
fn a_replaced_target_gets_no_requests_while_the_list_still_has_it() {
    let mut process = process(targets(2));
    let replaced = only_dispatch(&process.arrive(request(1, "/a/"))).target;
    process.end_dispatch(1, Outcome::Replaced);
    process.end_dispatch(1, Outcome::Completed);

    process.list_targets(targets(2).into_iter().chain([target(7)]).collect());

    assert!(!used_targets(&mut process, 2..20).contains(&replaced));
}

/// Guards against a target that is out for good because of one wrong answer, on a site where the list rarely
/// changes.
#[test]
fn a_target_that_answers_once_that_it_was_replaced_is_tried_again() {
    let mut process = process(targets(1));
    process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Replaced);
    process.advance(Duration::from_secs(10));
    process.confirm_configuration();

    assert_eq!(used_targets(&mut process, 2..3).len(), 1);
}
