//! What is heard of the rate limits that targets name.

use std::time::{Duration, Instant};

use crate::rate::{self, News};

use super::{
    State,
    capacity::Slot,
    event::{Effect, Note, Ticket},
    peers::Limited,
};

impl State {
    /// An answer names its target's rate limit.
    pub(super) fn limited(
        &mut self,
        now: Instant,
        ticket: Ticket,
        per_second: f64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(running) = self.running(ticket) else {
            return;
        };
        running.limited = true;
        let (name, incarnation) = (running.slot.target.clone(), running.slot.incarnation);
        let news = News { interval: Some(rate::interval(per_second)), at: now };
        if self.capacity.hear_limit(now, &name, incarnation, news) {
            effects
                .push(Effect::Note(Note::Limited { target: name, per_second: Some(per_second) }));
        }
    }

    /// Learns what another process heard of limits before it made a row that is as old as given.
    pub(super) fn hear_limits(
        &mut self,
        now: Instant,
        age: Duration,
        limits: &[Limited],
        effects: &mut Vec<Effect>,
    ) {
        for Limited { target, incarnation, limit } in limits {
            let at = now.checked_sub(age + limit.age).unwrap_or(now);
            let news = News { interval: limit.interval, at };
            if self.capacity.hear_limit(now, target, *incarnation, news) {
                let per_second = limit.interval.map(rate::per_second);
                effects.push(Effect::Note(Note::Limited { target: target.clone(), per_second }));
            }
        }
    }

    /// The answer to a request that was dispatched then names no limit of its target.
    pub(super) fn unlimited(
        &mut self,
        now: Instant,
        slot: &Slot,
        dispatched: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self.capacity.lift_limit(now, slot, dispatched) {
            let target = slot.target.clone();
            effects.push(Effect::Note(Note::Limited { target, per_second: None }));
        }
    }
}
