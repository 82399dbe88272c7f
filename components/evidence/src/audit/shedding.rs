//! Rules about one process alone: whom it sheds, and what it leaves behind when it ends.

use model::id::Rank;

use super::{
    Judgement, Violation,
    corpus::{Corpus, Seen},
};
use crate::{
    history::Span,
    record::{Fact, Outcome},
};

/// Whoever sheds a request leaves none of a lower tier waiting.
pub fn tier_order(corpus: &Corpus<'_>, span: Span) -> Judgement {
    let mut judgement = Judgement::default();
    for seen in corpus.all.iter().filter(|seen| seen.is_in(span)) {
        let Some(shed) = shed(seen) else {
            continue;
        };
        judgement.checked += 1;
        if let Some(left) = shed.left_waiting.filter(|left| *left > shed.rank) {
            let message = format!("rank {} was shed while rank {left} went on waiting", shed.rank);
            judgement.violations.push(Violation { message, records: vec![seen.place()] });
        }
    }
    judgement
}

/// A process that closes its chain has nothing in progress.
pub fn graceful_shutdown(corpus: &Corpus<'_>, span: Span) -> Judgement {
    let mut judgement = Judgement::default();
    for seen in corpus.all.iter().filter(|seen| seen.is_in(span)) {
        let Fact::Closed { open } = seen.record.fact else {
            continue;
        };
        judgement.checked += 1;
        if open > 0 {
            let message = format!("the process ended with {open} requests in progress");
            judgement.violations.push(Violation { message, records: vec![seen.place()] });
        }
    }
    judgement
}

struct Shed {
    rank: Rank,
    left_waiting: Option<Rank>,
}

fn shed(seen: &Seen<'_>) -> Option<Shed> {
    match &seen.record.fact {
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
