//! Rule: all processes apply an accepted configuration within a time limit, and none reverts it.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use model::id::Offset;

use super::{
    RuleResult, Violation,
    corpus::{Corpus, LocatedRecord},
};
use crate::{batch::Process, history::Span, record::Fact};

/// Time within which all processes must apply a configuration, measured from the first process that
/// applies it.
pub const ROLLOUT_LIMIT: Duration = Duration::from_secs(7);

/// Record that a process applied the configuration up to an offset.
struct Applied<'a> {
    offset: Offset,
    at: SystemTime,
    located: LocatedRecord<'a>,
}

/// Checks that no process returns to a lower offset, and that each process applies an offset within
/// the limit after the first process that applied it.
pub fn configuration(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let applied = applied_by_process(corpus);
    let first_times = first_applied(&applied);
    let mut result = RuleResult::default();
    for steps in applied.values() {
        result.checked += steps.iter().filter(|step| step.located.is_in(span)).count();
        result.violations.extend(reversions(steps, span));
        result.violations.extend(late_applications(corpus, steps, &first_times, span));
    }
    result
}

/// Returns the applied offsets of each process in the order of its records.
fn applied_by_process<'a>(corpus: &'a Corpus<'_>) -> BTreeMap<&'a Process, Vec<Applied<'a>>> {
    let mut applied: BTreeMap<&Process, Vec<Applied<'_>>> = BTreeMap::new();
    for located in corpus.all.iter().copied() {
        if let Fact::Applied { offset } = located.record.fact {
            let step = Applied { offset, at: located.record.at, located };
            applied.entry(&located.chain.process).or_default().push(step);
        }
    }
    applied
}

/// Returns the time at which a process first applied each offset.
fn first_applied(applied: &BTreeMap<&Process, Vec<Applied<'_>>>) -> BTreeMap<Offset, SystemTime> {
    let mut first_times: BTreeMap<Offset, SystemTime> = BTreeMap::new();
    for step in applied.values().flatten() {
        let first = first_times.entry(step.offset).or_insert(step.at);
        *first = step.at.min(*first);
    }
    first_times
}

/// Returns a violation for each step of a process to a lower offset.
fn reversions(steps: &[Applied<'_>], span: Span) -> Vec<Violation> {
    let is_reversion =
        |pair: &&[Applied<'_>]| pair[1].offset < pair[0].offset && pair[1].located.is_in(span);
    let violation = |pair: &[Applied<'_>]| Violation {
        message: format!("offset {} was in force after {}", pair[1].offset, pair[0].offset),
        records: vec![pair[0].located.place(), pair[1].located.place()],
    };
    steps.windows(2).filter(is_reversion).map(violation).collect()
}

/// Returns a violation for each offset that a process applied later than the limit after the first
/// process, or hadn't applied by then when it wrote its last record.
fn late_applications(
    corpus: &Corpus<'_>,
    steps: &[Applied<'_>],
    first_times: &BTreeMap<Offset, SystemTime>,
    span: Span,
) -> Vec<Violation> {
    let Some(start) = steps.first() else {
        return Vec::new();
    };
    let Some(last) = last_record(corpus, start) else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for (offset, first) in first_times.iter().filter(|(_, first)| **first >= start.at) {
        let deadline = *first + ROLLOUT_LIMIT;
        let reached = steps.iter().find(|step| step.offset >= *offset);
        let witness = reached.map_or(last, |step| step.located);
        if witness.record.at > deadline && Span::contains(&span, deadline) {
            let message = format!(
                "offset {offset} wasn't in force {} s after it was first",
                ROLLOUT_LIMIT.as_secs()
            );
            violations.push(Violation { message, records: vec![witness.place()] });
        }
    }
    violations
}

fn last_record<'a>(corpus: &'a Corpus<'_>, step: &Applied<'_>) -> Option<LocatedRecord<'a>> {
    let process = &step.located.chain.process;
    corpus.all.iter().rev().copied().find(|located| located.chain.process == *process)
}
