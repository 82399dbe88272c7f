//! Rate limits that targets name in their answers.
//!
//! A target in need names the requests a second that it takes from all processes together, in each
//! answer for as long as that holds.

use std::time::{Duration, Instant};

/// Longest interval that a limit asks for: without a request now and then nobody would learn that it is
/// gone.
const INTERVAL_MAX: Duration = Duration::from_secs(5);
/// Time after an answer that named a limit in which a request is still too early to show that it is gone:
/// its answer may have crossed others.
const SETTLED: Duration = Duration::from_secs(1);

/// Time whose requests may come at once: they come in clumps.
const BURST: Duration = Duration::from_millis(250);

/// What was last heard of a target's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct News {
    /// Mean time between two requests; `None` where the limit is gone.
    pub interval: Option<Duration>,
    /// When it was heard.
    pub at: Instant,
}

/// The mean time between two requests at so many a second.
pub fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(per_second.recip())
        .map_or(INTERVAL_MAX, |time| time.min(INTERVAL_MAX))
}

/// The requests a second at so long a mean time between two.
pub fn per_second(interval: Duration) -> f64 {
    interval.as_secs_f64().recip()
}

impl News {
    /// Whether an answer that names no limit shows that this one is gone.
    pub fn is_over(&self, dispatched: Instant) -> bool {
        self.interval.is_some() && dispatched >= self.at + SETTLED
    }
}

/// Spaces requests by a mean interval (the generic cell rate algorithm).
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    interval: Duration,
    /// When all that was let through would have come at the mean interval.
    due: Instant,
}

impl Pacer {
    /// One that has let through all that it may: what came before isn't known.
    pub fn open(now: Instant, interval: Duration) -> Pacer {
        let pacer = Pacer { interval, due: now };
        Pacer { due: now + interval + pacer.slack(), ..pacer }
    }

    /// Spaces the next requests by another interval.
    pub fn set(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// When the next request may come.
    pub fn next(&self) -> Instant {
        self.due.checked_sub(self.slack()).unwrap_or(self.due)
    }

    /// Lets a request through.
    pub fn take(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.interval;
    }

    /// Gives back what a request that didn't come took.
    pub fn give_back(&mut self) {
        self.due = self.due.checked_sub(self.interval).unwrap_or(self.due);
    }

    fn slack(&self) -> Duration {
        BURST.saturating_sub(self.interval)
    }
}
