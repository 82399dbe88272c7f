//! Limits the audited time span to the part that every running process has already written evidence
//! for.

use std::time::{Duration, SystemTime};

use crate::history::{Chain, Flaw, History, Span};

/// Upper bound on the time between the records of the entry process and of the agent about the same
/// request, including the difference of their clocks.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(3);

/// Shortens a span so that it ends before the last batch of every process that still runs, less the
/// margin. A process that closed its chain or counts as stopped doesn't limit the span.
pub fn clip(history: &History, span: Span) -> Span {
    let complete_to = |chain: &Chain| chain.sealed().map(|sealed| sealed - CLOCK_MARGIN);
    let open =
        history.chains.iter().filter(|chain| !chain.is_closed() && !is_stopped(history, chain));
    let to: Option<SystemTime> = open.filter_map(complete_to).chain(span.to).min();
    Span { from: span.from, to }
}

fn is_stopped(history: &History, chain: &Chain) -> bool {
    let name = chain.name();
    history.gaps.iter().any(|gap| match &gap.flaw {
        Flaw::Stopped { process, .. } => *process == name,
        _ => false,
    })
}
