//! Reservations: a request waits at the agents of several targets at once, and goes to the target whose
//! agent grants it a slot first.
//!
//! An agent counts the requests of all entry processes at its target, and grants slots to the highest tier
//! first. With many entry processes only the agent has this information in time: the rows that entry
//! processes exchange are then older than the time for which a slot is held.

use std::time::{Duration, Instant};

use model::{id::Rank, reservation::Load};

use super::{
    State,
    capacity::{Capacity, Demand, Slot},
    event::{DenialReason, Effect, Reservation, Ticket},
    pending::{HeldSlot, InFlight, PendingRequest, QueueKey, QueuedReservation},
    queue,
};

/// Number of reservations that a request makes when it begins to wait.
const INITIAL_RESERVATIONS: usize = 2;
/// Maximum number of reservations that a request has at a time.
const MAX_RESERVATIONS: usize = 6;
/// Recency boost of a request whose answer would end before its deadline at no target, as a part of the time
/// from the request's arrival to its promotion (see [`PROMOTION_SHARE`](super::PROMOTION_SHARE)). The boost
/// is added to the remaining time that the agent is told, so an agent that grants the newest request of a
/// tier first grants this one earlier. The boost falls linearly to zero for a request whose answer would end
/// before its deadline at all targets.
const MAX_BOOST_RATIO: f64 = 2.0 / 3.0;
/// Delay before a request without reservations makes another one; doubles with each reservation that it has.
const BASE_RESERVATION_DELAY: Duration = Duration::from_millis(40);
/// Highest value of the account's rank in a packed rank, where the account's rank has 2 bits.
const MAX_PACKED_ACCOUNT_RANK: u32 = 3;
/// Highest value of each of the two other ranks in a packed rank; each has 3 bits.
const MAX_PACKED_PART: u32 = 7;

/// Returns the rank of a request in its pool's queue as one number, by which agents compare the requests of
/// all processes. A rank that doesn't fit into its bits is replaced by the highest value that does.
fn pack_rank(key: &QueueKey) -> Rank {
    let [first, tier, account] = key.ranks;
    let packed = (first.min(MAX_PACKED_ACCOUNT_RANK) << 6)
        | (tier.min(MAX_PACKED_PART) << 3)
        | account.min(MAX_PACKED_PART);
    packed.try_into().unwrap_or(Rank::MAX)
}

impl PendingRequest {
    /// Reports whether the request should make another reservation now.
    fn needs_another_reservation(&self, now: Instant) -> bool {
        let count = self.reservations.len();
        count < INITIAL_RESERVATIONS
            || (count < MAX_RESERVATIONS && self.next_reservation_at <= now)
    }

    /// Withdraws all reservations of the request.
    pub(super) fn withdraw_reservations(&mut self, effects: &mut Vec<Effect>) {
        let ticket = self.request.ticket;
        let withdrawn = self.reservations.drain(..).map(|reserved| reserved.number);
        effects.extend(withdrawn.map(|number| Effect::WithdrawReservation { ticket, number }));
    }

    /// Removes the reservation with this number and returns it; `None` if the request has no such
    /// reservation.
    fn take_reservation(&mut self, number: u32) -> Option<QueuedReservation> {
        let index = self.reservations.iter().position(|reserved| reserved.number == number)?;
        Some(self.reservations.swap_remove(index))
    }
}

/// Makes the reservations of a waiting request that are due, and withdraws those that are no longer valid,
/// such as those at targets that accept no more requests. Returns when the next reservation is due; `None` if
/// the request has the maximum number of reservations.
pub(super) fn update_reservations(
    capacity: &mut Capacity,
    now: Instant,
    demand: &Demand<'_>,
    pending: &mut PendingRequest,
    effects: &mut Vec<Effect>,
) -> Option<Instant> {
    let ticket = pending.request.ticket;
    let (valid, invalid) = pending
        .reservations
        .drain(..)
        .partition(|reserved| capacity.is_reservation_valid(now, reserved, demand.version));
    pending.reservations = valid;
    effects.extend(invalid.iter().map(|QueuedReservation { number, .. }| {
        Effect::WithdrawReservation { ticket, number: *number }
    }));
    while pending.needs_another_reservation(now) {
        let count = u32::try_from(pending.reservations.len()).unwrap_or(u32::MAX);
        pending.next_reservation_at = now + BASE_RESERVATION_DELAY * 2_u32.saturating_pow(count);
        let chosen = capacity.choose_target(now, demand, &pending.reservations);
        let Some((state, agent)) = chosen.and_then(|state| Some((state, state.agent?))) else {
            break;
        };
        let (target, limited) = (state.target.clone(), state.is_limited());
        let (slots, limit) = (state.admission_slots(), state.limit_report(now));
        // Of the requests of a tier, those that fit the fewest targets go first: the others can be served by
        // other targets.
        let closed_ratio = capacity.count_fitting(now, demand).unfitting_share();
        let boost = (pending.promote_at - pending.arrived).mul_f64(MAX_BOOST_RATIO * closed_ratio);
        pending.reservation_count += 1;
        let number = pending.reservation_count;
        let (name, incarnation) = (target.name.clone(), target.incarnation);
        pending.reservations.push(QueuedReservation {
            number,
            target: name,
            incarnation,
            agent,
            is_rate_limited: limited,
        });
        capacity.count_reservation(now, &target.name);
        effects.push(Effect::Reserve(Reservation {
            ticket,
            number,
            agent,
            target: target.name,
            incarnation,
            address: target.address,
            slots,
            is_alone: pending.trial.is_some_and(|trial| trial.is_alone),
            fingerprint: pending.request.fingerprint,
            is_local_agent: target.agent_address == Some(agent),
            limit,
            rank: pack_rank(&pending.queue_key()),
            order: pending.order(),
            timeout: pending.wait_deadline.saturating_duration_since(now),
            recency_boost: boost,
            tokens: pending.tokens(),
        }));
    }
    (pending.reservations.len() < MAX_RESERVATIONS).then_some(pending.next_reservation_at)
}

impl State {
    /// Handles a grant of an agent: dispatches the request to the agent's target. Withdraws the reservation
    /// if the request no longer has it or the target is no longer suitable.
    pub(super) fn handle_grant(
        &mut self,
        now: Instant,
        ticket: Ticket,
        number: u32,
        load: Load,
        effects: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.granted_slot(now, ticket, number, load) else {
            return effects.push(Effect::WithdrawReservation { ticket, number });
        };
        self.charge_share(ticket);
        self.dequeue(ticket);
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.withdraw_reservations(effects);
            let (rollouts, budgets) = (&mut self.rollouts, &mut self.budgets);
            let held = HeldSlot { slot, reservation: Some(number) };
            let effect = queue::assign_slot(now, pending, held, rollouts, budgets);
            if matches!(effect, Effect::CancelDispatch { .. }) {
                self.timers.insert((pending.deadline, ticket));
            }
            effects.push(effect);
        }
    }

    /// Takes the slot that an agent granted to a reservation, and records the load that the agent reported.
    /// Returns `None` if the request no longer has the reservation or the target is no longer suitable.
    fn granted_slot(
        &mut self,
        now: Instant,
        ticket: Ticket,
        number: u32,
        load: Load,
    ) -> Option<Slot> {
        let pending = self.requests.get_mut(&ticket)?;
        let reserved = pending.take_reservation(number)?;
        self.capacity.record_agent_load(now, &reserved, load);
        let lane = self.rollouts.request_lane(
            now,
            &pending.pool,
            pending.is_selected_for_rollout == Some(true),
        );
        let avoided = (&*pending.possibly_ran_at, &*pending.rejected_by);
        let demand = pending.demand(now, &pending.pool, &self.settings.zone, avoided);
        let demand = Demand { lane, version: pending.origin.version(), ..demand };
        self.capacity.take_granted_slot(now, &reserved, &demand)
    }

    /// Handles a reservation that ended without a grant. If the agent can't reach its target, starts a
    /// backoff from the target. If the agent itself is unreachable, starts a backoff from the agent; until
    /// that ends, entry processes share the target's slots by the rows that they exchange: the state,
    /// including the load on each target, that each process sends to the others.
    pub(super) fn handle_denial(
        &mut self,
        now: Instant,
        ticket: Ticket,
        number: u32,
        reason: DenialReason,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.requests.get_mut(&ticket);
        let Some(reserved) = pending.and_then(|pending| pending.take_reservation(number)) else {
            return;
        };
        match reason {
            DenialReason::AgentUnreachable => {
                self.capacity.mark_agent_unreachable(now, &reserved);
                self.leave_home(now, reserved.agent, effects);
            }
            DenialReason::TargetUnreachable => {
                self.capacity.mark_unreachable_by_agent(now, &reserved)
            }
            DenialReason::TimedOut => {}
        }
    }

    /// Releases the slot of a dispatch that ended and withdraws its reservation at the agent, if any.
    pub(super) fn release_dispatch(
        &mut self,
        ticket: Ticket,
        in_flight: &InFlight,
        effects: &mut Vec<Effect>,
    ) {
        self.capacity.release_slot(&in_flight.slot);
        let number = in_flight.reservation;
        effects.extend(number.map(|number| Effect::WithdrawReservation { ticket, number }));
    }

    /// Releases a slot that a request held but didn't use, and withdraws its reservation, if any.
    pub(super) fn release_held_slot(
        &mut self,
        ticket: Ticket,
        held: &HeldSlot,
        effects: &mut Vec<Effect>,
    ) {
        self.capacity.release_slot(&held.slot);
        effects
            .extend(held.reservation.map(|number| Effect::WithdrawReservation { ticket, number }));
    }
}
