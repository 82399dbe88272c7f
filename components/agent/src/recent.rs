//! Recent records of the configuration stream, for processes that don't read the log themselves.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use model::id::Offset;
use source::log;
use wire::control::{Record, Relayed};

/// Largest number of records that are kept.
const MAX_KEPT: usize = 1_024;
/// Largest number of records in one answer.
const MAX_PAGE_RECORDS: usize = 256;

#[derive(Debug, Default)]
struct Kept {
    /// Highest offset whose record isn't kept; every later record is in `records`.
    floor: Offset,
    records: VecDeque<log::Record>,
    /// Start of the last successful read of the log; `None` before the first.
    confirmed: Option<Instant>,
}

/// The newest records, limited in number; may be used from any thread.
#[derive(Debug, Default)]
pub struct Recent {
    kept: Mutex<Kept>,
}

impl Recent {
    /// Adds records that follow those added before; the oldest are removed beyond the limit.
    pub fn push(&self, records: Vec<log::Record>) {
        let mut kept = self.lock();
        kept.records.extend(records);
        while kept.records.len() > MAX_KEPT {
            if let Some(oldest) = kept.records.pop_front() {
                kept.floor = oldest.offset;
            }
        }
    }

    /// Removes all records after a snapshot as of an offset was applied.
    pub fn reset(&self, applied: Offset) {
        let mut kept = self.lock();
        kept.floor = applied;
        kept.records.clear();
    }

    /// Notes that a read of the log that began at `asked` succeeded.
    pub fn confirm(&self, asked: Instant) {
        let mut kept = self.lock();
        kept.confirmed = kept.confirmed.max(Some(asked));
    }

    /// Returns the records from an offset on, at most one page. Returns `None` if some of them are no
    /// longer kept or no read of the log has succeeded yet.
    pub fn read(&self, from: Offset) -> Option<Relayed> {
        let kept = self.lock();
        let age = kept.confirmed?.elapsed();
        if from <= kept.floor {
            return None;
        }
        let start = kept.records.partition_point(|record| record.offset < from);
        let records = kept
            .records
            .range(start..)
            .take(MAX_PAGE_RECORDS)
            .map(|record| Record { offset: record.offset, payload: record.payload.clone() });
        let next = kept.records.back().map_or(kept.floor, |record| record.offset) + 1;
        Some(Relayed { records: records.collect(), next, age })
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
