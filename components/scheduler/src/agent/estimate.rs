//! Estimates of whether a request can be answered before its deadline, and of how many grants the target
//! can have beyond its slots.

use std::time::{Duration, Instant};

use model::{id::Rank, reservation::Ask};

use super::{State, pace};

/// Share of the estimated run time that must remain before a request's deadline; with less, the
/// deadline can't be met. Below 1 because most requests generate fewer tokens than their maximum.
const LEAST_RUN_TIME_SHARE: f64 = 0.8;
/// Share of a request's spare time (remaining time minus estimated run time) that its expected wait may
/// use. Below 1 because estimates are rough, and a queue as long as the deadlines allow would make all
/// answers late.
const MAX_WAIT_SHARE_OF_SPARE_TIME: f64 = 0.7;
/// Upper limit of the share of the target that higher tiers are expected to use, so that the expected
/// wait of a lower tier stays finite.
const MAX_SHARE_OF_HIGHER_TIERS: f64 = 0.95;

/// Optional rules of the agent in addition to capacity limits and queue order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Whether requests that are expected to miss their deadline are denied at once.
    pub denies_late_requests: bool,
    /// Whether grants may exceed the slots to compensate for the time between a grant and its start,
    /// in which the slot is idle.
    pub allows_extra_grants: bool,
    /// Whether the latest deadline in a tier is granted first, instead of the earliest. When a tier's
    /// demand exceeds its capacity, earliest-first order grants each request so late that its answer
    /// misses the deadline.
    pub is_latest_deadline_first: bool,
    /// Guaranteed share of the work for each tier, from 0 to 1, regardless of the demand of higher
    /// tiers, so that overload in higher tiers can't starve a lower one. 0 disables the guarantee.
    pub min_tier_share: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            denies_late_requests: true,
            allows_extra_grants: true,
            is_latest_deadline_first: false,
            min_tier_share: 0.0,
        }
    }
}

impl Policy {
    /// Returns the policy with every rule disabled: no deadline check, no extra grants, earliest
    /// deadline first, no guaranteed share.
    pub fn without_rules() -> Policy {
        Policy {
            denies_late_requests: false,
            allows_extra_grants: false,
            is_latest_deadline_first: false,
            min_tier_share: 0.0,
        }
    }
}

impl State {
    /// Returns the estimated work of a request, without the prompt tokens that are probably cached, in
    /// units of which a decode step has [`pace::DECODE_STEP_WORK`].
    pub(super) fn uncached_work(&self, ask: &Ask) -> u64 {
        let cached_tokens = self.prefix_cache.cached_tokens(&ask.prefix, ask.prefill);
        let steps = u64::from(ask.decode) + 1;
        steps * pace::DECODE_STEP_WORK + u64::from(ask.prefill - cached_tokens)
    }

    /// Returns the shortest time in which some work is expected to run; zero while there is no
    /// estimate or deadlines aren't checked.
    pub(super) fn least_run_time(&self, now: Instant, work: u64) -> Duration {
        self.run_time(now, work).mul_f64(LEAST_RUN_TIME_SHARE)
    }

    /// Returns the estimated run time of some work; zero while there is no estimate or deadlines aren't
    /// checked.
    fn run_time(&self, now: Instant, work: u64) -> Duration {
        let run_time =
            self.run_times.estimate(now, work).filter(|_| self.policy.denies_late_requests);
        run_time.unwrap_or(Duration::ZERO)
    }

    /// Returns whether a request would miss its deadline even with an empty queue.
    pub(super) fn is_infeasible(&self, now: Instant, ask: &Ask, work: u64) -> bool {
        self.least_run_time(now, work) > ask.remaining
    }

    /// Returns whether a request's expected wait is too long for its deadline. Only waiting work of the
    /// request's own tier and of higher tiers counts.
    pub(super) fn is_queue_too_long(&self, now: Instant, ask: &Ask, work: u64) -> bool {
        let spare_time = ask.remaining.saturating_sub(self.run_time(now, work));
        self.expected_wait(now, ask.rank) > spare_time.mul_f64(MAX_WAIT_SHARE_OF_SPARE_TIME)
    }

    /// Returns whether a reservation of a tier below `rank` waits (one with a higher rank number).
    pub(super) fn has_lower_tier_waiting(&self, rank: Rank) -> bool {
        self.queue.last().is_some_and(|waiting| waiting.rank > rank)
    }

    /// Returns the expected time until all work that waits in a tier and in higher tiers has run,
    /// assuming that new work of higher tiers keeps arriving at its recent rate.
    fn expected_wait(&self, now: Instant, rank: Rank) -> Duration {
        let run_time_before = self.run_time(now, self.queue.work_at_or_above(rank));
        let own_share = 1.0 - self.tier_shares.share_above(rank).min(MAX_SHARE_OF_HIGHER_TIERS);
        run_time_before.div_f64(own_share)
            / u32::try_from(self.held_slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that may run or hold a grant at the same time, including grants
    /// beyond the slots: an entry process that stands still uses a granted slot late and releases it late.
    pub(super) fn grantable_slots(&self) -> usize {
        let extra_grants = if self.policy.allows_extra_grants {
            self.run_times.extra_grants(self.capacity.slots)
        } else {
            0
        };
        self.capacity.slots + extra_grants + self.unused_slots.extra_grants(self.capacity.slots)
    }
}
