//! Slots that are held but that the target doesn't use: their grant hasn't reached its entry process, their request
//! hasn't reached the target, or the end of their answer hasn't reached the agent.

/// One in so many slots, rounded down, may be granted once more: if all holders use theirs after all, so many requests
/// wait at the target.
const EXTRA_GRANTS_DIVISOR: usize = 2;
/// Weight of the newest probe in the average.
const NEWEST_PROBE_WEIGHT: f64 = 1.0 / 4.0;

/// Moving average over the probes of the target.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnusedSlots {
    average: f64,
}

impl UnusedSlots {
    /// Records a probe that found this number of requests at the target while `held` slots were held.
    pub fn record(&mut self, held: usize, requests: usize) {
        let unused = held.saturating_sub(requests) as f64;
        self.average += (unused - self.average) * NEWEST_PROBE_WEIGHT;
    }

    /// Returns how many grants beyond the slots of the target compensate for the unused ones.
    pub fn extra_grants(&self, slots: usize) -> usize {
        (self.average.round() as usize).min(slots / EXTRA_GRANTS_DIVISOR)
    }

    /// Returns the average number of unused slots.
    pub fn average(&self) -> f64 {
        self.average
    }
}
