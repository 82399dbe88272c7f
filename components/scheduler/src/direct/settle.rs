//! Ends of dispatches and of requests: retries, refusals, and detection of bodies that crash targets.

use std::time::Instant;

use model::id::{Fingerprint, PoolName, TargetName};

use super::{
    ANSWERED_CRASH_WINDOW, BrokenDispatch, BrokenRequest, CRASH_WINDOW, NOT_READY_RETRY_AFTER,
    QUARANTINE_WEIGHT, RETRY_AFTER_MAX, RETRY_AFTER_SHARE, SILENT_CRASH_WEIGHT, State,
    WRITTEN_CRASH_WEIGHT,
    budget::{self, RetryBudget},
    capacity::Slot,
    event::{Effect, LogEntry, Now, Outcome, Refusal, RefusalReason, Ticket},
    parts,
    pending::{HeldSlot, InFlight, PendingRequest, RetryCharge, Stage},
    queue,
};

/// How far a request, when its dispatch to an unresponsive target ends, has got in its search for another
/// target.
enum Search {
    /// The request wasn't searching.
    NotStarted,
    /// The request waits for a slot at another target.
    Waiting,
    /// A slot is held for the request at another target.
    Found(HeldSlot),
}

impl State {
    /// Handles the first event or the head of an answer: records the time that it took, and that the target
    /// states no rate limit where the answer has none.
    pub(super) fn handle_answer_began(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(in_flight) = self.in_flight(ticket) else {
            return;
        };
        let time_to_first_event = now.saturating_duration_since(in_flight.dispatched_at);
        in_flight.time_to_first_event = Some(time_to_first_event);
        let InFlight { mut slot, dispatched_at, has_rate_limit, .. } = in_flight.clone();
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.record_origin(&slot.version);
            pending.has_first_event = true;
        }
        self.record_stream(now, ticket, effects);
        self.expect_proof(now, ticket);
        self.capacity.record_first_event(&mut slot, time_to_first_event);
        if !has_rate_limit {
            self.handle_no_rate_limit(now, &slot, dispatched_at, effects);
        }
        if let Some(in_flight) = self.in_flight(ticket) {
            in_flight.slot = slot;
        }
    }

    /// Returns the dispatch of a request that is in flight; `None` if the request has ended or is queued.
    pub(super) fn in_flight(&mut self, ticket: Ticket) -> Option<&mut InFlight> {
        self.requests.get_mut(&ticket)?.in_flight_mut()
    }

    /// Handles the end of a dispatch: frees its slot, records the outcome for the target, and ends, retries
    /// or refuses the request. `events` counts the stream events of this dispatch.
    pub(super) fn handle_dispatch_ended(
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
        let stage = std::mem::replace(&mut pending.stage, Stage::WaitingForSlot);
        let (in_flight, search) = match stage {
            Stage::InFlight(in_flight) => (in_flight, Search::NotStarted),
            Stage::SeekingOtherTarget(in_flight) => (in_flight, Search::Waiting),
            Stage::MovingToOtherTarget(in_flight, held) => (in_flight, Search::Found(held)),
            stage => {
                pending.stage = stage;
                return self.enqueue(ticket);
            }
        };
        let target = in_flight.slot.target.clone();
        self.proofs.retain(|(_, other)| *other != ticket);
        pending.has_begun |= begun || events > 0;
        if pending.has_begun {
            pending.record_origin(&in_flight.slot.version);
        }
        pending.may_have_run |= outcome.may_have_run();
        pending.has_failed_answer |= outcome == Outcome::Failed;
        let (pool, tier) = (pending.pool.clone(), pending.tier);
        if outcome == Outcome::Completed {
            let hold_time = now.steady.saturating_duration_since(in_flight.dispatched_at);
            self.slot_times.record(&pool, tier, hold_time);
            self.record_cleared(now.steady, &pool, tier, hold_time);
        }
        self.record_version_result(now.steady, ticket, &in_flight, (outcome, events));
        self.release_dispatch(ticket, &in_flight, effects);
        self.record_outcome(now.steady, ticket, &in_flight, outcome, effects);
        if matches!(outcome, Outcome::Completed | Outcome::DeadlineExceeded) {
            if let Search::Found(held) = &search {
                self.release_held_slot(ticket, held, effects);
            }
            if outcome == Outcome::Completed {
                self.end_request(now.steady, ticket, effects);
            } else {
                self.refuse(
                    now.steady,
                    ticket,
                    RefusalReason::DeadlineExceededMayHaveRun,
                    true,
                    effects,
                );
            }
            return;
        }
        if self.continue_lost_stream(now.steady, ticket, &in_flight, outcome, effects) {
            return;
        }
        if !matches!(search, Search::NotStarted) {
            return self.continue_search(now.steady, ticket, outcome, search, effects);
        }
        match outcome {
            Outcome::Rejected | Outcome::Replaced => {
                self.requeue_unexecuted(now, ticket, true, effects);
            }
            Outcome::Unreachable => self.requeue_unexecuted(now, ticket, false, effects),
            _ => {
                if outcome == Outcome::Unresponsive {
                    self.capacity.back_off_unreachable(
                        now.steady,
                        &target,
                        in_flight.slot.incarnation,
                    );
                }
                self.retry_executed(now, ticket, target, effects);
            }
        }
    }

    /// Updates what is known of a target from the outcome of a dispatch to it.
    fn record_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        in_flight: &InFlight,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let slot = &in_flight.slot;
        let is_failure = matches!(
            outcome,
            Outcome::Failed
                | Outcome::Incomplete { .. }
                | Outcome::Rejected
                | Outcome::Unresponsive
        );
        if is_failure || outcome == Outcome::Completed {
            self.capacity.record_outcome(slot, is_failure);
        }
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        match outcome {
            Outcome::Rejected => {
                pending.rejected_by.push(slot.target.clone());
                self.capacity.back_off_rejecting(now, slot);
            }
            Outcome::Replaced => self.capacity.back_off_replaced(now, slot),
            Outcome::Unreachable => {
                self.capacity.back_off_unreachable(now, &slot.target, slot.incarnation);
                self.count_crashes(now, &slot.target, false, effects);
            }
            Outcome::Incomplete { crashed: true } => {
                let broken = broken_dispatch(now, pending, in_flight);
                self.add_broken_dispatch(now, broken);
                self.probe(&slot.target, effects);
            }
            Outcome::Completed if in_flight.is_unframed && !in_flight.has_proof(now) => {
                let broken = broken_dispatch(now, pending, in_flight);
                let is_suspect = self.parts.suspects(&broken.request.shared_parts).next().is_some();
                self.add_broken_dispatch(now, BrokenDispatch { is_answered: true, ..broken });
                if is_suspect {
                    self.probe(&slot.target, effects);
                }
            }
            Outcome::Completed => {
                let shared_parts = pending.request.shared_parts.clone();
                self.prove_parts(now, &shared_parts, parts::version_id(&slot.version));
            }
            Outcome::Failed
            | Outcome::Incomplete { crashed: false }
            | Outcome::Unresponsive
            | Outcome::DeadlineExceeded => {}
        }
    }

    /// Keeps a dispatch that ended with its connection until it is known whether the target crashed.
    fn add_broken_dispatch(&mut self, now: Instant, broken: BrokenDispatch) {
        self.broken_dispatches.retain(|known| now.duration_since(known.at) < CRASH_WINDOW);
        self.broken_dispatches.push(broken);
    }

    /// Continues a request whose dispatch ended while the request searched for another target: dispatches it
    /// to the target at which a slot is held, queues it again if there is none, or refuses it.
    fn continue_search(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: Outcome,
        search: Search,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let may_have_run = outcome.may_have_run();
        if !may_have_run {
            pending.possibly_ran_at.pop();
        }
        pending.wait_deadline = pending.retry_wait_deadline(now);
        // The answer may have begun after the search was started, which rules out retries of some routes.
        let allowed = pending.may_retry(pending.possibly_ran_at.len());
        let version = pending.origin.version().cloned();
        let allowed = allowed && !self.is_ticket_refused(now, ticket);
        // Since the slot was taken, the other target may have stopped taking requests, or the answer may have
        // begun at another version.
        let is_usable =
            |slot: &Slot| allowed && self.capacity.is_slot_usable(now, slot, version.as_ref());
        let held = match search {
            Search::Found(held) if is_usable(&held.slot) => Some(held),
            Search::Found(held) => {
                self.release_held_slot(ticket, &held, effects);
                None
            }
            Search::NotStarted | Search::Waiting => None,
        };
        if !allowed {
            let reason =
                if may_have_run { RefusalReason::Lost } else { RefusalReason::AllDispatchesFailed };
            return self.refuse(now, ticket, reason, may_have_run, effects);
        }
        match (held, self.requests.get_mut(&ticket)) {
            (Some(held), Some(pending)) => {
                let (rollouts, budgets) = (&mut self.rollouts, &mut self.budgets);
                let dispatch = queue::start_dispatch(now, pending, held, rollouts, budgets);
                effects.push(Effect::Dispatch(dispatch));
            }
            _ => self.enqueue(ticket),
        }
    }

    /// Queues a request again that its target provably didn't run. `was_delivered` is `true` if the target,
    /// or another one at its address, received the request: the next dispatch then takes a retry from the
    /// budget. If no retry is left, the request is refused or, if only another target can help its caller,
    /// waits for one.
    pub(super) fn requeue_unexecuted(
        &mut self,
        now: Now,
        ticket: Ticket,
        was_delivered: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        let pool = pending.pool.clone();
        if was_delivered && pending.needs_other_target() {
            pending.charge = RetryCharge::NotYetTaken;
        } else if was_delivered {
            if !self.reserve_retry(now.steady, &pool) {
                let reason = RefusalReason::AllDispatchesFailed;
                return self.refuse(now.steady, ticket, reason, false, effects);
            }
            if let Some(pending) = self.requests.get_mut(&ticket) {
                pending.charge = RetryCharge::Taken;
            }
        }
        self.enqueue(ticket);
    }

    /// Queues a request again that its target may have run, if its route, the number of its attempts, the
    /// quarantine and the retry budget allow that; refuses it otherwise.
    pub(super) fn retry_executed(
        &mut self,
        now: Now,
        ticket: Ticket,
        target: String,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return;
        };
        pending.possibly_ran_at.push(target);
        let allowed = pending.may_retry(pending.possibly_ran_at.len());
        let pool = pending.pool.clone();
        let waits_for_retry = pending.needs_other_target();
        let is_harmless = !self.is_ticket_refused(now.steady, ticket);
        if allowed && is_harmless && (waits_for_retry || self.reserve_retry(now.steady, &pool)) {
            if let Some(pending) = self.requests.get_mut(&ticket) {
                pending.charge =
                    if waits_for_retry { RetryCharge::NotYetTaken } else { RetryCharge::Taken };
                pending.wait_deadline = pending.retry_wait_deadline(now.steady);
            }
            return self.enqueue(ticket);
        }
        self.refuse(now.steady, ticket, RefusalReason::Lost, true, effects);
    }

    /// Counts an admitted request, which adds a fraction of a retry to the budget of its pool.
    pub(super) fn count_for_retry_budget(&mut self, now: Instant, pool: &PoolName) {
        let (rule, processes) = (self.settings.retry_budget, self.process_index.count);
        self.budget(pool).count_request(now, &rule, processes);
    }

    /// Reserves one retry in the budget of a pool. Returns `false` where none is left.
    pub(super) fn reserve_retry(&mut self, now: Instant, pool: &PoolName) -> bool {
        let (rule, processes) = (self.settings.retry_budget, self.process_index.count);
        self.budget(pool).reserve_retry(now, &rule, processes)
    }

    /// Returns the retry budget of a pool; a new one holds no retries.
    fn budget(&mut self, pool: &PoolName) -> &mut RetryBudget {
        let started = self.started;
        self.budgets.entry(pool.clone()).or_insert_with(|| budget::open(started))
    }

    /// Starts a probe of whether a target takes connections, unless one is in progress.
    pub(super) fn probe(&mut self, target: &TargetName, effects: &mut Vec<Effect>) {
        if let Some(state) = self.capacity.state(target)
            && !self.probing.contains_key(target)
        {
            let address = state.target.address;
            self.probing.insert(target.clone(), state.target.incarnation);
            effects.push(Effect::Probe { target: target.clone(), address });
        }
    }

    /// Handles the result of a probe; `reached` is `true` where the target took the connection.
    pub(super) fn handle_probe_result(
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
            let mut answered = Vec::new();
            for broken in &mut self.broken_dispatches {
                if broken.target == *target {
                    broken.is_target_reached = true;
                    if broken.is_answered {
                        answered.push((broken.request.shared_parts.clone(), broken.version));
                    }
                }
            }
            for (shared_parts, version) in answered {
                self.prove_parts(now, &shared_parts, version);
            }
            return;
        }
        self.capacity.back_off_unreachable(now, target, incarnation);
        self.count_crashes(now, target, false, effects);
    }

    /// Counts a target's crash for the body of each request whose connection to the target broke off within
    /// [`CRASH_WINDOW`] before the target was found unreachable or, if `restarted` is set, restarted. Bodies
    /// whose crashes weigh [`QUARANTINE_WEIGHT`] are quarantined. If the target accepted a connection since, only
    /// a restart counts as a crash.
    pub(super) fn count_crashes(
        &mut self,
        now: Instant,
        target: &str,
        restarted: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.broken_dispatches.retain(|broken| now.duration_since(broken.at) < CRASH_WINDOW);
        let is_crash = |broken: &BrokenDispatch| {
            let is_current =
                !broken.is_answered || now.duration_since(broken.at) < ANSWERED_CRASH_WINDOW;
            is_current && broken.target == target && (restarted || !broken.is_target_reached)
        };
        let (crashes, rest) =
            std::mem::take(&mut self.broken_dispatches).into_iter().partition(is_crash);
        self.broken_dispatches = rest;
        let crashes: Vec<BrokenDispatch> = crashes;
        if !crashes.is_empty() {
            let requests = crashes.iter().map(|broken| broken.request.clone()).collect();
            let target = target.to_owned();
            effects.push(Effect::Log(LogEntry::Crashed { target, requests }));
        }
        self.add_part_crashes(now, &crashes);
        // The end of an answer without a length says too little to refuse its body.
        for broken in crashes.into_iter().filter(|broken| !broken.is_answered) {
            let own_process = (self.settings.address, self.settings.incarnation);
            let weight = if broken.has_proof { WRITTEN_CRASH_WEIGHT } else { SILENT_CRASH_WEIGHT };
            let sum = self.crashes.add(now, broken.fingerprint, own_process, weight);
            if (QUARANTINE_WEIGHT..QUARANTINE_WEIGHT + weight).contains(&sum) {
                effects.push(Effect::Log(LogEntry::Quarantined(broken.fingerprint)));
            }
        }
    }

    /// Returns whether requests with this body are refused because of the targets that crashed while they ran
    /// it.
    pub(super) fn is_quarantined(&self, body: &Fingerprint) -> bool {
        self.crashes.weight_of(body) >= QUARANTINE_WEIGHT
    }

    /// Ends a request without a whole answer: refuses it or, where a target answered with a failure and the
    /// caller got nothing yet, passes that failure on. `ran` is `true` if the last target may have run the
    /// request. If the request provably didn't run, the caller is told after what time it may retry.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reason: RefusalReason,
        ran: bool,
        effects: &mut Vec<Effect>,
    ) {
        let context = Box::new(self.refusal_context(now, ticket));
        let return_delay = self.return_delay(now, ticket);
        let Some(pending) = self.end_request(now, ticket, effects) else {
            return;
        };
        if pending.has_failed_answer && !pending.has_begun {
            return effects.push(Effect::PassFailure { ticket });
        }
        let not_run = !ran && !pending.may_have_run;
        let reason = match (reason, not_run) {
            (
                RefusalReason::DeadlineExceeded
                | RefusalReason::NoFreeSlot
                | RefusalReason::AllDispatchesFailed,
                false,
            ) => RefusalReason::Lost,
            _ => reason,
        };
        let left = pending.deadline.saturating_duration_since(now);
        let retry_after = match reason {
            // Another process may reach the agents that know the version.
            RefusalReason::VersionUnknown => NOT_READY_RETRY_AFTER,
            RefusalReason::Quarantined => {
                let refusal = Refusal { reason, not_run, retry_after: None, shortage: None };
                return effects.push(Effect::Refuse { ticket, refusal, context });
            }
            RefusalReason::NoFreeSlot if let Some(delay) = return_delay => delay,
            _ => left.mul_f64(RETRY_AFTER_SHARE).min(RETRY_AFTER_MAX),
        };
        let retry_after = not_run.then_some(retry_after);
        let refusal = Refusal { reason, not_run, retry_after, shortage: None };
        effects.push(Effect::Refuse { ticket, refusal, context });
    }

    /// Ends a request and frees all that it holds: queue entry, reservations, slots, an unused retry and,
    /// where it provably didn't run, its quota units. Returns `None` where the request had ended before.
    pub(super) fn end_request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> Option<PendingRequest> {
        self.dequeue(ticket);
        self.refund_retry(ticket);
        let mut pending = self.requests.remove(&ticket)?;
        pending.withdraw_reservations(effects);
        pending.deselect_from_rollout(&mut self.rollouts);
        if let Some(in_flight) = pending.in_flight() {
            self.release_dispatch(ticket, in_flight, effects);
        }
        if let Stage::MovingToOtherTarget(_, held) = &pending.stage {
            self.release_held_slot(ticket, held, effects);
        }
        if !pending.may_have_run && matches!(pending.stage, Stage::WaitingForSlot) {
            self.return_units(now, &pending);
        }
        Some(pending)
    }

    /// Credits the units of a request that didn't run to its account's quota.
    pub(super) fn return_units(&mut self, now: Instant, pending: &PendingRequest) {
        if let Some(account) = pending.account.as_ref() {
            self.refill_account(now, account);
            self.allowance(account).refund(now, pending.units, pending.dispatches == 0);
        }
    }
}

/// Describes a dispatch whose connection was closed.
fn broken_dispatch(now: Instant, pending: &PendingRequest, in_flight: &InFlight) -> BrokenDispatch {
    let slot = &in_flight.slot;
    BrokenDispatch {
        at: now,
        target: slot.target.clone(),
        incarnation: slot.incarnation,
        version: parts::version_id(&slot.version),
        dispatched_at: in_flight.dispatched_at,
        fingerprint: pending.request.fingerprint,
        request: BrokenRequest {
            id: pending.request.id.clone(),
            shared_parts: pending.request.shared_parts.clone(),
            has_begun: in_flight.time_to_first_event.is_some(),
        },
        has_proof: in_flight.has_proof(now),
        is_answered: false,
        is_target_reached: false,
    }
}
