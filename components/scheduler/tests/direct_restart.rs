//! Direct dispatch to targets that restart under the same name.
//!
//! A target crashes with all its slots in use and is listed again at once, with the same name and address
//! but another incarnation. Entry processes learn of the restart at different times, and a record that the
//! earlier incarnation wrote may be read after one of the last incarnation.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches, limit, only_dispatch, only_refusal,
    request, route, settings, target, targets,
};
use scheduler::direct::{
    self, Effect, Event, LogEntry, Outcome, RefusalReason, Target,
    peers::TargetLoad,
    plan::Repeat,
    relay::{Topic, TopicData},
};

/// Number of slots of each target of the fixtures.
const TARGET_SLOTS: u64 = 2;

/// Returns a process that uses these targets.
fn serving_process(targets: Vec<Target>) -> Process {
    configured_process(configuration(1, vec![route("/a/", Repeat::Idempotent)], None), targets)
}

/// Returns a target with this incarnation; that of the fixture's targets is 1.
fn restarted(number: u16, incarnation: u64) -> Target {
    Target { incarnation, ..target(number) }
}

/// Sends ten requests with tickets from `first_ticket`; returns how many are dispatched at once.
fn dispatched_at_once(process: &mut Process, first_ticket: u64) -> usize {
    (first_ticket..first_ticket + 10)
        .map(|ticket| dispatches(&process.arrive(request(ticket, "/a/"))).len())
        .sum()
}

#[test]
fn requests_at_an_earlier_incarnation_occupy_no_slots() {
    let mut process = serving_process(vec![target(1)]);
    assert_eq!(dispatched_at_once(&mut process, 0), 2);

    let effects = process.list_targets(vec![restarted(1, 2)]);

    // Two of the waiting requests take the slots of the new incarnation.
    assert_eq!(dispatches(&effects).len(), 2);
    let is_restart = |effect: &Effect| matches!(effect, Effect::Log(LogEntry::Restarted(name)) if name == "target-1");
    assert!(effects.iter().any(is_restart));
}

#[test]
fn the_end_of_a_request_at_an_earlier_incarnation_frees_no_slot() {
    let mut process = serving_process(vec![target(1)]);
    process.arrive(request(1, "/a/"));
    process.list_targets(vec![restarted(1, 2)]);
    assert_eq!(dispatched_at_once(&mut process, 10), 2);

    let effects = process.end_dispatch(1, Outcome::Completed);

    assert!(dispatches(&effects).is_empty());
}

#[test]
fn speed_failures_and_backoff_of_a_target_are_reset_by_a_restart() {
    let mut process = serving_process(targets(2));
    for ticket in 0..8 {
        let dispatch = only_dispatch(&process.arrive(request(ticket, "/a/")));
        let is_slow = dispatch.target == "target-0";
        process.advance(Duration::from_millis(if is_slow { 200 } else { 1 }));
        process.send(Event::AnswerBegan { ticket });
        process
            .end_dispatch(ticket, if is_slow { Outcome::Unreachable } else { Outcome::Completed });
        // A request that couldn't be sent was dispatched again to the other target.
        process.end_dispatch(ticket, Outcome::Completed);
    }
    assert_eq!(only_dispatch(&process.arrive(request(20, "/a/"))).target, "target-1");

    process.list_targets(vec![restarted(0, 2), target(1)]);

    assert_eq!(only_dispatch(&process.arrive(request(21, "/a/"))).target, "target-0");
}

#[test]
fn a_probe_of_an_earlier_incarnation_does_not_affect_the_last_one() {
    let mut process = serving_process(vec![target(1)]);
    process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Incomplete { crashed: true });
    process.list_targets(vec![restarted(1, 2)]);

    process.send(Event::Probed { target: "target-1".into(), reached: false });

    assert_eq!(dispatches(&process.arrive(request(2, "/a/"))).len(), 1);
}

#[test]
fn a_record_of_an_earlier_incarnation_is_ignored() {
    let mut process = serving_process(vec![restarted(1, 2)]);
    process.arrive(request(1, "/a/"));

    process.list_targets(vec![Target { is_ready: false, ..restarted(1, 1) }]);

    assert_eq!(dispatched_at_once(&mut process, 10) as u64, TARGET_SLOTS - 1);
}

#[test]
fn an_older_list_of_a_peer_does_not_restore_an_earlier_incarnation() {
    let stale_peer = serving_process(vec![restarted(1, 1)]);
    let mut process = serving_process(vec![target(1)]);
    process.list_targets(vec![restarted(1, 2)]);

    process.sync_from(&stale_peer);

    let Some(TopicData::Targets(listing)) = process.state.topic_data(process.now, Topic::Targets)
    else {
        panic!("the process has no list of targets to offer");
    };
    assert_eq!(listing.targets, [restarted(1, 2)]);
}

#[test]
fn requests_of_peers_at_an_earlier_incarnation_do_not_count() {
    let mut process = serving_process(vec![restarted(1, 2)]);
    let mut peer = direct::open(process.now.steady, settings(2));
    let mut row = peer.next_row(process.now.steady);
    let load = TargetLoad {
        target: "target-1".into(),
        incarnation: 1,
        requests: 2,
        pending_prompt_tokens: 0,
    };
    row.target_loads = vec![load];

    process.send(Event::RowsReceived(vec![row]));

    assert_eq!(dispatched_at_once(&mut process, 10) as u64, TARGET_SLOTS);
}

/// Guards against crashes that aren't counted since the target restarted before a probe could fail.
#[test]
fn a_restart_counts_as_a_crash_caused_by_requests_that_broke_off_before() {
    let poison = |ticket| direct::Request { fingerprint: [7; 16], ..request(ticket, "/a/") };
    let routes = vec![route("/a/", Repeat::Never)];
    let mut process =
        configured_process(configuration(1, routes, Some(limit(1e6))), vec![target(1)]);
    process.advance(Duration::from_secs(1));
    for ticket in 1..=2 {
        assert_eq!(dispatches(&process.arrive(poison(ticket))).len(), 1);
        process.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
        process.list_targets(vec![restarted(1, 1 + ticket)]);
        process.advance(Duration::from_secs(1));
    }

    let effects = process.arrive(poison(3));

    assert_eq!(only_refusal(&effects).reason, RefusalReason::Quarantined);
}
