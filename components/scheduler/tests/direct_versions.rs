//! Streams of pools whose targets run several versions of their software.

mod direct_support;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use direct_support::{Process, address, configuration, dispatches, empty_process, request, target};
use model::reservation::Load;
use scheduler::direct::{
    self, Dispatch, Effect, Event, Outcome, RefusalReason, Request, Resumption, Target, Ticket,
    origin::stream_key, plan::Repeat, rollout::Version,
};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Number of streams that each test begins.
const STREAMS: u64 = 24;
/// Result of a dispatch whose connection broke off.
const BROKEN_OFF: Outcome = Outcome::Incomplete { crashed: false };

/// How the targets admit requests.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Admission {
    /// Entry processes share the slots.
    Shared,
    /// Each target has an agent.
    Agents,
}

/// Returns 18 targets, six of each version.
fn versioned_targets(admission: Admission) -> Vec<Target> {
    let targets = (0..18_u16).map(|number| Target {
        version: VERSIONS[usize::from(number % 3)].into(),
        agent_address: (admission == Admission::Agents).then(|| address(2_000 + number)),
        slots: 4,
        ..target(number)
    });
    targets.collect()
}

/// Returns a process that has listed these targets since its start, with a retry budget that isn't empty.
fn entry_process(targets: Vec<Target>) -> Process {
    let mut route = direct_support::route("/resume/", Repeat::Resumable);
    route.max_attempts = 4;
    let mut entry = empty_process(1);
    let configuration = configuration(1, vec![route], None);
    entry.send(Event::ConfigurationRead(Arc::new(configuration)));
    entry.confirm_configuration();
    entry.list_targets(targets);
    // The retry budget fills with time.
    entry.advance(Duration::from_secs(30));
    entry.confirm_configuration();
    entry.advance(2_500 * MS);
    entry.confirm_configuration();
    entry
}

fn stream(ticket: Ticket) -> Request {
    let spread = ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Request { spread, ..request(ticket, "/resume/") }
}

/// Returns the dispatches among the effects, and those that follow once each reservation is granted.
fn granted_dispatches(entry: &mut Process, effects: Vec<Effect>) -> Vec<Dispatch> {
    let mut sent = dispatches(&effects);
    for reservation in direct_support::reservations(&effects) {
        let (ticket, number) = (reservation.ticket, reservation.number);
        let granted = entry.send(Event::Granted { ticket, number, load: Load::default() });
        sent.extend(dispatches(&granted));
    }
    sent
}

fn version_of(targets: &[Target], dispatch: &Dispatch) -> Version {
    let target = targets.iter().find(|target| target.name == dispatch.target);
    target.expect("a listed target").version.clone()
}

/// Guards against streams that hold events from targets of two versions, since the next target is chosen by
/// lane and load only.
#[test_case(Admission::Shared, BROKEN_OFF; "shared slots, broken off")]
#[test_case(Admission::Agents, BROKEN_OFF; "agents, broken off")]
#[test_case(Admission::Shared, Outcome::Unresponsive; "shared slots, unresponsive")]
#[test_case(Admission::Agents, Outcome::Unresponsive; "agents, unresponsive")]
fn a_begun_stream_goes_on_only_at_the_version_that_began_it(
    admission: Admission,
    outcome: Outcome,
) {
    let targets = versioned_targets(admission);
    let mut entry = entry_process(targets.clone());
    let mut versions: BTreeMap<Ticket, Vec<Version>> = BTreeMap::new();

    for ticket in 0..STREAMS {
        let effects = entry.arrive(stream(ticket));
        let mut sent = granted_dispatches(&mut entry, effects);
        for _ in 0..2 {
            assert_eq!(sent.len(), 1, "stream {ticket}");
            versions.entry(ticket).or_default().push(version_of(&targets, &sent[0]));
            entry.send(Event::AnswerBegan { ticket });
            let ended = Event::DispatchEnded { ticket, outcome, begun: true, events: 3 };
            let effects = entry.send(ended);
            sent = granted_dispatches(&mut entry, effects);
        }
        versions.entry(ticket).or_default().extend(sent.iter().map(|d| version_of(&targets, d)));
        entry.send(Event::CallerDisconnected { ticket, events: 0 });
        // Backoffs end, and the retry budget fills again.
        entry.advance(3_000 * MS);
        entry.confirm_configuration();
    }

    let joined = versions.values().filter(|of| of.iter().any(|version| *version != of[0]));
    assert_eq!(joined.count(), 0, "{versions:?}");
    assert!(versions.values().all(|of| of.len() == 3), "{versions:?}");
}

/// Returns a process with these targets, and the target of a stream that began there and broke off.
fn process_with_broken_stream(targets: Vec<Target>) -> (Process, Target, Vec<Effect>) {
    let mut entry = entry_process(targets.clone());
    let effects = entry.arrive(stream(1));
    let sent = dispatches(&effects);
    let first = targets.into_iter().find(|target| target.name == sent[0].target);
    entry.send(Event::AnswerBegan { ticket: 1 });
    let ended = Event::DispatchEnded { ticket: 1, outcome: BROKEN_OFF, begun: true, events: 3 };
    let effects = entry.send(ended);
    (entry, first.expect("a listed target"), effects)
}

/// Returns one target of each version.
fn one_target_of_each_version() -> Vec<Target> {
    versioned_targets(Admission::Shared).into_iter().take(3).collect()
}

/// Guards against streams that move to a slot that was taken at another version before their answer began.
#[test]
fn a_stream_that_begins_while_a_slot_is_held_at_another_version_does_not_move_there() {
    let targets = one_target_of_each_version();
    let mut entry = entry_process(targets.clone());
    let effects = entry.arrive(stream(1));
    let first = version_of(&targets, &direct_support::only_dispatch(&effects));
    let moved = entry.send(Event::TargetUnresponsive { ticket: 1, begun: false });
    assert!(moved.iter().any(|effect| matches!(effect, Effect::CancelDispatch { .. })));

    let mut effects = entry.send(Event::AnswerBegan { ticket: 1 });
    let outcome = Outcome::Unresponsive;
    let ended = Event::DispatchEnded { ticket: 1, outcome, begun: true, events: 1 };
    effects.extend(entry.send(ended));
    (0..40).for_each(|_| effects.extend(entry.advance(100 * MS)));

    let versions: Vec<_> = dispatches(&effects).iter().map(|d| version_of(&targets, d)).collect();
    assert!(versions.iter().all(|version| *version == first), "{first}: {versions:?}");
}

/// Guards against streams that go on at a target that started again, or that has the name of an earlier one,
/// with another version.
#[test_case(1; "its start isn't known")]
#[test_case(2; "it started again")]
fn a_stream_does_not_go_on_at_a_target_that_has_another_version_now(incarnation: u64) {
    let (mut entry, first, effects) = process_with_broken_stream(one_target_of_each_version());
    assert!(dispatches(&effects).is_empty(), "{effects:?}");
    let other = Target { name: "target-9".into(), ..first.clone() };
    let upgraded = Target { version: "v2".into(), incarnation, ..other.clone() };

    entry.list_targets(vec![upgraded.clone()]);
    let waiting = entry.advance(100 * MS);
    let listed = entry.list_targets(vec![upgraded, Target { name: "target-10".into(), ..other }]);

    assert!(dispatches(&waiting).is_empty(), "{waiting:?}");
    assert_eq!(direct_support::only_dispatch(&listed).target, "target-10");
}

/// Guards against callers that wait past their deadline, or get no reason, while no target of the version that
/// began their stream serves.
#[test]
fn a_stream_whose_version_is_gone_is_refused_at_its_deadline() {
    let (mut entry, _, mut effects) = process_with_broken_stream(one_target_of_each_version());
    (0..49).for_each(|_| effects.extend(entry.advance(100 * MS)));
    assert!(direct_support::refusals(&effects).is_empty(), "{effects:?}");

    let effects = entry.advance(100 * MS);

    let refusal = direct_support::only_refusal(&effects);
    assert_eq!(refusal.reason, RefusalReason::VersionUnavailable);
    assert!(!refusal.not_run);
    assert_eq!(entry.state.open_requests(), 0);
}

/// Returns how many of 60 streams that break off before their first event are dispatched again, while `waiting`
/// streams wait for versions that no target runs.
fn retries_beside(waiting: u64) -> usize {
    let mut entry = entry_process(versioned_targets(Admission::Shared));
    for ticket in 0..waiting {
        assert_eq!(dispatches(&entry.arrive(stream(ticket))).len(), 1, "stream {ticket}");
        entry.send(Event::AnswerBegan { ticket });
    }
    let target = |number| Target { version: "v2".into(), slots: 60, ..target(number) };
    entry.list_targets((20..30).map(target).collect());
    for ticket in 0..waiting {
        let ended = Event::DispatchEnded { ticket, outcome: BROKEN_OFF, begun: true, events: 1 };
        assert!(dispatches(&entry.send(ended)).is_empty());
    }
    let mut sent = 0;
    for ticket in 100..160 {
        let arrived = dispatches(&entry.arrive(stream(ticket)));
        assert!(arrived.iter().any(|dispatch| dispatch.ticket == ticket), "stream {ticket}");
        let ended = Event::DispatchEnded { ticket, outcome: BROKEN_OFF, begun: false, events: 0 };
        sent += arrived.len() + dispatches(&entry.send(ended)).len();
    }
    sent - 60
}

/// Guards against streams that take the retry budget, or the places of other requests, while they wait for a
/// version that no target runs.
#[test]
fn streams_that_wait_for_their_version_take_nothing_from_others() {
    let alone = retries_beside(0);

    let beside = retries_beside(40);

    // Each waiting stream was a request, which adds a fraction of a retry to the budget.
    assert!(alone > 20 && beside >= alone, "{alone} {beside}");
}

/// Returns a request that resumes the stream of an earlier attempt.
fn resumed_stream(ticket: Ticket) -> Request {
    let first_attempt = Some("first-attempt".into());
    Request { resumption: Some(Resumption { first_attempt }), ..stream(ticket) }
}

/// Returns the agents that the effects ask for the version of a stream.
fn asked_agents(effects: &[Effect]) -> Vec<SocketAddr> {
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::FindOrigin { agents, .. } => Some(agents.clone()),
        _ => None,
    });
    asked.flatten().collect()
}

/// Returns the agents at which the effects record the version of a stream.
fn homes(effects: &[Effect]) -> Vec<SocketAddr> {
    let homes = effects.iter().filter_map(|effect| match effect {
        Effect::RecordOrigin { agent, .. } => Some(*agent),
        _ => None,
    });
    homes.collect()
}

/// Guards against streams that go on anywhere, or callers that wait to their deadlines, while the agents that
/// may know the version don't answer.
#[test]
fn a_stream_is_refused_once_its_version_can_not_be_found() {
    let mut entry = entry_process(versioned_targets(Admission::Agents));
    let mut effects = entry.arrive(resumed_stream(1));
    let mut lookups = 0;

    while !asked_agents(&effects).is_empty() {
        lookups += 1;
        assert!(dispatches(&effects).is_empty(), "{effects:?}");
        effects = entry.send(Event::OriginAnswered { ticket: 1, version: None, unanswered: 2 });
        effects.extend(entry.advance(200 * MS));
    }

    let refusal = direct_support::only_refusal(&effects);
    assert_eq!(
        (lookups, refusal.reason, refusal.not_run),
        (3, RefusalReason::VersionUnknown, true)
    );
    assert!(refusal.retry_after.is_some_and(|wait| wait < 1_000 * MS), "{refusal:?}");
}

/// Guards against a process that has just started and refuses streams, or sends them anywhere, since it doesn't
/// know the agents yet.
#[test]
fn a_stream_waits_for_the_first_list_of_targets_before_its_version_is_looked_up() {
    let mut entry = empty_process(1);
    let route = direct_support::route("/resume/", Repeat::Resumable);
    let configuration = configuration(1, vec![route], None);
    entry.send(Event::ConfigurationRead(Arc::new(configuration)));
    entry.confirm_configuration();
    let early = entry.arrive(resumed_stream(1));
    let targets = versioned_targets(Admission::Agents);

    let listed = entry.list_targets(targets.clone());
    let version = Some("v1.1".to_owned());
    let found = entry.send(Event::OriginAnswered { ticket: 1, version, unanswered: 0 });

    assert!(asked_agents(&early).is_empty() && direct_support::refusals(&early).is_empty());
    assert_eq!(asked_agents(&listed).len(), 4);
    let sent = granted_dispatches(&mut entry, found);
    assert_eq!(version_of(&targets, &sent[0]), "v1.1");
}

/// Guards against records that are lost with the agents that keep them, while their stream still runs.
#[test]
fn a_stream_is_recorded_at_other_agents_when_its_homes_leave_or_are_unreachable() {
    let targets = versioned_targets(Admission::Agents);
    let mut entry = entry_process(targets.clone());
    let effects = entry.arrive(stream(1));
    assert_eq!(granted_dispatches(&mut entry, effects).len(), 1);
    let first = homes(&entry.send(Event::AnswerBegan { ticket: 1 }));
    assert_eq!(first.len(), 2);

    let unrecorded = Event::OriginUnrecorded { ticket: 1, agent: first[0] };
    let replaced = homes(&entry.send(unrecorded.clone()));
    let repeated = homes(&entry.send(unrecorded));
    let is_left = |target: &&Target| target.agent_address == Some(first[1]);
    let left =
        targets.iter().map(|target| Target { is_ready: !is_left(&target), ..target.clone() });
    let listed = homes(&entry.list_targets(left.collect()));
    let asked = asked_agents(&entry.arrive(Request {
        resumption: Some(Resumption { first_attempt: Some("request-1".into()) }),
        ..stream(2)
    }));

    assert_eq!((replaced.len(), repeated.len()), (1, 0));
    assert!(!first.contains(&replaced[0]) && !listed.contains(&first[1]), "{first:?} {listed:?}");
    assert!(asked.contains(&replaced[0]), "{asked:?} {replaced:?}");
}

/// Guards against records that decide about the stream of another account, or about one that another pool began.
#[test]
fn attempts_with_the_same_id_are_different_streams_in_other_accounts_and_pools() {
    let pool = "pool".to_owned();
    let stream_key = |account, request: &Request| stream_key(account, &pool, request);
    let key = |account| stream_key(account, &stream(1));

    assert_ne!(key(Some("one")), key(Some("two")));
    let other_pool = direct::origin::stream_key(Some("one"), &"other".to_owned(), &stream(1));
    assert_ne!(key(Some("one")), other_pool);
    assert_eq!(
        key(Some("one")),
        stream_key(
            Some("one"),
            &Request {
                resumption: Some(Resumption { first_attempt: Some("request-1".into()) }),
                ..stream(2)
            }
        )
    );
}

/// Guards against callers that are told that their resumed stream may have run, or that wait past their deadline,
/// while no target of its version serves.
#[test]
fn a_resumed_stream_of_a_version_that_is_gone_has_not_run() {
    let mut entry = entry_process(versioned_targets(Admission::Agents));
    entry.arrive(resumed_stream(1));
    let version = Some("v0.9".to_owned());
    let found = Event::OriginAnswered { ticket: 1, version, unanswered: 0 };
    let mut effects = entry.send(found);
    (0..49).for_each(|_| effects.extend(entry.advance(100 * MS)));
    assert!(direct_support::refusals(&effects).is_empty(), "{effects:?}");
    assert!(dispatches(&effects).is_empty() && direct_support::reservations(&effects).is_empty());

    let effects = entry.advance(100 * MS);

    let refusal = direct_support::only_refusal(&effects);
    assert_eq!((refusal.reason, refusal.not_run), (RefusalReason::VersionUnavailable, true));
}

/// Returns a request that resumes a stream without naming the attempt that began it.
fn unnamed_stream(ticket: Ticket) -> Request {
    Request { resumption: Some(Resumption { first_attempt: None }), ..stream(ticket) }
}

/// Returns targets of one version, without agents.
fn targets_of(version: &str) -> Vec<Target> {
    let targets = versioned_targets(Admission::Shared).into_iter();
    targets.map(|target| Target { version: version.into(), ..target }).collect()
}

/// Returns a process that has listed only this version for longer than a stream lasts.
fn process_of_one_version(version: &str) -> Process {
    let mut entry = empty_process(1);
    let route = direct_support::route("/resume/", Repeat::Resumable);
    let configuration = configuration(1, vec![route], None);
    entry.send(Event::ConfigurationRead(Arc::new(configuration)));
    entry.list_targets(targets_of(version));
    confirm_list(&mut entry);
    entry.advance(Duration::from_secs(10));
    entry.confirm_configuration();
    confirm_list(&mut entry);
    entry
}

/// Ends a read of the list that began now and returned nothing new.
fn confirm_list(entry: &mut Process) -> Vec<Effect> {
    entry.send(Event::TargetListConfirmed { at: entry.now.steady })
}

/// Guards against a process that was cut off while a version joined, and sends the streams of that version to the only
/// one that it lists.
#[test]
fn a_stream_that_no_agent_knows_waits_for_a_list_that_is_read_after_its_arrival() {
    let mut entry = process_of_one_version("v1");
    entry.advance(10 * MS);
    let arrived = entry.arrive(unnamed_stream(1));
    let begun_before = Event::TargetListConfirmed { at: entry.now.steady - 5 * MS };
    let by_old_read = entry.send(begun_before);
    entry.advance(10 * MS);

    let by_new_read = confirm_list(&mut entry);

    assert!(dispatches(&arrived).is_empty() && dispatches(&by_old_read).is_empty());
    assert_eq!(dispatches(&by_new_read).len(), 1);
}

/// Guards against the same, where the list shows the version that joined.
#[test]
fn a_stream_that_no_agent_knows_is_refused_once_a_second_version_is_listed() {
    let mut entry = process_of_one_version("v1");
    entry.advance(10 * MS);
    let arrived = entry.arrive(unnamed_stream(1));
    entry.advance(10 * MS);
    let mut targets = targets_of("v1");
    targets[0].version = "v1.1".into();

    let listed = entry.list_targets(targets);
    let confirmed = confirm_list(&mut entry);

    assert!(dispatches(&[arrived, listed].concat()).is_empty());
    let refusal = direct_support::only_refusal(&confirmed);
    assert_eq!((refusal.reason, refusal.not_run), (RefusalReason::VersionUnknown, true));
}

/// Guards against streams of a version that has just left, which go on at the one that replaced it.
#[test]
fn a_version_that_left_may_have_begun_a_stream_for_the_timeout_of_its_route() {
    let mut entry = process_of_one_version("v1");
    entry.list_targets(targets_of("v1.1"));
    confirm_list(&mut entry);
    let mut resume_after = |wait: Duration, ticket: Ticket| {
        entry.advance(wait);
        entry.confirm_configuration();
        let mut effects = entry.arrive(unnamed_stream(ticket));
        effects.extend(confirm_list(&mut entry));
        (dispatches(&effects).len(), direct_support::refusals(&effects).len())
    };

    let soon = resume_after(4_900 * MS, 1);
    let later = resume_after(200 * MS, 2);

    assert_eq!((soon, later), ((0, 1), (1, 0)));
}

/// Guards against streams that go on at the only version that a process has seen since it started.
#[test]
fn a_process_that_has_just_started_does_not_know_which_version_began_a_stream() {
    let mut entry = empty_process(1);
    let route = direct_support::route("/resume/", Repeat::Resumable);
    entry.send(Event::ConfigurationRead(Arc::new(configuration(1, vec![route], None))));
    entry.confirm_configuration();
    entry.list_targets(targets_of("v1"));
    confirm_list(&mut entry);
    entry.advance(10 * MS);

    let mut effects = entry.arrive(unnamed_stream(1));
    effects.extend(confirm_list(&mut entry));

    assert!(dispatches(&effects).is_empty());
    assert_eq!(direct_support::only_refusal(&effects).reason, RefusalReason::VersionUnknown);
}

/// Guards against callers that wait to their deadlines while the list can't be read.
#[test]
fn a_stream_that_no_agent_knows_is_refused_while_the_list_is_not_read() {
    let mut entry = process_of_one_version("v1");
    entry.advance(10 * MS);

    let mut effects = entry.arrive(unnamed_stream(1));
    effects.extend(entry.advance(1_900 * MS));
    let waiting = direct_support::refusals(&effects).len();
    effects.extend(entry.advance(100 * MS));

    assert_eq!(waiting, 0);
    let refusal = direct_support::only_refusal(&effects);
    assert_eq!((refusal.reason, refusal.not_run), (RefusalReason::VersionUnknown, true));
    assert!(refusal.retry_after.is_some());
}
