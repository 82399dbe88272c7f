//! The time that can be judged: up to where every running process has written.

use std::time::{Duration, SystemTime};

use crate::history::{Chain, Flaw, History, Span};

/// Time between the records of the entry and of the agent about the same request, and the
/// difference of their clocks.
pub const MARGIN: Duration = Duration::from_secs(3);

/// Ends a span where some process that still runs hasn't written on.
pub fn clip(history: &History, span: Span) -> Span {
    let written = |chain: &Chain| chain.sealed().map(|sealed| sealed - MARGIN);
    let open = history.chains.iter().filter(|chain| !chain.is_closed() && !stopped(history, chain));
    let to: Option<SystemTime> = open.filter_map(written).chain(span.to).min();
    Span { from: span.from, to }
}

fn stopped(history: &History, chain: &Chain) -> bool {
    let name = chain.name();
    history.gaps.iter().any(|gap| match &gap.flaw {
        Flaw::Stopped { process, .. } => *process == name,
        _ => false,
    })
}
