//! Limits of a client account: requests in progress and requests a second.

use std::time::{Duration, Instant};

use model::resource::Limit;

/// How much of a second's allowance an account may use at once.
const BURST: Duration = Duration::from_secs(1);
/// Wait that is advised where the concurrency limit is reached.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(250);

/// What an account uses in this process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Requests in progress or waiting.
    pub open: u32,
    /// Requests that may still start at once; between 0 and one second's allowance.
    allowance: f64,
    refilled: Instant,
}

/// Gives the usage of an account that hasn't asked yet.
pub fn open(now: Instant) -> Usage {
    Usage { open: 0, allowance: f64::MAX, refilled: now }
}

impl Usage {
    /// Takes one request in, or says how long to wait.
    pub fn admit(&mut self, now: Instant, limit: Option<Limit>) -> Result<(), Duration> {
        if let Some(limit) = limit {
            self.check(now, limit)?;
        }
        self.open += 1;
        Ok(())
    }

    /// Gives back the place of a request that ended.
    pub fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    fn check(&mut self, now: Instant, limit: Limit) -> Result<(), Duration> {
        let rate = f64::from(limit.requests_per_second);
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.allowance = (self.allowance + passed * rate).min(rate * BURST.as_secs_f64());
        self.refilled = now;
        if self.open >= limit.concurrency {
            return Err(CONCURRENCY_RETRY);
        }
        if self.allowance < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.allowance) / rate));
        }
        self.allowance -= 1.0;
        Ok(())
    }
}
