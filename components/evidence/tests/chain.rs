//! Checks that lost, forged, duplicated, reordered and unfinished chains are detected.

mod support;

use evidence::{
    Fact, audit,
    audit::{Rule, Verdict},
    batch::{self, Envelope, Sealed},
    history::{self, Flaw, Read, Span},
};
use support::Writer;

/// Returns a closed chain of five batches with one record each.
fn chain() -> Writer {
    let mut agent = support::agent("t1");
    for number in 0..4_u64 {
        let digest = number.into();
        let run = support::run(digest, number * 1_000 + 100, digest);
        agent.batch(number * 1_000 + 900, vec![(number * 1_000 + 500, Fact::Run(run))]);
    }
    agent.batch(5_000, vec![(4_900, Fact::Closed { open: 0 })]);
    agent
}

fn flaws(batches: Vec<Sealed>) -> Vec<Flaw> {
    flaws_of(support::reads(batches))
}

fn flaws_of(stream: Vec<Read>) -> Vec<Flaw> {
    history::assemble(stream).gaps.into_iter().map(|gap| gap.flaw).collect()
}

/// Returns the verdicts on the rules `DispatchedOnce` and `Evidence`.
fn verdicts(batches: Vec<Sealed>) -> (Verdict, Verdict) {
    let report = audit(&history::assemble(support::reads(batches)), Span::default());
    let verdict = |rule| report.finding(rule).unwrap().verdict;
    (verdict(Rule::DispatchedOnce), verdict(Rule::Evidence))
}

#[test]
fn a_complete_chain_has_no_flaw() {
    let batches = chain().seal();

    assert_eq!(flaws(batches.clone()), []);
    assert_eq!(verdicts(batches), (Verdict::Held, Verdict::Held));
}

#[test]
fn a_missing_batch_is_a_gap() {
    let mut batches = chain().seal();
    batches.remove(2);

    let found = flaws(batches.clone());

    assert!(matches!(found.as_slice(), [Flaw::Missing { first: 3, last: 3, .. }]), "{found:?}");
    assert_eq!(verdicts(batches), (Verdict::NotProvable, Verdict::NotProvable));
}

#[test]
fn a_chain_without_its_start_is_a_gap() {
    let batches = chain().seal().split_off(2);

    let found = flaws(batches);

    assert!(matches!(found.as_slice(), [Flaw::Missing { first: 1, last: 2, .. }]), "{found:?}");
}

#[test]
fn records_that_the_full_buffer_dropped_are_a_gap() {
    let mut agent = chain();
    agent.batches[2].lost = 7;

    let found = flaws(agent.seal());

    assert!(matches!(found.as_slice(), [Flaw::Lost { count: 7, sequence: 3, .. }]), "{found:?}");
}

#[test]
fn a_batch_whose_content_does_not_match_its_digest_is_forged() {
    let agent = chain();
    let mut changed = agent.clone();
    changed.batches[2].records.clear();
    let mut batches = agent.seal();
    batches[2].content = changed.seal()[2].content.clone();

    let found = flaws(batches.clone());

    assert!(found.iter().any(|flaw| matches!(flaw, Flaw::Forged { offset: 3, .. })), "{found:?}");
    assert!(found.iter().any(|flaw| matches!(flaw, Flaw::Missing { first: 3, .. })), "{found:?}");
    assert_eq!(verdicts(batches), (Verdict::NotProvable, Verdict::Violated));
}

#[test]
fn a_batch_that_was_replaced_together_with_its_digest_breaks_the_chain() {
    let agent = chain();
    let mut changed = agent.clone();
    changed.batches[2].records.clear();
    let mut batches = agent.seal();
    batches[2] = changed.seal()[2].clone();

    let found = flaws(batches.clone());

    assert!(matches!(found.as_slice(), [Flaw::Broken { sequence: 4, .. }]), "{found:?}");
    assert_eq!(verdicts(batches).1, Verdict::Violated);
}

#[test]
fn two_different_batches_with_the_same_number_are_found() {
    let agent = chain();
    let mut changed = agent.clone();
    changed.batches[2].records.clear();
    let mut batches = agent.seal();
    batches.push(changed.seal()[2].clone());

    let found = flaws(batches);

    assert!(matches!(found.as_slice(), [Flaw::Doubled { sequence: 3, .. }]), "{found:?}");
}

#[test]
fn a_reordered_chain_is_broken() {
    let sealed = chain().seal();
    let mut second = batch::unseal(&sealed[1]).unwrap();
    let mut third = batch::unseal(&sealed[2]).unwrap();
    std::mem::swap(&mut second.sequence, &mut third.sequence);
    let mut batches = sealed;
    batches[1] = batch::seal(&third);
    batches[2] = batch::seal(&second);

    let found = flaws(batches);

    let broken = found.iter().filter(|flaw| matches!(flaw, Flaw::Broken { .. })).count();
    assert_eq!(broken, 3, "{found:?}");
}

#[test]
fn a_batch_that_was_appended_twice_or_late_is_no_flaw() {
    let mut batches = chain().seal();
    batches.push(batches[1].clone());
    batches.swap(2, 3);

    assert_eq!(flaws(batches), []);
}

#[test]
fn an_empty_batch_after_the_last_record_leaves_a_chain_closed() {
    let mut agent = chain();
    agent.batch(5_100, Vec::new());

    let history = history::assemble(support::stream(&[agent]));

    assert!(history.chains[0].is_closed());
}

#[test]
fn a_process_that_stopped_without_closing_its_chain_is_a_gap() {
    let mut stopped = chain();
    stopped.batches.pop();
    let mut other = support::agent("t2");
    other.batch(1_000_000, vec![(999_000, Fact::Closed { open: 0 })]);

    let found = flaws_of(support::stream(&[stopped, other]));

    assert!(matches!(found.as_slice(), [Flaw::Stopped { sequence: 4, .. }]), "{found:?}");
}

#[test]
fn a_record_of_the_stream_that_is_not_an_envelope_is_forged() {
    let mut stream = support::stream(&[chain()]);
    stream.push(Read { offset: 6, payload: "{\"batches\": 7}".to_owned() });

    let found = flaws_of(stream);

    assert!(matches!(found.as_slice(), [Flaw::Forged { offset: 6, .. }]), "{found:?}");
}

#[test]
fn one_record_may_contain_several_batches() {
    let envelope = Envelope { batches: chain().seal() };
    let payload = serde_json::to_string(&envelope).unwrap();

    assert_eq!(flaws_of(vec![Read { offset: 1, payload }]), []);
}
