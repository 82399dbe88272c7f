//! Retry budget: how often this process may dispatch requests of a pool again.
//!
//! Over a window of time, all processes together may retry a fraction of the requests of callers, plus a
//! fixed number of retries. Each process adds to its budget a fraction of a retry for each request that it
//! admits and, as time passes, a part of its equal share of the fixed number. The budget of a started process
//! is empty: otherwise, processes that are killed and restarted over and over would exceed the limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Fraction of [`RetryBudgetRule::extra_retries`] that is used; the rest is a margin, since requests are
/// counted a little later than their callers sent them.
const USED_EXTRA_FRACTION: f64 = 0.9;
/// Fraction of a process's share of the extra retries that the bucket can hold; the rest is added evenly over
/// the window.
const BUCKET_EXTRA_FRACTION: f64 = 0.75;
/// Fraction of [`RetryBudgetRule::retries_per_request`] that each request adds to the bucket.
const EARNED_RETRY_FRACTION: f64 = 0.8;
/// Fraction of the retries earned by the requests of a window that the bucket can hold for the next window.
/// With [`EARNED_RETRY_FRACTION`], that allows a window at most 0.8 * (1 + 0.25) = 1 times the allowed retries
/// per request.
const BUCKET_EARNED_FRACTION: f64 = 0.25;

/// Limit on the retries of all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Retries allowed for each request of a caller.
    pub retries_per_request: f64,
    /// Retries allowed in addition, over all processes together.
    pub extra_retries: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Token bucket of the retries that this process may still make in one pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Times at which the requests of the last window were counted, oldest first.
    request_times: VecDeque<Instant>,
    /// Retries in the bucket; a retry takes 1.
    retries_left: f64,
    /// Retries that were taken for requests which aren't dispatched yet. They count against the capacity of
    /// the bucket, since all of them may be dispatched at once.
    reserved: u32,
    /// Time of the last refill.
    refilled_at: Instant,
}

/// Creates an empty budget for a process that was started at the given time.
pub fn open(started: Instant) -> RetryBudget {
    RetryBudget {
        request_times: VecDeque::new(),
        retries_left: 0.0,
        reserved: 0,
        refilled_at: started,
    }
}

impl RetryBudget {
    /// Counts a request of a caller. `processes` is the number of processes that share the extra retries.
    pub fn count_request(&mut self, now: Instant, rule: &RetryBudgetRule, processes: u32) {
        self.request_times.push_back(now);
        self.retries_left += EARNED_RETRY_FRACTION * rule.retries_per_request;
        self.refill(now, rule, processes);
    }

    /// Takes one retry from the bucket for a request that waits to be dispatched again. Returns `false` where
    /// less than one is left. `processes` is the number of processes that share the extra retries.
    pub fn reserve_retry(&mut self, now: Instant, rule: &RetryBudgetRule, processes: u32) -> bool {
        self.refill(now, rule, processes);
        let allowed = self.retries_left >= 1.0;
        if allowed {
            self.retries_left -= 1.0;
            self.reserved += 1;
        }
        allowed
    }

    /// Counts a reserved retry as dispatched.
    pub fn use_retry(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns a reserved retry to the bucket whose request isn't dispatched.
    pub fn return_retry(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.retries_left += 1.0;
    }

    /// Adds the share of the extra retries for the time since the last refill, and caps the bucket.
    fn refill(&mut self, now: Instant, rule: &RetryBudgetRule, processes: u32) {
        while self.request_times.front().is_some_and(|&at| now.duration_since(at) > rule.window) {
            self.request_times.pop_front();
        }
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let extra_share = USED_EXTRA_FRACTION * rule.extra_retries / f64::from(processes);
        let earned =
            EARNED_RETRY_FRACTION * rule.retries_per_request * self.request_times.len() as f64;
        let capacity = BUCKET_EXTRA_FRACTION * extra_share + BUCKET_EARNED_FRACTION * earned;
        let added =
            (1.0 - BUCKET_EXTRA_FRACTION) * extra_share * passed.div_duration_f64(rule.window);
        let free_capacity = (capacity - f64::from(self.reserved)).max(0.0);
        self.retries_left = (self.retries_left + added).min(free_capacity);
    }
}
