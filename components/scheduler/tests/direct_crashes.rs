//! Bodies that crash targets, counted over entry processes that are killed.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, blank, fetches, limit, plan, process, refusals, request, route, settings, start,
    starts, targets,
};
use scheduler::direct::{
    self, Event, Outcome, Request, Ticket,
    plan::{Account, Repeat},
    relay::Topic,
};

/// Time from a crash after which all processes have to know of it: the shortest in which a process that
/// was disturbed counts as well again.
const KNOWN: Duration = Duration::from_secs(3);
/// Time between two exchanges of a process.
const EXCHANGE: Duration = Duration::from_millis(10);
/// Most fetches a second: of 100 bodies, which are 3 KB, they take a hundredth of 10 Mbit/s.
const FETCHES: usize = 4;
/// Bytes by which what is told with an exchange may grow, as numbers in it do.
const DIGITS: usize = 64;

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

fn entries(count: u16) -> Vec<Process> {
    let clock = blank(1);
    (1..=count).map(|number| entry(number, 1, &clock)).collect()
}

fn poison(ticket: Ticket, body: u16) -> Request {
    let mut fingerprint = [9; 16];
    fingerprint[..2].copy_from_slice(&body.to_le_bytes());
    Request { fingerprint, ..request(ticket, "/a/") }
}

/// A target dies with the body.
fn crash(entry: &mut Process, ticket: Ticket, body: u16) {
    let target = start(&entry.arrive(poison(ticket, body))).target;
    entry.end(ticket, Outcome::Lost { crashed: true });
    entry.send(Event::Left { ticket, events: 0 });
    entry.send(Event::Probed { target, reached: false });
    // It is up again.
    entry.pass(Duration::from_secs(2));
    entry.confirm();
}

/// One exchange, in which an entry hears what the other has.
fn hear(entry: &mut Process, other: &mut Process) -> Vec<Topic> {
    let row = other.state.row(other.now.steady);
    entry.send(Event::Heard(vec![row]));
    let (topics, _) = entry.hear_offer(other);
    topics.iter().for_each(|&topic| drop(entry.fetch(other, topic)));
    topics
}

fn is_refused(entry: &mut Process, ticket: Ticket, body: u16) -> bool {
    let effects = entry.arrive(poison(ticket, body));
    starts(&effects).is_empty() && !refusals(&effects).is_empty()
}

/// Bytes that an entry tells with each exchange.
fn told(entry: &mut Process) -> usize {
    let row = entry.state.row(entry.now.steady);
    let offer = entry.state.offer(entry.now);
    serde_json::to_vec(&(row, offer)).expect("it can be packed").len()
}

#[test]
fn a_body_that_another_process_saw_crash_targets_is_refused() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash(&mut one, ticket, 0));

    hear(&mut other, &mut one);

    assert!(is_refused(&mut other, 1, 0));
}

/// Guards against crashes that are forgotten everywhere once the process that saw them is killed.
#[test]
fn crashes_are_known_after_the_process_that_saw_them_is_killed() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash(&mut one, ticket, 0));
    hear(&mut other, &mut one);
    let mut again = entry(1, 2, &one);

    hear(&mut other, &mut again);
    hear(&mut again, &mut other);

    assert!(is_refused(&mut other, 1, 0), "by the one that lives");
    assert!(is_refused(&mut again, 1, 0), "by the one that started again");
}

/// Guards against rows that grow with all bodies that ever crashed a target until they fill the links.
#[test]
fn what_each_exchange_tells_does_not_grow_with_the_crashes() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    hear(&mut other, &mut one);
    hear(&mut one, &mut other);
    let before = [told(&mut one), told(&mut other)];

    (0..50).for_each(|body| crash(&mut one, u64::from(body) + 1, body));
    hear(&mut other, &mut one);
    let after = [told(&mut one), told(&mut other)];

    for (before, after) in before.into_iter().zip(after) {
        assert!(after <= before + DIGITS, "{before} bytes before, {after} after");
    }
}

/// Guards against counts that come over again and again while many targets die at once, and against some
/// that don't come over.
#[test]
fn crashes_at_many_processes_are_soon_known_to_all_and_fetched_seldom() {
    const ENTRIES: usize = 31;
    let mut entries = entries(ENTRIES as u16);
    // Each body crashes one target at one process and one at the next.
    for (place, entry) in entries.iter_mut().enumerate() {
        crash(entry, 1, place as u16);
        crash(entry, 2, (place + 1) as u16 % ENTRIES as u16);
    }

    let rounds = KNOWN.div_duration_f64(EXCHANGE) as usize;
    let mut fetched = 0;
    for round in 0..rounds {
        for place in 0..ENTRIES {
            let other = (place + 1 + round % (ENTRIES - 1)) % ENTRIES;
            let offer = entries[other].state.offer(entries[other].now);
            let peer = entries[other].address;
            let mut effects = entries[place].pass(EXCHANGE);
            effects.extend(entries[place].send(Event::Offered { peer, offer }));
            for (peer, topic) in fetches(&effects) {
                let place_of = |entry: &Process| entry.address == peer;
                let other = entries.iter().position(place_of).expect("it is one of them");
                let [entry, other] = entries.get_disjoint_mut([place, other]).expect("two of them");
                entry.fetch(other, topic);
                fetched += usize::from(topic == Topic::Crashes);
            }
        }
    }

    for entry in &mut entries {
        let refused =
            (0..ENTRIES as u16).filter(|&body| is_refused(entry, 100 + u64::from(body), body));
        assert_eq!(refused.count(), ENTRIES);
    }
    let most = ENTRIES * FETCHES * KNOWN.as_secs() as usize;
    assert!(fetched <= most, "{fetched} fetches");
}

/// Guards against counts that processes tell each other for ever.
#[test]
fn crashes_of_long_ago_are_forgotten_by_all() {
    let [mut one, mut other] = <[Process; 2]>::try_from(entries(2)).ok().expect("two");
    (1..=2).for_each(|ticket| crash(&mut one, ticket, 0));
    hear(&mut other, &mut one);

    for _ in 0..1_300 {
        one.pass(Duration::from_millis(500));
        other.pass(Duration::from_millis(500));
        hear(&mut other, &mut one);
        hear(&mut one, &mut other);
    }

    assert_eq!(one.state.known().crashes, other.state.known().crashes);
    assert_eq!(one.state.known().crashes, 0);
}

/// Guards against bodies that are refused since a process had no way to a target that is well.
#[test]
fn a_target_that_was_reached_after_an_answer_broke_off_is_not_held_to_have_died() {
    let mut entry = process(plan(1, vec![route("/a/", Repeat::Never)], None), targets(4));
    for ticket in 1..=2 {
        let target = start(&entry.arrive(poison(ticket, 0))).target;
        entry.end(ticket, Outcome::Lost { crashed: true });
        entry.send(Event::Probed { target: target.clone(), reached: true });
        // Others that the same target has find no way to it.
        let mut other = 10 * ticket;
        while start(&entry.arrive(request(other, "/a/"))).target != target {
            other += 1;
        }
        entry.end(other, Outcome::Unreached);
        for ticket in 10 * ticket..=other + 1 {
            entry.send(Event::Left { ticket, events: 0 });
        }
        entry.pass(Duration::from_millis(500));
    }

    let effects = entry.arrive(poison(3, 0));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
    assert_eq!(starts(&effects).len(), 1);
}

/// Guards against rows that tell of each account that ever asked for something, of whichever process.
#[test]
fn what_each_exchange_tells_does_not_grow_with_the_accounts_that_ever_asked() {
    let mut plan = plan(1, vec![route("/a/", Repeat::Never)], Some(limit(1e6)));
    for number in 0..500 {
        let name = format!("account-{number}");
        let account = Account { rank: 0, limit: Some(limit(1e6)) };
        plan.accounts.insert(name.as_str().into(), account);
        plan.keys.insert(format!("key-{number}").as_str().into(), name.as_str().into());
    }
    let mut entry = process(plan, targets(4));
    let told = |entry: &mut Process| {
        let row = entry.state.row(entry.now.steady);
        serde_json::to_vec(&row).expect("it can be packed").len()
    };
    let before = told(&mut entry);

    for ticket in 0..500 {
        entry.arrive(Request { key: Some(format!("key-{ticket}")), ..request(ticket, "/a/") });
        entry.end(ticket, Outcome::Done);
        entry.confirm();
    }
    // All that they used is there again.
    for _ in 0..600 {
        entry.pass(Duration::from_secs(1));
        entry.confirm();
    }
    let after = told(&mut entry);

    assert!(after < before + 1_000, "{before} bytes before, {after} after");
}
