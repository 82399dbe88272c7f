//! Records of which version began which stream, kept by processes that outlive the one that serves the stream.
//!
//! A caller whose connection breaks off may resume its stream through any entry process, and names only its
//! earlier attempt. A record expires with the caller's deadline, after which it can't resume the stream.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use model::id::StreamKey;

use crate::direct::rollout::Version;

/// Maximum number of records that are kept; one more evicts the record that expires first.
const MAX_RECORDS: usize = 20_000;
/// Maximum length in bytes of a version that is recorded.
const MAX_VERSION_BYTES: usize = 256;
/// Maximum time for which a record is kept, whatever its caller's deadline.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct Record {
    /// Version that began the stream; `None` where two versions were recorded for the same key.
    version: Option<Version>,
    expires: Instant,
}

/// The records of one process.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    records: HashMap<StreamKey, Record>,
    /// Times at which the records expire; one entry for each record.
    expiries: BTreeSet<(Instant, StreamKey)>,
}

impl Origins {
    /// Records that a version began a stream, for `lifetime`. Returns `false` if the version is too long to be
    /// recorded. A key that was recorded with another version has no version any more, since attempts with
    /// the same ID can't be told apart.
    pub fn record(
        &mut self,
        now: Instant,
        key: StreamKey,
        version: Version,
        lifetime: Duration,
    ) -> bool {
        if version.len() > MAX_VERSION_BYTES {
            return false;
        }
        self.remove_expired(now);
        let mut record =
            Record { version: Some(version), expires: now + lifetime.min(MAX_LIFETIME) };
        if let Some(known) = self.records.get(&key) {
            self.expiries.remove(&(known.expires, key));
            record.expires = record.expires.max(known.expires);
            if known.version != record.version {
                record.version = None;
            }
        } else if self.records.len() >= MAX_RECORDS
            && let Some((_, evicted)) = self.expiries.pop_first()
        {
            self.records.remove(&evicted);
        }
        self.expiries.insert((record.expires, key));
        self.records.insert(key, record);
        true
    }

    /// Returns the version that began a stream; `None` where it isn't recorded.
    pub fn find(&mut self, now: Instant, key: &StreamKey) -> Option<&Version> {
        self.remove_expired(now);
        self.records.get(key)?.version.as_ref()
    }

    /// Returns the number of records, expired ones included that weren't removed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the records that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some(&(expires, key)) = self.expiries.first()
            && expires <= now
        {
            self.expiries.pop_first();
            self.records.remove(&key);
        }
    }
}
