//! What entry processes relay to each other of the configuration and the targets.

mod direct_support;

use std::{sync::Arc, time::Duration};

use direct_support::{
    Process, blank, fetches, plan, process, refusal, request, route, starts, target, targets,
};
use scheduler::direct::{
    Effect, Event, Note, Reason,
    plan::{Plan, Repeat},
    relay::Topic,
};

/// Silence of the platform after which it is an outage.
const SILENT: Duration = Duration::from_millis(2_900);
/// An outage in which targets may be taken off the list.
const OUTAGE: Duration = Duration::from_millis(4_000);
/// A longer one.
const LONG: Duration = Duration::from_millis(6_000);
/// Time after an outage in which living targets are listed again.
const RETURN: Duration = Duration::from_millis(2_300);
/// Time from the end of an outage on in which the platform lists living targets again.
const LISTED_AGAIN: Duration = Duration::from_millis(2_000);
/// Time for which a way must be back before what is known of leaving targets binds again.
const STABLE: Duration = Duration::from_millis(3_000);
/// Longest time from then until a process is answered: a connection that is begun just before is given up
/// after 0.5 s, and the longest pause after that is 0.8 s.
const HUNG: Duration = Duration::from_millis(1_300);
/// Time in which a target that leaves must get no more requests.
const DRAIN: Duration = Duration::from_millis(2_000);

/// A route for all, and one for those with a key.
fn routes(version: u64) -> Plan {
    let mut open = route("/open/", Repeat::Safe);
    open.public = true;
    plan(version, vec![route("/a/", Repeat::Safe), open], None)
}

/// One that reads the platform's service, and one that has no way to it.
fn pair() -> (Process, Process) {
    let reader = process(routes(7), targets(2));
    let mut other = blank(2);
    other.now = reader.now;
    (reader, other)
}

/// One that knows a configuration only, at the time of another.
fn with_plan(number: u16, other: &Process, version: u64) -> Process {
    let mut process = Process { now: other.now, ..blank(number) };
    process.send(Event::Planned(Arc::new(routes(version))));
    process
}

#[test]
fn a_process_without_the_platform_learns_the_configuration_of_another() {
    let (reader, mut other) = pair();

    other.ask(&reader);

    assert_eq!(other.state.known().plan, 7);
    assert_eq!(starts(&other.arrive(request(1, "/open/"))).len(), 1);
}

#[test]
fn one_that_another_is_ahead_of_asks_it_for_what_it_lacks() {
    let (mut reader, mut other) = pair();

    let (first, _) = other.hear_offer(&reader);
    for &topic in &first {
        other.fetch(&reader, topic);
    }
    let (back, _) = reader.hear_offer(&other);

    assert_eq!(first, [Topic::Targets, Topic::Plan]);
    assert!(back.is_empty());
}

/// However many others are ahead, each topic comes over once.
#[test]
fn of_all_that_are_ahead_one_is_asked_at_a_time() {
    let (reader, mut other) = pair();
    let mut ahead = vec![reader];
    ahead.extend((3..28).map(|number| with_plan(number, &other, 7)));

    let asked: Vec<Topic> = ahead.iter().flat_map(|process| other.hear_offer(process).0).collect();

    assert_eq!(asked, [Topic::Targets, Topic::Plan]);
}

#[test]
fn one_that_gives_nothing_is_left_for_another() {
    let (first, mut other) = pair();
    let second = with_plan(3, &other, 7);
    other.hear_offer(&first);
    other.hear_offer(&second);

    let failed = Event::Fetched { peer: first.address, topic: Topic::Plan, news: None };
    let effects = other.send(failed);

    assert_eq!(fetches(&effects), [(second.address, Topic::Plan)]);
}

#[test]
fn the_newest_that_is_offered_is_fetched() {
    let (older, mut other) = pair();
    let newer = with_plan(3, &other, 9);
    let oldest = with_plan(4, &other, 6);
    other.hear_offer(&older);
    other.hear_offer(&newer);
    other.hear_offer(&oldest);

    let effects = other.fetch(&older, Topic::Plan);

    assert_eq!(fetches(&effects), [(newer.address, Topic::Plan)]);
}

#[test]
fn keys_count_only_by_what_a_process_read_itself() {
    let (reader, mut other) = pair();

    other.ask(&reader);

    assert!(!other.state.is_ready());
    assert_eq!(refusal(&other.arrive(request(1, "/a/"))).reason, Reason::NotReady);
    other.confirm();
    assert_eq!(starts(&other.arrive(request(2, "/a/"))).len(), 1);
}

#[test]
fn without_the_platform_a_target_that_left_is_dropped_at_once() {
    let (mut reader, mut other) = pair();
    other.ask(&reader);
    other.confirm();
    other.pass(SILENT);
    for _ in 0..2 {
        reader.pass(SILENT / 2);
        reader.confirm();
    }
    reader.list(Vec::new());

    other.ask(&reader);

    assert!(starts(&other.arrive(request(1, "/open/"))).is_empty());
    // Nor is it used again once the platform is back.
    other.confirm();
    other.list(Vec::new());
    assert!(starts(&other.arrive(request(2, "/open/"))).is_empty());
}

#[test]
fn a_list_that_was_read_just_after_an_outage_is_not_relayed() {
    let (mut reader, mut other) = pair();
    other.ask(&reader);
    reader.pass(SILENT);
    reader.confirm();
    reader.list(Vec::new());

    other.ask(&reader);
    assert_eq!(starts(&other.arrive(request(1, "/open/"))).len(), 1);

    reader.pass(RETURN);
    other.ask(&reader);
    assert!(starts(&other.arrive(request(2, "/open/"))).is_empty());
}

#[test]
fn nothing_older_than_what_is_known_is_taken_over() {
    let (reader, mut other) = pair();
    other.send(Event::Planned(Arc::new(routes(8))));
    other.confirm();
    other.list(Vec::new());
    other.list(targets(1));
    let known = other.state.known();

    other.ask(&reader);

    assert_eq!(other.state.known(), known);
    let started = starts(&other.arrive(request(1, "/a/")));
    assert_eq!(started[0].target, "target-0");
}

#[test]
fn only_what_is_newer_is_relayed() {
    let (reader, mut other) = pair();
    let (first, _) = other.hear_offer(&reader);
    for &topic in &first {
        other.fetch(&reader, topic);
    }

    let (second, _) = other.hear_offer(&reader);

    assert_eq!(first, [Topic::Targets, Topic::Plan]);
    assert!(second.is_empty());
}

#[test]
fn an_outage_ends_with_the_first_answer() {
    let (mut reader, _) = pair();
    reader.pass(LONG);
    // What was asked before the outage is answered first.
    let boot = reader.now.boot - SILENT;
    reader.send(Event::Confirmed { boot, version: 7, era: reader.era });
    reader.list(Vec::new());
    reader.pass(RETURN / 2);
    reader.confirm();
    assert_eq!(starts(&reader.arrive(request(1, "/open/"))).len(), 1);

    reader.pass(RETURN / 2);

    assert!(starts(&reader.arrive(request(2, "/open/"))).is_empty());
}

#[test]
fn what_only_this_process_missed_is_no_outage() {
    let (mut reader, mut other) = pair();
    other.ask(&reader);
    other.confirm();
    reader.pass(LONG);
    reader.confirm();
    reader.pass(RETURN);
    reader.confirm();
    other.pass(LONG + RETURN);
    other.confirm();
    other.list(Vec::new());
    assert_eq!(starts(&other.arrive(request(1, "/open/"))).len(), 1);

    other.ask(&reader);

    assert!(starts(&other.arrive(request(2, "/open/"))).is_empty());
}

#[test]
fn an_outage_that_all_have_is_one_of_the_platform() {
    let (mut reader, mut other) = pair();
    other.ask(&reader);
    other.confirm();
    // They go on asking each other while the platform answers neither.
    for _ in 0..20 {
        for process in [&mut reader, &mut other] {
            process.pass(OUTAGE / 20);
        }
        other.ask(&reader);
        reader.ask(&other);
    }

    other.confirm();
    other.list(Vec::new());
    reader.confirm();
    other.ask(&reader);

    assert_eq!(starts(&other.arrive(request(1, "/open/"))).len(), 1);
}

/// Guards against requests to a target that left while all processes were cut off, which take the end of
/// that for the end of an outage of the platform, and for later than it was.
#[test]
fn what_left_while_all_were_cut_off_gets_nothing_once_the_way_is_back_for_long() {
    let (mut reader, mut other) = pair();
    other.ask(&reader);
    other.confirm();
    for process in [&mut reader, &mut other] {
        process.pass(LONG + HUNG);
        process.confirm();
        process.list(Vec::new());
    }
    reader.ask(&other);
    other.ask(&reader);

    reader.pass(STABLE - HUNG);

    assert!(starts(&reader.arrive(request(1, "/open/"))).is_empty());
}

/// Guards against living targets that are given up before they had the time to be listed again, which they
/// have from the outage's end on: that may be as late as the first answer.
#[test]
fn living_targets_are_used_until_they_had_the_time_to_be_listed_again() {
    let (mut reader, _) = pair();
    reader.pass(OUTAGE);
    reader.confirm();
    reader.list(Vec::new());

    reader.pass(LISTED_AGAIN);

    assert_eq!(starts(&reader.arrive(request(1, "/open/"))).len(), 1);
}

/// Guards against requests to a target that left while a large configuration was on its way: the platform
/// answered all the while, but no read of the configuration ended.
#[test]
fn a_configuration_that_takes_long_to_come_is_no_outage() {
    let (mut reader, _) = pair();
    for _ in 0..10 {
        reader.pass(OUTAGE / 10);
        reader.send(Event::ListAnswered);
    }
    reader.confirm();
    reader.list(Vec::new());

    reader.pass(DRAIN);

    assert!(starts(&reader.arrive(request(1, "/open/"))).is_empty());
}

/// Guards against living targets that are dropped where the list is the first that is read after an outage.
#[test]
fn an_outage_ends_with_an_answer_for_the_list_too() {
    let (mut reader, _) = pair();
    reader.pass(OUTAGE);
    reader.send(Event::ListAnswered);

    reader.list(Vec::new());

    assert_eq!(starts(&reader.arrive(request(1, "/open/"))).len(), 1);
    reader.pass(RETURN);
    assert!(starts(&reader.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against a log from which a target that is used though it vanished can't be told from one that is
/// listed.
#[test]
fn targets_that_are_used_though_they_vanished_are_counted() {
    let (mut reader, _) = pair();
    reader.pass(SILENT);
    reader.confirm();

    let effects = reader.list(vec![target(1)]);

    let kept = effects.iter().find_map(|effect| match effect {
        Effect::Note(Note::Targets { kept, .. }) => Some(*kept),
        _ => None,
    });
    assert_eq!(kept, Some(1));
}

#[test]
fn a_dispatch_tells_how_long_ago_the_platform_answered_for_its_list() {
    let mut process = process(routes(7), targets(1));
    assert_eq!(process.state.list_age(process.now.steady), None);
    process.send(Event::ListAnswered);
    process.pass(SILENT);

    process.arrive(request(1, "/open/"));

    let view = process.state.view(1, process.now.steady).expect("it was dispatched");
    assert_eq!(view.list_age, Some(SILENT));
}
