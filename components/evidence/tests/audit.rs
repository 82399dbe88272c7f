//! Checks for each rule that the audit finds no violation in a valid history, and detects an
//! inserted record that violates the rule.

mod support;

use evidence::{
    Fact, Report, audit,
    audit::{Rule, Verdict},
    batch::Role,
    history::{self, Flaw, Span},
    record::{Departure, Eviction, Outcome, Request, Run, Start, Subject},
};
use model::{
    refusal::{Ran, Reason},
    reservation::Id,
};
use support::{Writer, at, non_idempotent, refused, request, run, whole};
use test_case::test_case;
use uuid::Uuid;

/// Time at which all batches are sealed, in ms after the start of the history.
const SEALED_MS: u64 = 60_000;

/// Facts of one entry process and one agent, with their times in ms after the start of the history.
struct Facts {
    entry: Vec<(u64, Fact)>,
    agent: Vec<(u64, Fact)>,
}

/// Returns facts that violate no rule.
fn valid_facts() -> Facts {
    let entry = vec![
        (10, Fact::Applied { offset: 1 }),
        (1_000, Fact::Request(whole(1, "t1", 7))),
        (2_000, Fact::Request(refused(2, Some(1)))),
        (3_000, Fact::Request(non_idempotent(whole(3, "t1", 8), 9))),
        (4_000, Fact::Request(Request { claim: Some(10), ..refused(4, None) })),
        (5_000, departure(Subject::Host("host-of-t9".to_owned()))),
        (6_000, Fact::Applied { offset: 2 }),
        (50_000, Fact::Draining),
        (51_000, Fact::Closed { open: 0 }),
    ];
    let agent = vec![
        (1_000, Fact::Run(run(1, 500, 7))),
        (2_000, Fact::Eviction(eviction(2, Some(1)))),
        (3_000, Fact::Run(run(3, 2_500, 8))),
        (50_000, Fact::Draining),
        (51_000, Fact::Closed { open: 0 }),
    ];
    Facts { entry, agent }
}

fn departure(subject: Subject) -> Fact {
    Fact::Departure(Departure { subject, leaving: true })
}

fn eviction(rank: u8, left_waiting: Option<u8>) -> Eviction {
    Eviction { id: Id { request: Uuid::from_u128(99), attempt: 1 }, rank, left_waiting }
}

fn chains(facts: Facts) -> Vec<Writer> {
    let mut entry = support::entry("e1");
    entry.batch(SEALED_MS, facts.entry);
    let mut agent = support::agent("t1");
    agent.batch(SEALED_MS, facts.agent);
    vec![entry, agent]
}

fn audit_all(writers: &[Writer]) -> Report {
    audit(&history::assemble(support::stream(writers)), Span::default())
}

fn verdict(report: &Report, rule: Rule) -> Verdict {
    report.finding(rule).unwrap().verdict
}

// Guards against false alarms, and against a rule that holds only because it checks no case.
#[test]
fn every_rule_holds_on_a_valid_history() {
    let report = audit_all(&chains(valid_facts()));

    assert_eq!(report.verdict(), Verdict::Held, "{report:#?}");
    assert!(report.findings.iter().all(|finding| finding.checked > 0), "{report:#?}");
}

fn request_dispatched_twice(facts: &mut Facts) {
    let second = Run { id: Id { attempt: 2, ..run(1, 0, 7).id }, ..run(1, 1_200, 7) };
    facts.agent.insert(1, (1_500, Fact::Run(second)));
}

fn entry_sheds_a_higher_tier_first(facts: &mut Facts) {
    facts.entry.insert(2, (1_500, Fact::Request(refused(5, Some(2)))));
}

fn agent_evicts_a_higher_tier_first(facts: &mut Facts) {
    facts.agent.insert(1, (1_500, Fact::Eviction(eviction(0, Some(1)))));
}

fn answer_differs_from_the_run(facts: &mut Facts) {
    facts.agent[0] = (1_000, Fact::Run(run(1, 500, 70)));
}

fn incomplete_answer_recorded_as_complete(facts: &mut Facts) {
    facts.agent[0] = (1_000, Fact::Run(Run { digest: None, ..run(1, 500, 7) }));
}

fn answer_without_a_run(facts: &mut Facts) {
    facts.entry[1] = (1_000, Fact::Request(Request { starts: Vec::new(), ..whole(6, "t1", 7) }));
}

fn request_refused_as_not_run_ran(facts: &mut Facts) {
    facts.agent.insert(1, (2_100, Fact::Run(run(2, 1_900, 4))));
}

fn request_with_the_same_key_ran_before(facts: &mut Facts) {
    facts.entry.insert(6, (9_000, Fact::Request(Request { claim: Some(9), ..refused(5, None) })));
}

fn non_idempotent_requests_with_one_key_ran(facts: &mut Facts) {
    facts.entry.insert(4, (3_500, Fact::Request(non_idempotent(whole(5, "t1", 8), 9))));
    facts.agent.insert(3, (3_400, Fact::Run(run(5, 3_100, 8))));
}

fn idempotent_and_non_idempotent_request_with_one_key_ran(facts: &mut Facts) {
    facts.entry.insert(4, (3_500, Fact::Request(Request { claim: Some(9), ..whole(5, "t1", 8) })));
    facts.agent.insert(3, (3_400, Fact::Run(run(5, 3_100, 8))));
}

fn run_on_a_leaving_host(facts: &mut Facts) {
    facts.entry.insert(4, (3_500, departure(Subject::Host("host-of-t1".to_owned()))));
    facts.entry.insert(7, (9_700, Fact::Request(whole(5, "t1", 8))));
    facts.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));
}

fn run_on_a_leaving_target(facts: &mut Facts) {
    facts.entry.insert(4, (3_500, departure(Subject::Target("t1".to_owned()))));
    facts.entry.insert(7, (9_700, Fact::Request(whole(5, "t1", 8))));
    facts.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));
}

fn run_after_the_agent_drained(facts: &mut Facts) {
    facts.agent[3] = (20_000, Fact::Draining);
    facts.entry.insert(7, (40_000, Fact::Request(whole(5, "t1", 8))));
    facts.agent.insert(4, (40_000, Fact::Run(run(5, 30_000, 8))));
}

fn request_in_progress_at_shutdown(facts: &mut Facts) {
    facts.agent[4] = (51_000, Fact::Closed { open: 1 });
}

fn configuration_reverted(facts: &mut Facts) {
    facts.entry.insert(7, (7_000, Fact::Applied { offset: 1 }));
}

#[test_case(request_dispatched_twice, Rule::DispatchedOnce)]
#[test_case(entry_sheds_a_higher_tier_first, Rule::TierOrder)]
#[test_case(agent_evicts_a_higher_tier_first, Rule::TierOrder)]
#[test_case(answer_differs_from_the_run, Rule::WholeAnswers)]
#[test_case(incomplete_answer_recorded_as_complete, Rule::WholeAnswers)]
#[test_case(answer_without_a_run, Rule::WholeAnswers)]
#[test_case(request_refused_as_not_run_ran, Rule::NotRun)]
#[test_case(request_with_the_same_key_ran_before, Rule::NotRun)]
#[test_case(non_idempotent_requests_with_one_key_ran, Rule::RunsOnce)]
#[test_case(idempotent_and_non_idempotent_request_with_one_key_ran, Rule::RunsOnce)]
#[test_case(run_on_a_leaving_host, Rule::LeavingTargets)]
#[test_case(run_on_a_leaving_target, Rule::LeavingTargets)]
#[test_case(run_after_the_agent_drained, Rule::LeavingTargets)]
#[test_case(request_in_progress_at_shutdown, Rule::GracefulShutdown)]
#[test_case(configuration_reverted, Rule::Configuration)]
fn an_inserted_violation_is_found(insert: fn(&mut Facts), rule: Rule) {
    let mut facts = valid_facts();
    insert(&mut facts);

    let report = audit_all(&chains(facts));

    let finding = report.finding(rule).unwrap();
    assert_eq!(finding.verdict, Verdict::Violated, "{report:#?}");
    assert!(!finding.violations[0].records.is_empty());
    let other_findings = report.findings.iter().filter(|finding| finding.rule != rule);
    let violated: Vec<Rule> =
        other_findings.filter(|f| f.verdict == Verdict::Violated).map(|f| f.rule).collect();
    assert_eq!(violated, []);
}

#[test]
fn a_process_that_applies_a_configuration_too_late_is_found() {
    let mut writers = chains(valid_facts());
    let mut late = support::entry("e2");
    let facts = vec![
        (20, Fact::Applied { offset: 1 }),
        (15_000, Fact::Applied { offset: 2 }),
        (51_000, Fact::Closed { open: 0 }),
    ];
    late.batch(SEALED_MS, facts);
    writers.push(late);

    let report = audit_all(&writers);

    assert_eq!(verdict(&report, Rule::Configuration), Verdict::Violated, "{report:#?}");
}

// Guards against a process that is overlooked because it has no record of the offset at all.
#[test]
fn a_process_that_never_applies_a_configuration_is_found() {
    let mut writers = chains(valid_facts());
    let mut frozen = support::entry("e2");
    frozen.batch(
        SEALED_MS,
        vec![(20, Fact::Applied { offset: 1 }), (51_000, Fact::Closed { open: 0 })],
    );
    writers.push(frozen);

    let report = audit_all(&writers);

    assert_eq!(verdict(&report, Rule::Configuration), Verdict::Violated, "{report:#?}");
}

// Guards against false alarms about a host that returned before the run started.
#[test]
fn a_host_that_came_back_may_receive_requests() {
    let mut facts = valid_facts();
    let subject = Subject::Host("host-of-t1".to_owned());
    facts.entry.insert(4, (3_500, departure(subject.clone())));
    let returned = Fact::Departure(Departure { subject, leaving: false });
    facts.entry.insert(5, (4_500, returned));
    facts.entry.insert(8, (9_700, Fact::Request(whole(5, "t1", 8))));
    facts.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));

    let report = audit_all(&chains(facts));

    assert_eq!(verdict(&report, Rule::LeavingTargets), Verdict::Held, "{report:#?}");
}

// Guards against counting an attempt that failed before it reached the target as a dispatch.
#[test]
fn a_request_whose_first_run_reached_no_target_may_run_again() {
    let mut facts = valid_facts();
    let failed = Run { ran: Ran::NotRun, digest: None, ..run(1, 400, 0) };
    facts.agent.insert(0, (450, Fact::Run(failed)));
    let second = Run { id: Id { attempt: 2, ..run(1, 0, 7).id }, ..run(1, 500, 7) };
    facts.agent[1] = (1_000, Fact::Run(second));

    let report = audit_all(&chains(facts));

    assert_eq!(verdict(&report, Rule::DispatchedOnce), Verdict::Held, "{report:#?}");
}

#[test]
fn without_the_evidence_of_the_agent_no_rule_about_runs_is_provable() {
    let mut writers = chains(valid_facts());
    writers.pop();

    let report = audit_all(&writers);

    for rule in [Rule::DispatchedOnce, Rule::WholeAnswers, Rule::RunsOnce] {
        let finding = report.finding(rule).unwrap();
        assert_eq!(finding.verdict, Verdict::NotProvable, "{finding:#?}");
        assert!(matches!(finding.gaps[0], Flaw::Unwitnessed { .. }));
    }
}

// Guards against treating a missing record as proof: the agent of target t2 wrote no evidence.
#[test]
fn a_refusal_after_a_start_is_not_provable_without_the_evidence_of_the_agent() {
    let mut facts = valid_facts();
    let starts = vec![Start { attempt: 1, target: "t2".to_owned() }];
    facts.entry.insert(2, (1_500, Fact::Request(Request { starts, ..refused(5, None) })));

    let report = audit_all(&chains(facts));

    assert_eq!(verdict(&report, Rule::NotRun), Verdict::NotProvable, "{report:#?}");
}

#[test]
fn a_refusal_that_admits_a_possible_run_violates_no_rule() {
    let mut facts = valid_facts();
    let outcome =
        Outcome::Refused { reason: Reason::TargetLost, ran: Ran::MayHaveRun, left_waiting: None };
    let starts = vec![Start { attempt: 1, target: "t1".to_owned() }];
    facts.entry.insert(2, (1_500, Fact::Request(Request { outcome, starts, ..request(5) })));
    facts.agent.insert(1, (1_400, Fact::Run(Run { digest: None, ..run(5, 1_300, 0) })));

    let report = audit_all(&chains(facts));

    assert_eq!(report.verdict(), Verdict::Held, "{report:#?}");
}

// The agent still runs and has written evidence up to 3500 ms only. Guards against reporting its
// later records as missing. The audited time ends 3 s earlier, which is the margin of the clocks.
#[test]
fn the_audited_time_ends_before_records_that_a_running_process_has_not_written() {
    let mut facts = valid_facts();
    facts.entry.truncate(7);
    facts.agent.truncate(1);
    let mut writers = chains(facts);
    writers[1].batches[0].sealed = at(3_500);

    let report = audit_all(&writers);

    assert_eq!(report.to, Some(at(3_500) - std::time::Duration::from_secs(3)));
    assert_eq!(verdict(&report, Rule::RunsOnce), Verdict::Held, "{report:#?}");
}

#[test]
fn no_rule_is_provable_from_an_empty_stream() {
    let report = audit_all(&[]);

    assert!(report.findings.iter().all(|finding| finding.verdict == Verdict::NotProvable));
    assert_eq!(report.findings[0].gaps, [Flaw::Empty]);
}

#[test]
fn no_rule_is_provable_for_a_time_without_evidence() {
    let history = history::assemble(support::stream(&chains(valid_facts())));

    let report = audit(&history, Span { from: Some(at(SEALED_MS + 1)), to: None });

    assert!(report.findings.iter().all(|finding| finding.gaps == [Flaw::Empty]), "{report:#?}");
}

#[test]
fn a_violation_outside_the_audited_time_is_ignored() {
    let mut facts = valid_facts();
    request_dispatched_twice(&mut facts);
    let history = history::assemble(support::stream(&chains(facts)));

    let report = audit(&history, Span { from: Some(at(2_000)), to: None });

    assert_eq!(verdict(&report, Rule::DispatchedOnce), Verdict::Held, "{report:#?}");
    assert!(history.chains.iter().any(|chain| chain.process.role == Role::Agent));
}
