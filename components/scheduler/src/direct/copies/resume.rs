//! Continuation of a stream from its copy once its target is lost.
//!
//! Two targets never work on one request: a stream goes on only if a probe finds that its target accepts no
//! connections, or the target has restarted. A target that can be reached may still run the request, also after the
//! connection broke off. A silent target is probed too, and its dispatch is cancelled before the next one is made.

use std::time::{Duration, Instant};

use model::{id::TargetName, reservation::Order};

use super::Copy;
use crate::direct::{
    State,
    capacity::HolderState,
    event::{Effect, LogEntry, Outcome, RefusalReason, Reservation, Ticket},
    pending::{HeldSlot, InFlight, QueuedReservation, RetryCharge, Stage},
    queue,
    rollout::Version,
};

/// Time for which a continuation waits for the holder's agent to count it. The holder admits it first in any case.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two attempts of a continuation that waits for the retry budget or for the end of a backoff.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Rank of a continuation among the reservations at an agent, which is the highest.
const CONTINUATION_RANK: u8 = 0;

/// A stream that lost its target and waits to go on from its copy.
#[derive(Clone, Debug)]
pub struct Continuation {
    /// The copy.
    pub copy: Copy,
    /// Target that was lost.
    pub lost: TargetName,
    /// Version of the lost target, which the holder must run too.
    pub version: Version,
    /// Whether it is known that the lost target can't be at work on the request.
    pub is_confirmed: bool,
    /// Whether the answer had been written for long enough to show that the request didn't cause the crash.
    pub has_proof: bool,
    /// Time at which the dispatch ended.
    pub since: Instant,
    /// Time up to which the reservation at the holder's agent is waited for; `None` before it is made.
    pub reserved_until: Option<Instant>,
}

/// Decision about a stream that lost its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The stream goes on at the holder of its copy.
    Continue,
    /// The stream ends: its target can still be reached and may be at work on the request.
    TargetReached,
    /// The stream ends: it isn't known whether its target is at work on the request.
    TargetUnknown,
    /// The stream ends: the holder restarted, left, or can't be reached.
    HolderLost,
    /// The stream ends: the holder has no copy.
    CopyMissing,
    /// The stream ends: its request may have caused the crash.
    Suspect,
}

/// Facts on which a decision about a lost target was based, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Request ID that the caller sent.
    pub request: String,
    /// Rank of the request's tier; 0 is the highest.
    pub tier: u32,
    /// The decision.
    pub decision: Decision,
    /// Target that was lost; `None` where the decision concerns the holder alone.
    pub lost: Option<TargetName>,
    /// Target that holds the copy.
    pub holder: TargetName,
    /// Whether a part of the answer was passed to the caller.
    pub has_begun: bool,
    /// Time since the dispatch ended.
    pub waited: Duration,
}

impl State {
    /// Handles a target that has sent nothing for the timeout of a dispatch with a copy: probes whether the target
    /// can be reached at all.
    pub(in crate::direct) fn probe_silent_target(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        let (Stage::InFlight(in_flight), Some(copy)) = (&pending.stage, &pending.copies.copy)
        else {
            return;
        };
        let target = in_flight.slot.target.clone();
        let holder = self.capacity.holder_state(now, copy, &in_flight.slot.version);
        if holder == HolderState::Lost || pending.copies.awaits_probe {
            return;
        }
        self.probe(&target, effects);
        let is_probing = self.probing.contains_key(&target);
        if let Some(pending) = self.requests.get_mut(&ticket) {
            pending.copies.awaits_probe = is_probing;
        }
    }

    /// Lets a stream whose dispatch ended go on from its copy. Returns `false` where the request is handled as one
    /// without a copy.
    pub(in crate::direct) fn continue_lost_stream(
        &mut self,
        now: Instant,
        ticket: Ticket,
        in_flight: &InFlight,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let slot = &in_flight.slot;
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let copy = pending.copies.copy.take();
        if pending.copies.continued > 0 && !outcome.may_have_run() {
            let decision = match outcome {
                Outcome::Rejected => Decision::CopyMissing,
                _ => Decision::HolderLost,
            };
            self.report(now, ticket, decision, (None, &slot.target, now), effects);
            self.refuse(now, ticket, RefusalReason::Lost, true, effects);
            return true;
        }
        let is_lost =
            matches!(outcome, Outcome::Incomplete { crashed: true } | Outcome::Unresponsive);
        let Some(copy) = copy.filter(|_| is_lost) else {
            return false;
        };
        let has_restarted = self
            .capacity
            .state(&slot.target)
            .is_some_and(|state| state.target.incarnation != slot.incarnation);
        let is_confirmed = outcome == Outcome::Unresponsive || has_restarted;
        if !is_confirmed && !self.probing.contains_key(&slot.target) {
            let lost = (Some(slot.target.clone()), &copy.holder, now);
            self.report(now, ticket, Decision::TargetUnknown, lost, effects);
            return false;
        }
        let configuration = self.configuration.as_ref();
        let Some(pending) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let rules = configuration.and_then(|plan| plan.pool_rules(&pending.pool).stream_copies);
        let copy_end = rules.map_or(pending.deadline, |rules| now + rules.lifetime);
        pending.possibly_ran_at.push(slot.target.clone());
        pending.charge = RetryCharge::NotYetTaken;
        // Only the end of the wait is left of the request's timers.
        pending.is_promoted = true;
        pending.wait_deadline = pending.deadline.min(copy_end);
        pending.copies.continuation = Some(Continuation {
            copy,
            lost: slot.target.clone(),
            version: slot.version.clone(),
            is_confirmed,
            has_proof: in_flight.has_proof(now),
            since: now,
            reserved_until: None,
        });
        self.timers.insert((pending.next_timer(), ticket));
        self.continuing.insert(ticket);
        true
    }

    /// Handles the result of a probe for the streams that lost the target or hear nothing from it.
    pub(in crate::direct) fn resolve_lost_target(
        &mut self,
        now: Instant,
        target: &TargetName,
        reached: bool,
        effects: &mut Vec<Effect>,
    ) {
        let mut ended = Vec::new();
        for &ticket in &self.continuing {
            let pending = self.requests.get_mut(&ticket);
            let waiting = pending.and_then(|pending| pending.copies.continuation.as_mut());
            match waiting.filter(|waiting| waiting.lost == *target && !waiting.is_confirmed) {
                Some(_) if reached => ended.push(ticket),
                Some(waiting) => waiting.is_confirmed = true,
                None => {}
            }
        }
        for ticket in ended {
            self.end_continuation(now, ticket, Decision::TargetReached, effects);
        }
        let mut cancelled = Vec::new();
        for (&ticket, pending) in &mut self.requests {
            let is_at_target =
                pending.in_flight().is_some_and(|in_flight| in_flight.slot.target == *target);
            if is_at_target && std::mem::take(&mut pending.copies.awaits_probe) && !reached {
                cancelled.extend(pending.copies.copy.clone().map(|copy| (ticket, copy.holder)));
            }
        }
        cancelled.sort_unstable();
        let cancelled = cancelled.into_iter();
        effects.extend(cancelled.map(|(ticket, target)| Effect::CancelDispatch { ticket, target }));
    }

    /// Dispatches the streams that wait to go on from their copies, as far as their holders, their agents and the
    /// retry budget allow.
    pub(in crate::direct) fn continue_streams(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let tickets: Vec<Ticket> = self.continuing.iter().copied().collect();
        for ticket in tickets {
            if !self.is_continuing(ticket) {
                self.continuing.remove(&ticket);
            } else if let Some(wake) = self.advance_continuation(now, ticket, effects) {
                self.reserve_at.insert(wake);
            }
        }
    }

    fn is_continuing(&self, ticket: Ticket) -> bool {
        self.requests.get(&ticket).is_some_and(|pending| pending.copies.continuation.is_some())
    }

    /// Takes the next step of one continuation. Returns the time of the next attempt; `None` where another event
    /// comes first.
    fn advance_continuation(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> Option<Instant> {
        let pending = self.requests.get(&ticket)?;
        let waiting =
            pending.copies.continuation.as_ref().filter(|waiting| waiting.is_confirmed)?;
        let shared_parts = &pending.request.shared_parts;
        let is_suspect = !waiting.has_proof && self.parts.suspects(shared_parts).next().is_some();
        if is_suspect || self.is_refused(now, pending) {
            self.end_continuation(now, ticket, Decision::Suspect, effects);
            return None;
        }
        match self.capacity.holder_state(now, &waiting.copy, &waiting.version) {
            HolderState::Lost => {
                self.end_continuation(now, ticket, Decision::HolderLost, effects);
                return None;
            }
            HolderState::Away => return Some(now + RETRY_INTERVAL),
            HolderState::Ready => {}
        }
        if pending.charge == RetryCharge::NotYetTaken {
            let pool = pending.pool.clone();
            if !self.reserve_retry(now, &pool) {
                return Some(now + RETRY_INTERVAL);
            }
        }
        self.admit_continuation(now, ticket, effects)
    }

    /// Reserves a slot for a continuation at the holder's agent, or dispatches it where there is no agent or the
    /// agent hasn't answered in time.
    fn admit_continuation(
        &mut self,
        now: Instant,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) -> Option<Instant> {
        let pending = self.requests.get_mut(&ticket)?;
        pending.charge = RetryCharge::Taken;
        let waiting = pending.copies.continuation.as_mut()?;
        let state = self.capacity.state(&waiting.copy.holder)?;
        let agent = state.agent.filter(|_| state.is_reached_by_agent(now));
        if let (Some(agent), None) = (agent, waiting.reserved_until) {
            let until = now + ADMISSION_TIMEOUT;
            waiting.reserved_until = Some(until);
            pending.reservation_count += 1;
            let reserved = QueuedReservation {
                number: pending.reservation_count,
                target: state.target.name.clone(),
                incarnation: state.target.incarnation,
                agent,
                is_rate_limited: state.is_limited(),
            };
            effects.push(Effect::Reserve(Reservation {
                ticket,
                number: reserved.number,
                agent,
                target: reserved.target.clone(),
                incarnation: reserved.incarnation,
                address: state.target.address,
                slots: state.admission_slots(),
                is_alone: false,
                fingerprint: pending.request.fingerprint,
                is_local_agent: state.target.agent_address == Some(agent),
                limit: state.limit_report(now),
                rank: CONTINUATION_RANK,
                order: Order::default(),
                timeout: ADMISSION_TIMEOUT,
                recency_boost: Duration::ZERO,
                tokens: pending.tokens(),
            }));
            pending.reservations.push(reserved);
            return Some(until);
        }
        let reserved_until = waiting.reserved_until.filter(|_| !pending.reservations.is_empty());
        if let Some(until) = reserved_until.filter(|&until| until > now) {
            return Some(until);
        }
        let holder = waiting.copy.clone();
        let slot = self.capacity.take_slot_of_holder(&holder, pending.prompt_tokens())?;
        self.dequeue(ticket);
        let pending = self.requests.get_mut(&ticket)?;
        pending.withdraw_reservations(effects);
        let held = HeldSlot { slot, reservation: None };
        let (rollouts, budgets) = (&mut self.rollouts, &mut self.budgets);
        effects.push(queue::assign_slot(now, pending, held, rollouts, budgets));
        None
    }

    /// Logs that a stream goes on from its copy, for the dispatches among these effects that do.
    pub(in crate::direct) fn report_continuations(&self, now: Instant, effects: &mut Vec<Effect>) {
        let mut reports = Vec::new();
        for effect in effects.iter() {
            if let Effect::Dispatch(dispatch) = effect
                && dispatch.continues
                && let Some(pending) = self.requests.get(&dispatch.ticket)
            {
                let lost = pending.possibly_ran_at.last().cloned();
                let since = pending.copies.lost_at.unwrap_or(now);
                let facts = (lost, &dispatch.target, since);
                self.report(now, dispatch.ticket, Decision::Continue, facts, &mut reports);
            }
        }
        effects.extend(reports);
    }

    /// Ends a request that can't go on from its copy, as one without a copy ends.
    fn end_continuation(
        &mut self,
        now: Instant,
        ticket: Ticket,
        decision: Decision,
        effects: &mut Vec<Effect>,
    ) {
        self.continuing.remove(&ticket);
        let pending = self.requests.get(&ticket);
        if let Some(waiting) = pending.and_then(|pending| pending.copies.continuation.clone()) {
            let facts = (Some(waiting.lost), &waiting.copy.holder, waiting.since);
            self.report(now, ticket, decision, facts, effects);
        }
        self.refuse(now, ticket, RefusalReason::Lost, true, effects);
    }

    /// Adds the log entry of a decision: the lost target, the holder, and the time at which the target was lost.
    fn report(
        &self,
        now: Instant,
        ticket: Ticket,
        decision: Decision,
        (lost, holder, since): (Option<TargetName>, &TargetName, Instant),
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.requests.get(&ticket) else {
            return;
        };
        effects.push(Effect::Log(LogEntry::StreamLostTarget(Box::new(Report {
            request: pending.request.id.clone(),
            tier: pending.tier,
            decision,
            lost,
            holder: holder.clone(),
            has_begun: pending.has_begun,
            waited: now.saturating_duration_since(since),
        }))));
    }
}
