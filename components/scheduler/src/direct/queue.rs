//! Queues of waiting requests, their timers, and dispatch in queue order.
//!
//! There is one queue for each pool, of requests that wait for a slot, and one for each client account, of
//! requests that wait for units of the account's limit.

use std::{collections::BTreeMap, time::Instant};

use model::id::PoolName;

use super::{
    State, UNRESPONSIVE_TIMEOUT_FACTOR, UNRESPONSIVE_TIMEOUT_MIN,
    budget::{self, RetryBudget},
    capacity::Demand,
    copies::Placement,
    event::{Dispatch, Effect, Now, RefusalReason, Ticket},
    late,
    pending::{HeldSlot, InFlight, PendingRequest, RetryCharge, Stage},
    plan::Repeat,
    reserve,
    rollout::{Lane, Rollouts},
    screen, shares,
};

impl State {
    /// Adds a request to the queue of its account or of its pool, whichever it waits in, and sets its timer.
    /// Does nothing where the request has ended.
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            let queue = match (&pending.stage, &pending.account) {
                (Stage::WaitingForUnits(_), Some(account)) => {
                    self.next_grant = None;
                    self.waiting_for_units.entry(account.clone()).or_default()
                }
                _ => self.waiting.entry(pending.pool.clone()).or_default(),
            };
            queue.insert(pending.queue_key());
            self.timers.insert((pending.next_timer(), ticket));
        }
        self.add_to_share(ticket);
    }

    /// Sorts a waiting request by its account's rank from now on. Returns `false` where the request has ended
    /// or its wait is over, so that it must be refused.
    pub(super) fn promote(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> bool {
        self.dequeue(ticket);
        match self.requests.get_mut(&ticket) {
            Some(pending) if pending.wait_deadline > now => {
                let previous_key = pending.queue_key();
                pending.is_promoted = true;
                // A request that found no slot at a target of the ordered version may still find one at a
                // target of a base version.
                let was_selected = pending.deselect_from_rollout(&mut self.rollouts);
                // Reservations carry the rank and the version of the request, so new ones are made.
                if was_selected || pending.queue_key().ranks != previous_key.ranks {
                    pending.withdraw_reservations(effects);
                }
            }
            _ => return false,
        }
        self.enqueue(ticket);
        true
    }

    /// Removes a request from its queue and cancels its timers. Does nothing where the request has ended or
    /// isn't queued.
    pub(super) fn dequeue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.requests.get(&ticket) {
            let queue = match (&pending.stage, &pending.account) {
                (Stage::WaitingForUnits(_), Some(account)) => {
                    self.waiting_for_units.get_mut(account)
                }
                _ => self.waiting.get_mut(&pending.pool),
            };
            if let Some(queue) = queue {
                queue.remove(&pending.queue_key());
            }
            self.timers.remove(&(pending.next_timer(), ticket));
            self.timers.remove(&(pending.deadline, ticket));
        }
        self.remove_from_share(ticket);
    }

    /// Handles all timers that are due. A request that holds a slot at a second target releases it; a request
    /// whose wait isn't over is promoted; a request in flight stops its search for another target; any other
    /// request is refused.
    pub(super) fn handle_due_timers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(&(at, ticket)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, ticket));
            if self.cancel_move(ticket, effects) || self.promote(now, ticket, effects) {
                continue;
            }
            if self.cancel_search(ticket, effects) {
                continue;
            }
            if let Some((shortage, wait)) = self.units_wait(now, ticket) {
                self.refuse_limited(now, ticket, shortage, wait, effects);
                continue;
            }
            if self.begin_late_wait(now, ticket, effects) {
                continue;
            }
            let reason = match self.requests.get(&ticket) {
                Some(pending) => self.end_of_wait_reason(now, pending),
                None => RefusalReason::NoFreeSlot,
            };
            self.refuse(now, ticket, reason, false, effects);
        }
    }

    /// Returns the reason for which a request is refused whose wait for a slot is over.
    fn end_of_wait_reason(&self, now: Instant, pending: &PendingRequest) -> RefusalReason {
        let PendingRequest { origin, pool, possibly_ran_at, .. } = pending;
        if origin.is_unknown() {
            return RefusalReason::VersionUnknown;
        }
        let can_continue =
            |version| self.capacity.can_continue(now, pool, version, possibly_ran_at);
        if origin.version().is_some_and(|version| !can_continue(version)) {
            return RefusalReason::VersionUnavailable;
        }
        if pending.deadline <= now {
            RefusalReason::DeadlineExceeded
        } else {
            RefusalReason::NoFreeSlot
        }
    }

    /// Dispatches waiting requests in queue order while slots are free, and reserves slots at agents for the
    /// rest.
    pub(super) fn dispatch_waiting(&mut self, now: Now, effects: &mut Vec<Effect>) {
        // Drops the times that have passed; requests that still wait add new ones below.
        self.reserve_at = self.reserve_at.split_off(&now.steady);
        let (rule, processes, started) =
            (self.settings.retry_budget, self.process_index.count, self.started);
        let mut occupied = self.occupied_parts(now.steady);
        let may_have_resting = self.capacity.may_have_resting(now.steady);
        // Requests whose wait ends before any of their targets has rested, with the end of that rest.
        let mut resting = Vec::new();
        let is_in_minority = self.rollouts.has_running() && self.is_in_minority(now.steady);
        for (pool, queue) in &mut self.waiting {
            if queue.is_empty() {
                continue;
            }
            let modes = self.capacity.admission_modes(now.steady, pool);
            let mut dequeued = Vec::new();
            // Whether requests for base versions may still find a slot at a target without an agent: first
            // those of any tier, then those of the lowest tier, which may not use all slots.
            let (mut has_room, mut has_room_for_lowest) = (modes.has_shared_slots, true);
            let shared = self.shares.get(pool).filter(|_| modes.has_shared_slots);
            for key in shares::order(queue, shared) {
                let Some(pending) = self.requests.get_mut(&key.ticket) else {
                    dequeued.push((key, false));
                    continue;
                };
                if pending.origin.is_unknown() {
                    continue;
                }
                if key.is_late {
                    if pending.next_check_at > now.steady {
                        self.reserve_at.insert(pending.next_check_at);
                        continue;
                    }
                    pending.next_check_at = now.steady + late::CHECK_PERIOD;
                    self.reserve_at.insert(pending.next_check_at);
                }
                let version = pending.origin.version().cloned();
                // A stream whose version no target runs now takes no retry from the budget while it waits.
                if let Some(version) = &version {
                    let ran_at = &pending.possibly_ran_at;
                    if !self.capacity.can_continue(now.steady, pool, version, ran_at) {
                        pending.withdraw_reservations(effects);
                        continue;
                    }
                }
                let screening =
                    screen::screen(now.steady, &self.parts, &occupied, &self.capacity, pending);
                if screening.is_held || screening.trial != pending.trial {
                    pending.withdraw_reservations(effects);
                    pending.trial = screening.trial;
                }
                if screening.is_held {
                    continue;
                }
                if screening.trial.is_some() {
                    occupied.add(&self.parts, pending);
                }
                if pending.charge == RetryCharge::NotYetTaken {
                    let budget = self.budgets.entry(pool.clone());
                    let budget = budget.or_insert_with(|| budget::open(started));
                    if !budget.reserve_retry(now.steady, &rule, processes) {
                        continue;
                    }
                    pending.charge = RetryCharge::Taken;
                }
                // The lowest tier may not use all slots if its requests hold their slots longest.
                let is_lowest = self.lowest_tiers.get(pool) == Some(&pending.tier)
                    && self.slot_times.is_longest(pool, pending.tier);
                // Uniform from 0 up to but excluding 1.
                let spread = (pending.request.spread >> 12) as f64 / (1_u64 << 52) as f64;
                let is_selected = *pending.is_selected_for_rollout.get_or_insert_with(|| {
                    let max_share = self.settings.trial_share;
                    let pool_route = (pool, pending.route.as_str());
                    self.rollouts.choose_ordered(
                        now.steady,
                        pool_route,
                        spread,
                        max_share,
                        is_in_minority,
                    )
                });
                let lane = self.rollouts.request_lane(now.steady, pool, is_selected);
                let (possibly_ran_at, rejected_by) =
                    (pending.possibly_ran_at.clone(), pending.rejected_by.clone());
                let demand = Demand {
                    lane,
                    version: version.as_ref(),
                    excluded_versions: &screening.excluded_versions,
                    is_lowest_tier: is_lowest,
                    ..pending.demand(
                        now.steady,
                        pool,
                        &self.settings.zone,
                        (&possibly_ran_at, &rejected_by),
                    )
                };
                // A request that seeks another target may still be answered by its own.
                if may_have_resting
                    && matches!(pending.stage, Stage::WaitingForSlot)
                    && let Some(end) = self.capacity.rest_end(now.steady, &demand)
                    && end > pending.wait_deadline
                {
                    resting.push((key.ticket, end));
                    continue;
                }
                let may_fit = has_room
                    || lane == Lane::Ordered
                    || version.is_some()
                    || screening.is_restricted();
                if may_fit && (!is_lowest || has_room_for_lowest) {
                    if let Some(slot) =
                        self.capacity.take_slot(now.steady, self.process_index, &demand)
                    {
                        dequeued.push((key, pending.dispatches == 0));
                        self.timers.remove(&(pending.next_timer(), key.ticket));
                        pending.withdraw_reservations(effects);
                        let (rollouts, budgets) = (&mut self.rollouts, &mut self.budgets);
                        let held = HeldSlot { slot, reservation: None };
                        let effect = assign_slot(now.steady, pending, held, rollouts, budgets);
                        if matches!(effect, Effect::CancelDispatch { .. }) {
                            self.timers.insert((pending.deadline, key.ticket));
                        }
                        effects.push(effect);
                        continue;
                    }
                    // This request found no slot. Other requests may still find one if this one is of the
                    // lowest tier, which may not use all slots, must avoid targets that may have run it, or
                    // needs the version that began its stream.
                    if lane == Lane::Base && version.is_none() && !screening.is_restricted() {
                        has_room_for_lowest &= !is_lowest;
                        has_room = is_lowest || !pending.possibly_ran_at.is_empty();
                    }
                }
                // This also withdraws reservations at targets that no longer take requests.
                if modes.has_agents || !pending.reservations.is_empty() {
                    let next = reserve::update_reservations(
                        &mut self.capacity,
                        now.steady,
                        &demand,
                        pending,
                        effects,
                    );
                    self.reserve_at.extend(next.filter(|_| !key.is_late));
                } else if !has_room {
                    break;
                }
            }
            for (key, is_first) in dequeued {
                if let Some(pending) = self.requests.get(&key.ticket) {
                    shares::settle(&mut self.shares, pending, &key, is_first);
                }
                queue.remove(&key);
            }
        }
        for (ticket, end) in resting {
            self.refuse_resting(now.steady, ticket, end, effects);
        }
    }
}

/// Assigns a slot to a request and returns the effect that dispatches the request. If the request is still in
/// flight at an unresponsive target, the effect cancels that dispatch instead, and the slot is held until the
/// dispatch has ended.
pub(super) fn assign_slot(
    now: Instant,
    pending: &mut PendingRequest,
    held: HeldSlot,
    rollouts: &mut Rollouts,
    budgets: &mut BTreeMap<PoolName, RetryBudget>,
) -> Effect {
    match std::mem::replace(&mut pending.stage, Stage::WaitingForSlot) {
        Stage::SeekingOtherTarget(in_flight) => {
            let target = held.slot.target.clone();
            pending.stage = Stage::MovingToOtherTarget(in_flight, held);
            Effect::CancelDispatch { ticket: pending.request.ticket, target }
        }
        _ => Effect::Dispatch(start_dispatch(now, pending, held, rollouts, budgets)),
    }
}

/// Marks a request as running in a slot and returns what is needed to send it to the slot's target.
pub(super) fn start_dispatch(
    now: Instant,
    pending: &mut PendingRequest,
    HeldSlot { slot, reservation }: HeldSlot,
    rollouts: &mut Rollouts,
    budgets: &mut BTreeMap<PoolName, RetryBudget>,
) -> Dispatch {
    pending.dispatches += 1;
    if std::mem::replace(&mut pending.charge, RetryCharge::Nothing) == RetryCharge::Taken
        && let Some(budget) = budgets.get_mut(&pending.pool)
    {
        budget.use_retry();
    }
    // The selection for the ordered version covers one dispatch: any retry goes to a base version.
    pending.deselect_from_rollout(rollouts);
    rollouts.count_dispatch(&pending.pool, &pending.route, slot.is_ordered_version);
    let unresponsive_timeout =
        UNRESPONSIVE_TIMEOUT_MIN.max(slot.expected_first_event * UNRESPONSIVE_TIMEOUT_FACTOR);
    let dispatch = Dispatch {
        ticket: pending.request.ticket,
        target: slot.target.clone(),
        address: slot.address,
        unresponsive_timeout: pending
            .may_retry(pending.possibly_ran_at.len() + 1)
            .then_some(unresponsive_timeout),
        account: pending.account.clone(),
        tier: pending.tier,
        is_repeatable: pending.retry_policy != Repeat::Never,
        deadline: pending.deadline,
        is_stream: pending.is_stream,
        attempt: pending.dispatches,
        copy: Placement::default(),
        continues: pending.copies.begin_dispatch(now),
    };
    pending.stage = Stage::InFlight(InFlight {
        slot,
        dispatched_at: now,
        time_to_first_event: None,
        has_rate_limit: false,
        is_unframed: false,
        reservation,
    });
    dispatch
}
