//! Reads the stream of evidence from the platform's log.

use std::time::{Duration, SystemTime};

use model::id::Offset;
use source::log;

use crate::history::{self, Flaw, Gap, History, Read, Span};

/// Most records of one read.
const PAGE: usize = 100;
/// Smallest step of the times in records.
const TICK: Duration = Duration::from_millis(1);

/// What to read and to judge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// First offset; the oldest that is kept where absent.
    pub first: Option<Offset>,
    /// Last offset; the newest where absent.
    pub last: Option<Offset>,
    /// Time to judge.
    pub span: Span,
}

/// What was read, and the time that can be judged by it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scope {
    /// Everything that was read.
    pub history: History,
    /// The time.
    pub span: Span,
}

/// Reads a range to its end.
///
/// Where the stream isn't read from its start and no start time is asked for, the time that is
/// judged begins where every chain that goes back further has its first batch.
pub async fn read(log: &log::Client, range: Range) -> Result<Scope, log::Error> {
    let mut next = range.first.unwrap_or(1);
    let mut expired = None;
    let mut reads = Vec::new();
    loop {
        let page = match log.read(source::EVIDENCE, next, PAGE, Duration::ZERO).await {
            Ok(page) => page,
            Err(log::Error::Expired(first)) if first > next => {
                expired = Some(first);
                next = first;
                continue;
            }
            Err(error) => return Err(error),
        };
        let wanted = |record: &log::Record| range.last.is_none_or(|last| record.offset <= last);
        let records = page.records.into_iter().filter(wanted);
        reads.extend(records.map(|r| Read { offset: r.offset, payload: r.payload }));
        let read_to = reads.last().map_or(next, |read: &Read| read.offset + 1);
        let is_last = range.last.is_some_and(|last| read_to > last);
        if is_last || read_to >= page.next || read_to == next {
            return Ok(scope(reads, expired, range));
        }
        next = read_to;
    }
}

/// Puts together what was read; `expired` is the oldest offset where earlier ones are gone.
pub fn scope(reads: Vec<Read>, expired: Option<Offset>, range: Range) -> Scope {
    let mut history = history::assemble(reads);
    let mut span = range.span;
    let begin = begin(&history);
    if span.from.is_none() && (expired.is_some() || range.first.is_some()) {
        span.from = begin.map(|begin| begin + TICK);
    }
    if let Some(first) = expired {
        let span = Span { from: None, to: begin };
        history.gaps.push(Gap { flaw: Flaw::Expired(first), role: None, span });
    }
    Scope { history, span }
}

/// From when on every chain has evidence that began before what was read.
fn begin(history: &History) -> Option<SystemTime> {
    let firsts = history.chains.iter().filter_map(|chain| chain.batches.first());
    let later = firsts.filter(|placed| placed.batch.sequence > 1);
    later.map(|placed| placed.batch.since).max()
}
