//! Which work can still be answered in time, and how much room there is beyond the slots.

use std::time::{Duration, Instant};

use model::{id::Rank, reservation::Ask};

use super::{State, pace};

/// Share of the estimated run time that a request may lack before it counts as hopeless, since
/// most requests generate less than they may.
const LEAST_RUN: f64 = 0.8;
/// Share of the time to spare that a request may be expected to wait: estimates are rough, and a
/// queue that is as long as the deadlines allow answers everything late.
const SPARE_USED: f64 = 0.7;
/// Most of the target that the tiers above are taken to use for good.
const MOST_ABOVE: f64 = 0.95;

/// What the agent weighs beyond room and order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Whether work that can no longer be answered in time is denied at once.
    pub cut_off: bool,
    /// Whether grants are given ahead of the slots while others travel to their start.
    pub ahead: bool,
    /// Whether the request of a tier goes first that came last: where a tier asks for more than it
    /// gets, who came first would be late by the time that he has room, and so would all after him.
    pub newest: bool,
    /// Part of the work, from 0 to 1, that each tier may have whatever waits above it, so that none
    /// starves while those above want all that there is.
    pub floor: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { cut_off: true, ahead: true, newest: false, floor: 0.0 }
    }
}

impl Policy {
    /// The policy of the first version, which did neither.
    pub fn first() -> Policy {
        Policy { cut_off: false, ahead: false, newest: false, floor: 0.0 }
    }
}

impl State {
    /// Work of a request in the units of the pace, without the tokens that are probably cached.
    pub(super) fn work(&self, ask: &Ask) -> u64 {
        let cached = self.prefixes.cached(&ask.prefix, ask.prefill);
        let steps = u64::from(ask.decode) + 1;
        steps * pace::STEP + u64::from(ask.prefill - cached)
    }

    /// Least time that some work takes once it runs.
    pub(super) fn least_run(&self, now: Instant, work: u64) -> Duration {
        self.run(now, work).mul_f64(LEAST_RUN)
    }

    fn run(&self, now: Instant, work: u64) -> Duration {
        let run = self.pace.estimate(now, work).filter(|_| self.policy.cut_off);
        run.unwrap_or(Duration::ZERO)
    }

    /// Whether a request can't be answered in time here, however short the queue.
    pub(super) fn is_hopeless(&self, now: Instant, ask: &Ask, work: u64) -> bool {
        self.least_run(now, work) > ask.remaining
    }

    /// Whether the queue before a request is too long for its deadline. Only its own tier and
    /// those above count.
    pub(super) fn is_too_long(&self, now: Instant, ask: &Ask, work: u64) -> bool {
        let spare = ask.remaining.saturating_sub(self.run(now, work));
        self.wait(now, ask.rank) > spare.mul_f64(SPARE_USED)
    }

    pub(super) fn lower_waits(&self, rank: Rank) -> bool {
        self.queue.last().is_some_and(|waiting| waiting.rank > rank)
    }

    /// Time until the work that waits in a tier and above has run, while more of the tiers above
    /// comes in as it did lately.
    fn wait(&self, now: Instant, rank: Rank) -> Duration {
        let before = self.run(now, self.queue.work(rank));
        let own_share = 1.0 - self.shares.above(rank).min(MOST_ABOVE);
        before.div_f64(own_share) / u32::try_from(self.held.max(1)).unwrap_or(u32::MAX)
    }

    /// Requests that may run or hold a grant at once.
    pub(super) fn slots(&self) -> usize {
        let ahead = if self.policy.ahead { self.pace.ahead(self.room.slots) } else { 0 };
        self.room.slots + ahead
    }
}
