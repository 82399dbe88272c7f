//! The records of a history, found by what they speak of.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::SystemTime,
};

use model::id::{ClaimKey, RequestId};

use super::Place;
use crate::{
    batch::{Process, Role},
    history::{Chain, History, Placed, Span},
    record::{Fact, Record, Request, Run},
};

/// A record with its place.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// Whose chain it is in.
    pub chain: &'a Chain,
    placed: &'a Placed,
    index: usize,
    /// The record.
    pub record: &'a Record,
}

/// A request's record at an entry.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Where it stands.
    pub seen: Seen<'a>,
    /// What it says.
    pub request: &'a Request,
}

impl Ended<'_> {
    /// Whether its entry dispatched it itself: its runs stand in the same chain.
    pub fn is_direct(&self) -> bool {
        self.seen.chain.process.role == Role::Direct
    }
}

/// A request's record at an agent.
#[derive(Clone, Copy, Debug)]
pub struct Ran<'a> {
    /// Where it stands.
    pub seen: Seen<'a>,
    /// What it says.
    pub run: &'a Run,
}

/// All records with their indices.
#[derive(Debug)]
pub struct Corpus<'a> {
    history: &'a History,
    /// All records, chain by chain, in the order of each.
    pub all: Vec<Seen<'a>>,
    /// Requests' records at entries.
    pub requests: BTreeMap<RequestId, Vec<Ended<'a>>>,
    /// Their records at agents.
    pub runs: BTreeMap<RequestId, Vec<Ran<'a>>>,
    /// Requests of each claim.
    pub claims: BTreeMap<ClaimKey, Vec<Ended<'a>>>,
}

/// Indexes a history.
pub fn open(history: &History) -> Corpus<'_> {
    let all: Vec<Seen<'_>> = history.chains.iter().flat_map(records).collect();
    let mut corpus = Corpus {
        history,
        all,
        requests: BTreeMap::new(),
        runs: BTreeMap::new(),
        claims: BTreeMap::new(),
    };
    for seen in corpus.all.iter().copied() {
        match &seen.record.fact {
            Fact::Request(request) => {
                let ended = Ended { seen, request };
                corpus.requests.entry(request.request).or_default().push(ended);
                if let Some(claim) = request.claim {
                    corpus.claims.entry(claim).or_default().push(ended);
                }
            }
            Fact::Run(run) => {
                corpus.runs.entry(run.id.request).or_default().push(Ran { seen, run });
            }
            _ => {}
        }
    }
    corpus
}

impl Corpus<'_> {
    /// Runs of a request that reached a target, or may have.
    pub fn dispatched(&self, request: RequestId) -> impl Iterator<Item = &Ran<'_>> {
        let runs = self.runs.get(&request).into_iter().flatten();
        runs.filter(|ran| ran.run.ran != model::refusal::Ran::NotRun)
    }

    /// Runs of all requests under one claim that reached a target, or may have.
    pub fn dispatched_under(&self, claim: ClaimKey) -> Vec<&Ran<'_>> {
        let attempts = self.claims.get(&claim).into_iter().flatten();
        let requests: BTreeSet<RequestId> = attempts.map(|e| e.request.request).collect();
        requests.into_iter().flat_map(|request| self.dispatched(request)).collect()
    }

    /// Whether a target's agent has evidence of a moment.
    pub fn witnesses(&self, target: &str, at: SystemTime) -> bool {
        let agents = self.history.chains.iter().filter(|chain| is_agent(&chain.process, target));
        agents.flat_map(|chain| &chain.batches).any(|placed| {
            Span { from: Some(placed.batch.since), to: Some(placed.batch.sealed) }.contains(at)
        })
    }
}

impl Seen<'_> {
    /// Where it stands.
    pub fn place(&self) -> Place {
        Place {
            process: self.chain.name(),
            offset: self.placed.offset,
            sequence: self.placed.batch.sequence,
            index: self.index,
        }
    }

    /// Whether it was written within a span.
    pub fn is_in(&self, span: Span) -> bool {
        span.contains(self.record.at)
    }
}

fn records(chain: &Chain) -> impl Iterator<Item = Seen<'_>> {
    chain.batches.iter().flat_map(move |placed| {
        let records = placed.batch.records.iter().enumerate();
        records.map(move |(index, record)| Seen { chain, placed, index, record })
    })
}

fn is_agent(process: &Process, target: &str) -> bool {
    process.role == Role::Agent && process.name == target
}
