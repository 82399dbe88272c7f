//! The rule about the configuration.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use model::id::Offset;

use super::{
    Judgement, Violation,
    corpus::{Corpus, Seen},
};
use crate::{batch::Process, history::Span, record::Fact};

/// Time within which an accepted configuration must be in force everywhere.
pub const LIMIT: Duration = Duration::from_secs(7);

/// An offset that one process put into force.
struct Applied<'a> {
    offset: Offset,
    at: SystemTime,
    seen: Seen<'a>,
}

/// No process steps back, and each follows the first within the limit.
pub fn configuration(corpus: &Corpus<'_>, span: Span) -> Judgement {
    let applied = applied(corpus);
    let firsts = firsts(&applied);
    let mut judgement = Judgement::default();
    for steps in applied.values() {
        judgement.checked += steps.iter().filter(|step| step.seen.is_in(span)).count();
        judgement.violations.extend(reverted(steps, span));
        judgement.violations.extend(late(corpus, steps, &firsts, span));
    }
    judgement
}

fn applied<'a>(corpus: &'a Corpus<'_>) -> BTreeMap<&'a Process, Vec<Applied<'a>>> {
    let mut applied: BTreeMap<&Process, Vec<Applied<'_>>> = BTreeMap::new();
    for seen in corpus.all.iter().copied() {
        if let Fact::Applied { offset } = seen.record.fact {
            let step = Applied { offset, at: seen.record.at, seen };
            applied.entry(&seen.chain.process).or_default().push(step);
        }
    }
    applied
}

/// When each offset was first in force anywhere.
fn firsts(applied: &BTreeMap<&Process, Vec<Applied<'_>>>) -> BTreeMap<Offset, SystemTime> {
    let mut firsts: BTreeMap<Offset, SystemTime> = BTreeMap::new();
    for step in applied.values().flatten() {
        let first = firsts.entry(step.offset).or_insert(step.at);
        *first = step.at.min(*first);
    }
    firsts
}

fn reverted(steps: &[Applied<'_>], span: Span) -> Vec<Violation> {
    let back = |pair: &&[Applied<'_>]| pair[1].offset < pair[0].offset && pair[1].seen.is_in(span);
    let report = |pair: &[Applied<'_>]| Violation {
        message: format!("offset {} was in force after {}", pair[1].offset, pair[0].offset),
        records: vec![pair[0].seen.place(), pair[1].seen.place()],
    };
    steps.windows(2).filter(back).map(report).collect()
}

/// Offsets that this process put into force later than the limit after the first process, or
/// hadn't when it wrote its last record.
fn late(
    corpus: &Corpus<'_>,
    steps: &[Applied<'_>],
    firsts: &BTreeMap<Offset, SystemTime>,
    span: Span,
) -> Vec<Violation> {
    let Some(start) = steps.first() else {
        return Vec::new();
    };
    let Some(last) = last_record(corpus, start) else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for (offset, first) in firsts.iter().filter(|(_, first)| **first >= start.at) {
        let due = *first + LIMIT;
        let reached = steps.iter().find(|step| step.offset >= *offset);
        let witness = reached.map_or(last, |step| step.seen);
        if witness.record.at > due && Span::contains(&span, due) {
            let message =
                format!("offset {offset} wasn't in force {} s after it was first", LIMIT.as_secs());
            violations.push(Violation { message, records: vec![witness.place()] });
        }
    }
    violations
}

fn last_record<'a>(corpus: &'a Corpus<'_>, step: &Applied<'_>) -> Option<Seen<'a>> {
    let process = &step.seen.chain.process;
    corpus.all.iter().rev().copied().find(|seen| seen.chain.process == *process)
}
