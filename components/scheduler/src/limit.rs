//! Limits of a client account: its concurrent requests and its requests per second.
//!
//! An account's limit applies to all entry processes together. Each process enforces an equal share of it
//! without exchanging anything with the others, since the load balancer spreads an account's requests evenly
//! over them.

use std::time::{Duration, Instant};

use model::resource::Limit;

/// Size of a permitted burst, as the time in which the account's rate allows as many requests. A burst of
/// one request is always permitted.
const BURST: Duration = Duration::from_secs(1);
/// Retry delay given to a caller that the concurrency limit rejects.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest retry delay given to a caller that the rate limit rejects.
const RATE_RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The part of an account's limit that one process enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Most requests of the account that may run or wait in this process at a time; at least 1.
    pub concurrency: u32,
    /// Requests per second that this process admits; above 0.
    pub requests_per_second: f64,
}

/// An account's current use of its limit in this process: a count of its requests and a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Requests of the account that run or wait in this process.
    pub open_requests: u32,
    /// Tokens in the bucket; each admitted request takes one. The bucket holds the requests of `BURST`, at
    /// least 1.
    tokens: f64,
    /// When tokens were last added.
    refilled_at: Instant,
    /// The latest time at which a caller that the rate limit rejected was asked to retry.
    latest_retry_at: Instant,
}

/// Returns the usage of an account that has sent no request yet; its token bucket is full.
pub fn open(now: Instant) -> Usage {
    Usage { open_requests: 0, tokens: f64::MAX, refilled_at: now, latest_retry_at: now }
}

/// Returns the share of a limit that each of `entries` entry processes enforces; 0 entries count as 1. The
/// concurrency is rounded up.
pub fn share(limit: Limit, entries: u32) -> Share {
    let entries = entries.max(1);
    Share {
        concurrency: limit.concurrency.div_ceil(entries),
        requests_per_second: f64::from(limit.requests_per_second) / f64::from(entries),
    }
}

impl Usage {
    /// Admits one request, or returns the delay after which the caller should retry. `None` as the share
    /// means that the account has no limit.
    pub fn admit(&mut self, now: Instant, share: Option<Share>) -> Result<(), Duration> {
        if let Some(share) = share {
            self.take_token(now, share)?;
        }
        self.open_requests += 1;
        Ok(())
    }

    /// Releases the concurrency slot of a request that ended.
    pub fn release(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    /// Refills the token bucket, then takes a token or returns the retry delay.
    fn take_token(&mut self, now: Instant, share: Share) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let capacity = (share.requests_per_second * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * share.requests_per_second).min(capacity);
        self.refilled_at = now;
        if self.open_requests >= share.concurrency {
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        if self.tokens < 1.0 {
            return Err(self.retry_after(now, share));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Returns the retry delay of a caller that the rate limit rejects. Rejected callers get retry times one
    /// after another at the rate of the limit, so that they don't all retry at once for the same token.
    fn retry_after(&mut self, now: Instant, share: Share) -> Duration {
        let spacing =
            Duration::from_secs_f64(1.0 / share.requests_per_second).min(RATE_RETRY_AFTER_MAX);
        self.latest_retry_at =
            (self.latest_retry_at.max(now) + spacing).min(now + RATE_RETRY_AFTER_MAX);
        self.latest_retry_at - now
    }
}
