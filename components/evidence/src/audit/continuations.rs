//! Runs that go on at another target after theirs was lost. The parts of such a run count as one dispatch, provided
//! that the records show that each part went on with one that had ended unfinished.

use displaydoc::Display;
use model::id::{RequestId, TargetName};

use super::corpus::{Corpus, RecordedRun};
use crate::record::{Continuation, Start};

/// Reason for which a continuation isn't the same run as the part before it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// no run of the same process precedes it
    NoPredecessor,
    /// the run before it had ended with an answer
    Ended,
    /// the run before it was still at work
    AtOnce,
    /// another continuation went on with the same run
    Doubled,
    /// its targets aren't those that the request was started at
    Target,
    /// it isn't recorded by the process that had the request
    Process,
}

/// Parts of one request's runs, by what the records show of them.
#[derive(Debug, Default)]
pub struct Parts<'a> {
    /// Number of continuations that are the same run as the part before them.
    pub continued: usize,
    /// Continuations that aren't, and the reasons.
    pub faulty: Vec<(&'a RecordedRun<'a>, Fault)>,
    /// Targets of runs that continuations go on with and whose records may be among missing ones.
    pub unwitnessed: Vec<TargetName>,
}

/// Checks the continuations among the runs of a request that reached or may have reached a target.
pub fn parts<'a>(corpus: &'a Corpus<'_>, request: RequestId) -> Parts<'a> {
    let mut parts = Parts::default();
    for recorded in corpus.dispatched(request) {
        let Some(continuation) = recorded.continuation else {
            continue;
        };
        match fault(corpus, recorded, continuation) {
            None => parts.continued += 1,
            Some(Fault::NoPredecessor) if !recorded.located.has_all_before() => {
                parts.continued += 1;
                parts.unwitnessed.push(continuation.from.clone());
            }
            Some(fault) => parts.faulty.push((recorded, fault)),
        }
    }
    parts
}

/// Returns why a continuation isn't the same run as the part before it; `None` if it is.
fn fault(
    corpus: &Corpus<'_>,
    recorded: &RecordedRun<'_>,
    continuation: &Continuation,
) -> Option<Fault> {
    if !recorded.located.is_direct() {
        return Some(Fault::Process);
    }
    if continuation.from == continuation.to || !is_started(corpus, recorded, continuation) {
        return Some(Fault::Target);
    }
    let request = recorded.run.id.request;
    let is_of_process =
        |other: &&RecordedRun<'_>| other.located.chain.process == recorded.located.chain.process;
    let is_rival = |other: &RecordedRun<'_>| {
        other.continuation.is_some_and(|other| other.attempt == continuation.attempt)
    };
    if corpus.dispatched(request).filter(is_of_process).filter(|other| is_rival(other)).count() > 1
    {
        return Some(Fault::Doubled);
    }
    let mut before = corpus.dispatched(request).filter(|other| {
        let is_named = other.run.id.attempt == continuation.attempt;
        is_named && recorded.located.follows(&other.located)
    });
    let Some(predecessor) = before.next() else {
        return Some(Fault::NoPredecessor);
    };
    if predecessor.run.ran == model::refusal::Ran::Yes || predecessor.run.digest.is_some() {
        return Some(Fault::Ended);
    }
    (predecessor.located.record.at > recorded.run.started).then_some(Fault::AtOnce)
}

/// Returns whether the request's record shows both starts, at the two targets. The record is missing if the process
/// ended before the request did.
fn is_started(
    corpus: &Corpus<'_>,
    recorded: &RecordedRun<'_>,
    continuation: &Continuation,
) -> bool {
    let id = recorded.run.id;
    let requests = corpus.requests.get(&id.request).into_iter().flatten();
    let mut of_process = requests
        .filter(|ended| ended.located.chain.process == recorded.located.chain.process)
        .peekable();
    let shows = |starts: &[Start], attempt, target: &TargetName| {
        starts.iter().any(|start| start.attempt == attempt && start.target == *target)
    };
    of_process.peek().is_none()
        || of_process.any(|ended| {
            let starts = &ended.request.starts;
            shows(starts, continuation.attempt, &continuation.from)
                && shows(starts, id.attempt, &continuation.to)
        })
}
