//! Each rule: held on a sound history, violated by a planted record.

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
use support::{Writer, at, decision, refused, request, run, whole};
use test_case::test_case;
use uuid::Uuid;

const SEALED: u64 = 60_000;

/// Facts of one entry and one agent, that keep every rule.
struct Site {
    entry: Vec<(u64, Fact)>,
    agent: Vec<(u64, Fact)>,
}

fn sound() -> Site {
    let entry = vec![
        (10, Fact::Applied { offset: 1 }),
        (1_000, Fact::Request(whole(1, "t1", 7))),
        (2_000, Fact::Request(refused(2, Some(1)))),
        (3_000, Fact::Request(decision(whole(3, "t1", 8), 9))),
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
    Site { entry, agent }
}

fn departure(subject: Subject) -> Fact {
    Fact::Departure(Departure { subject, leaving: true })
}

fn eviction(rank: u8, left_waiting: Option<u8>) -> Eviction {
    Eviction { id: Id { request: Uuid::from_u128(99), attempt: 1 }, rank, left_waiting }
}

fn chains(site: Site) -> Vec<Writer> {
    let mut entry = support::entry("e1");
    entry.batch(SEALED, site.entry);
    let mut agent = support::agent("t1");
    agent.batch(SEALED, site.agent);
    vec![entry, agent]
}

fn judge(writers: &[Writer]) -> Report {
    audit(&history::assemble(support::stream(writers)), Span::default())
}

fn verdict(report: &Report, rule: Rule) -> Verdict {
    report.finding(rule).unwrap().verdict
}

#[test]
fn a_sound_history_holds_every_rule() {
    let report = judge(&chains(sound()));

    assert_eq!(report.verdict(), Verdict::Held, "{report:#?}");
    assert!(report.findings.iter().all(|finding| finding.checked > 0), "{report:#?}");
}

fn dispatch_twice(site: &mut Site) {
    let second = Run { id: Id { attempt: 2, ..run(1, 0, 7).id }, ..run(1, 1_200, 7) };
    site.agent.insert(1, (1_500, Fact::Run(second)));
}

fn shed_at_entry(site: &mut Site) {
    site.entry.insert(2, (1_500, Fact::Request(refused(5, Some(2)))));
}

fn shed_at_agent(site: &mut Site) {
    site.agent.insert(1, (1_500, Fact::Eviction(eviction(0, Some(1)))));
}

fn wrong_answer(site: &mut Site) {
    site.agent[0] = (1_000, Fact::Run(run(1, 500, 70)));
}

fn torn_passed_as_whole(site: &mut Site) {
    site.agent[0] = (1_000, Fact::Run(Run { digest: None, ..run(1, 500, 7) }));
}

fn no_run_at_all(site: &mut Site) {
    site.entry[1] = (1_000, Fact::Request(Request { starts: Vec::new(), ..whole(6, "t1", 7) }));
}

fn ran_after_all(site: &mut Site) {
    site.agent.insert(1, (2_100, Fact::Run(run(2, 1_900, 4))));
}

fn a_copy_ran_before(site: &mut Site) {
    site.entry.insert(6, (9_000, Fact::Request(Request { claim: Some(9), ..refused(5, None) })));
}

fn decided_twice(site: &mut Site) {
    site.entry.insert(4, (3_500, Fact::Request(decision(whole(5, "t1", 8), 9))));
    site.agent.insert(3, (3_400, Fact::Run(run(5, 3_100, 8))));
}

fn decided_twice_once_as_repeatable(site: &mut Site) {
    site.entry.insert(4, (3_500, Fact::Request(Request { claim: Some(9), ..whole(5, "t1", 8) })));
    site.agent.insert(3, (3_400, Fact::Run(run(5, 3_100, 8))));
}

fn work_for_a_leaving_host(site: &mut Site) {
    site.entry.insert(4, (3_500, departure(Subject::Host("host-of-t1".to_owned()))));
    site.entry.insert(7, (9_700, Fact::Request(whole(5, "t1", 8))));
    site.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));
}

fn work_for_a_leaving_target(site: &mut Site) {
    site.entry.insert(4, (3_500, departure(Subject::Target("t1".to_owned()))));
    site.entry.insert(7, (9_700, Fact::Request(whole(5, "t1", 8))));
    site.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));
}

fn work_after_the_agent_drained(site: &mut Site) {
    site.agent[3] = (20_000, Fact::Draining);
    site.entry.insert(7, (40_000, Fact::Request(whole(5, "t1", 8))));
    site.agent.insert(4, (40_000, Fact::Run(run(5, 30_000, 8))));
}

fn cut_at_shutdown(site: &mut Site) {
    site.agent[4] = (51_000, Fact::Closed { open: 1 });
}

fn stepped_back(site: &mut Site) {
    site.entry.insert(7, (7_000, Fact::Applied { offset: 1 }));
}

#[test_case(dispatch_twice, Rule::DispatchedOnce)]
#[test_case(shed_at_entry, Rule::TierOrder)]
#[test_case(shed_at_agent, Rule::TierOrder)]
#[test_case(wrong_answer, Rule::WholeAnswers)]
#[test_case(torn_passed_as_whole, Rule::WholeAnswers)]
#[test_case(no_run_at_all, Rule::WholeAnswers)]
#[test_case(ran_after_all, Rule::NotRun)]
#[test_case(a_copy_ran_before, Rule::NotRun)]
#[test_case(decided_twice, Rule::RunsOnce)]
#[test_case(decided_twice_once_as_repeatable, Rule::RunsOnce)]
#[test_case(work_for_a_leaving_host, Rule::LeavingTargets)]
#[test_case(work_for_a_leaving_target, Rule::LeavingTargets)]
#[test_case(work_after_the_agent_drained, Rule::LeavingTargets)]
#[test_case(cut_at_shutdown, Rule::GracefulShutdown)]
#[test_case(stepped_back, Rule::Configuration)]
fn a_planted_violation_is_named(plant: fn(&mut Site), rule: Rule) {
    let mut site = sound();
    plant(&mut site);

    let report = judge(&chains(site));

    let finding = report.finding(rule).unwrap();
    assert_eq!(finding.verdict, Verdict::Violated, "{report:#?}");
    assert!(!finding.violations[0].records.is_empty());
    let others = report.findings.iter().filter(|finding| finding.rule != rule);
    let violated: Vec<Rule> =
        others.filter(|f| f.verdict == Verdict::Violated).map(|f| f.rule).collect();
    assert_eq!(violated, []);
}

#[test]
fn a_process_that_lags_behind_a_configuration_is_named() {
    let mut writers = chains(sound());
    let mut slow = support::entry("e2");
    let facts = vec![
        (20, Fact::Applied { offset: 1 }),
        (15_000, Fact::Applied { offset: 2 }),
        (51_000, Fact::Closed { open: 0 }),
    ];
    slow.batch(SEALED, facts);
    writers.push(slow);

    let report = judge(&writers);

    assert_eq!(verdict(&report, Rule::Configuration), Verdict::Violated, "{report:#?}");
}

#[test]
fn a_process_that_never_follows_a_configuration_is_named() {
    let mut writers = chains(sound());
    let mut frozen = support::entry("e2");
    frozen
        .batch(SEALED, vec![(20, Fact::Applied { offset: 1 }), (51_000, Fact::Closed { open: 0 })]);
    writers.push(frozen);

    let report = judge(&writers);

    assert_eq!(verdict(&report, Rule::Configuration), Verdict::Violated, "{report:#?}");
}

#[test]
fn a_host_that_came_back_gets_work() {
    let mut site = sound();
    let subject = Subject::Host("host-of-t1".to_owned());
    site.entry.insert(4, (3_500, departure(subject.clone())));
    let back = Fact::Departure(Departure { subject, leaving: false });
    site.entry.insert(5, (4_500, back));
    site.entry.insert(8, (9_700, Fact::Request(whole(5, "t1", 8))));
    site.agent.insert(3, (9_700, Fact::Run(run(5, 9_000, 8))));

    let report = judge(&chains(site));

    assert_eq!(verdict(&report, Rule::LeavingTargets), Verdict::Held, "{report:#?}");
}

#[test]
fn a_run_that_provably_reached_no_target_may_be_followed_by_another() {
    let mut site = sound();
    let failed = Run { ran: Ran::NotRun, digest: None, ..run(1, 400, 0) };
    site.agent.insert(0, (450, Fact::Run(failed)));
    let second = Run { id: Id { attempt: 2, ..run(1, 0, 7).id }, ..run(1, 500, 7) };
    site.agent[1] = (1_000, Fact::Run(second));

    let report = judge(&chains(site));

    assert_eq!(verdict(&report, Rule::DispatchedOnce), Verdict::Held, "{report:#?}");
}

#[test]
fn without_the_agents_evidence_nothing_about_runs_is_proved() {
    let mut writers = chains(sound());
    writers.pop();

    let report = judge(&writers);

    for rule in [Rule::DispatchedOnce, Rule::WholeAnswers, Rule::RunsOnce] {
        let finding = report.finding(rule).unwrap();
        assert_eq!(finding.verdict, Verdict::NotProvable, "{finding:#?}");
        assert!(matches!(finding.gaps[0], Flaw::Unwitnessed { .. }));
    }
}

#[test]
fn a_refusal_after_a_start_needs_the_agents_word() {
    let mut site = sound();
    let starts = vec![Start { attempt: 1, target: "t2".to_owned() }];
    site.entry.insert(2, (1_500, Fact::Request(Request { starts, ..refused(5, None) })));

    let report = judge(&chains(site));

    assert_eq!(verdict(&report, Rule::NotRun), Verdict::NotProvable, "{report:#?}");
}

#[test]
fn a_loss_that_was_admitted_contradicts_nothing() {
    let mut site = sound();
    let outcome =
        Outcome::Refused { reason: Reason::TargetLost, ran: Ran::MayHaveRun, left_waiting: None };
    let starts = vec![Start { attempt: 1, target: "t1".to_owned() }];
    site.entry.insert(2, (1_500, Fact::Request(Request { outcome, starts, ..request(5) })));
    site.agent.insert(1, (1_400, Fact::Run(Run { digest: None, ..run(5, 1_300, 0) })));

    let report = judge(&chains(site));

    assert_eq!(report.verdict(), Verdict::Held, "{report:#?}");
}

#[test]
fn what_a_running_process_has_not_written_yet_is_not_judged() {
    let mut site = sound();
    site.entry.truncate(7);
    site.agent.truncate(1);
    let mut writers = chains(site);
    writers[1].batches[0].sealed = at(3_500);

    let report = judge(&writers);

    assert_eq!(report.to, Some(at(3_500) - std::time::Duration::from_secs(3)));
    assert_eq!(verdict(&report, Rule::RunsOnce), Verdict::Held, "{report:#?}");
}

#[test]
fn an_empty_stream_proves_nothing() {
    let report = judge(&[]);

    assert!(report.findings.iter().all(|finding| finding.verdict == Verdict::NotProvable));
    assert_eq!(report.findings[0].gaps, [Flaw::Empty]);
}

#[test]
fn a_time_without_evidence_proves_nothing() {
    let history = history::assemble(support::stream(&chains(sound())));

    let report = audit(&history, Span { from: Some(at(SEALED + 1)), to: None });

    assert!(report.findings.iter().all(|finding| finding.gaps == [Flaw::Empty]), "{report:#?}");
}

#[test]
fn evidence_of_another_time_does_not_matter() {
    let mut site = sound();
    dispatch_twice(&mut site);
    let history = history::assemble(support::stream(&chains(site)));

    let report = audit(&history, Span { from: Some(at(2_000)), to: None });

    assert_eq!(verdict(&report, Rule::DispatchedOnce), Verdict::Held, "{report:#?}");
    assert!(history.chains.iter().any(|chain| chain.process.role == Role::Agent));
}
