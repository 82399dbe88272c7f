//! How many repeats a pool may get from this process.
//!
//! All processes together may repeat a part of what callers ask for, and a fixed number besides.
//! Each counts the part by its own requests, and takes an equal share of the number.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the deployment's allowance that is used, so that requests which arrive a little later
/// than they were counted don't break it.
const MARGIN: f64 = 0.8;

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

/// Requests and repeats of one pool.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn asked(&mut self, now: Instant, rule: &Rule) {
        self.forget(now, rule);
        self.requests.push_back(now);
    }

    /// Takes a repeat; `false` where none is left.
    pub fn repeat(&mut self, now: Instant, rule: &Rule, processes: u32) -> bool {
        self.forget(now, rule);
        let slack = rule.slack / f64::from(processes);
        let most = MARGIN * (rule.ratio * self.requests.len() as f64 + slack);
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant, rule: &Rule) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|&at| now.duration_since(at) > rule.window) {
                times.pop_front();
            }
        }
    }
}
