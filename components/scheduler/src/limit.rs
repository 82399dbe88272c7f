//! Limits of a client account: requests in progress and requests a second.
//!
//! An account's limit holds over all entry processes. Each applies an equal share of it, since
//! the balancer spreads an account's requests evenly; nothing is exchanged between them.

use std::time::{Duration, Instant};

use model::resource::Limit;

/// How much of a second's allowance an account may use at once.
const BURST: Duration = Duration::from_secs(1);
/// Wait that is advised where the concurrency limit is reached.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(250);
/// Longest wait that is advised.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// What one process lets an account use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests in progress or waiting; at least 1.
    pub concurrency: u32,
    /// Requests a second; above 0.
    pub rate: f64,
}

/// What an account uses in this process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Requests in progress or waiting.
    pub open: u32,
    /// Requests that may still start at once; between 0 and what `BURST` brings, at least 1.
    allowance: f64,
    refilled: Instant,
    /// When the next refused caller is told to come back.
    next: Instant,
}

/// Gives the usage of an account that hasn't asked yet.
pub fn open(now: Instant) -> Usage {
    Usage { open: 0, allowance: f64::MAX, refilled: now, next: now }
}

/// The share of a limit that one of so many entry processes applies.
pub fn share(limit: Limit, entries: u32) -> Share {
    let entries = entries.max(1);
    Share {
        concurrency: limit.concurrency.div_ceil(entries),
        rate: f64::from(limit.requests_per_second) / f64::from(entries),
    }
}

impl Usage {
    /// Takes one request in, or says how long to wait.
    pub fn admit(&mut self, now: Instant, share: Option<Share>) -> Result<(), Duration> {
        if let Some(share) = share {
            self.check(now, share)?;
        }
        self.open += 1;
        Ok(())
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    fn check(&mut self, now: Instant, share: Share) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let most = (share.rate * BURST.as_secs_f64()).max(1.0);
        self.allowance = (self.allowance + passed * share.rate).min(most);
        self.refilled = now;
        if self.open >= share.concurrency {
            return Err(CONCURRENCY_RETRY);
        }
        if self.allowance < 1.0 {
            return Err(self.advise(now, share));
        }
        self.allowance -= 1.0;
        Ok(())
    }

    /// Callers are told to come back one after another, at the rate that the limit allows, so
    /// that they don't all come back for the same place.
    fn advise(&mut self, now: Instant, share: Share) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / share.rate).min(RETRY_MAX);
        self.next = (self.next.max(now) + gap).min(now + RETRY_MAX);
        self.next - now
    }
}
