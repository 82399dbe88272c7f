//! Rules that concern a single process: which requests it sheds, and how it shuts down.

use model::id::Rank;

use super::{
    RuleResult, Violation,
    corpus::{Corpus, LocatedRecord},
};
use crate::{
    history::Span,
    record::{Fact, Outcome},
};

/// Checks that a process that sheds a request has no request of a lower tier left waiting. A higher
/// rank is a lower tier.
pub fn tier_order(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for located in corpus.all.iter().filter(|located| located.is_in(span)) {
        let Some(shed) = as_shed(located) else {
            continue;
        };
        result.checked += 1;
        if let Some(left) = shed.left_waiting.filter(|left| *left > shed.rank) {
            let message = format!("rank {} was shed while rank {left} went on waiting", shed.rank);
            result.violations.push(Violation { message, records: vec![located.place()] });
        }
    }
    result
}

/// Checks that a process that closes its chain has no requests in progress.
pub fn graceful_shutdown(corpus: &Corpus<'_>, span: Span) -> RuleResult {
    let mut result = RuleResult::default();
    for located in corpus.all.iter().filter(|located| located.is_in(span)) {
        let Fact::Closed { open } = located.record.fact else {
            continue;
        };
        result.checked += 1;
        if open > 0 {
            let message = format!("the process ended with {open} requests in progress");
            result.violations.push(Violation { message, records: vec![located.place()] });
        }
    }
    result
}

/// A request that was shed, and the lowest tier that stayed in the queue, if any.
struct Shed {
    rank: Rank,
    left_waiting: Option<Rank>,
}

fn as_shed(located: &LocatedRecord<'_>) -> Option<Shed> {
    match &located.record.fact {
        Fact::Eviction(eviction) => {
            Some(Shed { rank: eviction.rank, left_waiting: eviction.left_waiting })
        }
        Fact::Request(request) => match request.outcome {
            Outcome::Refused { left_waiting: Some(left), .. } => {
                Some(Shed { rank: request.rank?, left_waiting: Some(left) })
            }
            _ => None,
        },
        _ => None,
    }
}
