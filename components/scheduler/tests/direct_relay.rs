//! Relay of the configuration and the list of targets between entry processes, also during outages of
//! the platform.

mod direct_support;

use std::{sync::Arc, time::Duration};

use direct_support::{
    Process, configuration, configured_process, dispatches, empty_process, fetches, only_refusal,
    request, route, target, targets,
};
use scheduler::direct::{
    Effect, Event, LogEntry, RefusalReason,
    plan::{Configuration, Repeat},
    relay::Topic,
};

/// Time without an answer of the platform that counts as an outage: just above the longest that doesn't.
const SHORT_OUTAGE: Duration = Duration::from_millis(2_900);
/// Duration of an outage in which the platform may remove living targets from its list.
const OUTAGE: Duration = Duration::from_millis(4_000);
/// Duration of a longer outage.
const LONG_OUTAGE: Duration = Duration::from_millis(6_000);
/// Time after an outage from which on targets that are missing from the list get no more requests.
const RELIST_END: Duration = Duration::from_millis(2_300);
/// Time after an outage within which the platform lists all living targets again.
const RELIST_TIME: Duration = Duration::from_millis(2_000);
/// Time for which the platform must be reachable again before a target that has left must get no more
/// requests.
const REACHABLE_TIME: Duration = Duration::from_millis(3_000);
/// Longest time from the end of an outage until a process gets an answer: a connection attempt that began
/// just before times out after 0.5 s, and the longest backoff after that is 0.8 s.
const FIRST_ANSWER_DELAY: Duration = Duration::from_millis(1_300);
/// Time after which a target that leaves must get no more requests.
const LEAVE_TIME: Duration = Duration::from_millis(2_000);

/// Returns a configuration with a route for keys (`/a/`) and a public one (`/open/`).
fn routes(version: u64) -> Configuration {
    let mut public = route("/open/", Repeat::Idempotent);
    public.is_public = true;
    configuration(version, vec![route("/a/", Repeat::Idempotent), public], None)
}

/// Returns a process that read the configuration and two targets from the platform, and one that got
/// nothing yet.
fn pair() -> (Process, Process) {
    let reader = configured_process(routes(7), targets(2));
    let mut other = empty_process(2);
    other.now = reader.now;
    (reader, other)
}

/// Returns a process that has only a configuration, with the clock of `other`.
fn with_plan(number: u16, other: &Process, version: u64) -> Process {
    let mut process = Process { now: other.now, ..empty_process(number) };
    process.send(Event::ConfigurationRead(Arc::new(routes(version))));
    process
}

/// Guards against a process that can't serve since it can't reach the platform, though others can.
#[test]
fn a_process_that_cannot_reach_the_platform_gets_the_configuration_from_a_peer() {
    let (reader, mut other) = pair();

    other.sync_from(&reader);

    assert_eq!(other.state.known().plan, 7);
    assert_eq!(dispatches(&other.arrive(request(1, "/open/"))).len(), 1);
}

/// Guards against data that a process fetches back from the peer to which it relayed it.
#[test]
fn only_the_process_that_is_behind_fetches_data() {
    let (mut reader, mut other) = pair();

    let (fetched, _) = other.receive_offer(&reader);
    for &topic in &fetched {
        other.receive_topic(&reader, topic);
    }
    let (fetched_back, _) = reader.receive_offer(&other);

    assert_eq!(fetched, [Topic::Targets, Topic::Plan]);
    assert!(fetched_back.is_empty());
}

/// Guards against many copies of the same data that fill a narrow link: however many peers are ahead, each
/// topic is fetched from one.
#[test]
fn each_topic_is_fetched_from_one_peer_at_a_time() {
    let (reader, mut other) = pair();
    let mut ahead = vec![reader];
    ahead.extend((3..28).map(|number| with_plan(number, &other, 7)));

    let fetched: Vec<Topic> =
        ahead.iter().flat_map(|process| other.receive_offer(process).0).collect();

    assert_eq!(fetched, [Topic::Targets, Topic::Plan]);
}

/// Guards against a process that waits for a peer which failed to send its data.
#[test]
fn after_a_failed_fetch_another_peer_is_asked() {
    let (first, mut other) = pair();
    let second = with_plan(3, &other, 7);
    other.receive_offer(&first);
    other.receive_offer(&second);

    let failed = Event::Fetched { peer: first.address, topic: Topic::Plan, data: None };
    let effects = other.send(failed);

    assert_eq!(fetches(&effects), [(second.address, Topic::Plan)]);
}

/// Guards against a configuration that is fetched several times, in one version after another.
#[test]
fn the_newest_offered_configuration_is_fetched() {
    let (older, mut other) = pair();
    let newer = with_plan(3, &other, 9);
    let oldest = with_plan(4, &other, 6);
    other.receive_offer(&older);
    other.receive_offer(&newer);
    other.receive_offer(&oldest);

    let effects = other.receive_topic(&older, Topic::Plan);

    assert_eq!(fetches(&effects), [(newer.address, Topic::Plan)]);
}

/// Guards against keys that are accepted by a relayed configuration which may be out of date.
#[test]
fn requests_with_a_key_are_served_only_after_the_process_itself_reached_the_platform() {
    let (reader, mut other) = pair();

    other.sync_from(&reader);

    assert!(!other.state.is_ready());
    assert_eq!(only_refusal(&other.arrive(request(1, "/a/"))).reason, RefusalReason::NotReady);
    other.confirm_configuration();
    assert_eq!(dispatches(&other.arrive(request(2, "/a/"))).len(), 1);
}

/// Guards against requests to targets that left while only this process was cut off from the platform.
#[test]
fn a_target_that_a_peer_saw_leave_is_dropped_at_once() {
    let (mut reader, mut other) = pair();
    other.sync_from(&reader);
    other.confirm_configuration();
    other.advance(SHORT_OUTAGE);
    for _ in 0..2 {
        reader.advance(SHORT_OUTAGE / 2);
        reader.confirm_configuration();
    }
    reader.list_targets(Vec::new());

    other.sync_from(&reader);

    assert!(dispatches(&other.arrive(request(1, "/open/"))).is_empty());
    // The target stays unused once this process reaches the platform again.
    other.confirm_configuration();
    other.list_targets(Vec::new());
    assert!(dispatches(&other.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against a list without living targets that spreads: just after an outage they may be missing.
#[test]
fn a_list_that_was_read_just_after_an_outage_is_not_relayed() {
    let (mut reader, mut other) = pair();
    other.sync_from(&reader);
    reader.advance(SHORT_OUTAGE);
    reader.confirm_configuration();
    reader.list_targets(Vec::new());

    other.sync_from(&reader);
    assert_eq!(dispatches(&other.arrive(request(1, "/open/"))).len(), 1);

    reader.advance(RELIST_END);
    other.sync_from(&reader);
    assert!(dispatches(&other.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against a step back to an older configuration or an older list of targets.
#[test]
fn data_that_is_older_than_the_known_data_is_not_used() {
    let (reader, mut other) = pair();
    other.send(Event::ConfigurationRead(Arc::new(routes(8))));
    other.confirm_configuration();
    other.list_targets(Vec::new());
    other.list_targets(targets(1));
    let known = other.state.known();

    other.sync_from(&reader);

    assert_eq!(other.state.known(), known);
    let started = dispatches(&other.arrive(request(1, "/a/")));
    assert_eq!(started[0].target, "target-0");
}

/// Guards against data that is fetched again with each exchange.
#[test]
fn data_that_was_fetched_is_not_fetched_again() {
    let (reader, mut other) = pair();
    let (first, _) = other.receive_offer(&reader);
    for &topic in &first {
        other.receive_topic(&reader, topic);
    }

    let (second, _) = other.receive_offer(&reader);

    assert_eq!(first, [Topic::Targets, Topic::Plan]);
    assert!(second.is_empty());
}

/// Guards against an outage that is taken to end only with the second answer, because the first one is to
/// a read that began long before: targets that left would get requests for longer.
#[test]
fn an_outage_ends_with_the_first_answer() {
    let (mut reader, _) = pair();
    reader.advance(LONG_OUTAGE);
    // The first answer is to a read that began long before.
    let boot = reader.now.boot - SHORT_OUTAGE;
    reader.send(Event::ConfigurationConfirmed { boot, version: 7, era: reader.era });
    reader.list_targets(Vec::new());
    reader.advance(RELIST_END / 2);
    reader.confirm_configuration();
    assert_eq!(dispatches(&reader.arrive(request(1, "/open/"))).len(), 1);

    reader.advance(RELIST_END / 2);

    assert!(dispatches(&reader.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against requests to targets that left, from a process that takes its own lost connection for an
/// outage of the platform though a peer got answers all the time.
#[test]
fn no_answers_to_one_process_are_no_outage() {
    let (mut reader, mut other) = pair();
    other.sync_from(&reader);
    other.confirm_configuration();
    reader.advance(LONG_OUTAGE);
    reader.confirm_configuration();
    reader.advance(RELIST_END);
    reader.confirm_configuration();
    other.advance(LONG_OUTAGE + RELIST_END);
    other.confirm_configuration();
    other.list_targets(Vec::new());
    assert_eq!(dispatches(&other.arrive(request(1, "/open/"))).len(), 1);

    other.sync_from(&reader);

    assert!(dispatches(&other.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against living targets that are dropped after an outage since each process takes the offers of
/// the other for a sign that the platform answers.
#[test]
fn no_answers_to_any_process_are_an_outage() {
    let (mut reader, mut other) = pair();
    other.sync_from(&reader);
    other.confirm_configuration();
    // Both processes exchange offers while the platform answers neither.
    for _ in 0..20 {
        for process in [&mut reader, &mut other] {
            process.advance(OUTAGE / 20);
        }
        other.sync_from(&reader);
        reader.sync_from(&other);
    }

    other.confirm_configuration();
    other.list_targets(Vec::new());
    reader.confirm_configuration();
    other.sync_from(&reader);

    assert_eq!(dispatches(&other.arrive(request(1, "/open/"))).len(), 1);
}

/// Guards against requests to a target that left while all processes were cut off from the platform: they
/// take the end of that for the end of an outage of the platform, and for later than it was.
#[test]
fn a_target_that_left_while_all_were_cut_off_gets_no_requests_afterwards() {
    let (mut reader, mut other) = pair();
    other.sync_from(&reader);
    other.confirm_configuration();
    for process in [&mut reader, &mut other] {
        process.advance(LONG_OUTAGE + FIRST_ANSWER_DELAY);
        process.confirm_configuration();
        process.list_targets(Vec::new());
    }
    reader.sync_from(&other);
    other.sync_from(&reader);

    reader.advance(REACHABLE_TIME - FIRST_ANSWER_DELAY);

    assert!(dispatches(&reader.arrive(request(1, "/open/"))).is_empty());
}

/// Guards against living targets that are dropped before the platform had time to list them again. That
/// time starts at the outage's end, which may be as late as the first answer.
#[test]
fn targets_missing_after_an_outage_are_used_until_the_platform_had_time_to_list_them() {
    let (mut reader, _) = pair();
    reader.advance(OUTAGE);
    reader.confirm_configuration();
    reader.list_targets(Vec::new());

    reader.advance(RELIST_TIME);

    assert_eq!(dispatches(&reader.arrive(request(1, "/open/"))).len(), 1);
}

/// Guards against requests to a target that left while a large configuration was being read: the platform
/// answered reads of the list all the time, but no read of the configuration ended.
#[test]
fn a_slow_read_of_the_configuration_is_no_outage() {
    let (mut reader, _) = pair();
    for _ in 0..10 {
        reader.advance(OUTAGE / 10);
        reader.send(Event::TargetListAnswered);
    }
    reader.confirm_configuration();
    reader.list_targets(Vec::new());

    reader.advance(LEAVE_TIME);

    assert!(dispatches(&reader.arrive(request(1, "/open/"))).is_empty());
}

/// Guards against living targets that are dropped when the first answer after an outage is the list.
#[test]
fn an_answer_to_a_read_of_the_list_ends_an_outage() {
    let (mut reader, _) = pair();
    reader.advance(OUTAGE);
    reader.send(Event::TargetListAnswered);

    reader.list_targets(Vec::new());

    assert_eq!(dispatches(&reader.arrive(request(1, "/open/"))).len(), 1);
    reader.advance(RELIST_END);
    assert!(dispatches(&reader.arrive(request(2, "/open/"))).is_empty());
}

/// Guards against a log that doesn't distinguish targets that are used though they are missing from the
/// list from targets that are listed.
#[test]
fn the_log_counts_targets_that_are_used_though_missing_from_the_list() {
    let (mut reader, _) = pair();
    reader.advance(SHORT_OUTAGE);
    reader.confirm_configuration();

    let effects = reader.list_targets(vec![target(1)]);

    let kept = effects.iter().find_map(|effect| match effect {
        Effect::Log(LogEntry::TargetsChanged { kept, .. }) => Some(*kept),
        _ => None,
    });
    assert_eq!(kept, Some(1));
}

/// Guards against a log of dispatches that doesn't show how old the list of targets was.
#[test]
fn the_view_of_a_dispatch_has_the_time_since_the_platform_last_answered_a_read_of_the_list() {
    let mut process = configured_process(routes(7), targets(1));
    assert_eq!(process.state.list_age(process.now.steady), None);
    process.send(Event::TargetListAnswered);
    process.advance(SHORT_OUTAGE);

    process.arrive(request(1, "/open/"));

    let view =
        process.state.dispatch_view(1, process.now.steady).expect("the request was dispatched");
    assert_eq!(view.list_age, Some(SHORT_OUTAGE));
}
