//! Promises to refused callers, kept by a process that the entry processes share.
//!
//! The due times of a pool's tier are spaced, so that its promises use at most the part of the pace that the entry
//! processes state, and the callers don't return at once. Nothing has to be released: a promise that isn't redeemed
//! lapses, and the slot that it would have used goes to whoever is first in the queue.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use model::{
    id::{PoolName, Rank},
    promise::{Ask, Key, Promise, Redemption},
};

/// Maximum number of refused callers that are known, with a promise or without; further ones get no promise until
/// some lapse.
const MAX_PROMISES: usize = 20_000;
/// Maximum number of pools and tiers whose promises are spaced at a time.
const MAX_SCHEDULES: usize = 256;
/// Maximum length in bytes of a pool's name.
const MAX_POOL_BYTES: usize = 256;
/// Maximum time until a promise is due, and between the due times of two promises.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// Minimum time between the due times of two promises of a pool and tier.
const MIN_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum time after its due time at which a promise lapses.
const MAX_GRACE: Duration = Duration::from_secs(10);
/// Time before its due time from which on a promise is redeemed: the clocks of caller and agent differ in pace.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Time at which the caller may return; `None` where the promise was declined.
    due: Option<Instant>,
    lapses: Instant,
}

/// The promises of one process.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    records: HashMap<Key, Record>,
    /// Times at which the promises lapse; one entry for each record.
    lapses: BTreeSet<(Instant, Key)>,
    /// Earliest due time of the next promise, by pool and rank.
    schedules: BTreeMap<(PoolName, Rank), Instant>,
}

impl Promises {
    /// Makes a promise. Returns `None` where the times that the caller can return at are promised to others, or
    /// too many promises are kept. A promise that isn't due yet is returned unchanged.
    pub fn promise(&mut self, now: Instant, ask: Ask) -> Option<Promise> {
        self.remove_lapsed(now);
        let known = self.records.get(&ask.key).and_then(|known| known.due);
        if let Some(due) = known.filter(|due| *due > now) {
            return Some(Promise { due: due - now, is_new: false });
        }
        if self.records.len() >= MAX_PROMISES || ask.pool.len() > MAX_POOL_BYTES {
            return None;
        }
        let schedule = (ask.pool, ask.rank);
        if !self.schedules.contains_key(&schedule) && self.schedules.len() >= MAX_SCHEDULES {
            return None;
        }
        let next = self.schedules.get(&schedule).copied().unwrap_or(now);
        let (earliest, latest) =
            (now + ask.earliest.min(MAX_DELAY), now + ask.latest.min(MAX_DELAY));
        let due = Some(next.max(earliest)).filter(|due| *due <= latest);
        if let Some(due) = due {
            self.schedules.insert(schedule, due + ask.interval.clamp(MIN_INTERVAL, MAX_DELAY));
        }
        // A caller without a promise is remembered for as long as it may return.
        let lapses = due.unwrap_or(latest) + ask.grace.min(MAX_GRACE);
        // A promise that is overdue was not redeemed, because its agent couldn't be asked.
        if let Some(replaced) = self.records.insert(ask.key, Record { due, lapses }) {
            self.lapses.remove(&(replaced.lapses, ask.key));
        }
        self.lapses.insert((lapses, ask.key));
        due.map(|due| Promise { due: due - now, is_new: true })
    }

    /// Redeems the promise to a caller that returned, which uses the promise up if it is due. A caller that got none
    /// is recognised until it can't return any more.
    pub fn redeem(&mut self, now: Instant, key: &Key) -> Redemption {
        self.remove_lapsed(now);
        let Some(&Record { due, lapses }) = self.records.get(key) else {
            return Redemption::Unknown;
        };
        match due {
            None => return Redemption::Unpromised,
            Some(due) if due > now + EARLY_TOLERANCE => return Redemption::Early,
            Some(_) => {}
        }
        self.records.remove(key);
        self.lapses.remove(&(lapses, *key));
        Redemption::Due
    }

    /// Returns the number of callers that are known, lapsed ones included that weren't removed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no callers are known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the promises that have lapsed and the schedules that delay no promise.
    pub fn remove_lapsed(&mut self, now: Instant) {
        while let Some(&(lapses, key)) = self.lapses.first()
            && lapses <= now
        {
            self.lapses.pop_first();
            self.records.remove(&key);
        }
        self.schedules.retain(|_, next| *next > now);
    }
}
