//! Versions of targets that serve a pool side by side without an order, and beside one.

mod direct_support;

use std::{collections::BTreeSet, time::Duration};

use direct_support::{
    Process, configuration, configured_process, dispatches, request, route, target,
};
use scheduler::direct::{
    Event, Target, Ticket,
    plan::Repeat,
    relay::Position,
    rollout::{Order, Progress, Report, Version},
};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

/// Returns targets of a version with two slots each.
fn targets(version: &str, first: u16, count: u16) -> Vec<Target> {
    let targets = (first..first + count).map(target);
    targets.map(|target| Target { version: version.into(), ..target }).collect()
}

/// Returns a process that has known one target of v1 for some time.
fn process() -> Process {
    let routes = vec![route("/a/", Repeat::Idempotent)];
    configured_process(configuration(1, routes, None), targets("v1", 0, 1))
}

/// Returns one target of v1 and the given ones.
fn beside_v1(others: Vec<Target>) -> Vec<Target> {
    targets("v1", 0, 1).into_iter().chain(others).collect()
}

fn order(version: &str, offset: u64) -> Event {
    let position = Position { era: 1, offset };
    let duration = Duration::from_secs(10);
    Event::RolloutOrdered(Order {
        pool: "pool".into(),
        version: version.into(),
        duration,
        position,
    })
}

fn report(version: &str, progress: Progress) -> Event {
    let (pool, version) = ("pool".into(), version.into());
    Event::RolloutsReported(vec![Report { pool, version, progress, replaces_report: false }])
}

/// Lets time pass while the platform's service answers each half second.
fn pass(process: &mut Process, time: Duration) {
    for _ in 0..time.as_millis() / 500 {
        process.advance(500 * MS);
        process.confirm_configuration();
    }
}

/// Returns the versions of the targets that get 18 concurrent requests, and the number of dispatches.
fn used(process: &mut Process, listed: &[Target], first: Ticket) -> (BTreeSet<Version>, usize) {
    let tickets = first..first + 18;
    let sent: Vec<_> =
        tickets.clone().flat_map(|t| dispatches(&process.arrive(request(t, "/a/")))).collect();
    let version = |name: &str| {
        let target = listed.iter().find(|target| target.name == name);
        target.expect("a listed target").version.clone()
    };
    let versions = sent.iter().map(|dispatch| version(&dispatch.target)).collect();
    for ticket in tickets {
        process.send(Event::CallerDisconnected { ticket, events: 0 });
    }
    (versions, sent.len())
}

/// Guards against targets that get nothing since the process knew another version before, although no order
/// names theirs.
#[test]
fn a_version_without_an_order_serves_beside_the_others() {
    let mut process = process();
    let listed = beside_v1(targets("v1.1", 1, 8));
    process.list_targets(listed.clone());

    pass(&mut process, 2_000 * MS);

    let (versions, sent) = used(&mut process, &listed, 1);
    assert_eq!((versions.len(), sent), (2, 18));
}

/// Guards against requests at a version whose order is written just after its targets start, or that can't be
/// read since the platform's service is down.
#[test_case(500 * MS, true; "the order may still follow")]
#[test_case(3_000 * MS, false; "the platform's service doesn't answer")]
fn a_new_version_gets_no_requests_before_its_order_can_be_known(time: Duration, answers: bool) {
    let mut process = process();
    let listed = beside_v1(targets("v2", 1, 8));
    process.list_targets(listed.clone());

    if answers {
        pass(&mut process, time);
    } else {
        process.advance(time);
    }

    assert_eq!(used(&mut process, &listed, 1), (BTreeSet::from(["v1".to_owned()]), 2));
}

/// Guards against a version that serves without limit although it was ordered.
#[test]
fn an_ordered_version_gets_only_the_requests_of_its_rollout() {
    let mut process = process();
    let listed = beside_v1(targets("v2", 1, 8));
    process.list_targets(listed.clone());
    pass(&mut process, 500 * MS);
    process.send(order("v2", 9));

    pass(&mut process, 3_000 * MS);

    assert_eq!(used(&mut process, &listed, 1), (BTreeSet::from(["v1".to_owned()]), 2));
}

/// Guards against requests at a version that nobody ordered while another one is tried.
#[test]
fn a_version_without_an_order_gets_nothing_while_a_rollout_runs() {
    let mut process = process();
    let all = beside_v1([targets("v2", 1, 2), targets("v1.1", 3, 6)].concat());
    process.send(order("v2", 9));
    process.list_targets(all.clone());
    pass(&mut process, 3_000 * MS);
    let while_running = used(&mut process, &all, 1);

    process.send(report("v2", Progress::RolledBack));
    pass(&mut process, 2_000 * MS);

    assert_eq!(while_running, (BTreeSet::from(["v1".to_owned()]), 2));
    let versions = BTreeSet::from(["v1".to_owned(), "v1.1".to_owned()]);
    assert_eq!(used(&mut process, &all, 101), (versions, 14));
}

/// Guards against requests at the versions that a completed or a later rollout moved the traffic away from.
#[test]
fn versions_that_a_rollout_replaced_do_not_serve_again() {
    let mut process = process();
    let listed = beside_v1(targets("v2", 1, 3));
    process.list_targets(listed.clone());
    process.send(order("v2", 9));
    process.send(report("v2", Progress::Completed));
    process.list_targets(listed.clone());
    pass(&mut process, 3_000 * MS);
    let after_completion = used(&mut process, &listed, 1);
    let with_next = [listed, targets("v3", 4, 2), targets("v4", 6, 2)].concat();
    process.send(order("v3", 10));
    process.list_targets(with_next.clone());
    process.send(report("v3", Progress::RolledBack));
    process.send(order("v4", 11));
    process.send(report("v4", Progress::RolledBack));

    pass(&mut process, 3_000 * MS);

    assert_eq!(after_completion, (BTreeSet::from(["v2".to_owned()]), 6));
    assert_eq!(used(&mut process, &with_next, 101), (BTreeSet::from(["v2".to_owned()]), 6));
}
