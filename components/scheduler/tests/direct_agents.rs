//! Requests of one entry process that wait at the agents of targets.
//!
//! Pattern: many entry processes before many targets. What they tell each other is older than the time
//! for which a slot is held, so that only a target's agent knows whether it has room.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, blank, limit, plan, process, request, reservations, route, start, starts, target,
};
use model::reservation::Load;
use scheduler::direct::{
    Effect, Event, Lapse, Outcome, Request, Target, Ticket,
    plan::{Repeat, Route},
};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
/// Longer than an agent or a target that was not reached is left alone at first.
const BACKOFF: Duration = Duration::from_millis(260);

fn agents(count: u16) -> Vec<Target> {
    let agent = |number| Some(direct_support::address(2_000 + number));
    (0..count).map(|number| Target { agent: agent(number), ..target(number) }).collect()
}

fn entry(targets: Vec<Target>) -> Process {
    let routes = vec![route("/resume/", Repeat::Resume), route("/never/", Repeat::Never)];
    process(plan(1, routes, Some(limit(100_000.0))), targets)
}

fn withdrawn(effects: &[Effect]) -> Vec<u32> {
    let withdrawn = effects.iter().filter_map(|effect| match effect {
        Effect::Withdraw { number, .. } => Some(*number),
        _ => None,
    });
    withdrawn.collect()
}

fn grant(process: &mut Process, ticket: Ticket, number: u32) -> Vec<Effect> {
    process.send(Event::Granted { ticket, number, load: Load::default() })
}

fn deny(process: &mut Process, ticket: Ticket, number: u32, lapse: Lapse) -> Vec<Effect> {
    process.send(Event::Denied { ticket, number, lapse })
}

#[test]
fn a_request_goes_to_the_first_agent_that_has_room_and_leaves_the_others() {
    let mut entry = entry(agents(4));

    let reserved = reservations(&entry.arrive(request(1, "/never/")));
    let effects = grant(&mut entry, 1, 2);

    assert_eq!(reserved.iter().map(|reserved| reserved.number).collect::<Vec<_>>(), [1, 2]);
    assert_ne!(reserved[0].target, reserved[1].target);
    assert_eq!(start(&effects).target, reserved[1].target);
    assert_eq!(withdrawn(&effects), [1]);
}

#[test]
fn a_request_that_waits_is_reserved_at_more_agents_but_not_at_all() {
    let mut entry = entry(agents(12));
    let mut reserved = reservations(&entry.arrive(request(1, "/never/"))).len();

    for _ in 0..59 {
        reserved += reservations(&entry.pass(10 * MS)).len();
    }

    assert!((4..=6).contains(&reserved), "{reserved}");
}

/// A plain target beside others that have agents, of two slots each.
fn beside_agents() -> Vec<Target> {
    let mut targets = agents(6);
    targets.iter_mut().for_each(|target| target.pool = "models".into());
    targets.push(target(9));
    targets
}

/// Hears of so many other entry processes.
fn meet(entry: &mut Process, others: u16) {
    for number in 0..others {
        let mut other = blank(50 + number);
        other.now = entry.now;
        let row = other.state.row(other.now.steady);
        entry.send(Event::Heard(vec![row]));
    }
}

#[test]
fn many_entries_reserve_a_target_without_an_agent_at_the_same_other_one() {
    let reserved = |targets: Vec<Target>| {
        let mut entry = entry(targets);
        meet(&mut entry, 2);
        reservations(&entry.arrive(request(1, "/never/"))).remove(0)
    };
    let mut reversed = beside_agents();
    reversed.reverse();

    let (one, other) = (reserved(beside_agents()), reserved(reversed));

    assert_eq!((one.target.as_str(), one.beside), ("target-9", false));
    assert_eq!(one.agent, other.agent);
    assert!(one.slots > target(9).slots);
}

#[test]
fn few_entries_share_a_target_without_an_agent() {
    let mut entry = entry(beside_agents());
    meet(&mut entry, 1);

    let effects = entry.arrive(request(1, "/never/"));

    assert_eq!(start(&effects).target, "target-9");
    assert!(reservations(&effects).is_empty());
}

/// Pattern: few entry processes, each of which has more than a slot of every target: rows are younger than
/// the time for which a slot is held, and an agent only costs the way to it.
#[test_case(0, 3 => 2; "a process that knows of no others yet")]
#[test_case(1, 3 => 0; "two before targets of three slots")]
#[test_case(2, 3 => 2; "as many as slots")]
#[test_case(5, 3 => 2; "more than slots")]
fn agents_are_asked_where_a_process_has_a_slot_or_less(others: u16, slots: u32) -> usize {
    let targets = agents(4).into_iter().map(|target| Target { slots, ..target });
    let mut entry = entry(targets.collect());
    meet(&mut entry, others);

    let effects = entry.arrive(request(1, "/never/"));

    assert_eq!(starts(&effects).len(), usize::from(reservations(&effects).is_empty()));
    reservations(&effects).len()
}

#[test]
fn an_agent_whose_own_target_leaves_admits_to_no_other() {
    let mut entry = entry(beside_agents());
    meet(&mut entry, 2);
    let before = reservations(&entry.arrive(request(1, "/never/"))).remove(0);
    let leaves = |target: Target| Target {
        ready: target.ready && target.agent != Some(before.agent),
        ..target
    };

    let effects = entry.list(beside_agents().into_iter().map(leaves).collect());

    assert_eq!(withdrawn(&effects), [before.number]);
    let after = reservations(&effects).remove(0);
    assert_eq!(after.target, before.target);
    assert_ne!(after.agent, before.agent);
}

#[test]
fn room_that_comes_too_late_is_given_back() {
    let mut entry = entry(agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);

    let late = grant(&mut entry, 1, 2);

    assert!(starts(&late).is_empty());
    assert_eq!(withdrawn(&late), [2]);
}

#[test]
fn the_room_is_given_back_when_the_run_ends() {
    let mut entry = entry(agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);

    let effects = entry.end(1, Outcome::Done);

    assert_eq!(withdrawn(&effects), [1]);
}

#[test]
fn a_caller_that_leaves_takes_its_reservations_along() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/never/"));

    let effects = entry.send(Event::Left { ticket: 1, events: 0 });

    assert_eq!(withdrawn(&effects), [1, 2]);
}

#[test]
fn a_request_that_is_refused_leaves_no_reservation() {
    let mut entry = entry(agents(2));
    entry.arrive(request(1, "/never/"));

    let effects = entry.pass(Duration::from_millis(600));

    assert_eq!(direct_support::refusals(&effects).len(), 1);
    assert_eq!(withdrawn(&effects), [1, 2]);
}

#[test_case(vec![]; "whose target is gone")]
#[test_case(vec![Target { ready: false, ..agents(1).remove(0) }]; "whose target is leaving")]
fn a_reservation_is_left(left: Vec<Target>) {
    let mut entry = entry(agents(1));
    entry.arrive(request(1, "/never/"));

    let effects = entry.list(left);

    assert_eq!(withdrawn(&effects), [1]);
    assert!(starts(&grant(&mut entry, 1, 1)).is_empty());
}

#[test]
fn a_target_whose_agent_is_away_is_used_by_what_others_tell_until_that_is_back() {
    let mut entry = entry(agents(1));
    entry.arrive(request(1, "/never/"));

    let at_once = deny(&mut entry, 1, 1, Lapse::Away);
    entry.end(1, Outcome::Done);
    entry.pass(BACKOFF);
    let later = entry.arrive(request(2, "/never/"));

    assert_eq!(start(&at_once).target, "target-0");
    assert_eq!(reservations(&later).len(), 1);
}

#[test]
fn what_runs_where_no_agent_is_asked_is_told_to_others() {
    let mut entry = entry(agents(2));
    entry.arrive(request(1, "/never/"));
    grant(&mut entry, 1, 1);
    let told = entry.state.row(entry.now.steady).running;
    entry.arrive(request(2, "/never/"));

    deny(&mut entry, 2, 1, Lapse::Away);
    let away = entry.state.row(entry.now.steady).running;

    assert!(told.is_empty(), "{told:?}");
    assert_eq!(away.iter().map(|busy| busy.requests).sum::<u32>(), 1, "{away:?}");
}

#[test]
fn a_target_that_its_agent_does_not_reach_is_left_alone_for_a_while() {
    let mut entry = entry(agents(1));
    entry.arrive(request(1, "/never/"));

    let at_once = deny(&mut entry, 1, 1, Lapse::Unreached);
    let later = entry.pass(BACKOFF);

    assert!(starts(&at_once).is_empty() && reservations(&at_once).is_empty());
    assert_eq!(reservations(&later).len(), 1);
}

#[test]
fn a_stream_that_broke_off_is_reserved_anew_before_all_others() {
    let mut entry = entry(agents(3));
    entry.arrive(request(1, "/resume/"));
    let first = start(&grant(&mut entry, 1, 1)).target;
    entry.send(Event::Began { ticket: 1 });

    let outcome = Outcome::Lost { crashed: false };
    let effects = entry.send(Event::Ended { ticket: 1, outcome, begun: true, events: 1 });

    let again = reservations(&effects);
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|again| again.target != first && again.rank == 0), "{again:?}");
}

#[test]
fn requests_spread_over_the_agents_of_a_pool() {
    let mut entry = entry(agents(8));
    let mut times = [0; 8];

    for ticket in 0..400_u64 {
        // Draws of real requests are hashes.
        let draw = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let asked = scheduler::direct::Request { draw, ..request(ticket, "/never/") };
        for reserved in reservations(&entry.arrive(asked)) {
            let number = reserved.target.trim_start_matches("target-");
            times[number.parse::<usize>().expect("it is a number")] += 1;
        }
    }

    // 800 reservations are 100 each; chance alone stays far within half and twice that.
    assert!(times.iter().all(|times| (50..200).contains(times)), "{times:?}");
}

/// Guards against repeats beyond the budget: it gives them out one by one, while it refills, to requests that
/// wait for room, and all of them are dispatched in the same moment once agents grant it.
#[test]
fn repeats_that_waited_for_room_do_not_pass_the_budget_together() {
    const PATIENT: Duration = Duration::from_secs(30);
    // Allowed in a window in which nothing is asked for, as in the one before.
    const SLACK: usize = 50;
    let patient = Route { timeout: PATIENT, ..route("/patient/", Repeat::Resume) };
    let mut entry = process(plan(1, vec![patient], None), agents(99));
    for _ in 0..30 {
        entry.pass(Duration::from_secs(1));
        entry.confirm();
    }
    for ticket in 0..90 {
        let request = Request { patience: Some(PATIENT), ..request(ticket, "/patient/") };
        let number = reservations(&entry.arrive(request))[0].number;
        grant(&mut entry, ticket, number);
    }
    let mut reserved = Vec::new();
    for ticket in 0..90 {
        let outcome = Outcome::Lost { crashed: false };
        let broken = Event::Ended { ticket, outcome, begun: true, events: 3 };
        reserved.extend(reservations(&entry.send(broken)));
    }
    for _ in 0..200 {
        reserved.extend(reservations(&entry.pass(100 * MS)));
        entry.confirm();
    }

    let resumed = reserved.iter().flat_map(|it| grant(&mut entry, it.ticket, it.number));
    let resumed = starts(&resumed.collect::<Vec<_>>()).len();

    assert!(resumed <= SLACK, "{resumed} of {SLACK}");
}
