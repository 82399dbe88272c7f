//! What follows from the end of a dispatch, and how a request ends.

use std::time::Instant;

use model::id::{Fingerprint, PoolName, TargetName};

use super::{
    CRASH_WINDOW, CRASHES, Loss, REPEAT_WAIT, RETRY_MAX, RETRY_PART, State,
    budget::{self, Budget},
    capacity::Slot,
    event::{Effect, Note, Now, Outcome, Reason, Refusal, Ticket},
    pending::{Charge, Held, Pending, Running, Stage},
    queue,
};

/// What follows the end of a dispatch.
enum Next {
    /// Nothing was decided before.
    Open,
    /// The request already waits for room at another target.
    Waiting,
    /// Another target has room for it.
    Held(Held),
}

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
        self.requests.get_mut(&ticket)?.running_mut()
    }

    pub(super) fn ended(
        &mut self,
        now: Now,
        ticket: Ticket,
        outcome: Outcome,
        (begun, events): (bool, u32),
        effects: &mut Vec<Effect>,
    ) {
        self.dequeue(ticket);
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let stage = std::mem::replace(&mut pending.stage, Stage::Waiting);
        let (running, next) = match stage {
            Stage::Running(running) => (running, Next::Open),
            Stage::Seeking(running) => (running, Next::Waiting),
            Stage::Moving(running, held) => (running, Next::Held(held)),
            stage => {
                pending.stage = stage;
                return self.enqueue(ticket);
            }
        };
        let target = running.slot.target.clone();
        pending.begun |= begun || events > 0;
        pending.ran |= outcome.may_have_run();
        pending.failed |= outcome == Outcome::Failed;
        let (pool, tier) = (pending.pool.clone(), pending.tier);
        if outcome == Outcome::Done {
            let held = now.steady.saturating_duration_since(running.since);
            self.holds.learn(&pool, tier, held);
        }
        self.learn_version(now.steady, ticket, &running, (outcome, events));
        self.release(ticket, &running, effects);
        self.learn_end(now.steady, ticket, &running.slot, outcome, effects);
        if matches!(outcome, Outcome::Done | Outcome::Expired) {
            if let Next::Held(held) = &next {
                self.release_held(ticket, held, effects);
            }
            if outcome == Outcome::Done {
                self.remove(ticket, effects);
            } else {
                self.refuse(now.steady, ticket, Reason::Expired, true, effects);
            }
            return;
        }
        if !matches!(next, Next::Open) {
            return self.move_on(now.steady, ticket, outcome, next, effects);
        }
        match outcome {
            Outcome::Rejected | Outcome::Replaced => self.again(now, ticket, true, effects),
            Outcome::Unreached => self.again(now, ticket, false, effects),
            _ => {
                if outcome == Outcome::Silent {
                    self.capacity.mark_down(now.steady, &target, running.slot.incarnation);
                }
                self.repeat(now, ticket, target, effects);
            }
        }
    }

    /// What the end of a dispatch says of its target.
    fn learn_end(
        &mut self,
        now: Instant,
        ticket: Ticket,
        slot: &Slot,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let failed = matches!(
            outcome,
            Outcome::Failed | Outcome::Lost { .. } | Outcome::Rejected | Outcome::Silent
        );
        if failed || outcome == Outcome::Done {
            self.capacity.judge(slot, failed);
        }
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        match outcome {
            Outcome::Rejected => {
                pending.rejected.push(slot.target.clone());
                self.capacity.mark_full(now, slot);
            }
            Outcome::Replaced => self.capacity.mark_gone(slot),
            Outcome::Unreached => {
                self.capacity.mark_down(now, &slot.target, slot.incarnation);
                self.count_crashes(now, &slot.target, false, effects);
            }
            Outcome::Lost { crashed: true } => {
                let body = pending.request.fingerprint;
                let target = slot.target.clone();
                let loss = Loss { at: now, target, body, reached: false };
                self.lost.retain(|known| now.duration_since(known.at) < CRASH_WINDOW);
                self.lost.push(loss);
                self.probe(&slot.target, effects);
            }
            Outcome::Done
            | Outcome::Failed
            | Outcome::Lost { crashed: false }
            | Outcome::Silent
            | Outcome::Expired => {}
        }
    }

    /// Goes on with a request whose dispatch ended while it looked for another target, or had one.
    fn move_on(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: Outcome,
        next: Next,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let ran = outcome.may_have_run();
        if !ran {
            pending.tried.pop();
        }
        if !pending.begun {
            pending.give_up = pending.until.min(now + REPEAT_WAIT);
        }
        // Its answer may have begun since it looked for another target.
        let allowed = pending.may_repeat(pending.tried.len());
        let body = pending.request.fingerprint;
        let allowed = allowed && !self.is_quarantined(&body);
        // The other target may have left the list since it had room.
        let held = match next {
            Next::Held(held) if allowed && self.capacity.is_open(now, &held.slot) => Some(held),
            Next::Held(held) => {
                self.release_held(ticket, &held, effects);
                None
            }
            Next::Open | Next::Waiting => None,
        };
        if !allowed {
            let reason = if ran { Reason::Lost } else { Reason::Unserved };
            return self.refuse(now, ticket, reason, ran, effects);
        }
        match (held, self.requests.get_mut(&ticket)) {
            (Some(Held { slot, reservation }), Some(pending)) => {
                let start = queue::start(now, pending, slot, reservation, &mut self.rollouts);
                effects.push(Effect::Start(start));
            }
            _ => self.enqueue(ticket),
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
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let pool = pending.pool.clone();
        if arrived && pending.begun {
            pending.charge = Charge::Due;
        } else if arrived && !self.pay(now.steady, &pool) {
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
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        pending.tried.push(target);
        let allowed = pending.may_repeat(pending.tried.len());
        let (pool, body) = (pending.pool.clone(), pending.request.fingerprint);
        let begun = pending.begun;
        let harmless = !self.is_quarantined(&body);
        // The rest of an answer that has begun is owed for as long as its caller waits.
        if allowed && harmless && (begun || self.pay(now.steady, &pool)) {
            if let Some(pending) = self.requests.get_mut(&ticket) {
                let wait = now.steady + REPEAT_WAIT;
                pending.charge = if begun { Charge::Due } else { Charge::Paid };
                pending.give_up = if begun { pending.until } else { pending.until.min(wait) };
            }
            return self.enqueue(ticket);
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

    /// A target was asked whether it takes connections.
    pub(super) fn probed(
        &mut self,
        now: Instant,
        target: &TargetName,
        reached: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(incarnation) = self.probing.remove(target) else {
            return;
        };
        if reached {
            let lost = self.lost.iter_mut().filter(|loss| loss.target == *target);
            return lost.for_each(|loss| loss.reached = true);
        }
        self.capacity.mark_down(now, target, incarnation);
        self.count_crashes(now, target, false, effects);
    }

    /// A target takes no connection, or started again: what broke off there just before ran when it died.
    pub(super) fn count_crashes(
        &mut self,
        now: Instant,
        target: &str,
        restarted: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.lost.retain(|loss| now.duration_since(loss.at) < CRASH_WINDOW);
        let ran = |loss: &Loss| loss.target == target && (restarted || !loss.reached);
        let (died, rest) = std::mem::take(&mut self.lost).into_iter().partition(ran);
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
        if pending.failed && !pending.begun {
            return effects.push(Effect::Pass { ticket });
        }
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
        self.refund(ticket);
        let mut pending = self.requests.remove(&ticket)?;
        pending.withdraw(effects);
        pending.unchoose(&mut self.rollouts);
        if let Some(running) = pending.running() {
            self.release(ticket, running, effects);
        }
        if let Stage::Moving(_, held) = &pending.stage {
            self.release_held(ticket, held, effects);
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
