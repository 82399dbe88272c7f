//! Rate limits that targets state in their answers.
//!
//! The agent of a target spaces its grants by the limit, since it sees the requests of all entry processes.
//! While no agent is reachable, the entry processes take turns: one process at a time, which all of them
//! compute from their indexes, sends as many requests as the limit allows.

use std::time::{Duration, Instant};

use model::{id::TargetName, reservation::Limit};

use crate::rate::{self, Pacer, RateLimitReport};

use super::{super::event::Incarnation, Capacity, ProcessIndex, Slot, TargetState};

/// Factor on the interval between requests that are sent without the target's agent, which leaves them half
/// of the limit. Other processes may still reach the agent, which then grants the whole limit.
const UNREACHABLE_AGENT_INTERVAL_FACTOR: u32 = 2;
/// Time without a new statement of the limit after which the turn passes to the next process. Otherwise a
/// process that has no requests would keep all others from sending to the target.
const TURN_DURATION: Duration = Duration::from_secs(5);

impl TargetState {
    /// Returns the target's rate limit in requests per second and the age of that information; `None` if
    /// the target isn't limited.
    pub fn limit_per_second(&self, now: Instant) -> Option<(f64, Duration)> {
        let RateLimitReport { interval, stated_at: at } = self.limit?;
        Some((rate::rate_at_interval(interval?), now.saturating_duration_since(at)))
    }

    /// Reports whether a rate limit applies to the target.
    pub fn is_limited(&self) -> bool {
        self.interval().is_some()
    }

    /// Returns the target's limit, as last learnt, in the form in which it is sent to agents and entry
    /// processes; `None` if the target never stated a limit.
    pub fn limit_report(&self, now: Instant) -> Option<Limit> {
        let RateLimitReport { interval, stated_at: at } = self.limit?;
        Some(Limit { interval, age: now.saturating_duration_since(at) })
    }

    /// Returns the mean interval between two requests by the target's limit; `None` if it isn't limited.
    fn interval(&self) -> Option<Duration> {
        self.limit?.interval
    }

    /// Reports whether the target's limit allows this process to send a request now without an agent's grant.
    pub(super) fn limit_allows(&self, now: Instant, process: ProcessIndex) -> bool {
        let (Some(pacer), Some(report)) = (self.pacer, self.limit) else {
            return true;
        };
        let turns =
            now.saturating_duration_since(report.stated_at).as_secs() / TURN_DURATION.as_secs();
        let rotated = u64::from(self.rotated_index(process)) + turns;
        rotated.is_multiple_of(u64::from(process.count)) && pacer.next_allowed_at() <= now
    }

    /// Returns the estimated time, in ms, until the agent admits a request; 0 if the target isn't limited.
    pub(super) fn limit_wait_ms(&self, now: Instant) -> f64 {
        let next = self.expected_grant.filter(|_| self.is_limited());
        next.map_or(0.0, |next| next.saturating_duration_since(now).as_secs_f64() * 1_000.0)
    }

    /// Estimates the agent's next grant after one at `now`, with `waiting` requests queued at the agent.
    pub(super) fn expect_next_grant(&mut self, now: Instant, waiting: u32) {
        self.expected_grant = self.interval().map(|interval| now + interval * (waiting + 1));
    }

    /// Restarts the pacer as if the limit were used up, since the requests that other processes sent are
    /// unknown.
    pub(super) fn reset_pacer(&mut self, now: Instant) {
        self.pacer = self.interval_without_agent().map(|interval| Pacer::open(now, interval));
    }

    /// Returns the interval between two requests that this process sends without an agent's grant; `None` if
    /// the target isn't rate-limited.
    fn interval_without_agent(&self) -> Option<Duration> {
        let factor = if self.agent.is_some() { UNREACHABLE_AGENT_INTERVAL_FACTOR } else { 1 };
        Some(self.interval()? * factor)
    }

    /// Replaces the target's rate limit by `news`, and adapts the interval between the requests that this
    /// process sends to the target without an agent's grant.
    fn record_limit(&mut self, now: Instant, report: RateLimitReport) {
        self.limit = Some(report);
        match (self.interval_without_agent(), &mut self.pacer) {
            (Some(interval), Some(pacer)) => pacer.set_interval(interval),
            _ => self.reset_pacer(now),
        }
    }
}

impl Capacity {
    /// Records a statement of a target's limit unless a newer statement is known. Returns whether the limit
    /// changed.
    pub fn record_limit(
        &mut self,
        now: Instant,
        name: &TargetName,
        incarnation: Incarnation,
        report: RateLimitReport,
    ) -> bool {
        let Some(state) = self.state_mut(name, incarnation) else {
            return false;
        };
        if state.limit.is_some_and(|known| known.stated_at >= report.stated_at) {
            return false;
        }
        let before = state.interval();
        state.record_limit(now, report);
        before != report.interval
    }

    /// Records that the answer to a request dispatched at `dispatched` stated no limit. Returns whether this
    /// lifted a limit: the request must have been dispatched long enough after the limit was last stated.
    pub fn clear_limit(&mut self, now: Instant, slot: &Slot, dispatched: Instant) -> bool {
        let state = self.state(&slot.target);
        let known = state.and_then(|state| state.limit);
        let report = RateLimitReport { interval: None, stated_at: now };
        known.is_some_and(|known| known.is_lifted_by(dispatched))
            && self.record_limit(now, &slot.target, slot.incarnation, report)
    }

    /// Counts a reservation at a rate-limited target, which delays the estimate of its agent's next grant.
    pub fn count_reservation(&mut self, now: Instant, name: &TargetName) {
        let state = self.indexes.get(name).and_then(|&index| self.states.get_mut(index));
        if let Some(state) = state {
            let next = state.expected_grant.map_or(now, |next| next.max(now));
            state.expected_grant = state.interval().map(|interval| next + interval);
        }
    }

    /// Returns the limit, as last learnt, of each target that ever stated one.
    pub fn limit_reports(&self, now: Instant) -> impl Iterator<Item = (&TargetState, Limit)> {
        self.states.iter().filter_map(move |state| Some((state, state.limit_report(now)?)))
    }

    /// Returns the number of targets that are rate-limited.
    pub fn limited_count(&self) -> usize {
        self.states.iter().filter(|state| state.is_limited()).count()
    }
}
