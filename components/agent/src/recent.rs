//! Recent records of the configuration, for processes that don't read the log themselves.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use model::id::Offset;
use source::log;
use wire::control::{Record, Relayed};

/// Records that are kept to be passed on.
const KEPT: usize = 1_024;
/// Most records of one answer.
const PAGE: usize = 256;

#[derive(Debug, Default)]
struct Kept {
    /// Highest offset that isn't covered: every record after it is in `records`.
    floor: Offset,
    records: VecDeque<log::Record>,
    /// When the log was last asked, with success.
    confirmed: Option<Instant>,
}

/// A bounded ring of records; may be used from any thread.
#[derive(Debug, Default)]
pub struct Recent {
    kept: Mutex<Kept>,
}

impl Recent {
    /// Adds the next records.
    pub fn push(&self, records: Vec<log::Record>) {
        let mut kept = self.lock();
        kept.records.extend(records);
        while kept.records.len() > KEPT {
            if let Some(oldest) = kept.records.pop_front() {
                kept.floor = oldest.offset;
            }
        }
    }

    /// Starts anew after a snapshot.
    pub fn reset(&self, applied: Offset) {
        let mut kept = self.lock();
        kept.floor = applied;
        kept.records.clear();
    }

    /// Notes that the log answered a question of this time.
    pub fn confirm(&self, asked: Instant) {
        let mut kept = self.lock();
        kept.confirmed = kept.confirmed.max(Some(asked));
    }

    /// Records from an offset on; `None` where some are gone, or the log was never heard.
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
            .take(PAGE)
            .map(|record| Record { offset: record.offset, payload: record.payload.clone() });
        let next = kept.records.back().map_or(kept.floor, |record| record.offset) + 1;
        Some(Relayed { records: records.collect(), next, age })
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
