//! Rate limits that targets state in their answers.
//!
//! An overloaded target states how many requests per second it accepts from all processes together. It
//! repeats the limit in each answer for as long as the limit applies.

use std::time::{Duration, Instant};

/// Longest interval between two requests to a limited target. Only the answer to a request shows that the
/// limit is lifted, so requests must not stop altogether.
const INTERVAL_MAX: Duration = Duration::from_secs(5);
/// Shortest time from an answer that stated a limit to the dispatch of a request whose answer, without a
/// limit, shows that the limit is lifted. Answers can arrive in another order than the target sent them, so
/// the answer to an earlier request may predate the limit.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// Size of a permitted burst, as the time in which the rate limit allows as many requests: requests arrive
/// in bursts.
const BURST: Duration = Duration::from_millis(250);

/// Rate limit of a target, as the latest answer of the target stated it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimitReport {
    /// Mean interval between two requests; `None` where the limit is lifted.
    pub interval: Option<Duration>,
    /// When the answer that stated the limit, or showed that it is lifted, arrived.
    pub stated_at: Instant,
}

/// Returns the mean interval between two requests at a rate per second, at most `INTERVAL_MAX`. A rate
/// of zero, a negative rate and NaN give `INTERVAL_MAX`.
pub fn interval_at_rate(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(per_second.recip())
        .map_or(INTERVAL_MAX, |interval| interval.min(INTERVAL_MAX))
}

/// Returns the requests per second at a mean interval between two requests.
pub fn rate_at_interval(interval: Duration) -> f64 {
    interval.as_secs_f64().recip()
}

impl RateLimitReport {
    /// Returns whether this limit is lifted, given that the answer to a request dispatched at `dispatched`
    /// states no limit. It isn't where the request was dispatched within `LIFT_DELAY` of the limit.
    pub fn is_lifted_by(&self, dispatched: Instant) -> bool {
        self.interval.is_some() && dispatched >= self.stated_at + LIFT_DELAY
    }
}

/// Spaces requests by a mean interval and allows short bursts (the generic cell rate algorithm).
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Mean interval between two requests.
    interval: Duration,
    /// The theoretical arrival time: when the next request would be due if all requests so far had been sent
    /// at the mean interval.
    theoretical_arrival: Instant,
}

impl Pacer {
    /// Creates a pacer that allows the first request after one interval: requests that were sent before
    /// aren't known, so the burst counts as used.
    pub fn open(now: Instant, interval: Duration) -> Pacer {
        let pacer = Pacer { interval, theoretical_arrival: now };
        Pacer { theoretical_arrival: now + interval + pacer.burst_tolerance(), ..pacer }
    }

    /// Changes the mean interval of the following requests.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Returns the earliest time at which the next request may be sent; it may be in the past.
    pub fn next_allowed_at(&self) -> Instant {
        self.theoretical_arrival
            .checked_sub(self.burst_tolerance())
            .unwrap_or(self.theoretical_arrival)
    }

    /// Counts a request that is sent now.
    pub fn record_send(&mut self, now: Instant) {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
    }

    /// Undoes [`Pacer::record_send`] for a request that wasn't sent after all.
    pub fn undo_send(&mut self) {
        self.theoretical_arrival =
            self.theoretical_arrival.checked_sub(self.interval).unwrap_or(self.theoretical_arrival);
    }

    /// Returns how far ahead of its theoretical arrival time a request may be sent.
    fn burst_tolerance(&self) -> Duration {
        BURST.saturating_sub(self.interval)
    }
}
