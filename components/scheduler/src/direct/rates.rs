//! Updates of the targets' rate limits from answers and from the rows of other entry processes.

use std::time::{Duration, Instant};

use crate::rate::{self, RateLimitReport};

use super::{
    State,
    capacity::Slot,
    event::{Effect, LogEntry, Ticket},
    peers::TargetLimit,
};

impl State {
    /// Handles an answer that states its target's rate limit, in requests per second.
    pub(super) fn handle_rate_limit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        per_second: f64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_flight(ticket) else {
            return;
        };
        in_flight.has_rate_limit = true;
        let (name, incarnation) = (in_flight.slot.target.clone(), in_flight.slot.incarnation);
        let report =
            RateLimitReport { interval: Some(rate::interval_at_rate(per_second)), stated_at: now };
        if self.capacity.record_limit(now, &name, incarnation, report) {
            effects.push(Effect::Log(LogEntry::RateLimitChanged {
                target: name,
                per_second: Some(per_second),
            }));
        }
    }

    /// Records the limits in another process's row, which was made `age` ago.
    pub(super) fn record_peer_limits(
        &mut self,
        now: Instant,
        age: Duration,
        limits: &[TargetLimit],
        effects: &mut Vec<Effect>,
    ) {
        for TargetLimit { target, incarnation, limit } in limits {
            let at = now.checked_sub(age + limit.age).unwrap_or(now);
            let report = RateLimitReport { interval: limit.interval, stated_at: at };
            if self.capacity.record_limit(now, target, *incarnation, report) {
                let per_second = limit.interval.map(rate::rate_at_interval);
                effects.push(Effect::Log(LogEntry::RateLimitChanged {
                    target: target.clone(),
                    per_second,
                }));
            }
        }
    }

    /// Handles an answer that states no rate limit, to a request that was dispatched at
    /// `dispatched`.
    pub(super) fn handle_no_rate_limit(
        &mut self,
        now: Instant,
        slot: &Slot,
        dispatched: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self.capacity.clear_limit(now, slot, dispatched) {
            let target = slot.target.clone();
            effects.push(Effect::Log(LogEntry::RateLimitChanged { target, per_second: None }));
        }
    }
}
