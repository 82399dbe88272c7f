//! Direct dispatch: targets that start again under the name that they had.
//!
//! Load: a target dies with all its slots taken and is listed again at once, with the same name and
//! address; entry processes hear of it at different times, and what the earlier start wrote may be
//! read after what the last one wrote.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, limit, plan, process, refusal, request, route, settings, start, starts, target,
    targets,
};
use scheduler::direct::{
    self, Effect, Event, Note, Outcome, Reason, Target,
    peers::Busy,
    plan::Repeat,
    relay::{News, Topic},
};

const SLOTS: u64 = 2;

fn served(targets: Vec<Target>) -> Process {
    process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets)
}

fn restarted(number: u16, incarnation: u64) -> Target {
    Target { incarnation, ..target(number) }
}

/// How many of the next requests are dispatched at once.
fn room(process: &mut Process, from: u64) -> usize {
    (from..from + 10).map(|ticket| starts(&process.arrive(request(ticket, "/a/"))).len()).sum()
}

#[test]
fn what_ran_at_an_earlier_start_holds_no_slot() {
    let mut process = served(vec![target(1)]);
    assert_eq!(room(&mut process, 0), 2);

    let effects = process.list(vec![restarted(1, 2)]);

    // Two of those that waited take its slots.
    assert_eq!(starts(&effects).len(), 2);
    let told = |effect: &Effect| matches!(effect, Effect::Note(Note::Restarted(name)) if name == "target-1");
    assert!(effects.iter().any(told));
}

#[test]
fn the_end_of_what_ran_at_an_earlier_start_frees_no_slot() {
    let mut process = served(vec![target(1)]);
    process.arrive(request(1, "/a/"));
    process.list(vec![restarted(1, 2)]);
    assert_eq!(room(&mut process, 10), 2);

    let effects = process.end(1, Outcome::Done);

    assert!(starts(&effects).is_empty());
}

#[test]
fn pace_failures_and_being_left_alone_end_with_a_start() {
    let mut process = served(targets(2));
    for ticket in 0..8 {
        let started = start(&process.arrive(request(ticket, "/a/")));
        let slow = started.target == "target-0";
        process.pass(Duration::from_millis(if slow { 200 } else { 1 }));
        process.send(Event::Began { ticket });
        process.end(ticket, if slow { Outcome::Unreached } else { Outcome::Done });
        // What couldn't be sent goes to the other target.
        process.end(ticket, Outcome::Done);
    }
    assert_eq!(start(&process.arrive(request(20, "/a/"))).target, "target-1");

    process.list(vec![restarted(0, 2), target(1)]);

    assert_eq!(start(&process.arrive(request(21, "/a/"))).target, "target-0");
}

#[test]
fn an_answer_about_an_earlier_start_says_nothing_of_the_last() {
    let mut process = served(vec![target(1)]);
    process.arrive(request(1, "/a/"));
    process.end(1, Outcome::Lost { crashed: true });
    process.list(vec![restarted(1, 2)]);

    process.send(Event::Probed { target: "target-1".into(), reached: false });

    assert_eq!(starts(&process.arrive(request(2, "/a/"))).len(), 1);
}

#[test]
fn what_an_earlier_start_wrote_changes_nothing() {
    let mut process = served(vec![restarted(1, 2)]);
    process.arrive(request(1, "/a/"));

    process.list(vec![Target { ready: false, ..restarted(1, 1) }]);

    assert_eq!(room(&mut process, 10) as u64, SLOTS - 1);
}

#[test]
fn a_relayed_older_list_brings_no_earlier_start_back() {
    let behind = served(vec![restarted(1, 1)]);
    let mut process = served(vec![target(1)]);
    process.list(vec![restarted(1, 2)]);

    process.ask(&behind);

    let Some(News::Targets(listing)) = process.state.news(process.now, Topic::Targets) else {
        panic!("it has a list");
    };
    assert_eq!(listing.targets, [restarted(1, 2)]);
}

#[test]
fn what_others_ran_at_an_earlier_start_counts_no_longer() {
    let mut process = served(vec![restarted(1, 2)]);
    let mut other = direct::open(process.now.steady, settings(2));
    let mut row = other.row(process.now.steady);
    let busy = Busy { target: "target-1".into(), incarnation: 1, requests: 2, unread: 0 };
    row.running = vec![busy];

    process.send(Event::Heard(vec![row]));

    assert_eq!(room(&mut process, 10) as u64, SLOTS);
}

#[test]
fn a_target_that_started_again_died_of_what_broke_off_there() {
    let poison = |ticket| direct::Request { fingerprint: [7; 16], ..request(ticket, "/a/") };
    let routes = vec![route("/a/", Repeat::Never)];
    let mut process = process(plan(1, routes, Some(limit(1e6))), vec![target(1)]);
    process.pass(Duration::from_secs(1));
    for ticket in 1..=2 {
        assert_eq!(starts(&process.arrive(poison(ticket))).len(), 1);
        process.end(ticket, Outcome::Lost { crashed: true });
        process.list(vec![restarted(1, 1 + ticket)]);
        process.pass(Duration::from_secs(1));
    }

    let effects = process.arrive(poison(3));

    assert_eq!(refusal(&effects).reason, Reason::Quarantined);
}
