//! Evidence that hasn't been appended to the log yet, in bounded memory.

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

/// Limit on the records that are not sealed yet; further records are dropped and counted as lost.
pub const BUFFERED_RECORD_LIMIT: usize = 16_384;
/// Limit on the records in sealed batches that aren't confirmed to be in the log; at the limit no
/// batch is sealed.
pub const UNCONFIRMED_RECORD_LIMIT: usize = 16_384;

/// Limit on the records of one batch, so that an append after an outage isn't too large for the
/// log.
pub const BATCH_RECORD_LIMIT: usize = 2_048;

/// A sealed batch and its number, which confirms the batch once it is in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handed {
    /// Number of the batch in the chain, from 1.
    pub sequence: Sequence,
    /// The sealed batch.
    pub sealed: Sealed,
}

/// Buffer that the control thread writes records to; clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    inner: Arc<Mutex<Buffered>>,
}

#[derive(Debug, Default)]
struct Buffered {
    records: Vec<Record>,
    lost: u64,
}

/// The part of a process's chain that isn't confirmed to be in the log yet.
#[derive(Debug)]
pub struct Outbox {
    process: Process,
    buffer: Buffer,
    /// Number of the last sealed batch; 0 before the first.
    sequence: Sequence,
    /// Digest of the last sealed batch; all zeros before the first.
    previous: Digest,
    /// When the last batch was sealed, or when the chain was started.
    since: SystemTime,
    /// Sealed batches in the order of their numbers.
    unconfirmed: VecDeque<Unconfirmed>,
}

#[derive(Debug)]
struct Unconfirmed {
    handed: Handed,
    /// Number of records in the batch.
    records: usize,
    /// End of the lease of the caller that is appending the batch; `None` if it was never leased.
    leased_until: Option<Instant>,
}

/// Starts an empty chain at a point in time.
pub fn open(process: Process, at: SystemTime) -> Outbox {
    let buffer = Buffer::default();
    let previous = Digest::default();
    Outbox { process, buffer, sequence: 0, previous, since: at, unconfirmed: VecDeque::new() }
}

impl Buffer {
    /// Adds a record, or counts it as lost if the buffer is full.
    pub fn push(&self, at: SystemTime, fact: Fact) {
        let mut buffered = self.lock();
        match buffered.records.len() < BUFFERED_RECORD_LIMIT {
            true => buffered.records.push(Record { at, fact }),
            false => buffered.lost += 1,
        }
    }

    fn take_all(&self) -> Buffered {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Buffered> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Outbox {
    /// Returns the buffer that records are written to.
    pub fn buffer(&self) -> Buffer {
        self.buffer.clone()
    }

    /// Returns when the last batch was sealed, or when the chain was started if there is none.
    pub fn sealed(&self) -> SystemTime {
        self.since
    }

    /// Returns whether all records are confirmed to be in the log.
    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty() && self.buffer.lock().records.is_empty()
    }

    /// Seals the buffered records into batches. A batch is sealed even if there are no records, so
    /// that an idle process can be distinguished from missing batches. At the limit of unconfirmed
    /// records nothing is sealed and the records stay in the buffer.
    pub fn seal(&mut self, at: SystemTime) {
        let unconfirmed: usize = self.unconfirmed.iter().map(|batch| batch.records).sum();
        if unconfirmed >= UNCONFIRMED_RECORD_LIMIT {
            return;
        }
        let Buffered { mut records, mut lost } = self.buffer.take_all();
        let since = self.since;
        loop {
            let rest = records.split_off(records.len().min(BATCH_RECORD_LIMIT));
            self.add_sealed(since, at, lost, records);
            if rest.is_empty() {
                return;
            }
            // All parts cover the whole period, because a missing part could contain any of its
            // records.
            (records, lost) = (rest, 0);
        }
    }

    fn add_sealed(&mut self, since: SystemTime, at: SystemTime, lost: u64, records: Vec<Record>) {
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
        self.unconfirmed.push_back(Unconfirmed {
            handed,
            records: batch.records.len(),
            leased_until: None,
        });
    }

    /// Returns the batches that no other caller is appending, and leases them to the caller. A
    /// batch that isn't confirmed within the lease is returned again.
    pub fn hand_over(&mut self, now: Instant, lease: Duration) -> Vec<Handed> {
        let free = self
            .unconfirmed
            .iter_mut()
            .filter(|batch| batch.leased_until.is_none_or(|until| until <= now));
        let lease = |batch: &mut Unconfirmed| {
            batch.leased_until = Some(now + lease);
            batch.handed.clone()
        };
        free.map(lease).collect()
    }

    /// Removes batches that are in the log.
    pub fn confirm(&mut self, sequences: &[Sequence]) {
        self.unconfirmed.retain(|batch| !sequences.contains(&batch.handed.sequence));
    }
}
