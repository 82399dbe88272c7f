//! Rule: a leaving target receives no new requests after a time limit.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use super::{
    Place, RuleResult, Violation,
    corpus::{Corpus, LocatedRecord},
};
use crate::{
    history::Span,
    record::{Fact, Run, Subject},
};

/// Time after which a leaving target must not receive new requests any more. It is measured by the
/// clocks of the processes that recorded the departure and the run.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// A recorded departure or return of a host or target.
struct DepartureRecord {
    at: SystemTime,
    leaving: bool,
    place: Place,
}

/// Checks that no run starts at a target later than the limit after the first record that the
/// target or its host leaves, or after the target's agent began to drain.
pub fn leaving_targets(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let changes = changes_by_subject(corpus);
    let mut result = RuleResult { checked: changes.len(), ..RuleResult::default() };
    for located in corpus.all.iter().filter(|located| located.is_in(span)) {
        let Fact::Run(run) = &located.record.fact else {
            continue;
        };
        let process = &located.chain.process;
        let subjects = [Subject::Host(process.host.clone()), Subject::Target(process.name.clone())];
        for subject in subjects {
            result.violations.extend(late_run(&changes, &subject, located, run));
        }
        result.violations.extend(run_after_drain(located, run));
    }
    result
}

/// Returns a violation if a run started later than the limit after its target or host (`subject`)
/// began to leave and didn't come back.
fn late_run(
    changes: &BTreeMap<Subject, Vec<DepartureRecord>>,
    subject: &Subject,
    located: &LocatedRecord<'_>,
    run: &Run,
) -> Option<Violation> {
    let before = changes.get(subject)?.iter().filter(|change| change.at <= run.started);
    let earlier: Vec<&DepartureRecord> = before.collect();
    let after_return =
        earlier.iter().rposition(|change| !change.leaving).map_or(0, |index| index + 1);
    let departure = earlier.get(after_return)?;
    let late =
        run.started.duration_since(departure.at).ok().filter(|late| *late > LEAVING_LIMIT)?;
    let message = format!(
        "request {} started {} ms after its target was told to leave",
        run.id.request,
        late.as_millis()
    );
    Some(Violation { message, records: vec![departure.place.clone(), located.place()] })
}

/// Returns a violation if a run started later than the limit after its own agent recorded that it
/// was draining.
fn run_after_drain(located: &LocatedRecord<'_>, run: &Run) -> Option<Violation> {
    let records = located.chain.batches.iter().flat_map(|stored| &stored.batch.records);
    let draining = records.filter(|record| record.fact == Fact::Draining).map(|record| record.at);
    let late =
        run.started.duration_since(draining.min()?).ok().filter(|late| *late > LEAVING_LIMIT)?;
    let message = format!(
        "request {} started {} ms after its agent began to drain",
        run.id.request,
        late.as_millis()
    );
    Some(Violation { message, records: vec![located.place()] })
}

/// Returns the departures and returns of each host and target in the order of their times.
fn changes_by_subject(corpus: &Corpus<'_>) -> BTreeMap<Subject, Vec<DepartureRecord>> {
    let mut changes: BTreeMap<Subject, Vec<DepartureRecord>> = BTreeMap::new();
    for located in &corpus.all {
        if let Fact::Departure(departure) = &located.record.fact {
            let (at, leaving) = (located.record.at, departure.leaving);
            let change = DepartureRecord { at, leaving, place: located.place() };
            changes.entry(departure.subject.clone()).or_default().push(change);
        }
    }
    for changes in changes.values_mut() {
        changes.sort_by_key(|change| change.at);
    }
    changes
}
