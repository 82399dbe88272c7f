//! Requests whose target is silent: they wait for room at another, and are answered by whichever comes
//! first. A silent target may still answer, and is left only once there is somewhere to go.

use std::time::Instant;

use super::{
    State,
    event::{Effect, Ticket},
    pending::{Charge, Stage},
};

impl State {
    /// The target of a request is silent: it waits for room at another where it may be repeated.
    pub(super) fn quiet(&mut self, now: Instant, ticket: Ticket, begun: bool) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::Running(running) = &pending.stage else {
            return;
        };
        pending.begun |= begun;
        let slot = running.slot.clone();
        let allowed = pending.may_repeat(pending.tried.len() + 1);
        let body = pending.request.fingerprint;
        if !allowed || self.is_quarantined(&body) {
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

    /// Lets a request stay with the target that has it; `false` where it doesn't look for another.
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

    /// Gives the room back that a request holds which hasn't left its silent target by the end of its
    /// time; `false` where it holds none.
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

    /// Gives back what a dispatch took of the budget for repeats that doesn't take place.
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
