//! Reservations: requests wait at the agents of several targets at once, and go to the one that
//! first has room.
//!
//! An agent counts what all entry processes have at its target, and grants room to the highest tier
//! of them first. With many entries no other place knows either: what they tell each other is older
//! than the time for which a slot is held.

use std::time::{Duration, Instant};

use model::{id::Rank, reservation::Load};

use super::{
    State,
    capacity::{Capacity, Demand, Slot},
    event::{Effect, Lapse, Reservation, Ticket},
    pending::{Held, Order, Pending, Reserved, Running},
    queue,
};

/// Agents at which a request is reserved when it begins to wait.
const FIRST: usize = 2;
/// Most agents at which it is reserved at a time.
const MOST: usize = 6;
/// Part of the time to its promotion by which a request counts as newer than it is where it ends in time at
/// hardly any target; it falls to none for one that may go anywhere.
const BOOST: f64 = 2.0 / 3.0;
/// Time until it is reserved at one more; doubles with each.
const STEP: Duration = Duration::from_millis(40);
/// Highest value of an account's rank in the first place of a packed rank.
const FIRST_MAX: u32 = 3;
/// Highest value of each further part of a packed rank.
const PART_MAX: u32 = 7;

/// The order of a pool's queue as one number, in which agents compare requests of all processes.
/// Ranks beyond what the number holds count alike.
fn pack(order: &Order) -> Rank {
    let [first, tier, account] = order.rank;
    let packed = (first.min(FIRST_MAX) << 6) | (tier.min(PART_MAX) << 3) | account.min(PART_MAX);
    packed.try_into().unwrap_or(Rank::MAX)
}

impl Pending {
    /// Whether it should be reserved at another agent.
    fn wants_another(&self, now: Instant) -> bool {
        let reserved = self.reserved.len();
        reserved < FIRST || (reserved < MOST && self.next_reservation <= now)
    }

    /// Gives up all its reservations.
    pub(super) fn withdraw(&mut self, effects: &mut Vec<Effect>) {
        let ticket = self.request.ticket;
        let given_up = self.reserved.drain(..).map(|reserved| reserved.number);
        effects.extend(given_up.map(|number| Effect::Withdraw { ticket, number }));
    }

    /// The reservation of that number, taken out.
    fn take_reserved(&mut self, number: u32) -> Option<Reserved> {
        let place = self.reserved.iter().position(|reserved| reserved.number == number)?;
        Some(self.reserved.swap_remove(place))
    }
}

/// Reserves a request at agents of its pool, and gives up what it has at targets that take no more
/// requests. Gives when it is to be reserved at one more.
pub(super) fn seek(
    capacity: &mut Capacity,
    now: Instant,
    demand: &Demand<'_>,
    pending: &mut Pending,
    effects: &mut Vec<Effect>,
) -> Option<Instant> {
    let ticket = pending.request.ticket;
    let (kept, lost) =
        pending.reserved.drain(..).partition(|reserved| capacity.keeps(now, reserved));
    pending.reserved = kept;
    effects.extend(
        lost.iter().map(|Reserved { number, .. }| Effect::Withdraw { ticket, number: *number }),
    );
    while pending.wants_another(now) {
        let reserved = u32::try_from(pending.reserved.len()).unwrap_or(u32::MAX);
        pending.next_reservation = now + STEP * 2_u32.saturating_pow(reserved);
        let chosen = capacity.choose(now, demand, &pending.reserved);
        let Some((state, agent)) = chosen.and_then(|state| Some((state, state.agent?))) else {
            break;
        };
        let (target, limited) = (state.target.clone(), state.is_limited());
        let (slots, limit) = (state.admits(), state.last_limit(now));
        // The least flexible of a tier go first: the others have their turn elsewhere.
        let closed = capacity.fits(now, demand).closed();
        let boost = (pending.promote - pending.arrived).mul_f64(BOOST * closed);
        pending.reservations += 1;
        let number = pending.reservations;
        let (name, incarnation) = (target.name.clone(), target.incarnation);
        pending.reserved.push(Reserved { number, target: name, incarnation, agent, limited });
        capacity.queue_at(now, &target.name);
        effects.push(Effect::Reserve(Reservation {
            ticket,
            number,
            agent,
            target: target.name,
            address: target.address,
            slots,
            beside: target.agent == Some(agent),
            limit,
            rank: pack(&pending.order()),
            wait: pending.give_up.saturating_duration_since(now),
            boost,
            tokens: pending.tokens(),
        }));
    }
    (pending.reserved.len() < MOST).then_some(pending.next_reservation)
}

impl State {
    /// An agent has room: the request goes there, unless it went elsewhere.
    pub(super) fn granted(
        &mut self,
        now: Instant,
        ticket: Ticket,
        number: u32,
        load: Load,
        effects: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.granted_slot(now, ticket, number, load) else {
            return effects.push(Effect::Withdraw { ticket, number });
        };
        self.dequeue(ticket);
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.withdraw(effects);
            let rollouts = &mut self.rollouts;
            let effect = queue::dispatch(now, pending, slot, Some(number), rollouts);
            if matches!(effect, Effect::Leave { .. }) {
                self.timers.insert((pending.until, ticket));
            }
            effects.push(effect);
        }
    }

    fn granted_slot(
        &mut self,
        now: Instant,
        ticket: Ticket,
        number: u32,
        load: Load,
    ) -> Option<Slot> {
        let pending = self.requests.get_mut(&ticket)?;
        let reserved = pending.take_reserved(number)?;
        self.capacity.hear_load(now, &reserved, load);
        let lane = self.rollouts.lane(now, &pending.pool, pending.chosen == Some(true));
        let seen = (&*pending.tried, &*pending.rejected);
        let demand = pending.demand(now, &pending.pool, &self.settings.zone, seen);
        self.capacity.occupy(now, &reserved, &Demand { lane, ..demand })
    }

    /// An agent gives no room: its target is left alone for a while or, where only the agent is away,
    /// used by what the other processes tell.
    pub(super) fn denied(&mut self, now: Instant, ticket: Ticket, number: u32, lapse: Lapse) {
        let pending = self.requests.get_mut(&ticket);
        let Some(reserved) = pending.and_then(|pending| pending.take_reserved(number)) else {
            return;
        };
        match lapse {
            Lapse::Away => self.capacity.mark_away(now, &reserved),
            Lapse::Unreached => self.capacity.mark_denied(now, &reserved),
            Lapse::Late => {}
        }
    }

    /// Gives a slot back, and the room at its agent.
    pub(super) fn release(&mut self, ticket: Ticket, running: &Running, effects: &mut Vec<Effect>) {
        self.capacity.release(&running.slot);
        let number = running.reservation;
        effects.extend(number.map(|number| Effect::Withdraw { ticket, number }));
    }

    /// Gives room back that a request didn't use.
    pub(super) fn release_held(&mut self, ticket: Ticket, held: &Held, effects: &mut Vec<Effect>) {
        self.capacity.release(&held.slot);
        effects.extend(held.reservation.map(|number| Effect::Withdraw { ticket, number }));
    }
}
