//! Counts of request bodies that crash targets, shared by entry processes, some of which are killed.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, empty_process, fetches, limit,
    only_dispatch, refusals, request, route, settings, targets,
};
use scheduler::direct::{
    self, Event, Outcome, Request, Ticket,
    plan::{Account, Repeat},
    relay::Topic,
};
use test_case::test_case;

/// Time after a crash within which all processes must have its count: the shortest time within which a
/// process must have recovered from a fault.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Time between two exchanges of a process with any of the others.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of fetches of crash counts that a process may start in a second. Counts of 100 bodies
/// are 3 KB, so these fetches take a hundredth of a link of 10 Mbit/s.
const MAX_FETCHES_PER_SECOND: usize = 4;
/// Maximum number of bytes by which a row and an offer may grow together: the numbers in them get longer.
const MAX_GROWTH_BYTES: usize = 64;

/// Returns a process with a configuration and targets, whose clock is that of `clock`.
fn entry(number: u16, incarnation: u64, clock: &Process) -> Process {
    let mut settings = settings(number);
    settings.incarnation = incarnation;
    let state = direct::open(clock.now.steady, settings);
    let mut entry = Process { state, now: clock.now, ..empty_process(number) };
    entry.send(Event::ConfigurationRead(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None).into(),
    ));
    entry.confirm_configuration();
    entry.list_targets(targets(9));
    entry
}

/// Returns entry processes that share a clock and don't know of each other yet.
fn entries(count: u16) -> Vec<Process> {
    let clock = empty_process(1);
    (1..=count).map(|number| entry(number, 1, &clock)).collect()
}

/// Returns a request whose fingerprint depends on the number of its body only.
fn request_with_body(ticket: Ticket, body: u16) -> Request {
    let mut fingerprint = [9; 16];
    fingerprint[..2].copy_from_slice(&body.to_le_bytes());
    Request { fingerprint, ..request(ticket, "/a/") }
}

/// Dispatches a request with a body that crashes its target; the target is used again afterwards.
fn crash_target(entry: &mut Process, ticket: Ticket, body: u16) {
    let target = only_dispatch(&entry.arrive(request_with_body(ticket, body))).target;
    entry.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
    entry.send(Event::CallerDisconnected { ticket, events: 0 });
    entry.send(Event::Probed { target, reached: false });
    // After this time the target is no longer marked as down.
    entry.advance(Duration::from_secs(2));
    entry.confirm_configuration();
}

/// Lets a process receive the other's row and offer and fetch the topics in which the other is ahead,
/// which are returned.
fn receive_from(entry: &mut Process, other: &mut Process) -> Vec<Topic> {
    let row = other.state.next_row(other.now.steady);
    entry.send(Event::RowsReceived(vec![row]));
    let (topics, _) = entry.receive_offer(other);
    topics.iter().for_each(|&topic| drop(entry.receive_topic(other, topic)));
    topics
}

fn is_refused(entry: &mut Process, ticket: Ticket, body: u16) -> bool {
    let effects = entry.arrive(request_with_body(ticket, body));
    dispatches(&effects).is_empty() && !refusals(&effects).is_empty()
}

/// Returns the size in bytes of the row and the offer that a process sends in each exchange.
fn exchange_size(entry: &mut Process) -> usize {
    let row = entry.state.next_row(entry.now.steady);
    let offer = entry.state.offer(entry.now);
    serde_json::to_vec(&(row, offer)).expect("a row and an offer can be packed").len()
}

/// Guards against a body that crashes targets once through each process.
#[test]
fn a_body_that_crashed_targets_of_another_process_is_refused() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash_target(&mut one, ticket, 0));

    receive_from(&mut other, &mut one);

    assert!(is_refused(&mut other, 1, 0));
}

/// Guards against counts that are lost everywhere once the process that saw the crashes is killed.
#[test]
fn crash_counts_outlive_the_process_that_saw_the_crashes() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash_target(&mut one, ticket, 0));
    receive_from(&mut other, &mut one);
    let mut restarted = entry(1, 2, &one);

    receive_from(&mut other, &mut restarted);
    receive_from(&mut restarted, &mut other);

    assert!(is_refused(&mut other, 1, 0), "by the process that kept running");
    assert!(is_refused(&mut restarted, 1, 0), "by the process that restarted");
}

/// Guards against rows that grow with all bodies that ever crashed a target until they fill the links.
#[test]
fn rows_and_offers_do_not_grow_with_the_number_of_crashes() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    receive_from(&mut other, &mut one);
    receive_from(&mut one, &mut other);
    let before = [exchange_size(&mut one), exchange_size(&mut other)];

    (0..50).for_each(|body| crash_target(&mut one, u64::from(body) + 1, body));
    receive_from(&mut other, &mut one);
    let after = [exchange_size(&mut one), exchange_size(&mut other)];

    for (before, after) in before.into_iter().zip(after) {
        assert!(after <= before + MAX_GROWTH_BYTES, "{before} bytes before, {after} after");
    }
}

/// Guards against counts that are fetched again and again while many targets crash at once, and against
/// counts that don't reach all processes.
#[test]
fn crash_counts_of_many_processes_reach_all_soon_with_few_fetches() {
    const ENTRIES: usize = 31;
    let mut entries = entries(ENTRIES as u16);
    // Each body crashes one target of one process and one target of the next process.
    for (index, entry) in entries.iter_mut().enumerate() {
        crash_target(entry, 1, index as u16);
        crash_target(entry, 2, (index + 1) as u16 % ENTRIES as u16);
    }

    let rounds = MAX_SPREAD_TIME.div_duration_f64(EXCHANGE_INTERVAL) as usize;
    let mut fetched = 0;
    for round in 0..rounds {
        for index in 0..ENTRIES {
            let other = (index + 1 + round % (ENTRIES - 1)) % ENTRIES;
            let offer = entries[other].state.offer(entries[other].now);
            let peer = entries[other].address;
            let mut effects = entries[index].advance(EXCHANGE_INTERVAL);
            effects.extend(entries[index].send(Event::PeerOffered { peer, offer }));
            for (peer, topic) in fetches(&effects) {
                let is_peer = |entry: &Process| entry.address == peer;
                let other = entries.iter().position(is_peer).expect("the peer is an entry");
                let [entry, other] =
                    entries.get_disjoint_mut([index, other]).expect("two different entries");
                entry.receive_topic(other, topic);
                fetched += usize::from(topic == Topic::Crashes);
            }
        }
    }

    for entry in &mut entries {
        let refused =
            (0..ENTRIES as u16).filter(|&body| is_refused(entry, 100 + u64::from(body), body));
        assert_eq!(refused.count(), ENTRIES);
    }
    let max_fetches = ENTRIES * MAX_FETCHES_PER_SECOND * MAX_SPREAD_TIME.as_secs() as usize;
    assert!(fetched <= max_fetches, "{fetched} fetches");
}

/// Guards against counts that never expire because processes send them to each other again and again.
#[test]
fn old_crash_counts_expire_at_all_processes() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash_target(&mut one, ticket, 0));
    receive_from(&mut other, &mut one);

    for _ in 0..1_300 {
        one.advance(Duration::from_millis(500));
        other.advance(Duration::from_millis(500));
        receive_from(&mut other, &mut one);
        receive_from(&mut one, &mut other);
    }

    assert_eq!(one.state.known().crashes, other.state.known().crashes);
    assert_eq!(one.state.known().crashes, 0);
}

/// Guards against bodies that are refused because a process could not connect to a target that is alive.
#[test]
fn a_broken_answer_counts_no_crash_if_its_target_took_a_connection_afterwards() {
    let mut entry =
        configured_process(configuration(1, vec![route("/a/", Repeat::Never)], None), targets(4));
    for ticket in 1..=2 {
        let target = only_dispatch(&entry.arrive(request_with_body(ticket, 0))).target;
        entry.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
        entry.send(Event::Probed { target: target.clone(), reached: true });
        // Another request is dispatched to the same target, and the connection fails.
        let mut other = 10 * ticket;
        while only_dispatch(&entry.arrive(request(other, "/a/"))).target != target {
            other += 1;
        }
        entry.end_dispatch(other, Outcome::Unreachable);
        for ticket in 10 * ticket..=other + 1 {
            entry.send(Event::CallerDisconnected { ticket, events: 0 });
        }
        entry.advance(Duration::from_millis(500));
    }

    let effects = entry.arrive(request_with_body(3, 0));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert_eq!(dispatches(&effects).len(), 1);
}

/// Guards against rows that contain every account that ever sent a request, through any process.
#[test]
fn rows_do_not_grow_with_the_accounts_that_ever_sent_requests() {
    let mut configuration = configuration(1, vec![route("/a/", Repeat::Never)], Some(limit(1e6)));
    for number in 0..500 {
        let name = format!("account-{number}");
        let account = Account { rank: 0, limit: Some(limit(1e6)) };
        configuration.accounts.insert(name.as_str().into(), account);
        configuration.keys.insert(format!("key-{number}").as_str().into(), name.as_str().into());
    }
    let mut entry = configured_process(configuration, targets(4));
    let row_size = |entry: &mut Process| {
        let row = entry.state.next_row(entry.now.steady);
        serde_json::to_vec(&row).expect("a row can be packed").len()
    };
    let before = row_size(&mut entry);

    for ticket in 0..500 {
        entry.arrive(Request { api_key: Some(format!("key-{ticket}")), ..request(ticket, "/a/") });
        entry.end_dispatch(ticket, Outcome::Completed);
        entry.confirm_configuration();
    }
    // In this time the buckets of all accounts fill up again.
    for _ in 0..600 {
        entry.advance(Duration::from_secs(1));
        entry.confirm_configuration();
    }
    let after = row_size(&mut entry);

    assert!(after < before + 1_000, "{before} bytes before, {after} after");
}

/// Guards against the refusal of a sound body whose answer was being written each time that another request crashed
/// its target.
#[test_case(true => false; "while its answer was being written")]
#[test_case(false => true; "before its answer began")]
fn a_body_is_refused_after_two_crashes(is_written: bool) -> bool {
    let mut route = route("/a/", Repeat::Resumable);
    route.max_attempts = 3;
    let mut entry = configured_process(configuration(1, vec![route], None), targets(6));
    for ticket in 1..=2 {
        let target = only_dispatch(&entry.arrive(request_with_body(ticket, 0))).target;
        if is_written {
            entry.send(Event::AnswerBegan { ticket });
        }
        entry.advance(Duration::from_millis(200));
        let outcome = Outcome::Incomplete { crashed: true };
        entry.send(Event::DispatchEnded { ticket, outcome, begun: is_written, events: 3 });
        entry.send(Event::Probed { target, reached: false });
        entry.send(Event::CallerDisconnected { ticket, events: 3 });
        entry.advance(Duration::from_secs(2));
        entry.confirm_configuration();
    }

    is_refused(&mut entry, 3, 0)
}

/// Guards against the refusal of a body whose answers had ended before their targets crashed by themselves. Answers
/// without a length end with their connection, as a crash does.
#[test]
fn an_answer_without_a_length_that_ended_before_a_crash_is_not_counted() {
    let routes = vec![route("/a/", Repeat::Idempotent)];
    let mut entry = configured_process(configuration(1, routes, None), targets(6));
    for ticket in 1..=3 {
        let target = only_dispatch(&entry.arrive(request_with_body(ticket, 0))).target;
        entry.send(Event::AnswerUnframed { ticket });
        entry.end_dispatch(ticket, Outcome::Completed);
        entry.advance(Duration::from_secs(1));
        // Another request finds the target down.
        let mut other = 10 * ticket;
        while only_dispatch(&entry.arrive(request_with_body(other, 7))).target != target {
            other += 1;
        }
        entry.end_dispatch(other, Outcome::Unreachable);
        for ticket in 10 * ticket..=other {
            entry.send(Event::CallerDisconnected { ticket, events: 0 });
        }
        entry.advance(Duration::from_secs(2));
        entry.confirm_configuration();
    }

    assert!(!is_refused(&mut entry, 40, 0));
}
