//! Reads the stream into chains and finds what is missing, forged or broken.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::{Duration, SystemTime},
};

use displaydoc::Display;
use model::id::{Offset, RequestId, TargetName};
use serde::Serialize;
use thiserror::Error;

use crate::{
    batch::{self, Batch, Digest, Envelope, Process, Role, Sequence},
    record::Fact,
};

/// Time after which a process that writes nothing more counts as stopped.
pub const SILENCE: Duration = Duration::from_secs(120);

/// A record of the stream, as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// Its offset.
    pub offset: Offset,
    /// Its text.
    pub payload: String,
}

/// A time between two ends; `None` is without end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Span {
    /// Its start.
    pub from: Option<SystemTime>,
    /// Its end.
    pub to: Option<SystemTime>,
}

impl Span {
    /// Whether both share a moment.
    pub fn overlaps(&self, other: Span) -> bool {
        let before = |end: Option<SystemTime>, start: Option<SystemTime>| {
            end.zip(start).is_some_and(|(end, start)| end < start)
        };
        !before(self.to, other.from) && !before(other.to, self.from)
    }

    /// Whether a moment lies in it.
    pub fn contains(&self, at: SystemTime) -> bool {
        self.overlaps(Span { from: Some(at), to: Some(at) })
    }
}

/// What is wrong with the evidence itself.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// there is no evidence in the range
    Empty,
    /// the log keeps no evidence before offset {0}
    Expired(Offset),
    /// offset {offset}: no evidence: {reason}
    Forged {
        /// Where it stands.
        offset: Offset,
        /// Why it isn't what it says.
        reason: String,
    },
    /// {process}: two different batches are number {sequence}
    Doubled {
        /// Whose chain.
        process: String,
        /// Which batch.
        sequence: Sequence,
    },
    /// {process}: batch {sequence} doesn't follow the one before it
    Broken {
        /// Whose chain.
        process: String,
        /// Which batch.
        sequence: Sequence,
    },
    /// {process}: batches {first} to {last} are missing
    Missing {
        /// Whose chain.
        process: String,
        /// First that is missing.
        first: Sequence,
        /// Last that is missing.
        last: Sequence,
    },
    /// {process}: {count} records before batch {sequence} found no room in memory
    Lost {
        /// Whose chain.
        process: String,
        /// Batch that tells it.
        sequence: Sequence,
        /// How many.
        count: u64,
    },
    /// {process} stopped after batch {sequence} without closing its chain
    Stopped {
        /// Whose chain.
        process: String,
        /// Its last batch.
        sequence: Sequence,
    },
    /// request {request} was told to start at `{target}`, whose agent shows no such run
    Unwitnessed {
        /// The request.
        request: RequestId,
        /// Where it should have run.
        target: TargetName,
    },
}

impl Flaw {
    /// Whether somebody changed the evidence, rather than that some is missing.
    pub fn is_tampering(&self) -> bool {
        matches!(self, Flaw::Forged { .. } | Flaw::Doubled { .. } | Flaw::Broken { .. })
    }
}

/// A flaw, whose evidence it touches and of what time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gap {
    /// What is wrong.
    pub flaw: Flaw,
    /// Role of the process; `None` where it can be any.
    pub role: Option<Role>,
    /// Time whose records may be missing.
    pub span: Span,
}

/// The batches of one run of a process that could be read, in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    /// Who wrote it.
    pub process: Process,
    /// Its batches by number.
    pub batches: Vec<Placed>,
}

/// A batch and where it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
    /// Offset in the stream.
    pub offset: Offset,
    /// Its digest.
    pub digest: Digest,
    /// The batch.
    pub batch: Batch,
}

/// Everything that was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// One for each run of a process.
    pub chains: Vec<Chain>,
    /// What is wrong with them.
    pub gaps: Vec<Gap>,
}

type Chains = BTreeMap<Process, BTreeMap<Sequence, Placed>>;

/// Puts the chains together and checks them.
pub fn assemble(stream: impl IntoIterator<Item = Read>) -> History {
    let mut history = History::default();
    let mut chains = Chains::new();
    for read in stream {
        match serde_json::from_str::<Envelope>(&read.payload) {
            Ok(envelope) => collect(&mut chains, &mut history.gaps, read.offset, &envelope),
            Err(error) => history.gaps.push(forged(read.offset, &error.to_string())),
        }
    }
    let newest = chains.values().flat_map(BTreeMap::values).map(|placed| placed.batch.sealed).max();
    for (process, batches) in chains {
        let chain = Chain { process, batches: batches.into_values().collect() };
        history.gaps.extend(check(&chain, newest));
        history.chains.push(chain);
    }
    history
}

impl Chain {
    /// Who wrote it, for a person.
    pub fn name(&self) -> String {
        name(&self.process)
    }

    /// Whether its last record says that it is the last.
    pub fn is_closed(&self) -> bool {
        let last = self.batches.iter().flat_map(|placed| &placed.batch.records).next_back();
        last.is_some_and(|record| matches!(record.fact, Fact::Closed { .. }))
    }

    /// When its last batch was sealed.
    pub fn sealed(&self) -> Option<SystemTime> {
        self.batches.last().map(|placed| placed.batch.sealed)
    }
}

fn collect(chains: &mut Chains, gaps: &mut Vec<Gap>, offset: Offset, envelope: &Envelope) {
    for sealed in &envelope.batches {
        let batch = match batch::unseal(sealed) {
            Ok(batch) => batch,
            Err(error) => {
                gaps.push(forged(offset, &error.to_string()));
                continue;
            }
        };
        let chain = chains.entry(batch.process.clone()).or_default();
        match chain.entry(batch.sequence) {
            // An append whose answer was lost is made again: the same batch may stand twice.
            Entry::Occupied(old) if old.get().digest == sealed.digest => {}
            Entry::Occupied(_) => {
                let (process, sequence) = (name(&batch.process), batch.sequence);
                gaps.push(gap(&batch, Flaw::Doubled { process, sequence }));
            }
            Entry::Vacant(free) => {
                free.insert(Placed { offset, digest: sealed.digest, batch });
            }
        }
    }
}

fn check(chain: &Chain, newest: Option<SystemTime>) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut next = 1;
    let mut previous = Some(Digest::default());
    for Placed { batch, digest, .. } in &chain.batches {
        let process = chain.name();
        let sequence = batch.sequence;
        if sequence > next {
            let flaw = Flaw::Missing { process: process.clone(), first: next, last: sequence - 1 };
            let from = sealed_before(chain, sequence);
            let span = Span { from, to: Some(batch.since) };
            gaps.push(Gap { flaw, role: Some(chain.process.role), span });
            previous = None;
        }
        if previous.is_some_and(|previous| previous != batch.previous) {
            gaps.push(gap(batch, Flaw::Broken { process: process.clone(), sequence }));
        }
        if batch.lost > 0 {
            gaps.push(gap(batch, Flaw::Lost { process, sequence, count: batch.lost }));
        }
        next = sequence + 1;
        previous = Some(*digest);
    }
    gaps.extend(stopped(chain, newest));
    gaps
}

fn stopped(chain: &Chain, newest: Option<SystemTime>) -> Option<Gap> {
    let last = &chain.batches.last()?.batch;
    let sealed = last.sealed;
    if chain.is_closed() || newest? < sealed + SILENCE {
        return None;
    }
    let flaw = Flaw::Stopped { process: chain.name(), sequence: last.sequence };
    let span = Span { from: Some(sealed), to: Some(sealed + SILENCE) };
    Some(Gap { flaw, role: Some(chain.process.role), span })
}

fn sealed_before(chain: &Chain, sequence: Sequence) -> Option<SystemTime> {
    let before = chain.batches.iter().filter(|placed| placed.batch.sequence < sequence);
    before.map(|placed| placed.batch.sealed).max()
}

fn gap(batch: &Batch, flaw: Flaw) -> Gap {
    let span = Span { from: Some(batch.since), to: Some(batch.sealed) };
    Gap { flaw, role: Some(batch.process.role), span }
}

fn forged(offset: Offset, reason: &str) -> Gap {
    let flaw = Flaw::Forged { offset, reason: reason.to_owned() };
    Gap { flaw, role: None, span: Span::default() }
}

fn name(process: &Process) -> String {
    let role = match process.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
        Role::Direct => "direct entry",
    };
    format!("{role} `{}` (run {})", process.name, process.run)
}
