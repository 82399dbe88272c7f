//! Where requests wait, and which is dispatched when.

use std::time::Instant;

use super::{
    SILENT, SILENT_TIMES, State, budget,
    capacity::{Demand, Slot},
    event::{Effect, Now, Reason, Start, Ticket},
    pending::{Charge, Held, Pending, Running, Stage},
    plan::Repeat,
    reserve,
    rollout::{Lane, Rollouts},
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
    pub(super) fn promote(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.dequeue(ticket);
        match self.requests.get_mut(&ticket) {
            Some(pending) if pending.give_up > now => {
                let before = pending.order();
                pending.promoted = true;
                // What found no room at a version on trial still finds it at the other.
                let tried = pending.unchoose(&mut self.rollouts);
                // It is reserved anew in its new place.
                if tried || pending.order().rank != before.rank {
                    pending.withdraw(effects);
                }
            }
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
            self.timers.remove(&(pending.until, ticket));
        }
    }

    pub(super) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, ticket));
            if self.give_up_move(ticket, effects) || self.promote(now, ticket, effects) {
                continue;
            }
            if self.stay(ticket, effects) {
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

    /// Dispatches what waits, as far as there is room, and reserves room for the rest.
    pub(super) fn place(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.reserve_at = self.reserve_at.split_off(&now.steady);
        let (rule, among, opened) = (self.settings.repeats, self.place.among, self.opened);
        let alone = self.rollouts.any_active() && self.is_outnumbered(now.steady);
        for (pool, queue) in &mut self.waiting {
            if queue.is_empty() {
                continue;
            }
            let ways = self.capacity.ways(now.steady, pool);
            let mut placed = Vec::new();
            let (mut fits, mut lowest_fits) = (ways.rows, true);
            for order in queue.iter() {
                let Some(pending) = self.requests.get_mut(&order.ticket) else {
                    placed.push(*order);
                    continue;
                };
                if pending.charge == Charge::Due {
                    let budget = self.budgets.entry(pool.clone());
                    let budget = budget.or_insert_with(|| budget::open(opened));
                    if !budget.repeat(now.steady, &rule, among) {
                        continue;
                    }
                    pending.charge = Charge::Paid;
                }
                let lowest = self.lowest.get(pool) == Some(&pending.tier)
                    && self.holds.is_longest(pool, pending.tier);
                let draw = (pending.request.draw >> 12) as f64 / (1_u64 << 52) as f64;
                let chosen = *pending.chosen.get_or_insert_with(|| {
                    let allowed = self.settings.exposure;
                    let asked = (pool, pending.route.as_str());
                    self.rollouts.choose(now.steady, asked, draw, allowed, alone)
                });
                let lane = self.rollouts.lane(now.steady, pool, chosen);
                let (tried, rejected) = (pending.tried.clone(), pending.rejected.clone());
                let demand = Demand {
                    lane,
                    lowest,
                    ..pending.demand(now.steady, pool, &self.settings.zone, (&tried, &rejected))
                };
                let open = fits || lane == Lane::Ordered;
                if open && (!lowest || lowest_fits) {
                    if let Some(slot) = self.capacity.take(now.steady, self.place, &demand) {
                        placed.push(*order);
                        self.timers.remove(&(pending.wake(), order.ticket));
                        pending.withdraw(effects);
                        let rollouts = &mut self.rollouts;
                        let effect = dispatch(now.steady, pending, slot, None, rollouts);
                        if matches!(effect, Effect::Leave { .. }) {
                            self.timers.insert((pending.until, order.ticket));
                        }
                        effects.push(effect);
                        continue;
                    }
                    // One that may not go everywhere doesn't hold up those that may.
                    if lane == Lane::Base {
                        lowest_fits &= !lowest;
                        fits = lowest || !pending.tried.is_empty();
                    }
                }
                // What waits at a target that is gone is given up too.
                if ways.agents || !pending.reserved.is_empty() {
                    let next =
                        reserve::seek(&mut self.capacity, now.steady, &demand, pending, effects);
                    self.reserve_at.extend(next);
                } else if !fits {
                    break;
                }
            }
            for order in placed {
                queue.remove(&order);
            }
        }
    }
}

/// Uses room for a request: it goes there, at once or as soon as the target that has it is left.
pub(super) fn dispatch(
    now: Instant,
    pending: &mut Pending,
    slot: Slot,
    reservation: Option<u32>,
    rollouts: &mut Rollouts,
) -> Effect {
    match std::mem::replace(&mut pending.stage, Stage::Waiting) {
        Stage::Seeking(running) => {
            let target = slot.target.clone();
            pending.stage = Stage::Moving(running, Held { slot, reservation });
            Effect::Leave { ticket: pending.request.ticket, target }
        }
        _ => Effect::Start(start(now, pending, slot, reservation, rollouts)),
    }
}

pub(super) fn start(
    now: Instant,
    pending: &mut Pending,
    slot: Slot,
    reservation: Option<u32>,
    rollouts: &mut Rollouts,
) -> Start {
    pending.dispatches += 1;
    pending.charge = Charge::Free;
    // What is dispatched again goes to the version in use.
    pending.unchoose(rollouts);
    rollouts.dispatched(&pending.pool, &pending.route, slot.ordered);
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
    pending.stage =
        Stage::Running(Running { slot, since: now, first: None, limited: false, reservation });
    start
}
