//! Direct dispatch after the platform's service was restored from a backup, which begins a new era.
//!
//! The backup has an older configuration, lists targets that had left and lists draining targets as ready.
//! Requests arrive with and without a key, and processes start meanwhile.

mod direct_support;

use std::time::Duration;

use direct_support::{
    MAX_CONFIGURATION_AGE, Process, address, configuration, configured_process, dispatches,
    only_refusal, request, route, settings, target, targets,
};
use scheduler::direct::{self, Event, RefusalReason, Target, plan::Repeat};

/// Longer than the time within which writers write the records again that a backup lacks.
const AFTER_REWRITE: Duration = Duration::from_millis(1_100);
/// Longer than the time within which live targets are listed again.
const AFTER_RELISTING: Duration = Duration::from_millis(2_300);

/// Returns a process with a configuration of this version and two targets.
fn serving_process(version: u64) -> Process {
    configured_process(
        configuration(version, vec![route("/a/", Repeat::Idempotent)], None),
        targets(2),
    )
}

/// Restores the platform from a backup whose newest configuration has this version.
fn restore_backup(process: &mut Process, version: u64) {
    process.era += 1;
    confirm(process, version);
}

/// Lets the process read the platform's newest configuration, which has this version.
fn confirm(process: &mut Process, version: u64) {
    let (boot, era) = (process.now.boot, process.era);
    process.send(Event::ConfigurationConfirmed { boot, version, era });
}

/// Sends a request to the process; returns the targets to which waiting requests were dispatched.
fn dispatched(process: &mut Process, ticket: u64) -> Vec<String> {
    let dispatches = dispatches(&process.arrive(request(ticket, "/a/")));
    dispatches.into_iter().map(|dispatch| dispatch.target).collect()
}

#[test]
fn a_backup_with_an_older_configuration_does_not_confirm_the_one_in_force() {
    let mut process = serving_process(7);

    for _ in 0..5 {
        restore_backup(&mut process, 6);
        process.advance(MAX_CONFIGURATION_AGE / 4);
        confirm(&mut process, 6);
    }

    let refused = only_refusal(&process.arrive(request(1, "/a/")));
    assert_eq!(refused.reason, RefusalReason::NotReady);
    assert_eq!(process.state.known().plan, 7);
}

#[test]
fn a_rewritten_configuration_is_confirmed_once_writers_had_time_to_write() {
    let mut process = serving_process(7);
    restore_backup(&mut process, 6);

    for _ in 0..5 {
        process.advance(AFTER_REWRITE);
        confirm(&mut process, 7);
    }

    assert_eq!(dispatched(&mut process, 1).len(), 1);
}

#[test]
fn targets_missing_in_a_backup_are_used_until_live_ones_must_be_listed_again() {
    let mut process = serving_process(7);
    restore_backup(&mut process, 7);

    process.list_targets(Vec::new());

    assert_eq!(dispatched(&mut process, 1).len(), 1);
    process.advance(AFTER_RELISTING);
    confirm(&mut process, 7);
    assert_eq!(dispatched(&mut process, 2).len(), 0);
}

#[test]
fn a_target_that_had_left_is_not_used_again_when_a_backup_lists_it() {
    let mut process = serving_process(7);
    process.list_targets(vec![target(1)]);
    restore_backup(&mut process, 7);

    process.list_targets(targets(2));

    process.advance(AFTER_RELISTING);
    confirm(&mut process, 7);
    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

#[test]
fn a_draining_target_gets_no_requests_when_a_backup_lists_it_as_ready() {
    let mut process = serving_process(7);
    process.list_targets(vec![Target { is_ready: false, ..target(0) }, target(1)]);
    restore_backup(&mut process, 7);

    process.list_targets(targets(2));

    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

#[test]
fn a_target_that_had_left_is_used_after_a_restart() {
    let mut process = serving_process(7);
    process.list_targets(vec![target(1)]);
    restore_backup(&mut process, 7);

    process.list_targets(vec![Target { incarnation: 2, ..target(0) }]);

    process.advance(AFTER_RELISTING);
    assert_eq!(dispatched(&mut process, 1), ["target-0"]);
}

#[test]
fn a_list_of_a_newer_era_replaces_one_with_a_higher_offset() {
    let mut process = serving_process(7);
    for _ in 0..5 {
        process.list_targets(targets(2));
    }
    process.era += 1;

    process.list_targets(vec![Target { is_ready: false, ..target(0) }, target(1)]);

    let used: Vec<String> = (0..4).flat_map(|ticket| dispatched(&mut process, ticket)).collect();
    assert_eq!(used, ["target-1", "target-1"]);
}

/// Returns a process that starts in the second era and reads version 6 of the configuration from the restored
/// backup.
fn process_started_in_second_era(other: &Process) -> Process {
    let state = direct::open(other.now.steady, settings(2));
    let mut process = Process { state, now: other.now, era: 2, address: address(2) };
    process.send(Event::ConfigurationRead(
        configuration(6, vec![route("/a/", Repeat::Idempotent)], None).into(),
    ));
    process.list_targets(targets(2));
    confirm(&mut process, 6);
    process
}

#[test]
fn a_process_that_starts_on_a_backup_refuses_keys_until_a_peer_made_an_offer() {
    let other = serving_process(7);
    let mut process = process_started_in_second_era(&other);
    assert_eq!(only_refusal(&process.arrive(request(1, "/a/"))).reason, RefusalReason::NotReady);

    process.sync_from(&other);
    confirm(&mut process, 6);

    // The process has the peer's newer configuration now, which the backup doesn't confirm.
    assert_eq!(process.state.known().plan, 7);
    assert_eq!(only_refusal(&process.arrive(request(2, "/a/"))).reason, RefusalReason::NotReady);
    confirm(&mut process, 7);
    assert_eq!(dispatched(&mut process, 3).len(), 1);
}

#[test]
fn a_process_that_starts_on_a_backup_without_peers_relies_on_it_after_a_while() {
    let mut process = process_started_in_second_era(&serving_process(7));

    process.advance(Duration::from_millis(1_600));
    confirm(&mut process, 6);

    assert_eq!(dispatched(&mut process, 1).len(), 1);
}
