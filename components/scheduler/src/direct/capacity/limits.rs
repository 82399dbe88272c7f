//! Rate limits that targets name.

use std::time::{Duration, Instant};

use model::id::TargetName;

use crate::rate::{self, News};

use super::{super::event::Incarnation, Capacity, Slot, TargetState};

impl TargetState {
    /// Requests a second that it was last heard to take, and the age of that; `None` where it names no
    /// limit.
    pub fn limit(&self, now: Instant) -> Option<(f64, Duration)> {
        let News { interval, at } = self.limit?;
        Some((rate::per_second(interval?), now.saturating_duration_since(at)))
    }
}

impl Capacity {
    /// Learns what was heard of a target's limit; gives whether it is another than before.
    pub fn hear_limit(&mut self, name: &TargetName, incarnation: Incarnation, news: News) -> bool {
        let Some(state) = self.current(name, incarnation) else {
            return false;
        };
        if state.limit.is_some_and(|known| known.at >= news.at) {
            return false;
        }
        let before = state.limit.replace(news).and_then(|known| known.interval);
        before != news.interval
    }

    /// Learns that a request which was dispatched then was answered without the name of a limit; gives
    /// whether that shows that one is gone.
    pub fn lift_limit(&mut self, now: Instant, slot: &Slot, dispatched: Instant) -> bool {
        let state = self.state(&slot.target);
        let known = state.and_then(|state| state.limit);
        known.is_some_and(|known| known.is_over(dispatched))
            && self.hear_limit(&slot.target, slot.incarnation, News { interval: None, at: now })
    }

    /// Targets that name a limit.
    pub fn limited(&self) -> usize {
        let named = |state: &&TargetState| state.limit.is_some_and(|news| news.interval.is_some());
        self.states.iter().filter(named).count()
    }
}
