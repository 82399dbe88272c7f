//! Direct dispatch: routes, keys, room, repeats and refusals of one process.

mod direct_support;

use std::{sync::Arc, time::Duration};

use direct_support::{
    FRESHNESS, Process, limit, plan, process, refusal, request, route, start, starts, target,
    targets,
};
use scheduler::direct::{
    Effect, Event, Outcome, Reason,
    plan::{Account, Part, Repeat},
};
use test_case::test_case;

#[test]
fn the_longest_prefix_decides() {
    let mut short = route("/a/", Repeat::Safe);
    short.name = "short".into();
    let mut long = route("/a/b/", Repeat::Safe);
    long.name = "long".into();

    let plan = plan(1, vec![short, long], None);

    let name = |path| plan.route("host:80", path).map(|route| route.name.as_str());
    assert_eq!(name("/a/b/c"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/b/"), None);
}

#[test]
fn pools_get_requests_by_their_weights() {
    let mut split = route("/", Repeat::Safe);
    split.parts =
        vec![Part { pool: "a".into(), weight: 90 }, Part { pool: "b".into(), weight: 10 }];

    let count = (0..1_000).filter(|&draw| split.pool(draw).is_some_and(|pool| pool == "b")).count();

    assert_eq!(count, 100);
}

#[test_case("/none/", Some("key"), Reason::NoRoute; "no route")]
#[test_case("/a/", Some("other"), Reason::BadKey; "unknown key")]
#[test_case("/a/", None, Reason::BadKey; "no key")]
fn improper_requests_are_refused(path: &str, key: Option<&str>, reason: Reason) {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(1));
    let mut asked = request(1, path);
    asked.key = key.map(str::to_owned);

    let effects = process.arrive(asked);

    assert_eq!(refusal(&effects).reason, reason);
    assert!(refusal(&effects).not_run);
}

#[test]
fn a_key_stops_to_count_once_the_plan_may_be_out_of_date() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(1));
    process.pass(FRESHNESS - Duration::from_millis(1));
    let before = process.arrive(request(1, "/a/"));
    process.pass(Duration::from_millis(1));

    let after = process.arrive(request(2, "/a/"));

    assert_eq!(starts(&before).len(), 1);
    assert_eq!(refusal(&after).reason, Reason::NotReady);
    assert!(!process.state.is_ready());
}

#[test]
fn a_suspension_counts_towards_the_age_of_the_plan() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(1));
    // The steady clock stands still while the host is suspended.
    process.now.boot += FRESHNESS;

    let effects = process.arrive(request(1, "/a/"));

    assert_eq!(refusal(&effects).reason, Reason::NotReady);
}

#[test]
fn public_routes_are_served_without_a_current_plan() {
    let mut open = route("/a/", Repeat::Safe);
    open.public = true;
    let mut process = process(plan(1, vec![open], None), targets(1));
    process.pass(FRESHNESS * 2);

    let effects = process.arrive(request(1, "/a/"));

    assert_eq!(start(&effects).account, None);
}

#[test]
fn a_plan_never_steps_back() {
    let old = plan(1, vec![route("/old/", Repeat::Safe)], None);
    let mut process = process(plan(2, vec![route("/new/", Repeat::Safe)], None), targets(1));

    process.send(Event::Planned(Arc::new(old)));
    let effects = process.arrive(request(1, "/old/"));

    assert_eq!(refusal(&effects).reason, Reason::NoRoute);
}

#[test]
fn a_target_gets_no_more_than_its_slots() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(2));

    let started = (0..9).map(|ticket| starts(&process.arrive(request(ticket, "/a/"))).len());
    let count: usize = started.sum();

    assert_eq!(count, 4);
}

#[test]
fn the_higher_rank_goes_first() {
    let mut low = route("/low/", Repeat::Safe);
    low.rank = 1;
    let plan = plan(1, vec![route("/high/", Repeat::Safe), low], None);
    let mut process = process(plan, vec![target(1)]);
    process.arrive(request(1, "/low/"));
    process.arrive(request(2, "/low/"));
    process.arrive(request(3, "/low/"));
    process.arrive(request(4, "/high/"));

    let effects = process.end(1, Outcome::Done);

    assert_eq!(start(&effects).ticket, 4);
}

/// Two accounts, `key` of the lower rank and `first` of the higher, and a high and a low tier.
fn ranked() -> Process {
    let mut low = route("/low/", Repeat::Safe);
    low.rank = 1;
    let mut plan = plan(1, vec![route("/high/", Repeat::Safe), low], None);
    plan.accounts.insert("account".into(), Account { rank: 1, limit: None });
    plan.accounts.insert("first".into(), Account { rank: 0, limit: None });
    plan.keys.insert("first".into(), "first".into());
    let mut process = process(plan, vec![target(1)]);
    process.arrive(request(1, "/high/"));
    process.arrive(request(2, "/high/"));
    let mut of_first = request(3, "/low/");
    of_first.key = Some("first".into());
    process.arrive(of_first);
    process.arrive(request(4, "/high/"));
    process
}

#[test]
fn a_request_that_can_wait_lets_higher_tiers_of_other_accounts_go_first() {
    let mut process = ranked();

    let effects = process.end(1, Outcome::Done);

    assert_eq!(start(&effects).ticket, 4);
}

#[test]
fn an_account_of_higher_rank_goes_first_once_its_request_has_waited() {
    let mut process = ranked();
    process.pass(Duration::from_millis(500));

    let effects = process.end(1, Outcome::Done);

    assert_eq!(start(&effects).ticket, 3);
}

#[test]
fn a_request_that_can_not_meet_its_aim_is_refused_with_a_time_to_come_back() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), vec![]);
    process.arrive(request(1, "/a/"));
    let early = process.pass(Duration::from_millis(500));

    let late = process.pass(Duration::from_millis(100));

    assert!(early.is_empty(), "{early:?}");
    let refusal = refusal(&late);
    assert_eq!((refusal.reason, refusal.not_run), (Reason::NoRoom, true));
    assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::from_millis(500)));
}

#[test]
fn a_target_that_leaves_gets_no_more_requests() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(2));
    let mut leaving = targets(2);
    leaving[0].ready = false;
    process.list(leaving);

    let to: Vec<String> = (0..2)
        .flat_map(|ticket| starts(&process.arrive(request(ticket, "/a/"))))
        .map(|start| start.target)
        .collect();

    assert_eq!(to, ["target-1", "target-1"]);
}

#[test]
fn targets_that_vanish_in_an_outage_are_used_until_living_ones_must_be_back() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(1));
    process.pass(Duration::from_millis(3_500));
    process.confirm();
    process.list(Vec::new());
    let during = process.arrive(request(1, "/a/"));
    process.end(1, Outcome::Done);
    process.pass(Duration::from_millis(2_300));
    process.confirm();

    let after = process.arrive(request(2, "/a/"));

    assert_eq!(starts(&during).len(), 1);
    assert_eq!(starts(&after).len(), 0);
}

#[test_case(Repeat::Never, Outcome::Rejected => true; "rejected")]
#[test_case(Repeat::Never, Outcome::Replaced => true; "replaced")]
#[test_case(Repeat::Never, Outcome::Unreached => true; "unreached")]
#[test_case(Repeat::Never, Outcome::Lost { crashed: true } => false; "lost")]
#[test_case(Repeat::Never, Outcome::Failed => false; "failed")]
#[test_case(Repeat::Safe, Outcome::Lost { crashed: true } => true; "safe and lost")]
#[test_case(Repeat::Safe, Outcome::Failed => true; "safe and failed")]
#[test_case(Repeat::Resume, Outcome::Silent => true; "resumable and silent")]
#[test_case(Repeat::Resume, Outcome::Expired => false; "expired")]
fn a_request_is_dispatched_again(repeat: Repeat, outcome: Outcome) -> bool {
    let mut process = process(plan(1, vec![route("/a/", repeat)], None), targets(3));
    let first = start(&process.arrive(request(1, "/a/")));

    let effects = process.end(1, outcome);

    let again = starts(&effects);
    assert!(again.iter().all(|start| start.target != first.target));
    again.len() == 1
}

#[test]
fn a_refusal_says_not_run_only_where_nothing_may_have_run() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Never)], None), targets(1));
    process.arrive(request(1, "/a/"));
    process.arrive(request(2, "/a/"));

    let lost = process.end(1, Outcome::Lost { crashed: true });
    process.end(2, Outcome::Rejected);
    let waited = process.pass(Duration::from_secs(2));

    assert!(!refusal(&lost).not_run);
    assert_eq!(refusal(&lost).retry_after, None);
    assert!(waited.is_empty() || refusal(&waited).not_run);
}

#[test]
fn repeats_stay_within_the_attempts() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(5));
    process.arrive(request(1, "/a/"));
    process.end(1, Outcome::Failed);

    let effects = process.end(1, Outcome::Failed);

    assert!(matches!(effects[..], [Effect::Pass { ticket: 1 }]), "{effects:?}");
}

/// Guards against failures that targets answered with and that are replaced by one of our own.
#[test_case(1, &[Outcome::Failed]; "no other has room")]
#[test_case(5, &[Outcome::Failed, Outcome::Lost { crashed: false }]; "another lost it")]
#[test_case(5, &[Outcome::Failed, Outcome::Rejected, Outcome::Expired]; "another took too long")]
fn a_failure_is_passed_on_where_no_other_target_answers(count: u16, outcomes: &[Outcome]) {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(count));
    process.pass(Duration::from_secs(30));
    process.confirm();
    process.arrive(request(1, "/a/"));

    let mut effects: Vec<Effect> =
        outcomes.iter().flat_map(|&outcome| process.end(1, outcome)).collect();
    effects.extend(process.pass(Duration::from_secs(2)));

    let last = effects.last();
    assert!(matches!(last, Some(Effect::Pass { ticket: 1 })), "{effects:?}");
}

#[test]
fn a_dispatch_that_never_arrived_takes_no_attempt() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(5));
    process.arrive(request(1, "/a/"));
    process.end(1, Outcome::Unreached);
    process.end(1, Outcome::Rejected);

    let effects = process.end(1, Outcome::Failed);

    assert_eq!(start(&effects).attempt, 4);
}

#[test]
fn an_answer_that_has_begun_goes_on_before_others_begin() {
    let mut low = route("/low/", Repeat::Resume);
    low.rank = 1;
    let plan = plan(1, vec![route("/high/", Repeat::Safe), low], None);
    let mut process = process(plan, vec![target(1), target(2)]);
    process.arrive(request(1, "/low/"));
    for ticket in 2..6 {
        process.arrive(request(ticket, "/high/"));
    }
    let outcome = Outcome::Lost { crashed: true };
    process.send(Event::Ended { ticket: 1, outcome, begun: true, events: 3 });

    let effects = process.end(2, Outcome::Done);

    assert_eq!(start(&effects).ticket, 1);
}

#[test]
fn repeats_stay_within_the_budget() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(5));
    // What was used before its start may have been all that is allowed: it earns that over a few windows.
    process.pass(Duration::from_secs(30));
    process.confirm();

    let repeats = (0..100_u64).filter(|&ticket| {
        process.arrive(request(ticket, "/a/"));
        let again = starts(&process.end(ticket, Outcome::Failed)).len() == 1;
        process.end(ticket, Outcome::Done);
        again
    });

    // 0.2 of 100 requests and 50 besides are allowed; less is used.
    assert!((40..=70).contains(&repeats.count()));
}

#[test]
fn a_rejected_request_goes_to_an_untried_target_first() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Never)], None), targets(3));
    process.pass(Duration::from_secs(30));
    process.confirm();
    let mut seen = vec![start(&process.arrive(request(1, "/a/"))).target];

    for _ in 0..2 {
        // Longer than a target that rejected a request is left alone.
        let mut effects = process.end(1, Outcome::Rejected);
        effects.extend(process.pass(Duration::from_millis(100)));
        seen.push(start(&effects).target);
    }

    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 3);
}

#[test]
fn a_body_that_crashed_two_targets_is_refused() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(9));
    let mut crash = |ticket| {
        let mut poison = request(ticket, "/a/");
        poison.fingerprint = [9; 16];
        let target = start(&process.arrive(poison)).target;
        let effects = process.end(ticket, Outcome::Lost { crashed: true });
        process.send(Event::Left { ticket, events: 0 });
        let asked = effects.iter().any(|effect| matches!(effect, Effect::Probe { .. }));
        process.send(Event::Probed { target, reached: false });
        asked
    };
    assert!(crash(1) && crash(2));

    let mut poison = request(3, "/a/");
    poison.fingerprint = [9; 16];
    let effects = process.arrive(poison);

    assert_eq!(refusal(&effects).reason, Reason::Quarantined);
}

#[test]
fn a_body_whose_answer_was_lost_by_a_living_target_is_not_refused() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(9));
    for ticket in 1..5 {
        let mut body = request(ticket, "/a/");
        body.fingerprint = [9; 16];
        let target = start(&process.arrive(body)).target;
        process.end(ticket, Outcome::Lost { crashed: true });
        process.send(Event::Left { ticket, events: 0 });
        process.send(Event::Probed { target, reached: true });
    }

    let mut again = request(5, "/a/");
    again.fingerprint = [9; 16];

    assert_eq!(starts(&process.arrive(again)).len(), 1);
}

#[test]
fn a_limit_refuses_what_lies_beyond_it_and_says_when_to_come_back() {
    let plan = plan(1, vec![route("/a/", Repeat::Safe)], Some(limit(100.0)));
    let mut process = process(plan, targets(9));

    let refused = (0..40).find_map(|ticket| {
        let effects = process.arrive(request(ticket, "/a/"));
        process.end(ticket, Outcome::Done);
        starts(&effects).is_empty().then(|| refusal(&effects))
    });

    let refused = refused.expect("a limit of 100 tokens a second refuses 40 times 110 tokens");
    assert_eq!(refused.reason, Reason::Limit);
    assert!(refused.retry_after.is_some_and(|wait| !wait.is_zero()));
}

#[test]
fn units_of_a_request_that_ran_are_not_given_back() {
    let plan = plan(1, vec![route("/a/", Repeat::Safe)], Some(limit(1_000.0)));
    let mut process = process(plan, targets(9));
    process.arrive(request(1, "/a/"));

    process.end(1, Outcome::Done);

    let now = process.now.steady;
    assert_eq!(process.state.row(now).accounts[0].spent, 110);
}

#[test]
fn units_of_a_request_that_did_not_run_are_given_back() {
    let plan = plan(1, vec![route("/a/", Repeat::Safe)], Some(limit(1_000.0)));
    let mut process = process(plan, Vec::new());
    process.arrive(request(1, "/a/"));

    process.pass(Duration::from_secs(1));

    let now = process.now.steady;
    assert_eq!(process.state.row(now).accounts[0].spent, 0);
}

#[test]
fn a_process_that_leaves_takes_only_what_ends_before() {
    let mut process = process(plan(1, vec![route("/a/", Repeat::Safe)], None), targets(1));
    let end = process.now.steady + Duration::from_secs(4);
    process.send(Event::Drain { end });
    let mut short = request(1, "/a/");
    short.patience = Some(Duration::from_secs(3));

    let taken = process.arrive(short);
    let refused = process.arrive(request(2, "/a/"));

    assert_eq!(starts(&taken).len(), 1);
    let refusal = refusal(&refused);
    assert_eq!((refusal.reason, refusal.not_run), (Reason::Draining, true));
    assert_eq!(refusal.retry_after, Some(Duration::ZERO));
    assert!(!process.state.is_ready());
}
