//! How many repeats a pool may get from this process.
//!
//! All processes together may repeat a part of what callers ask for, and a fixed number besides. Each
//! earns its repeats: so many for each of its own requests, and an equal share of the number as time
//! passes. It starts with none, so that however often processes are killed, all that they start with is
//! what had been earned before.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the deployment's number that is used: requests are counted a little later than their
/// callers sent them.
const SLACK_PART: f64 = 0.9;
/// Part of that which may be there at once; the rest comes back over the window.
const STOCK_PART: f64 = 0.75;
/// Part of the ratio that each request earns.
const RATIO_PART: f64 = 0.8;
/// Part of what the requests of a window earned that may be left for the next: with `RATIO_PART` no more
/// than the whole ratio.
const KEPT_PART: f64 = 0.25;

/// What a deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over all processes.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Repeats that one pool may still get: a token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Requests of the last window.
    requests: VecDeque<Instant>,
    left: f64,
    refilled: Instant,
}

/// A budget of a process that started then.
pub fn open(started: Instant) -> Budget {
    Budget { requests: VecDeque::new(), left: 0.0, refilled: started }
}

impl Budget {
    /// Counts a request of a caller.
    pub fn asked(&mut self, now: Instant, rule: &Rule, processes: u32) {
        self.requests.push_back(now);
        self.left += RATIO_PART * rule.ratio;
        self.refill(now, rule, processes);
    }

    /// Takes a repeat; `false` where none is left.
    pub fn repeat(&mut self, now: Instant, rule: &Rule, processes: u32) -> bool {
        self.refill(now, rule, processes);
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }

    /// Gives a repeat back that wasn't dispatched.
    pub fn give_back(&mut self) {
        self.left += 1.0;
    }

    fn refill(&mut self, now: Instant, rule: &Rule, processes: u32) {
        while self.requests.front().is_some_and(|&at| now.duration_since(at) > rule.window) {
            self.requests.pop_front();
        }
        let passed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        let share = SLACK_PART * rule.slack / f64::from(processes);
        let earned = RATIO_PART * rule.ratio * self.requests.len() as f64;
        let most = STOCK_PART * share + KEPT_PART * earned;
        let comes = (1.0 - STOCK_PART) * share * passed.div_duration_f64(rule.window);
        self.left = (self.left + comes).min(most);
    }
}
