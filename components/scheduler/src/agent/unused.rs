//! Slots that are held but that the target doesn't use: their grant hasn't reached its entry process, their request
//! hasn't reached the target, or the end of their answer hasn't reached the agent.

use std::collections::VecDeque;

/// Number of the last probes that count.
const PROBES: usize = 8;
/// Number of these probes that must have found so many unused slots: grants and releases that are on their way show up
/// in single ones.
const MIN_PROBES: usize = 2;
/// One in so many slots, rounded down, may be granted once more: if all holders use theirs after all, so many requests
/// wait at the target.
const EXTRA_GRANTS_DIVISOR: usize = 2;

/// Numbers of unused slots that the last probes found, the latest last.
#[derive(Clone, Debug, Default)]
pub struct UnusedSlots {
    found: VecDeque<usize>,
}

impl UnusedSlots {
    /// Records a probe that found this number of requests at the target while `held` slots were held.
    pub fn record(&mut self, held: usize, requests: usize) {
        if self.found.len() == PROBES {
            self.found.pop_front();
        }
        self.found.push_back(held.saturating_sub(requests));
    }

    /// Returns how many grants beyond the slots of the target compensate for the unused ones.
    pub fn extra_grants(&self, slots: usize) -> usize {
        self.recurrent().min(slots / EXTRA_GRANTS_DIVISOR)
    }

    /// Returns the number of slots that [`MIN_PROBES`] of the last probes found unused.
    pub fn recurrent(&self) -> usize {
        let mut found: Vec<usize> = self.found.iter().copied().collect();
        found.sort_unstable();
        found.iter().rev().nth(MIN_PROBES - 1).copied().unwrap_or(0)
    }
}
