//! Streams of pools whose targets run several versions of their software.

mod direct_support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use direct_support::{Process, address, configuration, dispatches, empty_process, request, target};
use model::reservation::Load;
use scheduler::direct::{
    Dispatch, Effect, Event, Outcome, Request, Target, Ticket, plan::Repeat, rollout::Version,
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
