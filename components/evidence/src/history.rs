//! Assembles the records of the stream into chains and detects missing, forged or broken batches.

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

/// Time without a new batch after which a process with an open chain counts as stopped.
pub const STOPPED_TIMEOUT: Duration = Duration::from_secs(120);

/// A record of the stream as read from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// Offset of the record in the stream.
    pub offset: Offset,
    /// Payload of the record: an [`Envelope`] as JSON.
    pub payload: String,
}

/// A time interval that includes both ends; `None` at either end means that the interval is
/// unbounded there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Span {
    /// Start of the interval.
    pub from: Option<SystemTime>,
    /// End of the interval.
    pub to: Option<SystemTime>,
}

impl Span {
    /// Returns whether the two intervals have a point in time in common.
    pub fn overlaps(&self, other: Span) -> bool {
        let before = |end: Option<SystemTime>, start: Option<SystemTime>| {
            end.zip(start).is_some_and(|(end, start)| end < start)
        };
        !before(self.to, other.from) && !before(other.to, self.from)
    }

    /// Returns whether the interval contains a point in time.
    pub fn contains(&self, at: SystemTime) -> bool {
        self.overlaps(Span { from: Some(at), to: Some(at) })
    }
}

/// A flaw of the evidence itself.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Flaw {
    /// there is no evidence in the range
    Empty,
    /// the log keeps no evidence before offset {0}
    Expired(Offset),
    /// offset {offset}: no evidence: {reason}
    Forged {
        /// Offset of the record in the stream.
        offset: Offset,
        /// Reason for which the record or batch can't be read.
        reason: String,
    },
    /// {process}: two different batches are number {sequence}
    Doubled {
        /// Process that wrote the chain.
        process: String,
        /// Number of the two batches.
        sequence: Sequence,
    },
    /// {process}: batch {sequence} doesn't follow the one before it
    Broken {
        /// Process that wrote the chain.
        process: String,
        /// Number of the batch whose digest of the previous batch doesn't match.
        sequence: Sequence,
    },
    /// {process}: batches {first} to {last} are missing
    Missing {
        /// Process that wrote the chain.
        process: String,
        /// Number of the first missing batch.
        first: Sequence,
        /// Number of the last missing batch.
        last: Sequence,
    },
    /// {process}: {count} records before batch {sequence} found no room in memory
    Lost {
        /// Process that wrote the chain.
        process: String,
        /// Number of the batch that reports the loss.
        sequence: Sequence,
        /// Number of lost records.
        count: u64,
    },
    /// {process} stopped after batch {sequence} without closing its chain
    Stopped {
        /// Process that wrote the chain.
        process: String,
        /// Number of the last batch in the chain.
        sequence: Sequence,
    },
    /// request {request} was told to start at `{target}`, whose agent shows no such run
    Unwitnessed {
        /// Request whose run has no record.
        request: RequestId,
        /// Target at which the request was to start.
        target: TargetName,
    },
}

impl Flaw {
    /// Returns whether the flaw shows that the evidence was modified, not only that a part is
    /// missing.
    pub fn is_tampering(&self) -> bool {
        matches!(self, Flaw::Forged { .. } | Flaw::Doubled { .. } | Flaw::Broken { .. })
    }
}

/// A flaw with the role and the time span whose records may be missing because of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gap {
    /// The flaw.
    pub flaw: Flaw,
    /// Role of the process; `None` if it isn't known.
    pub role: Option<Role>,
    /// Time span whose records may be missing.
    pub span: Span,
}

/// The readable batches of one run of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    /// Process that wrote the chain.
    pub process: Process,
    /// Batches in the order of their numbers.
    pub batches: Vec<StoredBatch>,
}

/// A batch and its position in the stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredBatch {
    /// Offset of the record that contains the batch; the first one if the stream contains the batch
    /// twice.
    pub offset: Offset,
    /// Digest of the batch.
    pub digest: Digest,
    /// The decoded batch.
    pub batch: Batch,
}

/// All chains that were read from the stream, and the gaps in them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// One chain for each run of a process.
    pub chains: Vec<Chain>,
    /// Flaws of the chains and of the stream.
    pub gaps: Vec<Gap>,
}

type Chains = BTreeMap<Process, BTreeMap<Sequence, StoredBatch>>;

/// Assembles the chains from the records of the stream and checks them.
pub fn assemble(stream: impl IntoIterator<Item = Read>) -> History {
    let mut history = History::default();
    let mut chains = Chains::new();
    for read in stream {
        match serde_json::from_str::<Envelope>(&read.payload) {
            Ok(envelope) => add_batches(&mut chains, &mut history.gaps, read.offset, &envelope),
            Err(error) => history.gaps.push(forged_gap(read.offset, &error.to_string())),
        }
    }
    let newest = chains.values().flat_map(BTreeMap::values).map(|stored| stored.batch.sealed).max();
    for (process, batches) in chains {
        let chain = Chain { process, batches: batches.into_values().collect() };
        history.gaps.extend(check_chain(&chain, newest));
        history.chains.push(chain);
    }
    history
}

impl Chain {
    /// Returns the role, name and run id of the process, for messages.
    pub fn name(&self) -> String {
        process_name(&self.process)
    }

    /// Returns whether the process closed the chain: the last record is `Closed`.
    pub fn is_closed(&self) -> bool {
        let last = self.batches.iter().flat_map(|stored| &stored.batch.records).next_back();
        last.is_some_and(|record| matches!(record.fact, Fact::Closed { .. }))
    }

    /// Returns when the last batch was sealed; `None` if the chain has no batches.
    pub fn sealed(&self) -> Option<SystemTime> {
        self.batches.last().map(|stored| stored.batch.sealed)
    }
}

/// Adds the batches of one record of the stream to the chains, and their flaws to `gaps`.
fn add_batches(chains: &mut Chains, gaps: &mut Vec<Gap>, offset: Offset, envelope: &Envelope) {
    for sealed in &envelope.batches {
        let batch = match batch::unseal(sealed) {
            Ok(batch) => batch,
            Err(error) => {
                gaps.push(forged_gap(offset, &error.to_string()));
                continue;
            }
        };
        let chain = chains.entry(batch.process.clone()).or_default();
        match chain.entry(batch.sequence) {
            // An append whose response was lost is retried, so the stream may contain the same
            // batch twice.
            Entry::Occupied(old) if old.get().digest == sealed.digest => {}
            Entry::Occupied(_) => {
                let (process, sequence) = (process_name(&batch.process), batch.sequence);
                gaps.push(batch_gap(&batch, Flaw::Doubled { process, sequence }));
            }
            Entry::Vacant(free) => {
                free.insert(StoredBatch { offset, digest: sealed.digest, batch });
            }
        }
    }
}

/// Returns the gaps of a chain. `newest` is the time of the newest batch of all chains.
fn check_chain(chain: &Chain, newest: Option<SystemTime>) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut next = 1;
    let mut previous = Some(Digest::default());
    for StoredBatch { batch, digest, .. } in &chain.batches {
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
            gaps.push(batch_gap(batch, Flaw::Broken { process: process.clone(), sequence }));
        }
        if batch.lost > 0 {
            gaps.push(batch_gap(batch, Flaw::Lost { process, sequence, count: batch.lost }));
        }
        next = sequence + 1;
        previous = Some(*digest);
    }
    gaps.extend(stopped_gap(chain, newest));
    gaps
}

/// Returns a gap if the chain isn't closed and other processes wrote batches long after its last
/// one.
fn stopped_gap(chain: &Chain, newest: Option<SystemTime>) -> Option<Gap> {
    let last = &chain.batches.last()?.batch;
    let sealed = last.sealed;
    if chain.is_closed() || newest? < sealed + STOPPED_TIMEOUT {
        return None;
    }
    let flaw = Flaw::Stopped { process: chain.name(), sequence: last.sequence };
    let span = Span { from: Some(sealed), to: Some(sealed + STOPPED_TIMEOUT) };
    Some(Gap { flaw, role: Some(chain.process.role), span })
}

/// Returns when the last readable batch before a number was sealed.
fn sealed_before(chain: &Chain, sequence: Sequence) -> Option<SystemTime> {
    let before = chain.batches.iter().filter(|stored| stored.batch.sequence < sequence);
    before.map(|stored| stored.batch.sealed).max()
}

fn batch_gap(batch: &Batch, flaw: Flaw) -> Gap {
    let span = Span { from: Some(batch.since), to: Some(batch.sealed) };
    Gap { flaw, role: Some(batch.process.role), span }
}

fn forged_gap(offset: Offset, reason: &str) -> Gap {
    let flaw = Flaw::Forged { offset, reason: reason.to_owned() };
    Gap { flaw, role: None, span: Span::default() }
}

fn process_name(process: &Process) -> String {
    let role = match process.role {
        Role::Entry => "entry",
        Role::Agent => "agent",
        Role::Direct => "direct entry",
    };
    format!("{role} `{}` (run {})", process.name, process.run)
}
