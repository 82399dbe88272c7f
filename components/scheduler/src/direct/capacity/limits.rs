//! Rate limits that targets name.
//!
//! A target's agent spaces its grants by the limit, since it sees what all processes send. Where no agent
//! is reached, one process, which all of them agree on, sends what the limit allows.

use std::time::{Duration, Instant};

use model::{id::TargetName, reservation::Limit};

use crate::rate::{self, News, Pacer};

use super::{super::event::Incarnation, Capacity, Place, Slot, TargetState};

/// Part of a limit that a process sends without its agent: others may still reach that, which then grants
/// the whole.
const UNREACHED_PART: u32 = 2;
/// Time without an answer after which it is another process's turn: one without requests would else keep
/// the target from all.
const TURN: Duration = Duration::from_secs(5);

impl TargetState {
    /// Requests a second that it was last heard to take, and the age of that; `None` where it names no
    /// limit.
    pub fn limit(&self, now: Instant) -> Option<(f64, Duration)> {
        let News { interval, at } = self.limit?;
        Some((rate::per_second(interval?), now.saturating_duration_since(at)))
    }

    /// Whether it names a limit.
    pub fn is_limited(&self) -> bool {
        self.interval().is_some()
    }

    /// What was last heard of its limit, for others.
    pub fn last_limit(&self, now: Instant) -> Option<Limit> {
        let News { interval, at } = self.limit?;
        Some(Limit { interval, age: now.saturating_duration_since(at) })
    }

    fn interval(&self) -> Option<Duration> {
        self.limit?.interval
    }

    /// Whether its limit lets a request through that no agent granted.
    pub(super) fn is_due(&self, now: Instant, place: Place) -> bool {
        let (Some(pacer), Some(news)) = (self.pacer, self.limit) else {
            return true;
        };
        let turns = now.saturating_duration_since(news.at).as_secs() / TURN.as_secs();
        let position = u64::from(self.position(place)) + turns;
        position.is_multiple_of(u64::from(place.among)) && pacer.next() <= now
    }

    /// Time, in ms, until its agent may admit a request, as far as is known.
    pub(super) fn limit_wait(&self, now: Instant) -> f64 {
        let next = self.next_grant.filter(|_| self.is_limited());
        next.map_or(0.0, |next| next.saturating_duration_since(now).as_secs_f64() * 1_000.0)
    }

    /// Expects that its agent grants a request now, and has others that wait.
    pub(super) fn expect_grant(&mut self, now: Instant, waiting: u32) {
        self.next_grant = self.interval().map(|interval| now + interval * (waiting + 1));
    }

    /// Assumes that its limit is used up: what others sent isn't known.
    pub(super) fn reset_pacer(&mut self, now: Instant) {
        self.pacer = self.paced().map(|interval| Pacer::open(now, interval));
    }

    /// Time between two requests that no agent grants.
    fn paced(&self) -> Option<Duration> {
        let part = if self.agent.is_some() { UNREACHED_PART } else { 1 };
        Some(self.interval()? * part)
    }

    fn hear_limit(&mut self, now: Instant, news: News) {
        self.limit = Some(news);
        match (self.paced(), &mut self.pacer) {
            (Some(interval), Some(pacer)) => pacer.set(interval),
            _ => self.reset_pacer(now),
        }
    }
}

impl Capacity {
    /// Learns what was heard of a target's limit; gives whether it is another than before.
    pub fn hear_limit(
        &mut self,
        now: Instant,
        name: &TargetName,
        incarnation: Incarnation,
        news: News,
    ) -> bool {
        let Some(state) = self.current(name, incarnation) else {
            return false;
        };
        if state.limit.is_some_and(|known| known.at >= news.at) {
            return false;
        }
        let before = state.interval();
        state.hear_limit(now, news);
        before != news.interval
    }

    /// Learns that a request which was dispatched then was answered without the name of a limit; gives
    /// whether that shows that one is gone.
    pub fn lift_limit(&mut self, now: Instant, slot: &Slot, dispatched: Instant) -> bool {
        let state = self.state(&slot.target);
        let known = state.and_then(|state| state.limit);
        let news = News { interval: None, at: now };
        known.is_some_and(|known| known.is_over(dispatched))
            && self.hear_limit(now, &slot.target, slot.incarnation, news)
    }

    /// Counts a reservation at a target: its agent may admit the next one later.
    pub fn queue_at(&mut self, now: Instant, name: &TargetName) {
        let state = self.places.get(name).and_then(|&place| self.states.get_mut(place));
        if let Some(state) = state {
            let next = state.next_grant.map_or(now, |next| next.max(now));
            state.next_grant = state.interval().map(|interval| next + interval);
        }
    }

    /// What was last heard of the limit of each target that ever named one.
    pub fn limits(&self, now: Instant) -> impl Iterator<Item = (&TargetState, Limit)> {
        self.states.iter().filter_map(move |state| Some((state, state.last_limit(now)?)))
    }

    /// Targets that name a limit.
    pub fn limited(&self) -> usize {
        self.states.iter().filter(|state| state.is_limited()).count()
    }
}
