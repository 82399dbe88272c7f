//! Requests whose target is unresponsive: it has sent nothing of its answer for some time. Such a request
//! waits for a slot at another target and keeps its dispatch meanwhile, since the unresponsive target may
//! still answer. The dispatch is cancelled once another target has granted a slot.

use std::time::Instant;

use super::{
    State,
    event::{Effect, Ticket},
    pending::{RetryCharge, Stage},
};

impl State {
    /// Handles an unresponsive target: starts a backoff from it and lets the request wait for a slot at
    /// another target. Does nothing more than record `begun` if the request may not be retried.
    pub(super) fn handle_unresponsive_target(&mut self, now: Instant, ticket: Ticket, begun: bool) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::InFlight(in_flight) = &pending.stage else {
            return;
        };
        pending.has_begun |= begun;
        let slot = in_flight.slot.clone();
        let may_retry = pending.may_retry(pending.possibly_ran_at.len() + 1);
        if !may_retry || self.is_ticket_refused(now, ticket) {
            return;
        }
        self.capacity.back_off_unreachable(now, &slot.target, slot.incarnation);
        if let Some(pending) = self.requests.get_mut(&ticket)
            && let Stage::InFlight(in_flight) =
                std::mem::replace(&mut pending.stage, Stage::WaitingForSlot)
        {
            pending.stage = Stage::SeekingOtherTarget(in_flight);
            pending.possibly_ran_at.push(slot.target);
            pending.charge = RetryCharge::NotYetTaken;
            pending.wait_deadline = pending.deadline;
        }
        self.enqueue(ticket);
    }

    /// Lets a request stay at its target and stops its search for another one. Returns `false` if there was
    /// no such search.
    pub(super) fn cancel_search(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        let Some(Stage::SeekingOtherTarget(_)) =
            self.requests.get(&ticket).map(|pending| &pending.stage)
        else {
            return false;
        };
        self.dequeue(ticket);
        self.refund_retry(ticket);
        if let Some(pending) = self.requests.get_mut(&ticket)
            && let Stage::SeekingOtherTarget(in_flight) =
                std::mem::replace(&mut pending.stage, Stage::WaitingForSlot)
        {
            pending.withdraw_reservations(effects);
            pending.possibly_ran_at.pop();
            pending.stage = Stage::InFlight(in_flight);
        }
        true
    }

    /// Releases the slot that a request holds at another target if its dispatch to the unresponsive target
    /// hasn't ended by its deadline. Returns `false` if the request holds no such slot.
    pub(super) fn cancel_move(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let (in_flight, held) = match std::mem::replace(&mut pending.stage, Stage::WaitingForSlot) {
            Stage::MovingToOtherTarget(in_flight, held) => (in_flight, held),
            stage => {
                pending.stage = stage;
                return false;
            }
        };
        pending.possibly_ran_at.pop();
        pending.stage = Stage::InFlight(in_flight);
        self.refund_retry(ticket);
        self.release_held_slot(ticket, &held, effects);
        true
    }

    /// Returns to the retry budget the retry that was charged for a dispatch that won't happen.
    pub(super) fn refund_retry(&mut self, ticket: Ticket) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut pending.charge, RetryCharge::Nothing) == RetryCharge::Taken
            && let Some(budget) = self.budgets.get_mut(&pending.pool)
        {
            budget.return_retry();
        }
    }
}
