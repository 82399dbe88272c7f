//! The rule about leaving targets.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use super::{
    Judgement, Place, Violation,
    corpus::{Corpus, Seen},
};
use crate::{
    history::Span,
    record::{Fact, Run, Subject},
};

/// Time within which a leaving target must get no new work any more, by the clocks of the
/// processes that tell it.
pub const LIMIT: Duration = Duration::from_secs(5);

/// When something was first told to leave, or to be back.
struct Change {
    at: SystemTime,
    leaving: bool,
    place: Place,
}

/// No run starts at a target later than the limit after it was first told to leave.
pub fn leaving_targets(corpus: &Corpus<'_>, span: Span) -> Judgement {
    let changes = changes(corpus);
    let mut judgement = Judgement { checked: changes.len(), ..Judgement::default() };
    for seen in corpus.all.iter().filter(|seen| seen.is_in(span)) {
        let Fact::Run(run) = &seen.record.fact else {
            continue;
        };
        let process = &seen.chain.process;
        let subjects = [Subject::Host(process.host.clone()), Subject::Target(process.name.clone())];
        for subject in subjects {
            judgement.violations.extend(late(&changes, &subject, seen, run));
        }
        judgement.violations.extend(drained(seen, run));
    }
    judgement
}

fn late(
    changes: &BTreeMap<Subject, Vec<Change>>,
    subject: &Subject,
    seen: &Seen<'_>,
    run: &Run,
) -> Option<Violation> {
    let before = changes.get(subject)?.iter().filter(|change| change.at <= run.started);
    let leaving: Vec<&Change> = before.collect();
    let back = leaving.iter().rposition(|change| !change.leaving).map_or(0, |back| back + 1);
    let told = leaving.get(back)?;
    let late = run.started.duration_since(told.at).ok().filter(|late| *late > LIMIT)?;
    let message = format!(
        "request {} started {} ms after its target was told to leave",
        run.id.request,
        late.as_millis()
    );
    Some(Violation { message, records: vec![told.place.clone(), seen.place()] })
}

/// A run that started after its own agent said that it takes no new work.
fn drained(seen: &Seen<'_>, run: &Run) -> Option<Violation> {
    let records = seen.chain.batches.iter().flat_map(|placed| &placed.batch.records);
    let draining = records.filter(|record| record.fact == Fact::Draining).map(|record| record.at);
    let late = run.started.duration_since(draining.min()?).ok().filter(|late| *late > LIMIT)?;
    let message = format!(
        "request {} started {} ms after its agent began to drain",
        run.id.request,
        late.as_millis()
    );
    Some(Violation { message, records: vec![seen.place()] })
}

fn changes(corpus: &Corpus<'_>) -> BTreeMap<Subject, Vec<Change>> {
    let mut changes: BTreeMap<Subject, Vec<Change>> = BTreeMap::new();
    for seen in &corpus.all {
        if let Fact::Departure(departure) = &seen.record.fact {
            let (at, leaving) = (seen.record.at, departure.leaving);
            let change = Change { at, leaving, place: seen.place() };
            changes.entry(departure.subject.clone()).or_default().push(change);
        }
    }
    for changes in changes.values_mut() {
        changes.sort_by_key(|change| change.at);
    }
    changes
}
