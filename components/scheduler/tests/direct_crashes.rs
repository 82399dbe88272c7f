//! Bodies that crash targets, counted over entry processes that are killed.

mod direct_support;

use direct_support::{
    Process, blank, plan, refusals, request, route, settings, start, starts, targets,
};
use scheduler::direct::{self, Event, Outcome, Request, Ticket, plan::Repeat};

fn entry(number: u16, incarnation: u64, like: &Process) -> Process {
    let mut settings = settings(number);
    settings.incarnation = incarnation;
    let state = direct::open(like.now.steady, settings);
    let mut entry = Process { state, now: like.now, ..blank(number) };
    entry.send(Event::Planned(plan(1, vec![route("/a/", Repeat::Safe)], None).into()));
    entry.confirm();
    entry.list(targets(9));
    entry
}

fn poison(ticket: Ticket) -> Request {
    Request { fingerprint: [9; 16], ..request(ticket, "/a/") }
}

/// A target dies with the body.
fn crash(entry: &mut Process, ticket: Ticket) {
    let target = start(&entry.arrive(poison(ticket))).target;
    entry.end(ticket, Outcome::Lost { crashed: true });
    entry.send(Event::Left { ticket, events: 0 });
    entry.send(Event::Probed { target, reached: false });
}

fn hear(entry: &mut Process, other: &mut Process) {
    let row = other.state.row(other.now.steady);
    entry.send(Event::Heard(vec![row]));
}

fn is_refused(entry: &mut Process, ticket: Ticket) -> bool {
    let effects = entry.arrive(poison(ticket));
    starts(&effects).is_empty() && !refusals(&effects).is_empty()
}

#[test]
fn a_body_that_another_process_saw_crash_targets_is_refused() {
    let clock = blank(1);
    let (mut one, mut other) = (entry(1, 1, &clock), entry(2, 1, &clock));
    (1..=2).for_each(|ticket| crash(&mut one, ticket));

    hear(&mut other, &mut one);

    assert!(is_refused(&mut other, 1));
}

/// Guards against crashes that are forgotten everywhere once the process that saw them is killed.
#[test]
fn crashes_are_known_after_the_process_that_saw_them_is_killed() {
    let clock = blank(1);
    let (mut one, mut other) = (entry(1, 1, &clock), entry(2, 1, &clock));
    (1..=2).for_each(|ticket| crash(&mut one, ticket));
    hear(&mut other, &mut one);
    let mut again = entry(1, 2, &clock);
    again.now.steady += std::time::Duration::from_millis(10);

    hear(&mut other, &mut again);
    hear(&mut again, &mut other);

    assert!(is_refused(&mut other, 1), "by the one that lives");
    assert!(is_refused(&mut again, 1), "by the one that started again");
}
