//! Evidence that isn't in the log yet, in bounded memory.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use serde::{Deserialize, Serialize};

use crate::{
    batch::{self, Batch, Digest, Process, SCHEMA, Sealed, Sequence},
    record::{Fact, Record},
};

/// Most records that wait to be sealed; beyond it they are lost, and counted.
pub const BUFFER_LIMIT: usize = 16_384;
/// Most records in sealed batches that aren't in the log yet; beyond it no batch is sealed.
pub const KEPT_LIMIT: usize = 16_384;

/// Most records of one batch, so that an append after an outage isn't too large for the log.
pub const BATCH_LIMIT: usize = 2_048;

/// A sealed batch with its number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handed {
    /// Its place in the chain.
    pub sequence: Sequence,
    /// The batch.
    pub sealed: Sealed,
}

/// Takes records from the control thread; clones share one buffer.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    inner: Arc<Mutex<Waiting>>,
}

#[derive(Debug, Default)]
struct Waiting {
    records: Vec<Record>,
    lost: u64,
}

/// The end of a process's chain that isn't in the log yet.
#[derive(Debug)]
pub struct Outbox {
    process: Process,
    buffer: Buffer,
    /// Number and digest of the last sealed batch, and when it was sealed.
    sequence: Sequence,
    previous: Digest,
    since: SystemTime,
    /// Sealed batches in their order.
    kept: VecDeque<Kept>,
}

#[derive(Debug)]
struct Kept {
    handed: Handed,
    records: usize,
    /// Until when somebody is trying to append it.
    leased: Option<Instant>,
}

/// Starts a chain with nothing in it.
pub fn open(process: Process, at: SystemTime) -> Outbox {
    let buffer = Buffer::default();
    let previous = Digest::default();
    Outbox { process, buffer, sequence: 0, previous, since: at, kept: VecDeque::new() }
}

impl Buffer {
    /// Adds a record, or counts it as lost where there is no room.
    pub fn push(&self, at: SystemTime, fact: Fact) {
        let mut waiting = self.lock();
        match waiting.records.len() < BUFFER_LIMIT {
            true => waiting.records.push(Record { at, fact }),
            false => waiting.lost += 1,
        }
    }

    fn take(&self) -> Waiting {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Outbox {
    /// Where records go in.
    pub fn buffer(&self) -> Buffer {
        self.buffer.clone()
    }

    /// When the last batch was sealed, or the chain began.
    pub fn sealed(&self) -> SystemTime {
        self.since
    }

    /// Whether everything is in the log.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty() && self.buffer.lock().records.is_empty()
    }

    /// Seals what was recorded, even nothing, so that silence can be told from a loss. Where too
    /// much is kept already the records wait on.
    pub fn seal(&mut self, at: SystemTime) {
        let kept: usize = self.kept.iter().map(|kept| kept.records).sum();
        if kept >= KEPT_LIMIT {
            return;
        }
        let Waiting { mut records, mut lost } = self.buffer.take();
        let since = self.since;
        loop {
            let rest = records.split_off(records.len().min(BATCH_LIMIT));
            self.keep(since, at, lost, records);
            if rest.is_empty() {
                return;
            }
            // All parts cover the whole time: a part that is missing could hide any of it.
            (records, lost) = (rest, 0);
        }
    }

    fn keep(&mut self, since: SystemTime, at: SystemTime, lost: u64, records: Vec<Record>) {
        let batch = Batch {
            schema: SCHEMA,
            process: self.process.clone(),
            sequence: self.sequence + 1,
            previous: self.previous,
            since,
            sealed: at,
            lost,
            records,
        };
        let sealed = batch::seal(&batch);
        self.sequence = batch.sequence;
        self.previous = sealed.digest;
        self.since = at;
        let handed = Handed { sequence: batch.sequence, sealed };
        self.kept.push_back(Kept { handed, records: batch.records.len(), leased: None });
    }

    /// Gives the batches that nobody is appending, and leases them to the caller.
    pub fn hand_over(&mut self, now: Instant, lease: Duration) -> Vec<Handed> {
        let free = self.kept.iter_mut().filter(|k| k.leased.is_none_or(|until| until <= now));
        let lease = |kept: &mut Kept| {
            kept.leased = Some(now + lease);
            kept.handed.clone()
        };
        free.map(lease).collect()
    }

    /// Forgets batches that are in the log.
    pub fn confirm(&mut self, sequences: &[Sequence]) {
        self.kept.retain(|kept| !sequences.contains(&kept.handed.sequence));
    }
}
