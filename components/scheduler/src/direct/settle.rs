//! What follows from the end of a dispatch, and how a request ends.

use std::time::Instant;

use model::id::{Fingerprint, PoolName, TargetName};

use super::{
    CRASH_WINDOW, CRASHES, Loss, RESUME_WAIT, RETRY_MAX, RETRY_PART, State,
    budget::{self, Budget},
    event::{Effect, Note, Now, Outcome, Reason, Refusal, Ticket},
    pending::{Pending, Running, Stage},
};

impl State {
    pub(super) fn began(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(running) = self.running(ticket) else {
            return;
        };
        let first = now.saturating_duration_since(running.since);
        running.first = Some(first);
        let Running { mut slot, since, limited, .. } = running.clone();
        self.capacity.learn(&mut slot, first);
        if !limited {
            self.unlimited(now, &slot, since, effects);
        }
        if let Some(running) = self.running(ticket) {
            running.slot = slot;
        }
    }

    /// The dispatch of a request that hasn't ended.
    pub(super) fn running(&mut self, ticket: Ticket) -> Option<&mut Running> {
        match &mut self.requests.get_mut(&ticket)?.stage {
            Stage::Running(running) => Some(running),
            _ => None,
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Now,
        ticket: Ticket,
        outcome: Outcome,
        (begun, events): (bool, u32),
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Stage::Running(running) = pending.stage.clone() else {
            return;
        };
        pending.stage = Stage::Waiting;
        let target = running.slot.target.clone();
        pending.begun |= begun || events > 0;
        pending.ran |= outcome.may_have_run();
        let (pool, tier, body) = (pending.pool.clone(), pending.tier, pending.request.fingerprint);
        self.learn_version(now.steady, ticket, &running, (outcome, events));
        self.release(ticket, &running, effects);
        let Running { slot, since, .. } = running;
        let failed = matches!(
            outcome,
            Outcome::Failed | Outcome::Lost { .. } | Outcome::Rejected | Outcome::Silent
        );
        if failed || outcome == Outcome::Done {
            self.capacity.judge(&slot, failed);
        }
        match outcome {
            Outcome::Done => {
                let held = now.steady.saturating_duration_since(since);
                self.holds.learn(&pool, tier, held);
                self.remove(ticket, effects);
            }
            Outcome::Rejected => {
                self.capacity.mark_full(now.steady, &slot);
                if let Some(pending) = self.requests.get_mut(&ticket) {
                    pending.rejected.push(target);
                }
                self.again(now, ticket, true, effects);
            }
            Outcome::Replaced => {
                self.capacity.mark_gone(&slot);
                self.again(now, ticket, true, effects);
            }
            Outcome::Unreached => {
                self.capacity.mark_down(now.steady, &target, slot.incarnation);
                self.count_crashes(now.steady, &target, effects);
                self.again(now, ticket, false, effects);
            }
            Outcome::Failed => self.repeat(now, ticket, target, Outcome::Failed, effects),
            Outcome::Silent => {
                self.capacity.mark_down(now.steady, &target, slot.incarnation);
                self.repeat(now, ticket, target, outcome, effects);
            }
            Outcome::Lost { crashed } => {
                if crashed {
                    let loss = Loss { at: now.steady, target: target.clone(), body };
                    self.lost.retain(|known| now.steady.duration_since(known.at) < CRASH_WINDOW);
                    self.lost.push(loss);
                    self.probe(&target, effects);
                }
                self.repeat(now, ticket, target, outcome, effects);
            }
            Outcome::Expired => self.refuse(now.steady, ticket, Reason::Expired, true, effects),
        }
    }

    /// Puts a request back that this target did not run.
    pub(super) fn again(
        &mut self,
        now: Now,
        ticket: Ticket,
        arrived: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        if arrived && !self.pay(now.steady, &pending.pool.clone()) {
            return self.refuse(now.steady, ticket, Reason::Unserved, false, effects);
        }
        self.enqueue(ticket);
    }

    /// Dispatches a request again that may have run, where that is allowed.
    pub(super) fn repeat(
        &mut self,
        now: Now,
        ticket: Ticket,
        target: String,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        pending.tried.push(target);
        let allowed = pending.may_repeat(pending.tried.len());
        let (pool, body) = (pending.pool.clone(), pending.request.fingerprint);
        let harmless = !self.is_quarantined(&body);
        if allowed && harmless && self.pay(now.steady, &pool) {
            if let Some(pending) = self.requests.get_mut(&ticket) {
                pending.give_up = pending.until.min(now.steady + RESUME_WAIT);
            }
            return self.enqueue(ticket);
        }
        if outcome == Outcome::Failed {
            self.remove(ticket, effects);
            return effects.push(Effect::Pass { ticket });
        }
        self.refuse(now.steady, ticket, Reason::Lost, true, effects);
    }

    /// Counts a request for the repeats that its pool may get.
    pub(super) fn earn(&mut self, now: Instant, pool: &PoolName) {
        let (rule, among) = (self.settings.repeats, self.place.among);
        self.budget(pool).asked(now, &rule, among);
    }

    /// Takes a repeat for a pool; `false` where none is left.
    pub(super) fn pay(&mut self, now: Instant, pool: &PoolName) -> bool {
        let (rule, among) = (self.settings.repeats, self.place.among);
        self.budget(pool).repeat(now, &rule, among)
    }

    fn budget(&mut self, pool: &PoolName) -> &mut Budget {
        let opened = self.opened;
        self.budgets.entry(pool.clone()).or_insert_with(|| budget::open(opened))
    }

    /// Asks whether a target still takes connections, one question at a time.
    pub(super) fn probe(&mut self, target: &TargetName, effects: &mut Vec<Effect>) {
        if let Some(state) = self.capacity.state(target)
            && !self.probing.contains_key(target)
        {
            let address = state.target.address;
            self.probing.insert(target.clone(), state.target.incarnation);
            effects.push(Effect::Probe { target: target.clone(), address });
        }
    }

    /// A target takes no connection, or started again: what broke off there just before ran when it died.
    pub(super) fn count_crashes(&mut self, now: Instant, target: &str, effects: &mut Vec<Effect>) {
        self.lost.retain(|loss| now.duration_since(loss.at) < CRASH_WINDOW);
        let (died, rest) =
            std::mem::take(&mut self.lost).into_iter().partition(|loss| loss.target == target);
        self.lost = rest;
        let died: Vec<Loss> = died;
        if !died.is_empty() {
            let (target, bodies) = (target.to_owned(), died.len() as u32);
            effects.push(Effect::Note(Note::Crashed { target, bodies }));
        }
        for loss in died {
            let own = (self.settings.address, self.settings.incarnation);
            if self.crashes.add(now, loss.body, own) == CRASHES {
                effects.push(Effect::Note(Note::Quarantined(loss.body)));
            }
        }
    }

    pub(super) fn is_quarantined(&self, body: &Fingerprint) -> bool {
        self.crashes.times(body) >= CRASHES
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reason: Reason,
        ran: bool,
        effects: &mut Vec<Effect>,
    ) {
        let grounds = Box::new(self.grounds(now, ticket));
        let Some(pending) = self.remove(ticket, effects) else {
            return;
        };
        let not_run = !ran && !pending.ran;
        let reason = match (reason, not_run) {
            (Reason::Late | Reason::NoRoom | Reason::Unserved, false) => Reason::Lost,
            _ => reason,
        };
        let left = pending.until.saturating_duration_since(now);
        let wait = left.mul_f64(RETRY_PART).min(RETRY_MAX);
        let refusal = Refusal { reason, not_run, retry_after: not_run.then_some(wait), lack: None };
        effects.push(Effect::Refuse { ticket, refusal, grounds });
    }

    pub(super) fn remove(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) -> Option<Pending> {
        self.dequeue(ticket);
        let mut pending = self.requests.remove(&ticket)?;
        pending.withdraw(effects);
        pending.unchoose(&mut self.rollouts);
        if let Stage::Running(running) = &pending.stage {
            self.release(ticket, running, effects);
        }
        if !pending.ran && matches!(pending.stage, Stage::Waiting) {
            self.give_back(&pending);
        }
        Some(pending)
    }

    pub(super) fn give_back(&mut self, pending: &Pending) {
        let usage = pending.account.as_ref().and_then(|name| self.accounts.get_mut(name));
        if let Some(usage) = usage {
            usage.give_back(pending.units);
        }
    }
}
