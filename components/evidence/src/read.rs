//! Reads the `evidence` stream from the platform's log.

use std::time::{Duration, SystemTime};

use model::id::Offset;
use source::log;

use crate::history::{self, Flaw, Gap, History, Read, Span};

/// Limit on the records that one request to the log returns.
const PAGE_RECORD_LIMIT: usize = 100;
/// Resolution of the times in records.
const TIME_RESOLUTION: Duration = Duration::from_millis(1);

/// Range of the stream to read and time span to audit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// First offset to read; `None` is the oldest offset that the log still has.
    pub first: Option<Offset>,
    /// Last offset to read; `None` is the newest one.
    pub last: Option<Offset>,
    /// Time span to audit.
    pub span: Span,
}

/// The records that were read, and the time span that they allow to audit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scope {
    /// Chains and gaps that were read.
    pub history: History,
    /// Time span to audit.
    pub span: Span,
}

/// Reads a range of the stream to its end.
///
/// If the stream isn't read from its start and the range has no start time, the audited time begins
/// after the start of the first readable batch of every chain that began before the range.
pub async fn read(log: &log::Client, range: Range) -> Result<Scope, log::Error> {
    let mut next = range.first.unwrap_or(1);
    let mut expired = None;
    let mut reads = Vec::new();
    loop {
        let page = match log.read(source::EVIDENCE, next, PAGE_RECORD_LIMIT, Duration::ZERO).await {
            Ok(page) => page,
            Err(log::Error::Expired(first)) if first > next => {
                expired = Some(first);
                next = first;
                continue;
            }
            Err(error) => return Err(error),
        };
        let is_in_range =
            |record: &log::Record| range.last.is_none_or(|last| record.offset <= last);
        let records = page.records.into_iter().filter(is_in_range);
        reads.extend(records.map(|r| Read { offset: r.offset, payload: r.payload }));
        let read_to = reads.last().map_or(next, |read: &Read| read.offset + 1);
        let is_last = range.last.is_some_and(|last| read_to > last);
        if is_last || read_to >= page.next || read_to == next {
            return Ok(scope(reads, expired, range));
        }
        next = read_to;
    }
}

/// Assembles the records that were read. `expired` is the oldest offset that the log has, if older
/// ones were deleted; `None` if nothing was deleted.
pub fn scope(reads: Vec<Read>, expired: Option<Offset>, range: Range) -> Scope {
    let mut history = history::assemble(reads);
    let mut span = range.span;
    let begin = complete_from(&history);
    if span.from.is_none() && (expired.is_some() || range.first.is_some()) {
        span.from = begin.map(|begin| begin + TIME_RESOLUTION);
    }
    if let Some(first) = expired {
        let span = Span { from: None, to: begin };
        history.gaps.push(Gap { flaw: Flaw::Expired(first), role: None, span });
    }
    Scope { history, span }
}

/// Returns the time from which on all chains that started before the range have evidence; `None` if
/// there are no such chains.
fn complete_from(history: &History) -> Option<SystemTime> {
    let firsts = history.chains.iter().filter_map(|chain| chain.batches.first());
    let truncated = firsts.filter(|stored| stored.batch.sequence > 1);
    truncated.map(|stored| stored.batch.since).max()
}
