//! Index of the records of a history by request and by claim.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::SystemTime,
};

use model::id::{ClaimKey, RequestId};

use super::Place;
use crate::{
    batch::{Process, Role, Sequence},
    history::{Chain, History, Span, StoredBatch},
    record::{Continuation, Fact, Record, Request, Run},
};

/// A record and its position in the stream.
#[derive(Clone, Copy, Debug)]
pub struct LocatedRecord<'a> {
    /// Chain that contains the record.
    pub chain: &'a Chain,
    stored: &'a StoredBatch,
    index: usize,
    /// The record itself.
    pub record: &'a Record,
}

/// Record that an entry process wrote at the end of a request.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// The record and its position.
    pub located: LocatedRecord<'a>,
    /// Content of the record.
    pub request: &'a Request,
}

impl EndedRequest<'_> {
    /// Returns whether the entry process dispatched the request straight to targets. The runs of
    /// such a request are in the same chain.
    pub fn is_direct(&self) -> bool {
        self.located.is_direct()
    }
}

/// Record of one run of a request, written by the agent that sent the request to its target, or by
/// an entry process that dispatches straight to targets.
#[derive(Clone, Copy, Debug)]
pub struct RecordedRun<'a> {
    /// The record and its position.
    pub located: LocatedRecord<'a>,
    /// Content of the record.
    pub run: &'a Run,
    /// The record as a continuation; `None` for a run of its own.
    pub continuation: Option<&'a Continuation>,
}

/// All records of a history with indexes to find them.
#[derive(Debug)]
pub struct Corpus<'a> {
    history: &'a History,
    /// All records: chain by chain, and within a chain in the order in which they were written.
    pub all: Vec<LocatedRecord<'a>>,
    /// Records of entry processes for each request.
    pub requests: BTreeMap<RequestId, Vec<EndedRequest<'a>>>,
    /// Records of the runs of each request.
    pub runs: BTreeMap<RequestId, Vec<RecordedRun<'a>>>,
    /// Records of entry processes for each claim (the hash of an account and an idempotency key).
    pub claims: BTreeMap<ClaimKey, Vec<EndedRequest<'a>>>,
}

/// Indexes the records of a history.
pub fn open(history: &History) -> Corpus<'_> {
    let all: Vec<LocatedRecord<'_>> = history.chains.iter().flat_map(records).collect();
    let mut corpus = Corpus {
        history,
        all,
        requests: BTreeMap::new(),
        runs: BTreeMap::new(),
        claims: BTreeMap::new(),
    };
    for located in corpus.all.iter().copied() {
        match &located.record.fact {
            Fact::Request(request) => {
                let ended = EndedRequest { located, request };
                corpus.requests.entry(request.request).or_default().push(ended);
                if let Some(claim) = request.claim {
                    corpus.claims.entry(claim).or_default().push(ended);
                }
            }
            fact => {
                if let Some(run) = fact.run() {
                    let continuation = match fact {
                        Fact::Continuation(continuation) => Some(continuation),
                        _ => None,
                    };
                    let recorded = RecordedRun { located, run, continuation };
                    corpus.runs.entry(run.id.request).or_default().push(recorded);
                }
            }
        }
    }
    corpus
}

impl Corpus<'_> {
    /// Returns the runs of a request that reached or may have reached a target.
    pub fn dispatched(&self, request: RequestId) -> impl Iterator<Item = &RecordedRun<'_>> {
        let runs = self.runs.get(&request).into_iter().flatten();
        runs.filter(|recorded| recorded.run.ran != model::refusal::Ran::NotRun)
    }

    /// Returns the runs of all requests under one claim that reached or may have reached a target.
    pub fn dispatched_under(&self, claim: ClaimKey) -> Vec<&RecordedRun<'_>> {
        let requests = self.claims.get(&claim).into_iter().flatten();
        let ids: BTreeSet<RequestId> = requests.map(|ended| ended.request.request).collect();
        ids.into_iter().flat_map(|request| self.dispatched(request)).collect()
    }

    /// Returns whether the history has a batch of the target's agent that covers a point in time.
    pub fn witnesses(&self, target: &str, at: SystemTime) -> bool {
        let agents = self.history.chains.iter().filter(|chain| is_agent_of(&chain.process, target));
        agents.flat_map(|chain| &chain.batches).any(|stored| {
            Span { from: Some(stored.batch.since), to: Some(stored.batch.sealed) }.contains(at)
        })
    }
}

impl LocatedRecord<'_> {
    /// Returns the position of the record for the report.
    pub fn place(&self) -> Place {
        Place {
            process: self.chain.name(),
            offset: self.stored.offset,
            sequence: self.stored.batch.sequence,
            index: self.index,
        }
    }

    /// Returns whether an entry process that dispatches straight to targets wrote the record.
    pub fn is_direct(&self) -> bool {
        self.chain.process.role == Role::Direct
    }

    /// Returns whether the process wrote this record after another one.
    pub fn follows(&self, other: &LocatedRecord<'_>) -> bool {
        let order = |located: &LocatedRecord<'_>| (located.stored.batch.sequence, located.index);
        self.chain.process == other.chain.process && order(self) > order(other)
    }

    /// Returns whether no record is missing that the process wrote before this one.
    pub fn has_all_before(&self) -> bool {
        let last = self.stored.batch.sequence;
        let batches = self.chain.batches.iter().map(|stored| &stored.batch);
        let mut before = batches.filter(|batch| batch.sequence <= last);
        before.clone().count() as Sequence == last && before.all(|batch| batch.lost == 0)
    }

    /// Returns whether the record was written within a span.
    pub fn is_in(&self, span: Span) -> bool {
        span.contains(self.record.at)
    }
}

fn records(chain: &Chain) -> impl Iterator<Item = LocatedRecord<'_>> {
    chain.batches.iter().flat_map(move |stored| {
        let records = stored.batch.records.iter().enumerate();
        records.map(move |(index, record)| LocatedRecord { chain, stored, index, record })
    })
}

fn is_agent_of(process: &Process, target: &str) -> bool {
    process.role == Role::Agent && process.name == target
}
