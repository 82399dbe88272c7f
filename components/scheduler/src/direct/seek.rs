//! Requests whose target is unresponsive: it has sent nothing of its answer for some time. Such a request
//! waits for a slot at another target and keeps its dispatch meanwhile, since the unresponsive target may
//! still answer. The dispatch is cancelled once another target has granted a slot.

use std::time::Instant;

use super::{
    State,
    event::{Effect, Ticket},
    pending::{Charge, Stage},
};

impl State {
    /// Handles an unresponsive target: starts a backoff from it and lets the request wait for a slot at
    /// another target. Does nothing more than record `begun` if the request may not be repeated.
    pub(super) fn quiet(&mut self, now: Instant, ticket: Ticket, begun: bool) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::Running(running) = &pending.stage else {
            return;
        };
        pending.begun |= begun;
        let slot = running.slot.clone();
        let may_repeat = pending.may_repeat(pending.tried.len() + 1);
        let fingerprint = pending.request.fingerprint;
        if !may_repeat || self.is_quarantined(&fingerprint) {
            return;
        }
        self.capacity.mark_down(now, &slot.target, slot.incarnation);
        if let Some(pending) = self.requests.get_mut(&ticket)
            && let Stage::Running(running) = std::mem::replace(&mut pending.stage, Stage::Waiting)
        {
            pending.stage = Stage::Seeking(running);
            pending.tried.push(slot.target);
            pending.charge = Charge::Due;
            pending.give_up = pending.until;
        }
        self.enqueue(ticket);
    }

    /// Lets a request stay at its target and stops its search for another one. Returns `false` if there was
    /// no such search.
    pub(super) fn stay(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        let Some(Stage::Seeking(_)) = self.requests.get(&ticket).map(|pending| &pending.stage)
        else {
            return false;
        };
        self.dequeue(ticket);
        self.refund(ticket);
        if let Some(pending) = self.requests.get_mut(&ticket)
            && let Stage::Seeking(running) = std::mem::replace(&mut pending.stage, Stage::Waiting)
        {
            pending.withdraw(effects);
            pending.tried.pop();
            pending.stage = Stage::Running(running);
        }
        true
    }

    /// Releases the slot that a request holds at another target if its dispatch to the unresponsive target
    /// hasn't ended by its deadline. Returns `false` if the request holds no such slot.
    pub(super) fn give_up_move(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let (running, held) = match std::mem::replace(&mut pending.stage, Stage::Waiting) {
            Stage::Moving(running, held) => (running, held),
            stage => {
                pending.stage = stage;
                return false;
            }
        };
        pending.tried.pop();
        pending.stage = Stage::Running(running);
        self.refund(ticket);
        self.release_held(ticket, &held, effects);
        true
    }

    /// Returns to the retry budget the repeat that was charged for a dispatch that won't happen.
    pub(super) fn refund(&mut self, ticket: Ticket) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut pending.charge, Charge::Free) == Charge::Paid
            && let Some(budget) = self.budgets.get_mut(&pending.pool)
        {
            budget.give_back();
        }
    }
}
