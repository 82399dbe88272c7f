//! Parts of prompts that crash each target that begins to write an answer on them. Requests that share such a
//! part are otherwise all different, and sound requests share their account and their other parts.

mod direct_support;

use std::time::Duration;

use direct_support::{
    Process, configuration, configured_process, dispatches,
    fleet::{self, BAD_START_MS, COMMON_PART, END_MS, Fault, Plan},
    only_dispatch, refusals, request, route, targets,
};
use model::id::PartId;
use scheduler::direct::{
    Event, Outcome, RefusalReason, Request, Target, Ticket,
    plan::Repeat,
    relay::{Topic, TopicData},
};
use test_case::test_case;

/// Time after the fifth crash from which on the part must be refused, in ms.
const WINDOW_MS: u64 = 3_000;
/// Largest number of requests with the part that may reach targets later than that.
const MAX_LATE: usize = 3;
/// Smallest fraction of the sound requests whose answers must begin.
const MIN_BEGUN: f64 = 0.9;
/// A part that crashes targets.
const BAD: PartId = 0xbad1;
/// Another part that crashes targets.
const OTHER_BAD: PartId = 0xbad2;

/// Three entry processes that share the slots of nine targets by their rows.
const WITHOUT_AGENTS: Plan = Plan {
    entries: 3,
    targets: 9,
    slots: 4,
    has_agents: false,
    sound_per_second: 25.0,
    bad_per_second: 2.0,
    bad_parts: &[BAD],
    fault: Fault::Nothing,
    seed: 1,
};
/// Five entry processes that reserve slots at agents.
const WITH_AGENTS: Plan = Plan { entries: 5, targets: 12, has_agents: true, ..WITHOUT_AGENTS };

/// Guards against a part that crashes one target after another, since each request with it has another body and
/// each process sees only some of the crashes.
#[test_case(WITHOUT_AGENTS; "slots shared by rows")]
#[test_case(WITH_AGENTS; "slots granted by agents")]
#[test_case(Plan { bad_per_second: 8.0, ..WITH_AGENTS }; "many requests with the part")]
#[test_case(Plan { bad_parts: &[BAD, OTHER_BAD], ..WITHOUT_AGENTS }; "two bad parts")]
#[test_case(Plan { bad_parts: &[BAD, OTHER_BAD], ..WITH_AGENTS }; "two bad parts with agents")]
#[test_case(Plan { fault: Fault::EntriesKilled, ..WITHOUT_AGENTS }; "processes killed in turn")]
#[test_case(Plan { fault: Fault::EntriesKilled, ..WITH_AGENTS }; "processes killed in turn with agents")]
#[test_case(Plan { fault: Fault::AllKilled, ..WITHOUT_AGENTS }; "all processes killed together")]
#[test_case(Plan { fault: Fault::AllKilled, ..WITH_AGENTS }; "all processes killed together with agents")]
#[test_case(Plan { fault: Fault::Cut, ..WITHOUT_AGENTS }; "a process cut off from the others")]
#[test_case(Plan { fault: Fault::TargetsCrash, ..WITHOUT_AGENTS }; "targets that crash by themselves too")]
#[test_case(Plan { fault: Fault::TargetsCrash, ..WITH_AGENTS }; "targets that crash by themselves with agents")]
fn a_part_of_a_prompt_that_crashes_targets_is_refused_by_all_processes(plan: Plan) {
    for seed in 0..4 {
        let mut fleet = fleet::open(Plan { seed, ..plan });

        fleet.run();

        for &bad in plan.bad_parts {
            let late = fleet.bad_after_fifth_crash(bad, WINDOW_MS);
            assert!(late <= MAX_LATE, "seed {seed}: {late} late, crashes {:?}", fleet.bad_crashes);
        }
        let is_refused_last = |sent: &fleet::Sent| sent.is_bad && sent.at > END_MS - 5_000;
        let sent_last = fleet.sent.values().filter(|sent| is_refused_last(sent)).count();
        assert_eq!(fleet.quarantined(is_refused_last), sent_last, "seed {seed}");
    }
}

/// Guards against sound requests that are refused or held up because they share an account and a part with bad
/// ones, or because they ran beside one or at a target that crashed by itself.
#[test_case(WITHOUT_AGENTS; "slots shared by rows")]
#[test_case(WITH_AGENTS; "slots granted by agents")]
#[test_case(Plan { bad_parts: &[BAD, OTHER_BAD], ..WITH_AGENTS }; "two bad parts")]
#[test_case(Plan { fault: Fault::TargetsCrash, bad_parts: &[], ..WITHOUT_AGENTS }; "many targets crash by themselves")]
#[test_case(Plan { fault: Fault::TargetsCrash, bad_parts: &[], ..WITH_AGENTS }; "many targets crash by themselves with agents")]
fn sound_requests_begin_while_a_bad_part_is_sought_and_refused(plan: Plan) {
    for seed in 0..4 {
        let mut fleet = fleet::open(Plan { seed, ..plan });

        fleet.run();

        assert_eq!(fleet.quarantined(|sent| !sent.is_bad), 0, "seed {seed}");
        for (from, to) in [(BAD_START_MS, BAD_START_MS + 6_000), (BAD_START_MS + 6_000, END_MS)] {
            let begun = fleet.begun_fraction(COMMON_PART, from, to);
            assert!(begun >= MIN_BEGUN, "seed {seed}: {begun} from {from} to {to} ms");
        }
    }
}

/// Guards against sound requests that find no target, since each process loses some before it learns of the crashes that
/// others saw.
#[test]
fn sound_requests_begin_while_two_bad_parts_are_sought_by_five_processes() {
    let mut fleet = fleet::open(Plan { seed: 13, bad_parts: &[BAD, OTHER_BAD], ..WITH_AGENTS });

    fleet.run();

    let begun = fleet.begun_fraction(COMMON_PART, BAD_START_MS, BAD_START_MS + 6_000);
    assert!(begun >= MIN_BEGUN, "{begun}, crashes {:?}", fleet.bad_crashes);
}

fn entry() -> Process {
    let mut route = route("/a/", Repeat::Resumable);
    route.target_latency = Duration::from_secs(2);
    configured_process(configuration(1, vec![route], None), targets(6))
}

fn request_with_parts(ticket: Ticket, parts: &[PartId]) -> Request {
    let mut fingerprint = [5; 16];
    fingerprint[..8].copy_from_slice(&ticket.to_le_bytes());
    Request { fingerprint, shared_parts: parts.to_vec(), ..request(ticket, "/a/") }
}

/// Guards against a second target that is lost before a probe has shown whether the first one crashed.
#[test]
fn a_request_is_not_sent_again_before_it_is_known_whether_its_target_crashed() {
    let mut entry = entry();
    let target = only_dispatch(&entry.arrive(request_with_parts(1, &[COMMON_PART, BAD]))).target;

    let ended = entry.end_dispatch(1, Outcome::Incomplete { crashed: true });
    let others = entry.arrive(request_with_parts(2, &[COMMON_PART + 1, BAD]));
    let sound = entry.arrive(request_with_parts(3, &[COMMON_PART + 2]));
    let probed = entry.send(Event::Probed { target, reached: true });

    assert!(dispatches(&ended).is_empty(), "sent again before the probe");
    assert!(dispatches(&others).is_empty(), "another request with the part");
    assert_eq!(dispatches(&sound).len(), 1);
    assert!(!dispatches(&probed).is_empty(), "the target is alive");
}

/// Guards against the refusal of a part that targets which were all lost at once had in common.
#[test]
fn targets_that_crash_at_the_same_time_count_once_against_what_they_ran() {
    let mut entry = entry();
    let dispatched: Vec<_> = (1..=6)
        .map(|ticket| only_dispatch(&entry.arrive(request_with_parts(ticket, &[COMMON_PART]))))
        .collect();

    for dispatch in &dispatched {
        entry.end_dispatch(dispatch.ticket, Outcome::Incomplete { crashed: true });
    }
    for dispatch in &dispatched {
        entry.send(Event::Probed { target: dispatch.target.clone(), reached: false });
    }
    entry.advance(Duration::from_millis(2_500));
    entry.confirm_configuration();
    let effects = entry.arrive(request_with_parts(20, &[COMMON_PART]));

    assert!(refusals(&effects).is_empty(), "{effects:?}");
}

/// Sends a request whose target crashes before its first event.
fn crash(entry: &mut Process, ticket: Ticket, parts: &[PartId]) {
    let target = only_dispatch(&entry.arrive(request_with_parts(ticket, parts))).target;
    entry.advance(Duration::from_millis(100));
    entry.end_dispatch(ticket, Outcome::Incomplete { crashed: true });
    entry.send(Event::CallerDisconnected { ticket, events: 0 });
    entry.send(Event::Probed { target, reached: false });
    entry.advance(Duration::from_secs(2));
    entry.confirm_configuration();
}

/// Guards against a part that is cleared by an answer without a length that a crash has ended, and against one that
/// is never cleared since all answers have no length.
#[test_case(false => true; "the target crashed")]
#[test_case(true => false; "the target is alive")]
fn an_answer_that_ends_with_its_connection_counts_by_whether_its_target_is_alive(
    reached: bool,
) -> bool {
    let mut entry = entry();
    (1..=2).for_each(|ticket| crash(&mut entry, ticket, &[BAD]));

    let target = only_dispatch(&entry.arrive(request_with_parts(3, &[BAD]))).target;
    entry.advance(Duration::from_millis(100));
    entry.send(Event::AnswerUnframed { ticket: 3 });
    entry.send(Event::AnswerBegan { ticket: 3 });
    entry.end_dispatch(3, Outcome::Completed);
    entry.send(Event::Probed { target, reached });
    entry.advance(Duration::from_secs(2));
    entry.confirm_configuration();
    let refused = refusals(&entry.arrive(request_with_parts(4, &[BAD])));

    assert!(refused.iter().all(|(_, refusal)| {
        (refusal.reason, refusal.not_run, refusal.retry_after)
            == (RefusalReason::Quarantined, true, None)
    }));
    !refused.is_empty()
}

/// Guards against a crash that is counted once for each process that saw it.
#[test]
fn a_crash_that_two_processes_saw_counts_once() {
    let (mut one, mut other) = (entry(), entry());
    for entry in [&mut one, &mut other] {
        let dispatch = only_dispatch(&entry.arrive(request_with_parts(1, &[BAD])));
        entry.end_dispatch(1, Outcome::Incomplete { crashed: true });
        entry.send(Event::Probed { target: dispatch.target, reached: false });
    }

    other.send(Event::Fetched {
        peer: one.address,
        topic: Topic::Crashes,
        data: one.state.topic_data(one.now, Topic::Crashes),
    });
    let Some(TopicData::Crashes(evidence)) = other.state.topic_data(other.now, Topic::Crashes)
    else {
        panic!("there is evidence");
    };

    assert_eq!(evidence.parts.len(), 1);
    assert_eq!(evidence.parts[0].crashes.len(), 1);
}

/// Guards against callers who invent parts: evidence that grows without bound, and a bad part that is forgotten
/// among invented ones.
#[test]
fn invented_parts_neither_fill_the_links_nor_hide_a_bad_part() {
    const MAX_BYTES: usize = 64 * 1_024;
    let mut entry = entry();
    for ticket in 1..=30 {
        let mut parts: Vec<PartId> = (0..30).map(|part| 1_000 * ticket + part).collect();
        if ticket % 10 == 0 {
            parts.push(BAD);
        }
        crash(&mut entry, ticket, &parts);
    }

    let evidence = entry.state.topic_data(entry.now, Topic::Crashes);
    let bytes = serde_json::to_vec(&evidence).expect("evidence can be packed").len();
    let refused = refusals(&entry.arrive(request_with_parts(100, &[7, 8, BAD])));

    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
    assert_eq!(refused.len(), 1);
}

/// Guards against a part that is refused for ever, and against more than one crash for each attempt to run it
/// again.
#[test_case(Duration::from_secs(590), false => 0; "before the quarantine ends")]
#[test_case(Duration::from_secs(610), false => 1; "after it")]
#[test_case(Duration::ZERO, true => 1; "by a new version of the software")]
fn a_quarantined_part_is_tried_again_by_one_request_at_a_time(
    time: Duration,
    has_new_version: bool,
) -> usize {
    let mut entry = entry();
    (1..=3).for_each(|ticket| crash(&mut entry, ticket, &[BAD]));
    if has_new_version {
        let updated =
            targets(6).into_iter().map(|target| Target { version: "v2".into(), ..target });
        entry.list_targets(updated.collect());
    }
    entry.advance(time);
    entry.confirm_configuration();

    let tried = (10..=12)
        .flat_map(|ticket| dispatches(&entry.arrive(request_with_parts(ticket, &[BAD]))))
        .collect::<Vec<_>>();
    if let [dispatch] = tried.as_slice() {
        entry.end_dispatch(dispatch.ticket, Outcome::Incomplete { crashed: true });
        entry.send(Event::Probed { target: dispatch.target.clone(), reached: false });
        entry.advance(Duration::from_millis(300));
        assert_eq!(refusals(&entry.arrive(request_with_parts(20, &[BAD]))).len(), 1);
    }
    tried.len()
}
