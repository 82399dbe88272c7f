//! Requests of one entry process that are reserved at the agents of targets.
//!
//! With many entry processes and many targets, the rows that entry processes exchange are older than the time
//! for which a request holds its slot. Only a target's agent then knows whether the target has a free slot.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, empty_process, limit, only_dispatch,
    request, reservations, route, target,
};
use model::reservation::Load;
use scheduler::direct::{
    DenialReason, Effect, Event, Outcome, Request, Target, Ticket,
    plan::{Repeat, Route},
};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
/// Longer than the first backoff from an unreachable agent or target.
const FIRST_BACKOFF_PASSED: Duration = Duration::from_millis(260);

/// Targets that each have an agent.
fn targets_with_agents(count: u16) -> Vec<Target> {
    let agent = |number| Some(direct_support::address(2_000 + number));
    (0..count).map(|number| Target { agent_address: agent(number), ..target(number) }).collect()
}

/// An entry process with one route whose streams can be resumed and one whose requests aren't repeated.
fn entry(targets: Vec<Target>) -> Process {
    let routes = vec![route("/resume/", Repeat::Resumable), route("/never/", Repeat::Never)];
    configured_process(configuration(1, routes, Some(limit(100_000.0))), targets)
}

/// Numbers of the reservations that are withdrawn.
fn withdrawn(effects: &[Effect]) -> Vec<u32> {
    let withdrawn = effects.iter().filter_map(|effect| match effect {
        Effect::WithdrawReservation { number, .. } => Some(*number),
        _ => None,
    });
    withdrawn.collect()
}

fn grant(process: &mut Process, ticket: Ticket, number: u32) -> Vec<Effect> {
    process.send(Event::Granted { ticket, number, load: Load::default() })
}

fn deny(process: &mut Process, ticket: Ticket, number: u32, reason: DenialReason) -> Vec<Effect> {
    process.send(Event::Denied { ticket, number, reason })
}

#[test]
fn a_request_goes_to_the_first_target_that_grants_a_slot_and_withdraws_its_other_reservations() {
    let mut entry = entry(targets_with_agents(4));

    let reserved = reservations(&entry.arrive(request(1, "/never/")));
    let effects = grant(&mut entry, 1, 2);

    assert_eq!(reserved.iter().map(|reserved| reserved.number).collect::<Vec<_>>(), [1, 2]);
    assert_ne!(reserved[0].target, reserved[1].target);
    assert_eq!(only_dispatch(&effects).target, reserved[1].target);
    assert_eq!(withdrawn(&effects), [1]);
}

#[test]
fn a_waiting_request_is_reserved_at_more_agents_but_not_at_all_of_them() {
    let mut entry = entry(targets_with_agents(12));
    let mut reserved = reservations(&entry.arrive(request(1, "/never/"))).len();

    for _ in 0..59 {
        reserved += reservations(&entry.advance(10 * MS)).len();
    }

    assert!((4..=6).contains(&reserved), "{reserved}");
}

/// A target without an agent in one pool and six targets with agents in another pool, with two slots each.
fn target_without_agent() -> Vec<Target> {
    let mut targets = targets_with_agents(6);
    targets.iter_mut().for_each(|target| target.pool = "models".into());
    targets.push(target(9));
    targets
}

/// Lets the entry process receive rows from this many other entry processes.
fn discover_peers(entry: &mut Process, others: u16) {
    for number in 0..others {
        let mut other = empty_process(50 + number);
        other.now = entry.now;
        let row = other.state.next_row(other.now.steady);
        entry.send(Event::RowsReceived(vec![row]));
    }
}

#[test]
fn many_entry_processes_reserve_a_target_without_an_agent_at_the_same_agent() {
    let reserved = |targets: Vec<Target>| {
        let mut entry = entry(targets);
        discover_peers(&mut entry, 2);
        reservations(&entry.arrive(request(1, "/never/"))).remove(0)
    };
    let mut reversed = target_without_agent();
    reversed.reverse();

    let (first, second) = (reserved(target_without_agent()), reserved(reversed));

    assert_eq!((first.target.as_str(), first.is_local_agent), ("target-9", false));
    assert_eq!(first.agent, second.agent);
    assert!(first.slots > target(9).slots);
}

#[test]
fn few_entry_processes_use_a_target_without_an_agent_without_reservations() {
    let mut entry = entry(target_without_agent());
    discover_peers(&mut entry, 1);

    let effects = entry.arrive(request(1, "/never/"));

    assert_eq!(only_dispatch(&effects).target, "target-9");
    assert!(reservations(&effects).is_empty());
}

/// Guards against needless reservations: with few entry processes, whose part of each target is more than one
/// slot, rows are newer than the time for which a slot is held, and a reservation only costs a round trip.
#[test_case(0, 3 => 2; "a process that knows no other process yet")]
#[test_case(1, 3 => 0; "two processes and targets of three slots")]
#[test_case(2, 3 => 2; "as many processes as slots")]
#[test_case(5, 3 => 2; "more processes than slots")]
fn reservations_are_made_if_a_process_has_at_most_one_slot_of_a_target(
    others: u16,
    slots: u32,
) -> usize {
    let targets = targets_with_agents(4).into_iter().map(|target| Target { slots, ..target });
    let mut entry = entry(targets.collect());
    discover_peers(&mut entry, others);

    let effects = entry.arrive(request(1, "/never/"));

    assert_eq!(dispatches(&effects).len(), usize::from(reservations(&effects).is_empty()));
    reservations(&effects).len()
}

#[test]
fn an_agent_whose_own_target_leaves_is_replaced_for_targets_without_agents() {
    let mut entry = entry(target_without_agent());
    discover_peers(&mut entry, 2);
    let before = reservations(&entry.arrive(request(1, "/never/"))).remove(0);
    let mark_leaving = |target: Target| Target {
        is_ready: target.is_ready && target.agent_address != Some(before.agent),
        ..target
    };

    let effects =
        entry.list_targets(target_without_agent().into_iter().map(mark_leaving).collect());

    assert_eq!(withdrawn(&effects), [before.number]);
    let after = reservations(&effects).remove(0);
    assert_eq!(after.target, before.target);
    assert_ne!(after.agent, before.agent);
}

#[test]
fn a_grant_to_a_request_that_is_already_dispatched_is_withdrawn() {
    let mut entry = entry(targets_with_agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);

    let late = grant(&mut entry, 1, 2);

    assert!(dispatches(&late).is_empty());
    assert_eq!(withdrawn(&late), [2]);
}

#[test]
fn the_reservation_is_withdrawn_when_the_dispatch_ends() {
    let mut entry = entry(targets_with_agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);

    let effects = entry.end_dispatch(1, Outcome::Completed);

    assert_eq!(withdrawn(&effects), [1]);
}

#[test]
fn reservations_are_withdrawn_when_the_caller_leaves() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/never/"));

    let effects = entry.send(Event::CallerDisconnected { ticket: 1, events: 0 });

    assert_eq!(withdrawn(&effects), [1, 2]);
}

#[test]
fn reservations_are_withdrawn_when_the_request_is_refused() {
    let mut entry = entry(targets_with_agents(2));
    entry.arrive(request(1, "/never/"));

    let effects = entry.advance(Duration::from_millis(600));

    assert_eq!(direct_support::refusals(&effects).len(), 1);
    assert_eq!(withdrawn(&effects), [1, 2]);
}

#[test_case(vec![]; "if its target is unlisted")]
#[test_case(
    vec![Target { is_ready: false, ..targets_with_agents(1).remove(0) }];
    "if its target is leaving"
)]
fn a_reservation_is_withdrawn(remaining: Vec<Target>) {
    let mut entry = entry(targets_with_agents(1));
    entry.arrive(request(1, "/never/"));

    let effects = entry.list_targets(remaining);

    assert_eq!(withdrawn(&effects), [1]);
    assert!(dispatches(&grant(&mut entry, 1, 1)).is_empty());
}

#[test]
fn a_target_is_used_without_reservations_until_the_backoff_from_its_agent_ends() {
    let mut entry = entry(targets_with_agents(1));
    entry.arrive(request(1, "/never/"));

    let at_once = deny(&mut entry, 1, 1, DenialReason::AgentUnreachable);
    entry.end_dispatch(1, Outcome::Completed);
    entry.advance(FIRST_BACKOFF_PASSED);
    let later = entry.arrive(request(2, "/never/"));

    assert_eq!(only_dispatch(&at_once).target, "target-0");
    assert_eq!(reservations(&later).len(), 1);
}

#[test]
fn rows_list_the_requests_at_targets_whose_agents_are_unreachable() {
    let mut entry = entry(targets_with_agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);
    let reached = entry.state.next_row(entry.now.steady).target_loads;
    entry.arrive(request(2, "/never/"));

    deny(&mut entry, 2, 1, DenialReason::AgentUnreachable);
    let unreachable = entry.state.next_row(entry.now.steady).target_loads;

    assert!(reached.is_empty(), "{reached:?}");
    assert_eq!(unreachable.iter().map(|load| load.requests).sum::<u32>(), 1, "{unreachable:?}");
}

#[test]
fn a_target_that_its_agent_cannot_reach_gets_no_reservations_during_a_backoff() {
    let mut entry = entry(targets_with_agents(1));
    entry.arrive(request(1, "/never/"));

    let at_once = deny(&mut entry, 1, 1, DenialReason::TargetUnreachable);
    let later = entry.advance(FIRST_BACKOFF_PASSED);

    assert!(dispatches(&at_once).is_empty() && reservations(&at_once).is_empty());
    assert_eq!(reservations(&later).len(), 1);
}

#[test]
fn a_stream_that_broke_off_is_reserved_at_other_targets_with_the_highest_rank() {
    let mut entry = entry(targets_with_agents(3));
    entry.arrive(request(1, "/resume/"));
    let first = only_dispatch(&grant(&mut entry, 1, 1)).target;
    entry.send(Event::AnswerBegan { ticket: 1 });

    let outcome = Outcome::Incomplete { crashed: false };
    let effects = entry.send(Event::DispatchEnded { ticket: 1, outcome, begun: true, events: 1 });

    let again = reservations(&effects);
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|again| again.target != first && again.rank == 0), "{again:?}");
}

#[test]
fn requests_spread_over_the_agents_of_a_pool() {
    let mut entry = entry(targets_with_agents(8));
    let mut reservations_per_target = [0; 8];

    for ticket in 0..400_u64 {
        // The draws of real requests are hashes, so spread the tickets over the whole range.
        let spread = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = scheduler::direct::Request { spread, ..request(ticket, "/never/") };
        for reserved in reservations(&entry.arrive(request)) {
            let number = reserved.target.trim_start_matches("target-");
            reservations_per_target
                [number.parse::<usize>().expect("a target name ends in a number")] += 1;
        }
    }

    // The mean of 800 reservations at 8 targets is 100; random deviations stay far within half and twice
    // that.
    assert!(
        reservations_per_target.iter().all(|count| (50..200).contains(count)),
        "{reservations_per_target:?}"
    );
}

/// Guards against a burst of retries beyond the retry budget: the budget charges retries one by one, while it
/// refills, to requests that wait for a slot, and all of these are dispatched at once when agents grant
/// slots.
#[test]
fn retries_that_waited_for_a_slot_stay_within_the_retry_budget_when_dispatched_together() {
    const PATIENCE: Duration = Duration::from_secs(30);
    // Retries that the budget allows in a window without new requests that follows another such window.
    const MAX_RETRIES: usize = 50;
    let patient = Route { timeout: PATIENCE, ..route("/patient/", Repeat::Resumable) };
    let mut entry =
        configured_process(configuration(1, vec![patient], None), targets_with_agents(99));
    for _ in 0..30 {
        entry.advance(Duration::from_secs(1));
        entry.confirm_configuration();
    }
    for ticket in 0..90 {
        let request = Request { timeout: Some(PATIENCE), ..request(ticket, "/patient/") };
        let number = reservations(&entry.arrive(request))[0].number;
        grant(&mut entry, ticket, number);
    }
    let mut reserved = Vec::new();
    for ticket in 0..90 {
        let outcome = Outcome::Incomplete { crashed: false };
        let broken = Event::DispatchEnded { ticket, outcome, begun: true, events: 3 };
        reserved.extend(reservations(&entry.send(broken)));
    }
    for _ in 0..200 {
        reserved.extend(reservations(&entry.advance(100 * MS)));
        entry.confirm_configuration();
    }

    let resumed =
        reserved.iter().flat_map(|reserved| grant(&mut entry, reserved.ticket, reserved.number));
    let resumed = dispatches(&resumed.collect::<Vec<_>>()).len();

    assert!(resumed <= MAX_RETRIES, "{resumed} of {MAX_RETRIES}");
}
