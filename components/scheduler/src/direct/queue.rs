//! Where requests wait, and which is dispatched when.

use std::time::Instant;

use super::{
    SILENT, SILENT_TIMES, State,
    capacity::{Demand, Slot},
    event::{Effect, Now, Reason, Start, Ticket},
    pending::{Pending, Running, Stage},
    plan::Repeat,
};

impl State {
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            let queue = match (&pending.stage, &pending.account) {
                (Stage::Limited(_), Some(account)) => {
                    self.next_grant = None;
                    self.limited.entry(account.clone()).or_default()
                }
                _ => self.waiting.entry(pending.pool.clone()).or_default(),
            };
            queue.insert(pending.order());
            self.timers.insert((pending.wake(), ticket));
        }
    }

    /// Lets a request's account decide over its place; `false` where it is to be refused.
    pub(super) fn promote(&mut self, now: Instant, ticket: Ticket) -> bool {
        self.dequeue(ticket);
        match self.requests.get_mut(&ticket) {
            Some(pending) if pending.give_up > now => pending.promoted = true,
            _ => return false,
        }
        self.enqueue(ticket);
        true
    }

    pub(super) fn dequeue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            let queue = match (&pending.stage, &pending.account) {
                (Stage::Limited(_), Some(account)) => self.limited.get_mut(account),
                _ => self.waiting.get_mut(&pending.pool),
            };
            if let Some(queue) = queue {
                queue.remove(&pending.order());
            }
            self.timers.remove(&(pending.wake(), ticket));
        }
    }

    pub(super) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, ticket));
            if self.promote(now, ticket) {
                continue;
            }
            if let Some((lack, wait)) = self.limit_wait(now, ticket) {
                self.refuse_limited(now, ticket, lack, wait, effects);
                continue;
            }
            let reason = match self.requests.get(&ticket) {
                Some(pending) if pending.until <= now => Reason::Late,
                _ => Reason::NoRoom,
            };
            self.refuse(now, ticket, reason, false, effects);
        }
    }

    /// Dispatches what waits, as far as there is room.
    pub(super) fn place(&mut self, now: Now, effects: &mut Vec<Effect>) {
        for queue in self.waiting.values_mut() {
            let mut placed = Vec::new();
            let mut lowest_fits = true;
            for order in queue.iter() {
                let Some(pending) = self.requests.get_mut(&order.ticket) else {
                    placed.push(*order);
                    continue;
                };
                let lowest = self.lowest.get(&pending.pool) == Some(&pending.tier)
                    && self.holds.is_longest(&pending.pool, pending.tier);
                if lowest && !lowest_fits {
                    continue;
                }
                let demand = Demand { tokens: pending.prompt(), tried: &pending.tried, lowest };
                let (place, zone) = (self.place, &self.settings.zone);
                let slot = self.capacity.take(now.steady, &pending.pool, place, zone, &demand);
                if let Some(slot) = slot {
                    placed.push(*order);
                    self.timers.remove(&(pending.wake(), order.ticket));
                    effects.push(Effect::Start(start(now.steady, pending, slot)));
                    continue;
                }
                // One that may not go everywhere doesn't hold up those that may.
                if lowest {
                    lowest_fits = false;
                } else if pending.tried.is_empty() {
                    break;
                }
            }
            for order in placed {
                queue.remove(&order);
            }
        }
    }
}

fn start(now: Instant, pending: &mut Pending, slot: Slot) -> Start {
    pending.dispatches += 1;
    let silence = SILENT.max(slot.first * SILENT_TIMES);
    let start = Start {
        ticket: pending.request.ticket,
        target: slot.target.clone(),
        address: slot.address,
        silence: pending.may_repeat(pending.tried.len() + 1).then_some(silence),
        account: pending.account.clone(),
        tier: pending.tier,
        repeatable: pending.repeat != Repeat::Never,
        until: pending.until,
        stream: pending.stream,
        attempt: pending.dispatches,
    };
    pending.stage = Stage::Running(Running { slot, since: now, first: None });
    start
}
