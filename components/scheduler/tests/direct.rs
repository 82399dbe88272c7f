//! Direct dispatch in one process: routes, API keys, capacity of targets, repeats and refusals.

mod direct_support;

use std::{sync::Arc, time::Duration};

use direct_support::{
    MAX_CONFIGURATION_AGE, Process, configuration, configured_process, dispatches, limit,
    only_dispatch, only_refusal, request, route, target, targets,
};
use scheduler::direct::{
    Effect, Event, Outcome, RefusalReason,
    plan::{Account, PoolShare, Repeat},
};
use test_case::test_case;

#[test]
fn the_route_with_the_longest_matching_prefix_is_chosen() {
    let mut short = route("/a/", Repeat::Idempotent);
    short.name = "short".into();
    let mut long = route("/a/b/", Repeat::Idempotent);
    long.name = "long".into();

    let configuration = configuration(1, vec![short, long], None);

    let route_name = |path| configuration.route("host:80", path).map(|route| route.name.as_str());
    assert_eq!(route_name("/a/b/c"), Some("long"));
    assert_eq!(route_name("/a/bc"), Some("short"));
    assert_eq!(route_name("/b/"), None);
}

#[test]
fn requests_are_split_among_pools_by_weight() {
    let mut split = route("/", Repeat::Idempotent);
    split.pools = vec![
        PoolShare { pool: "a".into(), weight: 90 },
        PoolShare { pool: "b".into(), weight: 10 },
    ];

    let count =
        (0..1_000).filter(|&spread| split.pool(spread).is_some_and(|pool| pool == "b")).count();

    assert_eq!(count, 100);
}

#[test_case("/none/", Some("key"), RefusalReason::NoRoute; "no route")]
#[test_case("/a/", Some("other"), RefusalReason::BadKey; "unknown key")]
#[test_case("/a/", None, RefusalReason::BadKey; "no key")]
fn requests_without_route_or_valid_key_are_refused_as_not_run(
    path: &str,
    key: Option<&str>,
    reason: RefusalReason,
) {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(1),
    );
    let mut invalid = request(1, path);
    invalid.api_key = key.map(str::to_owned);

    let effects = process.arrive(invalid);

    assert_eq!(only_refusal(&effects).reason, reason);
    assert!(only_refusal(&effects).not_run);
}

/// Guards against keys that are accepted from a configuration which wasn't confirmed to be current for longer
/// than the permitted time: they may have been revoked since.
#[test]
fn keys_are_refused_once_the_configuration_may_be_out_of_date() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(1),
    );
    process.advance(MAX_CONFIGURATION_AGE - Duration::from_millis(1));
    let before = process.arrive(request(1, "/a/"));
    process.advance(Duration::from_millis(1));

    let after = process.arrive(request(2, "/a/"));

    assert_eq!(dispatches(&before).len(), 1);
    assert_eq!(only_refusal(&after).reason, RefusalReason::NotReady);
    assert!(!process.state.is_ready());
}

/// Guards against keys that are accepted after the host was suspended, when the steady clock shows too short
/// an age of the configuration.
#[test]
fn time_in_suspension_counts_towards_the_age_of_the_configuration() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(1),
    );
    // The steady clock doesn't advance while the host is suspended.
    process.now.boot += MAX_CONFIGURATION_AGE;

    let effects = process.arrive(request(1, "/a/"));

    assert_eq!(only_refusal(&effects).reason, RefusalReason::NotReady);
}

#[test]
fn public_routes_are_served_with_an_outdated_configuration() {
    let mut public = route("/a/", Repeat::Idempotent);
    public.is_public = true;
    let mut process = configured_process(configuration(1, vec![public], None), targets(1));
    process.advance(MAX_CONFIGURATION_AGE * 2);

    let effects = process.arrive(request(1, "/a/"));

    assert_eq!(only_dispatch(&effects).account, None);
}

#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let old = configuration(1, vec![route("/old/", Repeat::Idempotent)], None);
    let mut process = configured_process(
        configuration(2, vec![route("/new/", Repeat::Idempotent)], None),
        targets(1),
    );

    process.send(Event::ConfigurationRead(Arc::new(old)));
    let effects = process.arrive(request(1, "/old/"));

    assert_eq!(only_refusal(&effects).reason, RefusalReason::NoRoute);
}

#[test]
fn a_target_gets_no_more_concurrent_requests_than_it_has_slots() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(2),
    );

    let dispatches = (0..9).map(|ticket| dispatches(&process.arrive(request(ticket, "/a/"))).len());
    let dispatched: usize = dispatches.sum();

    assert_eq!(dispatched, 4);
}

#[test]
fn waiting_requests_of_a_higher_tier_are_dispatched_first() {
    let mut low = route("/low/", Repeat::Idempotent);
    low.rank = 1;
    let configuration = configuration(1, vec![route("/high/", Repeat::Idempotent), low], None);
    let mut process = configured_process(configuration, vec![target(1)]);
    process.arrive(request(1, "/low/"));
    process.arrive(request(2, "/low/"));
    process.arrive(request(3, "/low/"));
    process.arrive(request(4, "/high/"));

    let effects = process.end_dispatch(1, Outcome::Completed);

    assert_eq!(only_dispatch(&effects).ticket, 4);
}

/// Returns a process whose only target has no free slot while two requests wait: ticket 3, of the account
/// with the higher rank in the low tier, and ticket 4, of the account with the lower rank in the high tier.
fn process_with_waiting_ranks() -> Process {
    let mut low = route("/low/", Repeat::Idempotent);
    low.rank = 1;
    let mut configuration = configuration(1, vec![route("/high/", Repeat::Idempotent), low], None);
    configuration.accounts.insert("account".into(), Account { rank: 1, limit: None });
    configuration.accounts.insert("first".into(), Account { rank: 0, limit: None });
    configuration.keys.insert("first".into(), "first".into());
    let mut process = configured_process(configuration, vec![target(1)]);
    process.arrive(request(1, "/high/"));
    process.arrive(request(2, "/high/"));
    let mut low_tier_request = request(3, "/low/");
    low_tier_request.api_key = Some("first".into());
    process.arrive(low_tier_request);
    process.arrive(request(4, "/high/"));
    process
}

#[test]
fn a_higher_tier_takes_precedence_over_a_higher_account_rank_at_first() {
    let mut process = process_with_waiting_ranks();

    let effects = process.end_dispatch(1, Outcome::Completed);

    assert_eq!(only_dispatch(&effects).ticket, 4);
}

#[test]
fn a_higher_account_rank_takes_precedence_over_a_higher_tier_after_a_wait() {
    let mut process = process_with_waiting_ranks();
    process.advance(Duration::from_millis(500));

    let effects = process.end_dispatch(1, Outcome::Completed);

    assert_eq!(only_dispatch(&effects).ticket, 3);
}

#[test]
fn a_request_that_can_not_meet_its_target_latency_is_refused_with_a_retry_time() {
    let mut process =
        configured_process(configuration(1, vec![route("/a/", Repeat::Idempotent)], None), vec![]);
    process.arrive(request(1, "/a/"));
    let early = process.advance(Duration::from_millis(500));

    let late = process.advance(Duration::from_millis(100));

    assert!(early.is_empty(), "{early:?}");
    let refusal = only_refusal(&late);
    assert_eq!((refusal.reason, refusal.not_run), (RefusalReason::NoFreeSlot, true));
    assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::from_millis(500)));
}

#[test]
fn a_target_that_is_not_ready_gets_no_more_requests() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(2),
    );
    let mut listed = targets(2);
    listed[0].is_ready = false;
    process.list_targets(listed);

    let used: Vec<String> = (0..2)
        .flat_map(|ticket| dispatches(&process.arrive(request(ticket, "/a/"))))
        .map(|dispatch| dispatch.target)
        .collect();

    assert_eq!(used, ["target-1", "target-1"]);
}

/// Guards against live targets that get no requests since their heartbeats were lost in an outage of the
/// platform: its list lacks them just after the outage.
#[test]
fn targets_missing_after_an_outage_are_used_until_live_ones_must_be_listed_again() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(1),
    );
    process.advance(Duration::from_millis(3_500));
    process.confirm_configuration();
    process.list_targets(Vec::new());
    let just_after = process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Completed);
    process.advance(Duration::from_millis(2_300));
    process.confirm_configuration();

    let later = process.arrive(request(2, "/a/"));

    assert_eq!(dispatches(&just_after).len(), 1);
    assert_eq!(dispatches(&later).len(), 0);
}

#[test_case(Repeat::Never, Outcome::Rejected => true; "rejected")]
#[test_case(Repeat::Never, Outcome::Replaced => true; "replaced")]
#[test_case(Repeat::Never, Outcome::Unreachable => true; "unreached")]
#[test_case(Repeat::Never, Outcome::Incomplete { crashed: true } => false; "lost")]
#[test_case(Repeat::Never, Outcome::Failed => false; "failed")]
#[test_case(Repeat::Idempotent, Outcome::Incomplete { crashed: true } => true; "safe and lost")]
#[test_case(Repeat::Idempotent, Outcome::Failed => true; "safe and failed")]
#[test_case(Repeat::Resumable, Outcome::Unresponsive => true; "resumable and unresponsive")]
#[test_case(Repeat::Resumable, Outcome::DeadlineExceeded => false; "expired")]
fn a_request_is_dispatched_again_to_another_target(repeat: Repeat, outcome: Outcome) -> bool {
    let mut process =
        configured_process(configuration(1, vec![route("/a/", repeat)], None), targets(3));
    let first = only_dispatch(&process.arrive(request(1, "/a/")));

    let effects = process.end_dispatch(1, outcome);

    let again = dispatches(&effects);
    assert!(again.iter().all(|dispatch| dispatch.target != first.target));
    again.len() == 1
}

#[test]
fn a_refusal_states_not_run_only_if_no_target_may_have_run_the_request() {
    let mut process =
        configured_process(configuration(1, vec![route("/a/", Repeat::Never)], None), targets(1));
    process.arrive(request(1, "/a/"));
    process.arrive(request(2, "/a/"));

    let lost = process.end_dispatch(1, Outcome::Incomplete { crashed: true });
    process.end_dispatch(2, Outcome::Rejected);
    let waited = process.advance(Duration::from_secs(2));

    assert!(!only_refusal(&lost).not_run);
    assert_eq!(only_refusal(&lost).retry_after, None);
    assert!(waited.is_empty() || only_refusal(&waited).not_run);
}

#[test]
fn a_request_is_not_dispatched_again_beyond_the_attempts_of_its_route() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(5),
    );
    process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Failed);

    let effects = process.end_dispatch(1, Outcome::Failed);

    assert!(matches!(effects[..], [Effect::PassFailure { ticket: 1 }]), "{effects:?}");
}

/// Guards against error answers of targets that the process replaces by a refusal of its own.
#[test_case(1, &[Outcome::Failed]; "no other target has a free slot")]
#[test_case(5, &[Outcome::Failed, Outcome::Incomplete { crashed: false }]; "another target lost it")]
#[test_case(
    5, &[Outcome::Failed, Outcome::Rejected, Outcome::DeadlineExceeded]; "another target was too slow"
)]
fn the_error_answer_of_a_target_is_passed_on_if_no_other_target_answers(
    count: u16,
    outcomes: &[Outcome],
) {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(count),
    );
    process.advance(Duration::from_secs(30));
    process.confirm_configuration();
    process.arrive(request(1, "/a/"));

    let mut effects: Vec<Effect> =
        outcomes.iter().flat_map(|&outcome| process.end_dispatch(1, outcome)).collect();
    effects.extend(process.advance(Duration::from_secs(2)));

    let last = effects.last();
    assert!(matches!(last, Some(Effect::PassFailure { ticket: 1 })), "{effects:?}");
}

#[test]
fn a_dispatch_that_did_not_run_does_not_count_as_an_attempt() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(5),
    );
    process.arrive(request(1, "/a/"));
    process.end_dispatch(1, Outcome::Unreachable);
    process.end_dispatch(1, Outcome::Rejected);

    let effects = process.end_dispatch(1, Outcome::Failed);

    assert_eq!(only_dispatch(&effects).attempt, 4);
}

/// Guards against begun streams that wait behind new requests: a part of an answer is lost if the rest comes
/// too late.
#[test]
fn a_begun_answer_is_resumed_before_waiting_requests_of_higher_tiers() {
    let mut low = route("/low/", Repeat::Resumable);
    low.rank = 1;
    let configuration = configuration(1, vec![route("/high/", Repeat::Idempotent), low], None);
    let mut process = configured_process(configuration, vec![target(1), target(2)]);
    process.arrive(request(1, "/low/"));
    for ticket in 2..6 {
        process.arrive(request(ticket, "/high/"));
    }
    let outcome = Outcome::Incomplete { crashed: true };
    process.send(Event::DispatchEnded { ticket: 1, outcome, begun: true, events: 3 });

    let effects = process.end_dispatch(2, Outcome::Completed);

    assert_eq!(only_dispatch(&effects).ticket, 1);
}

#[test]
fn repeats_stay_within_the_retry_budget() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(5),
    );
    // A process starts with an empty budget, since earlier processes may have used all that is allowed, and
    // earns it over a few windows.
    process.advance(Duration::from_secs(30));
    process.confirm_configuration();

    let repeated = (0..100_u64).filter(|&ticket| {
        process.arrive(request(ticket, "/a/"));
        let is_repeated = dispatches(&process.end_dispatch(ticket, Outcome::Failed)).len() == 1;
        process.end_dispatch(ticket, Outcome::Completed);
        is_repeated
    });

    // The budget allows a fifth of 100 requests and 50 more; the process uses a part of that.
    assert!((40..=70).contains(&repeated.count()));
}

#[test]
fn a_rejected_request_is_dispatched_to_an_untried_target_first() {
    let mut process =
        configured_process(configuration(1, vec![route("/a/", Repeat::Never)], None), targets(3));
    process.advance(Duration::from_secs(30));
    process.confirm_configuration();
    let mut tried = vec![only_dispatch(&process.arrive(request(1, "/a/"))).target];

    for _ in 0..2 {
        // Longer than the time for which a target that rejected a request gets no other.
        let mut effects = process.end_dispatch(1, Outcome::Rejected);
        effects.extend(process.advance(Duration::from_millis(100)));
        tried.push(only_dispatch(&effects).target);
    }

    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3);
}

#[test]
fn a_request_whose_body_crashed_two_targets_is_quarantined() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(9),
    );
    let mut crash = |ticket| {
        let mut poison = request(ticket, "/a/");
        poison.fingerprint = [9; 16];
        let target = only_dispatch(&process.arrive(poison)).target;
        let effects = process.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
        process.send(Event::CallerDisconnected { ticket, events: 0 });
        let is_probed = effects.iter().any(|effect| matches!(effect, Effect::Probe { .. }));
        process.send(Event::Probed { target, reached: false });
        is_probed
    };
    assert!(crash(1) && crash(2));

    let mut poison = request(3, "/a/");
    poison.fingerprint = [9; 16];
    let effects = process.arrive(poison);

    assert_eq!(only_refusal(&effects).reason, RefusalReason::Quarantined);
}

/// Guards against requests that are quarantined since connections to live targets broke off.
#[test]
fn a_request_whose_connections_to_live_targets_broke_off_is_not_quarantined() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(9),
    );
    for ticket in 1..5 {
        let mut unlucky = request(ticket, "/a/");
        unlucky.fingerprint = [9; 16];
        let target = only_dispatch(&process.arrive(unlucky)).target;
        process.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
        process.send(Event::CallerDisconnected { ticket, events: 0 });
        process.send(Event::Probed { target, reached: true });
    }

    let mut retry = request(5, "/a/");
    retry.fingerprint = [9; 16];

    assert_eq!(dispatches(&process.arrive(retry)).len(), 1);
}

#[test]
fn requests_beyond_an_account_limit_are_refused_with_a_retry_time() {
    let configuration =
        configuration(1, vec![route("/a/", Repeat::Idempotent)], Some(limit(100.0)));
    let mut process = configured_process(configuration, targets(9));

    let refused = (0..40).find_map(|ticket| {
        let effects = process.arrive(request(ticket, "/a/"));
        process.end_dispatch(ticket, Outcome::Completed);
        dispatches(&effects).is_empty().then(|| only_refusal(&effects))
    });

    let refused = refused.expect("a limit of 100 tokens a second refuses 40 times 110 tokens");
    assert_eq!(refused.reason, RefusalReason::AccountLimit);
    assert!(refused.retry_after.is_some_and(|wait| !wait.is_zero()));
}

#[test]
fn units_of_a_request_that_ran_are_not_refunded() {
    let configuration =
        configuration(1, vec![route("/a/", Repeat::Idempotent)], Some(limit(1_000.0)));
    let mut process = configured_process(configuration, targets(9));
    process.arrive(request(1, "/a/"));

    process.end_dispatch(1, Outcome::Completed);

    let now = process.now.steady;
    assert_eq!(process.state.next_row(now).account_usages[0].admitted_units, 110);
}

#[test]
fn units_of_a_request_that_did_not_run_are_refunded() {
    let configuration =
        configuration(1, vec![route("/a/", Repeat::Idempotent)], Some(limit(1_000.0)));
    let mut process = configured_process(configuration, Vec::new());
    process.arrive(request(1, "/a/"));

    process.advance(Duration::from_secs(1));

    let now = process.now.steady;
    assert_eq!(process.state.next_row(now).account_usages[0].admitted_units, 0);
}

#[test]
fn a_draining_process_accepts_only_requests_with_deadlines_before_its_end() {
    let mut process = configured_process(
        configuration(1, vec![route("/a/", Repeat::Idempotent)], None),
        targets(1),
    );
    let end = process.now.steady + Duration::from_secs(4);
    process.send(Event::Drain { end });
    let mut short = request(1, "/a/");
    short.timeout = Some(Duration::from_secs(3));

    let accepted = process.arrive(short);
    let refused = process.arrive(request(2, "/a/"));

    assert_eq!(dispatches(&accepted).len(), 1);
    let refusal = only_refusal(&refused);
    assert_eq!((refusal.reason, refusal.not_run), (RefusalReason::Draining, true));
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));
    assert!(!process.state.is_ready());
}
